package sidecar

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"marjoramsaddle/core/id"
	"marjoramsaddle/core/mirror"
	"marjoramsaddle/core/placement"
	"marjoramsaddle/platform"
	"marjoramsaddle/platform/platformtest"
)

// Guards against a daemon that reports itself ready and accepts requests with a
// configuration but without the backend servers of the same listing: on a busy host
// it responded with 503.
func TestServersAreAppliedBeforeConfiguration(t *testing.T) {
	is := is.New(t)
	d, err := New(platform.Settings{
		Host: "h", Domain: "reduit", IP: "127.0.0.1", Service: "counter", HopAddress: "127.0.0.1:1", ControlAddress: "127.0.0.1:2",
		BackendAddress: "127.0.0.1:3", StopGrace: time.Second,
	}, 0, zap.NewNop())
	is.NoErr(err)
	encode := func(value any) []byte {
		data, err := json.Marshal(value)
		is.NoErr(err)
		return data
	}
	route := platformtest.Route("stock", "/stock/", "safe", "counter", time.Second, 2)
	const servers = 2000
	items := make([]mirror.Item, 0, servers+1)
	items = append(items, mirror.Item{
		Key: platformtest.ConfigurationKey, Revision: 1,
		Value: encode(platformtest.Configuration("r1", []string{"counter"}, route)),
	})
	for i := range servers {
		listed := platformtest.Backend{Name: fmt.Sprint("i-", i), Service: "counter", Address: fmt.Sprintf("127.0.%d.%d:3", i/200, i%200+1)}
		items = append(items, mirror.Item{
			Key: platformtest.ServerPrefix + listed.Name, Revision: mirror.Revision(i + 2), Value: encode(listed.Entry("reduit", "ready", 4)),
		})
	}
	found := make(chan bool, 1)
	go func() {
		for d.table.Load() == nil {
			time.Sleep(10 * time.Microsecond)
		}
		_, known := d.chooser.Choose(placement.Request{Service: "counter", Now: id.Instant(time.Hour)})
		found <- known
	}()
	d.storeState.apply(items)
	is.True(<-found)
}
