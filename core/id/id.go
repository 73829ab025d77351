// Package id defines named types for the identifiers and units that other packages
// share. It imports no other package of the module, so any package may import it.
//
// # Usage
//
//	host := id.Host("counter-reduit-1")
//	deadline := now.Add(250 * time.Millisecond)
//	if deadline.Before(later) {
//		// The deadline has passed.
//	}
package id

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"
)

// Host is the name of a machine that runs a daemon. The proxy on that machine has the
// same name.
type Host string

// Domain is the name of a failure domain.
type Domain string

// Region is the name of a region, which contains several failure domains.
type Region string

// Service is the name of a service.
type Service string

// Version identifies a configuration. It is the platform's modify index of the
// manifest key, so it is unique and increasing. Zero means no configuration.
type Version uint64

// Incarnation distinguishes two runs of the daemon on one host. It is the start time
// of the process in Unix nanoseconds.
type Incarnation uint64

// RequestRate is a number of requests per second.
type RequestRate float64

// Instant is a point in time in Unix nanoseconds. Deadlines are instants, too.
type Instant int64

// InstantOf converts a time to an instant.
func InstantOf(t time.Time) Instant { return Instant(t.UnixNano()) }

// Time converts the instant to a time in UTC.
func (i Instant) Time() time.Time { return time.Unix(0, int64(i)).UTC() }

// Add returns the instant d after i.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the duration from earlier to i.
func (i Instant) Sub(earlier Instant) time.Duration { return time.Duration(i - earlier) }

// Before reports whether i is before other.
func (i Instant) Before(other Instant) bool { return i < other }

// Digest is a SHA-256 hash.
type Digest [sha256.Size]byte

// DigestOf returns the SHA-256 hash of data.
func DigestOf(data []byte) Digest { return sha256.Sum256(data) }

// ParseDigest parses the 64 hexadecimal digits that String returns.
func ParseDigest(text string) (Digest, error) {
	var digest Digest
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != len(digest) {
		return digest, fmt.Errorf("digest %q is not 64 hexadecimal digits", text)
	}
	copy(digest[:], raw)
	return digest, nil
}

// String returns the digest as 64 lower-case hexadecimal digits.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// Short returns the first eight hexadecimal digits, for logs and error messages.
func (d Digest) Short() string { return d.String()[:8] }

// MarshalText writes the digest in hexadecimal.
func (d Digest) MarshalText() ([]byte, error) { return []byte(d.String()), nil }

// UnmarshalText reads the digest from hexadecimal.
func (d *Digest) UnmarshalText(text []byte) error {
	parsed, err := ParseDigest(string(text))
	if err != nil {
		return err
	}
	*d = parsed
	return nil
}
