package platform

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"
)

const (
	keyPath = "/v1/kv/"
	// indexHeader carries the index to send with the next blocking query.
	indexHeader = "X-Consul-Index"
	// defaultWait and maxWait are Consul's wait times of a blocking query.
	defaultWait = 5 * time.Minute
	maxWait     = 10 * time.Minute
)

// Handler serves the KV API.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+keyPath+"{key...}", s.read)
	mux.HandleFunc("PUT "+keyPath+"{key...}", s.write)
	return s.admit(mux)
}

// ControlHandler serves the control interface.
func (s *Server) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /faults", s.postFaults)
	mux.HandleFunc("GET /faults", s.getFaults)
	mux.HandleFunc("POST /restore", s.postRestore)
	mux.HandleFunc("GET /counters", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Counters()) })
	return mux
}

// admit counts the call and applies the limit, the outage and the latency.
func (s *Server) admit(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		withinLimit := s.callCounters.countCall(callKind(r), time.Now(), s.callsPerS)
		faults, _ := s.currentFaults()
		if !withinLimit || faults.OverLimit {
			http.Error(w, "rate limit exceeded; call less often", http.StatusTooManyRequests)
			return
		}
		if !s.delayResponse(r, faults.latency()) {
			return
		}
		if faults.Outage != "" {
			s.callCounters.countFailure()
			http.Error(w, "platform outage", http.StatusInternalServerError)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// delayResponse waits for the given time. It reports false if the client or the
// server closed the call first.
func (s *Server) delayResponse(r *http.Request, wait time.Duration) bool {
	if wait <= 0 {
		return true
	}
	select {
	case <-time.After(wait):
		return true
	case <-r.Context().Done():
	case <-s.closed:
	}
	return false
}

func callKind(r *http.Request) string {
	switch {
	case r.Method == http.MethodPut:
		return KindWrite
	case r.Method == http.MethodGet && r.URL.Query().Has("index"):
		return KindWatch
	case r.Method == http.MethodGet:
		return KindRead
	default:
		return KindOther
	}
}

func (s *Server) write(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxValueBytes))
	if tooLarge := (*http.MaxBytesError)(nil); errors.As(err, &tooLarge) {
		http.Error(w, "value exceeds 1 MiB; split it", http.StatusRequestEntityTooLarge)
		return
	}
	if err != nil {
		http.Error(w, "read body: "+err.Error(), http.StatusBadRequest)
		return
	}
	query := r.URL.Query()
	expectedIndex, err := parseUint(query.Get("cas"))
	if err != nil {
		http.Error(w, "cas must be a modify index", http.StatusBadRequest)
		return
	}
	flags, err := parseUint(query.Get("flags"))
	if err != nil {
		http.Error(w, "flags must be a number", http.StatusBadRequest)
		return
	}
	writeJSON(w, s.store.put(r.PathValue("key"), value, flags, query.Has("cas"), expectedIndex) != 0)
}

// parseUint parses an unsigned decimal number; an empty string is 0.
func parseUint(text string) (uint64, error) {
	if text == "" {
		return 0, nil
	}
	return strconv.ParseUint(text, 10, 64)
}

func (s *Server) postFaults(w http.ResponseWriter, r *http.Request) {
	faults, err := decodeFaults(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := s.SetFaults(faults); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	s.getFaults(w, r)
}

func (s *Server) getFaults(w http.ResponseWriter, _ *http.Request) {
	faults, _ := s.currentFaults()
	writeJSON(w, faults)
}

// postRestore restores the state at ?index=N.
func (s *Server) postRestore(w http.ResponseWriter, r *http.Request) {
	index, err := parseUint(r.URL.Query().Get("index"))
	if err == nil {
		err = s.Restore(index)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// Encoding fails only if the client has disconnected.
	_ = json.NewEncoder(w).Encode(value)
}
