package snapshot_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"marjoramsaddle/core/document"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/snapshot"
)

const base = `[
 {"kind":"service","name":"counter","labels":{"team":"shop"},"slots":20,"connections":130},
 {"kind":"proxy","name":"a","labels":{"tier":"front"}},
 {"kind":"configuration","name":"all","routes":[
  {"name":"stock","path_prefix":"/stock","service":"counter","timeout_ms":1000,"class":"lookup","idempotent":true}],
  "limits":{"queue_ms":50}},
 {"kind":"configuration","name":"front","priority":5,
  "proxy_selector":{"match_labels":{"tier":"front"}},
  "service_selector":{"match_labels":{"team":"shop"}},"limits":{"queue_ms":70}}
]`

const depot = `,{"kind":"service","name":"depot","slots":20,"connections":130}`

func parse(t *testing.T, version id.Version, text string) *snapshot.Snapshot {
	t.Helper()
	set := document.NewSet()
	if err := set.Add("test", []byte(text)); err != nil {
		t.Fatal(err)
	}
	if err := set.Validate(); err != nil {
		t.Fatal(err)
	}
	return snapshot.New(version, set)
}

// Guards against a proxy that applies the fields of a configuration which does not
// match its labels, or of one with a lower priority.
func TestViewMergesByPriority(t *testing.T) {
	is := is.New(t)
	snap := parse(t, 1, base)
	is.Equal(snap.View("a").Policies["counter"].QueueMS, 70)
	is.Equal(snap.View("a").Policies["counter"].Origins["queue_ms"], "front")
	is.Equal(snap.View("b").Policies["counter"].QueueMS, 50)
	is.Equal(snap.View("b").Match("GET", "/stock/nails").Service, id.Service("counter"))
	is.True(snap.View("b").Match("GET", "/stockroom") == nil) // a prefix matches whole segments
}

// Guards against a delta that is applied to a base other than its own, which would
// mix two versions.
func TestDeltaNeedsItsBase(t *testing.T) {
	is := is.New(t)
	first := parse(t, 1, base)
	second := parse(t, 2, strings.TrimSuffix(base, "]")+depot+"]")
	other := parse(t, 3, "["+strings.TrimPrefix(depot, ",")+"]")
	delta, err := snapshot.NewDelta(first, second)
	is.NoErr(err)
	got, err := delta.Apply(first)
	is.NoErr(err)
	is.Equal(got.Digest, second.Digest)
	_, err = delta.Apply(other)
	is.Equal(err, snapshot.ErrBaseMismatch) // the version of the base differs
	delta.Base = other.Version
	_, err = delta.Apply(other)
	is.Equal(err, snapshot.ErrBaseMismatch) // the hash of the result differs
}
