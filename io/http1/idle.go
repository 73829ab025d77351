package http1

import (
	"time"

	"marjoramsaddle/core/holdings"
)

// popIdle removes and returns the most recently used idle connection, or returns
// nil if there is none or it has expired.
func (p *Pool) popIdle(address string) *clientConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[address]
	if len(conns) == 0 {
		return nil
	}
	conn := conns[len(conns)-1]
	p.idle[address] = conns[:len(conns)-1]
	if time.Now().After(conn.expiresAt) {
		// The other idle connections to the address were used even earlier.
		p.closeIdleLocked(address)
		_ = conn.conn.Close()
		return nil
	}
	return conn
}

func (p *Pool) pushIdle(conn *clientConn) {
	conn.conn.slot.SetState(holdings.Idle, Clock())
	latestExpiry := time.Now().Add(p.options.IdleTimeout)
	if conn.expiresAt.IsZero() || conn.expiresAt.After(latestExpiry) {
		conn.expiresAt = latestExpiry
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[conn.address] = append(p.idle[conn.address], conn)
}

// CloseExpired closes idle connections that have expired or received data. Call it
// periodically, about every second.
func (p *Pool) CloseExpired() {
	for _, address := range p.removeExpired(time.Now()) {
		p.reportLost(address)
	}
}

// removeExpired does the work of CloseExpired. It returns the addresses of the peers that
// have closed all idle connections.
func (p *Pool) removeExpired(now time.Time) (lost []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conns := range p.idle {
		remaining, closed := conns[:0], false
		for _, conn := range conns {
			expired := now.After(conn.expiresAt)
			if !expired && conn.conn.Idle() {
				// Not after each response, since the next one would need the memory again.
				conn.conn.trim()
				remaining = append(remaining, conn)
				continue
			}
			closed = closed || !expired && conn.conn.Err() != nil
			_ = conn.conn.Close()
		}
		if len(remaining) > 0 {
			p.idle[address] = remaining
			continue
		}
		delete(p.idle, address)
		if closed {
			lost = append(lost, address)
		}
	}
	return lost
}

// reportLost calls Options.OnLost if it is set.
func (p *Pool) reportLost(address string) {
	if p.options.OnLost != nil {
		p.options.OnLost(address)
	}
}

// CloseIdleTo closes the idle connections to the address.
func (p *Pool) CloseIdleTo(address string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdleLocked(address)
}

// closeIdleLocked closes the idle connections to the address. The caller holds mu.
func (p *Pool) closeIdleLocked(address string) {
	for _, conn := range p.idle[address] {
		_ = conn.conn.Close()
	}
	delete(p.idle, address)
}

// CloseIdle closes all idle connections.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address := range p.idle {
		p.closeIdleLocked(address)
	}
}
