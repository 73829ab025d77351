package link

import (
	"fmt"
	"net"
	"net/netip"
	"sync"

	"marjoramsaddle/core/id"
)

// datagramBytes is more than any datagram of a control link.
const datagramBytes = 64 << 10

// udpRelay stands in front of one daemon. Each sender gets a socket of its own
// towards the daemon, so that answers find their way back.
type udpRelay struct {
	network *Network
	public  *net.UDPConn
	target  *net.UDPAddr
	domain  id.Domain

	mu        sync.Mutex
	upstreams map[netip.AddrPort]*net.UDPConn
}

// RelayUDP relays datagrams from the listening address to a daemon of the
// given failure domain, and back.
func (n *Network) RelayUDP(listen, target netip.AddrPort, domain id.Domain) error {
	public, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(listen))
	if err != nil {
		return fmt.Errorf("relay for %s; choose a free address: %w", target, err)
	}
	relay := &udpRelay{
		network: n, public: public, target: net.UDPAddrFromAddrPort(target), domain: domain,
		upstreams: map[netip.AddrPort]*net.UDPConn{},
	}
	n.onClose(relay.close)
	n.wait.Go(relay.forward)
	return nil
}

func (r *udpRelay) forward() {
	buffer := make([]byte, datagramBytes)
	for {
		size, from, err := r.public.ReadFromUDPAddrPort(buffer)
		if r.network.isClosed() {
			return
		}
		if err != nil {
			continue
		}
		from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
		if r.network.isCut(r.network.domainOf(from), r.domain) {
			continue
		}
		if upstream := r.upstream(from); upstream != nil {
			// A failed write is a lost datagram.
			_, _ = upstream.Write(buffer[:size])
		}
	}
}

// upstream returns the socket of a sender, or nil if none can be opened.
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
	r.network.wait.Go(func() { r.answer(upstream, from) })
	return upstream
}

// answer relays the daemon's datagrams to the sender.
func (r *udpRelay) answer(upstream *net.UDPConn, to netip.AddrPort) {
	buffer := make([]byte, datagramBytes)
	for {
		size, err := upstream.Read(buffer)
		if r.network.isClosed() {
			return
		}
		// An error tells that the daemon's port is closed; it may open again.
		if err != nil || r.network.isCut(r.network.domainOf(to), r.domain) {
			continue
		}
		_, _ = r.public.WriteToUDPAddrPort(buffer[:size], to)
	}
}

func (r *udpRelay) close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, upstream := range r.upstreams {
		_ = upstream.Close()
	}
	return r.public.Close()
}
