package control

import (
	"errors"
	"fmt"
	"math/bits"
	"strconv"
	"strings"
	"sync"

	"github.com/klauspost/compress/zstd"

	"marjoramsaddle/core/mirror"
)

// A configuration of some thousand routes has half a megabyte, and most changes
// touch one route of it. A follower names the large values that it holds, and
// gets a new value as the difference from the one it has: a compressed frame with
// the held value as its dictionary.

const (
	// heldField of a call names a large value that the caller holds.
	heldField = "held"
	// heldSeparator stands between the revision and the key.
	heldSeparator = "@"
	// deltasKept is how many differences are kept. In a series of changes most
	// followers ask for the same few.
	deltasKept = 8
	// dictionary is the id under which both sides use the held value.
	dictionary = 1
)

func heldText(item mirror.Item) string {
	return strconv.FormatUint(uint64(item.Revision), 10) + heldSeparator + item.Key
}

// transfer is what goes over the wire for a call for changes.
type transfer struct {
	mirror.Changes
	// Bases holds, by key, the revision of the held value from which the value
	// of the event is the difference.
	Bases map[string]mirror.Revision
}

// deltas computes differences and keeps the latest ones.
type deltas struct {
	mu   sync.Mutex
	kept map[deltaKey][]byte
}

type deltaKey struct {
	key            string
	base, revision mirror.Revision
}

func newDeltas() *deltas { return &deltas{kept: map[deltaKey][]byte{}} }

// of returns the difference of the value from its base. Only one is computed at
// a time: followers who ask for the same one wait for it.
func (d *deltas) of(key deltaKey, base, value []byte) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if known, found := d.kept[key]; found {
		return known, nil
	}
	window := 1 << bits.Len(uint(len(base)+len(value)))
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderDictRaw(dictionary, base), zstd.WithEncoderLevel(zstd.SpeedFastest),
		zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(max(zstd.MinWindowSize, window)))
	if err != nil {
		return nil, err
	}
	delta := encoder.EncodeAll(value, nil)
	if err := encoder.Close(); err != nil {
		return nil, err
	}
	if len(d.kept) >= deltasKept {
		clear(d.kept)
	}
	d.kept[key] = delta
	return delta, nil
}

// reduce replaces values by their differences from those that the caller holds.
func (h *Handler) reduce(changes mirror.Changes, held []string) transfer {
	sent := transfer{Changes: changes, Bases: map[string]mirror.Revision{}}
	for _, text := range held {
		number, key, _ := strings.Cut(text, heldSeparator)
		revision, err := strconv.ParseUint(number, 10, 64)
		if err != nil {
			continue
		}
		base, known := h.mirror.Value(key, mirror.Revision(revision))
		if !known {
			continue
		}
		for i := range sent.Events {
			event := &sent.Events[i]
			if event.Key != key || event.Deleted || len(event.Value) == 0 {
				continue
			}
			delta, err := h.deltas.of(deltaKey{key, mirror.Revision(revision), event.Revision}, base, event.Value)
			if err != nil {
				// The whole value does as well.
				continue
			}
			event.Value = delta
			sent.Bases[key] = mirror.Revision(revision)
		}
	}
	return sent
}

var errUnknownBase = errors.New("the difference is from a value that is not held")

// expand restores the values from their differences.
func (t *transfer) expand(held []mirror.Item) (mirror.Changes, error) {
	for i := range t.Events {
		event := &t.Events[i]
		revision, reduced := t.Bases[event.Key]
		if !reduced || event.Deleted {
			continue
		}
		base, found := valueOf(held, event.Key, revision)
		if !found {
			return mirror.Changes{}, errUnknownBase
		}
		decoder, err := zstd.NewReader(nil, zstd.WithDecoderDictRaw(dictionary, base),
			zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxChangesMemory))
		if err != nil {
			return mirror.Changes{}, err
		}
		event.Value, err = decoder.DecodeAll(event.Value, nil)
		decoder.Close()
		if err != nil {
			return mirror.Changes{}, fmt.Errorf("difference of %s: %w", event.Key, err)
		}
	}
	return t.Changes, nil
}

func valueOf(items []mirror.Item, key string, revision mirror.Revision) ([]byte, bool) {
	for _, item := range items {
		if item.Key == key && item.Revision == revision {
			return item.Value, true
		}
	}
	return nil, false
}
