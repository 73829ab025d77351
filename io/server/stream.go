package server

// maxStreamShare bounds the requests whose body is sent while it arrives, as a divisor of
// the slots. Their slots are taken for as long as their senders need.
const maxStreamShare = 2

// beginStream reports whether another request may send its body while it arrives.
func (s *Server) beginStream() bool {
	slots := 0
	if current := s.current.Load(); current != nil {
		slots = current.Slots
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.streams >= max(1, slots/maxStreamShare) {
		return false
	}
	s.streams++
	return true
}

// endStream ends what beginStream has begun.
func (s *Server) endStream() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.streams--
}
