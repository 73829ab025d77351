package link

import (
	"fmt"
	"net"
	"net/netip"
	"sync"

	"marjoramsaddle/core/id"
)

const streamBytes = 32 << 10

// tcpRelay stands between one failure domain and the platform.
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
		return fmt.Errorf("relay for %s; choose a free address: %w", target, err)
	}
	relay := &tcpRelay{network: n, listener: listener, target: target.String(), domain: domain, conns: map[net.Conn]bool{}}
	n.onClose(relay.close)
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
	defer r.forget(client)
	if !r.keep(client) || !r.awaitOpen() {
		return
	}
	server, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer r.forget(server)
	if !r.keep(server) {
		return
	}
	var group sync.WaitGroup
	group.Go(func() { r.copy(server, client) })
	group.Go(func() { r.copy(client, server) })
	group.Wait()
}

// copy relays one direction. Both ends are closed when it ends, as HTTP/1.1
// has no use for streams that are open one way.
func (r *tcpRelay) copy(to, from net.Conn) {
	defer func() { _, _ = to.Close(), from.Close() }()
	buffer := make([]byte, streamBytes)
	for {
		size, err := from.Read(buffer)
		if !r.awaitOpen() {
			return
		}
		r.network.bytes.Add(int64(size))
		if _, failed := to.Write(buffer[:size]); failed != nil || err != nil {
			return
		}
	}
}

// awaitOpen waits until the platform is not cut off. It reports false when the
// network is closed.
func (r *tcpRelay) awaitOpen() bool {
	for {
		rules := r.network.rules.Load()
		if !rules.platform[r.domain] {
			return !r.network.isClosed()
		}
		select {
		case <-rules.changed:
		case <-r.network.closed:
			return false
		}
	}
}

// keep registers a connection for close. It reports false after close.
func (r *tcpRelay) keep(conn net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.network.isClosed() {
		return false
	}
	r.conns[conn] = true
	return true
}

func (r *tcpRelay) forget(conn net.Conn) {
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
