// Package hop sends and receives calls between daemons. A call is an HTTP request
// over HTTP/2 or HTTP/3 with mutual TLS; headers carry its deadline, id, depth and
// retry marker. A refusal is returned as an HTTP status with two headers.
//
// The package never retries a request. A response reaches the receiver complete
// or as an aborted stream.
//
// Usage:
//
//	client := hop.NewClient(keys, lookup, settings.HTTP2)
//	response, refused := client.Do(endpoint.Host, request, call)
package hop

import (
	"fmt"
	"net/http"
	"strconv"

	"marjoramsaddle/core/document"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/refusal"
)

// Headers of calls and their responses.
const (
	HeaderDeadline       = "Marjoramsaddle-Deadline" // Unix microseconds
	HeaderCallID         = "Marjoramsaddle-Call-Id"
	HeaderDepth          = "Marjoramsaddle-Depth"
	HeaderRetry          = "Marjoramsaddle-Retry" // 1 on a retried attempt
	HeaderService        = "Marjoramsaddle-Service"
	HeaderClass          = "Marjoramsaddle-Class"
	HeaderQueueMS        = "Marjoramsaddle-Queue-Ms"
	HeaderIdempotent     = "Marjoramsaddle-Idempotent" // 1 if the call may be retried
	HeaderOutcome        = "Marjoramsaddle-Outcome"
	HeaderReason         = "Marjoramsaddle-Reason"
	HeaderDraining       = "Marjoramsaddle-Draining"
	HeaderReplayed       = "Marjoramsaddle-Replayed" // true on a recorded response
	HeaderIdempotencyKey = "Idempotency-Key"
)

// MaxHeaderBytes limits the header of a request on every listener.
const MaxHeaderBytes = 64 << 10

// Call holds the metadata that daemons send along with a request.
type Call struct {
	ID       string
	Service  id.Service
	Class    document.Class
	Deadline id.Instant
	QueueMS  int
	Depth    int
	// Retry marks a retried attempt. Daemons further down the call chain do not
	// retry it again.
	Retry bool
	// Idempotent is true if the route allows retries of calls that may have run.
	Idempotent bool
	// Key is the caller's idempotency key, or empty.
	Key string
}

// NeedsRecord reports whether the call is not idempotent and carries an
// idempotency key, so that a record must ensure that it runs at most once.
func (c Call) NeedsRecord() bool { return !c.Idempotent && c.Key != "" }

// SetHeaders writes the call to the headers of a request.
func (c Call) SetHeaders(header http.Header) {
	header.Set(HeaderCallID, c.ID)
	header.Set(HeaderService, string(c.Service))
	header.Set(HeaderClass, string(c.Class))
	header.Set(HeaderDeadline, FormatDeadline(c.Deadline))
	header.Set(HeaderQueueMS, strconv.Itoa(c.QueueMS))
	header.Set(HeaderDepth, strconv.Itoa(c.Depth))
	setFlag(header, HeaderRetry, c.Retry)
	setFlag(header, HeaderIdempotent, c.Idempotent)
	if c.Key != "" {
		header.Set(HeaderIdempotencyKey, c.Key)
	}
}

func setFlag(header http.Header, name string, on bool) {
	if on {
		header.Set(name, "1")
		return
	}
	header.Del(name)
}

// ReadCall parses a call from the headers that SetHeaders writes.
func ReadCall(header http.Header) (Call, error) {
	deadline, err := ParseDeadline(header.Get(HeaderDeadline))
	if err != nil {
		return Call{}, err
	}
	depth, err := strconv.Atoi(header.Get(HeaderDepth))
	if err != nil || depth < 0 {
		return Call{}, fmt.Errorf("header %s: want a non-negative integer", HeaderDepth)
	}
	queue, err := strconv.Atoi(header.Get(HeaderQueueMS))
	if err != nil || queue < 0 {
		return Call{}, fmt.Errorf("header %s: want a non-negative number of milliseconds", HeaderQueueMS)
	}
	return Call{
		ID:         header.Get(HeaderCallID),
		Service:    id.Service(header.Get(HeaderService)),
		Class:      document.Class(header.Get(HeaderClass)),
		Deadline:   deadline,
		QueueMS:    queue,
		Depth:      depth,
		Retry:      header.Get(HeaderRetry) == "1",
		Idempotent: header.Get(HeaderIdempotent) == "1",
		Key:        header.Get(HeaderIdempotencyKey),
	}, nil
}

// FormatDeadline formats a deadline as Unix microseconds.
func FormatDeadline(deadline id.Instant) string {
	return strconv.FormatInt(int64(deadline)/1000, 10)
}

// ParseDeadline parses a deadline in Unix microseconds.
func ParseDeadline(text string) (id.Instant, error) {
	micros, err := strconv.ParseInt(text, 10, 64)
	if err != nil || micros <= 0 {
		return 0, fmt.Errorf("header %s: %q is not a time in Unix microseconds", HeaderDeadline, text)
	}
	return id.Instant(micros * 1000), nil
}

// Refuse responds to a request with the refusal's status, headers and text.
func Refuse(w http.ResponseWriter, refused *refusal.Error) {
	header := w.Header()
	header.Set(HeaderOutcome, refused.Outcome.String())
	header.Set(HeaderReason, refused.Reason.String())
	header.Set("Content-Type", "text/plain; charset=utf-8")
	if refused.Status() == http.StatusServiceUnavailable {
		header.Set("Retry-After", "1")
	}
	w.WriteHeader(refused.Status())
	_, _ = fmt.Fprintln(w, refused.Error())
}

// RefusalFromResponse returns the refusal in another daemon's response, or nil if
// the response is that of a backend server.
func RefusalFromResponse(response *http.Response) *refusal.Error {
	switch response.Header.Get(HeaderOutcome) {
	case refusal.Ran.String():
		return nil
	case refusal.NotRun.String():
		return refusal.New(refusal.Parse(response.Header.Get(HeaderReason)), refusal.NotRun)
	case refusal.Unknown.String():
		return refusal.New(refusal.Parse(response.Header.Get(HeaderReason)), refusal.Unknown)
	default:
		return refusal.Wrap(refusal.HopBroken, refusal.Unknown, fmt.Errorf("status %d without %s", response.StatusCode, HeaderOutcome))
	}
}
