package load

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"marjoramsaddle/core/refusal"
	"marjoramsaddle/standin/backend"
)

// The headers of the mesh's answers to callers.
const (
	headerOutcome = "Marjoramsaddle-Outcome"
	headerReason  = "Marjoramsaddle-Reason"
)

const (
	idlePerHost   = 512
	resendsMax    = 3
	noReason      = "none_given"
	maxAnswerSize = backend.MaxFileBytes + 1
)

// Caller sends calls and verifies their answers.
type Caller struct {
	client    *http.Client
	addresses []string
	next      atomic.Uint64
}

// NewCaller returns a caller that spreads its calls over the addresses in turn.
func NewCaller(addresses []string) *Caller {
	transport := &http.Transport{
		DialContext:         dialCounted,
		MaxIdleConnsPerHost: idlePerHost,
		DisableCompression:  true,
	}
	return &Caller{client: &http.Client{Transport: transport}, addresses: addresses}
}

// Close closes idle connections.
func (c *Caller) Close() { c.client.CloseIdleConnections() }

// Do sends one call and returns what the caller saw. The latency counts from
// the scheduled arrival.
func (c *Caller) Do(ctx context.Context, call Call, arrival time.Time) Record {
	record := Record{Call: call}
	c.do(ctx, &record, arrival)
	record.Ended = time.Now()
	return record
}

func (c *Caller) do(ctx context.Context, record *Record, arrival time.Time) {
	call := record.Call
	deadline := arrival.Add(call.Timeout)
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	response, err := c.send(ctx, record, deadline)
	if err != nil {
		record.Verdict, record.Detail = Unknown, withoutURL(err).Error()
		return
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerSize))
	record.Latency = time.Since(arrival)
	judge(record, response, body, err)
}

// send sends the call to the next address, and to others while nothing of it
// has been sent, as for a refused connection.
func (c *Caller) send(ctx context.Context, record *Record, deadline time.Time) (*http.Response, error) {
	for {
		sent := &sentBytes{}
		record.Address = c.addresses[(c.next.Add(1)-1)%uint64(len(c.addresses))]
		request, err := c.request(sent.trace(ctx), record, deadline)
		if err != nil {
			return nil, err
		}
		response, err := c.client.Do(request)
		if err == nil || sent.any() || record.Resent >= resendsMax || ctx.Err() != nil {
			return response, err
		}
		record.Resent++
	}
}

// withoutURL removes the call's own address from an error, so that errors of one
// kind are counted together.
func withoutURL(err error) error {
	var urlError *url.Error
	if errors.As(err, &urlError) {
		return urlError.Err
	}
	return err
}

func (c *Caller) request(ctx context.Context, record *Record, deadline time.Time) (*http.Request, error) {
	call := record.Call
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+record.Address+call.Path, nil)
	if err != nil {
		return nil, fmt.Errorf("build call: %w", err)
	}
	// With a body but without GetBody the transport never repeats a call by
	// itself. It would repeat lookups and calls with an idempotency key when a
	// connection breaks, and so hide calls that were cut off.
	request.Body = io.NopCloser(strings.NewReader(call.Body))
	request.ContentLength = int64(len(call.Body))
	request.Header.Set(backend.HeaderCallID, call.ID)
	request.Header.Set(backend.HeaderToken, call.Token)
	request.Header.Set(backend.HeaderDeadline, strconv.FormatInt(deadline.UnixMicro(), 10))
	if call.Key != "" {
		request.Header.Set(backend.HeaderIdempotencyKey, call.Key)
	}
	return request, nil
}

// judge sets the verdict on an answer. A body that breaks off with an error is
// an unknown outcome; one that ends early without an error is truncated.
func judge(record *Record, response *http.Response, body []byte, err error) {
	record.Reason = response.Header.Get(headerReason)
	switch {
	case err != nil:
		record.Verdict, record.Detail = Unknown, err.Error()
	case response.StatusCode == http.StatusOK:
		record.Verdict, record.Detail = verify(record.Call, response.Header, body)
	case notRun(response):
		record.Verdict = RefusedNotRun
	default:
		record.Verdict, record.Detail = Unknown, response.Status
	}
	if record.Verdict == RefusedNotRun && record.Reason == "" {
		record.Reason = noReason
	}
}

// notRun reports whether an answer claims that the call did not run. A backend
// server that is called directly gives no outcome header; it sheds with 503.
func notRun(response *http.Response) bool {
	outcome := response.Header.Get(headerOutcome)
	if outcome != "" {
		return outcome == refusal.NotRun.String()
	}
	return response.StatusCode == http.StatusServiceUnavailable
}
