package platform

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// HostsPrefix is the key prefix of the host lists, one key per failure domain.
const HostsPrefix = "marjoramsaddle/hosts/"

// Entry holds a key and its value in Consul's KV format.
type Entry struct {
	LockIndex   uint64
	Key         string
	Flags       uint64
	Value       []byte
	CreateIndex uint64
	ModifyIndex uint64
}

// revision is one version of a key and the time from which reads see it.
type revision struct {
	entry     Entry
	visibleAt time.Time
}

// store keeps every revision of every key, so that stale reads can be served from
// an earlier point in time.
type store struct {
	mu      sync.Mutex
	index   uint64
	keys    map[string][]revision
	changed chan struct{}
	hostLag time.Duration
}

func newStore(hostLag time.Duration) *store {
	return &store{index: 1, keys: map[string][]revision{}, changed: make(chan struct{}), hostLag: hostLag}
}

// get returns the entry that is visible at the given time, and the time at which
// the next revision becomes visible, or zero if there is none.
func (s *store) get(key string, at time.Time) (entry Entry, found bool, next time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, revision := range s.keys[key] {
		if revision.visibleAt.After(at) {
			return entry, found, revision.visibleAt
		}
		entry, found = revision.entry, true
	}
	return entry, found, time.Time{}
}

// currentIndex returns the highest index in the store.
func (s *store) currentIndex() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.index
}

// watch returns a channel that is closed at the next write.
func (s *store) watch() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}

// put stores a value and returns its modify index. With cas set, it stores only if
// the key's modify index equals expectedIndex, where 0 means that the key doesn't
// exist, and returns 0 otherwise.
func (s *store) put(key string, value []byte, flags uint64, cas bool, expectedIndex uint64) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	revisions := s.keys[key]
	var last Entry
	if len(revisions) > 0 {
		last = revisions[len(revisions)-1].entry
	}
	if cas && last.ModifyIndex != expectedIndex {
		return 0
	}
	s.index++
	entry := Entry{Key: key, Flags: flags, Value: value, CreateIndex: last.CreateIndex, ModifyIndex: s.index}
	if last.CreateIndex == 0 {
		entry.CreateIndex = s.index
	}
	s.keys[key] = append(revisions, revision{entry: entry, visibleAt: s.visibleFrom(key)})
	s.notify()
	return s.index
}

// notify wakes all watches. The caller holds s.mu.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// restore resets the store to the state at an index, as a platform restored from a
// backup does. Later writes reuse the indexes above it.
func (s *store) restore(index uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if index < 1 || index > s.index {
		return fmt.Errorf("index %d is out of range; use 1 to %d", index, s.index)
	}
	for key, revisions := range s.keys {
		kept := slices.DeleteFunc(revisions, func(r revision) bool { return r.entry.ModifyIndex > index })
		s.keys[key] = kept
	}
	s.index = index
	s.notify()
	return nil
}

func (s *store) visibleFrom(key string) time.Time {
	now := time.Now()
	if !strings.HasPrefix(key, HostsPrefix) {
		return now
	}
	return now.Add(s.hostLag)
}

// setHostLag sets the lag of host lists for later writes.
func (s *store) setHostLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hostLag = lag
}
