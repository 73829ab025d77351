package record

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"time"

	"marjoramsaddle/core/id"
	"marjoramsaddle/core/idempotency"
	"marjoramsaddle/io/certificate"
	"marjoramsaddle/io/hop"
)

// Path is where daemons ask each other about keys. It exists on the hop
// listener only.
const Path = "/marjoramsaddle/v1/record"

const (
	// askTime bounds the exchange with the partners of one call.
	askTime = 250 * time.Millisecond
	// nextPartner is the time after which the next partner is asked as well. It
	// is long against a round trip between failure domains of 2 ms, and lets
	// four partners be asked within askTime.
	nextPartner = 50 * time.Millisecond
	// maxMessage holds the largest recorded answer in base64.
	maxMessage = 2 * idempotency.MaxResultBytes
)

// message asks a host to record a key, or what it knows of the key.
type message struct {
	Lookup  bool                `json:"lookup,omitempty"`
	Request idempotency.Request `json:"request"`
}

// isExchange tells messages from calls with the same path: daemons always set
// the deadline header of a call, and callers can't remove it.
func isExchange(r *http.Request) bool {
	return r.URL.Path == Path && r.Method == http.MethodPost && r.Header.Get(hop.HeaderDeadline) == ""
}

// answer handles a message of another daemon.
func (s *Server) answer(w http.ResponseWriter, r *http.Request) {
	var asked message
	if err := json.NewDecoder(io.LimitReader(r.Body, maxMessage)).Decode(&asked); err != nil {
		http.Error(w, "the message is not valid JSON; run the same version on both hosts", http.StatusBadRequest)
		return
	}
	if r.TLS == nil || !asked.from(r) {
		http.Error(w, "the certificate names another host; issue one with the owner's URI name", http.StatusForbidden)
		return
	}
	data, err := json.Marshal(s.decide(asked))
	if err != nil {
		// Strings, numbers and bytes always encode.
		panic(err)
	}
	_, _ = w.Write(data)
}

// from reports whether the message comes from the host that it names. Any
// daemon may look a key up.
func (m message) from(r *http.Request) bool {
	identity, err := certificate.IdentityOf(*r.TLS)
	return err == nil && (m.Lookup || identity.Host == m.Request.Owner)
}

func (s *Server) decide(asked message) idempotency.Answer {
	if asked.Lookup {
		return s.options.Records.Lookup(asked.Request.Key, s.options.Now())
	}
	return s.options.Records.RecordForOwner(asked.Request, s.options.Now())
}

// reply is the answer of one partner.
type reply struct {
	partner id.Host
	answer  idempotency.Answer
}

// agree asks the partners until the claim is granted. They are asked in turn,
// the next one when the former has refused or has not answered in time.
// Otherwise it returns what is known of the key.
func (s *Server) agree(ctx context.Context, claim *idempotency.Claim) (idempotency.Answer, bool) {
	if s.options.Records.CanRun(claim, s.options.Now()) {
		return idempotency.Answer{}, true
	}
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	partners := s.options.SortPartners(slices.Clone(claim.Partners))
	replies := make(chan reply, len(partners))
	best := idempotency.Answer{}
	for asked, answered := 0, 0; answered < len(partners); {
		var next <-chan time.Time
		if asked < len(partners) {
			partner := partners[asked]
			go func() { replies <- reply{partner, s.ask(ctx, partner, message{Request: claim.Request})} }()
			asked++
			next = time.After(nextPartner)
		}
		select {
		case <-next:
			continue
		case got := <-replies:
			answered++
			if got.answer.State != idempotency.Granted {
				best = better(best, got.answer)
				continue
			}
			if s.options.Records.Granted(claim, got.partner, s.options.Now()) {
				return idempotency.Answer{}, true
			}
		case <-ctx.Done():
			return best, false
		}
	}
	return best, false
}

// better returns the answer that tells the caller more.
func better(a, b idempotency.Answer) idempotency.Answer {
	if b.State > a.State {
		return b
	}
	return a
}

// ask sends one message. Without an answer nothing is known.
func (s *Server) ask(ctx context.Context, host id.Host, m message) idempotency.Answer {
	ctx, cancel := context.WithDeadline(ctx, min(m.Request.Deadline, s.options.Now().Add(askTime)).Time())
	defer cancel()
	answer, err := s.exchange(ctx, host, m)
	if err != nil {
		return idempotency.Answer{}
	}
	return answer
}

func (s *Server) exchange(ctx context.Context, host id.Host, m message) (answer idempotency.Answer, err error) {
	data, err := json.Marshal(m)
	if err != nil {
		return answer, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, Path, bytes.NewReader(data))
	if err != nil {
		return answer, err
	}
	response, err := s.options.Peers.Exchange(host, request)
	if err != nil {
		return answer, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return answer, errRefused
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxMessage)).Decode(&answer)
	return answer, err
}
