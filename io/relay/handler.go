package relay

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"marjoramsaddle/core/admission"
	"marjoramsaddle/core/holdings"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/link"
	"marjoramsaddle/core/refusal"
	"marjoramsaddle/core/shutdown"
	"marjoramsaddle/io/http1"
	"marjoramsaddle/io/lane"
)

// maxWriteStall limits how long a daemon may take no byte of a response, and
// flushedBytes is the size from which a response is flushed below that limit.
const (
	maxWriteStall = 10 * time.Second
	flushedBytes  = 16 << 10
)

// bodyGrace is how long after its deadline the body of a request may still arrive.
const bodyGrace = 100 * time.Millisecond

// HandlerOptions configures a Handler.
type HandlerOptions struct {
	// Local sends the requests to the local backend server, and Lane large responses.
	Local LocalBackend
	Lane  *lane.Pacer
	// Admit reports whether a request may begin while this process is stopping, and
	// returns its deadline.
	Admit func(work shutdown.Work) (id.Instant, bool)
	// Now returns the current time of the clock on which deadlines are stored.
	Now func() id.Instant
	// Account limits the bytes of requests and responses; nil means no limit.
	Account *holdings.Account
}

// Handler serves requests from other daemons.
type Handler struct {
	options HandlerOptions
	local   LocalBackend
	lane    *lane.Pacer
}

// NewHandler returns a handler with the given options.
func NewHandler(options HandlerOptions) *Handler {
	return &Handler{options: options, local: options.Local, lane: options.Lane}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	call, err := readCall(r.Header)
	if err != nil {
		h.refuse(w, refusal.Wrap(refusal.BadRequest, refusal.NotRun, err))
		return
	}
	call.Origin, call.Arrived = shutdown.Peer, h.options.Now()
	deadline, admitted := h.options.Admit(shutdown.Work{
		Origin: call.Origin, Arrived: call.Arrived, Deadline: call.Arrived.Add(call.Left), Expected: call.Expected,
	})
	if !admitted {
		h.RefuseLeaving(w, r)
		return
	}
	connection := http.NewResponseController(w)
	holding, err := http1.NewHolding(h.options.Account, http1.ClientOf(r.RemoteAddr), func() { _ = connection.SetReadDeadline(time.Unix(1, 0)) })
	defer holding.Release()
	if r.ContentLength != 0 {
		// The link to the sender may be cut.
		_ = connection.SetReadDeadline(time.Now().Add(call.Left + bodyGrace))
	}
	request, refused := newRelayedRequest(r, holding, err)
	if refused != nil {
		// A sender that still writes the body would not see the refusal.
		_, _ = io.Copy(io.Discard, r.Body)
		h.refuse(w, h.local.RecordRefusal(call, request, refused))
		return
	}
	if r.ContentLength != 0 && request.Stream == nil {
		_ = connection.SetReadDeadline(time.Time{})
	}
	ctx, owner := http1.WithOwner(r.Context())
	defer owner.Close()
	// The body may have taken a part of the time.
	call.Left = deadline.Sub(h.options.Now())
	var booking *link.Booking
	if call.Large {
		booked, ok := h.lane.HostLink().Book(h.local.Load().Service, h.maxLinkWait(call))
		if !ok {
			h.refuse(w, h.local.RecordRefusal(call, request, refusal.New(refusal.LinkBusy, refusal.NotRun)))
			return
		}
		defer booked.Close()
		booking = booked
	}
	response, refused := h.local.Send(ctx, call, request)
	if r.Context().Err() != nil && (refused != nil && refused.Reason == refusal.CallerGone) {
		panic(http.ErrAbortHandler)
	}
	if refused != nil {
		h.refuse(w, refused)
		return
	}
	header := w.Header()
	header.Set(headerOutcome, refusal.Ran.String())
	header.Set(headerLoad, formatLoad(h.local.Load()))
	writeHeader(w, response)
	if err := h.writeBody(r, w, response, booking); err != nil {
		// Abort the connection, so that a truncated response is recognized as such.
		panic(http.ErrAbortHandler)
	}
}

// writeBody writes the body of a response, which the sender of the request must take in
// time.
func (h *Handler) writeBody(r *http.Request, w http.ResponseWriter, response *http1.Response, booking *link.Booking) error {
	connection := http.NewResponseController(w)
	response.Held.Assign(http1.ClientOf(r.RemoteAddr), func() { _ = connection.SetWriteDeadline(time.Unix(1, 0)) })
	out := &http1.ProgressWriter{Out: w, SetDeadline: connection.SetWriteDeadline, PartTimeout: maxWriteStall, Held: response.Held}
	if err := h.lane.Write(r.Context(), out, response.Body, booking); err != nil {
		return err
	}
	if len(response.Body) >= flushedBytes {
		// Without support for it, the server flushes.
		_ = connection.Flush()
	}
	response.Held.Release()
	_ = connection.SetWriteDeadline(time.Time{})
	return nil
}

// maxLinkWait returns how long a large response may wait for the link.
func (h *Handler) maxLinkWait(call Call) time.Duration {
	if call.NoWait {
		return 0
	}
	wait := admission.Wait{Aim: call.Aim, Left: call.Left, Service: h.local.Load().Service + h.lane.HostLink().TransferTime()}
	return wait.Longest()
}

// RefuseLeaving refuses a request because this daemon is shutting down.
func (h *Handler) RefuseLeaving(w http.ResponseWriter, _ *http.Request) {
	// The sender must not reuse the connection, which is about to be closed.
	w.Header().Set("Connection", "close")
	h.refuse(w, refusal.New(refusal.Leaving, refusal.NotRun))
}

// refuse writes the refusal and the current load as internal headers.
func (h *Handler) refuse(w http.ResponseWriter, refused *refusal.Error) {
	header := w.Header()
	header.Set(headerOutcome, refused.Outcome.String())
	header.Set(headerReason, refused.Reason.String())
	header.Set(headerLoad, formatLoad(h.local.Load()))
	writeRetryAfter(header, refused.RetryAfter)
	header.Set("Content-Length", "0")
	h.lane.Count(0)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// NewRequest converts a request that an http1.Server has received. It removes hop-by-hop
// and internal headers. The body is not copied.
func NewRequest(r *http.Request) (*http1.Request, *refusal.Error) {
	if body, stream, found := http1.Body(r); found {
		request := newRequest(r)
		request.Body, request.Stream = body, stream
		return request, nil
	}
	return newRelayedRequest(r, nil, nil)
}

// newRelayedRequest converts a request that another daemon has sent. It reads a short body
// into the memory of the holding, unless that is not granted, and leaves a longer one as a
// stream: its beginning has been read by the sender.
func newRelayedRequest(r *http.Request, holding *http1.Holding, err error) (*http1.Request, *refusal.Error) {
	request := newRequest(r)
	switch {
	case err != nil:
		return request, refusal.Wrap(refusal.MemoryFull, refusal.NotRun, err)
	case r.Body == nil || r.Body == http.NoBody:
		return request, nil
	case r.ContentLength >= http1.MaxBufferedBody:
		request.Stream = r.Body
		return request, nil
	}
	body, complete, err := holding.ReadBody(r.Body, r.ContentLength)
	switch {
	case errors.Is(err, http1.ErrMemoryFull), errors.Is(err, http1.ErrStalled):
		return request, refusal.Wrap(refusal.MemoryFull, refusal.NotRun, err)
	case err != nil:
		return request, refusal.Wrap(refusal.BadRequest, refusal.NotRun, err)
	}
	holding.Complete()
	if !complete {
		request.Stream = io.MultiReader(bytes.NewReader(body), r.Body)
		return request, nil
	}
	request.Body, request.Length = body, int64(len(body))
	return request, nil
}

func newRequest(r *http.Request) *http1.Request {
	header := Forwardable(r.Header)
	StripInternalHeaders(header)
	return &http1.Request{Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: header, Length: r.ContentLength}
}

// writeHeader writes the status and header of the response. Setting Date and
// Content-Type to nil keeps net/http from adding its own.
func writeHeader(w http.ResponseWriter, response *http1.Response) {
	header := w.Header()
	for name, values := range Forwardable(response.Header) {
		header[name] = values
	}
	if response.Status != http.StatusNoContent && response.Status != http.StatusNotModified {
		header.Set("Content-Length", strconv.Itoa(len(response.Body)))
	}
	if _, found := header["Date"]; !found {
		header["Date"] = nil
	}
	if _, found := header["Content-Type"]; !found {
		header["Content-Type"] = nil
	}
	w.WriteHeader(response.Status)
}
