// Package link is a stand-in of the network between daemons and the platform.
// A UDP relay stands in front of each daemon's control address and a TCP relay
// between each failure domain and the platform. Both can be cut, which looks
// like a partition: datagrams are dropped and streams stall.
//
// # Usage
//
//	network := link.New()
//	defer network.Close()
//	network.Register(daemonAddress, "reduit")
//	err := network.RelayUDP(announcedAddress, daemonAddress, "reduit")
//	err = network.RelayTCP(relayAddress, platformAddress, "reduit")
//	network.Cut("reduit", "ebene")
//	network.CutPlatform("reduit")
//	network.Heal()
package link

import (
	"errors"
	"net/netip"
	"sync"
	"sync/atomic"

	"marjoramsaddle/core/id"
)

// pair is an unordered pair of failure domains.
type pair struct{ low, high id.Domain }

func pairOf(a, b id.Domain) pair { return pair{min(a, b), max(a, b)} }

// rules says what is cut. A value is never changed after it was stored.
type rules struct {
	pairs    map[pair]bool
	platform map[id.Domain]bool
	// changed is closed when other rules apply.
	changed chan struct{}
}

func newRules() *rules {
	return &rules{pairs: map[pair]bool{}, platform: map[id.Domain]bool{}, changed: make(chan struct{})}
}

// Network holds the relays and what is cut.
type Network struct {
	rules atomic.Pointer[rules]
	bytes atomic.Int64

	mu      sync.Mutex
	domains map[netip.AddrPort]id.Domain
	closers []func() error
	closed  chan struct{}
	once    sync.Once
	wait    sync.WaitGroup
}

// New returns a network without cuts.
func New() *Network {
	n := &Network{domains: map[netip.AddrPort]id.Domain{}, closed: make(chan struct{})}
	n.rules.Store(newRules())
	return n
}

// Register tells the failure domain of the daemon that sends from an address.
func (n *Network) Register(address netip.AddrPort, domain id.Domain) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.domains[address] = domain
}

func (n *Network) domainOf(address netip.AddrPort) id.Domain {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.domains[address]
}

// Partition drops all datagrams between two failure domains.
func (n *Network) Partition(a, b id.Domain) {
	n.change(func(r *rules) { r.pairs[pairOf(a, b)] = true })
}

// PartitionPlatform stalls all streams between a failure domain and the platform.
func (n *Network) PartitionPlatform(domain id.Domain) {
	n.change(func(r *rules) { r.platform[domain] = true })
}

// Heal ends all cuts. Stalled streams go on where they stopped, as TCP does.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.rules.Swap(newRules()).changed)
}

func (n *Network) change(apply func(*rules)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	old, fresh := n.rules.Load(), newRules()
	for key := range old.pairs {
		fresh.pairs[key] = true
	}
	for domain := range old.platform {
		fresh.platform[domain] = true
	}
	apply(fresh)
	n.rules.Store(fresh)
	close(old.changed)
}

func (n *Network) isCut(a, b id.Domain) bool { return n.rules.Load().pairs[pairOf(a, b)] }

// PlatformBytes returns the payload bytes that the TCP relays have carried in
// both directions.
func (n *Network) PlatformBytes() int64 { return n.bytes.Load() }

func (n *Network) onClose(closer func() error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closers = append(n.closers, closer)
}

// Close ends all relays.
func (n *Network) Close() error {
	var err error
	n.once.Do(func() {
		close(n.closed)
		n.mu.Lock()
		closers := n.closers
		n.mu.Unlock()
		for _, closer := range closers {
			err = errors.Join(err, closer())
		}
		n.wait.Wait()
	})
	return err
}

func (n *Network) isClosed() bool {
	select {
	case <-n.closed:
		return true
	default:
		return false
	}
}
