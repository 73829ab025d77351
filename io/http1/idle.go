package http1

import "time"

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
	for _, conn := range p.removeExpired(time.Now()) {
		p.reportLost(conn)
		_ = conn.conn.Close()
	}
}

// removeExpired removes the connections that CloseExpired closes. It closes those that
// have expired and returns the others.
func (p *Pool) removeExpired(now time.Time) (broken []*clientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conns := range p.idle {
		remaining := conns[:0]
		for _, conn := range conns {
			switch {
			case now.After(conn.expiresAt):
				_ = conn.conn.Close()
			case conn.conn.Idle():
				remaining = append(remaining, conn)
			default:
				broken = append(broken, conn)
			}
		}
		if len(remaining) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = remaining
	}
	return broken
}

// reportLost calls Options.OnLost if the peer has closed the idle connection.
func (p *Pool) reportLost(conn *clientConn) {
	if p.options.OnLost != nil && conn.conn.Err() != nil {
		p.options.OnLost(conn.address)
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
