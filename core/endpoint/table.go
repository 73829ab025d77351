package endpoint

import (
	"slices"
	"strings"

	"marjoramsaddle/core/id"

	"github.com/cespare/xxhash/v2"
)

// Buckets is the number of parts that a table's digest is split into.
const Buckets = 64

// Table holds the newest known entry of each host. Its digest costs nothing to
// read: it is kept up to date with each change.
type Table struct {
	entries map[id.Host]Entry
	buckets [Buckets]uint64
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{entries: map[id.Host]Entry{}} }

// Len returns the number of hosts.
func (t *Table) Len() int { return len(t.entries) }

// Get returns the entry of a host.
func (t *Table) Get(host id.Host) (Entry, bool) {
	entry, ok := t.entries[host]
	return entry, ok
}

// Merge adopts the entry when it is newer than the known one, and reports
// whether it did.
func (t *Table) Merge(entry Entry) bool {
	old, known := t.entries[entry.Host]
	if known && !entry.Newer(old) {
		return false
	}
	bucket := Bucket(entry.Host)
	if known {
		t.buckets[bucket] ^= old.hash()
	}
	t.buckets[bucket] ^= entry.hash()
	t.entries[entry.Host] = entry
	return true
}

// Remove drops a host.
func (t *Table) Remove(host id.Host) {
	if old, known := t.entries[host]; known {
		t.buckets[Bucket(host)] ^= old.hash()
		delete(t.entries, host)
	}
}

// Digest returns a hash of the whole table.
func (t *Table) Digest() uint64 {
	var sum uint64
	for index, bucket := range t.buckets {
		// The rotation keeps equal buckets in different places from cancelling
		// each other out.
		sum ^= bucket<<(index%64) | bucket>>(64-index%64)
	}
	return sum
}

// BucketDigests returns the hash of each bucket.
func (t *Table) BucketDigests() [Buckets]uint64 { return t.buckets }

// Bucket returns the bucket of a host.
func Bucket(host id.Host) int { return int(xxhash.Sum64String(string(host)) % Buckets) }

// All returns the entries ordered by host.
func (t *Table) All() []Entry {
	return t.Select(func(Entry) bool { return true })
}

// Select returns the entries that keep accepts, ordered by host.
func (t *Table) Select(keep func(Entry) bool) []Entry {
	out := make([]Entry, 0, len(t.entries))
	for _, entry := range t.entries {
		if keep(entry) {
			out = append(out, entry)
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return strings.Compare(string(a.Host), string(b.Host)) })
	return out
}

func (e Entry) hash() uint64 {
	sum := xxhash.New()
	_, _ = sum.WriteString(string(e.Host))
	var tail [17]byte
	putUint64(tail[0:], uint64(e.Incarnation))
	putUint64(tail[8:], e.Sequence)
	tail[16] = byte(e.State)
	_, _ = sum.Write(tail[:])
	return sum.Sum64()
}

func putUint64(into []byte, value uint64) {
	for index := range 8 {
		into[index] = byte(value >> (8 * index))
	}
}
