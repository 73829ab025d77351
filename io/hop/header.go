package hop

import (
	"net/http"
	"slices"
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
	HeaderClass, HeaderQueueMS, HeaderIdempotent, HeaderOutcome, HeaderReason,
	HeaderReplayed,
}

// CopyEndToEndHeaders copies the end-to-end headers from one message to another. What
// the other message says of its own connection stays.
func CopyEndToEndHeaders(into, from http.Header) {
	listed := from.Values("Connection")
	for name, values := range from {
		if !slices.Contains(hopByHop, name) && !lists(listed, name) {
			into[name] = append([]string(nil), values...)
		}
	}
}

// lists reports whether a Connection header names the given one.
func lists(listed []string, name string) bool {
	for _, list := range listed {
		for one := range strings.SplitSeq(list, ",") {
			if strings.EqualFold(strings.TrimSpace(one), name) {
				return true
			}
		}
	}
	return false
}

// StripInternalHeaders removes the headers that only daemons set, so that a caller or
// a backend server can't forge them.
func StripInternalHeaders(header http.Header) {
	for _, name := range internal {
		header.Del(name)
	}
}
