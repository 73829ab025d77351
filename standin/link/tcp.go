package link

import (
	"fmt"
	"net"
	"net/netip"
	"sync"

	"marjoramsaddle/core/id"
)

const streamBufferSize = 32 << 10

// tcpRelay forwards streams between one failure domain and the platform.
type tcpRelay struct {
	network  *Network
	listener net.Listener
	target   string
	domain   id.Domain

	mu    sync.Mutex
	conns map[net.Conn]bool
}

// RelayTCP relays streams from the listening address to the platform for the
// daemons of a failure domain.
func (n *Network) RelayTCP(listen, target netip.AddrPort, domain id.Domain) error {
	listener, err := net.Listen("tcp", listen.String())
	if err != nil {
		return fmt.Errorf("start TCP relay for %s; choose a free address: %w", target, err)
	}
	relay := &tcpRelay{network: n, listener: listener, target: target.String(), domain: domain, conns: map[net.Conn]bool{}}
	n.addCloser(relay.close)
	n.wait.Go(relay.accept)
	return nil
}

func (r *tcpRelay) accept() {
	for {
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.network.wait.Go(func() { r.serve(client) })
	}
}

func (r *tcpRelay) serve(client net.Conn) {
	defer r.closeAndRemove(client)
	if !r.register(client) || !r.awaitHealed() {
		return
	}
	server, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer r.closeAndRemove(server)
	if !r.register(server) {
		return
	}
	var group sync.WaitGroup
	group.Go(func() { r.copy(server, client) })
	group.Go(func() { r.copy(client, server) })
	group.Wait()
}

// copy forwards one direction. It closes both connections when it returns, as
// HTTP/1.1 does not use half-closed streams.
func (r *tcpRelay) copy(to, from net.Conn) {
	defer func() { _, _ = to.Close(), from.Close() }()
	buffer := make([]byte, streamBufferSize)
	for {
		size, err := from.Read(buffer)
		if !r.awaitHealed() {
			return
		}
		r.network.bytes.Add(int64(size))
		if _, writeErr := to.Write(buffer[:size]); writeErr != nil || err != nil {
			return
		}
	}
}

// awaitHealed waits until the failure domain can reach the platform. It reports
// false when the network is closed.
func (r *tcpRelay) awaitHealed() bool {
	for {
		partitions := r.network.partitions.Load()
		if !partitions.platform[r.domain] {
			return !r.network.isClosed()
		}
		select {
		case <-partitions.changed:
		case <-r.network.closed:
			return false
		}
	}
}

// register adds a connection to those that close closes. It reports false when the
// network is closed.
func (r *tcpRelay) register(conn net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.network.isClosed() {
		return false
	}
	r.conns[conn] = true
	return true
}

func (r *tcpRelay) closeAndRemove(conn net.Conn) {
	_ = conn.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, conn)
}

func (r *tcpRelay) close() error {
	err := r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.conns {
		_ = conn.Close()
	}
	return err
}
