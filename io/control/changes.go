package control

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/klauspost/compress/zstd"

	"marjoramsaddle/core/mirror"
	"marjoramsaddle/io/http1"
)

const (
	changesPath = "/changes"
	// longestWait bounds how long a call for changes waits.
	longestWait = 10 * time.Second
	// servedAtOnce bounds the transfers of changes at a time. Hosts have links of
	// a few Mbit/s; many transfers at once would all be slow, while those who are
	// turned away soon find a neighbour that has the changes by then.
	servedAtOnce = 2
	// ageHeader carries how long ago the copy was known to be current.
	ageHeader = "Marjoramsaddle-Store-Age-Ms"
)

// Handler serves the changes of the store to other daemons.
type Handler struct {
	mirror *mirror.Mirror
	// age returns how long ago the copy was known to be current.
	age func() time.Duration
	// transfers holds a place for each transfer under way.
	transfers chan struct{}
	deltas    *deltas
}

// NewHandler returns a handler for the copy.
func NewHandler(copied *mirror.Mirror, age func() time.Duration) *Handler {
	return &Handler{mirror: copied, age: age, transfers: make(chan struct{}, servedAtOnce), deltas: newDeltas()}
}

// ServeHTTP answers with the changes behind a revision, at once or at the
// first one within the given time.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != changesPath || r.Method != http.MethodGet {
		http.NotFound(w, r)
		return
	}
	after, err := strconv.ParseUint(r.FormValue("after"), 10, 64)
	if err != nil {
		http.Error(w, "after must be a revision", http.StatusBadRequest)
		return
	}
	wait, err := strconv.ParseInt(r.FormValue("wait_ms"), 10, 64)
	if err != nil || wait < 0 {
		http.Error(w, "wait_ms must be a number of milliseconds", http.StatusBadRequest)
		return
	}
	changes := h.await(r.Context(), mirror.Revision(after), min(longestWait, time.Duration(wait)*time.Millisecond))
	if len(changes.Events) > 0 {
		select {
		case h.transfers <- struct{}{}:
			defer func() { <-h.transfers }()
		default:
			http.Error(w, "busy with other transfers; ask another daemon", http.StatusServiceUnavailable)
			return
		}
	}
	w.Header().Set(ageHeader, strconv.FormatInt(h.age().Milliseconds(), 10))
	// A failed write shows at the reader, which calls again.
	_ = encodeChanges(w, h.reduce(changes, r.Form[heldField]))
}

// maxChangesMemory bounds what the decoder of changes may use: all items of the
// store, of which a configuration of a megabyte is the largest.
const maxChangesMemory = 32 << 20

// encodeChanges writes changes compressed: a configuration repeats its field
// names and services in each route, and has to reach every daemon.
func encodeChanges(out io.Writer, changes transfer) error {
	compressor, err := zstd.NewWriter(out, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(changesWindow))
	if err != nil {
		return err
	}
	if err := gob.NewEncoder(compressor).Encode(changes); err != nil {
		return err
	}
	return compressor.Close()
}

// changesWindow bounds the memory of the compressor; the repeated parts of a
// configuration lie within some hundred bytes of each other.
const changesWindow = 64 << 10

func decodeChanges(in io.Reader) (transfer, error) {
	decompressor, err := zstd.NewReader(in, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxChangesMemory))
	if err != nil {
		return transfer{}, err
	}
	defer decompressor.Close()
	var changes transfer
	if err := gob.NewDecoder(decompressor).Decode(&changes); err != nil {
		return transfer{}, err
	}
	return changes, nil
}

func (h *Handler) await(ctx context.Context, after mirror.Revision, wait time.Duration) mirror.Changes {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changes, advanced := h.mirror.Since(after)
		if changes.AsOf > after {
			return changes
		}
		select {
		case <-advanced:
		case <-timer.C:
			return changes
		case <-ctx.Done():
			return changes
		}
	}
}

// ErrBusy says that a daemon transfers changes to others already.
var ErrBusy = errors.New("control: the daemon is busy: ask another one")

// Client fetches changes from other daemons.
type Client struct{ pool *http1.Pool }

// NewClient returns a client.
func NewClient(pool *http1.Pool) *Client { return &Client{pool: pool} }

// Changes returns the changes behind the revision that the daemon at the
// address knows, and how long ago its copy was known to be current. Of the items
// that are held here only the differences are transferred.
func (c *Client) Changes(ctx context.Context, address string, after mirror.Revision, wait time.Duration, held ...mirror.Item) (mirror.Changes, time.Duration, error) {
	query := url.Values{"after": {strconv.FormatUint(uint64(after), 10)}, "wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	for _, item := range held {
		query.Add(heldField, heldText(item))
	}
	target := changesPath + "?" + query.Encode()
	answer, err := c.pool.Do(ctx, address, &http1.Request{Method: http.MethodGet, Target: target, Host: address, Header: http.Header{}})
	if err != nil {
		return mirror.Changes{}, 0, err
	}
	if answer.Status == http.StatusServiceUnavailable {
		return mirror.Changes{}, 0, ErrBusy
	}
	if answer.Status != http.StatusOK {
		return mirror.Changes{}, 0, fmt.Errorf("control: %s answered %d", address, answer.Status)
	}
	age, err := strconv.ParseInt(answer.Header.Get(ageHeader), 10, 64)
	if err != nil {
		return mirror.Changes{}, 0, fmt.Errorf("control: %s: bad age: %w", address, err)
	}
	received, err := decodeChanges(bytes.NewReader(answer.Body))
	if err != nil {
		return mirror.Changes{}, 0, fmt.Errorf("control: %s: %w", address, err)
	}
	changes, err := received.expand(held)
	if err != nil {
		return mirror.Changes{}, 0, fmt.Errorf("control: %s: %w", address, err)
	}
	return changes, time.Duration(age) * time.Millisecond, nil
}
