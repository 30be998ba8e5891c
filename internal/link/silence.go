package link

import (
	"net"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

// keepAliveProbes is the number of keep-alive probes within the silence limit.
const keepAliveProbes = 2

// setUnackedTimeout makes the kernel end a connection whose peer acknowledges
// nothing for a time, whether bytes are under way or not.
func setUnackedTimeout(conn net.Conn, timeout time.Duration) error {
	tcp, ok := conn.(*net.TCPConn)
	if !ok || timeout <= 0 {
		return nil
	}
	// The kernel takes whole seconds, 1 at least.
	probeInterval := max(timeout/keepAliveProbes, time.Second)
	if err := tcp.SetKeepAliveConfig(net.KeepAliveConfig{
		Enable: true, Idle: probeInterval, Interval: probeInterval, Count: keepAliveProbes,
	}); err != nil {
		return eris.Wrap(err, "set keep-alive")
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return eris.Wrap(err, "set the user timeout")
	}
	var optionErr error
	err = raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	if err == nil {
		err = optionErr
	}
	return eris.Wrap(err, "set the user timeout")
}
