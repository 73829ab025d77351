package server

import (
	"context"
	"io"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"marjoramsaddle/core/backend"
	"marjoramsaddle/core/refusal"
	"marjoramsaddle/io/http1"
)

// Guards against long bodies that arrive slowly and take all slots of a backend server:
// further ones are refused as not run, and ordinary requests are served meanwhile.
func TestLongBodiesLeaveSlots(t *testing.T) {
	is := is.New(t)
	const slots = 4
	s := newServer(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Stamp", "1")
	})
	s.SetCurrent(backend.Server{ID: "i-1", Slots: slots}, true)
	post := func(body io.Reader) *refusal.Error {
		_, refused := s.Send(context.Background(), newCall(), &http1.Request{
			Method: http.MethodPost, Target: "/", Host: "a", Header: http.Header{}, Stream: body, Length: -1,
		})
		return refused
	}
	writers := make([]*io.PipeWriter, 0, slots/2)
	ended := make(chan *refusal.Error, slots/2)
	for range slots / 2 {
		reader, writer := io.Pipe()
		writers = append(writers, writer)
		go func() { ended <- post(reader) }()
		// Returns when the first byte is sent on, so the slot is taken.
		_, err := writer.Write([]byte("x"))
		is.NoErr(err)
	}
	refused := post(http.NoBody)
	is.Equal(refused.Reason, refusal.QueueFull)
	is.Equal(refused.Outcome, refusal.NotRun)
	_, refused = sendGet(s, newCall())
	is.True(refused == nil)
	for _, writer := range writers {
		is.NoErr(writer.Close())
		is.True(<-ended == nil)
	}
	is.True(post(http.NoBody) == nil)
}
