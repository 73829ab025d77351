package control

import (
	"bytes"
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramsaddle/core/mirror"
	"marjoramsaddle/io/http1"
)

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

// Guards against a series of changes to a large configuration filling the links of
// all hosts. A follower that holds a known version gets a delta, also across versions
// that it has missed. Otherwise it gets the whole value.
func TestLargeValuesAreSentAsDeltas(t *testing.T) {
	is := is.New(t)
	source := mirror.New()
	source.Replace([]mirror.Item{{Key: "op", Value: configuration(1), Revision: 1}}, 1)
	handler := NewHandler(source, func() time.Duration { return 0 })
	server := httptest.NewServer(handler)
	defer server.Close()
	pool := http1.NewPool(http1.PoolOptions{DialTimeout: time.Second, IdleTimeout: time.Second, MaxBodyBytes: 1 << 20})
	defer pool.CloseIdle()
	address := strings.TrimPrefix(server.URL, "http://")
	follower := mirror.New()
	follow := func() {
		changes, _, err := NewClient(pool).Changes(context.Background(), address, Query{After: follower.AsOf(), Held: follower.LargeItems()})
		is.NoErr(err)
		_, err = follower.Apply(changes)
		is.NoErr(err)
		is.Equal(follower.LargeItems(), source.LargeItems())
	}
	change := func(revision mirror.Revision) {
		_, err := source.Apply(mirror.Changes{
			After: revision - 1, AsOf: revision,
			Events: []mirror.Item{{Key: "op", Value: configuration(int(revision)), Revision: revision}},
		})
		is.NoErr(err)
	}
	follow()
	change(2)
	change(3)
	follow()
	delta := handler.deltaCache.cached[deltaKey{"op", 1, 3}]
	is.True(len(delta) > 0 && len(delta) < 1000)
	for revision := mirror.Revision(4); revision < 20; revision++ {
		change(revision)
	}
	_, known := source.Value("op", 3)
	is.True(!known)
	follow()
}

// Guards against a delta being applied to another value than the one it is based on.
func TestDeltaNeedsItsBase(t *testing.T) {
	is := is.New(t)
	sent := transfer{
		Changes: mirror.Changes{Events: []mirror.Item{{Key: "op", Value: []byte("x"), Revision: 2}}},
		Bases:   map[string]mirror.Revision{"op": 1},
	}
	_, err := sent.decodeDeltas(nil)
	is.True(err != nil)
	_, err = sent.decodeDeltas([]mirror.Item{{Key: "op", Value: []byte("y"), Revision: 1}})
	is.True(err != nil)
}
