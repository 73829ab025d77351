// Package authority issues the certificates of a test fleet. Each certificate
// identifies its host by the URI SAN marjoramsaddle://<failure domain>/<host> and is
// valid as client and server certificate on loopback addresses.
//
// # Usage
//
//	authority, err := authority.New()
//	identity, err := authority.Issue("ebene", "counter-ebene-1")
//	err = authority.Write(dir, identity) // ca.pem, cert.pem, key.pem
package authority

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"net/url"
	"os"
	"path/filepath"
	"time"

	"marjoramsaddle/core/id"
)

const (
	// identityScheme is the scheme of the URI SAN.
	identityScheme = "marjoramsaddle"
	// validity exceeds the duration of any test run. Certificates are valid from
	// clockSkewTolerance before their creation.
	validity           = 24 * time.Hour
	clockSkewTolerance = time.Hour
	serialBits         = 120
	directoryMode      = 0o700
	fileMode           = 0o600
)

// The files that Write creates.
const (
	RootFile        = "ca.pem"
	CertificateFile = "cert.pem"
	KeyFile         = "key.pem"
)

// Authority is an in-memory certificate authority.
type Authority struct {
	key         *ecdsa.PrivateKey
	certificate *x509.Certificate
}

// Identity holds a host's certificate and private key in PEM.
type Identity struct {
	CertificatePEM []byte
	KeyPEM         []byte
}

// New creates an authority with a new key.
func New() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, fmt.Errorf("generate authority key: %w", err)
	}
	template, err := template("marjoramsaddle test authority")
	if err != nil {
		return nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	if err != nil {
		return nil, fmt.Errorf("sign authority certificate: %w", err)
	}
	certificate, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, fmt.Errorf("parse authority certificate: %w", err)
	}
	return &Authority{key: key, certificate: certificate}, nil
}

func template(name string) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, fmt.Errorf("choose serial number: %w", err)
	}
	now := time.Now()
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-clockSkewTolerance),
		NotAfter:     now.Add(validity),
	}, nil
}

// RootPEM returns the authority's certificate in PEM.
func (a *Authority) RootPEM() []byte { return certificatePEM(a.certificate.Raw) }

// Issue creates a key for a host and signs its certificate.
func (a *Authority) Issue(domain id.Domain, host id.Host) (Identity, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return Identity{}, fmt.Errorf("generate key of %s: %w", host, err)
	}
	template, err := template(string(host))
	if err != nil {
		return Identity{}, err
	}
	template.URIs = []*url.URL{{Scheme: identityScheme, Host: string(domain), Path: "/" + string(host)}}
	template.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1), net.IPv6loopback}
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, key.Public(), a.key)
	if err != nil {
		return Identity{}, fmt.Errorf("sign certificate of %s: %w", host, err)
	}
	keyDER, err := x509.MarshalPKCS8PrivateKey(key)
	if err != nil {
		return Identity{}, fmt.Errorf("encode key of %s: %w", host, err)
	}
	keyPEM := pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: keyDER})
	return Identity{CertificatePEM: certificatePEM(der), KeyPEM: keyPEM}, nil
}

func certificatePEM(der []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
}

// Write creates a folder with the root certificate and an identity.
func (a *Authority) Write(dir string, identity Identity) error {
	if err := os.MkdirAll(dir, directoryMode); err != nil {
		return err
	}
	files := []struct {
		name string
		data []byte
	}{
		{RootFile, a.RootPEM()},
		{CertificateFile, identity.CertificatePEM},
		{KeyFile, identity.KeyPEM},
	}
	for _, file := range files {
		if err := os.WriteFile(filepath.Join(dir, file.name), file.data, fileMode); err != nil {
			return err
		}
	}
	return nil
}
