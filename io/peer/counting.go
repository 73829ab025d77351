package peer

import (
	"net"
	"sync/atomic"
)

// countingConn counts the payload bytes of all datagrams of a UDP socket. quic-go
// finds the buffer setters below by type assertion.
type countingConn struct {
	net.PacketConn
	sent     atomic.Int64
	received atomic.Int64
}

// ReadFrom reads one datagram and counts its bytes.
func (c *countingConn) ReadFrom(buffer []byte) (int, net.Addr, error) {
	n, from, err := c.PacketConn.ReadFrom(buffer)
	c.received.Add(int64(n))
	return n, from, err
}

// WriteTo writes one datagram and counts its bytes.
func (c *countingConn) WriteTo(buffer []byte, to net.Addr) (int, error) {
	n, err := c.PacketConn.WriteTo(buffer, to)
	c.sent.Add(int64(n))
	return n, err
}

// SetReadBuffer sets the size of the socket's receive buffer in bytes.
func (c *countingConn) SetReadBuffer(bytes int) error {
	return c.PacketConn.(*net.UDPConn).SetReadBuffer(bytes)
}

// SetWriteBuffer sets the size of the socket's send buffer in bytes.
func (c *countingConn) SetWriteBuffer(bytes int) error {
	return c.PacketConn.(*net.UDPConn).SetWriteBuffer(bytes)
}
