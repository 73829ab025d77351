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
	// maxWait bounds how long a call may wait for changes.
	maxWait = 10 * time.Second
	// maxTransfers bounds the concurrent transfers of changes. Hosts have links of a
	// few Mbit/s, on which many concurrent transfers would all be slow. Daemons that
	// are refused soon find another one that has the changes by then.
	maxTransfers = 2
	// ageHeader is the response header with the time in milliseconds since the copy
	// was known to be current.
	ageHeader = "Marjoramsaddle-Store-Age-Ms"
)

// Handler serves the changes of the store to other daemons.
type Handler struct {
	mirror *mirror.Mirror
	// storeAge returns how long ago the copy was known to be current.
	storeAge func() time.Duration
	// transfers holds one element for each transfer in progress.
	transfers  chan struct{}
	deltaCache *deltaCache
}

// NewHandler returns a handler that serves the changes of the given copy.
func NewHandler(source *mirror.Mirror, storeAge func() time.Duration) *Handler {
	return &Handler{mirror: source, storeAge: storeAge, transfers: make(chan struct{}, maxTransfers), deltaCache: newDeltaCache()}
}

// ServeHTTP responds with the changes after a position. If there are none, it waits
// up to the given time for the first one.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != changesPath || r.Method != http.MethodGet {
		http.NotFound(w, r)
		return
	}
	after, err := mirror.ParsePosition(r.FormValue("after"))
	if err != nil {
		http.Error(w, "after must be an era and a revision", http.StatusBadRequest)
		return
	}
	waitMillis, err := strconv.ParseInt(r.FormValue("wait_ms"), 10, 64)
	if err != nil || waitMillis < 0 {
		http.Error(w, "wait_ms must be a number of milliseconds", http.StatusBadRequest)
		return
	}
	changes := h.waitForChanges(r.Context(), after, min(maxWait, time.Duration(waitMillis)*time.Millisecond))
	if len(changes.Events) > 0 {
		select {
		case h.transfers <- struct{}{}:
			defer func() { <-h.transfers }()
		default:
			http.Error(w, "busy with other transfers; ask another daemon", http.StatusServiceUnavailable)
			return
		}
	}
	w.Header().Set(ageHeader, strconv.FormatInt(h.storeAge().Milliseconds(), 10))
	// The client notices a failed write and calls again.
	_ = encodeChanges(w, h.encodeDeltas(changes, r.Form[heldParam]))
}

// maxDecoderMemory bounds the memory used to decode changes. It has to hold all items
// of the store, of which a configuration of one megabyte is the largest.
const maxDecoderMemory = 32 << 20

// encodeChanges writes changes compressed, because a configuration repeats its field
// names and services in each route and has to reach every daemon.
func encodeChanges(out io.Writer, changes transfer) error {
	compressor, err := zstd.NewWriter(out, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(compressorWindowBytes))
	if err != nil {
		return err
	}
	if err := gob.NewEncoder(compressor).Encode(changes); err != nil {
		return err
	}
	return compressor.Close()
}

// compressorWindowBytes bounds the memory of the compressor. The repeated parts of a
// configuration are some hundred bytes apart.
const compressorWindowBytes = 64 << 10

func decodeChanges(in io.Reader) (transfer, error) {
	decompressor, err := zstd.NewReader(in, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxDecoderMemory))
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

func (h *Handler) waitForChanges(ctx context.Context, after mirror.Position, wait time.Duration) mirror.Changes {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		changes, advanced := h.mirror.Since(after)
		if after.Before(changes.AsOf) {
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

var (
	// ErrBusy reports that a daemon is already transferring changes to others.
	ErrBusy = errors.New("control: daemon is busy: ask another one")
	// ErrUnreadable reports changes that are too long for one response, or cannot be
	// decoded.
	ErrUnreadable = errors.New("control: the changes cannot be read: read the store instead")
)

// Client fetches changes from other daemons.
type Client struct{ pool *http1.Pool }

// NewClient returns a client that uses the pool's connections.
func NewClient(pool *http1.Pool) *Client { return &Client{pool: pool} }

// Query is a call for changes.
type Query struct {
	// After is the position of the caller's copy.
	After mirror.Position
	// Wait is how long to wait for changes if there are none.
	Wait time.Duration
	// Held are the large values that the caller has. New ones are sent as deltas.
	Held []mirror.Value
	// NewConn calls on a new connection, since idle ones may have gone silent.
	NewConn bool
	// OnResponse is called when the response has begun. It may be nil.
	OnResponse func()
}

// Changes returns the changes that the daemon at the address knows, and how long ago its
// copy was known to be current.
func (c *Client) Changes(ctx context.Context, address string, query Query) (mirror.Changes, time.Duration, error) {
	values := url.Values{"after": {query.After.String()}, "wait_ms": {strconv.FormatInt(query.Wait.Milliseconds(), 10)}}
	for _, held := range query.Held {
		values.Add(heldParam, formatHeld(held))
	}
	ctx, owner := http1.WithOwner(ctx)
	defer owner.Close()
	response, err := c.pool.Do(ctx, address, &http1.Request{
		Method: http.MethodGet, Target: changesPath + "?" + values.Encode(), Host: address, Header: http.Header{},
		NewConn: query.NewConn, OnResponse: query.OnResponse,
	})
	if errors.Is(err, http1.ErrResponseBodyTooLarge) {
		return mirror.Changes{}, 0, unreadable(address, err)
	}
	if err != nil {
		return mirror.Changes{}, 0, err
	}
	if response.Status == http.StatusServiceUnavailable {
		return mirror.Changes{}, 0, ErrBusy
	}
	if response.Status != http.StatusOK {
		return mirror.Changes{}, 0, fmt.Errorf("control: %s responded with status %d", address, response.Status)
	}
	ageMillis, err := strconv.ParseInt(response.Header.Get(ageHeader), 10, 64)
	if err != nil {
		return mirror.Changes{}, 0, fmt.Errorf("control: %s: invalid store age: %w", address, err)
	}
	received, err := decodeChanges(bytes.NewReader(response.Body))
	if err != nil {
		return mirror.Changes{}, 0, unreadable(address, err)
	}
	changes, err := received.decodeDeltas(query.Held)
	if err != nil {
		return mirror.Changes{}, 0, unreadable(address, err)
	}
	return changes, time.Duration(ageMillis) * time.Millisecond, nil
}

func unreadable(address string, err error) error {
	return fmt.Errorf("%w: %s: %w", ErrUnreadable, address, err)
}
