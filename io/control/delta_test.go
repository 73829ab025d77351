package control

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramsaddle/core/mirror"
	"marjoramsaddle/io/http1"
)

// firstEra returns the position of a revision in the first era.
func firstEra(revision mirror.Revision) mirror.Position {
	return mirror.Position{Era: 1, Revision: revision}
}

// configuration returns a text with many routes, one of which has the given timeout.
func configuration(timeout int) []byte {
	var out bytes.Buffer
	for i := range 2000 {
		wait := 1
		if i == 700 {
			wait = timeout
		}
		fmt.Fprintf(&out, `{"name":"r-%x","prefix":"/%x/","timeout_s":%d},`, i*7919, i*104729, wait)
	}
	return out.Bytes()
}

// serveChanges serves the changes of a copy, and returns a function that fetches those that
// a follower lacks.
func serveChanges(t *testing.T, source *mirror.Mirror) (*Handler, func(follower *mirror.Mirror) (mirror.Changes, error)) {
	t.Helper()
	handler := NewHandler(source, func() time.Duration { return 0 })
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	pool := http1.NewPool(http1.PoolOptions{DialTimeout: time.Second, IdleTimeout: time.Second, MaxBodyBytes: 1 << 20})
	t.Cleanup(pool.CloseIdle)
	return handler, func(follower *mirror.Mirror) (mirror.Changes, error) {
		query := Query{After: follower.AsOf(), Held: follower.LargeValues()}
		changes, _, err := NewClient(pool).Changes(context.Background(), strings.TrimPrefix(server.URL, "http://"), query)
		return changes, err
	}
}

// Guards against a series of changes to a large configuration filling the links of
// all hosts. A follower that holds a known version gets a delta, also across versions
// that it has missed. Otherwise it gets the whole value.
func TestLargeValuesAreSentAsDeltas(t *testing.T) {
	is := is.New(t)
	source := mirror.New()
	source.Replace([]mirror.Item{{Key: "op", Value: configuration(1), Revision: 1}}, firstEra(1))
	handler, changesAfter := serveChanges(t, source)
	follower := mirror.New()
	follow := func() {
		changes, err := changesAfter(follower)
		is.NoErr(err)
		_, err = follower.Apply(changes)
		is.NoErr(err)
		is.Equal(follower.LargeValues(), source.LargeValues())
	}
	change := func(revision mirror.Revision) {
		_, err := source.Apply(mirror.Changes{
			After: firstEra(revision - 1), AsOf: firstEra(revision),
			Events: []mirror.Item{{Key: "op", Value: configuration(int(revision)), Revision: revision}},
		})
		is.NoErr(err)
	}
	follow()
	change(2)
	change(3)
	follow()
	delta := handler.deltaCache.cached[deltaKey{"op", firstEra(1), firstEra(3)}]
	is.True(len(delta) > 0 && len(delta) < 1000)
	for revision := mirror.Revision(4); revision < 20; revision++ {
		change(revision)
	}
	_, known := source.Value("op", firstEra(3))
	is.True(!known)
	follow()
}

// Guards against a delta being applied to another value than the one it is based on.
func TestDeltaNeedsItsBase(t *testing.T) {
	is := is.New(t)
	sent := transfer{
		Changes: mirror.Changes{Events: []mirror.Item{{Key: "op", Value: []byte("x"), Revision: 2}}},
		Bases:   map[string]mirror.Position{"op": firstEra(1)},
	}
	_, err := sent.decodeDeltas(nil)
	is.True(err != nil)
	_, err = sent.decodeDeltas([]mirror.Value{{Key: "op", Data: []byte("y"), At: firstEra(1)}})
	is.True(err != nil)
	_, err = sent.decodeDeltas([]mirror.Value{{Key: "op", Data: []byte("y"), At: mirror.Position{Era: 2, Revision: 1}}})
	is.True(errors.Is(err, errUnknownBase))
}

// Guards against a delta that is based on the value of another era with the same revision,
// and against a follower whose copy no changes of the new era can be added to.
func TestFollowerCrossesEras(t *testing.T) {
	is := is.New(t)
	source, follower := mirror.New(), mirror.New()
	handler, changesAfter := serveChanges(t, source)
	secondEra := mirror.Position{Era: 2, Revision: 5}
	for _, test := range []struct {
		at      mirror.Position
		timeout int
	}{{firstEra(5), 1}, {secondEra, 2}} {
		source.Replace([]mirror.Item{{Key: "op", Value: configuration(test.timeout), Revision: 5}}, test.at)
		changes, err := changesAfter(follower)
		is.NoErr(err)
		_, err = follower.Apply(changes)
		is.NoErr(err)
		is.Equal(follower.AsOf(), test.at)
		is.Equal(follower.LargeValues(), source.LargeValues())
	}
	delta := handler.deltaCache.cached[deltaKey{"op", firstEra(5), secondEra}]
	is.True(len(delta) > 0 && len(delta) < 1000)
}
