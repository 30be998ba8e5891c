package link

import (
	"net"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// silenceProbes is the number of keep-alive probes within the silence limit.
const silenceProbes = 2

// limitSilence makes the kernel end a connection whose peer acknowledges
// nothing for a time, whether bytes are under way or not.
func limitSilence(conn net.Conn, limit time.Duration) error {
	tcp, ok := conn.(*net.TCPConn)
	if !ok || limit <= 0 {
		return nil
	}
	// The kernel takes whole seconds, 1 at least.
	period := max(limit/silenceProbes, time.Second)
	if err := tcp.SetKeepAliveConfig(net.KeepAliveConfig{
		Enable: true, Idle: period, Interval: period, Count: silenceProbes,
	}); err != nil {
		return eris.Wrap(err, "set keep-alive")
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return eris.Wrap(err, "set the user timeout")
	}
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
	})
	if err == nil {
		err = optionErr
	}
	return eris.Wrap(err, "set the user timeout")
}
