// Package reader is the kernel plug-in that reads the platform. Only the
// readers of a failure domain read; each holds one waiting read of the
// manifest and one of the host list. A version is raised as VersionRead after
// all its parts have arrived and the whole has passed validation.
//
// Usage:
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

const part = "reader"

// The counters of this plug-in.
const (
	// CountStaleIndex counts answers with an index below the highest known.
	CountStaleIndex = "reader_index_below"
	// CountDigestConflict counts different content under one index.
	CountDigestConflict = "reader_digest_conflict"
	// CountReadFailed counts failed reads by kind.
	CountReadFailed = "reader_read_failed"
	// CountPartMismatch counts parts that do not match their hash.
	CountPartMismatch = "reader_part_mismatch"
)

const (
	// settleTime lets the endpoint table fill after the first link. Two hosts
	// that start together agree on a table at once, but it holds only them.
	settleTime = 500 * time.Millisecond
	// lonelyTime is the time after which a daemon without links reads.
	lonelyTime = 3 * time.Second
	// startJitter spreads the first reads of a domain that starts at once.
	startJitter = 500 * time.Millisecond
)

// plugin decides when to read the platform.
type plugin struct {
	env    kernel.Environment
	shared *kernel.SharedState
	random *rand.Rand

	started   id.Instant
	greetedAt id.Instant
	jitter    time.Duration
	active    bool

	manifest manifestRead
	parts    partRead
	hosts    hostRead
}

// manifestRead is the state of the waiting read of the manifest.
type manifestRead struct {
	pending bool
	delay   backoff
	// index is the highest index read and digest the hash of its content.
	index  id.Version
	digest id.Digest
	// after is the index to wait for. It differs from index while the platform
	// has no manifest.
	after id.Version
}

// partRead collects the parts of the newest manifest.
type partRead struct {
	delay      backoff
	version    id.Version
	consistent bool
	manifest   *manifest.Manifest
	have       map[id.Digest][]byte
	requested  map[id.Digest]bool
}

// hostRead is the state of the waiting read of the host list.
type hostRead struct {
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
		jitter: time.Duration(random.Int64N(int64(startJitter))),
		parts:  partRead{have: map[id.Digest][]byte{}, requested: map[id.Digest]bool{}},
	}
}

// Handle applies one event.
func (p *plugin) Handle(at id.Instant, event kernel.Event, out *kernel.Output) {
	if p.started == 0 {
		p.started = at
	}
	if !p.env.HasPlatform {
		return
	}
	switch event := event.(type) {
	case kernel.Tick:
		p.tick(at, out)
	case kernel.ManifestRead:
		p.manifestRead(at, event, out)
	case kernel.PartRead:
		p.partRead(at, event, out)
	case kernel.HostListRead:
		p.hostsRead(at, event, out)
	case kernel.ReadFailed:
		p.readFailed(at, event, out)
	}
}

func (p *plugin) tick(at id.Instant, out *kernel.Output) {
	if p.greetedAt == 0 && len(p.shared.LinkHosts()) > 0 {
		p.greetedAt = at
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
	if !p.settled(at) {
		return false
	}
	return p.shared.Topology.IsReader
}

func (p *plugin) settled(at id.Instant) bool {
	if len(p.env.Seeds) == 0 && p.greetedAt == 0 {
		return true
	}
	if p.greetedAt != 0 {
		return p.shared.TableSettled && at.Sub(p.greetedAt) >= settleTime+p.jitter
	}
	return at.Sub(p.started) >= lonelyTime+p.jitter
}

func (p *plugin) setActive(active bool, out *kernel.Output) {
	if active == p.active {
		return
	}
	p.active = active
	if active {
		out.Emit(kernel.Log{Part: part, Text: "This host reads the platform for its failure domain."})
		return
	}
	out.Emit(kernel.StopReading{})
	p.manifest.pending = false
	p.hosts.pending = false
	clear(p.parts.requested)
}

// read emits the reads that are due.
func (p *plugin) read(at id.Instant, out *kernel.Output) {
	if !p.manifest.pending && p.manifest.delay.ready(at) {
		p.manifest.pending = true
		out.Emit(kernel.ReadManifest{After: p.after(), Consistent: p.shared.InForce == nil})
	}
	if !p.hosts.pending && p.hosts.delay.ready(at) {
		p.hosts.pending = true
		out.Emit(kernel.ReadHosts{Domain: p.env.Self.Domain, After: p.hosts.index})
	}
	if p.parts.manifest != nil && p.parts.delay.ready(at) {
		p.requestParts(out)
	}
}

// after returns the index that the manifest read waits for.
func (p *plugin) after() id.Version {
	if p.env.Options.AcceptOlder {
		return p.manifest.after
	}
	return max(p.manifest.after, p.manifest.index, p.shared.HeldVersion())
}

// known returns the highest index that this host has read or heard of.
func (p *plugin) known() id.Version {
	known := max(p.manifest.index, p.shared.HeldVersion())
	for _, link := range p.shared.Links {
		known = max(known, link.Held)
	}
	return known
}

func (p *plugin) manifestRead(at id.Instant, event kernel.ManifestRead, out *kernel.Output) {
	if !p.active {
		return
	}
	p.manifest.pending = false
	if len(event.Data) == 0 {
		// The index of a missing key is only a position to wait from.
		p.manifest.after = event.Index
		p.manifest.delay.pace(at)
		return
	}
	if p.env.Options.AcceptOlder {
		p.adoptAny(at, event, out)
		return
	}
	switch digest := id.DigestOf(event.Data); {
	case event.Index < p.known():
		p.shared.IgnoredIndex = event.Index
		out.Emit(kernel.Count{Name: CountStaleIndex})
		p.manifest.delay.fail(at, p.random)
	case event.Index == p.manifest.index && digest != p.manifest.digest:
		out.Emit(kernel.Count{Name: CountDigestConflict})
		out.Emit(kernel.Log{Part: part, Text: conflictText(event.Index)})
		p.manifest.delay.fail(at, p.random)
	case event.Index == p.manifest.index:
		p.manifest.delay.pace(at)
	default:
		p.adopt(event, digest, out)
		p.read(at, out)
	}
}

func conflictText(index id.Version) string {
	return "The platform has different content under index " + strconv.FormatUint(uint64(index), 10) +
		": publish the configuration again."
}

// adoptAny follows the platform to any index; it is the baseline that shows
// what the check of the index prevents.
func (p *plugin) adoptAny(at id.Instant, event kernel.ManifestRead, out *kernel.Output) {
	if event.Index == p.manifest.index {
		p.manifest.delay.pace(at)
		return
	}
	p.adopt(event, id.DigestOf(event.Data), out)
	p.read(at, out)
}

// adopt makes the manifest the one whose parts are collected.
func (p *plugin) adopt(event kernel.ManifestRead, digest id.Digest, out *kernel.Output) {
	p.manifest.delay.reset()
	p.shared.IgnoredIndex = 0
	p.manifest.index = event.Index
	p.manifest.after = event.Index
	p.manifest.digest = digest
	p.parts.manifest = nil
	if event.Index == p.shared.HeldVersion() {
		// A peer was faster. The answer still confirms the version held.
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

// readFailed schedules another read.
func (p *plugin) readFailed(at id.Instant, event kernel.ReadFailed, out *kernel.Output) {
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
