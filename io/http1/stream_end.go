package http1

import (
	"errors"
	"io"
	"syscall"

	"golang.org/x/sys/unix"
)

// Write writes to the connection. It keeps the error with which the kernel has ended the
// connection for the goroutine that reads.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if c.broken == nil && endsConnection(err) {
		c.broken = err
	}
	return n, err
}

// endsConnection reports whether the kernel has ended the connection with the error of a
// write. EPIPE says only that the peer resets the connection after the end of its stream,
// or repeats an earlier error.
func endsConnection(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && errno != syscall.EPIPE
}

// endOfStream returns how the stream of the peer has ended when a read has returned
// io.EOF. The kernel reports a reset or timeout of the connection once, to the system call
// that comes first. After a write has received it, reads return io.EOF as if the peer had
// ended its stream.
func (c *Conn) endOfStream() error {
	closed, err := c.closedByKernel()
	if err != nil {
		return err
	}
	if !closed {
		// Only the stream has ended. A write may still wait for the peer to read.
		return io.EOF
	}
	// A write in progress ends at once, because the connection is closed.
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.broken != nil {
		return c.broken
	}
	return io.EOF
}

// closedByKernel reports whether the connection is closed in both directions although
// Close has not been called, as after a reset. It fails after Close.
func (c *Conn) closedByKernel() (bool, error) {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false, nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false, err
	}
	var info *unix.TCPInfo
	var infoErr error
	if err := raw.Control(func(fd uintptr) {
		info, infoErr = unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
	}); err != nil {
		return false, err
	}
	if infoErr != nil {
		return false, infoErr
	}
	// The states of TCP_INFO have the numbers of those for BPF.
	return info.State == unix.BPF_TCP_CLOSE, nil
}
