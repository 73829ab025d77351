package http1

import (
	"errors"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// setTCPUserTimeout sets TCP_USER_TIMEOUT.
func setTCPUserTimeout(conn syscall.RawConn, timeout time.Duration) error {
	var sockoptErr error
	err := conn.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	return errors.Join(err, sockoptErr)
}

// streamUserTimeout replaces PoolOptions.TCPUserTimeout while a long body is sent. The time
// in which the receiver reads nothing counts too, and a backend server that is busy may
// pause for seconds.
const streamUserTimeout = 15 * time.Second

// tolerateSlowReader lets the peer of the connection stop reading for a while. The
// connection must not be used for another request.
func (p *Pool) tolerateSlowReader(conn *clientConn) {
	if p.options.TCPUserTimeout <= 0 {
		return
	}
	if socket, ok := conn.conn.Conn.(syscall.Conn); ok {
		if raw, err := socket.SyscallConn(); err == nil {
			// If it fails, the shorter time stays.
			_ = setTCPUserTimeout(raw, streamUserTimeout)
		}
	}
}
