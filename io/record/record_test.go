package record

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"marjoramsaddle/core/id"
	"marjoramsaddle/core/idempotency"
	"marjoramsaddle/core/refusal"
	"marjoramsaddle/io/hop"
)

// fakeHost fakes both the backend server of a host and its partners.
type fakeHost struct {
	http.Handler
	answer *http.Response
	runs   int
	// partners maps hosts to their answers; a host that is absent doesn't answer.
	partners map[id.Host]idempotency.Answer
}

func (h *fakeHost) Do(context.Context, *http.Request, hop.Call) (*http.Response, *refusal.Error) {
	h.runs++
	return h.answer, nil
}

func (h *fakeHost) Exchange(partner id.Host, request *http.Request) (*http.Response, error) {
	answer, known := h.partners[partner]
	if !known {
		<-request.Context().Done()
		return nil, request.Context().Err()
	}
	recorder := httptest.NewRecorder()
	err := json.NewEncoder(recorder).Encode(answer)
	return recorder.Result(), err
}

func now() id.Instant { return id.InstantOf(time.Now()) }

// Guards against a call that runs without a partner's record or waits much longer
// than the 250 ms of exchangeTimeout for one, and against a replayed response that
// differs from the original.
func TestRunNeedsPartner(t *testing.T) {
	granted, unclear := idempotency.Answer{State: idempotency.Granted}, idempotency.Answer{State: idempotency.Unclear}
	cases := []struct {
		name   string
		first  *idempotency.Answer
		second *idempotency.Answer
		length int64 // Content-Length of the response; -1 if it is chunked
		runs   int
		again  string // result of the repeated call
	}{
		{"granted", &granted, nil, 10, 1, "answer"},
		{"first hangs", nil, &granted, 10, 1, "answer"},
		{"first refuses", &unclear, &granted, 10, 1, "answer"},
		{"large answer", &granted, nil, 70_000, 1, "record_unavailable ran"},
		{"chunked answer", &granted, nil, -1, 1, "record_unavailable ran"},
		{"both hang", nil, nil, 10, 0, "record_unavailable unknown"},
		{"both refuse", &unclear, &unclear, 10, 0, "record_unavailable unknown"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			text := strings.Repeat("x", max(1, int(c.length)))
			h := &fakeHost{partners: map[id.Host]idempotency.Answer{}, answer: &http.Response{
				StatusCode: http.StatusCreated, ContentLength: c.length, Body: io.NopCloser(strings.NewReader(text)),
				Header: http.Header{"Set-Cookie": {"a=1", "b=2"}},
			}}
			for partner, answer := range map[id.Host]*idempotency.Answer{"b": c.first, "c": c.second} {
				if answer != nil {
					h.partners[partner] = *answer
				}
			}
			records := idempotency.NewRecords("a", 0)
			records.SetHosts(0, []id.Host{"a", "b", "c"})
			server := New(Options{
				Self: "a", Records: records, Next: h, Peers: h, Now: now, Leaving: func() bool { return false },
				SortPartners: func(hosts []id.Host) []id.Host { return slices.Sorted(slices.Values(hosts)) },
			})
			call := hop.Call{Key: "key", Deadline: now().Add(10 * time.Second)}
			send := func() (*http.Response, *refusal.Error) {
				return server.Do(t.Context(), httptest.NewRequest(http.MethodPost, "/orders", strings.NewReader("nails")), call)
			}
			started := time.Now()
			first, _ := send() //nolint:bodyclose // The body is in memory.
			is.Equal(h.runs, c.runs)
			is.Equal(first != nil, c.runs == 1)
			is.True(time.Since(started) < 2*exchangeTimeout)
			again, refused := send() //nolint:bodyclose // The body is in memory.
			is.Equal(h.runs, c.runs)
			if refused != nil {
				is.Equal(refused.Reason.String()+" "+refused.Outcome.String(), c.again)
				return
			}
			body, err := io.ReadAll(again.Body)
			is.NoErr(err)
			is.Equal(c.again, "answer")
			is.Equal(string(body), text)
			is.Equal(again.StatusCode, http.StatusCreated)
			is.Equal(again.Header["Set-Cookie"], []string{"a=1", "b=2"})
			is.Equal(again.Header.Get(hop.HeaderReplayed), "true")
		})
	}
}

// Guards against a caller that forges a record through a call to the exchange's
// path, and against a message whose sender is not the owner that it names.
func TestExchangeIsAuthenticated(t *testing.T) {
	is := is.New(t)
	records := idempotency.NewRecords("a", 0)
	passed := 0
	h := &fakeHost{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) { passed++ })}
	server := New(Options{Self: "a", Records: records, Next: h, Peers: h, Now: now})
	body, err := json.Marshal(message{Request: idempotency.Request{Key: "key", Owner: "b", Deadline: now().Add(time.Second)}})
	is.NoErr(err)
	forwarded := httptest.NewRequest(http.MethodPost, Path, strings.NewReader(string(body)))
	hop.Call{ID: "1", Deadline: now().Add(time.Second)}.SetHeaders(forwarded.Header)
	server.ServeHTTP(httptest.NewRecorder(), forwarded)
	is.Equal(passed, 1) // handled as a call, not as a message
	unauthenticated := httptest.NewRecorder()
	server.ServeHTTP(unauthenticated, httptest.NewRequest(http.MethodPost, Path, strings.NewReader(string(body))))
	is.Equal(unauthenticated.Code, http.StatusForbidden)
	is.Equal(records.Lookup("key", now()).State, idempotency.Unavailable)
}
