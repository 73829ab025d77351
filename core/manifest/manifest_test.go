package manifest_test

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/matryer/is"

	"marjoramsaddle/core/manifest"
)

var valid = `{"format":1,"parts":[{"sha256":"` + strings.Repeat("0a", 32) + `","bytes":7}],"author":"a"}`

// Guards against a manifest that two builds interpret differently.
func TestFieldNamesAreExactAndUnique(t *testing.T) {
	is := is.New(t)
	_, err := manifest.Decode([]byte(valid))
	is.NoErr(err)
	for _, changed := range []string{
		strings.Replace(valid, `"parts"`, `"Parts"`, 1),
		strings.Replace(valid, `"bytes":7`, `"bytes":7,"bytes":8`, 1),
		strings.Replace(valid, `"author":"a"`, `"author":"a","authors":"b"`, 1),
		valid + "{}",
	} {
		_, err := manifest.Decode([]byte(changed))
		is.True(err != nil)
	}
}

// Guards against panics, and against an accepted manifest that changes when it is
// encoded and decoded again.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(valid))
	f.Add([]byte(`{"format":2}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, data []byte) {
		is := is.New(t)
		first, err := manifest.Decode(data)
		if err != nil {
			return
		}
		encoded, err := json.Marshal(first)
		is.NoErr(err)
		second, err := manifest.Decode(encoded)
		is.NoErr(err)
		is.Equal(first, second)
	})
}
