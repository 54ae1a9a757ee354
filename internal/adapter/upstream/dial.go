package upstream

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/daisygap/daisygap"
)

// NewDialer returns a dialer with a timeout for the connect. Its connections fail if the other side doesn't acknowledge sent
// data within ackTimeout, so that a host that vanished without a reset is detected.
func NewDialer(timeout, ackTimeout daisygap.Millis) *net.Dialer {
	return &net.Dialer{
		Timeout:   timeout.Duration(),
		KeepAlive: -1,
		Control: func(_, _ string, raw syscall.RawConn) error {
			var optionErr error
			err := raw.Control(func(fd uintptr) {
				optionErr = errors.Join(
					unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout)),
					unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_KEEPALIVE, 1),
					unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPIDLE, keepAliveSeconds),
					unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_KEEPINTVL, keepAliveSeconds),
				)
			})
			return errors.Join(err, optionErr)
		},
	}
}

// keepAliveSeconds is the idle time in seconds after which the kernel sends a keep-alive probe, and the interval between
// probes.
const keepAliveSeconds = int(2 * time.Second / time.Second)
