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
	// replicaCount is the number of hosts that may record a key. Three let a
	// request run with one partner while any one of them is away.
	replicaCount = 3
	// maxUncertain bounds the hosts whose membership is in doubt for one key,
	// and with it the 16 sets of replicas that are checked.
	maxUncertain = 4
	uuidLength   = 36
	// uuidVersion is the place of the version digit, and uuidMillis the length
	// of the timestamp in hexadecimal digits with its hyphen.
	uuidVersion = 14
	uuidMillis  = 13
)

// RankOwners returns the hosts in the order in which they own the key: by
// rendezvous hash, the highest first.
func RankOwners(key string, hosts []id.Host) []id.Host {
	sorted, keyHash := slices.Clone(hosts), xxhash.Sum64String(key)
	slices.SortFunc(sorted, func(a, b id.Host) int { return compareOwners(keyHash, a, b) })
	return sorted
}

// Replicas returns the hosts that may record the key. It does not sort all
// hosts, because a service may have thousands.
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

// compareOwners orders two hosts by their rank for a key.
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

// CreatedAt returns when a key was made, if it is a UUID of version 7.
func CreatedAt(key string) (id.Instant, bool) {
	if len(key) != uuidLength || key[uuidVersion] != '7' {
		return 0, false
	}
	raw, err := hex.DecodeString(strings.ReplaceAll(key[:uuidMillis], "-", ""))
	if err != nil {
		return 0, false
	}
	var millis int64
	for _, part := range raw {
		millis = millis<<8 | int64(part)
	}
	return id.Instant(millis * int64(time.Millisecond)), true
}

// membership remembers which hosts were known when.
type membership struct {
	// first is when the first set became known.
	first   id.Instant
	current map[id.Host]bool
	list    []id.Host
	// changed holds when a host was last added or removed. The hosts of the
	// first set are not in it.
	changed map[id.Host]id.Instant
}

// set replaces the known hosts and forgets changes before the given instant.
func (m *membership) set(now, forget id.Instant, hosts []id.Host) {
	if m.current == nil {
		m.begin(now, hosts)
		return
	}
	next := make(map[id.Host]bool, len(hosts))
	for _, host := range hosts {
		next[host] = true
		if !m.current[host] {
			m.changed[host] = now
		}
	}
	for host := range m.current {
		if !next[host] {
			m.changed[host] = now
		}
	}
	m.current, m.list = next, slices.Clone(hosts)
	for host, at := range m.changed {
		if at.Before(forget) {
			delete(m.changed, host)
		}
	}
}

func (m *membership) begin(now id.Instant, hosts []id.Host) {
	m.first, m.list = now, slices.Clone(hosts)
	m.changed = map[id.Host]id.Instant{}
	m.current = make(map[id.Host]bool, len(hosts))
	for _, host := range hosts {
		m.current[host] = true
	}
}

// replicas returns the replicas of the key for each set of hosts that may have
// been valid since the given instant. It returns nil when too many hosts are in
// doubt, or when no set was known at that instant.
func (m *membership) replicas(key string, since id.Instant) [][]id.Host {
	if m.current == nil || since < m.first {
		return nil
	}
	var doubtful []id.Host
	for host, at := range m.changed {
		if !at.Before(since) {
			doubtful = append(doubtful, host)
		}
	}
	steady := m.list
	if len(doubtful) > 0 {
		steady = slices.DeleteFunc(slices.Clone(m.list), func(host id.Host) bool { return slices.Contains(doubtful, host) })
	}
	steady = Replicas(key, steady)
	doubtful = relevant(key, steady, doubtful)
	if len(doubtful) > maxUncertain {
		return nil
	}
	return combine(key, steady, doubtful)
}

// relevant returns the doubtful hosts that can be replicas beside the steady
// ones.
func relevant(key string, steady, doubtful []id.Host) []id.Host {
	return slices.DeleteFunc(doubtful, func(host id.Host) bool {
		return !slices.Contains(Replicas(key, append([]id.Host{host}, steady...)), host)
	})
}

// combine returns the replicas with each subset of the doubtful hosts.
func combine(key string, steady, doubtful []id.Host) [][]id.Host {
	sets := make([][]id.Host, 0, 1<<len(doubtful))
	for subset := range 1 << len(doubtful) {
		hosts := slices.Clone(steady)
		for index, host := range doubtful {
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

// majority reports whether the voters are a majority of each set.
func majority(sets [][]id.Host, voters []id.Host) bool {
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
