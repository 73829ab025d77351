package sidecar

import (
	"testing"

	"github.com/matryer/is"

	"marjoramsaddle/platform"
)

// Guards against limits that do not follow from the settings, or that bound the
// connections of deployments whose settings have no limit.
func TestMemoryLimits(t *testing.T) {
	for _, test := range []struct {
		name          string
		memoryMB      int64
		descriptors   int
		held          int64
		clients, hops int
	}{
		{"small host", 184, 4100, 46 << 20, 942, 471},
		{"large host", 536, 8192, 134 << 20, 2744, 1198},
		{"few descriptors", 536, 1000, 134 << 20, 400, 120},
		{"no limits", 0, 0, 32 << 20, 0, 0},
		{"no limit of memory", 0, 4100, 32 << 20, 1950, 585},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			settings := &platform.Settings{MemoryBytes: test.memoryMB << 20, Descriptors: test.descriptors}
			is.Equal(newAccount(settings).Limit(), test.held)
			is.Equal(maxConnections(settings, callerDescriptorShare, callerMemoryShare), test.clients)
			is.Equal(maxConnections(settings, hopDescriptorShare, hopMemoryShare), test.hops)
		})
	}
}
