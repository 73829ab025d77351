package platform

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"
)

// jitterDivisor limits the random addition to a blocking query's wait to 1/16 of
// the wait, as in Consul. It keeps watches from ending all at once.
const jitterDivisor = 16

// query holds the parameters of a read.
type query struct {
	key        string
	blocking   bool
	index      uint64
	wait       time.Duration
	consistent bool
	raw        bool
}

func parseQuery(r *http.Request) (query, error) {
	values := r.URL.Query()
	if values.Has("consistent") && values.Has("stale") {
		return query{}, errors.New("consistent and stale exclude each other; give one")
	}
	index, err := parseUint(values.Get("index"))
	if err != nil {
		return query{}, errors.New("index must be a number")
	}
	wait, err := parseWait(values.Get("wait"))
	if err != nil {
		return query{}, errors.New("wait must be a duration such as 30s")
	}
	return query{
		key:        r.PathValue("key"),
		blocking:   index > 0,
		index:      index,
		wait:       wait,
		consistent: values.Has("consistent"),
		raw:        values.Has("raw"),
	}, nil
}

func parseWait(text string) (time.Duration, error) {
	if text == "" {
		return defaultWait, nil
	}
	wait, err := time.ParseDuration(text)
	if err != nil {
		return 0, err
	}
	return min(wait, maxWait), nil
}

func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	query, err := parseQuery(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if query.blocking {
		s.callCounters.addWaitingWatches(1)
		defer s.callCounters.addWaitingWatches(-1)
	}
	entry, found, open := s.awaitEntry(r, query)
	if !open {
		return
	}
	if faults, _ := s.currentFaults(); faults.Outage != "" {
		s.callCounters.countFailure()
		http.Error(w, "platform outage", http.StatusInternalServerError)
		return
	}
	s.writeEntry(w, query, entry, found)
}

// awaitEntry returns the visible entry. For a blocking query it waits until the
// entry's index differs from the query's, the wait time is over or an outage
// starts. open is false if the client or the server closed the call.
func (s *Server) awaitEntry(r *http.Request, query query) (entry Entry, found, open bool) {
	deadline := time.Now().Add(query.wait + rand.N(query.wait/jitterDivisor+1))
	for {
		changed := s.store.watch()
		faults, faultsChanged := s.currentFaults()
		now := time.Now()
		at := faults.readTime(now, query.consistent)
		entry, found, next := s.store.get(query.key, at)
		if !query.blocking || s.hasResult(query, entry, found) || !now.Before(deadline) || faults.Outage != "" {
			return entry, found, true
		}
		until := deadline.Sub(now)
		if !next.IsZero() {
			until = min(until, max(next.Sub(at), time.Millisecond))
		}
		timer := time.NewTimer(until)
		select {
		case <-changed:
		case <-faultsChanged:
		case <-timer.C:
		case <-r.Context().Done():
			timer.Stop()
			return Entry{}, false, false
		case <-s.closed:
			timer.Stop()
			return Entry{}, false, false
		}
		timer.Stop()
	}
}

// hasResult reports whether a blocking query can return. It returns at once also
// for an index lower than the query's, as clients must detect an index that went
// back.
func (s *Server) hasResult(query query, entry Entry, found bool) bool {
	return found && entry.ModifyIndex != query.index
}

func (s *Server) writeEntry(w http.ResponseWriter, query query, entry Entry, found bool) {
	index := entry.ModifyIndex
	if !found {
		index = s.store.currentIndex()
	}
	w.Header().Set(indexHeader, strconv.FormatUint(index, 10))
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if query.raw {
		w.Header().Set("Content-Type", "application/octet-stream")
		_, _ = w.Write(entry.Value)
		return
	}
	writeJSON(w, []Entry{entry})
}
