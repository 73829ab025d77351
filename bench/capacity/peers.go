package capacity

import (
	"fmt"
	"path/filepath"
	"sync"
	"time"

	"marjoramsaddle/core/endpoint"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/kernel"
	"marjoramsaddle/core/message"
	"marjoramsaddle/core/snapshot"
	"marjoramsaddle/io/certificate"
	"marjoramsaddle/io/peer"
	"marjoramsaddle/io/settings"
	"marjoramsaddle/standin/authority"
)

const (
	// children is the number of peers that take versions from the daemon; the
	// others hold them already and answer prune. The tree of a fleet has one
	// child per host on average.
	children = 2
	// batchEntries is the number of rows in one message, as in core/member.
	batchEntries = 200
)

// peers plays the neighbours of one daemon. All of them share one table and
// hold the same version.
type peers struct {
	self  endpoint.Entry
	world *world

	mu   sync.Mutex
	list []*generated
	held *snapshot.Snapshot
	full *message.Push
	// has is the highest version that the daemon has announced; runs is its
	// version in force, and digest its table.
	has, runs id.Version
	digest    uint64
	done      chan struct{}
	wait      sync.WaitGroup
}

// generated is one peer.
type generated struct {
	entry     endpoint.Entry
	transport *peer.Transport
	linked    bool
	child     bool
}

func newPeers(self endpoint.Entry, w *world) (*peers, error) {
	p := &peers{self: self, world: w, done: make(chan struct{})}
	if err := p.hold(w.current); err != nil {
		return nil, err
	}
	p.wait.Add(1)
	go p.beat()
	return p, nil
}

// hold makes the peers hold a version and encodes its full snapshot.
func (p *peers) hold(held *snapshot.Snapshot) error {
	delta, err := snapshot.NewDelta(nil, held)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held, p.full = held, pushOf(delta)
	return nil
}

func pushOf(delta snapshot.Delta) *message.Push {
	return &message.Push{
		Version: uint64(delta.Version), Digest: delta.Digest[:], Base: uint64(delta.Base), Payload: delta.Payload,
	}
}

// add opens the socket of one more peer.
func (p *peers) add(folder string, issuer *authority.Authority, entry endpoint.Entry) error {
	identity, err := issuer.Issue(entry.Domain, entry.Host)
	if err != nil {
		return err
	}
	dir := filepath.Join(folder, string(entry.Host))
	if err := issuer.Write(dir, identity); err != nil {
		return err
	}
	keys, err := certificate.Load(tlsOf(dir))
	if err != nil {
		return err
	}
	one := &generated{entry: entry}
	one.transport, err = peer.Listen(entry.Control, keys, certificate.Identity{Host: entry.Host, Domain: entry.Domain},
		func(event kernel.Event) { p.handle(one, event) })
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	one.child = len(p.list) > 0 && len(p.list) <= children
	p.list = append(p.list, one)
	return nil
}

func tlsOf(folder string) settings.TLS {
	return settings.TLS{
		CertificateFile: filepath.Join(folder, authority.CertificateFile),
		KeyFile:         filepath.Join(folder, authority.KeyFile),
		AuthorityFile:   filepath.Join(folder, authority.RootFile),
	}
}

func (p *peers) close() {
	close(p.done)
	p.wait.Wait()
	for _, one := range p.list {
		one.transport.Close()
	}
}

// bytes returns the bytes of all peers at their sockets: sent and received by
// the daemon.
func (p *peers) bytes() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	var sum int64
	for _, one := range p.list {
		sent, received := one.transport.ByteCounts()
		sum += sent + received
	}
	return sum
}

func (p *peers) links() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	count := 0
	for _, one := range p.list {
		if one.linked {
			count++
		}
	}
	return count
}

// beat sends the heartbeats.
func (p *peers) beat() {
	defer p.wait.Done()
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-p.done:
			return
		case <-ticker.C:
		}
		p.mu.Lock()
		frame := p.heartbeat()
		for _, one := range p.list {
			if one.linked {
				one.transport.Send(p.self.Host, frame)
			}
		}
		p.mu.Unlock()
	}
}

func (p *peers) heartbeat() *message.Frame {
	return &message.Frame{Body: &message.Frame_Heartbeat{Heartbeat: &message.Heartbeat{
		Held: uint64(p.held.Version), InForce: uint64(p.held.Version), TableDigest: p.world.table.Digest(), HasMemory: true,
	}}}
}

func (p *peers) handle(one *generated, event kernel.Event) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch event := event.(type) {
	case kernel.LinkUp:
		one.linked = true
		p.send(one, &message.Frame{Body: &message.Frame_Hello{Hello: &message.Hello{
			Host: string(one.entry.Host), FailureDomain: string(one.entry.Domain), Incarnation: uint64(one.entry.Incarnation),
			Held: uint64(p.held.Version), InForce: uint64(p.held.Version), TableDigest: p.world.table.Digest(), HasMemory: true,
		}}})
	case kernel.LinkDown:
		one.linked = false
	case kernel.Received:
		p.receive(one, event.Frame)
	}
}

func (p *peers) send(one *generated, frame *message.Frame) { one.transport.Send(p.self.Host, frame) }

func (p *peers) receive(one *generated, frame *message.Frame) {
	switch body := frame.GetBody().(type) {
	case *message.Frame_Heartbeat:
		p.runs, p.digest = id.Version(body.Heartbeat.GetInForce()), body.Heartbeat.GetTableDigest()
	case *message.Frame_Have:
		p.has = max(p.has, id.Version(body.Have.GetVersion()))
	case *message.Frame_Want:
		p.send(one, &message.Frame{Body: &message.Frame_Push{Push: p.full}})
	case *message.Frame_Push:
		p.pushed(one, id.Version(body.Push.GetVersion()))
	case *message.Frame_Entries:
		for _, row := range body.Entries.GetEntries() {
			if entry, valid := row.Endpoint(); valid {
				p.world.table.Merge(entry)
			}
		}
	case *message.Frame_TableDigest:
		p.repair(one, body.TableDigest.GetBuckets())
	case *message.Frame_TableWant:
		var wanted [endpoint.Buckets]bool
		for _, bucket := range body.TableWant.GetBuckets() {
			wanted[bucket%endpoint.Buckets] = true
		}
		p.sendRows(one, wanted)
	}
}

// pushed answers a push as a child of the tree does, or as a peer that holds
// the version already.
func (p *peers) pushed(one *generated, version id.Version) {
	if version == p.held.Version {
		prefix := uint64(0)
		for _, octet := range p.held.Digest[:8] {
			prefix = prefix<<8 | uint64(octet)
		}
		p.send(one, &message.Frame{Body: &message.Frame_Have{Have: &message.Have{Version: uint64(version), DigestPrefix: prefix}}})
	}
	if !one.child {
		p.send(one, &message.Frame{Body: &message.Frame_Prune{Prune: &message.Prune{}}})
	}
}

func (p *peers) repair(one *generated, theirs []uint64) {
	var differing [endpoint.Buckets]bool
	var wanted []uint32
	for index, mine := range p.world.table.BucketDigests() {
		if index >= len(theirs) || theirs[index] != mine {
			differing[index] = true
			wanted = append(wanted, uint32(index))
		}
	}
	if len(wanted) == 0 {
		return
	}
	p.sendRows(one, differing)
	p.send(one, &message.Frame{Body: &message.Frame_TableWant{TableWant: &message.TableWant{Buckets: wanted}}})
}

func (p *peers) sendRows(one *generated, wanted [endpoint.Buckets]bool) {
	rows := p.world.table.InBuckets(wanted)
	for start := 0; start < len(rows); start += batchEntries {
		p.send(one, message.NewEntriesFrame(rows[start:min(start+batchEntries, len(rows))]))
	}
}

// push sends a version to the daemon from the first peer and waits until the
// daemon announces that it holds it.
func (p *peers) push(delta snapshot.Delta, next *snapshot.Snapshot) error {
	p.mu.Lock()
	p.held = next
	p.send(p.list[0], &message.Frame{Body: &message.Frame_Push{Push: pushOf(delta)}})
	p.mu.Unlock()
	return p.until(fmt.Sprintf("version %d held", next.Version), func() bool { return p.has >= next.Version })
}

// announce sends rows from all peers, as a flood over all links does at most.
func (p *peers) announce(entries []endpoint.Entry) {
	frame := message.NewEntriesFrame(entries)
	for _, one := range p.list {
		if one.linked {
			p.send(one, frame)
		}
	}
}

const (
	waitLimit = 30 * time.Second
	waitPoll  = 2 * time.Millisecond
)

// until polls a condition under the lock.
func (p *peers) until(what string, condition func() bool) error {
	deadline := time.Now().Add(waitLimit)
	for time.Now().Before(deadline) {
		p.mu.Lock()
		met := condition()
		p.mu.Unlock()
		if met {
			return nil
		}
		time.Sleep(waitPoll)
	}
	return fmt.Errorf("%d endpoints: %s: not within %v; see the daemon's log", p.world.size.Endpoints, what, waitLimit)
}
