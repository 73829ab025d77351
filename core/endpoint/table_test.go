package endpoint_test

import (
	"testing"

	"marjoramsaddle/core/endpoint"
	"marjoramsaddle/core/id"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// anyEntry draws from few values, so that entries often tie.
func anyEntry(t *rapid.T) endpoint.Entry {
	word := rapid.SampledFrom([]string{"a", "b", "c"})
	few := rapid.IntRange(0, 2)
	return endpoint.Entry{
		Host:        id.Host(word.Draw(t, "host")),
		Domain:      id.Domain(word.Draw(t, "domain")),
		Service:     id.Service(word.Draw(t, "service")),
		Control:     word.Draw(t, "control"),
		Incarnation: id.Incarnation(few.Draw(t, "incarnation")),
		Sequence:    uint64(few.Draw(t, "sequence")),
		State:       endpoint.State(rapid.IntRange(0, 3).Draw(t, "state")),
		Slots:       few.Draw(t, "slots"),
	}
}

func tableOf(entries ...[]endpoint.Entry) *endpoint.Table {
	table := endpoint.NewTable()
	for _, part := range entries {
		for _, entry := range part {
			table.Merge(entry)
		}
	}
	return table
}

// Guards against tables that depend on the order or repetition of updates: the hosts
// that hold them would exchange repairs forever.
func TestMergeIsOrderIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		list := rapid.SliceOfN(rapid.Custom(anyEntry), 0, 12)
		a, b, c := list.Draw(t, "a"), list.Draw(t, "b"), list.Draw(t, "c")
		is.Equal(tableOf(a, b).All(), tableOf(b, a).All())                                     // commutative
		is.Equal(tableOf(tableOf(a, b).All(), c).All(), tableOf(a, tableOf(b, c).All()).All()) // associative
		is.Equal(tableOf(a, a).All(), tableOf(a).All())                                        // idempotent
	})
}

// Guards against equal digests of different tables, which repair would never detect,
// and against a digest that depends on the history of the table.
func TestDigestEquality(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		list := rapid.SliceOfN(rapid.Custom(anyEntry), 0, 6)
		a, b := tableOf(list.Draw(t, "a")), tableOf(list.Draw(t, "b"))
		if rapid.Bool().Draw(t, "remove") {
			a.Remove("a")
			b.Remove("a")
		}
		live := func(entry endpoint.Entry) bool { return entry.State != endpoint.Dead }
		left, right := a.Select(live), b.Select(live)
		same := len(left) == len(right)
		for index := 0; same && index < len(left); index++ {
			same = left[index] == right[index]
		}
		is.Equal(same, a.Digest() == b.Digest())
		is.Equal(same, a.BucketDigests() == b.BucketDigests())
		is.Equal(tableOf(a.All()).Digest(), a.Digest())
	})
}

// Guards against a repair that omits entries of a bucket.
func TestInBuckets(t *testing.T) {
	is := is.New(t)
	table := tableOf([]endpoint.Entry{{Host: "a"}, {Host: "b"}, {Host: "c"}})
	var wanted [endpoint.Buckets]bool
	wanted[endpoint.BucketOf("b")] = true
	inBucket := func(entry endpoint.Entry) bool { return endpoint.BucketOf(entry.Host) == endpoint.BucketOf("b") }
	is.True(len(table.Select(inBucket)) > 0)
	is.Equal(table.InBuckets(wanted), table.Select(inBucket))
}
