package spread_test

import (
	"cmp"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"testing"
	"time"

	"marjoramsaddle/core/document"
	"marjoramsaddle/core/endpoint"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/kernel"
	"marjoramsaddle/core/manifest"
	"marjoramsaddle/core/message"
	"marjoramsaddle/core/snapshot"
	_ "marjoramsaddle/core/spread"
	"marjoramsaddle/core/topology"
	"marjoramsaddle/core/trace"
)

func TestMain(m *testing.M) {
	kernel.Register("overlay", newFakeOverlay)
	os.Exit(m.Run())
}

// fakeOverlay replaces the overlay and membership plug-ins.
type fakeOverlay struct {
	shared          *kernel.SharedState
	lastHeartbeatAt id.Instant
}

func newFakeOverlay(env kernel.Environment, shared *kernel.SharedState) kernel.Plugin {
	shared.Table.Merge(env.Self)
	return &fakeOverlay{shared: shared}
}

func (o *fakeOverlay) Handle(at id.Instant, event kernel.Event, out *kernel.Output) {
	o.shared.Topology = topology.Compute(o.shared.Table, o.shared.Env.Self.Host)
	switch event := event.(type) {
	case kernel.LinkUp:
		o.shared.Links[event.Host] = &kernel.Link{Host: event.Host, Domain: event.Domain, Outbound: event.Outbound}
		o.shared.TableSettled = true
		out.Emit(kernel.Send{Host: event.Host, Frame: o.hello()})
	case kernel.LinkDown:
		delete(o.shared.Links, event.Host)
		o.shared.Table.Remove(event.Host)
	case kernel.Tick:
		if at.Sub(o.lastHeartbeatAt) >= time.Second {
			o.lastHeartbeatAt = at
			o.sendHeartbeats(out)
		}
	case kernel.Received:
		o.receive(event)
	}
}

func (o *fakeOverlay) hello() *message.Frame {
	return &message.Frame{Body: &message.Frame_Hello{Hello: &message.Hello{
		FailureDomain: string(o.shared.Env.Self.Domain), Held: uint64(o.shared.HeldVersion()), InForce: uint64(o.shared.InForceVersion()),
	}}}
}

func (o *fakeOverlay) sendHeartbeats(out *kernel.Output) {
	for _, host := range o.shared.LinkHosts() {
		out.Emit(kernel.Send{Host: host, Frame: &message.Frame{Body: &message.Frame_Heartbeat{Heartbeat: &message.Heartbeat{
			Held: uint64(o.shared.HeldVersion()), InForce: uint64(o.shared.InForceVersion()), Refused: uint64(o.shared.Refused),
		}}}})
	}
}

func (o *fakeOverlay) receive(event kernel.Received) {
	link := o.shared.Links[event.Host]
	if link == nil {
		return
	}
	if hello := event.Frame.GetHello(); hello != nil {
		link.HelloReceived, link.Held = true, id.Version(hello.GetHeld())
		o.shared.Table.Merge(endpoint.Entry{Host: event.Host, Domain: link.Domain})
	}
	if beat := event.Frame.GetHeartbeat(); beat != nil {
		link.Held = id.Version(beat.GetHeld())
	}
}

// publication is what the fake platform stores under one index.
type publication struct {
	manifest []byte
	parts    map[id.Digest][]byte
	digest   id.Digest
}

// node is one host of the network, with the recorded events and effects of its kernel.
type node struct {
	env    kernel.Environment
	kernel *kernel.Kernel // nil while the host is stopped
	// incarnation increases at each stop and start, so that deliveries to an earlier
	// process are dropped.
	incarnation int
	paused      bool
	// backlog holds the events that arrived during a pause.
	backlog []kernel.Event
	ready   kernel.Readiness
	inForce id.Version
	counts  map[string]int
	// watchPending is true while a blocking read of the manifest waits for a change.
	watchPending bool
	records      []trace.Record
}

type delivery struct {
	at          id.Instant
	order       int
	host        id.Host
	incarnation int
	event       kernel.Event
}

// network connects kernels in virtual time and records violations of the guarantees
// that hosts never run an older, partial or dangling version.
type network struct {
	now      id.Instant
	order    int
	random   *rand.Rand
	nodes    map[id.Host]*node
	hosts    []id.Host
	links    map[[2]id.Host]bool
	queue    []delivery
	versions map[id.Version]publication
	// servedIndex is the index that the platform answers with; zero means an outage.
	servedIndex id.Version
	consistent  bool
	drop        func(from, to id.Host, frame *message.Frame) bool
	// maxDelay is the greatest random delay of a frame, on top of one millisecond.
	// Above zero, frames can be reordered.
	maxDelay   time.Duration
	highestRun map[id.Host]id.Version
	violations []string
}

func newNetwork(seed uint64) *network {
	return &network{
		now: id.Instant(time.Hour), random: rand.New(rand.NewPCG(seed, 1)), nodes: map[id.Host]*node{},
		links: map[[2]id.Host]bool{}, versions: map[id.Version]publication{}, consistent: true,
		highestRun: map[id.Host]id.Version{}, drop: func(id.Host, id.Host, *message.Frame) bool { return false },
	}
}

// start runs a new process on a host. The failure domain is the first letter of the
// host's name.
func (n *network) start(host id.Host, options kernel.Options, platform bool) *node {
	incarnation := 1
	if old := n.nodes[host]; old != nil {
		incarnation = old.incarnation + 1
	} else {
		n.hosts = append(n.hosts, host)
	}
	env := kernel.Environment{
		Self:        endpoint.Entry{Host: host, Domain: id.Domain(host[:1]), Incarnation: id.Incarnation(n.now)},
		Seeds:       []kernel.Seed{{Host: "seed", Domain: id.Domain(host[:1])}},
		HasPlatform: platform, RandomSeed: uint64(host[1]), Options: options,
	}
	started := &node{env: env, kernel: kernel.New(env), incarnation: incarnation, counts: map[string]int{}}
	n.nodes[host] = started
	n.deliver(host, 0, kernel.Tick{})
	return started
}

func (n *network) stop(host id.Host) {
	for _, other := range n.hosts {
		n.unlink(host, other)
	}
	n.nodes[host].incarnation++
	n.nodes[host].kernel = nil
}

func (n *network) link(a, b id.Host) {
	n.links[[2]id.Host{a, b}], n.links[[2]id.Host{b, a}] = true, true
	n.deliver(a, 0, kernel.LinkUp{Host: b, Domain: id.Domain(b[:1]), Outbound: true})
	n.deliver(b, 0, kernel.LinkUp{Host: a, Domain: id.Domain(a[:1])})
}

func (n *network) unlink(a, b id.Host) {
	if !n.links[[2]id.Host{a, b}] {
		return
	}
	delete(n.links, [2]id.Host{a, b})
	delete(n.links, [2]id.Host{b, a})
	n.deliver(a, 0, kernel.LinkDown{Host: b})
	n.deliver(b, 0, kernel.LinkDown{Host: a})
}

// startFullMesh starts hosts that are all linked to each other.
func (n *network) startFullMesh(options kernel.Options, hosts ...id.Host) {
	for index, host := range hosts {
		n.start(host, options, true)
		for _, other := range hosts[:index] {
			n.link(host, other)
		}
	}
}

func (n *network) deliver(host id.Host, after time.Duration, event kernel.Event) {
	n.order++
	next := delivery{n.now.Add(after), n.order, host, n.nodes[host].incarnation, event}
	place, _ := slices.BinarySearchFunc(n.queue, next, func(a, b delivery) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.order, b.order))
	})
	n.queue = slices.Insert(n.queue, place, next)
}

// run advances the virtual time by span and delivers what falls due.
func (n *network) run(span time.Duration) {
	end := n.now.Add(span)
	for len(n.queue) > 0 && n.queue[0].at <= end {
		next := n.queue[0]
		n.queue = n.queue[1:]
		n.now = next.at
		n.handle(next)
	}
	n.now = end
}

func (n *network) handle(next delivery) {
	to := n.nodes[next.host]
	if to.incarnation != next.incarnation {
		return
	}
	if _, tick := next.event.(kernel.Tick); tick {
		n.deliver(next.host, kernel.TickInterval, kernel.Tick{})
		if to.paused {
			return
		}
	}
	if to.paused {
		to.backlog = append(to.backlog, next.event)
		return
	}
	n.step(next.host, to, next.event)
}

func (n *network) step(host id.Host, to *node, event kernel.Event) {
	to.records = append(to.records, trace.Record{At: n.now, Event: event})
	for _, action := range to.kernel.Step(n.now, event) {
		n.perform(host, to, action)
	}
}

// resume ends a pause and delivers the events that arrived during it.
func (n *network) resume(host id.Host) {
	to := n.nodes[host]
	to.paused = false
	for _, event := range to.backlog {
		n.step(host, to, event)
	}
	to.backlog = nil
}

func (n *network) perform(host id.Host, from *node, action kernel.Action) {
	switch action := action.(type) {
	case kernel.Send:
		if n.links[[2]id.Host{host, action.Host}] && !n.drop(host, action.Host, action.Frame) {
			after := time.Millisecond + time.Duration(n.random.Int64N(int64(n.maxDelay)+1))
			n.deliver(action.Host, after, kernel.Received{Host: host, Frame: action.Frame})
		}
	case kernel.ReadManifest:
		n.answerManifest(host, from, action)
	case kernel.ReadPart:
		for _, published := range n.versions {
			if data, ok := published.parts[action.Part.SHA256]; ok {
				n.deliver(host, 5*time.Millisecond, kernel.PartRead{Digest: action.Part.SHA256, Data: data})
				return
			}
		}
		n.deliver(host, 5*time.Millisecond, kernel.ReadFailed{Read: kernel.ReadKindPart})
	case kernel.Publish:
		n.violations = append(n.violations, n.violationsOf(host, action)...)
		from.inForce = action.View.Version
	case kernel.SetReady:
		from.ready = action.Ready
	case kernel.Count:
		from.counts[action.Name]++
	}
}

func (n *network) answerManifest(host id.Host, from *node, action kernel.ReadManifest) {
	switch n.servedIndex {
	case 0:
		n.deliver(host, 5*time.Millisecond, kernel.ReadFailed{Read: kernel.ReadKindManifest})
	case action.After:
		from.watchPending = true
	default:
		n.answer(host, n.servedIndex)
	}
}

func (n *network) answer(host id.Host, index id.Version) {
	n.nodes[host].watchPending = false
	n.deliver(host, 5*time.Millisecond, kernel.ManifestRead{
		Index: index, Data: n.versions[index].manifest, Consistent: n.consistent,
	})
}

// violationsOf returns the guarantees that a published view violates.
func (n *network) violationsOf(host id.Host, action kernel.Publish) []string {
	var violations []string
	version := action.View.Version
	if version < n.highestRun[host] {
		violations = append(violations, fmt.Sprintf("%s went from %d to %d", host, n.highestRun[host], version))
	}
	n.highestRun[host] = max(n.highestRun[host], version)
	if dangling := action.View.DanglingRoutes(); len(dangling) > 0 {
		violations = append(violations, fmt.Sprintf("%s runs dangling routes %v of %d", host, dangling, version))
	}
	known, published := n.versions[version]
	if !published || known.digest != action.Snapshot.Digest || action.View.Digest != action.Snapshot.Digest {
		violations = append(violations, fmt.Sprintf("%s runs %d, which is not a whole published version", host, version))
	}
	return violations
}

// publish stores a version without serving it. An invalid version has no digest, so
// it counts as a violation if it comes into force.
func (n *network) publish(version id.Version, parts ...string) {
	published := publication{parts: map[id.Digest][]byte{}}
	entry := manifest.Manifest{Format: manifest.Format}
	for _, text := range parts {
		digest := id.DigestOf([]byte(text))
		published.parts[digest] = []byte(text)
		entry.Parts = append(entry.Parts, manifest.Part{SHA256: digest, Bytes: len(text)})
	}
	if set, err := entry.Assemble(published.parts); err == nil {
		published.digest = snapshot.New(version, set).Digest
	}
	published.manifest, _ = json.Marshal(entry)
	n.versions[version] = published
}

// serve makes the platform answer with an index and completes the waiting reads.
func (n *network) serve(version id.Version) {
	n.servedIndex = version
	for _, host := range n.hosts {
		if n.nodes[host].watchPending && n.nodes[host].kernel != nil {
			n.answer(host, version)
		}
	}
}

// release publishes and serves a valid configuration of two parts.
func (n *network) release(version id.Version) {
	n.publish(version, services(version), routes(version, "counter"))
	n.serve(version)
}

func services(version id.Version) string {
	return fmt.Sprintf(`[{"kind":"service","name":"counter","slots":%d,"connections":130}]`, version)
}

func routes(version id.Version, service string) string {
	return fmt.Sprintf(`[{"kind":"configuration","name":"all","routes":[{"name":"stock","path_prefix":"/stock",`+
		`"service":%q,"timeout_ms":%d,"class":"lookup"}]}]`, service, 1000+version)
}

// unvalidatedSnapshot returns a snapshot that was never validated.
func unvalidatedSnapshot(version id.Version, text string) *snapshot.Snapshot {
	set := document.NewSet()
	_ = set.Add("test", []byte(text))
	return snapshot.New(version, set)
}

// converged reports whether all running hosts serve the version.
func (n *network) converged(version id.Version) bool {
	for _, host := range n.hosts {
		node := n.nodes[host]
		if node.kernel != nil && (node.inForce != version || node.ready != kernel.Serving) {
			return false
		}
	}
	return true
}
