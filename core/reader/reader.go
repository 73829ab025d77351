// Package reader implements the kernel plug-in that reads configuration versions and
// host lists from the platform.
//
// Only the hosts that the topology selects as readers of their failure domain read.
// Each keeps one blocking read of the manifest and one of the host list open. The
// plug-in raises VersionRead after all parts of a version have arrived and the version
// has passed validation, otherwise VersionRefused.
//
// # Usage
//
//	import _ "marjoramsaddle/core/reader" // registers the plug-in
package reader

import (
	"math/rand/v2"
	"strconv"
	"time"

	"marjoramsaddle/core/id"
	"marjoramsaddle/core/kernel"
	"marjoramsaddle/core/manifest"
)

const component = "reader"

// Names of the counters that this plug-in increments.
const (
	// CountStaleIndex counts answers with an index below the highest known one.
	CountStaleIndex = "reader_index_below"
	// CountDigestConflict counts answers with different content under a known index.
	CountDigestConflict = "reader_digest_conflict"
	// CountReadFailed counts failed reads, with the kind of read as label.
	CountReadFailed = "reader_read_failed"
	// CountPartMismatch counts parts whose content does not match the requested hash.
	CountPartMismatch = "reader_part_mismatch"
)

const (
	// tableSettleDelay lets the endpoint table fill after the first link. Two hosts
	// that start together agree on a table at once, but it holds only those two.
	tableSettleDelay = 500 * time.Millisecond
	// isolatedStartDelay is how long a daemon without links waits before it reads.
	isolatedStartDelay = 3 * time.Second
	// maxStartJitter bounds the random delay before the first read. It spreads the
	// reads of a failure domain whose hosts start together.
	maxStartJitter = 500 * time.Millisecond
)

// plugin implements kernel.Plugin and decides when to read the platform.
type plugin struct {
	env    kernel.Environment
	shared *kernel.SharedState
	random *rand.Rand

	startedAt   id.Instant
	firstLinkAt id.Instant
	// jitter is the random delay of the first read.
	jitter time.Duration
	// active is true while this host reads the platform.
	active bool

	manifest manifestState
	parts    partsState
	hosts    hostsState
}

// manifestState is the state of the blocking read of the manifest.
type manifestState struct {
	pending bool
	delay   backoff
	// index is the highest index read, and digest the hash of its content.
	index  id.Version
	digest id.Digest
	// waitIndex is the index to wait for. It differs from index while the platform
	// has no manifest.
	waitIndex id.Version
}

// partsState holds the parts of the newest manifest until all have arrived. A nil
// manifest means that no parts are awaited.
type partsState struct {
	delay      backoff
	version    id.Version
	consistent bool
	manifest   *manifest.Manifest
	received   map[id.Digest][]byte
	requested  map[id.Digest]bool
}

// hostsState is the state of the blocking read of the host list.
type hostsState struct {
	pending bool
	delay   backoff
	index   id.Version
}

func newPlugin(env kernel.Environment, shared *kernel.SharedState) *plugin {
	random := rand.New(rand.NewPCG(env.RandomSeed, 0x726561646572))
	return &plugin{
		env:    env,
		shared: shared,
		random: random,
		jitter: time.Duration(random.Int64N(int64(maxStartJitter))),
		parts:  partsState{received: map[id.Digest][]byte{}, requested: map[id.Digest]bool{}},
	}
}

// Handle processes one kernel event.
func (p *plugin) Handle(at id.Instant, event kernel.Event, out *kernel.Output) {
	if p.startedAt == 0 {
		p.startedAt = at
	}
	if !p.env.HasPlatform {
		return
	}
	switch event := event.(type) {
	case kernel.Tick:
		p.tick(at, out)
	case kernel.ManifestRead:
		p.handleManifest(at, event, out)
	case kernel.PartRead:
		p.handlePart(at, event, out)
	case kernel.HostListRead:
		p.handleHosts(at, event, out)
	case kernel.ReadFailed:
		p.handleFailure(at, event, out)
	}
}

func (p *plugin) tick(at id.Instant, out *kernel.Output) {
	if p.firstLinkAt == 0 && len(p.shared.LinkHosts()) > 0 {
		p.firstLinkAt = at
	}
	p.setActive(p.isReader(at), out)
	if p.active {
		p.read(at, out)
	}
}

func (p *plugin) isReader(at id.Instant) bool {
	if p.env.Options.Strategy == kernel.StrategyPoll {
		return true
	}
	if !p.tableSettled(at) {
		return false
	}
	return p.shared.Topology.IsReader
}

// tableSettled reports whether the delay after the first link or the start has passed
// and the endpoint table is complete enough to determine the readers.
func (p *plugin) tableSettled(at id.Instant) bool {
	if len(p.env.Seeds) == 0 && p.firstLinkAt == 0 {
		return true
	}
	if p.firstLinkAt != 0 {
		return p.shared.TableSettled && at.Sub(p.firstLinkAt) >= tableSettleDelay+p.jitter
	}
	return at.Sub(p.startedAt) >= isolatedStartDelay+p.jitter
}

func (p *plugin) setActive(active bool, out *kernel.Output) {
	if active == p.active {
		return
	}
	p.active = active
	if active {
		out.Emit(kernel.Log{Part: component, Text: "This host reads the platform for its failure domain."})
		return
	}
	out.Emit(kernel.StopReading{})
	p.manifest.pending = false
	p.hosts.pending = false
	clear(p.parts.requested)
}

// read starts each read whose delay has passed and that is not pending.
func (p *plugin) read(at id.Instant, out *kernel.Output) {
	if !p.manifest.pending && p.manifest.delay.ready(at) {
		p.manifest.pending = true
		out.Emit(kernel.ReadManifest{After: p.waitIndex(), Consistent: p.shared.InForce == nil})
	}
	if !p.hosts.pending && p.hosts.delay.ready(at) {
		p.hosts.pending = true
		out.Emit(kernel.ReadHosts{Domain: p.env.Self.Domain, After: p.hosts.index})
	}
	if p.parts.manifest != nil && p.parts.delay.ready(at) {
		p.requestParts(out)
	}
}

// waitIndex returns the index that the blocking read waits for the manifest to exceed.
func (p *plugin) waitIndex() id.Version {
	if p.env.Options.AcceptOlder {
		return p.manifest.waitIndex
	}
	return max(p.manifest.waitIndex, p.manifest.index, p.shared.HeldVersion())
}

// highestKnown returns the highest index that this host has read or that a peer
// holds.
func (p *plugin) highestKnown() id.Version {
	highestKnown := max(p.manifest.index, p.shared.HeldVersion())
	for _, link := range p.shared.Links {
		highestKnown = max(highestKnown, link.Held)
	}
	return highestKnown
}

func (p *plugin) handleManifest(at id.Instant, event kernel.ManifestRead, out *kernel.Output) {
	if !p.active {
		return
	}
	p.manifest.pending = false
	if len(event.Data) == 0 {
		// Without a manifest, the index is only the position to wait from.
		p.manifest.waitIndex = event.Index
		p.manifest.delay.throttle(at)
		return
	}
	if p.env.Options.AcceptOlder {
		p.adoptAnyIndex(at, event, out)
		return
	}
	switch digest := id.DigestOf(event.Data); {
	case event.Index < p.highestKnown():
		p.shared.IgnoredIndex = event.Index
		out.Emit(kernel.Count{Name: CountStaleIndex})
		p.manifest.delay.fail(at, p.random)
	case event.Index == p.manifest.index && digest != p.manifest.digest:
		out.Emit(kernel.Count{Name: CountDigestConflict})
		out.Emit(kernel.Log{Part: component, Text: conflictText(event.Index)})
		p.manifest.delay.fail(at, p.random)
	case event.Index == p.manifest.index:
		p.manifest.delay.throttle(at)
	default:
		p.adopt(event, digest, out)
		p.read(at, out)
	}
}

func conflictText(index id.Version) string {
	return "The platform has different content under index " + strconv.FormatUint(uint64(index), 10) +
		": publish the configuration again."
}

// adoptAnyIndex accepts any index, also a lower one, as a baseline for tests of what
// the index check prevents.
func (p *plugin) adoptAnyIndex(at id.Instant, event kernel.ManifestRead, out *kernel.Output) {
	if event.Index == p.manifest.index {
		p.manifest.delay.throttle(at)
		return
	}
	p.adopt(event, id.DigestOf(event.Data), out)
	p.read(at, out)
}

// adopt starts collecting the parts of the manifest. If a peer has delivered that
// version already, it raises the version held instead.
func (p *plugin) adopt(event kernel.ManifestRead, digest id.Digest, out *kernel.Output) {
	p.manifest.delay.reset()
	p.shared.IgnoredIndex = 0
	p.manifest.index = event.Index
	p.manifest.waitIndex = event.Index
	p.manifest.digest = digest
	p.parts.manifest = nil
	if event.Index == p.shared.HeldVersion() {
		// A peer has delivered this version already. The answer still confirms it.
		out.Raise(VersionRead{Snapshot: p.shared.Held, Consistent: event.Consistent})
		return
	}
	decoded, err := manifest.Decode(event.Data)
	if err != nil {
		out.Raise(VersionRefused{Version: event.Index, Reason: err.Error()})
		return
	}
	p.parts.start(event, decoded)
	p.assemble(out)
}

// handleFailure schedules another read.
func (p *plugin) handleFailure(at id.Instant, event kernel.ReadFailed, out *kernel.Output) {
	if !p.active {
		return
	}
	out.Emit(kernel.Count{Name: CountReadFailed, Label: string(event.Read)})
	switch event.Read {
	case kernel.ReadKindManifest:
		p.manifest.pending = false
		p.manifest.delay.fail(at, p.random)
	case kernel.ReadKindHosts:
		p.hosts.pending = false
		p.hosts.delay.fail(at, p.random)
	case kernel.ReadKindPart:
		p.retryParts(at)
	}
}
