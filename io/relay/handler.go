package relay

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"marjoramsaddle/core/admission"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/link"
	"marjoramsaddle/core/refusal"
	"marjoramsaddle/core/shutdown"
	"marjoramsaddle/io/http1"
	"marjoramsaddle/io/lane"
)

// MaxBufferedBody is the size below which a request body is read in full before
// the request is forwarded, so that a slow sender occupies no slot and the request
// can be retried. Orders of both users are below 8 KB.
const MaxBufferedBody = 256 << 10

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
	request, refused := NewRequest(r)
	if refused != nil {
		h.refuse(w, refused)
		return
	}
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
	response, refused := h.local.Send(r.Context(), call, request)
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
	if err := h.lane.Write(r.Context(), w, response.Body, booking); err != nil {
		// Abort the connection, so that a truncated response is recognized as such.
		panic(http.ErrAbortHandler)
	}
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

// NewRequest converts a request received by a server. It removes hop-by-hop and
// internal headers, reads a body shorter than MaxBufferedBody into memory, and
// leaves a longer one as a stream.
func NewRequest(r *http.Request) (*http1.Request, *refusal.Error) {
	header := Forwardable(r.Header)
	StripInternalHeaders(header)
	request := &http1.Request{
		Method: r.Method, Target: r.RequestURI, Host: r.Host, Header: header, Length: r.ContentLength,
	}
	if r.Body == nil || r.Body == http.NoBody {
		return request, nil
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, MaxBufferedBody))
	if err != nil {
		return nil, refusal.Wrap(refusal.BadRequest, refusal.NotRun, err)
	}
	if len(body) < MaxBufferedBody {
		request.Body, request.Length = body, int64(len(body))
		return request, nil
	}
	request.Stream = io.MultiReader(bytes.NewReader(body), r.Body)
	return request, nil
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
