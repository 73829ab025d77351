package mirror

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"marjoramsaddle/core/id"
	"marjoramsaddle/core/link"
)

// Guards against a replica that moves backward, skips changes, or differs from the store
// after any order of listings, watches and exchanges between daemons.
func TestReplicasConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := New()
		replicas := []*Mirror{New(), New(), New()}
		revision := Revision(1)
		former := make([]Revision, len(replicas))
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				after := revision
				revision += Revision(rapid.IntRange(1, 3).Draw(t, "step"))
				key := fmt.Sprintf("k%d", rapid.IntRange(0, 5).Draw(t, "key"))
				event := Item{Key: key, Value: fmt.Appendf(nil, "v%d", revision), Revision: revision}
				if rapid.Bool().Draw(t, "delete") {
					event = Item{Key: key, Revision: revision, Deleted: true}
				}
				if store.AsOf() == 0 {
					store.Replace(nil, after)
				}
				if _, err := store.Apply(Changes{After: after, Events: []Item{event}, AsOf: revision}); err != nil {
					t.Fatalf("store: %v", err)
				}
			},
			"exchange": func(t *rapid.T) {
				sources := append([]*Mirror{store}, replicas...)
				from := rapid.SampledFrom(sources).Draw(t, "from")
				to := rapid.SampledFrom(replicas).Draw(t, "to")
				changes, _ := from.Since(to.AsOf())
				if _, err := to.Apply(changes); err != nil {
					t.Fatalf("exchange: %v", err)
				}
			},
			"": func(t *rapid.T) {
				for i, replica := range replicas {
					if replica.AsOf() < former[i] {
						t.Fatalf("replica %d went from %d back to %d", i, former[i], replica.AsOf())
					}
					former[i] = replica.AsOf()
				}
			},
		})
		for _, replica := range replicas {
			changes, _ := store.Since(replica.AsOf())
			if _, err := replica.Apply(changes); err != nil {
				t.Fatalf("last exchange: %v", err)
			}
			if got, want := fmt.Sprint(replica.items), fmt.Sprint(store.items); got != want {
				t.Fatalf("replica %s, store %s", got, want)
			}
		}
	})
}

// Guards against applying changes although earlier ones are missing, and against an old
// listing that undoes newer changes.
func TestGapAndOldListing(t *testing.T) {
	is := is.New(t)
	m := New()
	m.Replace([]Item{{Key: "a", Revision: 4}}, 5)
	_, err := m.Apply(Changes{After: 7, Events: []Item{{Key: "b", Revision: 8}}, AsOf: 8})
	is.True(errors.Is(err, ErrGap))
	is.Equal(m.AsOf(), Revision(5))
	is.Equal(len(m.Replace(nil, 4)), 0)
	is.Equal(m.items["a"].Revision, Revision(4))
	removed := m.Replace([]Item{{Key: "b", Revision: 6}}, 6)
	is.Equal(removed, []Item{{Key: "b", Revision: 6}, {Key: "a", Revision: 6, Deleted: true}})
}

// Guards against sending superseded configurations to daemons that lag.
func TestOnlyLatestChangeOfAKeyIsSent(t *testing.T) {
	is := is.New(t)
	m := New()
	m.Replace(nil, 1)
	_, err := m.Apply(Changes{After: 1, Events: []Item{{Key: "c", Revision: 2}, {Key: "d", Revision: 3}, {Key: "c", Revision: 4}}, AsOf: 4})
	is.NoErr(err)
	changes, _ := m.Since(1)
	is.Equal(changes.Events, []Item{{Key: "d", Revision: 3}, {Key: "c", Revision: 4}})
}

// Guards against every daemon reading the store, whose rate limit applies to all of them
// together, and against no daemon reading it when the first candidates are partitioned.
func TestReaderCount(t *testing.T) {
	fleet := func(stale map[int]bool) int {
		all := make([]Candidate, 0, 76)
		for i := range cap(all) {
			all = append(all, Candidate{
				Address: fmt.Sprintf("10.%d.0.%d:80", i%3, i), Domain: id.Domain(fmt.Sprint("domain-", i%3)), Fresh: !stale[i],
			})
		}
		reading := 0
		for i, self := range all {
			others := append(append([]Candidate{}, all[:i]...), all[i+1:]...)
			if ElectReader(self, others).Elected {
				reading++
			}
		}
		return reading
	}
	is := is.New(t)
	is.Equal(fleet(nil), targetReaders)
	stale := map[int]bool{}
	for i := range 60 {
		stale[i] = true
	}
	// All daemons without updates try to read; among those with updates two suffice.
	is.True(fleet(stale) >= targetReaders)
	is.True(ElectReader(Candidate{Address: "10.0.0.1:80"}, nil).Elected)
}

// Guards against electing a reader with a slow link, which takes half a second for each
// version of a large configuration, while hosts with fast links follow it.
func TestFastLinksAreElected(t *testing.T) {
	is := is.New(t)
	const slow, fast link.Rate = 750_000, 12_500_000
	all := make([]Candidate, 0, 60)
	for i := range cap(all) {
		rate := slow
		if i%10 == 7 {
			rate = fast
		}
		all = append(all, Candidate{
			Address: fmt.Sprintf("10.%d.0.%d:80", i%3, i), Domain: id.Domain(fmt.Sprint("domain-", i%3)), Link: rate, Fresh: true,
		})
	}
	reading := 0
	for i, self := range all {
		others := append(append([]Candidate{}, all[:i]...), all[i+1:]...)
		if ElectReader(self, others).Elected {
			is.Equal(self.Link, fast)
			reading++
		}
	}
	is.Equal(reading, targetReaders)
}

// Guards against a whole fleet accessing the store at the moment when its readers die.
// Few daemons take over before they can learn of each other, and all of them do within a
// second if the candidates ahead of them are dead as well.
func TestReadersTakeOverGradually(t *testing.T) {
	is := is.New(t)
	const size = 195
	fleet := make([]Candidate, 0, size)
	for i := range size {
		fleet = append(fleet, Candidate{Address: fmt.Sprintf("10.0.0.%d:80", i), Domain: id.Domain(fmt.Sprintf("d%d", i%5))})
	}
	atOnce := 0
	for i := range fleet {
		others := slices.Delete(slices.Clone(fleet), i, i+1)
		election := ElectReader(fleet[i], others)
		is.True(election.Elected)
		is.True(election.Delay() <= time.Second)
		if election.Delay() < 2*takeoverDelay {
			atOnce++
		}
	}
	is.Equal(atOnce, 2)
}
