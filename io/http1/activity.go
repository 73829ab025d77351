package http1

import (
	"bytes"
	"sync"

	"marjoramsaddle/core/holdings"
)

// activity tells the account of connections what a connection is doing.
type activity struct {
	slot *holdings.Reservation

	mu sync.Mutex
	// unsent counts the responses that are neither sent nor dropped.
	unsent             int
	receiving, sending bool
}

// add changes the number of unsent responses.
func (a *activity) add(responses int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.unsent += responses
	a.update()
}

func (a *activity) setReceiving(receiving bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.receiving = receiving
	a.update()
}

func (a *activity) setSending(sending bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sending = sending
	a.update()
}

// update sets the state of the connection's place. While a request runs, the next one may
// be incomplete, and the connection does not yield. The caller holds mu.
func (a *activity) update() {
	state := holdings.Idle
	switch {
	case a.sending:
		state = holdings.Streaming
	case a.unsent > 0:
		state = holdings.Running
	case a.receiving:
		state = holdings.Receiving
	}
	a.slot.SetState(state, Clock())
}

// headerReader reads from a connection on behalf of its readLoop. It reserves memory for
// the header that is being read.
type headerReader serverConn

// Read reads from the connection. Once it has failed for memory it fails for the rest of
// the header, because a buffering reader may drop the first error.
func (r *headerReader) Read(p []byte) (int, error) {
	if r.readingHeader && r.headerErr != nil {
		return 0, r.headerErr
	}
	n, err := r.conn.Read(p)
	if n == 0 {
		return n, err
	}
	if r.sinceMoved += n; r.sinceMoved >= progressStep {
		r.sinceMoved = 0
		r.slot.Moved(Clock())
	}
	if !r.readingHeader {
		return n, err
	}
	r.holding.moved(n)
	r.headerBytes += n
	if expansion := r.expansion(p[:n]); expansion > 0 && !r.holding.Grow(expansion) {
		r.headerErr = ErrMemoryFull
		return 0, r.headerErr
	}
	return n, err
}

// expansion returns the memory that the next part of a header takes beyond what is reserved
// for every request. Short fields take many times their length when they are parsed.
func (r *headerReader) expansion(part []byte) int64 {
	var bytesNeeded int64
	if r.headerBytes > bufferSize {
		bytesNeeded = headerExpansion * int64(len(part))
	}
	lines := bytes.Count(part, []byte{'\n'})
	r.headerLines += lines
	if beyond := min(lines, r.headerLines-ordinaryHeaderLines); beyond > 0 {
		bytesNeeded += headerLineBytes * int64(beyond)
	}
	return bytesNeeded
}
