package snapshot_test

import (
	"testing"

	"github.com/klauspost/compress/zstd"
	"github.com/matryer/is"

	"marjoramsaddle/core/snapshot"
)

// Guards against payloads from a faulty peer that crash the daemon, modify the base,
// or are accepted although the hash of the result differs.
func FuzzApply(f *testing.F) {
	encoder, err := zstd.NewWriter(nil)
	if err != nil {
		f.Fatal(err)
	}
	f.Add([]byte(`{"put":[{"kind":"proxy","name":"b"}],"delete":[{"kind":"proxy","name":"a"}]}`), true)
	f.Add([]byte(`{"put":[null],"delete":[{}]}`), true)
	f.Add([]byte("\x28\xb5\x2f\xfd"), false)
	f.Fuzz(func(t *testing.T, payload []byte, compressed bool) {
		is := is.New(t)
		from := parse(&testing.T{}, 1, base)
		before := from.Digest
		if compressed {
			payload = encoder.EncodeAll(payload, nil)
		}
		for _, delta := range []snapshot.Delta{
			{Base: 1, Version: 2, Digest: before, Payload: payload},
			{Version: 2, Digest: before, Payload: payload},
		} {
			result, err := delta.Apply(from)
			if err == nil {
				is.Equal(result.Digest, before)
			}
		}
		is.Equal(snapshot.New(1, from.Documents()).Digest, before)
	})
}
