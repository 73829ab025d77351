// Package certificate loads the daemon's TLS certificate and key and verifies the
// identity of peers. An identity is the URI marjoramsaddle://<failure domain>/<host>
// among the subject alternative names of a certificate that the authority has
// signed. Changed files are reloaded, so keys rotate without a restart.
//
// Usage:
//
//	keys, err := certificate.Load(settings.TLS)
//	listener, err := tls.Listen("tcp", address, keys.Server("h2"))
//	config := keys.Client("counter-reduit-1", "h2")
package certificate

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net/url"
	"os"
	"strings"
	"sync"
	"time"

	"marjoramsaddle/core/id"
	"marjoramsaddle/io/settings"
)

// Scheme is the scheme of identity URIs.
const Scheme = "marjoramsaddle"

// checkInterval is the minimum time between two checks of the files for changes,
// and so the time after which rotated keys are in use.
const checkInterval = 5 * time.Second

// Identity holds the host and the failure domain that a certificate names.
type Identity struct {
	Host   id.Host
	Domain id.Domain
}

// ErrIdentity means that a peer has no certificate with an identity URI, or one of
// another host than expected.
var ErrIdentity = errors.New("certificate: wrong identity: issue a certificate with the host's URI name")

// Keys provides TLS configurations with the current certificate, key and authority.
// It is safe for concurrent use.
type Keys struct {
	files settings.TLS

	mu           sync.Mutex
	current      credentials
	lastCheck    time.Time
	lastModified time.Time
}

// credentials holds the contents of the files that a settings.TLS names.
type credentials struct {
	certificate *tls.Certificate
	authority   *x509.CertPool
}

// Load reads the certificate, the key and the authority from the files.
func Load(files settings.TLS) (*Keys, error) {
	loaded, err := readCredentials(files)
	if err != nil {
		return nil, err
	}
	return &Keys{files: files, current: loaded, lastCheck: time.Now(), lastModified: latestModTime(files)}, nil
}

func readCredentials(files settings.TLS) (credentials, error) {
	pair, err := tls.LoadX509KeyPair(files.CertificateFile, files.KeyFile)
	if err != nil {
		return credentials{}, fmt.Errorf("certificate: %w: check certificate_file and key_file", err)
	}
	pem, err := os.ReadFile(files.AuthorityFile)
	if err != nil {
		return credentials{}, fmt.Errorf("certificate: %w: check authority_file", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return credentials{}, fmt.Errorf("certificate: no certificate in %s: check authority_file", files.AuthorityFile)
	}
	return credentials{certificate: &pair, authority: pool}, nil
}

func latestModTime(files settings.TLS) time.Time {
	var latest time.Time
	for _, name := range []string{files.CertificateFile, files.KeyFile, files.AuthorityFile} {
		if info, err := os.Stat(name); err == nil && info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest
}

// credentials returns the current credentials, and reloads them if the files have
// changed. If the changed files can't be read, the previous credentials stay in use.
func (k *Keys) credentials() credentials {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	if now.Sub(k.lastCheck) < checkInterval {
		return k.current
	}
	k.lastCheck = now
	changed := latestModTime(k.files)
	if changed.Equal(k.lastModified) {
		return k.current
	}
	if loaded, err := readCredentials(k.files); err == nil {
		k.current = loaded
		k.lastModified = changed
	}
	return k.current
}

// Server returns a server configuration that requires a certificate of any host,
// signed by the authority.
func (k *Keys) Server(protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion:       tls.VersionTLS13,
		NextProtos:       protocols,
		ClientAuth:       tls.RequireAnyClientCert,
		GetCertificate:   func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return k.credentials().certificate, nil },
		VerifyConnection: func(state tls.ConnectionState) error { return k.verify(state, "") },
	}
}

// Operators returns a configuration for the operators' listener. It accepts any
// certificate that the authority has signed, also one without an identity URI.
func (k *Keys) Operators() *tls.Config {
	base := &tls.Config{
		MinVersion:     tls.VersionTLS13,
		ClientAuth:     tls.RequireAndVerifyClientCert,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return k.credentials().certificate, nil },
	}
	base.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		current := base.Clone()
		current.GetConfigForClient = nil
		current.ClientCAs = k.credentials().authority
		return current, nil
	}
	return base
}

// Client returns a client configuration that accepts only the given host or, if it
// is empty, any host with a certificate that the authority has signed. Peers are
// dialed by IP address, so the identity URI is verified instead of a DNS name.
func (k *Keys) Client(host id.Host, protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion:           tls.VersionTLS13,
		NextProtos:           protocols,
		ServerName:           "marjoramsaddle",
		InsecureSkipVerify:   true, // VerifyConnection verifies the chain and the identity URI.
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return k.credentials().certificate, nil },
		VerifyConnection:     func(state tls.ConnectionState) error { return k.verify(state, host) },
	}
}

func (k *Keys) verify(state tls.ConnectionState, expectedHost id.Host) error {
	if len(state.PeerCertificates) == 0 {
		return ErrIdentity
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         k.credentials().authority,
		Intermediates: intermediates,
		KeyUsages:     []x509.ExtKeyUsage{x509.ExtKeyUsageAny},
	})
	if err != nil {
		return fmt.Errorf("certificate: %w", err)
	}
	identity, err := IdentityOf(state)
	if err != nil {
		return err
	}
	if expectedHost != "" && identity.Host != expectedHost {
		return ErrIdentity
	}
	return nil
}

// IdentityOf returns the identity in the peer's certificate. It does not verify the
// certificate.
func IdentityOf(state tls.ConnectionState) (Identity, error) {
	if len(state.PeerCertificates) == 0 {
		return Identity{}, ErrIdentity
	}
	for _, uri := range state.PeerCertificates[0].URIs {
		if identity, ok := parseURI(uri); ok {
			return identity, nil
		}
	}
	return Identity{}, ErrIdentity
}

func parseURI(uri *url.URL) (Identity, bool) {
	host := strings.TrimPrefix(uri.Path, "/")
	if uri.Scheme != Scheme || uri.Host == "" || host == "" {
		return Identity{}, false
	}
	return Identity{Host: id.Host(host), Domain: id.Domain(uri.Host)}, true
}
