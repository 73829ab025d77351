package settings_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"marjoramsaddle/io/settings"
)

const minimal = `{"host":"h","failure_domain":"d","service":"s",
"caller_address":"127.0.0.1:1","control_address":"127.0.0.1:2","hop_address":"127.0.0.1:3",
"operator_address":"127.0.0.1:4","backend_address":"127.0.0.1:5",
"tls":{"certificate_file":"c","key_file":"k","authority_file":"a"}`

// Guards against daemons that announce an empty or invalid address.
func TestAdvertisedAddresses(t *testing.T) {
	cases := []struct{ extra, control, hop, fault string }{
		{"", "127.0.0.1:2", "127.0.0.1:3", ""},
		{`,"control_advertise":"192.0.2.1:7","hop_advertise":"192.0.2.1:8"`, "192.0.2.1:7", "192.0.2.1:8", ""},
		{`,"control_advertise":"example.org:7"`, "", "", "control_advertise"},
		{`,"hop_advertise":"192.0.2.1"`, "", "", "hop_advertise"},
	}
	for _, c := range cases {
		is := is.New(t)
		s, err := settings.Parse("test", []byte(minimal+c.extra+"}"))
		if c.fault != "" {
			is.True(err != nil && strings.Contains(err.Error(), c.fault))
			continue
		}
		is.NoErr(err)
		is.Equal(s.ControlAdvertise, c.control)
		is.Equal(s.HopAdvertise, c.hop)
	}
}
