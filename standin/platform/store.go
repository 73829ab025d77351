package platform

import (
	"strings"
	"sync"
	"time"
)

// HostsPrefix is the key prefix of the host lists, one key per failure domain.
const HostsPrefix = "marjoramsaddle/hosts/"

// Entry is one key with its value, in Consul's KV format.
type Entry struct {
	LockIndex   uint64
	Key         string
	Flags       uint64
	Value       []byte
	CreateIndex uint64
	ModifyIndex uint64
}

// revision is one stored state of a key and the time from which it is visible.
type revision struct {
	entry   Entry
	visible time.Time
}

// store holds every revision of every key, so that a stale read can be
// answered from a time in the past.
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

// get returns the entry visible at the given time, the index to report for the
// key, and the time at which the next revision becomes visible, if one waits.
func (s *store) get(key string, at time.Time) (entry Entry, found bool, next time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, revision := range s.keys[key] {
		if revision.visible.After(at) {
			return entry, found, revision.visible
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

// put stores a value. With cas set, it does so only if the key's modify index
// equals want, where 0 stands for a key that doesn't exist.
func (s *store) put(key string, value []byte, flags uint64, cas bool, want uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	revisions := s.keys[key]
	var last Entry
	if len(revisions) > 0 {
		last = revisions[len(revisions)-1].entry
	}
	if cas && last.ModifyIndex != want {
		return false
	}
	s.index++
	entry := Entry{Key: key, Flags: flags, Value: value, CreateIndex: last.CreateIndex, ModifyIndex: s.index}
	if last.CreateIndex == 0 {
		entry.CreateIndex = s.index
	}
	s.keys[key] = append(revisions, revision{entry: entry, visible: s.visibleFrom(key)})
	close(s.changed)
	s.changed = make(chan struct{})
	return true
}

func (s *store) visibleFrom(key string) time.Time {
	now := time.Now()
	if !strings.HasPrefix(key, HostsPrefix) {
		return now
	}
	return now.Add(s.hostLag)
}

// setHostLag changes the lag of host lists for later writes.
func (s *store) setHostLag(lag time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.hostLag = lag
}

func (s *store) lag() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hostLag
}
