// Package relay carries requests between daemons over HTTP/1.1. The request
// keeps its method, path, body and headers; a few headers of the daemons' own
// say what the next daemon needs. A refusal and the load of the backend server
// travel back in headers as well.
//
// The platform gives no keys, so a daemon cannot prove who it is. A request
// names the one backend server that may run it, and the receiving daemon
// refuses any other, so a stray or forged request gains nothing over one that
// is sent to the daemon of its own host.
//
// Usage:
//
//	answer, refused := relay.NewClient(pool, hopPort).Do(ctx, server, call, request)
//	http.Serve(listener, relay.NewHandler(local))
package relay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"marjoramsaddle/core/backend"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/placement"
	"marjoramsaddle/core/refusal"
	"marjoramsaddle/io/http1"
)

// The headers that daemons exchange. Ingress removes them from what clients
// send.
const (
	headerPrefix      = "Marjoramsaddle-"
	headerServer      = headerPrefix + "Server"
	headerLeft        = headerPrefix + "Left-Us"
	headerRank        = headerPrefix + "Rank"
	headerAim         = headerPrefix + "Aim-Us"
	headerCallRefused = headerPrefix + "Call-Refused"
	headerCalls       = headerPrefix + "Calls"
	headerNoWait      = headerPrefix + "No-Wait"
	headerLarge       = headerPrefix + "Large"
	headerOutcome     = headerPrefix + "Outcome"
	headerReason      = headerPrefix + "Reason"
	headerLoad        = headerPrefix + "Load"
)

// ExchangeHeader numbers the exchanges of one daemon with others, so that an
// answer can be told from a late copy of an earlier one.
const ExchangeHeader = headerPrefix + "Exchange"

// flagSet is the value of a header that is a flag.
const flagSet = "1"

// Call is what daemons tell each other about a request.
type Call struct {
	// Server is the only backend server that may run the request.
	Server backend.ID
	// Left is the time until the deadline. Clocks differ between hosts, so a
	// span travels and each host keeps a deadline of its own.
	Left time.Duration
	// Rank is the priority; zero is the most urgent.
	Rank int
	// Aim is the time within which an answer has its full worth.
	Aim time.Duration
	// NoWait refuses the request when no slot is free.
	NoWait bool
	// Large announces a long answer, which takes its time on the link.
	Large bool
}

// LocalBackend passes requests to the backend server beside this daemon.
type LocalBackend interface {
	Send(ctx context.Context, call Call, request *http1.Request) (*http1.Response, *refusal.Error)
	Load() placement.Report
	// RecordRefusal notes that the request is refused before it is sent, and returns the
	// refusal.
	RecordRefusal(call Call, request *http1.Request, refused *refusal.Error) *refusal.Error
}

func (c Call) write(header http.Header) {
	header.Set(headerServer, string(c.Server))
	header.Set(headerLeft, strconv.FormatInt(c.Left.Microseconds(), 10))
	header.Set(headerRank, strconv.Itoa(c.Rank))
	header.Set(headerAim, strconv.FormatInt(c.Aim.Microseconds(), 10))
	if c.NoWait {
		header.Set(headerNoWait, flagSet)
	}
	if c.Large {
		header.Set(headerLarge, flagSet)
	}
}

var errCallHeaders = errors.New("relay: the headers of the call are missing or wrong")

func readCall(header http.Header) (Call, error) {
	var spans [2]time.Duration
	for i, name := range []string{headerLeft, headerAim} {
		micros, err := strconv.ParseInt(header.Get(name), 10, 64)
		if err != nil {
			return Call{}, errCallHeaders
		}
		spans[i] = time.Duration(micros) * time.Microsecond
	}
	rank, err := strconv.Atoi(header.Get(headerRank))
	if err != nil || header.Get(headerServer) == "" {
		return Call{}, errCallHeaders
	}
	return Call{
		Server: backend.ID(header.Get(headerServer)), Rank: rank,
		Left: spans[0], Aim: spans[1],
		NoWait: header.Get(headerNoWait) == flagSet,
		Large:  header.Get(headerLarge) == flagSet,
	}, nil
}

// MarkCallRefused notes in an answer that the run failed because one of its
// calls was turned away.
func MarkCallRefused(header http.Header) { header.Set(headerCallRefused, flagSet) }

// CallRefused reports whether MarkCallRefused was called for the answer.
func CallRefused(header http.Header) bool { return header.Get(headerCallRefused) == flagSet }

// SetCalls notes in an answer how many calls the run has made of each service.
func SetCalls(header http.Header, calls map[id.Service]int) {
	for service, count := range calls {
		header.Add(headerCalls, string(service)+"="+strconv.Itoa(count))
	}
}

// Calls returns what SetCalls has noted. What cannot be read is left out; other
// daemons write nothing else.
func Calls(header http.Header) map[id.Service]int {
	calls := map[id.Service]int{}
	for _, text := range header.Values(headerCalls) {
		service, number, _ := strings.Cut(text, "=")
		if count, err := strconv.Atoi(number); err == nil && count > 0 {
			calls[id.Service(service)] = count
		}
	}
	return calls
}

// StripInternalHeaders removes the daemons' own headers.
func StripInternalHeaders(header http.Header) {
	for name := range header {
		if strings.HasPrefix(name, headerPrefix) {
			delete(header, name)
		}
	}
}

// connectionHeaders concern one connection only.
var connectionHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// Forwardable copies the headers that do not concern one connection only.
func Forwardable(header http.Header) http.Header {
	copied := header.Clone()
	for _, field := range header.Values("Connection") {
		for name := range strings.SplitSeq(field, ",") {
			copied.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range connectionHeaders {
		copied.Del(name)
	}
	return copied
}

// permille is the unit in which shares travel.
const permille = 1000

func formatLoad(report placement.Report) string {
	leaving := 0
	if report.Leaving {
		leaving = 1
	}
	return fmt.Sprintf("%d %d %d %d %d %d %d %d", report.Running, report.Queued, report.Slots, report.Service.Microseconds(), leaving,
		report.LinkWait.Microseconds(), report.TransferTime.Microseconds(), int(report.FailureRate*permille))
}

func parseLoad(text string) (placement.Report, bool) {
	var report placement.Report
	var service, linkWait, transfer int64
	var leaving, failures int
	if _, err := fmt.Sscanf(text, "%d %d %d %d %d %d %d %d", &report.Running, &report.Queued, &report.Slots, &service, &leaving, &linkWait, &transfer, &failures); err != nil {
		return placement.Report{}, false
	}
	report.Service = time.Duration(service) * time.Microsecond
	report.LinkWait = time.Duration(linkWait) * time.Microsecond
	report.TransferTime = time.Duration(transfer) * time.Microsecond
	report.FailureRate = float64(failures) / permille
	report.Leaving = leaving == 1
	return report, true
}
