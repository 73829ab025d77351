package backend

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

const (
	// maxRequestBytes bounds a request's body.
	maxRequestBytes = 64 << 20
	// retryAfterS is the Retry-After of a refusal, in seconds.
	retryAfterS = "1"
	garbageByte = 0xA5
)

// The texts of /healthz.
const (
	HealthOK       = "ok"
	HealthStarting = "starting"
	HealthDraining = "draining"
)

// Handler returns the routes that callers reach.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", s.probe(s.health))
	mux.HandleFunc("GET /loadz", s.probe(s.load))
	mux.HandleFunc("GET /stock/", s.call)
	mux.HandleFunc("GET /internal/", s.call)
	mux.HandleFunc("POST /orders", s.call)
	mux.HandleFunc("POST /reservations", s.call)
	mux.HandleFunc("GET /files/{bytes}", s.call)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.draining(time.Now()) {
			w.Header().Set(HeaderDraining, "true")
		}
		mux.ServeHTTP(w, r)
	})
}

// ControlHandler returns the routes for experiments.
func (s *Server) ControlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /faults", s.postFaults)
	mux.HandleFunc("GET /journal", s.getJournal)
	mux.HandleFunc("POST /drain", func(w http.ResponseWriter, _ *http.Request) {
		s.Drain()
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

// probe delays an endpoint by the probe time.
func (s *Server) probe(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(s.options.ProbeTime)
		next(w, r)
	}
}

func (s *Server) lag() time.Duration {
	if lag := s.currentFaults().StatusLagMs; lag != nil {
		return time.Duration(*lag) * time.Millisecond
	}
	return s.options.StatusLag
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	at := time.Now().Add(-s.lag())
	text := HealthOK
	switch {
	case s.draining(at):
		text = HealthDraining
	case s.cold(at):
		text = HealthStarting
	}
	if lie := s.currentFaults().Health; lie != "" {
		text = lie
	}
	_, _ = io.WriteString(w, text)
}

func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	load := Load{
		Slots:       s.options.Slots,
		Busy:        s.slots.at(time.Now().Add(-s.lag())),
		Connections: int(s.conns.open.Load()),
	}
	if lie := s.currentFaults().LoadBusy; lie != nil {
		load.Busy = *lie
	}
	writeJSON(w, load)
}

// refusal is a request that the server did not run.
type refusal struct {
	result Result
	status int
	text   string
}

// call runs one request and keeps its row in the journal.
func (s *Server) call(w http.ResponseWriter, r *http.Request) {
	s.inWork.Add(1)
	defer s.inWork.Add(-1)
	position := s.journal.begin(r, s.draining(time.Now()))
	result, sent := ResultCutOff, int64(0)
	defer func() { s.journal.end(position, result, sent) }()
	copyHeaders(w, r)
	ctx, cancel, err := withDeadline(r)
	if err != nil {
		result = ResultIncomplete
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	defer cancel()
	body, refused := s.accept(ctx, r)
	if refused != nil {
		result = refused.result
		refuse(w, refused)
		return
	}
	defer s.slots.release()
	s.journal.ran(position)
	if !s.work(ctx) {
		result = ResultCancelled
		http.Error(w, "deadline passed or caller left", http.StatusGatewayTimeout)
		return
	}
	answer, err := s.contentFor(r, body)
	if err != nil {
		result = ResultFinished
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	sent, err = s.send(ctx, w, answer)
	if err != nil {
		// Aborting keeps a partial answer from ending like a whole one.
		panic(http.ErrAbortHandler)
	}
	result = ResultFinished
}

func copyHeaders(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(HeaderCallID, r.Header.Get(HeaderCallID))
	w.Header().Set(HeaderToken, r.Header.Get(HeaderToken))
}

// withDeadline binds the request's context to the deadline header, which is in
// Unix microseconds.
func withDeadline(r *http.Request) (context.Context, context.CancelFunc, error) {
	text := r.Header.Get(HeaderDeadline)
	if text == "" {
		ctx, cancel := context.WithCancel(r.Context())
		return ctx, cancel, nil
	}
	micros, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return nil, nil, fmt.Errorf("%s must be in Unix microseconds", HeaderDeadline)
	}
	ctx, cancel := context.WithDeadline(r.Context(), time.UnixMicro(micros))
	return ctx, cancel, nil
}

// accept reads the body and takes a slot. The body comes first, as a request
// that arrives in part must not run.
func (s *Server) accept(ctx context.Context, r *http.Request) ([]byte, *refusal) {
	if s.cold(time.Now()) && s.options.ColdFactor == 0 {
		return nil, &refusal{ResultCold, http.StatusServiceUnavailable, "starting; retry later"}
	}
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, maxRequestBytes))
	if err != nil {
		return nil, &refusal{ResultIncomplete, http.StatusBadRequest, "body incomplete or too large; send it again in full"}
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return nil, &refusal{ResultExpired, http.StatusGatewayTimeout, "deadline has passed"}
	}
	if !s.slots.take() {
		return nil, &refusal{ResultShed, http.StatusServiceUnavailable, "all slots are taken; retry later"}
	}
	return body, nil
}

func refuse(w http.ResponseWriter, refused *refusal) {
	if refused.status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfterS)
	}
	http.Error(w, refused.text, refused.status)
}

// work spends the service time and reports whether the call is still wanted.
func (s *Server) work(ctx context.Context) bool {
	wait := s.options.ServiceTime
	if s.cold(time.Now()) {
		wait *= time.Duration(s.options.ColdFactor)
	}
	wait += s.currentFaults().slow()
	if wait <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
	case <-s.closed:
	}
	return false
}

func (s *Server) contentFor(r *http.Request, body []byte) (content, error) {
	text := r.PathValue("bytes")
	if text == "" {
		return answerContent(r, s.options.Name, body), nil
	}
	size, err := strconv.ParseInt(text, 10, 64)
	if err != nil || size < 0 || size > MaxFileBytes {
		return content{}, fmt.Errorf("file size must be 0 to %d", MaxFileBytes)
	}
	return fileContent(size, r.Header.Get(HeaderToken)), nil
}

// send writes the answer and returns the number of body bytes written.
func (s *Server) send(ctx context.Context, w http.ResponseWriter, answer content) (int64, error) {
	faults := s.currentFaults()
	w.Header().Set("Content-Length", strconv.FormatInt(answer.size, 10))
	w.Header().Set(HeaderBodySHA256, answer.sum)
	stop := faults.stopAt(answer.size)
	sent := int64(0)
	for sent < stop {
		chunk := answer.at(sent)
		chunk = chunk[:min(int64(len(chunk)), stop-sent)]
		if faults.CorruptBody {
			chunk = garbage(chunk)
		}
		n, err := w.Write(chunk)
		sent += int64(n)
		if err != nil {
			return sent, err
		}
	}
	// Flushing shows a broken connection before the answer counts as finished.
	if err := http.NewResponseController(w).Flush(); err != nil {
		return sent, err
	}
	if stop == answer.size {
		return sent, nil
	}
	if faults.StallMidBody {
		s.stall(ctx)
	}
	return sent, io.ErrShortWrite
}

// stall waits until the caller leaves or the server closes.
func (s *Server) stall(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-s.closed:
	}
}

func garbage(chunk []byte) []byte {
	wrong := make([]byte, len(chunk))
	for i := range chunk {
		wrong[i] = chunk[i] ^ garbageByte
	}
	return wrong
}

func (s *Server) postFaults(w http.ResponseWriter, r *http.Request) {
	faults, err := decodeFaults(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := s.SetFaults(faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	writeJSON(w, s.currentFaults())
}

// getJournal reports the rows from ?from=N on.
func (s *Server) getJournal(w http.ResponseWriter, r *http.Request) {
	from := 0
	if text := r.URL.Query().Get("from"); text != "" {
		parsed, err := strconv.Atoi(text)
		if err != nil {
			http.Error(w, "from must be a number of rows", http.StatusBadRequest)
			return
		}
		from = parsed
	}
	writeJSON(w, s.journalFrom(from))
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// A failed write means that the client has gone; there is no one to tell.
	_ = json.NewEncoder(w).Encode(value)
}
