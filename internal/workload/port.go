package workload

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// ErrNoPort reports that no free port was found.
var ErrNoPort = eris.New("no free port")

// Ports below those that the operating system gives to outgoing connections,
// so that a restarted process finds its own port free.
const (
	lowestPort = 12000
	portCount  = 20000
)

var nextPort = func() *atomic.Uint32 {
	next := &atomic.Uint32{}
	next.Store(uint32(os.Getpid()) * 61)
	return next
}()

// Listen opens a free loopback port.
func Listen() (net.Listener, error) {
	for range portCount {
		port := lowestPort + nextPort.Add(1)%portCount
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			return listener, nil
		}
	}
	return nil, ErrNoPort
}

// FreeAddress finds a loopback address that is free now.
func FreeAddress() (string, error) {
	listener, err := Listen()
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}
