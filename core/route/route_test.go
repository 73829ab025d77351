package route

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/matryer/is"

	"marjoramsaddle/core/id"
)

func configuration(routes ...Route) Configuration {
	return Configuration{
		Version: 7, Routes: routes,
		Services: map[id.Service]Service{"counter": {}, "depot": {}},
	}
}

// Guards against a request that matches a shorter prefix than it could, a route of
// another host, or a prefix that ends within a path segment.
func TestFind(t *testing.T) {
	part := []Part{{Service: "counter", Weight: 1}}
	table, err := NewTable(configuration(
		Route{Name: "root", Host: "a.example", Prefix: "/", Parts: part},
		Route{Name: "stock", Host: "a.example", Prefix: "/stock/", Parts: part},
		Route{Name: "nails", Host: "a.example", Prefix: "/stock/nails/", Parts: part},
		Route{Name: "other", Host: "b.example", Prefix: "/stock/", Parts: part},
	))
	is.New(t).NoErr(err)
	datadriven.RunTest(t, "testdata/find.txt", func(t *testing.T, d *datadriven.TestData) string {
		t.Helper()
		var host, path string
		d.ScanArgs(t, "host", &host)
		d.ScanArgs(t, "path", &path)
		active := table.Find(host, path)
		if active == nil {
			return "none\n"
		}
		return active.Name + "\n"
	})
}

// Guards against applying a configuration in part when one of its routes is invalid.
func TestNewTableRejectsInvalidRoutes(t *testing.T) {
	good := Route{Name: "r", Host: "a.example", Prefix: "/x/", Parts: []Part{{Service: "counter", Weight: 1}}}
	tests := map[string]func(*Route){
		"no host":         func(r *Route) { r.Host = "" },
		"open prefix":     func(r *Route) { r.Prefix = "/x" },
		"unknown service": func(r *Route) { r.Parts = []Part{{Service: "nobody", Weight: 1}} },
		"below zero":      func(r *Route) { r.Timeout = -time.Second },
		"no weight":       func(r *Route) { r.Parts = []Part{{Service: "counter"}} },
		"no parts":        func(r *Route) { r.Parts = nil },
	}
	for name, change := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			route := good
			change(&route)
			table, err := NewTable(configuration(good, route))
			is.True(err != nil)
			is.True(table == nil)
		})
	}
	_, err := NewTable(configuration(good))
	is.New(t).NoErr(err)
}

// Guards against a traffic split that deviates from its weights over a short time, as
// a random choice would.
func TestNextServiceFollowsWeights(t *testing.T) {
	is := is.New(t)
	table, err := NewTable(configuration(Route{Name: "r", Host: "a.example", Prefix: "/x/", Parts: []Part{
		{Service: "counter", Weight: 90}, {Service: "depot", Weight: 10},
	}}))
	is.NoErr(err)
	active := table.Find("a.example", "/x/1")
	counts := map[id.Service]int{}
	for sent := 1; sent <= 200; sent++ {
		counts[active.NextService()]++
		off := counts["depot"] - (sent*10+50)/100
		if off < -1 || off > 1 {
			t.Fatalf("after %d requests depot has %d", sent, counts["depot"])
		}
	}
	is.Equal(fmt.Sprint(counts), "map[counter:180 depot:20]")
}
