package idempotency

import "marjoramsaddle/core/id"

// store keeps records in bounded memory. Records are dropped only when they expire. New
// ones are refused while the store is full, because dropping a record early would let
// its request run again. Recorded responses are evicted in favor of newer ones.
type store struct {
	records  map[string]*record
	maxCount int
	maxBytes int
	bytes    int
	// expiry lists the records roughly in order of expiry.
	expiry []expiry
	// results lists the records with a response, oldest first.
	results []*record
}

type expiry struct {
	key       string
	expiresAt id.Instant
}

// get returns the unexpired record of a key, or nil.
func (s *store) get(key string, now id.Instant) *record {
	s.expire(now)
	known := s.records[key]
	if known == nil || !now.Before(known.expiresAt) {
		return nil
	}
	return known
}

// put stores a record, replacing the known one if any. It returns false if the store is
// full or the key too long.
func (s *store) put(key string, known *record, fresh record) bool {
	if known != nil {
		fresh.expiresAt = max(fresh.expiresAt, known.expiresAt)
		*known = fresh
		return true
	}
	if old := s.records[key]; old != nil {
		s.dropResult(old)
		*old = fresh
		return true
	}
	if len(s.records) >= s.maxCount || len(key) > MaxKeyBytes {
		return false
	}
	s.records[key] = &fresh
	s.expiry = append(s.expiry, expiry{key, fresh.expiresAt})
	return true
}

// expire drops expired records. A record that has been extended moves to the end of the
// list.
func (s *store) expire(now id.Instant) {
	for len(s.expiry) > 0 && !now.Before(s.expiry[0].expiresAt) {
		key := s.expiry[0].key
		s.expiry = s.expiry[1:]
		known := s.records[key]
		if now.Before(known.expiresAt) {
			s.expiry = append(s.expiry, expiry{key, known.expiresAt})
			continue
		}
		s.dropResult(known)
		delete(s.records, key)
	}
}

// keepResult stores a response and drops the oldest ones that exceed the bound.
func (s *store) keepResult(known *record, result []byte) {
	if result == nil || len(result) > s.maxBytes {
		return
	}
	known.result = result
	s.bytes += len(result)
	s.results = append(s.results, known)
	for len(s.results) > 0 && (s.bytes > s.maxBytes || s.results[0].result == nil) {
		s.dropResult(s.results[0])
		s.results = s.results[1:]
	}
}

func (s *store) dropResult(known *record) {
	s.bytes -= len(known.result)
	known.result = nil
}
