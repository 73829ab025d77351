// Package mirror holds a replica of the platform's metadata store and elects the
// daemons that read the store.
//
// A replica only moves forward. Any daemon that has one can update another daemon,
// so a daemon that cannot read the store follows its peers. All changes of the store
// share one revision counter. A replica is complete up to its position, and changes
// are applied only if they begin at or before it.
//
// A store that comes back from a copy begins a new era: it has lost changes, and gives
// their revisions to others. A position therefore is an era and a revision. Nothing leads
// from one era to the next but a complete listing.
//
// # Usage
//
//	m := mirror.New()
//	m.Replace(items, asOf)
//	applied, err := m.Apply(mirror.Changes{After: asOf, Events: events, AsOf: later})
//	changes, advanced := m.Since(positionOfPeer)
package mirror

import (
	"bytes"
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

// Item is a key of the store with its value, or the deletion of a key.
type Item struct {
	Key      string
	Value    []byte
	Revision Revision
	Deleted  bool
	// Omitted is the size in bytes of a value that was left out because no daemon can use
	// it, or zero.
	Omitted int
	// Restored is set in the changes that Replace returns for the first listing of an era.
	// The item may be from the copy that the store came back from, and outdated; a
	// deletion may be a change that the copy lacks.
	Restored bool
}

// size returns the size of the value in the store.
func (i *Item) size() int64 { return int64(len(i.Value) + i.Omitted) }

// Page is one page of a listing. The pages of a listing are not a consistent snapshot.
type Page struct {
	Items []Item
	More  bool
	AsOf  Position
}

// Value is a large value of a key and the position at which the store had it.
type Value struct {
	Key  string
	At   Position
	Data []byte
}

// Changes holds the events that lead from the position After to the position AsOf.
type Changes struct {
	After  Position
	Events []Item
	AsOf   Position
	// Whole is set when Events holds all items of the store instead.
	Whole bool
}

var (
	// ErrGap means that the changes begin after the position of the replica.
	ErrGap = errors.New("mirror: changes are missing: list the items again")
	// ErrLaterEra means that the changes lead to another era, or begin in an earlier one.
	ErrLaterEra = errors.New("mirror: the store has come back from a copy: list the items again")
)

// Mirror is a replica of the store. It is safe for concurrent use.
type Mirror struct {
	mu    sync.Mutex
	asOf  Position
	items map[string]Item
	// valueBytes is the size of all values of items in the store.
	valueBytes int64
	// history holds the changes of this era after the revision historyStart.
	history      []Item
	historyStart Revision
	// pastValues holds earlier large values of each key, oldest first.
	pastValues map[string][]Value
	advanced   chan struct{}
}

// New returns an empty replica.
func New() *Mirror {
	return &Mirror{items: map[string]Item{}, pastValues: map[string][]Value{}, advanced: make(chan struct{})}
}

// AsOf returns the position up to which the replica is complete.
func (m *Mirror) AsOf() Position {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.asOf
}

// Replace sets the replica to a complete listing and returns the changes, or all items if
// the listing is the first of its era. A listing older than the replica is ignored.
func (m *Mirror) Replace(items []Item, asOf Position) []Item {
	m.mu.Lock()
	defer m.mu.Unlock()
	if asOf.Before(m.asOf) {
		return nil
	}
	// A replica without a position had no items that the copy could lack.
	restored := asOf.Era > m.asOf.Era && m.asOf != Position{}
	listed := make(map[string]Item, len(items))
	var applied []Item
	for _, item := range items {
		known, found := m.items[item.Key]
		if found && bytes.Equal(known.Value, item.Value) {
			// Past values share the memory.
			item.Value = known.Value
		}
		listed[item.Key] = item
		if restored || !found || known.Revision != item.Revision {
			item.Restored = restored
			applied = append(applied, item)
		}
	}
	for key := range m.items {
		if _, found := listed[key]; !found {
			applied = append(applied, Item{Key: key, Revision: asOf.Revision, Deleted: true, Restored: restored})
		}
	}
	slices.SortStableFunc(applied, func(a, b Item) int { return cmp.Compare(a.Revision, b.Revision) })
	for _, item := range applied {
		m.keepPastValue(item.Key)
	}
	m.items, m.valueBytes, m.history, m.historyStart = listed, 0, nil, asOf.Revision
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
	case changes.AsOf.Compare(m.asOf) <= 0:
		return nil, nil
	case changes.AsOf.Era != m.asOf.Era || changes.After.Era != m.asOf.Era:
		return nil, ErrLaterEra
	case changes.After.Compare(m.asOf) > 0:
		return nil, ErrGap
	}
	var applied []Item
	for _, event := range changes.Events {
		if event.Revision <= m.asOf.Revision {
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
	kept := append(m.pastValues[key], m.value(&item))
	m.pastValues[key] = slices.Clone(kept[max(0, len(kept)-maxPastValues):])
	for i := range m.history {
		if m.history[i].Key == key {
			m.history[i].Value = nil
		}
	}
}

// value returns the value of an item of the replica. Its revision counts in the era of the
// replica, since a new era begins with a listing of all items.
func (m *Mirror) value(item *Item) Value {
	return Value{Key: item.Key, At: Position{Era: m.asOf.Era, Revision: item.Revision}, Data: item.Value}
}

// LargeValues returns the large values of the replica.
func (m *Mirror) LargeValues() []Value {
	m.mu.Lock()
	defer m.mu.Unlock()
	var large []Value
	for _, item := range m.items {
		if len(item.Value) >= largeValue {
			large = append(large, m.value(&item))
		}
	}
	return large
}

// Value returns the value that a key had at the given position, if it is still stored.
func (m *Mirror) Value(key string, at Position) ([]byte, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if item, found := m.items[key]; found && m.value(&item).At == at {
		return item.Value, true
	}
	for _, value := range m.pastValues[key] {
		if value.At == at {
			return value.Data, true
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

func (m *Mirror) advance(asOf Position) {
	if asOf.Compare(m.asOf) <= 0 {
		return
	}
	m.asOf = asOf
	close(m.advanced)
	m.advanced = make(chan struct{})
}

// Since returns the changes after the given position, or all items if the history does
// not reach back that far or the position is of an earlier era. The channel is closed at
// the next change.
func (m *Mirror) Since(after Position) (Changes, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if after.Compare(m.asOf) >= 0 {
		return Changes{After: after, AsOf: m.asOf}, m.advanced
	}
	if after.Era != m.asOf.Era || after.Revision < m.historyStart || after.Revision == 0 {
		all := make([]Item, 0, len(m.items))
		for _, item := range m.items {
			all = append(all, item)
		}
		return Changes{AsOf: m.asOf, Events: all, Whole: true}, m.advanced
	}
	first, _ := slices.BinarySearchFunc(m.history, after.Revision+1, func(item Item, revision Revision) int {
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
