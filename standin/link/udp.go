package link

import (
	"fmt"
	"net"
	"net/netip"
	"sync"

	"marjoramsaddle/core/id"
)

// maxDatagramSize exceeds the size of all control datagrams.
const maxDatagramSize = 64 << 10

// udpRelay forwards datagrams to and from one daemon. It opens a separate socket to
// the daemon for each sender, so that replies can be returned to the sender.
type udpRelay struct {
	network    *Network
	downstream *net.UDPConn
	target     *net.UDPAddr
	domain     id.Domain

	mu        sync.Mutex
	upstreams map[netip.AddrPort]*net.UDPConn
}

// RelayUDP relays datagrams between the listening address and a daemon of the given
// failure domain.
func (n *Network) RelayUDP(listen, target netip.AddrPort, domain id.Domain) error {
	downstream, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(listen))
	if err != nil {
		return fmt.Errorf("start UDP relay for %s; choose a free address: %w", target, err)
	}
	relay := &udpRelay{
		network: n, downstream: downstream, target: net.UDPAddrFromAddrPort(target), domain: domain,
		upstreams: map[netip.AddrPort]*net.UDPConn{},
	}
	n.addCloser(relay.close)
	n.wait.Go(relay.relayRequests)
	return nil
}

func (r *udpRelay) relayRequests() {
	buffer := make([]byte, maxDatagramSize)
	for {
		size, from, err := r.downstream.ReadFromUDPAddrPort(buffer)
		if r.network.isClosed() {
			return
		}
		if err != nil {
			continue
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		if r.network.isPartitioned(r.network.domainOf(from), r.domain) {
			continue
		}
		if upstream := r.upstream(from); upstream != nil {
			// A failed write equals a lost datagram.
			_, _ = upstream.Write(buffer[:size])
		}
	}
}

// upstream returns the socket for a sender, or nil if none can be opened.
func (r *udpRelay) upstream(from netip.AddrPort) *net.UDPConn {
	r.mu.Lock()
	defer r.mu.Unlock()
	if known, ok := r.upstreams[from]; ok {
		return known
	}
	upstream, err := net.DialUDP("udp", nil, r.target)
	if err != nil {
		return nil
	}
	r.upstreams[from] = upstream
	r.network.wait.Go(func() { r.relayReplies(upstream, from) })
	return upstream
}

// relayReplies relays the daemon's datagrams to one sender.
func (r *udpRelay) relayReplies(upstream *net.UDPConn, to netip.AddrPort) {
	buffer := make([]byte, maxDatagramSize)
	for {
		size, err := upstream.Read(buffer)
		if r.network.isClosed() {
			return
		}
		// An error means that the daemon's port is closed; the daemon may restart.
		if err != nil || r.network.isPartitioned(r.network.domainOf(to), r.domain) {
			continue
		}
		_, _ = r.downstream.WriteToUDPAddrPort(buffer[:size], to)
	}
}

func (r *udpRelay) close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, upstream := range r.upstreams {
		_ = upstream.Close()
	}
	return r.downstream.Close()
}
