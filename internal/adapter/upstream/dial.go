package upstream

import (
	"errors"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/daisygap/daisygap"
)

// NewDialer returns a dialer whose connections break when the other side doesn't acknowledge what was sent within a span.
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

// keepAliveSeconds is the silence after which a connection is probed.
const keepAliveSeconds = int(2 * time.Second / time.Second)
