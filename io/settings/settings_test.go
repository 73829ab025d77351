package settings_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"marjoramsaddle/core/kernel"
	"marjoramsaddle/io/settings"
)

const validSettings = `{
 "host":"counter-reduit-1","failure_domain":"reduit","service":"counter",
 "caller_address":"127.0.0.1:1","control_address":"127.0.0.1:2","hop_address":"127.0.0.1:3",
 "operator_address":"127.0.0.1:4","backend_address":"127.0.0.1:5",
 "tls":{"certificate_file":"c","key_file":"k","authority_file":"a"}}`

// Guards against invalid settings that are accepted: each must be rejected with an
// error that names the field.
func TestErrorsNameTheField(t *testing.T) {
	cases := []struct{ name, old, new, want string }{
		{"unknown field", `"host"`, `"hots":"x","host"`, `unknown field "hots"`},
		{"missing host", `"counter-reduit-1"`, `""`, "host: missing"},
		{"name for a number", "127.0.0.1:2", "localhost:2", "control_address"},
		{"no port", "127.0.0.1:3", "127.0.0.1", "hop_address"},
		{"seed by name", `"tls"`, `"seeds":[{"host":"x","failure_domain":"y","address":"x:1"}],"tls"`, "seeds[0].address"},
		{"missing key", `"key_file":"k"`, `"key_file":""`, "tls.key_file"},
		{"transport", `"tls"`, `"hop_transport":"carrier","tls"`, "hop_transport"},
		{"strategy", `"tls"`, `"experiment":{"strategy":"push"},"tls"`, "experiment.strategy"},
		{"platform", `"tls"`, `"platform_url":"127.0.0.1:8500","tls"`, "platform_url"},
		{"trailing data", `"authority_file":"a"}}`, `"authority_file":"a"}}{}`, "data after the settings"},
	}
	for _, one := range cases {
		t.Run(one.name, func(t *testing.T) {
			is := is.New(t)
			text := strings.Replace(validSettings, one.old, one.new, 1)
			is.True(text != validSettings)
			_, err := settings.Parse("daemon.json", []byte(text))
			is.True(err != nil)
			is.True(strings.HasPrefix(err.Error(), "daemon.json: "))
			if !strings.Contains(err.Error(), one.want) {
				t.Errorf("%q does not name %q", err, one.want)
			}
		})
	}
}

// Guards against defaults that select a baseline of an experiment.
func TestDefaultsAreForProduction(t *testing.T) {
	is := is.New(t)
	s, err := settings.Parse("daemon.json", []byte(validSettings))
	is.NoErr(err)
	is.Equal(s.Options(), kernel.Options{Strategy: kernel.StrategyDelta})
	is.Equal(s.Experiment, settings.Experiment{})
}
