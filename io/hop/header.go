package hop

import (
	"net/http"
	"strings"
)

// hopByHop lists the headers that belong to one connection and are not passed
// on, as RFC 9110 section 7.6.1 says.
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// internal lists the headers that only daemons set.
var internal = []string{
	HeaderDeadline, HeaderCallID, HeaderDepth, HeaderRetry, HeaderService,
	HeaderClass, HeaderQueueMS, HeaderSafe, HeaderOutcome, HeaderReason,
	HeaderReplayed,
}

// CopyHeader copies the end-to-end headers from one message to another.
func CopyHeader(into, from http.Header) {
	for name, values := range from {
		into[name] = append([]string(nil), values...)
	}
	for _, list := range from.Values("Connection") {
		for name := range strings.SplitSeq(list, ",") {
			into.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		into.Del(name)
	}
}

// DropInternal removes the headers that only daemons set, so that a caller or
// a backend server can't forge them.
func DropInternal(header http.Header) {
	for _, name := range internal {
		header.Del(name)
	}
}
