package holdings

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"marjoramsaddle/core/id"
)

const limit = 1000

// holding is a reservation of a test, and how often it was asked to yield.
type holding struct {
	*Reservation
	asked int
}

func reserve(account *Account, request Request) (*holding, bool) {
	h := &holding{}
	request.Yield = func() { h.asked++ }
	reservation, granted := account.Reserve(request)
	h.Reservation = reservation
	return h, granted
}

// Guards against an order of eviction in which a flood of stalled bodies, or the client
// with the most bytes, displaces others.
func TestEvictionOrder(t *testing.T) {
	const longAgo, recently = 0, id.Instant(stalledAfter)
	newcomer := Request{Purpose: Body, Client: "newcomer", Amount: 200, At: recently + 1, State: Receiving}
	for _, test := range []struct {
		name           string
		first, second  Request
		yields, stays  bool
		othersOfSecond int64
	}{
		{name: "idle before stalled", first: Request{Client: "a", At: recently - id.Instant(idleAfter), State: Idle}, second: Request{Client: "a", At: longAgo, State: Receiving}, yields: true},
		{name: "not run before sending", first: Request{Client: "a", At: longAgo, State: Receiving}, second: Request{Client: "a", At: longAgo, State: Streaming}, yields: true},
		{name: "stalled before progressing", first: Request{Client: "a", At: longAgo, State: Streaming}, second: Request{Client: "a", At: recently, State: Receiving}, yields: true},
		{name: "client with most first", first: Request{Client: "most", At: longAgo + 1, State: Receiving}, second: Request{Client: "b", At: longAgo, State: Receiving}, yields: true},
		{name: "progress of the client with most", first: Request{Client: "most", At: recently, State: Receiving}, second: Request{Client: "b", At: recently, State: Receiving}, yields: true},
		{name: "request in transit stays", first: Request{Client: "newcomer", At: recently, State: Idle}, second: Request{Client: "newcomer", At: recently, State: Idle}},
		{name: "running stays", first: Request{Client: "most", At: longAgo, State: Running}, second: Request{Client: "b", At: longAgo, State: Running}},
		{name: "progress of the same client stays", first: Request{Client: "newcomer", At: recently, State: Receiving}, second: Request{Client: "newcomer", At: recently, State: Receiving}},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			account := New(limit)
			test.first.Amount, test.second.Amount = 200, 200
			other, granted := account.Reserve(Request{Client: "most", Amount: 200})
			is.True(granted)
			second, granted := reserve(account, test.second)
			is.True(granted)
			first, granted := reserve(account, test.first)
			is.True(granted)
			got, granted := account.Reserve(newcomer)
			is.Equal(granted, test.yields)
			is.Equal(first.asked == 1, test.yields)
			is.Equal(second.asked, 0)
			for _, r := range []*Reservation{other, first.Reservation, second.Reservation, got} {
				r.Release()
			}
			is.Equal(account.Total(), int64(0))
		})
	}
}

// Guards against a flood of bodies that leaves no room for responses, for ordinary
// requests or for control.
func TestLevels(t *testing.T) {
	is := is.New(t)
	account := New(limit)
	for _, purpose := range []Purpose{Body, Response, Ordinary, Control} {
		for {
			if _, granted := account.Reserve(Request{Purpose: purpose, Amount: 10}); !granted {
				break
			}
		}
		is.True(account.Held(purpose) >= limit/20)
		is.Equal(account.Total(), limit*levels[purpose]/percent)
	}
}

// Guards against an account that grows over its limit, or does not return to zero, in any
// order of reservations, progress, eviction and release.
func TestAccountReturnsToZero(t *testing.T) { rapid.Check(t, checkAccount) }

// FuzzAccount plays more orders than TestAccountReturnsToZero.
func FuzzAccount(f *testing.F) { f.Fuzz(rapid.MakeFuzz(checkAccount)) }

func checkAccount(t *rapid.T) {
	account := New(limit)
	var now id.Instant
	first, _ := reserve(account, Request{})
	open := []*holding{first}
	pick := func(t *rapid.T) *holding {
		return open[rapid.IntRange(0, len(open)-1).Draw(t, "holding")]
	}
	t.Repeat(map[string]func(*rapid.T){
		"reserve": func(t *rapid.T) {
			h, granted := reserve(account, Request{
				Purpose: rapid.SampledFrom([]Purpose{Control, Ordinary, Response, Body, ReadAhead}).Draw(t, "purpose"), At: now,
				Client: Client(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "client")),
				Amount: rapid.Int64Range(0, 400).Draw(t, "amount"),
				State:  State(rapid.IntRange(int(Running), int(Streaming)).Draw(t, "state")),
			})
			if granted {
				open = append(open, h)
			}
		},
		"grow":   func(t *rapid.T) { pick(t).Grow(rapid.Int64Range(0, 200).Draw(t, "amount"), now) },
		"shrink": func(t *rapid.T) { pick(t).Shrink(rapid.Int64Range(0, 500).Draw(t, "amount")) },
		"move":   func(t *rapid.T) { pick(t).Moved(now) },
		"set state": func(t *rapid.T) {
			pick(t).SetState(State(rapid.IntRange(int(Running), int(Streaming)).Draw(t, "state")), now)
		},
		"release": func(t *rapid.T) { pick(t).Release() },
		"assign": func(t *rapid.T) {
			h := pick(t)
			h.Assign(Client(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "client")), func() { h.asked++ })
		},
		"wait": func(t *rapid.T) {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
		},
		"": func(t *rapid.T) {
			var sum int64
			for _, h := range open {
				sum += h.Held()
				if h.asked > 1 || (h.asked == 1) != h.Revoked() {
					t.Fatalf("asked %d times, revoked %t", h.asked, h.Revoked())
				}
			}
			if total := account.Total(); sum != total || total > limit+limit/revokedShare {
				t.Fatalf("total %d of %d, reservations hold %d", total, limit, sum)
			}
		},
	})
	for _, h := range open {
		h.Release()
		h.Release()
	}
	if account.Total() != 0 || account.held != 0 || len(account.byClient) != 0 || len(account.revocable) != 0 || account.byPurpose != [purposeCount]int64{} {
		t.Fatalf("the account does not return to zero: %+v", account)
	}
}
