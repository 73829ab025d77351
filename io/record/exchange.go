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

// Path is the URL path of messages between daemons about idempotency keys. Only the
// hop listener serves it.
const Path = "/marjoramsaddle/v1/record"

const (
	// exchangeTimeout limits the exchange with the partners of one call.
	exchangeTimeout = 250 * time.Millisecond
	// partnerDelay is the time without an answer after which the next partner is
	// asked as well. It is long compared with the 2 ms round trip between failure
	// domains, and short enough to ask four partners within exchangeTimeout.
	partnerDelay = 50 * time.Millisecond
	// maxMessageBytes limits a message. The largest recorded response fits in base64.
	maxMessageBytes = 2 * idempotency.MaxResultBytes
)

// message asks a host to record an idempotency key or, if Lookup is set, for the
// state of the key.
type message struct {
	Lookup  bool                `json:"lookup,omitempty"`
	Request idempotency.Request `json:"request"`
}

// isExchange distinguishes messages from calls with the same path: a call always
// has a deadline header, which daemons set and callers can't remove.
func isExchange(r *http.Request) bool {
	return r.URL.Path == Path && r.Method == http.MethodPost && r.Header.Get(hop.HeaderDeadline) == ""
}

// handleMessage answers a message from another daemon.
func (s *Server) handleMessage(w http.ResponseWriter, r *http.Request) {
	var received message
	if err := json.NewDecoder(io.LimitReader(r.Body, maxMessageBytes)).Decode(&received); err != nil {
		http.Error(w, "the message is not valid JSON; run the same version on both hosts", http.StatusBadRequest)
		return
	}
	if r.TLS == nil || !received.isAuthorized(r) {
		http.Error(w, "the certificate names another host; issue one with the owner's URI name", http.StatusForbidden)
		return
	}
	data, err := json.Marshal(s.process(received))
	if err != nil {
		// An answer holds only strings, numbers and bytes, which always encode.
		panic(err)
	}
	_, _ = w.Write(data)
}

// isAuthorized reports whether the sender's certificate permits the message. Only
// the owner may have a key recorded; any daemon may look one up.
func (m message) isAuthorized(r *http.Request) bool {
	identity, err := certificate.IdentityOf(*r.TLS)
	return err == nil && (m.Lookup || identity.Host == m.Request.Owner)
}

func (s *Server) process(received message) idempotency.Answer {
	if received.Lookup {
		return s.options.Records.Lookup(received.Request.Key, s.options.Now())
	}
	return s.options.Records.RecordForOwner(received.Request, s.options.Now())
}

// partnerReply holds a partner and its answer.
type partnerReply struct {
	partner id.Host
	answer  idempotency.Answer
}

// requestGrant asks the partners to record the claim's key until one grants it. The
// next partner is asked when an answer refuses the claim or after partnerDelay. If
// no partner grants the claim, requestGrant returns the most informative answer.
func (s *Server) requestGrant(ctx context.Context, claim *idempotency.Claim) (idempotency.Answer, bool) {
	if s.options.Records.CanRun(claim, s.options.Now()) {
		return idempotency.Answer{}, true
	}
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	partners := s.options.SortPartners(slices.Clone(claim.Partners))
	replies := make(chan partnerReply, len(partners))
	best := idempotency.Answer{}
	for asked, answered := 0, 0; answered < len(partners); {
		var next <-chan time.Time
		if asked < len(partners) {
			partner := partners[asked]
			go func() { replies <- partnerReply{partner, s.query(ctx, partner, message{Request: claim.Request})} }()
			asked++
			next = time.After(partnerDelay)
		}
		select {
		case <-next:
			continue
		case got := <-replies:
			answered++
			if got.answer.State != idempotency.Granted {
				best = moreInformative(best, got.answer)
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

// moreInformative returns the answer with the higher state, which tells the caller
// more about the key.
func moreInformative(a, b idempotency.Answer) idempotency.Answer {
	if b.State > a.State {
		return b
	}
	return a
}

// query sends one message and returns the answer, or a zero Answer if the exchange
// fails.
func (s *Server) query(ctx context.Context, host id.Host, m message) idempotency.Answer {
	ctx, cancel := context.WithDeadline(ctx, min(m.Request.Deadline, s.options.Now().Add(exchangeTimeout)).Time())
	defer cancel()
	answer, err := s.sendMessage(ctx, host, m)
	if err != nil {
		return idempotency.Answer{}
	}
	return answer
}

func (s *Server) sendMessage(ctx context.Context, host id.Host, m message) (answer idempotency.Answer, err error) {
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
		return answer, errMessageRejected
	}
	err = json.NewDecoder(io.LimitReader(response.Body, maxMessageBytes)).Decode(&answer)
	return answer, err
}
