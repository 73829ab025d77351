package idempotency

import (
	"cmp"
	"encoding/hex"
	"slices"
	"strings"
	"time"

	"marjoramsaddle/core/id"

	"github.com/cespare/xxhash/v2"
)

const (
	// replicaCount is the number of hosts that may record a key. With three, a request
	// can run with one partner while any one of them is unavailable.
	replicaCount = 3
	// maxUncertainHosts bounds the hosts whose membership is uncertain for one key, and
	// thereby the sets of replicas to check, at most 16.
	maxUncertainHosts = 4
	uuidLength        = 36
	// uuidVersionIndex is the position of the version digit, and uuidTimestampLength the
	// length of the timestamp in hexadecimal digits, including its hyphen.
	uuidVersionIndex    = 14
	uuidTimestampLength = 13
)

// RankOwners returns the hosts in the order in which they own the key: by rendezvous
// hash, highest first.
func RankOwners(key string, hosts []id.Host) []id.Host {
	sorted, keyHash := slices.Clone(hosts), xxhash.Sum64String(key)
	slices.SortFunc(sorted, func(a, b id.Host) int { return compareOwners(keyHash, a, b) })
	return sorted
}

// Replicas returns the hosts that may record the key. It avoids sorting all hosts,
// because a service may have thousands.
func Replicas(key string, hosts []id.Host) []id.Host {
	best, keyHash := make([]id.Host, 0, replicaCount+1), xxhash.Sum64String(key)
	for _, host := range hosts {
		if len(best) == replicaCount && compareOwners(keyHash, best[replicaCount-1], host) < 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, host, func(a, b id.Host) int { return compareOwners(keyHash, a, b) })
		best = slices.Insert(best, at, host)
		best = best[:min(replicaCount, len(best))]
	}
	return best
}

// compareOwners orders two hosts by their rank for a key, highest first.
func compareOwners(keyHash uint64, a, b id.Host) int {
	return cmp.Or(cmp.Compare(rank(keyHash, b), rank(keyHash, a)), strings.Compare(string(a), string(b)))
}

// rank is the finalizer of SplitMix64 over the hashes of key and host.
func rank(keyHash uint64, host id.Host) uint64 {
	value := keyHash ^ xxhash.Sum64String(string(host))
	value ^= value >> 30
	value *= 0xbf58476d1ce4e5b9
	value ^= value >> 27
	value *= 0x94d049bb133111eb
	return value ^ value>>31
}

// CreatedAt returns the creation time of a key that is a UUID of version 7.
func CreatedAt(key string) (id.Instant, bool) {
	if len(key) != uuidLength || key[uuidVersionIndex] != '7' {
		return 0, false
	}
	raw, err := hex.DecodeString(strings.ReplaceAll(key[:uuidTimestampLength], "-", ""))
	if err != nil {
		return 0, false
	}
	var millis int64
	for _, part := range raw {
		millis = millis<<8 | int64(part)
	}
	return id.Instant(millis * int64(time.Millisecond)), true
}

// membership tracks which hosts were known at which time.
type membership struct {
	// firstSetAt is when the first set became known.
	firstSetAt id.Instant
	current    map[id.Host]bool
	list       []id.Host
	// changedAt holds when a host was last added or removed. The hosts of the
	// first set are not in it.
	changedAt map[id.Host]id.Instant
}

// set replaces the known hosts and drops changes before the given instant.
func (m *membership) set(now, before id.Instant, hosts []id.Host) {
	if m.current == nil {
		m.begin(now, hosts)
		return
	}
	next := make(map[id.Host]bool, len(hosts))
	for _, host := range hosts {
		next[host] = true
		if !m.current[host] {
			m.changedAt[host] = now
		}
	}
	for host := range m.current {
		if !next[host] {
			m.changedAt[host] = now
		}
	}
	m.current, m.list = next, slices.Clone(hosts)
	for host, at := range m.changedAt {
		if at.Before(before) {
			delete(m.changedAt, host)
		}
	}
}

func (m *membership) begin(now id.Instant, hosts []id.Host) {
	m.firstSetAt, m.list = now, slices.Clone(hosts)
	m.changedAt = map[id.Host]id.Instant{}
	m.current = make(map[id.Host]bool, len(hosts))
	for _, host := range hosts {
		m.current[host] = true
	}
}

// replicas returns the replicas of the key for each set of hosts that may have been
// valid since the given instant. It returns nil if too many hosts are uncertain, or if
// no set was known at that instant.
func (m *membership) replicas(key string, since id.Instant) [][]id.Host {
	if m.current == nil || since < m.firstSetAt {
		return nil
	}
	var uncertain []id.Host
	for host, at := range m.changedAt {
		if !at.Before(since) {
			uncertain = append(uncertain, host)
		}
	}
	stable := m.list
	if len(uncertain) > 0 {
		stable = slices.DeleteFunc(slices.Clone(m.list), func(host id.Host) bool { return slices.Contains(uncertain, host) })
	}
	stable = Replicas(key, stable)
	uncertain = possibleReplicas(key, stable, uncertain)
	if len(uncertain) > maxUncertainHosts {
		return nil
	}
	return replicaSets(key, stable, uncertain)
}

// possibleReplicas returns the uncertain hosts that can be replicas beside the stable
// ones.
func possibleReplicas(key string, stable, uncertain []id.Host) []id.Host {
	return slices.DeleteFunc(uncertain, func(host id.Host) bool {
		return !slices.Contains(Replicas(key, append([]id.Host{host}, stable...)), host)
	})
}

// replicaSets returns the replicas for each subset of the uncertain hosts.
func replicaSets(key string, stable, uncertain []id.Host) [][]id.Host {
	sets := make([][]id.Host, 0, 1<<len(uncertain))
	for subset := range 1 << len(uncertain) {
		hosts := slices.Clone(stable)
		for index, host := range uncertain {
			if subset>>index&1 == 1 {
				hosts = append(hosts, host)
			}
		}
		if len(hosts) > 0 {
			sets = append(sets, Replicas(key, hosts))
		}
	}
	return sets
}

// isMajorityOfEach reports whether the voters form a majority of every set. It is false
// if there is no set.
func isMajorityOfEach(sets [][]id.Host, voters []id.Host) bool {
	for _, set := range sets {
		votes := 0
		for _, host := range set {
			if slices.Contains(voters, host) {
				votes++
			}
		}
		if 2*votes <= len(set) {
			return false
		}
	}
	return len(sets) > 0
}
