package sidecar

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"marjoramsaddle/core/catchup"
	"marjoramsaddle/core/contain"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/mirror"
	"marjoramsaddle/io/control"
)

const (
	// fetchInterval is the delay before each fetch from a daemon that is ahead.
	fetchInterval = 20 * time.Millisecond
	// askAgainInterval is the delay after no further daemon was found to ask.
	askAgainInterval = 50 * time.Millisecond
	// peerFetchTimeout bounds a fetch of changes from another daemon. A compressed
	// configuration of one megabyte takes some hundred milliseconds on a slow link.
	peerFetchTimeout = 1500 * time.Millisecond
	// storeInsteadTimeout is how long a daemon that cannot read the changes of others waits
	// for its own listing of the store before it asks others again.
	storeInsteadTimeout = 3 * time.Second
	// maxSlowFetches is the number of fetches in a row that may end within their responses
	// for want of time before the store is read instead. A single one may be due to a peer
	// that was paused.
	maxSlowFetches = 2
)

var (
	errFetchTimeout = errors.New("the changes have not arrived in time")
	// errSlowFetch is errFetchTimeout for changes of which a part has arrived.
	errSlowFetch = errors.New("the changes take longer than a fetch may")
)

// followPeers fetches changes from other daemons that are ahead.
func (d *Daemon) followPeers(ctx context.Context) {
	for ctx.Err() == nil {
		// Wait before each fetch: after a restart, for example, a daemon may lack a
		// revision that it announced, and fetching at once would loop without pause.
		sleep(ctx, fetchInterval)
		address, found := d.members.peerAhead(d.mirror.AsOf())
		if !found {
			waitForSignal(ctx, d.newerRevision)
			continue
		}
		if errors.Is(d.catchUp(ctx, address), control.ErrUnreadable) {
			d.readStoreInstead(ctx)
		}
	}
}

// readStoreInstead lists the store once, which has no limit for all items together, and
// waits until the copy has advanced.
func (d *Daemon) readStoreInstead(ctx context.Context) {
	asOf := d.mirror.AsOf()
	_, advanced := d.mirror.Since(asOf)
	d.log.Info("reading the store instead of peers", zap.Uint64("revision", uint64(asOf.Revision)))
	d.relistRequested.Store(true)
	setSignal(d.readNeeded)
	select {
	case <-advanced:
	case <-time.After(storeInsteadTimeout):
	case <-ctx.Done():
	}
}

// fetch is a call for changes in progress.
type fetch struct {
	address string
	began   id.Instant
	// newConn is set if the fetch must not use an idle connection.
	newConn bool
	err     error
}

// catchUp fetches changes from the daemon at the address, and from others as long as
// those that were asked are silent, until one of them has delivered or all have failed. It
// returns control.ErrUnreadable if the changes are too long, or take too long on this
// host's link, and would be so again.
func (d *Daemon) catchUp(ctx context.Context, address string) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	round := catchup.NewRound()
	responding, ended := make(chan string), make(chan fetch)
	start := func(one fetch) {
		one.began = d.now()
		round.Asked(one.address, one.began)
		go d.fetch(ctx, one, responding, ended)
	}
	start(fetch{address: address})
	notBefore := id.Instant(0)
	for round.Pending() > 0 {
		var next <-chan time.Time
		if at, more := round.NextAt(); more {
			next = time.After(max(at, notBefore).Sub(d.now()))
		}
		select {
		case <-ctx.Done():
			return nil
		case one := <-ended:
			if one.err == nil {
				d.slowFetches = 0
				return nil
			}
			if errors.Is(one.err, control.ErrBusy) {
				round.Busy(one.address, d.now())
				continue
			}
			round.Failed(one.address, d.now())
			d.recordFetchError(&one)
			if errors.Is(one.err, errSlowFetch) {
				d.slowFetches++
			}
			if d.slowFetches >= maxSlowFetches || errors.Is(one.err, control.ErrUnreadable) {
				d.slowFetches = 0
				return control.ErrUnreadable
			}
		case address := <-responding:
			round.Responding(address, d.now())
		case <-next:
			now := d.now()
			another, found := d.members.latestAhead(d.mirror.AsOf(), func(address string) bool { return round.MayAsk(address, now) })
			if !found {
				notBefore = now.Add(askAgainInterval)
				continue
			}
			d.log.Info("asking another peer", zap.String("peer", another), zap.Int("pending", round.Pending()), zap.Duration("behind", d.behind()))
			start(fetch{address: another, newConn: true})
		}
	}
	return nil
}

// fetch fetches changes, reports when the response begins, and reports its end.
func (d *Daemon) fetch(ctx context.Context, one fetch, responding chan<- string, ended chan<- fetch) {
	begun := false
	one.err = contain.Panics(func() error {
		return d.fetchChanges(ctx, &one, func() {
			begun = true
			select {
			case responding <- one.address:
			case <-ctx.Done():
			}
		})
	})
	if begun && errors.Is(one.err, errFetchTimeout) {
		one.err = fmt.Errorf("%w: %w", errSlowFetch, one.err)
	}
	if ctx.Err() != nil && one.err != nil && !begun {
		// Another daemon was faster. The idle connections to this one may be as silent.
		d.controlPool.CloseIdleTo(one.address)
	}
	select {
	case ended <- one:
	case <-ctx.Done():
	}
}

// recordFetchError logs why a daemon did not deliver, and forgets it until it sends
// another beacon.
func (d *Daemon) recordFetchError(one *fetch) {
	if contain.Stack(one.err) != "" {
		d.logPanic("changes of "+one.address, one.err)
	}
	d.members.forget(one.address)
	d.metrics.Control("peer", "lost")
	d.log.Info("peer lost", zap.String("peer", one.address), zap.Error(one.err), zap.Duration("took", d.now().Sub(one.began)),
		zap.Duration("behind", d.behind()), zap.Uint64("revision", uint64(d.mirror.AsOf().Revision)))
}

// fetchChanges fetches and applies the changes that a daemon has, and notifies others
// of them. It calls onResponse when the response begins.
func (d *Daemon) fetchChanges(ctx context.Context, one *fetch, onResponse func()) error {
	callCtx, cancel := context.WithTimeout(ctx, peerFetchTimeout)
	defer cancel()
	changes, age, err := d.peerClient.Changes(callCtx, one.address, control.Query{
		After: d.mirror.AsOf(), Held: d.mirror.LargeValues(), NewConn: one.newConn, OnResponse: onResponse,
	})
	if err != nil && errors.Is(callCtx.Err(), context.DeadlineExceeded) {
		return fmt.Errorf("%w: %w", errFetchTimeout, err)
	}
	if err != nil {
		return err
	}
	behind := d.behind()
	applied, err := d.applyChanges(changes, func() { d.storeState.recordCurrentAt(d.now().Add(-age)) })
	if err != nil || len(applied) == 0 {
		return err
	}
	d.log.Info("changes from peer", zap.String("peer", one.address), zap.Int("changes", len(applied)),
		zap.Uint64("revision", uint64(changes.AsOf.Revision)), zap.Duration("peer_store_age", age), zap.Duration("took", d.now().Sub(one.began)), zap.Duration("behind", behind))
	d.metrics.CatchUp(behind)
	near, _ := d.members.nearAndFar()
	d.gossip.Send(sample(slices.Clone(near), revisionFanout), d.readerPiggyback())
	return nil
}

// recordEra logs and counts that the copy of the store has moved to another era.
func (d *Daemon) recordEra(before, after mirror.Position) {
	if after.Era == before.Era || before == (mirror.Position{}) {
		return
	}
	d.metrics.Control("store_era", "changed")
	d.log.Warn("store is back from a copy", zap.Uint64("era_before", uint64(before.Era)), zap.Uint64("revision_before", uint64(before.Revision)),
		zap.Uint64("era", uint64(after.Era)), zap.Uint64("revision", uint64(after.Revision)))
}

// applyChanges applies changes to the copy of the store and then to the state derived
// from it. Both are one step, because the store is read and several daemons are asked at
// the same time: changes must reach the derived state in the order of their revisions.
// In between it calls recordCurrent, as whether entries have lapsed depends on it.
func (d *Daemon) applyChanges(changes mirror.Changes, recordCurrent func()) ([]mirror.Item, error) {
	d.applyMu.Lock()
	defer d.applyMu.Unlock()
	before := d.mirror.AsOf()
	applied, err := d.mirror.Apply(changes)
	if err != nil {
		return nil, err
	}
	d.recordEra(before, d.mirror.AsOf())
	recordCurrent()
	d.storeState.apply(applied)
	return applied, nil
}
