package mirror

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"marjoramsaddle/core/id"
	"marjoramsaddle/core/link"
)

// storeModel is a store that can come back from a copy. It records its items at each
// position.
type storeModel struct {
	asOf    Position
	items   map[string]Item
	events  []Item
	states  map[Position]string
	copies  []storeModel
	changes int
}

func newStoreModel() *storeModel {
	s := &storeModel{asOf: Position{Era: 1, Revision: 1}, items: map[string]Item{}, states: map[Position]string{}}
	s.record()
	return s
}

func (s *storeModel) record() { s.states[s.asOf] = fmt.Sprint(s.items) }

func (s *storeModel) write(event Item) {
	s.changes++
	s.asOf.Revision = event.Revision
	if event.Deleted {
		delete(s.items, event.Key)
	} else {
		event.Value = fmt.Appendf(nil, "v%d", s.changes)
		s.items[event.Key] = event
	}
	s.events = append(s.events, event)
	s.record()
}

func (s *storeModel) makeCopy() {
	s.copies = append(s.copies, storeModel{asOf: s.asOf, items: maps.Clone(s.items), events: slices.Clone(s.events)})
}

func (s *storeModel) restore(from int) {
	made := s.copies[from]
	s.items, s.events = maps.Clone(made.items), slices.Clone(made.events)
	s.asOf = Position{Era: s.asOf.Era + 1, Revision: made.asOf.Revision}
	s.record()
}

// update brings a replica up to date with a watch, or with a listing if that fails.
func (s *storeModel) update(replica *Mirror) error {
	after := replica.AsOf()
	if after != (Position{}) && after.Revision <= s.asOf.Revision {
		watched := Changes{After: after, AsOf: s.asOf}
		for _, event := range s.events {
			if event.Revision > after.Revision {
				watched.Events = append(watched.Events, event)
			}
		}
		_, err := replica.Apply(watched)
		if !errors.Is(err, ErrLaterEra) {
			return err
		}
	}
	replica.Replace(slices.Collect(maps.Values(s.items)), s.asOf)
	return nil
}

// Guards against a replica that moves backward, skips changes, or differs from the store
// after any order of listings, watches and exchanges between daemons, also when the store
// comes back from a copy and gives out revisions again.
func TestReplicasConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := newStoreModel()
		replicas := []*Mirror{New(), New(), New()}
		former := make([]Position, len(replicas))
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) {
				store.write(Item{
					Key:      fmt.Sprintf("k%d", rapid.IntRange(0, 5).Draw(t, "key")),
					Revision: store.asOf.Revision + Revision(rapid.IntRange(1, 3).Draw(t, "step")),
					Deleted:  rapid.Bool().Draw(t, "delete"),
				})
			},
			"copy": func(*rapid.T) { store.makeCopy() },
			"restore": func(t *rapid.T) {
				if len(store.copies) == 0 {
					t.Skip("no copy")
				}
				store.restore(rapid.IntRange(0, len(store.copies)-1).Draw(t, "copy"))
			},
			"read": func(t *rapid.T) {
				if err := store.update(rapid.SampledFrom(replicas).Draw(t, "reader")); err != nil {
					t.Fatalf("read: %v", err)
				}
			},
			"exchange": func(t *rapid.T) {
				from := rapid.SampledFrom(replicas).Draw(t, "from")
				to := rapid.SampledFrom(replicas).Draw(t, "to")
				changes, _ := from.Since(to.AsOf())
				if _, err := to.Apply(changes); err != nil {
					t.Fatalf("exchange: %v", err)
				}
			},
			"": func(t *rapid.T) {
				for i, replica := range replicas {
					asOf := replica.AsOf()
					if asOf.Before(former[i]) {
						t.Fatalf("replica %d went from %v back to %v", i, former[i], asOf)
					}
					former[i] = asOf
					if got, want := fmt.Sprint(replica.items), store.states[asOf]; asOf != (Position{}) && got != want {
						t.Fatalf("replica %d at %v: %s, store %s", i, asOf, got, want)
					}
				}
			},
		})
		for _, replica := range replicas {
			if err := store.update(replica); err != nil {
				t.Fatalf("last read: %v", err)
			}
			if got, want := fmt.Sprint(replica.items), fmt.Sprint(store.items); got != want {
				t.Fatalf("replica %s, store %s", got, want)
			}
		}
	})
}

// Guards against a reader that takes the watch of a new era for the continuation of a copy
// that another daemon has brought to that era meanwhile.
func TestWatchAcrossErasIsRejected(t *testing.T) {
	is := is.New(t)
	m := New()
	m.Replace([]Item{{Key: "a", Revision: 4}}, Position{1, 9})
	m.Replace([]Item{{Key: "a", Revision: 4}}, Position{2, 6})
	_, err := m.Apply(Changes{After: Position{1, 9}, Events: []Item{{Key: "b", Revision: 10}}, AsOf: Position{2, 10}})
	is.True(errors.Is(err, ErrLaterEra))
	is.Equal(m.AsOf(), Position{2, 6})
}

// Guards against a listing of a new era that leaves what is derived from the items of the
// era before: all items are passed on, and what the copy of the store lacks is removed.
func TestFirstListingOfAnEraPassesAllItems(t *testing.T) {
	is := is.New(t)
	m := New()
	kept, lost := Item{Key: "kept", Value: []byte("v"), Revision: 4}, Item{Key: "lost", Revision: 9}
	for _, item := range m.Replace([]Item{kept, lost}, Position{1, 9}) {
		is.True(!item.Restored)
	}
	is.Equal(len(m.Replace([]Item{kept, lost}, Position{1, 9})), 0)
	applied := m.Replace([]Item{kept}, Position{2, 6})
	kept.Restored = true
	is.Equal(applied, []Item{kept, {Key: "lost", Revision: 6, Deleted: true, Restored: true}})
	changes, _ := m.Since(Position{1, 9})
	is.True(changes.Whole)
	is.True(!changes.Events[0].Restored)
}

// Guards against two values of a key being taken for each other since both eras have given
// them the same revision.
func TestLargeValuesOfErasAreDistinct(t *testing.T) {
	is := is.New(t)
	m := New()
	large := func(content string) []byte { return []byte(strings.Repeat(content, largeValue)) }
	m.Replace([]Item{{Key: "op", Value: large("x"), Revision: 5}}, Position{1, 5})
	m.Replace([]Item{{Key: "op", Value: large("y"), Revision: 5}}, Position{2, 5})
	for era, want := range map[Era][]byte{1: large("x"), 2: large("y")} {
		value, found := m.Value("op", Position{era, 5})
		is.True(found)
		is.Equal(value, want)
	}
}

// Guards against applying changes although earlier ones are missing, and against an old
// listing that undoes newer changes.
func TestGapAndOldListing(t *testing.T) {
	is := is.New(t)
	m := New()
	m.Replace([]Item{{Key: "a", Revision: 4}}, Position{1, 5})
	_, err := m.Apply(Changes{After: Position{1, 7}, Events: []Item{{Key: "b", Revision: 8}}, AsOf: Position{1, 8}})
	is.True(errors.Is(err, ErrGap))
	is.Equal(m.AsOf(), Position{1, 5})
	is.Equal(len(m.Replace(nil, Position{1, 4})), 0)
	is.Equal(m.items["a"].Revision, Revision(4))
	removed := m.Replace([]Item{{Key: "b", Revision: 6}}, Position{1, 6})
	is.Equal(removed, []Item{{Key: "b", Revision: 6}, {Key: "a", Revision: 6, Deleted: true}})
}

// Guards against sending superseded configurations to daemons that lag.
func TestOnlyLatestChangeOfAKeyIsSent(t *testing.T) {
	is := is.New(t)
	m := New()
	m.Replace(nil, Position{1, 1})
	_, err := m.Apply(Changes{After: Position{1, 1}, Events: []Item{{Key: "c", Revision: 2}, {Key: "d", Revision: 3}, {Key: "c", Revision: 4}}, AsOf: Position{1, 4}})
	is.NoErr(err)
	changes, _ := m.Since(Position{1, 1})
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

// Guards against a position that another daemon sends and that is read as another one: the
// changes in between would be missing, or an outdated copy would count as newer.
func TestParsePosition(t *testing.T) {
	is := is.New(t)
	for _, position := range []Position{{}, {0, 7}, {2, 153}, {1 << 63, 1<<64 - 1}} {
		parsed, err := ParsePosition(position.String())
		is.NoErr(err)
		is.Equal(parsed, position)
	}
	for _, text := range []string{"", "7", ".", "1.", ".7", "1.7.2", "-1.7", "x.7", "1.18446744073709551616"} {
		_, err := ParsePosition(text)
		is.True(err != nil)
	}
}
