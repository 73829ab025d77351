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

func load(t *testing.T, issuer *authority.Authority, host id.Host) *Keys {
	t.Helper()
	keys, err := Load(issue(t, issuer, t.TempDir(), host))
	if err != nil {
		t.Fatal(err)
	}
	return keys
}

// handshake returns the errors of both ends.
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
		// In TLS 1.3 the client learns of a refused certificate on its first
		// read.
		_, _ = connection.Read(make([]byte, 1))
	}
	_ = right.Close()
	return <-done, clientErr
}

// Guards against a peer that is taken for another host, or that another
// authority has certified.
func TestIdentityIsChecked(t *testing.T) {
	is := is.New(t)
	issuer, err := authority.New()
	is.NoErr(err)
	stranger, err := authority.New()
	is.NoErr(err)
	server := load(t, issuer, "b")
	cases := []struct {
		name   string
		client *Keys
		want   id.Host
		good   bool
	}{
		{"expected host", load(t, issuer, "a"), "b", true},
		{"any host", load(t, issuer, "a"), "", true},
		{"other host", load(t, issuer, "a"), "c", false},
		{"other authority", load(t, stranger, "a"), "b", false},
	}
	for _, one := range cases {
		serverErr, clientErr := handshake(server.Server("h2"), one.client.Client(one.want, "h2"))
		if good := serverErr == nil && clientErr == nil; good != one.good {
			t.Errorf("%s: server %v, client %v", one.name, serverErr, clientErr)
		}
	}
}

// Guards against a rotated key that is used only after a restart, and against
// unreadable new files that take the old key out of use.
func TestRotationWithoutRestart(t *testing.T) {
	is := is.New(t)
	issuer, err := authority.New()
	is.NoErr(err)
	folder := t.TempDir()
	files := issue(t, issuer, folder, "a")
	keys, err := Load(files)
	is.NoErr(err)
	first := keys.material().certificate.Certificate[0]

	is.NoErr(os.WriteFile(files.KeyFile, []byte("broken"), 0o600))
	touch(t, keys, files)
	is.Equal(keys.material().certificate.Certificate[0], first)

	issue(t, issuer, folder, "a")
	touch(t, keys, files)
	second := keys.material().certificate.Certificate[0]
	is.True(string(second) != string(first))
}

// touch lets the next use of the keys see the files as changed.
func touch(t *testing.T, keys *Keys, files settings.TLS) {
	t.Helper()
	later := keys.changedAt.Add(time.Minute)
	if err := os.Chtimes(files.KeyFile, later, later); err != nil {
		t.Fatal(err)
	}
	keys.checkedAt = time.Time{}
}
