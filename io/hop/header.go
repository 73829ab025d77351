package hop

import (
	"net/http"
	"slices"
	"strings"
)

// hopByHop lists the headers that apply to a single connection and must not be
// forwarded (RFC 9110, section 7.6.1).
var hopByHop = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// internalHeaders lists the headers that only daemons may set.
var internalHeaders = []string{
	HeaderDeadline, HeaderCallID, HeaderDepth, HeaderRetry, HeaderService,
	HeaderClass, HeaderQueueMS, HeaderIdempotent, HeaderOutcome, HeaderReason,
	HeaderReplayed,
}

// CopyEndToEndHeaders copies all headers of src to dst except the hop-by-hop ones
// and those that src's Connection header lists.
func CopyEndToEndHeaders(dst, src http.Header) {
	connectionHeaders := src.Values("Connection")
	for name, values := range src {
		if !slices.Contains(hopByHop, name) && !listsHeader(connectionHeaders, name) {
			dst[name] = append([]string(nil), values...)
		}
	}
}

// listsHeader reports whether one of the Connection headers lists the named header.
func listsHeader(connectionHeaders []string, name string) bool {
	for _, list := range connectionHeaders {
		for one := range strings.SplitSeq(list, ",") {
			if strings.EqualFold(strings.TrimSpace(one), name) {
				return true
			}
		}
	}
	return false
}

// StripInternalHeaders removes the headers that only daemons may set, so that a
// caller or a backend server can't forge them.
func StripInternalHeaders(header http.Header) {
	for _, name := range internalHeaders {
		header.Del(name)
	}
}
