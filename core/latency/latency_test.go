package latency

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against estimates that one slow response decides, that never follow a change,
// or that another route changes.
func TestMeanFollowsTheRoute(t *testing.T) {
	is := is.New(t)
	table := NewTable()
	is.Equal(table.Mean("orders"), time.Duration(0))
	table.Record("orders", 200*time.Millisecond)
	is.Equal(table.Mean("orders"), 200*time.Millisecond)
	table.Record("orders", time.Second)
	is.Equal(table.Mean("orders"), 300*time.Millisecond)
	for range 50 {
		table.Record("orders", time.Second)
	}
	is.True(table.Mean("orders") > 990*time.Millisecond)
	is.Equal(table.Mean("stock"), time.Duration(0))
}

// Guards against a table that grows with each route that a configuration ever had.
func TestTableIsBounded(t *testing.T) {
	table := NewTable()
	for i := range 3 * maxRoutes {
		table.Record(fmt.Sprint(i), time.Second)
	}
	is.New(t).True(len(table.means) <= maxRoutes)
}
