package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against queues that make every response late under overload.
func TestLongestWait(t *testing.T) {
	const ms = time.Millisecond
	tests := []struct {
		name string
		wait Wait
		want time.Duration
	}{
		{"first", Wait{Aim: 500 * ms, Left: 2000 * ms, Service: 100 * ms}, 160 * ms},
		{"slow server", Wait{Aim: 500 * ms, Left: 2000 * ms, Service: 600 * ms}, 500 * ms / 16},
		{"short deadline", Wait{Aim: 500 * ms, Left: 150 * ms, Service: 100 * ms}, 50 * ms},
		{"no time", Wait{Aim: 500 * ms, Left: 50 * ms, Service: 100 * ms}, 0},
		{"no aim", Wait{Left: 900 * ms, Service: 100 * ms}, 800 * ms},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := test.wait.Longest()
			is.New(t).True(got > test.want-ms && got < test.want+ms)
		})
	}
}
