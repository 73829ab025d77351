// Package relay forwards requests from one daemon to another over HTTP/1.1. The
// request keeps its method, target, body and end-to-end headers. Internal headers
// carry what the next daemon needs to know, and return refusals and the load of
// the backend server.
//
// The platform provides no keys, so daemons cannot authenticate each other. A
// request names the only backend server that may run it, and a daemon beside any
// other refuses it. A stray or forged request therefore gains nothing over one
// sent to the daemon on its own host.
//
// # Usage
//
//	client := relay.NewClient(pool, hopPort, report)
//	response, refused := client.Do(ctx, server, call, request)
//	http.Serve(listener, relay.NewHandler(local, lane))
package relay

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"marjoramsaddle/core/announcement"
	"marjoramsaddle/core/backend"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/placement"
	"marjoramsaddle/core/refusal"
	"marjoramsaddle/core/shutdown"
	"marjoramsaddle/io/http1"
)

// The internal headers between daemons. NewRequest removes them from incoming
// requests, so that clients cannot set them.
const (
	headerPrefix      = "Marjoramsaddle-"
	headerServer      = headerPrefix + "Server"
	headerLeft        = headerPrefix + "Left-Us"
	headerRank        = headerPrefix + "Rank"
	headerAim         = headerPrefix + "Aim-Us"
	headerExpected    = headerPrefix + "Expected-Us"
	headerCallRefused = headerPrefix + "Call-Refused"
	headerCalls       = headerPrefix + "Calls"
	headerNoWait      = headerPrefix + "No-Wait"
	headerLarge       = headerPrefix + "Large"
	headerOutcome     = headerPrefix + "Outcome"
	headerReason      = headerPrefix + "Reason"
	headerLoad        = headerPrefix + "Load"
	headerLimit       = headerPrefix + "Limit"
	headerOfRequest   = headerPrefix + "Of-Request"
	headerRetryAfter  = headerPrefix + "Retry-After-Us"
)

// ExchangeHeader carries the number of an exchange between two daemons. It tells a
// response from a late duplicate of an earlier one.
const ExchangeHeader = headerPrefix + "Exchange"

// maxExpected bounds the expected time in a call. Timeouts are a few seconds.
const maxExpected = 24 * time.Hour

// maxLimitAge bounds the age of a limit in a call. Daemons forget limits earlier.
const maxLimitAge = 7 * 24 * time.Hour

// flagTrue is the value of a boolean header that is true; false is sent as no header.
const flagTrue = "1"

// Call describes a request to the daemon that receives it.
type Call struct {
	// Server is the only backend server that may run the request.
	Server backend.ID
	// Left is the time until the deadline. A duration is sent because clocks differ
	// between hosts; each host derives a local deadline from it.
	Left time.Duration
	// Rank is the priority of the request; zero is the most urgent.
	Rank int
	// Aim is the target response time. Later responses are worth less to the client.
	Aim time.Duration
	// Expected is how long such requests take on average, or zero if that is unknown.
	Expected time.Duration
	// NoWait makes the daemon refuse the request instead of queueing it.
	NoWait bool
	// Large announces a large response, for which the daemon books time on its
	// host's link.
	Large bool
	// Limit is the limit that the backend server has announced to the sender, and
	// LimitAge the time since then. The daemon that receives the call may have
	// restarted and not know it.
	Limit    announcement.Limit
	LimitAge time.Duration
	// OfRequest is set if a running request makes the call, so that refusing it wastes
	// the work of that request.
	OfRequest bool
	// Origin and Arrived tell where the request comes from and when it reached this
	// daemon. They are not sent.
	Origin  shutdown.Origin
	Arrived id.Instant
}

// LocalBackend sends requests to the backend server on this host.
type LocalBackend interface {
	// Send returns the complete response, or a refusal.
	Send(ctx context.Context, call Call, request *http1.Request) (*http1.Response, *refusal.Error)
	Load() placement.Report
	// RecordRefusal records that the request is refused before it is sent, and
	// returns the refusal.
	RecordRefusal(call Call, request *http1.Request, refused *refusal.Error) *refusal.Error
}

// write sets the internal headers that describe the call.
func (c Call) write(header http.Header) {
	header.Set(headerServer, string(c.Server))
	header.Set(headerLeft, strconv.FormatInt(c.Left.Microseconds(), 10))
	header.Set(headerRank, strconv.Itoa(c.Rank))
	header.Set(headerAim, strconv.FormatInt(c.Aim.Microseconds(), 10))
	if c.Expected > 0 {
		header.Set(headerExpected, strconv.FormatInt(c.Expected.Microseconds(), 10))
	}
	if c.NoWait {
		header.Set(headerNoWait, flagTrue)
	}
	if c.Large {
		header.Set(headerLarge, flagTrue)
	}
	if c.OfRequest {
		header.Set(headerOfRequest, flagTrue)
	}
	if c.Limit.Announced {
		header.Set(headerLimit, formatLimit(c.Limit.Rate, c.LimitAge))
	}
}

// formatLimit encodes a limit and its age for headerLimit.
func formatLimit(rate announcement.RequestRate, age time.Duration) string {
	return rate.String() + " " + strconv.FormatInt(age.Microseconds(), 10)
}

// readLimit decodes the output of formatLimit; an absent header is no limit.
func (c *Call) readLimit(header http.Header) error {
	text := header.Get(headerLimit)
	if text == "" {
		return nil
	}
	rateText, ageText, _ := strings.Cut(text, " ")
	rate, err := announcement.ParseRate(rateText)
	if err != nil {
		return errInvalidCallHeaders
	}
	microseconds, err := strconv.ParseInt(ageText, 10, 64)
	if err != nil || microseconds < 0 || microseconds > maxLimitAge.Microseconds() {
		return errInvalidCallHeaders
	}
	c.Limit = announcement.Limit{Announced: true, Rate: rate}
	c.LimitAge = time.Duration(microseconds) * time.Microsecond
	return nil
}

var errInvalidCallHeaders = errors.New("relay: internal headers are missing or invalid")

// readCall parses the headers set by Call.write.
func readCall(header http.Header) (Call, error) {
	var durations [2]time.Duration
	for i, name := range []string{headerLeft, headerAim} {
		microseconds, err := strconv.ParseInt(header.Get(name), 10, 64)
		if err != nil {
			return Call{}, errInvalidCallHeaders
		}
		durations[i] = time.Duration(microseconds) * time.Microsecond
	}
	rank, err := strconv.Atoi(header.Get(headerRank))
	if err != nil || header.Get(headerServer) == "" {
		return Call{}, errInvalidCallHeaders
	}
	call := Call{
		Server: backend.ID(header.Get(headerServer)), Rank: rank,
		Left: durations[0], Aim: durations[1],
		NoWait:    header.Get(headerNoWait) == flagTrue,
		Large:     header.Get(headerLarge) == flagTrue,
		OfRequest: header.Get(headerOfRequest) == flagTrue,
	}
	if call.Expected, err = readExpected(header); err != nil {
		return Call{}, err
	}
	return call, call.readLimit(header)
}

// readExpected decodes headerExpected, which daemons leave out if they do not know it.
func readExpected(header http.Header) (time.Duration, error) {
	text := header.Get(headerExpected)
	if text == "" {
		return 0, nil
	}
	microseconds, err := strconv.ParseInt(text, 10, 64)
	if err != nil || microseconds < 0 || microseconds > maxExpected.Microseconds() {
		return 0, errInvalidCallHeaders
	}
	return time.Duration(microseconds) * time.Microsecond, nil
}

// maxRetryAfter bounds the time until there is capacity in a refusal.
const maxRetryAfter = time.Hour

// writeRetryAfter sets headerRetryAfter if the time is known.
func writeRetryAfter(header http.Header, after time.Duration) {
	if after > 0 {
		header.Set(headerRetryAfter, strconv.FormatInt(after.Microseconds(), 10))
	}
}

// readRetryAfter decodes headerRetryAfter. It returns zero if the time is unknown.
func readRetryAfter(header http.Header) time.Duration {
	microseconds, err := strconv.ParseInt(header.Get(headerRetryAfter), 10, 64)
	if err != nil || microseconds < 0 {
		return 0
	}
	return time.Duration(min(microseconds, maxRetryAfter.Microseconds())) * time.Microsecond
}

// MarkCallRefused marks the response of a request that failed because a call it
// made was refused.
func MarkCallRefused(header http.Header) { header.Set(headerCallRefused, flagTrue) }

// CallRefused reports whether MarkCallRefused has marked the response.
func CallRefused(header http.Header) bool { return header.Get(headerCallRefused) == flagTrue }

// SetCalls sets the header that says how many calls the request has made to each
// service.
func SetCalls(header http.Header, calls map[id.Service]int) {
	for service, count := range calls {
		header.Add(headerCalls, string(service)+"="+strconv.Itoa(count))
	}
}

// Calls returns the counts set by SetCalls. It skips malformed values, which other
// daemons never send.
func Calls(header http.Header) map[id.Service]int {
	calls := map[id.Service]int{}
	for _, value := range header.Values(headerCalls) {
		service, text, _ := strings.Cut(value, "=")
		if count, err := strconv.Atoi(text); err == nil && count > 0 {
			calls[id.Service(service)] = count
		}
	}
	return calls
}

// StripInternalHeaders removes all headers that start with headerPrefix. Clients must
// neither set nor receive them.
func StripInternalHeaders(header http.Header) {
	for name := range header {
		if strings.HasPrefix(name, headerPrefix) {
			delete(header, name)
		}
	}
}

// hopByHopHeaders lists the headers that apply to a single connection and are not
// forwarded. Content-Length is set anew for each connection.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length",
}

// Forwardable returns a copy of the header without the hop-by-hop fields, including
// those that its Connection field names.
func Forwardable(header http.Header) http.Header {
	forwarded := header.Clone()
	for _, field := range header.Values("Connection") {
		for name := range strings.SplitSeq(field, ",") {
			forwarded.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		forwarded.Del(name)
	}
	return forwarded
}

// permille converts the failure rate, a fraction, to thousandths and back.
const permille = 1000

// formatLoad encodes a load report for headerLoad.
func formatLoad(report placement.Report) string {
	leavingFlag := 0
	if report.Leaving {
		leavingFlag = 1
	}
	return fmt.Sprintf("%d %d %d %d %d %d %d %d", report.Running, report.Queued, report.Slots, report.Service.Microseconds(), leavingFlag,
		report.LinkWait.Microseconds(), report.TransferTime.Microseconds(), int(report.FailureRate*permille))
}

// parseLoad decodes the output of formatLoad.
func parseLoad(text string) (placement.Report, bool) {
	var report placement.Report
	var serviceMicros, linkWaitMicros, transferMicros int64
	var leavingFlag, failurePermille int
	if _, err := fmt.Sscanf(text, "%d %d %d %d %d %d %d %d", &report.Running, &report.Queued, &report.Slots, &serviceMicros, &leavingFlag, &linkWaitMicros, &transferMicros, &failurePermille); err != nil {
		return placement.Report{}, false
	}
	report.Service = time.Duration(serviceMicros) * time.Microsecond
	report.LinkWait = time.Duration(linkWaitMicros) * time.Microsecond
	report.TransferTime = time.Duration(transferMicros) * time.Microsecond
	report.FailureRate = float64(failurePermille) / permille
	report.Leaving = leavingFlag == 1
	return report, true
}
