// Package link simulates network partitions between failure domains, and between
// them and the platform. A UDP relay serves as each daemon's control address, and a
// TCP relay connects each failure domain with the platform. During a partition
// datagrams are dropped and streams stall.
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

// domainPair is an unordered pair of failure domains, in lexical order.
type domainPair struct{ low, high id.Domain }

func newDomainPair(a, b id.Domain) domainPair { return domainPair{min(a, b), max(a, b)} }

// partitions holds the current partitions. It is immutable once stored in a Network.
type partitions struct {
	pairs    map[domainPair]bool
	platform map[id.Domain]bool
	// changed is closed when the value is replaced.
	changed chan struct{}
}

func newPartitions() *partitions {
	return &partitions{pairs: map[domainPair]bool{}, platform: map[id.Domain]bool{}, changed: make(chan struct{})}
}

// Network holds the relays and the current partitions.
type Network struct {
	partitions atomic.Pointer[partitions]
	bytes      atomic.Int64

	mu      sync.Mutex
	domains map[netip.AddrPort]id.Domain
	closers []func() error
	closed  chan struct{}
	once    sync.Once
	wait    sync.WaitGroup
}

// New returns a network without relays and partitions.
func New() *Network {
	n := &Network{domains: map[netip.AddrPort]id.Domain{}, closed: make(chan struct{})}
	n.partitions.Store(newPartitions())
	return n
}

// Register sets the failure domain of the daemon that sends from an address.
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
	n.updatePartitions(func(r *partitions) { r.pairs[newDomainPair(a, b)] = true })
}

// PartitionPlatform stalls all streams between a failure domain and the platform.
func (n *Network) PartitionPlatform(domain id.Domain) {
	n.updatePartitions(func(r *partitions) { r.platform[domain] = true })
}

// Heal ends all partitions. Stalled streams continue where they stopped, as TCP does.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	close(n.partitions.Swap(newPartitions()).changed)
}

func (n *Network) updatePartitions(apply func(*partitions)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	old, updated := n.partitions.Load(), newPartitions()
	for key := range old.pairs {
		updated.pairs[key] = true
	}
	for domain := range old.platform {
		updated.platform[domain] = true
	}
	apply(updated)
	n.partitions.Store(updated)
	close(old.changed)
}

func (n *Network) isPartitioned(a, b id.Domain) bool {
	return n.partitions.Load().pairs[newDomainPair(a, b)]
}

// PlatformBytes returns the number of payload bytes that the TCP relays have
// forwarded in both directions.
func (n *Network) PlatformBytes() int64 { return n.bytes.Load() }

func (n *Network) addCloser(closer func() error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closers = append(n.closers, closer)
}

// Close closes all relays and waits for their goroutines.
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
