package sidecar

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"marjoramsaddle/core/contain"
	"marjoramsaddle/core/gossip"
	"marjoramsaddle/core/mirror"
	"marjoramsaddle/core/placement"
	"marjoramsaddle/io/control"
	"marjoramsaddle/platform"
)

const (
	// watchWait is how long a watch of the store waits. A watch may hear nothing
	// while changes are made, so its silence must not last long against the
	// seconds within which a change has to be in force.
	watchWait = time.Second
	// shortestWait is the wait of a watch that is to answer at once.
	shortestWait = time.Millisecond
	// callMargin is allowed for the way to the store and back. A call that takes
	// longer is on a connection that has gone silent.
	callMargin = 600 * time.Millisecond
	// batchPause lets changes gather between two watches.
	batchPause = 100 * time.Millisecond
	// firstBackoff and longestBackoff space the calls to a store that refuses.
	firstBackoff   = 50 * time.Millisecond
	longestBackoff = 400 * time.Millisecond
	// housekeepingInterval is how often idle connections are checked.
	housekeepingInterval = time.Second
	// fetchInterval is the time between two calls to daemons that are ahead.
	fetchInterval = 20 * time.Millisecond
	// nearGrace is how long changes are awaited from the own failure domain
	// before they are fetched from another one.
	nearGrace = 300 * time.Millisecond
	// freshAge is the age of a daemon's news of the store up to which others
	// leave the reading to it: a watch that hears nothing, and the way there.
	freshAge = watchWait + 300*time.Millisecond
	// newsFanout is the number of daemons that are told at once of a new revision,
	// drawn at random. Each of them tells as many, so the news reaches hundreds in
	// a few steps without being sent to each by each.
	newsFanout = 6
	// readerFanout is newsFanout for a daemon that reads the store.
	readerFanout = 24
	// firstStartWait is how long a daemon waits for the seeds' copy when the whole
	// system starts. Traffic starts seconds later.
	firstStartWait = 2 * time.Second
	// peerTimeout bounds a call for changes to another daemon. A megabyte of
	// configuration, compressed, takes a slow link some hundred milliseconds.
	peerTimeout = 1500 * time.Millisecond
)

// followStore keeps the copy of the store current.
func (d *Daemon) followStore(ctx context.Context) {
	backoff := firstBackoff
	// relist is set while the copy may lack changes that no watch brings. A copy
	// of another daemon is complete, so watches go on from it.
	relist, lost := false, false
	// begun is set until the first answer after this daemon has begun to read.
	reading, begun := true, true
	for ctx.Err() == nil {
		stale := d.stale.Swap(false)
		relist = relist || stale
		if needed := stale || d.mustRead(); needed != reading {
			reading = needed
			begun = true
			d.log.Info("store reader", zap.Bool("reading", reading), zap.Uint64("revision", uint64(d.mirror.AsOf())))
		}
		if !reading {
			await(ctx, d.needed)
			continue
		}
		wait := watchWait
		if begun {
			// An answer at once tells others that this daemon reads.
			wait = shortestWait
		}
		err := contain.Panics(func() error { return d.readStore(ctx, relist || d.mirror.AsOf() == 0, wait) })
		switch {
		case err == nil:
			relist, begun = false, false
			backoff = firstBackoff
			if lost {
				lost = false
				d.log.Info("store answers again")
			}
			continue
		case errors.Is(err, platform.ErrHistoryGone), errors.Is(err, mirror.ErrGap):
			d.log.Info("store history gone; listing again", zap.Uint64("revision", uint64(d.mirror.AsOf())))
			relist = true
			continue
		}
		if contain.Stack(err) != "" {
			// The copy may have changes that were not taken over.
			d.panicked("answer of the store", err)
			relist = true
		}
		if !lost {
			lost = true
			d.log.Warn("store lost", zap.Error(err), zap.Uint64("revision", uint64(d.mirror.AsOf())))
		}
		d.store.Disconnect()
		sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, longestBackoff)
	}
}

// mustRead reports whether this daemon reads the store now. One that knows
// nothing reads, but when the whole system starts for the first time most leave
// it to the seeds for a moment: a fleet must not list the store all at once.
func (d *Daemon) mustRead() bool {
	if d.mirror.AsOf() > 0 {
		return d.members.reads()
	}
	settings := d.settings.Load()
	waits := settings.FirstStart && len(settings.Seeds) > 0 && !d.members.isSeed()
	return !waits || time.Since(d.started) > firstStartWait
}

// readStore makes one call that waits for changes, or the calls of one listing.
func (d *Daemon) readStore(ctx context.Context, list bool, wait time.Duration) error {
	if list {
		return d.listStore(ctx)
	}
	call, cancel := context.WithTimeout(ctx, watchWait+callMargin)
	defer cancel()
	changes, err := d.store.Watch(call, "", d.mirror.AsOf(), wait)
	if err != nil {
		return err
	}
	applied, err := d.mirror.Apply(changes)
	if err != nil {
		return err
	}
	d.state.confirmRead()
	d.state.apply(applied)
	if len(applied) > 0 {
		d.gossip.Send(draw(d.members.addresses(), readerFanout), d.readerNews())
		sleep(ctx, batchPause)
	}
	return nil
}

// listStore reads all items. Pages are not a snapshot: what changes between
// them is seen by the watch from the revision of the first page.
func (d *Daemon) listStore(ctx context.Context) error {
	call, cancel := context.WithTimeout(ctx, watchWait+callMargin)
	defer cancel()
	var items []mirror.Item
	var asOf mirror.Revision
	for after := ""; ; {
		page, err := d.store.List(call, "", after)
		if err != nil {
			return err
		}
		if after == "" {
			asOf = page.AsOf
		}
		items = append(items, page.Items...)
		if !page.More || len(page.Items) == 0 {
			break
		}
		after = page.Items[len(page.Items)-1].Key
	}
	d.state.confirmRead()
	d.state.apply(d.mirror.Replace(items, asOf))
	return nil
}

// followPeers fetches changes from other daemons that are ahead.
func (d *Daemon) followPeers(ctx context.Context) {
	for ctx.Err() == nil {
		// A daemon may have less than it told, after a restart for one.
		sleep(ctx, fetchInterval)
		address, found := d.members.ahead(d.mirror.AsOf())
		if !found {
			await(ctx, d.news)
			continue
		}
		err := contain.Panics(func() error { return d.fetch(ctx, address) })
		if errors.Is(err, control.ErrBusy) {
			continue
		}
		if contain.Stack(err) != "" {
			d.panicked("changes of "+address, err)
		}
		if err != nil {
			d.members.forget(address)
			d.log.Info("peer lost", zap.String("peer", address), zap.Error(err))
		}
	}
}

// await waits for a signal or the end of the context.
func await(ctx context.Context, signal <-chan struct{}) {
	select {
	case <-signal:
	case <-ctx.Done():
	}
}

// notify leaves a signal, unless one is there already.
func notify(signal chan<- struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

func (d *Daemon) fetch(ctx context.Context, address string) error {
	call, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	changes, age, err := d.peers.Changes(call, address, d.mirror.AsOf(), 0, d.mirror.LargeItems()...)
	if err != nil {
		return err
	}
	applied, err := d.mirror.Apply(changes)
	if err != nil {
		return err
	}
	d.state.confirm(d.now().Add(-age))
	if len(applied) > 0 {
		d.log.Info("changes from peer", zap.String("peer", address), zap.Int("changes", len(applied)),
			zap.Uint64("revision", uint64(changes.AsOf)), zap.Duration("peer_store_age", age))
	}
	d.state.apply(applied)
	if len(applied) > 0 {
		near, _ := d.members.split()
		d.gossip.Send(draw(slices.Clone(near), newsFanout), d.readerNews())
	}
	return nil
}

// tick tells the load to other daemons and does the housekeeping.
func (d *Daemon) tick(ctx context.Context) {
	next := time.Now().Add(housekeepingInterval)
	pauses := newPauseClock()
	rounds := gossip.NewPeerSelector(d.seed())
	for ctx.Err() == nil {
		sleep(ctx, gossip.RoundInterval)
		d.tell(rounds.Next(d.members.split()))
		d.wakeFollowers()
		d.state.expire()
		d.report(d.local.Load())
		if paused := pauses.since(); paused > longestPause {
			d.wake(paused)
		}
		if time.Now().After(next) {
			next = time.Now().Add(housekeepingInterval)
			d.hops.CloseExpired()
			d.backend.CloseExpired()
			d.requests.flush()
		}
	}
}

// wakeFollowers looks whether this daemon has to read the store, or may ask a
// daemon that is ahead, without having heard so since the last round.
func (d *Daemon) wakeFollowers() {
	if d.stale.Load() || d.mustRead() {
		notify(d.needed)
	}
	if _, found := d.members.ahead(d.mirror.AsOf()); found {
		notify(d.news)
	}
}

// tell sends the beacons of one round.
func (d *Daemon) tell(plan gossip.Plan) {
	news := d.readerNews()
	news.Near, news.Far = d.takeNews()
	news.Period = plan.Near.Period
	d.gossip.Send(plan.Near.Addresses, news)
	news.Period, news.Far = plan.Far.Period, nil
	d.gossip.Send(plan.Far.Addresses, news)
}

// takeNews returns the loads to pass on in this round.
func (d *Daemon) takeNews() (near, far []placement.Report) {
	now := d.now()
	d.boardsMu.Lock()
	defer d.boardsMu.Unlock()
	return d.nearBoard.Take(now), d.farBoard.Take(now)
}

// readerNews returns what is known of the daemons that read the store.
func (d *Daemon) readerNews() *control.Piggyback {
	return &control.Piggyback{Readers: d.members.tellReaders(d.readAge())}
}

// beacon returns what this daemon tells of itself.
func (d *Daemon) beacon() control.Beacon {
	return control.Beacon{
		Domain: d.settings.Load().Domain, Link: d.settings.Load().LinkRate, Load: d.local.Load(),
		Revision: d.mirror.AsOf(), StoreAge: d.storeAge(), ReadAge: d.readAge(),
		Incarnation: uint64(d.started.UnixNano()), Sequence: d.sequence.Add(1),
	}
}

// heard takes in the beacon of another daemon.
func (d *Daemon) heard(beacon *control.Beacon) {
	if beacon.Address == d.settings.Load().ControlAddress || !d.members.hear(beacon) {
		return
	}
	if beacon.Revision <= d.mirror.AsOf() {
		// What was current there then is known here as well.
		d.state.confirm(d.now().Add(-beacon.StoreAge))
	} else {
		notify(d.news)
	}
	nearPeriod, farPeriod := d.members.reportPeriods()
	if beacon.Domain == d.settings.Load().Domain {
		d.learnLoad(d.nearBoard, beacon.Load, nearPeriod)
		d.learnLoads(d.nearBoard, beacon.Near, nearPeriod)
		d.learnLoads(d.farBoard, beacon.Far, farPeriod)
		return
	}
	d.learnLoad(d.farBoard, beacon.Load, farPeriod)
	d.learnLoads(d.farBoard, beacon.Near, farPeriod)
}

// learnLoad takes in what a daemon tells of its own backend server. Unlike a
// copy it counts also when the former one is not old.
func (d *Daemon) learnLoad(board *gossip.ReportBuffer, load placement.Report, period time.Duration) {
	if load.Server == "" {
		return
	}
	load.Period = period
	d.put(board, &load)
	d.chooser.Report(load)
}

// put keeps a load for the next round and reports whether it is news.
func (d *Daemon) put(board *gossip.ReportBuffer, load *placement.Report) bool {
	d.boardsMu.Lock()
	defer d.boardsMu.Unlock()
	return board.Put(load)
}

// learnLoads takes in loads that come again in the period, and keeps those that
// are news for the next round.
func (d *Daemon) learnLoads(board *gossip.ReportBuffer, loads []placement.Report, period time.Duration) {
	for i := range loads {
		load := &loads[i]
		if load.Server == "" {
			continue
		}
		load.Period = period
		if d.put(board, load) {
			d.chooser.Report(*load)
		}
	}
}

func (d *Daemon) gossipFailed(err error) {
	if contain.Stack(err) != "" {
		d.panicked("beacon", err)
		return
	}
	d.log.Debug("beacon failed", zap.Error(err))
}

// draw returns some of the addresses at random.
func draw(addresses []string, count int) []string {
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(count, len(addresses))]
}

// sleep waits for the span or the end of the context.
func sleep(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
