package control

import (
	"errors"
	"fmt"
	"math/bits"
	"strings"
	"sync"

	"github.com/klauspost/compress/zstd"

	"marjoramsaddle/core/mirror"
)

// A configuration of some thousand routes has half a megabyte, and most changes
// affect one route. A follower lists the large values that it holds, and receives a
// new value as a delta: a zstd frame that uses the held value as its dictionary.

const (
	// heldParam is the query parameter that lists a large value held by the client.
	heldParam = "held"
	// heldSeparator separates the position from the key.
	heldSeparator = "@"
	// maxCachedDeltas is how many deltas are cached. In a series of changes most
	// followers need the same few.
	maxCachedDeltas = 8
	// dictionaryID is the zstd dictionary ID that both sides use for the held value.
	dictionaryID = 1
)

func formatHeld(held mirror.Value) string { return held.At.String() + heldSeparator + held.Key }

// transfer is the response to a call for changes, encoded with encoding/gob.
type transfer struct {
	mirror.Changes
	// Bases maps the key of each event whose value is a delta to the position of the
	// value that it is based on.
	Bases map[string]mirror.Position
}

// deltaCache computes deltas and caches the latest ones.
type deltaCache struct {
	mu     sync.Mutex
	cached map[deltaKey][]byte
}

type deltaKey struct {
	key         string
	base, value mirror.Position
}

func newDeltaCache() *deltaCache { return &deltaCache{cached: map[deltaKey][]byte{}} }

// compute returns the delta of the value from its base. It computes one at a time, so
// concurrent calls for the same delta compute it once.
func (d *deltaCache) compute(key deltaKey, base, value []byte) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if cachedDelta, found := d.cached[key]; found {
		return cachedDelta, nil
	}
	window := 1 << bits.Len(uint(len(base)+len(value)))
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderDictRaw(dictionaryID, base), zstd.WithEncoderLevel(zstd.SpeedFastest),
		zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(max(zstd.MinWindowSize, window)))
	if err != nil {
		return nil, err
	}
	delta := encoder.EncodeAll(value, nil)
	if err := encoder.Close(); err != nil {
		return nil, err
	}
	if len(d.cached) >= maxCachedDeltas {
		clear(d.cached)
	}
	d.cached[key] = delta
	return delta, nil
}

// encodeDeltas replaces values by deltas from the values that the client holds.
func (h *Handler) encodeDeltas(changes mirror.Changes, held []string) transfer {
	encoded := transfer{Changes: changes, Bases: map[string]mirror.Position{}}
	for _, text := range held {
		position, key, _ := strings.Cut(text, heldSeparator)
		at, err := mirror.ParsePosition(position)
		if err != nil {
			continue
		}
		base, found := h.mirror.Value(key, at)
		if !found {
			continue
		}
		for i := range encoded.Events {
			event := &encoded.Events[i]
			if event.Key != key || event.Deleted || len(event.Value) == 0 {
				continue
			}
			value := mirror.Position{Era: changes.AsOf.Era, Revision: event.Revision}
			delta, err := h.deltaCache.compute(deltaKey{key, at, value}, base, event.Value)
			if err != nil {
				// Send the whole value instead.
				continue
			}
			event.Value = delta
			encoded.Bases[key] = at
		}
	}
	return encoded
}

var errUnknownBase = errors.New("delta is based on a value that is not held")

// decodeDeltas restores the values from their deltas.
func (t *transfer) decodeDeltas(held []mirror.Value) (mirror.Changes, error) {
	for i := range t.Events {
		event := &t.Events[i]
		at, isDelta := t.Bases[event.Key]
		if !isDelta || event.Deleted {
			continue
		}
		base, found := findValue(held, event.Key, at)
		if !found {
			return mirror.Changes{}, errUnknownBase
		}
		decoder, err := zstd.NewReader(nil, zstd.WithDecoderDictRaw(dictionaryID, base),
			zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxDecoderMemory))
		if err != nil {
			return mirror.Changes{}, err
		}
		event.Value, err = decoder.DecodeAll(event.Value, nil)
		decoder.Close()
		if err != nil {
			return mirror.Changes{}, fmt.Errorf("decode delta of %s: %w", event.Key, err)
		}
	}
	return t.Changes, nil
}

func findValue(values []mirror.Value, key string, at mirror.Position) ([]byte, bool) {
	for _, value := range values {
		if value.Key == key && value.At == at {
			return value.Data, true
		}
	}
	return nil, false
}
