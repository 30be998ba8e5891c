package link

import (
	"net"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// keepAliveProbes is the number of TCP keep-alive probes within the timeout.
const keepAliveProbes = 2

// setUnackedTimeout makes the kernel end a connection whose peer acknowledges
// nothing for the timeout: keep-alive probes cover an idle connection, and
// TCP_USER_TIMEOUT covers one with unacknowledged data.
func setUnackedTimeout(conn net.Conn, timeout time.Duration) error {
	tcp, ok := conn.(*net.TCPConn)
	if !ok || timeout <= 0 {
		return nil
	}
	// The kernel accepts keep-alive intervals in whole seconds, at least 1.
	probeInterval := max(timeout/keepAliveProbes, time.Second)
	if err := tcp.SetKeepAliveConfig(net.KeepAliveConfig{
		Enable: true, Idle: probeInterval, Interval: probeInterval, Count: keepAliveProbes,
	}); err != nil {
		return eris.Wrap(err, "set TCP keep-alive")
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return eris.Wrap(err, "set TCP_USER_TIMEOUT")
	}
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err == nil {
		err = optionErr
	}
	return eris.Wrap(err, "set TCP_USER_TIMEOUT")
}
