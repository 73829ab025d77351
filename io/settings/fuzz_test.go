package settings_test

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"

	"marjoramsaddle/io/settings"
)

// Guards against panics, and against accepted settings that are rejected or differ
// after being encoded and parsed again.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"host":"a","failure_domain":"d","service":"s","caller_address":"127.0.0.1:1","control_address":"127.0.0.1:2",
		"hop_address":"127.0.0.1:3","operator_address":"[::1]:4","backend_address":"127.0.0.1:5","platform_url":"http://127.0.0.1:6",
		"seeds":[{"host":"b","failure_domain":"d","address":"127.0.0.1:7"}],
		"tls":{"certificate_file":"c","key_file":"k","authority_file":"a"},"experiment":{"strategy":"full"}}`))
	f.Add([]byte(`{"seeds":[{}],"drain_ms":-1}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, data []byte) {
		is := is.New(t)
		first, err := settings.Parse("file", data)
		if err != nil {
			return
		}
		encoded, err := json.Marshal(first)
		is.NoErr(err)
		second, err := settings.Parse("file", encoded)
		is.NoErr(err)
		is.Equal(first, second)
	})
}
