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
	// maxRequestBytes is the largest request body.
	maxRequestBytes = 64 << 20
	// retryAfterS is the value of Retry-After, in seconds.
	retryAfterS    = "1"
	corruptionMask = 0xA5
)

// The response bodies of /healthz.
const (
	HealthOK       = "ok"
	HealthStarting = "starting"
	HealthDraining = "draining"
)

// Handler serves the service's routes and its health endpoints.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", s.delayProbe(s.health))
	mux.HandleFunc("GET /loadz", s.delayProbe(s.load))
	mux.HandleFunc("GET /stock/", s.handleRequest)
	mux.HandleFunc("GET /internal/", s.handleRequest)
	mux.HandleFunc("POST /orders", s.handleRequest)
	mux.HandleFunc("POST /reservations", s.handleRequest)
	mux.HandleFunc("GET /files/{bytes}", s.handleRequest)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.isDraining(time.Now()) {
			w.Header().Set(HeaderDraining, "true")
		}
		mux.ServeHTTP(w, r)
	})
}

// ControlHandler serves the control interface.
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

// delayProbe delays an endpoint by the probe time.
func (s *Server) delayProbe(next http.HandlerFunc) http.HandlerFunc {
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
	case s.isDraining(at):
		text = HealthDraining
	case s.isColdStart(at):
		text = HealthStarting
	}
	if override := s.currentFaults().Health; override != "" {
		text = override
	}
	_, _ = io.WriteString(w, text)
}

func (s *Server) load(w http.ResponseWriter, _ *http.Request) {
	load := Load{
		Slots:       s.options.Slots,
		Busy:        s.slots.at(time.Now().Add(-s.lag())),
		Connections: int(s.conns.openCount.Load()),
	}
	if override := s.currentFaults().LoadBusy; override != nil {
		load.Busy = *override
	}
	writeJSON(w, load)
}

// rejection describes why the server did not run a request.
type rejection struct {
	result Result
	status int
	text   string
}

// handleRequest runs one request and records it in the journal.
func (s *Server) handleRequest(w http.ResponseWriter, r *http.Request) {
	s.activeRequests.Add(1)
	defer s.activeRequests.Add(-1)
	position := s.journal.beginRow(r, s.isDraining(time.Now()))
	result, bytesSent := ResultCutOff, int64(0)
	defer func() { s.journal.endRow(position, result, bytesSent) }()
	echoHeaders(w, r)
	ctx, cancel, err := withDeadline(r)
	if err != nil {
		result = ResultIncomplete
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	defer cancel()
	body, refused := s.admit(ctx, r)
	if refused != nil {
		result = refused.result
		writeRejection(w, refused)
		return
	}
	defer s.slots.release()
	s.journal.markRan(position)
	if !s.waitServiceTime(ctx) {
		result = ResultCancelled
		http.Error(w, "deadline exceeded or caller disconnected", http.StatusGatewayTimeout)
		return
	}
	answer, err := s.responseContent(r, body)
	if err != nil {
		result = ResultFinished
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	bytesSent, err = s.writeContent(ctx, w, answer)
	if err != nil {
		// Aborting keeps a partial response from looking complete to the caller.
		panic(http.ErrAbortHandler)
	}
	result = ResultFinished
}

func echoHeaders(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(HeaderCallID, r.Header.Get(HeaderCallID))
	w.Header().Set(HeaderToken, r.Header.Get(HeaderToken))
}

// withDeadline returns the request's context with the deadline of the deadline
// header, which is in Unix microseconds.
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

// admit reads the body and acquires a slot. It reads the body first, as a request
// that arrives incomplete must not run.
func (s *Server) admit(ctx context.Context, r *http.Request) ([]byte, *rejection) {
	if s.isColdStart(time.Now()) && s.options.ColdFactor == 0 {
		return nil, &rejection{ResultCold, http.StatusServiceUnavailable, "starting; retry later"}
	}
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, maxRequestBytes))
	if err != nil {
		return nil, &rejection{ResultIncomplete, http.StatusBadRequest, "body incomplete or too large; send it again in full"}
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return nil, &rejection{ResultExpired, http.StatusGatewayTimeout, "deadline exceeded before start"}
	}
	if !s.slots.tryAcquire() {
		return nil, &rejection{ResultShed, http.StatusServiceUnavailable, "all slots are busy; retry later"}
	}
	return body, nil
}

func writeRejection(w http.ResponseWriter, refused *rejection) {
	if refused.status == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", retryAfterS)
	}
	http.Error(w, refused.text, refused.status)
}

// waitServiceTime waits for the service time. It reports false if the request's
// context ends or the server closes first.
func (s *Server) waitServiceTime(ctx context.Context) bool {
	wait := s.options.ServiceTime
	if s.isColdStart(time.Now()) {
		wait *= time.Duration(s.options.ColdFactor)
	}
	wait += s.currentFaults().extraServiceTime()
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

func (s *Server) responseContent(r *http.Request, body []byte) (content, error) {
	text := r.PathValue("bytes")
	if text == "" {
		return echoContent(r, s.options.Name, body), nil
	}
	size, err := strconv.ParseInt(text, 10, 64)
	if err != nil || size < 0 || size > MaxFileBytes {
		return content{}, fmt.Errorf("file size must be 0 to %d", MaxFileBytes)
	}
	return fileContent(size, r.Header.Get(HeaderToken)), nil
}

// writeContent writes the response and returns the number of body bytes written.
func (s *Server) writeContent(ctx context.Context, w http.ResponseWriter, answer content) (int64, error) {
	faults := s.currentFaults()
	w.Header().Set("Content-Length", strconv.FormatInt(answer.size, 10))
	w.Header().Set(HeaderBodySHA256, answer.sum)
	stop := faults.bytesToSend(answer.size)
	sent := int64(0)
	for sent < stop {
		chunk := answer.chunkAt(sent)
		chunk = chunk[:min(int64(len(chunk)), stop-sent)]
		if faults.CorruptBody {
			chunk = corrupt(chunk)
		}
		n, err := w.Write(chunk)
		sent += int64(n)
		if err != nil {
			return sent, err
		}
	}
	// Flushing detects a broken connection before the request counts as finished.
	if err := http.NewResponseController(w).Flush(); err != nil {
		return sent, err
	}
	if stop == answer.size {
		return sent, nil
	}
	if faults.StallMidBody {
		s.waitForDisconnect(ctx)
	}
	return sent, io.ErrShortWrite
}

// waitForDisconnect waits until the request's context ends or the server closes.
func (s *Server) waitForDisconnect(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-s.closed:
	}
}

func corrupt(chunk []byte) []byte {
	wrong := make([]byte, len(chunk))
	for i := range chunk {
		wrong[i] = chunk[i] ^ corruptionMask
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

// getJournal responds with the rows from position ?from=N on.
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
	// Encoding fails only if the client has disconnected.
	_ = json.NewEncoder(w).Encode(value)
}
