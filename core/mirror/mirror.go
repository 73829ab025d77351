// Package mirror holds a copy of the platform's metadata store that only moves
// forward. Any daemon that has a copy can bring another one up to date, so a
// daemon that cannot read the store follows its neighbours.
//
// All changes of the store share one counter. A copy is complete up to its
// revision; changes are applied only when they begin at or before it.
//
// Usage:
//
//	m := mirror.New()
//	m.Replace(items, asOf)
//	applied, err := m.Apply(mirror.Changes{After: asOf, Events: events, AsOf: later})
//	changes, ok := m.Since(revisionOfPeer)
package mirror

import (
	"cmp"
	"errors"
	"slices"
	"sync"
)

// historyLength is how many changes are kept for neighbours that lag. A
// neighbour that lags further gets all items; at ten changes a second the
// history covers most of a minute.
const historyLength = 512

const (
	// largeValue is the size in bytes from which former values are kept. Only
	// configurations are that long.
	largeValue = 16 << 10
	// formerKept is how many former values of a key are kept. At ten changes a
	// second they cover the time that a neighbour lags behind.
	formerKept = 8
)

// Revision counts the changes of the store.
type Revision uint64

// Item is one key of the store with its value, or the deletion of a key.
type Item struct {
	Key      string
	Value    []byte
	Revision Revision
	Deleted  bool
}

// Page is a part of a listing. Pages of one listing are not a snapshot.
type Page struct {
	Items []Item
	More  bool
	AsOf  Revision
}

// Changes lead from the revision After to the revision AsOf.
type Changes struct {
	After  Revision
	Events []Item
	AsOf   Revision
	// Whole is set when Events are all items of the store instead.
	Whole bool
}

// ErrGap says that changes begin after the revision of the copy.
var ErrGap = errors.New("mirror: changes are missing: list the items again")

// Mirror is safe for concurrent use.
type Mirror struct {
	mu      sync.Mutex
	asOf    Revision
	items   map[string]Item
	history []Item
	begins  Revision
	// former holds earlier large values of each key, the oldest first.
	former   map[string][]Item
	advanced chan struct{}
}

// New returns an empty copy.
func New() *Mirror {
	return &Mirror{items: map[string]Item{}, former: map[string][]Item{}, advanced: make(chan struct{})}
}

// AsOf returns the revision up to which the copy is complete.
func (m *Mirror) AsOf() Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.asOf
}

// Replace takes over a whole listing and returns what it changes. A listing
// older than the copy changes nothing.
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
		m.keepFormer(item.Key)
	}
	m.items, m.history, m.begins = listed, nil, asOf
	m.advance(asOf)
	return applied
}

// Apply takes over changes and returns those that are news.
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
		m.keepFormer(event.Key)
		if event.Deleted {
			delete(m.items, event.Key)
		} else {
			m.items[event.Key] = event
		}
		applied = append(applied, event)
	}
	m.remember(applied)
	m.advance(changes.AsOf)
	return applied, nil
}

// keepFormer keeps the value of a key that is about to change, and drops it from
// the history, from which only the newest value of a key is sent.
func (m *Mirror) keepFormer(key string) {
	item, found := m.items[key]
	if !found || len(item.Value) < largeValue {
		return
	}
	kept := append(m.former[key], item)
	m.former[key] = slices.Clone(kept[max(0, len(kept)-formerKept):])
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

// Value returns the value that a key had at the revision of a change, if it is
// still known.
func (m *Mirror) Value(key string, revision Revision) ([]byte, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if item, found := m.items[key]; found && item.Revision == revision {
		return item.Value, true
	}
	for _, item := range m.former[key] {
		if item.Revision == revision {
			return item.Value, true
		}
	}
	return nil, false
}

func (m *Mirror) remember(events []Item) {
	m.history = append(m.history, events...)
	if over := len(m.history) - historyLength; over > 0 {
		m.begins = m.history[over-1].Revision
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

// Since returns the changes behind the given revision, all items when the
// history does not reach back that far, and a channel that is closed at the
// next change.
func (m *Mirror) Since(after Revision) (Changes, <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if after >= m.asOf {
		return Changes{After: after, AsOf: m.asOf}, m.advanced
	}
	if after < m.begins || after == 0 {
		all := make([]Item, 0, len(m.items))
		for _, item := range m.items {
			all = append(all, item)
		}
		return Changes{AsOf: m.asOf, Events: all, Whole: true}, m.advanced
	}
	first, _ := slices.BinarySearchFunc(m.history, after+1, func(item Item, revision Revision) int {
		return cmp.Compare(item.Revision, revision)
	})
	return Changes{After: after, Events: newest(m.history[first:]), AsOf: m.asOf}, m.advanced
}

// newest keeps the last event of each key.
func newest(events []Item) []Item {
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
