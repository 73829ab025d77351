// Package certificate loads the daemon's TLS key and checks the identity of
// peers. An identity is the URI name marjoramsaddle://<failure domain>/<host>
// in a certificate that the authority has signed. The files are read again
// when they change, so keys rotate without a restart.
//
// Usage:
//
//	keys, err := certificate.Load(settings.TLS)
//	listener, err := tls.Listen("tcp", address, keys.Server("h2"))
//	config := keys.Client("h2", "counter-reduit-1")
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

// Scheme is the scheme of the URI name.
const Scheme = "marjoramsaddle"

// checkInterval is how often the files are checked for change. A rotation is
// in use after this time.
const checkInterval = 5 * time.Second

// Identity is who a peer is.
type Identity struct {
	Host   id.Host
	Domain id.Domain
}

// ErrIdentity means that a certificate does not name the expected host.
var ErrIdentity = errors.New("certificate: wrong identity: issue a certificate with the host's URI name")

// Keys holds the current key and authority.
type Keys struct {
	files settings.TLS

	mu        sync.Mutex
	current   material
	checkedAt time.Time
	changedAt time.Time
}

type material struct {
	certificate *tls.Certificate
	authority   *x509.CertPool
}

// Load reads the files.
func Load(files settings.TLS) (*Keys, error) {
	loaded, err := read(files)
	if err != nil {
		return nil, err
	}
	return &Keys{files: files, current: loaded, checkedAt: time.Now(), changedAt: newest(files)}, nil
}

func read(files settings.TLS) (material, error) {
	pair, err := tls.LoadX509KeyPair(files.CertificateFile, files.KeyFile)
	if err != nil {
		return material{}, fmt.Errorf("certificate: %w: check certificate_file and key_file", err)
	}
	pem, err := os.ReadFile(files.AuthorityFile)
	if err != nil {
		return material{}, fmt.Errorf("certificate: %w: check authority_file", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return material{}, fmt.Errorf("certificate: no certificate in %s: check authority_file", files.AuthorityFile)
	}
	return material{certificate: &pair, authority: pool}, nil
}

func newest(files settings.TLS) time.Time {
	var latest time.Time
	for _, name := range []string{files.CertificateFile, files.KeyFile, files.AuthorityFile} {
		if info, err := os.Stat(name); err == nil && info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest
}

// material returns the current keys. When new files can't be read, the former
// keys stay in use.
func (k *Keys) material() material {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	if now.Sub(k.checkedAt) < checkInterval {
		return k.current
	}
	k.checkedAt = now
	changed := newest(k.files)
	if changed.Equal(k.changedAt) {
		return k.current
	}
	if loaded, err := read(k.files); err == nil {
		k.current = loaded
		k.changedAt = changed
	}
	return k.current
}

// Server returns a configuration that asks for the peer's certificate.
func (k *Keys) Server(protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion:       tls.VersionTLS13,
		NextProtos:       protocols,
		ClientAuth:       tls.RequireAnyClientCert,
		GetCertificate:   func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return k.material().certificate, nil },
		VerifyConnection: func(state tls.ConnectionState) error { return k.verify(state, "") },
	}
}

// Operators returns a configuration for the operators' listener. Any
// certificate of the authority is accepted.
func (k *Keys) Operators() *tls.Config {
	base := &tls.Config{
		MinVersion:     tls.VersionTLS13,
		ClientAuth:     tls.RequireAndVerifyClientCert,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return k.material().certificate, nil },
	}
	base.GetConfigForClient = func(*tls.ClientHelloInfo) (*tls.Config, error) {
		current := base.Clone()
		current.GetConfigForClient = nil
		current.ClientCAs = k.material().authority
		return current, nil
	}
	return base
}

// Client returns a configuration that accepts only the given host, or any
// host of the authority when it is empty. Peers are dialled by IP number, so
// the check uses the URI name in place of a DNS name.
func (k *Keys) Client(host id.Host, protocols ...string) *tls.Config {
	return &tls.Config{
		MinVersion:           tls.VersionTLS13,
		NextProtos:           protocols,
		ServerName:           "marjoramsaddle",
		InsecureSkipVerify:   true, // VerifyConnection checks the chain and the URI name.
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return k.material().certificate, nil },
		VerifyConnection:     func(state tls.ConnectionState) error { return k.verify(state, host) },
	}
}

func (k *Keys) verify(state tls.ConnectionState, want id.Host) error {
	if len(state.PeerCertificates) == 0 {
		return ErrIdentity
	}
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots:         k.material().authority,
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
	if want != "" && identity.Host != want {
		return ErrIdentity
	}
	return nil
}

// IdentityOf returns the identity that the peer's certificate names.
func IdentityOf(state tls.ConnectionState) (Identity, error) {
	if len(state.PeerCertificates) == 0 {
		return Identity{}, ErrIdentity
	}
	for _, name := range state.PeerCertificates[0].URIs {
		if identity, ok := parse(name); ok {
			return identity, nil
		}
	}
	return Identity{}, ErrIdentity
}

func parse(name *url.URL) (Identity, bool) {
	host := strings.TrimPrefix(name.Path, "/")
	if name.Scheme != Scheme || name.Host == "" || host == "" {
		return Identity{}, false
	}
	return Identity{Host: id.Host(host), Domain: id.Domain(name.Host)}, true
}
