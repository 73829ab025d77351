package main

import (
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key of the store as its answers carry it, or the deletion of a key.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// content is what the store holds at one moment.
type content struct {
	revision uint64
	items    map[string]item
	events   []item
}

func (c *content) clone() content {
	return content{revision: c.revision, items: maps.Clone(c.items), events: slices.Clone(c.events)}
}

// store is a small stand-in of the platform's metadata store. It can be away, and come
// back from a copy, as in the drill of the letters.
type store struct {
	server  *http.Server
	address string

	mu      sync.Mutex
	content content
	era     int
	away    bool
	changed chan struct{}
	// calls counts the calls of the daemons, by path and status.
	calls map[string]int
}

const pageItems = 500

// startStore starts an empty store.
func startStore(address string) (*store, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{
		address: listener.Addr().String(), era: 1, changed: make(chan struct{}), calls: map[string]int{},
		content: content{revision: 100, items: map[string]item{}},
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+wire["key"], s.key)
	mux.HandleFunc("GET "+wire["range"], s.list)
	mux.HandleFunc("GET "+wire["watch"], s.watch)
	s.server = &http.Server{Handler: s.open(mux), ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(listener) }()
	return s, nil
}

// put writes a key and returns the revision, or false while the store is away.
func (s *store) put(key string, value any) (uint64, bool) {
	data, err := json.Marshal(value)
	if err != nil {
		return 0, false
	}
	return s.write(item{Key: key, Value: data})
}

// remove deletes a key.
func (s *store) remove(key string) (uint64, bool) { return s.write(item{Key: key, Deleted: true}) }

func (s *store) write(event item) (uint64, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return 0, false
	}
	s.content.revision++
	event.Revision, event.Created = s.content.revision, s.content.revision
	if event.Deleted {
		delete(s.content.items, event.Key)
	} else {
		if known, found := s.content.items[event.Key]; found {
			event.Created = known.Created
		}
		s.content.items[event.Key] = event
	}
	s.content.events = append(s.content.events, event)
	s.wake()
	return event.Revision, true
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// copyNow returns a copy of what the store holds.
func (s *store) copyNow() content {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.content.clone()
}

// leave makes the store refuse all calls and writes.
func (s *store) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	s.wake()
}

// comeBack ends leave. With a copy the store comes back with what that holds.
func (s *store) comeBack(from *content) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = false
	if from != nil {
		s.content = from.clone()
		s.era++
	}
	s.wake()
}

func (s *store) revision() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.content.revision
}

// open answers calls with 503 while the store is away, and names the era in all answers.
func (s *store) open(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		away, era := s.away, s.era
		s.mu.Unlock()
		w.Header().Set("Store-Era", strconv.Itoa(era))
		w.Header().Set("Content-Type", "application/json")
		recorder := &statusWriter{ResponseWriter: w, status: http.StatusOK}
		if away {
			recorder.WriteHeader(http.StatusServiceUnavailable)
		} else {
			time.Sleep(4 * time.Millisecond)
			next.ServeHTTP(recorder, r)
		}
		s.mu.Lock()
		s.calls[fmt.Sprintf("%s %d", r.URL.Path, recorder.status)]++
		s.mu.Unlock()
	})
}

type statusWriter struct {
	http.ResponseWriter
	status int
}

func (w *statusWriter) WriteHeader(status int) {
	w.status = status
	w.ResponseWriter.WriteHeader(status)
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	found, ok := s.content.items[r.FormValue("key")]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_ = json.NewEncoder(w).Encode(found)
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.FormValue("prefix"), r.FormValue("after")
	s.mu.Lock()
	found := []item{}
	for key, one := range s.content.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, one)
		}
	}
	asOf := s.content.revision
	s.mu.Unlock()
	slices.SortFunc(found, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(found) > pageItems
	_ = json.NewEncoder(w).Encode(map[string]any{"items": found[:min(len(found), pageItems)], "has_more": more, "as_of": asOf})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.FormValue("after"), 10, 64)
	wait, waitErr := strconv.Atoi(r.FormValue("wait_ms"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events := []item{}
		for _, event := range s.content.events {
			if event.Revision > after && strings.HasPrefix(event.Key, r.FormValue("prefix")) {
				events = append(events, event)
			}
		}
		asOf, away, cut, changed := s.content.revision, s.away, s.era != era, s.changed
		s.mu.Unlock()
		switch {
		case away, cut:
			// "A watch that is waiting may be cut."
			panic(http.ErrAbortHandler)
		case after > asOf:
			// "a watch from one that it doesn't have gets 410"
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0:
			_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			_ = json.NewEncoder(w).Encode(map[string]any{"events": events, "as_of": asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// callCounts returns the number of calls of the daemons so far.
func (s *store) callCounts() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.calls)
}
