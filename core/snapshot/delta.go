package snapshot

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"marjoramsaddle/core/document"
	"marjoramsaddle/core/id"
)

// MaxPayloadBytes bounds the size of a decompressed payload.
const MaxPayloadBytes = 64 << 20

// ErrBaseMismatch means that the delta was made for a different base.
var ErrBaseMismatch = errors.New("delta does not match the base: request the full snapshot")

// Delta is the difference between two snapshots. With base version zero, it holds a
// full snapshot.
type Delta struct {
	Base    id.Version
	Version id.Version
	Digest  id.Digest
	// Payload is the compressed list of changes.
	Payload []byte
}

// changes is the decompressed content of a payload.
type changes struct {
	Put    []json.RawMessage `json:"put,omitempty"`
	Delete []document.Key    `json:"delete,omitempty"`
}

// NewDelta returns the difference between base and target. A nil base gives a full
// snapshot.
func NewDelta(base, target *Snapshot) (Delta, error) {
	delta := Delta{Version: target.Version, Digest: target.Digest}
	var baseSet *document.Set
	if base != nil {
		delta.Base = base.Version
		baseSet = base.set
	} else {
		baseSet = document.NewSet()
	}
	payload, err := json.Marshal(diff(baseSet, target.set))
	if err != nil {
		return Delta{}, fmt.Errorf("encode delta: %w", err)
	}
	delta.Payload, err = compress(payload)
	return delta, err
}

func diff(base, target *document.Set) changes {
	var out changes
	for _, key := range target.Keys() {
		if !bytes.Equal(base.Canonical[key], target.Canonical[key]) {
			out.Put = append(out.Put, target.Canonical[key])
		}
	}
	for _, key := range base.Keys() {
		if _, kept := target.Canonical[key]; !kept {
			out.Delete = append(out.Delete, key)
		}
	}
	return out
}

// Apply returns the snapshot that results from applying the delta to base. It
// validates the result and compares its hash with the delta's. The base is not
// modified; it may be nil for a full snapshot.
func (d Delta) Apply(base *Snapshot) (*Snapshot, error) {
	if d.Base != 0 && (base == nil || base.Version != d.Base) {
		return nil, ErrBaseMismatch
	}
	payload, err := decompress(d.Payload)
	if err != nil {
		return nil, err
	}
	var list changes
	if err := json.Unmarshal(payload, &list); err != nil {
		return nil, fmt.Errorf("decode delta: %w", err)
	}
	set, err := list.apply(d.baseSet(base))
	if err != nil {
		return nil, err
	}
	result := New(d.Version, set)
	if result.Digest != d.Digest {
		return nil, ErrBaseMismatch
	}
	if err := set.Validate(); err != nil {
		return nil, err
	}
	return result, nil
}

func (d Delta) baseSet(base *Snapshot) *document.Set {
	if d.Base == 0 {
		return document.NewSet()
	}
	return base.set
}

func (c changes) apply(base *document.Set) (*document.Set, error) {
	removed := map[document.Key]bool{}
	for _, key := range c.Delete {
		removed[key] = true
	}
	for _, raw := range c.Put {
		var key document.Key
		if err := json.Unmarshal(raw, &key); err != nil {
			return nil, fmt.Errorf("decode delta: %w", err)
		}
		removed[key] = true
	}
	set := base.Without(removed)
	for _, raw := range c.Put {
		if err := set.AddDocument("", raw); err != nil {
			return nil, err
		}
	}
	return set, nil
}

// ChangedKeys returns the keys of the documents that target adds or modifies, and of
// those that it removes.
func ChangedKeys(base, target *Snapshot) (changed, removed []document.Key) {
	list := diff(base.set, target.set)
	for _, raw := range list.Put {
		var key document.Key
		if json.Unmarshal(raw, &key) == nil {
			changed = append(changed, key)
		}
	}
	return changed, slices.Clone(list.Delete)
}
