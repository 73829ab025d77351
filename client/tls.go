package client

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"os"
)

// identityScheme is the scheme of the URI SAN in a daemon's certificate.
const identityScheme = "marjoramsaddle"

var errUnknownIdentity = errors.New("the certificate names neither the address nor a daemon: issue it with the daemon's URI name")

// tlsConfig loads the certificate files and returns the configuration for
// mutual TLS with a daemon.
func (f *daemonFlags) tlsConfig() (*tls.Config, error) {
	keyPair, err := tls.LoadX509KeyPair(f.certificate, f.key)
	if err != nil {
		return nil, readError(err)
	}
	authority, err := os.ReadFile(f.authority)
	if err != nil {
		return nil, readError(err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(authority) {
		return nil, &Error{ExitCode: Usage, Problem: f.authority + " holds no certificate", Remedy: "name a PEM file"}
	}
	return &tls.Config{
		Certificates: []tls.Certificate{keyPair},
		MinVersion:   tls.VersionTLS13,
		// A daemon's certificate identifies it by a URI SAN and may lack the IP
		// address, so verifyDaemonCertificate replaces the standard verification.
		InsecureSkipVerify: true,
		VerifyConnection: func(state tls.ConnectionState) error {
			return verifyDaemonCertificate(state, roots)
		},
	}, nil
}

// verifyDaemonCertificate checks that the certificate chains to one of the roots,
// is valid for server authentication and names the address or a daemon.
func verifyDaemonCertificate(state tls.ConnectionState, roots *x509.CertPool) error {
	leaf := state.PeerCertificates[0]
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	options := x509.VerifyOptions{
		Roots: roots, Intermediates: intermediates,
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
	return errUnknownIdentity
}
