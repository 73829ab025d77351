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

// Owners returns the hosts in the order in which they own the key: by
// rendezvous hash, the highest first.
func Owners(key string, hosts []id.Host) []id.Host {
	type ranked struct {
		host id.Host
		rank uint64
	}
	all := make([]ranked, len(hosts))
	for index, host := range hosts {
		all[index] = ranked{host, xxhash.Sum64String(key + "\x00" + string(host))}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), strings.Compare(string(a.host), string(b.host)))
	})
	sorted := make([]id.Host, len(all))
	for index, entry := range all {
		sorted[index] = entry.host
	}
	return sorted
}

// Replicas returns the hosts that may record the key.
func Replicas(key string, hosts []id.Host) []id.Host {
	sorted := Owners(key, hosts)
	return sorted[:min(replicaCount, len(sorted))]
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
	m.current = next
	for host, at := range m.changed {
		if at.Before(forget) {
			delete(m.changed, host)
		}
	}
}

func (m *membership) begin(now id.Instant, hosts []id.Host) {
	m.first = now
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
	var steady, doubtful []id.Host
	for host := range m.current {
		if at, changed := m.changed[host]; !changed || at.Before(since) {
			steady = append(steady, host)
		}
	}
	for host, at := range m.changed {
		if !at.Before(since) {
			doubtful = append(doubtful, host)
		}
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
