package client

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"
)

// identityScheme is the scheme of the URI name in a daemon's certificate.
const identityScheme = "marjoramsaddle"

var errIdentity = errors.New("the certificate names neither the address nor a daemon: issue it with the daemon's URI name")

// tlsConfig returns the settings of mutual TLS with a daemon.
func (f *daemonFlags) tlsConfig() (*tls.Config, error) {
	pair, err := tls.LoadX509KeyPair(f.certificate, f.key)
	if err != nil {
		return nil, unreadable(err)
	}
	authority, err := os.ReadFile(f.authority)
	if err != nil {
		return nil, unreadable(err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(authority) {
		return nil, &Error{ExitCode: Usage, Problem: f.authority + " holds no certificate", Remedy: "name a PEM file"}
	}
	return &tls.Config{
		Certificates: []tls.Certificate{pair},
		MinVersion:   tls.VersionTLS13,
		// A daemon's certificate holds a URI name and need not hold the IP
		// address, so the standard check is replaced by verifyDaemon.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyDaemon(state, roots)
		},
	}, nil
}

// verifyDaemon checks that the authority issued the certificate for a server
// and that it names the address or a daemon.
func verifyDaemon(state tls.ConnectionState, roots *x509.CertPool) error {
	leaf := state.PeerCertificates[0]
	between := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		between.AddCert(certificate)
	}
	options := x509.VerifyOptions{
		Roots: roots, Intermediates: between,
		KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	}
	if _, err := leaf.Verify(options); err != nil {
		return err
	}
	if leaf.VerifyHostname(state.ServerName) == nil {
		return nil
	}
	for _, name := range leaf.URIs {
		if name.Scheme == identityScheme {
			return nil
		}
	}
	return errIdentity
}
