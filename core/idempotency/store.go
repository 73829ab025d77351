package idempotency

import "marjoramsaddle/core/id"

// store keeps records in bounded memory. Records are dropped only after their
// time; when there is no room, new ones are refused, because dropping a record
// early would let its request run again. Recorded answers make room for newer
// ones.
type store struct {
	records  map[string]*record
	maxCount int
	maxBytes int
	bytes    int
	// expiry lists the records about in the order of their end.
	expiry []expiry
	// results lists the records with an answer, the oldest first.
	results []*record
}

type expiry struct {
	key   string
	until id.Instant
}

// get returns the record of a key that is still valid.
func (s *store) get(key string, now id.Instant) *record {
	s.expire(now)
	known := s.records[key]
	if known == nil || !now.Before(known.until) {
		return nil
	}
	return known
}

// put stores a record, in place of the known one if there is one.
func (s *store) put(key string, known *record, made record) bool {
	if known != nil {
		made.until = max(made.until, known.until)
		*known = made
		return true
	}
	if old := s.records[key]; old != nil {
		s.drop(old)
		*old = made
		return true
	}
	if len(s.records) >= s.maxCount || len(key) > MaxKeyBytes {
		return false
	}
	s.records[key] = &made
	s.expiry = append(s.expiry, expiry{key, made.until})
	return true
}

// expire drops records whose time has passed. A record that has been extended
// goes to the end of the list.
func (s *store) expire(now id.Instant) {
	for len(s.expiry) > 0 && !now.Before(s.expiry[0].until) {
		key := s.expiry[0].key
		s.expiry = s.expiry[1:]
		known := s.records[key]
		if now.Before(known.until) {
			s.expiry = append(s.expiry, expiry{key, known.until})
			continue
		}
		s.drop(known)
		delete(s.records, key)
	}
}

// keep stores an answer and drops the oldest ones that no longer fit.
func (s *store) keep(known *record, result []byte) {
	if result == nil || len(result) > s.maxBytes {
		return
	}
	known.result = result
	s.bytes += len(result)
	s.results = append(s.results, known)
	for len(s.results) > 0 && (s.bytes > s.maxBytes || s.results[0].result == nil) {
		s.drop(s.results[0])
		s.results = s.results[1:]
	}
}

func (s *store) drop(known *record) {
	s.bytes -= len(known.result)
	known.result = nil
}
