// Package mirror holds a replica of the platform's metadata store and elects the
// daemons that read the store.
//
// A replica only moves forward. Any daemon that has one can update another daemon,
// so a daemon that cannot read the store follows its peers. All changes of the store
// share one revision counter. A replica is complete up to its revision, and changes
// are applied only if they begin at or before it.
//
// # Usage
//
//	m := mirror.New()
//	m.Replace(items, asOf)
//	applied, err := m.Apply(mirror.Changes{After: asOf, Events: events, AsOf: later})
//	changes, advanced := m.Since(revisionOfPeer)
package mirror

import (
	"cmp"
	"errors"
	"slices"
	"sync"
)

// maxHistory is the number of changes kept for peers that lag. A peer that lags
// further receives all items; at ten changes a second the history covers most of a
// minute.
const maxHistory = 512

const (
	// largeValue is the size in bytes from which past values are kept. Only
	// configurations are that long.
	largeValue = 16 << 10
	// maxPastValues is the number of past values kept for a key. At ten changes a
	// second they cover the time that a peer lags behind.
	maxPastValues = 8
)

// Revision is the number of a change of the store. Zero precedes every change.
type Revision uint64

// Era counts how often the store has come back from a copy. It then lacks its latest
// changes and gives out their revisions again. Zero is the era of a store that names none.
type Era uint64

// Item is a key of the store with its value, or the deletion of a key.
type Item struct {
	Key      string
	Value    []byte
	Revision Revision
	Deleted  bool
	// Omitted is the size in bytes of a value that was left out because no daemon can use
	// it, or zero.
	Omitted int
}

// size returns the size of the value in the store.
func (i *Item) size() int64 { return int64(len(i.Value) + i.Omitted) }

// Page is one page of a listing. The pages of a listing are not a consistent snapshot.
type Page struct {
	Items []Item
	More  bool
	Era   Era
	AsOf  Revision
}

// Changes holds the events that lead from the revision After to the revision AsOf.
type Changes struct {
	After  Revision
	Events []Item
	Era    Era
	AsOf   Revision
	// Whole is set when Events holds all items of the store instead.
	Whole bool
}

// ErrGap means that the changes begin after the revision of the replica.
var ErrGap = errors.New("mirror: changes are missing: list the items again")

// Mirror is a replica of the store. It is safe for concurrent use.
type Mirror struct {
	mu    sync.Mutex
	asOf  Revision
	items map[string]Item
	// valueBytes is the size of all values of items in the store.
	valueBytes   int64
	history      []Item
	historyStart Revision
	// pastValues holds earlier large values of each key, oldest first.
	pastValues map[string][]Item
	advanced   chan struct{}
}

// New returns an empty replica.
func New() *Mirror {
	return &Mirror{items: map[string]Item{}, pastValues: map[string][]Item{}, advanced: make(chan struct{})}
}

// AsOf returns the revision up to which the replica is complete.
func (m *Mirror) AsOf() Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.asOf
}

// Replace sets the replica to a complete listing and returns the changes. A listing
// older than the replica is ignored.
func (m *Mirror) Replace(items []Item, asOf Revision) []Item {
	m.mu.Lock()
	defer m.mu.Unlock()
	if asOf < m.asOf {
		return nil
	}
	listed := make(map[string]Item, len(items))
	var applied []Item
	for _, item := range items {
		listed[item.Key] = item
		if known, found := m.items[item.Key]; !found || known.Revision != item.Revision {
			applied = append(applied, item)
		}
	}
	for key := range m.items {
		if _, found := listed[key]; !found {
			applied = append(applied, Item{Key: key, Revision: asOf, Deleted: true})
		}
	}
	slices.SortStableFunc(applied, func(a, b Item) int { return cmp.Compare(a.Revision, b.Revision) })
	for _, item := range applied {
		m.keepPastValue(item.Key)
	}
	m.items, m.valueBytes, m.history, m.historyStart = listed, 0, nil, asOf
	for _, item := range listed {
		m.valueBytes += item.size()
	}
	m.advance(asOf)
	return applied
}

// Apply applies changes and returns the events that were new to the replica.
func (m *Mirror) Apply(changes Changes) ([]Item, error) {
	if changes.Whole {
		return m.Replace(changes.Events, changes.AsOf), nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case changes.AsOf <= m.asOf:
		return nil, nil
	case changes.After > m.asOf:
		return nil, ErrGap
	}
	var applied []Item
	for _, event := range changes.Events {
		if event.Revision <= m.asOf {
			continue
		}
		m.keepPastValue(event.Key)
		m.set(event)
		applied = append(applied, event)
	}
	m.appendHistory(applied)
	m.advance(changes.AsOf)
	return applied, nil
}

// set changes or removes the item of a key.
func (m *Mirror) set(event Item) {
	former := m.items[event.Key]
	m.valueBytes -= former.size()
	if event.Deleted {
		delete(m.items, event.Key)
		return
	}
	m.items[event.Key] = event
	m.valueBytes += event.size()
}

// Size returns the number of items and the size of all their values in the store, in
// bytes.
func (m *Mirror) Size() (items int, valueBytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.items), m.valueBytes
}

// keepPastValue stores the value of a key that is about to change, and drops it from
// the history, from which only the latest value of a key is sent.
func (m *Mirror) keepPastValue(key string) {
	item, found := m.items[key]
	if !found || len(item.Value) < largeValue {
		return
	}
	kept := append(m.pastValues[key], item)
	m.pastValues[key] = slices.Clone(kept[max(0, len(kept)-maxPastValues):])
	for i := range m.history {
		if m.history[i].Key == key {
			m.history[i].Value = nil
		}
	}
}

// LargeItems returns the items with large values.
func (m *Mirror) LargeItems() []Item {
	m.mu.Lock()
	defer m.mu.Unlock()
	var large []Item
	for _, item := range m.items {
		if len(item.Value) >= largeValue {
			large = append(large, item)
		}
	}
	return large
}

// Value returns the value of a key at the given revision of that key, if it is still
// stored.
func (m *Mirror) Value(key string, revision Revision) ([]byte, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if item, found := m.items[key]; found && item.Revision == revision {
		return item.Value, true
	}
	for _, item := range m.pastValues[key] {
		if item.Revision == revision {
			return item.Value, true
		}
	}
	return nil, false
}

func (m *Mirror) appendHistory(events []Item) {
	m.history = append(m.history, events...)
	if over := len(m.history) - maxHistory; over > 0 {
		m.historyStart = m.history[over-1].Revision
		m.history = slices.Clone(m.history[over:])
	}
}

func (m *Mirror) advance(asOf Revision) {
	if asOf <= m.asOf {
		return
	}
	m.asOf = asOf
	close(m.advanced)
	m.advanced = make(chan struct{})
}

// Since returns the changes after the given revision, or all items if the history does
// not reach back that far. The channel is closed at the next change.
func (m *Mirror) Since(after Revision) (Changes, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if after >= m.asOf {
		return Changes{After: after, AsOf: m.asOf}, m.advanced
	}
	if after < m.historyStart || after == 0 {
		all := make([]Item, 0, len(m.items))
		for _, item := range m.items {
			all = append(all, item)
		}
		return Changes{AsOf: m.asOf, Events: all, Whole: true}, m.advanced
	}
	first, _ := slices.BinarySearchFunc(m.history, after+1, func(item Item, revision Revision) int {
		return cmp.Compare(item.Revision, revision)
	})
	return Changes{After: after, Events: latestPerKey(m.history[first:]), AsOf: m.asOf}, m.advanced
}

// latestPerKey keeps the last event of each key.
func latestPerKey(events []Item) []Item {
	last := make(map[string]Revision, len(events))
	for _, event := range events {
		last[event.Key] = event.Revision
	}
	kept := make([]Item, 0, len(last))
	for _, event := range events {
		if last[event.Key] == event.Revision {
			kept = append(kept, event)
		}
	}
	return kept
}
