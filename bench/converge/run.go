package converge

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"sync"
	"time"

	"marjoramsaddle/bench/fleet"
	"marjoramsaddle/bench/rig"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/snapshot"
	"marjoramsaddle/io/settings"
	"marjoramsaddle/standin/authority"
	"marjoramsaddle/standin/link"
	"marjoramsaddle/standin/platform"
)

const (
	serveTimeout = 2 * time.Minute
	// convergeTimeout is longer than the promised time, so that a miss is
	// measured.
	convergeTimeout = 30 * time.Second
	followInterval  = 50 * time.Millisecond
	// ackTime lets the last acknowledgements be sent and counted.
	ackTime = 1500 * time.Millisecond
	// restartInterval is the time between two starts of a daemon that ends.
	restartInterval = time.Second
)

// run is a fleet under measurement.
type run struct {
	setup     Setup
	folder    string
	layout    *fleet.Layout
	rig       *rig.Rig
	network   *link.Network
	publisher *fleet.Publisher
	daemons   []*daemon
	faults    []*fault
	outage    platform.Faults

	platform, control netip.AddrPort
	// relays are the addresses of the platform for each failure domain.
	relays map[id.Domain]netip.AddrPort

	first        fleet.Publication
	publications []fleet.Publication
	episodes     []Episode
	begun        time.Time
	idle, change Phase
	lock         sync.Mutex
}

// Run starts a fleet, publishes the changes and measures their convergence.
func Run(ctx context.Context, setup Setup) (Report, error) {
	if err := setup.Check(); err != nil {
		return Report{}, err
	}
	if setup.Notes == nil {
		setup.Notes = io.Discard
	}
	r := &run{setup: setup, folder: setup.Folder, network: link.New()}
	defer func() { _ = r.network.Close() }()
	if r.folder == "" {
		folder, err := os.MkdirTemp("", "marjoramsaddle-converge-")
		if err != nil {
			return Report{}, err
		}
		defer func() { _ = os.RemoveAll(folder) }()
		r.folder = folder
	}
	if err := r.prepare(); err != nil {
		return Report{}, err
	}
	return r.measure(ctx)
}

// prepare lays the fleet out and opens the relays.
func (r *run) prepare() error {
	var err error
	if err = os.MkdirAll(r.folder, 0o700); err != nil {
		return err
	}
	if r.faults, err = parseFaults(r.setup.Fault); err != nil {
		return err
	}
	if err = r.layOut(); err != nil {
		return err
	}
	issuer, err := authority.New()
	if err != nil {
		return err
	}
	return r.layout.Write(r.folder, issuer, r.settings)
}

func (r *run) layOut() error {
	ports := &ports{next: r.setup.FirstPort}
	r.platform, r.control = ports.take(), ports.take()
	var err error
	r.layout, err = fleet.New(fleet.Options{
		Daemons: r.setup.Daemons, Operator: fleet.Clouterie, Proxies: r.setup.Proxies,
		FirstPort: ports.next, IsPortFree: free,
	})
	if err != nil {
		return err
	}
	ports.next = r.layout.NextPort
	for i := range r.layout.Hosts {
		if err := r.addDaemon(&r.layout.Hosts[i], ports); err != nil {
			return err
		}
	}
	r.relays = map[id.Domain]netip.AddrPort{}
	for _, domain := range r.layout.Domains {
		r.relays[domain] = ports.take()
		if err := r.network.RelayTCP(r.relays[domain], r.platform, domain); err != nil {
			return err
		}
	}
	return nil
}

func (r *run) addDaemon(host *fleet.Host, ports *ports) error {
	if r.cutsLinks() {
		host.AdvertisedControl = ports.take()
		r.network.Register(host.Control, host.Domain)
		if err := r.network.RelayUDP(host.AdvertisedControl, host.Control, host.Domain); err != nil {
			return err
		}
	}
	files := fleet.FilesOf(r.folder, *host)
	r.daemons = append(r.daemons, &daemon{host: *host, settings: files.Settings, log: logOf(r.folder, host.Name)})
	return nil
}

// settings gives each daemon the platform's relay of its failure domain.
func (r *run) settings(host fleet.Host, seeds []fleet.Host, files fleet.Files) any {
	relay := "http://" + r.relays[host.Domain].String()
	change := func(s *settings.Settings) { s.Experiment.Strategy = r.setup.Strategy }
	return fleet.DaemonSettings(relay, change)(host, seeds, files)
}

func (r *run) measure(ctx context.Context) (Report, error) {
	var err error
	r.rig, err = rig.Start(ctx, rig.Options{
		Layout: r.layout, Folder: r.folder, Platform: r.platform, PlatformControl: r.control, NoBackends: true,
	})
	if err != nil {
		return Report{}, err
	}
	defer r.rig.Kill()
	r.publisher = fleet.NewPublisher(r.platform.String(), r.layout, r.setup.Seed)
	if err := r.serve(ctx); err != nil {
		return Report{}, err
	}
	if err := r.phases(ctx); err != nil {
		return Report{}, err
	}
	return r.report(ctx)
}

// serve starts the daemons and waits until all run the first version.
func (r *run) serve(ctx context.Context) error {
	if err := r.publisher.PublishHosts(ctx); err != nil {
		return err
	}
	var err error
	if r.first, err = r.publisher.PublishSnapshot(ctx); err != nil {
		return err
	}
	began := time.Now()
	for _, d := range r.daemons {
		if err := d.start(r.rig); err != nil {
			return err
		}
	}
	if err := r.await(ctx, r.first.Version, serveTimeout); err != nil {
		return err
	}
	r.note("all daemons serve %d ms after the first start", time.Since(began).Milliseconds())
	return sleep(ctx, r.setup.Settle)
}

// phases measures the fleet without changes, then with all of them.
func (r *run) phases(ctx context.Context) error {
	r.begun = time.Now()
	for _, d := range r.daemons {
		var err error
		if d.baseCPU, err = d.cpuNow(); err != nil {
			return err
		}
	}
	start, err := r.bytes()
	if err != nil {
		return err
	}
	if err := sleep(ctx, r.setup.Idle); err != nil {
		return err
	}
	before, err := r.bytes()
	if err != nil {
		return err
	}
	r.idle = Phase{Length: time.Since(r.begun), Bytes: before - start}
	changing := time.Now()
	if err := r.changes(ctx); err != nil {
		return err
	}
	if err := sleep(ctx, ackTime); err != nil {
		return err
	}
	after, err := r.bytes()
	r.change = Phase{Length: time.Since(changing), Bytes: after - before}
	return err
}

func (r *run) changes(ctx context.Context) error {
	for i := range r.setup.Changes {
		began := time.Now()
		if err := r.playFaults(ctx, i); err != nil {
			return err
		}
		if err := r.publish(ctx); err != nil {
			return err
		}
		if err := sleep(ctx, time.Until(began.Add(r.setup.Interval))); err != nil {
			return err
		}
	}
	if err := r.playFaults(ctx, r.setup.Changes); err != nil {
		return err
	}
	return r.await(ctx, r.last().Version, convergeTimeout)
}

func (r *run) last() fleet.Publication {
	if len(r.publications) == 0 {
		return r.first
	}
	return r.publications[len(r.publications)-1]
}

// publish publishes the next change, unless a fault keeps operators from it.
func (r *run) publish(ctx context.Context) error {
	for _, f := range r.faults {
		if f.active && f.offline {
			return nil
		}
		if f.active && f.crossing {
			return r.cross(ctx)
		}
	}
	r.publisher.ChangeDocument()
	publication, err := r.publisher.PublishSnapshot(ctx)
	r.publications = append(r.publications, publication)
	return err
}

// await follows the logs until all live daemons run a version.
func (r *run) await(ctx context.Context, version id.Version, limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for {
		behind, err := r.behind(version)
		if err != nil || len(behind) == 0 {
			return err
		}
		if time.Now().After(deadline) {
			return fmt.Errorf("version %d is not in force on %d daemons after %v, for example on %s; see the logs",
				version, len(behind), limit, behind[0])
		}
		if err := sleep(ctx, followInterval); err != nil {
			return err
		}
	}
}

// startAgain starts a daemon that has ended: its ports may lie in the ephemeral
// range and may have been taken by an outgoing connection.
func (r *run) startAgain(d *daemon) error {
	if time.Since(d.launched) < restartInterval {
		return nil
	}
	if d.again++; d.again == 1 {
		r.note("%s has ended and is started again; see its log", d.host.Name)
	}
	return d.start(r.rig)
}

func (r *run) behind(version id.Version) ([]id.Host, error) {
	var behind []id.Host
	for _, d := range r.daemons {
		if err := d.follow(); err != nil {
			return nil, err
		}
		if !d.live || d.inForce() >= version {
			continue
		}
		behind = append(behind, d.host.Name)
		select {
		case <-d.process.Exited():
			if err := r.startAgain(d); err != nil {
				return nil, err
			}
		default:
		}
	}
	return behind, nil
}

// bytes returns the control bytes of all daemons. Polling daemons get their
// versions from the platform, so its traffic is counted for them.
func (r *run) bytes() (int64, error) {
	var total int64
	errs := make([]error, len(r.daemons))
	r.each(r.daemons, func(i int, d *daemon) {
		sent := d.sent
		if d.live {
			var now int64
			now, errs[i] = d.sentNow()
			sent += now
		}
		r.lock.Lock()
		total += sent
		r.lock.Unlock()
	})
	if r.setup.Strategy == StrategyPoll {
		total += r.network.PlatformBytes()
	}
	return total, errors.Join(errs...)
}

// each runs a step for daemons side by side.
func (r *run) each(daemons []*daemon, step func(int, *daemon)) {
	var group sync.WaitGroup
	for i, d := range daemons {
		group.Go(func() { step(i, d) })
	}
	group.Wait()
}

func (r *run) report(ctx context.Context) (Report, error) {
	m := Measurement{
		Setup: r.setup, Episodes: r.episodes, Idle: r.idle, Changing: r.change, Wall: time.Since(r.begun),
	}
	digests := map[id.Version]id.Digest{r.first.Version: r.first.Snapshot.Digest}
	for _, p := range r.publications {
		digests[p.Version] = p.Snapshot.Digest
		m.Publications = append(m.Publications, Publication{Version: p.Version, Accepted: p.Accepted})
	}
	slowest := time.Duration(0)
	for _, d := range r.daemons {
		cpu, err := d.cpuNow()
		if err != nil {
			return Report{}, err
		}
		m.CPU += cpu - d.baseCPU
		m.RSSBytesMax = max(m.RSSBytesMax, d.rss)
		m.Live = append(m.Live, d.host.Name)
		slowest = max(slowest, d.slowestStart)
		for _, o := range d.history {
			o.Partial = !o.refused && o.digest != digests[o.Version]
			m.Observations = append(m.Observations, o)
		}
	}
	counters, err := r.rig.PlatformCounters(ctx)
	if err != nil {
		return Report{}, err
	}
	m.PlatformCallsMax = counters.PeakCallsPerS
	r.note("slowest start to a version in force: %d ms", slowest.Milliseconds())
	r.note("platform calls: %v, at most %d/s, platform payload %d B", counters.CallsByKind, counters.PeakCallsPerS, r.network.PlatformBytes())
	r.noteBusiest(counters)
	r.noteDeltas()
	return NewReport(m)
}

// noteBusiest tells the second with the most platform calls, counted from the
// start of the measurement.
func (r *run) noteBusiest(counters platform.Counters) {
	var busiest platform.SecondCounts
	for _, second := range counters.History {
		if second.Calls > busiest.Calls {
			busiest = second
		}
	}
	r.note("busiest second: %d calls, %d s after the start of the idle time", busiest.Calls, busiest.UnixS-r.begun.Unix())
}

// noteDeltas tells what the changes take at least.
func (r *run) noteDeltas() {
	sum, count, before := 0, 0, r.first.Snapshot
	full, err := snapshot.NewDelta(nil, before)
	if err != nil {
		return
	}
	for _, p := range r.publications {
		if delta, err := snapshot.NewDelta(before, p.Snapshot); err == nil {
			sum, count = sum+len(delta.Payload), count+1
		}
		before = p.Snapshot
	}
	if count > 0 {
		r.note("compressed: mean delta %d B, full snapshot %d B", sum/count, len(full.Payload))
	}
}

func (r *run) note(format string, args ...any) {
	_, _ = fmt.Fprintf(r.setup.Notes, "converge: "+format+"\n", args...)
}

func sleep(ctx context.Context, span time.Duration) error {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
