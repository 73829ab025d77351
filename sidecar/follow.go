package sidecar

import (
	"context"
	"errors"
	"math/rand/v2"
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
	// watchWait is how long a watch of the store waits for changes. A watch may miss
	// changes that are made meanwhile, and other daemons notice a lost reader by the age
	// of its last read, so it has to be short compared to the two seconds within which a
	// change must take effect.
	watchWait = 500 * time.Millisecond
	// immediateWait is the wait of a watch that must return at once.
	immediateWait = time.Millisecond
	// storeCallMargin is added for the round trip to the store. A call whose response
	// begins later is on a connection that no longer responds.
	storeCallMargin = 600 * time.Millisecond
	// storeStallTimeout is how long a response may pause after it has begun.
	storeStallTimeout = time.Second
	// batchDelay is the pause after a call of the store that returned changes, so that the
	// next one returns several at once.
	batchDelay = 100 * time.Millisecond
	// minBackoff and maxBackoff limit the delay between calls to a store that fails.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
	// housekeepingInterval is how often idle connections are closed and suppressed
	// log lines are reported.
	housekeepingInterval = time.Second
	// nearFetchGrace is how long to wait for changes to reach this failure domain
	// before fetching them from another one.
	nearFetchGrace = 300 * time.Millisecond
	// freshReaderAge is how long after its last store read a daemon counts as a current
	// reader, not including the gossip delay. It covers one watch without changes and
	// the network delay.
	freshReaderAge = watchWait + 300*time.Millisecond
	// revisionFanout is the number of daemons, chosen at random, that are notified at
	// once of a new revision. Each notifies as many in turn, so hundreds are reached
	// in a few steps without every daemon notifying every other.
	revisionFanout = 6
	// readerFanout is revisionFanout for a daemon that reads the store.
	readerFanout = 24
	// firstStartWait is how long a daemon waits for the seeds' copy when the whole
	// system starts. Traffic starts seconds later.
	firstStartWait = 2 * time.Second
	// storeResponseTimeout bounds the time until the response to a call of the store
	// begins.
	storeResponseTimeout = watchWait + storeCallMargin
)

// followStore keeps the copy of the store current.
func (d *Daemon) followStore(ctx context.Context) {
	backoff := minBackoff
	// copyMayBeIncomplete is set while the copy may lack changes that watches do not
	// return. A copy fetched from another daemon is complete, so watches continue from
	// it.
	copyMayBeIncomplete, storeUnreachable := false, false
	// cutWatches counts the watches in a row whose responses have begun and not ended.
	cutWatches := 0
	// awaitingFirstResponse is set until the first response after this daemon started
	// reading.
	reading, awaitingFirstResponse := true, true
	for ctx.Err() == nil {
		relistRequested := d.relistRequested.Swap(false)
		copyMayBeIncomplete = copyMayBeIncomplete || relistRequested
		if readNeeded := relistRequested || d.shouldReadStore(); readNeeded != reading {
			reading = readNeeded
			awaitingFirstResponse = true
			d.log.Info("store reader", zap.Bool("reading", reading), zap.Uint64("revision", uint64(d.mirror.AsOf().Revision)))
		}
		if !reading {
			waitForSignal(ctx, d.readNeeded)
			continue
		}
		wait := watchWait
		if awaitingFirstResponse {
			// An immediate response lets other daemons know early that this one
			// reads.
			wait = immediateWait
		}
		list := copyMayBeIncomplete || !d.hasCopy()
		err := contain.Panics(func() error { return d.readStore(ctx, list, wait) })
		if err == nil {
			copyMayBeIncomplete, awaitingFirstResponse = false, false
			backoff, cutWatches = minBackoff, 0
			if storeUnreachable {
				storeUnreachable = false
				d.log.Info("store responds again")
			}
			continue
		}
		if !list && needsListing(err) {
			d.log.Info("listing the store again", zap.Error(err), zap.Uint64("revision", uint64(d.mirror.AsOf().Revision)))
			copyMayBeIncomplete = true
			continue
		}
		if errors.Is(err, platform.ErrResponseCut) {
			cutWatches++
			copyMayBeIncomplete = copyMayBeIncomplete || cutWatches >= maxCutWatches
		}
		if contain.Stack(err) != "" {
			// The copy may contain changes that were not applied.
			d.logPanic("store response", err)
			copyMayBeIncomplete = true
		}
		if !storeUnreachable {
			storeUnreachable = true
			d.log.Warn("store lost", zap.Error(err), zap.Uint64("revision", uint64(d.mirror.AsOf().Revision)))
		}
		d.store.Disconnect()
		sleep(ctx, backoff/2+rand.N(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}

// shouldReadStore reports whether this daemon reads the store now. A daemon without a
// copy reads, except that at the first start of the whole system most wait for the
// seeds' copy first, so that the fleet does not list the store all at once.
func (d *Daemon) shouldReadStore() bool {
	if d.hasCopy() {
		return d.members.isReader()
	}
	settings := d.settings.Load()
	waitsForSeeds := settings.FirstStart && len(settings.Seeds) > 0 && !d.members.isSeed()
	return !waitsForSeeds || time.Since(d.startedAt) > firstStartWait
}

// hasCopy reports whether this daemon has a copy of the store.
func (d *Daemon) hasCopy() bool { return d.mirror.AsOf() != mirror.Position{} }

// waitForSignal waits for the signal or the end of the context.
func waitForSignal(ctx context.Context, signal <-chan struct{}) {
	select {
	case <-signal:
	case <-ctx.Done():
	}
}

// setSignal sets the signal unless it is already set.
func setSignal(signal chan<- struct{}) {
	select {
	case signal <- struct{}{}:
	default:
	}
}

// runRounds sends this daemon's state to others each round and does housekeeping.
func (d *Daemon) runRounds(ctx context.Context) {
	nextHousekeeping := time.Now().Add(housekeepingInterval)
	clock := newPauseClock()
	peerSelector := gossip.NewPeerSelector(d.seed())
	for ctx.Err() == nil {
		sleep(ctx, gossip.RoundInterval)
		d.sendBeacons(peerSelector.Next(d.members.nearAndFar()))
		d.wakeFollowers()
		d.storeState.expire()
		d.report(d.localBackend.Load())
		if paused := clock.elapsed(); paused > pauseThreshold {
			d.resumeAfterPause(paused)
		}
		if time.Now().After(nextHousekeeping) {
			nextHousekeeping = time.Now().Add(housekeepingInterval)
			d.hopPool.CloseExpired()
			d.controlPool.CloseExpired()
			d.backendPool.CloseExpired()
			d.requestLogger.logSuppressed()
		}
	}
}

// wakeFollowers signals the followers when this daemon has to read the store or a
// peer is ahead. Both also become true by the passing of time alone.
func (d *Daemon) wakeFollowers() {
	if d.relistRequested.Load() || d.shouldReadStore() {
		setSignal(d.readNeeded)
	}
	if _, found := d.members.peerAhead(d.mirror.AsOf()); found {
		setSignal(d.newerRevision)
	}
}

// sendBeacons sends the beacons of one round.
func (d *Daemon) sendBeacons(plan gossip.Plan) {
	piggyback := d.readerPiggyback()
	piggyback.Near, piggyback.Far = d.takeReports()
	piggyback.Period = plan.Near.Period
	d.gossip.Send(plan.Near.Addresses, piggyback)
	piggyback.Period, piggyback.Far = plan.Far.Period, nil
	d.gossip.Send(plan.Far.Addresses, piggyback)
}

// takeReports returns the load reports to relay in this round.
func (d *Daemon) takeReports() (near, far []placement.Report) {
	now := d.now()
	d.reportsMu.Lock()
	defer d.reportsMu.Unlock()
	return d.nearReports.Take(now), d.farReports.Take(now)
}

// readerPiggyback returns a piggyback with the known store readers.
func (d *Daemon) readerPiggyback() *control.Piggyback {
	return &control.Piggyback{Readers: d.members.recentReaders(d.readAge())}
}

// beacon returns this daemon's own state.
func (d *Daemon) beacon() control.Beacon {
	return control.Beacon{
		Domain: d.settings.Load().Domain, Link: d.settings.Load().LinkRate, Load: d.localBackend.Load(),
		AsOf: d.mirror.AsOf(), StoreAge: d.storeAge(), ReadAge: d.readAge(),
		Incarnation: uint64(d.startedAt.UnixNano()), Sequence: d.beaconSequence.Add(1),
	}
}

// handleBeacon processes the beacon of another daemon.
func (d *Daemon) handleBeacon(beacon *control.Beacon) {
	if d.members.isSelf(beacon.Address) || !d.members.recordBeacon(beacon) {
		return
	}
	d.lag.recordAnnouncement(beacon.AsOf, d.mirror.AsOf(), d.now())
	switch {
	case beacon.AsOf.Compare(d.mirror.AsOf()) > 0:
		setSignal(d.newerRevision)
	case beacon.AsOf != mirror.Position{}:
		// This copy is at least as new as the sender's, so it was current when the
		// sender's was.
		d.storeState.recordCurrentAt(d.now().Add(-beacon.StoreAge))
	}
	nearPeriod, farPeriod := d.members.reportPeriods()
	if beacon.Domain == d.settings.Load().Domain {
		d.applyDirectReport(d.nearReports, beacon.Load, nearPeriod)
		d.applyRelayedReports(d.nearReports, beacon.Near, nearPeriod)
		d.applyRelayedReports(d.farReports, beacon.Far, farPeriod)
		return
	}
	d.applyDirectReport(d.farReports, beacon.Load, farPeriod)
	d.applyRelayedReports(d.farReports, beacon.Near, farPeriod)
}

// applyDirectReport applies the load that a daemon reports of its own backend server.
// Unlike a relayed report it applies even if the previous one is recent.
func (d *Daemon) applyDirectReport(buffer *gossip.ReportBuffer, load placement.Report, period time.Duration) {
	if load.Server == "" {
		return
	}
	load.Period = period
	d.bufferReport(buffer, &load)
	d.chooser.Report(load)
}

// bufferReport stores a report for the next round and returns whether it is new.
func (d *Daemon) bufferReport(buffer *gossip.ReportBuffer, load *placement.Report) bool {
	d.reportsMu.Lock()
	defer d.reportsMu.Unlock()
	return buffer.Put(load)
}

// applyRelayedReports applies load reports that are repeated at the given period, and
// buffers the new ones for the next round.
func (d *Daemon) applyRelayedReports(buffer *gossip.ReportBuffer, loads []placement.Report, period time.Duration) {
	for i := range loads {
		load := &loads[i]
		if load.Server == "" {
			continue
		}
		load.Period = period
		if d.bufferReport(buffer, load) {
			d.chooser.Report(*load)
		}
	}
}

func (d *Daemon) logGossipError(err error) {
	if contain.Stack(err) != "" {
		d.logPanic("beacon", err)
		return
	}
	d.log.Debug("failed to send or read a beacon", zap.Error(err))
}

// sample returns up to count of the addresses, chosen at random. It shuffles the
// slice in place.
func sample(addresses []string, count int) []string {
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(count, len(addresses))]
}

// sleep waits for the duration or the end of the context.
func sleep(ctx context.Context, duration time.Duration) {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
