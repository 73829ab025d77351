package relay

import (
	"net/http"
	"testing"
)

// Guards against malformed internal headers that crash the process.
func FuzzHeaders(f *testing.F) {
	f.Add("3 1 18 150000 0 0 0 500", "depot=2", "700000", "27.6 1500000")
	f.Fuzz(func(t *testing.T, load, calls, left, limit string) {
		header := http.Header{headerLoad: {load}, headerCalls: {calls}, headerLeft: {left}, headerAim: {left}, headerRank: {left}, headerServer: {load}, headerLimit: {limit}, headerRetryAfter: {left}, headerOfRequest: {load}}
		// Errors are expected; only a panic fails the test.
		_, _ = parseLoad(load)
		_ = Calls(header)
		_, _ = readCall(header)
		if after := readRetryAfter(header); after < 0 || after > maxRetryAfter {
			t.Fatalf("retry after %v", after)
		}
		StripInternalHeaders(header)
	})
}
