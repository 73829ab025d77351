package client_test

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"io"
	"log"
	"math/big"
	"net"
	"net/url"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramsaddle/client"
	"marjoramsaddle/core/kernel"
	"marjoramsaddle/io/operator"
)

// testCA is a certificate authority for tests.
type testCA struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
}

func newTestCA(t *testing.T) *testCA {
	t.Helper()
	a := &testCA{}
	a.certificate, a.key = a.issue(t, "")
	return a
}

// issue returns a certificate with the URI SAN and its key, or a self-signed CA
// certificate if uri is empty.
func (a *testCA) issue(t *testing.T, uri string) (*x509.Certificate, *ecdsa.PrivateKey) {
	t.Helper()
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(time.Now().UnixNano()), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	parent, signer := a.certificate, a.key
	if uri == "" {
		template.IsCA, template.BasicConstraintsValid = true, true
		parent, signer = template, key
	} else {
		name, err := url.Parse(uri)
		is.NoErr(err)
		template.URIs = []*url.URL{name}
	}
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, signer)
	is.NoErr(err)
	certificate, err := x509.ParseCertificate(der)
	is.NoErr(err)
	return certificate, key
}

// writeCredentials writes a new certificate, its key and the trusted authority's
// certificate as PEM files and returns the flags that name them.
func (a *testCA) writeCredentials(t *testing.T, uri string, trusted *testCA) []string {
	t.Helper()
	is := is.New(t)
	certificate, key := a.issue(t, uri)
	encoded, err := x509.MarshalPKCS8PrivateKey(key)
	is.NoErr(err)
	folder := t.TempDir()
	flags := make([]string, 0, 6)
	for name, block := range map[string]*pem.Block{
		"certificate": {Type: "CERTIFICATE", Bytes: certificate.Raw},
		"key":         {Type: "PRIVATE KEY", Bytes: encoded},
		"authority":   {Type: "CERTIFICATE", Bytes: trusted.certificate.Raw},
	} {
		path := filepath.Join(folder, name+".pem")
		is.NoErr(os.WriteFile(path, pem.EncodeToMemory(block), 0o600))
		flags = append(flags, "--"+name, path)
	}
	return flags
}

// Guards against an operators' listener that serves clients without a
// certificate of its authority, and against a client that trusts a server
// without a daemon's certificate of the client's authority.
func TestMutualTLS(t *testing.T) {
	trustedCA, otherCA := newTestCA(t), newTestCA(t)
	const daemonName, operatorName = "marjoramsaddle://reduit/counter-reduit-1", "operator://ada"
	cases := []struct {
		name   string
		server string
		flags  []string
		code   client.ExitCode
	}{
		{"daemon and operator of one authority", daemonName, trustedCA.writeCredentials(t, operatorName, trustedCA), client.Success},
		{"no certificate", daemonName, nil, client.Unreachable},
		{"operator of another authority", daemonName, otherCA.writeCredentials(t, operatorName, trustedCA), client.Unreachable},
		{"daemon of another authority", daemonName, trustedCA.writeCredentials(t, operatorName, otherCA), client.Unreachable},
		{"server that is no daemon", "operator://eve", trustedCA.writeCredentials(t, operatorName, trustedCA), client.Unreachable},
	}
	roots := x509.NewCertPool()
	roots.AddCert(trustedCA.certificate)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			certificate, key := trustedCA.issue(t, c.server)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			daemon := &scriptedDaemon{ready: kernel.Serving}
			server, err := operator.New(listener, operator.Options{LocalDaemon: daemon, ErrorLog: log.New(io.Discard, "", 0), TLS: &tls.Config{
				Certificates: []tls.Certificate{{Certificate: [][]byte{certificate.Raw}, PrivateKey: key}},
				ClientAuth:   tls.RequireAndVerifyClientCert, ClientCAs: roots,
			}})
			is.NoErr(err)
			done := make(chan error, 1)
			go func() { done <- server.Serve() }()
			var out, errOut bytes.Buffer
			args := append([]string{"drain", "--address", listener.Addr().String()}, c.flags...)
			code := client.Run(t.Context(), args, &out, &errOut)
			is.NoErr(server.Close())
			is.NoErr(<-done)
			is.Equal(code, c.code)
			is.Equal(daemon.Readiness() == kernel.Draining, c.code == client.Success) // only an accepted operator drains it
		})
	}
}
