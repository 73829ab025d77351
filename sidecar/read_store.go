package sidecar

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"marjoramsaddle/core/id"
	"marjoramsaddle/core/mirror"
	"marjoramsaddle/platform"
)

const (
	// minStoreRate is the rate in bytes per second below which a response of the store is
	// given up. The slowest links have three times as much.
	minStoreRate = 256 << 10
	// minWatchBytes is the length up to which the response to a watch is always read. A
	// configuration of 1,500 routes fits.
	minWatchBytes = 512 << 10
	// pageBytes is about the length of the longest page of a listing: 1 MB in base64.
	pageBytes = 3 << 19
	// maxCutWatches is the number of watches in a row that may end within their responses
	// before the store is listed instead.
	maxCutWatches = 2
	// maxListingPause is how long after its last page a listing may be continued.
	maxListingPause = 5 * time.Second
)

var (
	errEarlierEra = errors.New("the store has responded in an earlier era than that of the copy: call again")
	errNextEra    = errors.New("the store has come back from a copy during the listing: begin again")
)

// needsListing reports whether a watch has failed because the store cannot or should not
// send the changes one by one.
func needsListing(err error) bool {
	return errors.Is(err, platform.ErrHistoryGone) || errors.Is(err, mirror.ErrGap) ||
		errors.Is(err, mirror.ErrLaterEra) || errors.Is(err, platform.ErrResponseTooLong)
}

// readStore makes one watch call, or the calls of one listing.
func (d *Daemon) readStore(ctx context.Context, list bool, wait time.Duration) error {
	if list {
		return d.listStore(ctx)
	}
	maxBytes := d.maxWatchBytes()
	callCtx, cancel := context.WithTimeout(ctx, storeResponseTimeout+transferTime(maxBytes))
	defer cancel()
	began := d.now()
	changes, err := d.store.Watch(callCtx, "", d.mirror.AsOf(), wait, maxBytes)
	if err != nil {
		return err
	}
	if changes.AsOf.Era < d.mirror.AsOf().Era {
		return errEarlierEra
	}
	applied, err := d.applyChanges(changes, d.storeState.recordStoreRead)
	if err != nil {
		return err
	}
	d.announceRead(ctx, "changes from store", len(applied), began)
	return nil
}

// announceRead logs how many changes the store has returned, notifies other daemons, and
// waits for further changes.
func (d *Daemon) announceRead(ctx context.Context, message string, changes int, began id.Instant) {
	if changes == 0 {
		return
	}
	d.log.Info(message, zap.Int("changes", changes), zap.Uint64("revision", uint64(d.mirror.AsOf().Revision)), zap.Duration("took", d.now().Sub(began)))
	d.gossip.Send(sample(d.members.addresses(), readerFanout), d.readerPiggyback())
	sleep(ctx, batchDelay)
}

// maxWatchBytes returns the length from which on the response to a watch is given up. A
// watch returns each version of a value, a listing only the newest: on a slow link a
// series of large versions would keep a daemon at old ones. With a limit of one and a half
// times the listing, the two together take at most two and a half times as long as the
// listing alone.
func (d *Daemon) maxWatchBytes() int64 {
	items, valueBytes := d.mirror.Size()
	return max(minWatchBytes, platform.ListingBytes(items, valueBytes)*3/2)
}

// transferTime returns the time allowed for a response of the given length.
func transferTime(length int64) time.Duration {
	return time.Duration(length) * time.Second / minStoreRate
}

// listing is a listing of the store in progress.
type listing struct {
	items []mirror.Item
	// asOf is the position of the first page.
	asOf mirror.Position
	// last is the key of the last item, and lastPageAt when its page arrived.
	last       string
	lastPageAt id.Instant
	// operatorAsOf is the position up to which configurations have been put in force.
	operatorAsOf mirror.Position
}

// add adds the next page and reports whether the listing is complete. All pages have to be
// of one era.
func (l *listing) add(page *mirror.Page, now id.Instant) (complete bool, err error) {
	if l.last == "" {
		l.asOf, l.operatorAsOf = page.AsOf, page.AsOf
	}
	if page.AsOf.Era != l.asOf.Era {
		return false, errNextEra
	}
	l.items, l.lastPageAt = append(l.items, page.Items...), now
	if len(page.Items) > 0 {
		l.last = page.Items[len(page.Items)-1].Key
	}
	return !page.More || len(page.Items) == 0, nil
}

// listStore reads all items, or those that a listing that has failed lacks. Pages are not
// a consistent snapshot: the watch continues from the revision of the first page and
// returns what changed between them.
func (d *Daemon) listStore(ctx context.Context) error {
	if d.now().Sub(d.listing.lastPageAt) > maxListingPause {
		d.listing = listing{}
	}
	began := d.now()
	for complete := false; !complete; {
		page, err := d.listPage(ctx, d.listing.last)
		if err != nil {
			return err
		}
		if page.AsOf.Era < d.mirror.AsOf().Era {
			return errEarlierEra
		}
		if complete, err = d.listing.add(&page, d.now()); err != nil {
			d.listing = listing{}
			return err
		}
		// Others need not take over from a daemon that makes progress.
		d.lastReadAt.Store(int64(d.now()))
		if !complete {
			d.applyNewerConfiguration(ctx, page.Items)
		}
	}
	listed := d.listing
	d.listing = listing{}
	applied, err := d.applyChanges(mirror.Changes{Events: listed.items, AsOf: listed.asOf, Whole: true}, d.storeState.recordStoreRead)
	if err != nil {
		return err
	}
	d.announceRead(ctx, "store listed", len(applied), began)
	return nil
}

func (d *Daemon) listPage(ctx context.Context, after string) (mirror.Page, error) {
	callCtx, cancel := context.WithTimeout(ctx, storeResponseTimeout+transferTime(pageBytes))
	defer cancel()
	return d.store.List(callCtx, "", after)
}

// applyNewerConfiguration puts a configuration in force that is among the items of a page,
// or was published since the listing in progress began. On a slow link each page may take
// two seconds, and large entries of other writers may fill many.
func (d *Daemon) applyNewerConfiguration(ctx context.Context, page []mirror.Item) {
	if !d.hasCopy() {
		// Its routes would refer to backend servers that are not known yet.
		return
	}
	d.applyConfigurations(page)
	maxBytes := d.maxWatchBytes()
	callCtx, cancel := context.WithTimeout(ctx, storeResponseTimeout+transferTime(maxBytes))
	defer cancel()
	changes, err := d.store.Watch(callCtx, platform.OperatorPrefix, d.listing.operatorAsOf, immediateWait, maxBytes)
	if err != nil {
		// The next page is followed by another attempt.
		d.log.Debug("failed to watch for configurations during a listing", zap.Error(err))
		return
	}
	d.applyConfigurations(changes.Events)
	if changes.AsOf.Era == d.listing.asOf.Era {
		// Otherwise the next page ends the listing.
		d.listing.operatorAsOf = changes.AsOf
	}
}

// applyConfigurations applies the configurations among items that the copy of the store
// may not have yet. Since configurations only get newer, they may be applied again.
func (d *Daemon) applyConfigurations(items []mirror.Item) {
	var configurations []mirror.Item
	for _, item := range items {
		if d.storeState.decoder.IsConfiguration(item.Key) && !item.Deleted {
			configurations = append(configurations, item)
		}
	}
	d.applyMu.Lock()
	defer d.applyMu.Unlock()
	d.storeState.apply(configurations)
}
