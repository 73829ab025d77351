package authority_test

import (
	"crypto/tls"
	"crypto/x509"
	"net"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"marjoramsaddle/standin/authority"
)

// Guards against identities that a peer does not accept in mutual TLS 1.3, and
// against identities that a peer of another authority accepts.
func TestIdentitiesForMutualTLS(t *testing.T) {
	is := is.New(t)
	first, second := config(t, newAuthority(t)), config(t, newAuthority(t))
	server, client := handshake(t, first, first)
	is.NoErr(server)
	is.NoErr(client)
	server, client = handshake(t, first, second)
	is.True(server != nil)
	is.True(client != nil)
}

func newAuthority(t *testing.T) *authority.Authority {
	a, err := authority.New()
	is.New(t).NoErr(err)
	return a
}

func config(t *testing.T, a *authority.Authority) *tls.Config {
	is := is.New(t)
	identity, err := a.Issue("ebene", "a-1")
	is.NoErr(err)
	dir := filepath.Join(t.TempDir(), "a-1")
	is.NoErr(a.Write(dir, identity))
	pair, err := tls.LoadX509KeyPair(filepath.Join(dir, authority.CertificateFile), filepath.Join(dir, authority.KeyFile))
	is.NoErr(err)
	is.Equal(pair.Leaf.URIs[0].String(), "marjoramsaddle://ebene/a-1")
	roots := x509.NewCertPool()
	is.True(roots.AppendCertsFromPEM(a.RootPEM()))
	return &tls.Config{
		Certificates: []tls.Certificate{pair},
		RootCAs:      roots,
		ClientCAs:    roots,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ServerName:   "127.0.0.1",
		MinVersion:   tls.VersionTLS13,
	}
}

// handshake returns the results of both sides of a handshake.
func handshake(t *testing.T, server, client *tls.Config) (serverErr, clientErr error) {
	is := is.New(t)
	listener, err := tls.Listen("tcp", "127.0.0.1:0", server)
	is.NoErr(err)
	defer func() { _ = listener.Close() }()
	seen := make(chan error, 1)
	go func() { seen <- answer(listener) }()
	conn, clientErr := tls.Dial("tcp", listener.Addr().String(), client)
	if clientErr == nil {
		// In TLS 1.3 the client sees a rejection only at its first read.
		_, clientErr = conn.Read(make([]byte, 1))
		_ = conn.Close()
	}
	return <-seen, clientErr
}

func answer(listener net.Listener) error {
	conn, err := listener.Accept()
	if err != nil {
		return err
	}
	_, err = conn.Write([]byte("x"))
	_ = conn.Close()
	return err
}
