// Package id holds the named types for the identifiers and units that the
// other packages share. It has no behaviour of its own, so any package may
// import it.
//
// Usage:
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

// Host names one machine that runs a daemon. It is also the name of the proxy
// on that machine.
type Host string

// Domain names a failure domain.
type Domain string

// Region names a region, which holds several failure domains.
type Region string

// Service names a service.
type Service string

// Version numbers a configuration. It is the platform's modify index of the
// manifest key, so it is unique and increasing. Zero means no configuration.
type Version uint64

// Incarnation tells two runs of the daemon on one host apart. It is the start
// of the process in Unix nanoseconds.
type Incarnation uint64

// Instant is a point in time in Unix nanoseconds. Deadlines are stored as
// instants.
type Instant int64

// InstantOf converts a time to an instant.
func InstantOf(t time.Time) Instant { return Instant(t.UnixNano()) }

// Time converts the instant to a time in UTC.
func (i Instant) Time() time.Time { return time.Unix(0, int64(i)).UTC() }

// Add returns the instant that lies d after i.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Sub returns the time from earlier to i.
func (i Instant) Sub(earlier Instant) time.Duration { return time.Duration(i - earlier) }

// Before reports whether i lies before other.
func (i Instant) Before(other Instant) bool { return i < other }

// Digest is a SHA-256 hash.
type Digest [sha256.Size]byte

// DigestOf hashes data.
func DigestOf(data []byte) Digest { return sha256.Sum256(data) }

// ParseDigest reads the 64 hexadecimal digits that String writes.
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

// Short returns the first eight hexadecimal digits, for logs.
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
