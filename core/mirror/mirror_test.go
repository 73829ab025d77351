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

// Guards against a copy that moves backward, skips changes, or differs from the
// store after any order of listings, watches and exchanges between daemons.
func TestCopiesConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := New()
		copies := []*Mirror{New(), New(), New()}
		revision := Revision(1)
		former := make([]Revision, len(copies))
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
				sources := append([]*Mirror{store}, copies...)
				from := rapid.SampledFrom(sources).Draw(t, "from")
				to := rapid.SampledFrom(copies).Draw(t, "to")
				changes, _ := from.Since(to.AsOf())
				if _, err := to.Apply(changes); err != nil {
					t.Fatalf("exchange: %v", err)
				}
			},
			"": func(t *rapid.T) {
				for i, one := range copies {
					if one.AsOf() < former[i] {
						t.Fatalf("copy %d went from %d back to %d", i, former[i], one.AsOf())
					}
					former[i] = one.AsOf()
				}
			},
		})
		for _, one := range copies {
			changes, _ := store.Since(one.AsOf())
			if _, err := one.Apply(changes); err != nil {
				t.Fatalf("last exchange: %v", err)
			}
			if got, want := fmt.Sprint(one.items), fmt.Sprint(store.items); got != want {
				t.Fatalf("copy %s, store %s", got, want)
			}
		}
	})
}

// Guards against changes being applied although earlier ones are missing, and
// against an old listing undoing newer changes.
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

// Guards against superseded configurations being carried to daemons that lag.
func TestOnlyNewestOfAKey(t *testing.T) {
	is := is.New(t)
	m := New()
	m.Replace(nil, 1)
	_, err := m.Apply(Changes{After: 1, Events: []Item{{Key: "c", Revision: 2}, {Key: "d", Revision: 3}, {Key: "c", Revision: 4}}, AsOf: 4})
	is.NoErr(err)
	changes, _ := m.Since(1)
	is.Equal(changes.Events, []Item{{Key: "d", Revision: 3}, {Key: "c", Revision: 4}})
}

// Guards against every daemon reading the store, whose limit is for all of them
// together, and against nobody reading it when the first ones are cut off.
func TestReads(t *testing.T) {
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
	is.Equal(fleet(nil), readersWanted)
	stale := map[int]bool{}
	for i := range 60 {
		stale[i] = true
	}
	// Daemons without news all try; among those with news two are enough.
	is.True(fleet(stale) >= readersWanted)
	is.True(ElectReader(Candidate{Address: "10.0.0.1:80"}, nil).Elected)
}

// Guards against a reader that takes half a second for each version of a large
// configuration, because its link is a slow one, while hosts with fast links
// follow it.
func TestFastLinksRead(t *testing.T) {
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
	is.Equal(reading, readersWanted)
}

// Guards against a whole fleet that turns to the store in the moment in which
// its readers have ended: few step in before they can hear of each other, and
// all have within a second if those before them have ended as well.
func TestReadersStepInByTurns(t *testing.T) {
	is := is.New(t)
	const size = 195
	fleet := make([]Candidate, 0, size)
	for i := range size {
		fleet = append(fleet, Candidate{Address: fmt.Sprintf("10.0.0.%d:80", i), Domain: id.Domain(fmt.Sprintf("d%d", i%5))})
	}
	atOnce := 0
	for i := range fleet {
		others := slices.Delete(slices.Clone(fleet), i, i+1)
		turn := ElectReader(fleet[i], others)
		is.True(turn.Elected)
		is.True(turn.Delay() <= time.Second)
		if turn.Delay() < 2*stepDelay {
			atOnce++
		}
	}
	is.Equal(atOnce, 2)
}
