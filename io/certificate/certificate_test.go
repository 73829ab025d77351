package certificate

import (
	"crypto/tls"
	"net"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramsaddle/core/id"
	"marjoramsaddle/io/settings"
	"marjoramsaddle/standin/authority"
)

func issue(t *testing.T, issuer *authority.Authority, folder string, host id.Host) settings.TLS {
	t.Helper()
	identity, err := issuer.Issue("reduit", host)
	if err != nil {
		t.Fatal(err)
	}
	if err := issuer.Write(folder, identity); err != nil {
		t.Fatal(err)
	}
	return settings.TLS{
		CertificateFile: folder + "/" + authority.CertificateFile,
		KeyFile:         folder + "/" + authority.KeyFile,
		AuthorityFile:   folder + "/" + authority.RootFile,
	}
}

func loadKeys(t *testing.T, issuer *authority.Authority, host id.Host) *Keys {
	t.Helper()
	keys, err := Load(issue(t, issuer, t.TempDir(), host))
	if err != nil {
		t.Fatal(err)
	}
	return keys
}

// handshake performs a TLS handshake and returns the errors of both ends.
func handshake(server, client *tls.Config) (serverErr, clientErr error) {
	left, right := net.Pipe()
	done := make(chan error, 1)
	go func() {
		done <- tls.Server(left, server).Handshake()
		_ = left.Close()
	}()
	connection := tls.Client(right, client)
	clientErr = connection.Handshake()
	if clientErr == nil {
		// In TLS 1.3 the client gets the alert for a rejected certificate only on
		// its first read.
		_, _ = connection.Read(make([]byte, 1))
	}
	_ = right.Close()
	return <-done, clientErr
}

// Guards against accepting a peer that is another host than expected or has a
// certificate of another authority.
func TestIdentityIsVerified(t *testing.T) {
	is := is.New(t)
	issuer, err := authority.New()
	is.NoErr(err)
	otherIssuer, err := authority.New()
	is.NoErr(err)
	server := loadKeys(t, issuer, "b")
	cases := []struct {
		name   string
		client *Keys
		want   id.Host
		good   bool
	}{
		{"expected host", loadKeys(t, issuer, "a"), "b", true},
		{"any host", loadKeys(t, issuer, "a"), "", true},
		{"other host", loadKeys(t, issuer, "a"), "c", false},
		{"other authority", loadKeys(t, otherIssuer, "a"), "b", false},
	}
	for _, one := range cases {
		serverErr, clientErr := handshake(server.Server("h2"), one.client.Client(one.want, "h2"))
		if good := serverErr == nil && clientErr == nil; good != one.good {
			t.Errorf("%s: server %v, client %v", one.name, serverErr, clientErr)
		}
	}
}

// Guards against rotated keys that take effect only after a restart, and against
// invalid new files that replace the working credentials.
func TestRotationWithoutRestart(t *testing.T) {
	is := is.New(t)
	issuer, err := authority.New()
	is.NoErr(err)
	folder := t.TempDir()
	files := issue(t, issuer, folder, "a")
	keys, err := Load(files)
	is.NoErr(err)
	first := keys.credentials().certificate.Certificate[0]

	is.NoErr(os.WriteFile(files.KeyFile, []byte("broken"), 0o600))
	advanceModTime(t, keys, files)
	is.Equal(keys.credentials().certificate.Certificate[0], first)

	issue(t, issuer, folder, "a")
	advanceModTime(t, keys, files)
	second := keys.credentials().certificate.Certificate[0]
	is.True(string(second) != string(first))
}

// advanceModTime makes the next use of the keys detect changed files.
func advanceModTime(t *testing.T, keys *Keys, files settings.TLS) {
	t.Helper()
	later := keys.lastModified.Add(time.Minute)
	if err := os.Chtimes(files.KeyFile, later, later); err != nil {
		t.Fatal(err)
	}
	keys.lastCheck = time.Time{}
}
