package ingress

import (
	"sync"
	"time"
)

// returnedShare is the part of the usual patience below which a client has
// spent time on an attempt before. Clients wait at least a tenth of a second
// after a refusal, which is more than the spread of their patience.
const returnedShare = 0.97

// patienceTable knows how long the clients of each route wait at most. A client
// that comes back after a refusal states what is left of that.
type patienceTable struct {
	mu    sync.Mutex
	usual map[string]time.Duration
}

// returned reports whether a client with this patience has come back.
func (p *patienceTable) returned(route string, patience time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	usual := p.usual[route]
	if patience >= usual {
		if p.usual == nil {
			p.usual = map[string]time.Duration{}
		}
		p.usual[route] = patience
		return false
	}
	return float64(patience) < returnedShare*float64(usual)
}
