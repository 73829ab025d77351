package endpoint

import (
	"slices"
	"strings"

	"marjoramsaddle/core/id"

	"github.com/cespare/xxhash/v2"
)

// Buckets is the number of buckets that hosts are hashed into. Each has its own
// digest, so that two tables can exchange only the buckets that differ.
const Buckets = 64

// Table holds the newest known entry of each host. Its digest is updated with each
// change, so reading it is cheap. The digest excludes dead hosts, because each host
// removes them at a different time.
type Table struct {
	rows     map[id.Host]*row
	order    []*row // ordered by host
	buckets  [Buckets]uint64
	revision uint64
}

type row struct {
	Entry
	hash   uint64
	bucket int
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{rows: map[id.Host]*row{}} }

// Len returns the number of hosts, dead ones included.
func (t *Table) Len() int { return len(t.rows) }

// Revision returns a number that increases with each change of the table.
func (t *Table) Revision() uint64 { return t.revision }

// Get returns the entry of a host.
func (t *Table) Get(host id.Host) (Entry, bool) {
	known, ok := t.rows[host]
	if !ok {
		return Entry{}, false
	}
	return known.Entry, true
}

// Merge stores the entry if its host is unknown or it supersedes the known entry, and
// reports whether the table changed.
func (t *Table) Merge(entry Entry) bool {
	known, exists := t.rows[entry.Host]
	if exists && !entry.Supersedes(known.Entry) {
		return false
	}
	if !exists {
		known = &row{bucket: BucketOf(entry.Host)}
		t.insert(entry.Host, known)
	}
	t.buckets[known.bucket] ^= known.hash
	known.Entry = entry
	known.hash = entry.hash()
	t.buckets[known.bucket] ^= known.hash
	t.revision++
	return true
}

// Remove deletes the entry of a host, if there is one.
func (t *Table) Remove(host id.Host) {
	known, exists := t.rows[host]
	if !exists {
		return
	}
	t.buckets[known.bucket] ^= known.hash
	delete(t.rows, host)
	index, _ := t.find(host)
	t.order = slices.Delete(t.order, index, index+1)
	t.revision++
}

func (t *Table) insert(host id.Host, added *row) {
	index, _ := t.find(host)
	t.rows[host] = added
	t.order = slices.Insert(t.order, index, added)
}

func (t *Table) find(host id.Host) (int, bool) {
	return slices.BinarySearchFunc(t.order, host, func(known *row, host id.Host) int {
		return strings.Compare(string(known.Host), string(host))
	})
}

// Digest returns a hash of all entries except those of dead hosts.
func (t *Table) Digest() uint64 {
	var sum uint64
	for index, bucket := range t.buckets {
		// The rotation prevents equal buckets at different positions from cancelling
		// each other out.
		sum ^= bucket<<(index%64) | bucket>>(64-index%64)
	}
	return sum
}

// BucketDigests returns the digest of each bucket.
func (t *Table) BucketDigests() [Buckets]uint64 { return t.buckets }

// BucketOf returns the bucket that a host belongs to.
func BucketOf(host id.Host) int { return int(xxhash.Sum64String(string(host)) % Buckets) }

// All returns the entries ordered by host.
func (t *Table) All() []Entry {
	out := make([]Entry, len(t.order))
	for index, known := range t.order {
		out[index] = known.Entry
	}
	return out
}

// Select returns the entries for which keep returns true, ordered by host.
func (t *Table) Select(keep func(Entry) bool) []Entry {
	var out []Entry
	t.Each(func(entry *Entry) {
		if keep(*entry) {
			out = append(out, *entry)
		}
	})
	return out
}

// Each calls visit for the entries ordered by host, without copying them. visit must
// neither change the table nor retain the pointer.
func (t *Table) Each(visit func(*Entry)) {
	for _, known := range t.order {
		visit(&known.Entry)
	}
}

// InBuckets returns the entries of the given buckets ordered by host.
func (t *Table) InBuckets(wanted [Buckets]bool) []Entry {
	var out []Entry
	for _, known := range t.order {
		if wanted[known.bucket] {
			out = append(out, known.Entry)
		}
	}
	return out
}

// hash covers every field, so that equal digests imply equal entries. It is zero for
// dead hosts.
func (e Entry) hash() uint64 {
	if e.State == Dead {
		return 0
	}
	sum := xxhash.New()
	for _, text := range e.textFields() {
		writeUint64(sum, uint64(len(text)))
		_, _ = sum.WriteString(text)
	}
	for _, number := range e.numericFields() {
		writeUint64(sum, number)
	}
	return sum.Sum64()
}

func writeUint64(sum *xxhash.Digest, value uint64) {
	var raw [8]byte
	for index := range raw {
		raw[index] = byte(value >> (8 * index))
	}
	_, _ = sum.Write(raw[:])
}
