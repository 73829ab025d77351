package fleet_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"marjoramsaddle/bench/fleet"
	"marjoramsaddle/core/document"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/manifest"
	"marjoramsaddle/standin/authority"
	"marjoramsaddle/standin/platform"
)

// Guards against fleets with duplicate ports or names, a failure domain or service
// without hosts, or a host that is its own seed.
func TestLayoutIsValid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		operator := rapid.SampledFrom([]fleet.Operator{fleet.Clouterie, fleet.Kumtasi}).Draw(t, "operator")
		layout, err := fleet.New(fleet.Options{
			Daemons:   rapid.IntRange(2, 400).Draw(t, "daemons"),
			Operator:  operator,
			FirstPort: 23_000,
		})
		if err != nil {
			t.Fatal(err)
		}
		seen := map[any]bool{}
		services, domains := map[id.Service]int{}, map[id.Domain]int{}
		for i, host := range layout.Hosts {
			for _, key := range []any{host.Name, host.Caller, host.Control, host.Operator, host.Backend, host.BackendControl} {
				if seen[key] {
					t.Fatalf("%v is used twice", key)
				}
				seen[key] = true
			}
			services[host.Service.Name]++
			domains[host.Domain]++
			for _, seed := range layout.Seeds(i) {
				if seed.Name == host.Name {
					t.Fatalf("%s is its own seed", host.Name)
				}
			}
		}
		if len(services) != 2 || len(domains) != min(3, len(layout.Hosts)) {
			t.Fatalf("services %v, domains %v", services, domains)
		}
	})
	_, err := fleet.New(fleet.Options{Daemons: 1, Operator: fleet.Clouterie, FirstPort: 23_000})
	is.New(t).True(err != nil)
	_, err = fleet.New(fleet.Options{Daemons: 13, Operator: fleet.Clouterie, FirstPort: 65_500})
	is.New(t).True(err != nil)
}

// Guards against service shares other than the numbers of backend servers that the
// operators run.
func TestServiceShares(t *testing.T) {
	is := is.New(t)
	layout, err := fleet.New(fleet.Options{Daemons: 13, Operator: fleet.Kumtasi, FirstPort: 23_000})
	is.NoErr(err)
	services := map[id.Service]int{}
	for _, host := range layout.Hosts {
		services[host.Service.Name]++
	}
	is.Equal(services, map[id.Service]int{"storefront": 10, "warehouse": 3})
}

// Guards against configurations that a daemon rejects, changes without effect, and a
// publisher that writes without having read the current index.
func TestPublishedConfigurationsAreValid(t *testing.T) {
	is := is.New(t)
	server, err := platform.Start(platform.Options{})
	is.NoErr(err)
	defer func() { is.NoErr(server.Close()) }()
	layout, err := fleet.New(fleet.Options{Daemons: 4000, Operator: fleet.Clouterie, FirstPort: 23_000})
	is.NoErr(err)
	publisher := fleet.NewPublisher(server.Address(), layout, 7)
	ctx := context.Background()
	is.NoErr(publisher.PublishHosts(ctx))
	var last id.Version
	seen := map[string]bool{}
	for range 5 {
		version, err := publisher.Publish(ctx)
		is.NoErr(err)
		is.True(version > last)
		last = version
		set := assemble(is, server.Address())
		is.Equal(len(set.Proxies), 4000)
		is.Equal(len(set.Services), 2)
		content := fmt.Sprintf("%s", set.Canonical)
		is.True(!seen[content])
		seen[content] = true
		publisher.ChangeDocument()
	}
	other := fleet.NewPublisher(server.Address(), layout, 7)
	_, err = other.Publish(ctx)
	is.True(err != nil) // compare-and-set rejects a publisher that has not read the index
}

func assemble(is *is.I, address string) *document.Set {
	is.Helper()
	m, err := manifest.Decode(read(is, address, manifest.Key))
	is.NoErr(err)
	is.True(len(m.Parts) > 1)
	parts := map[id.Digest][]byte{}
	for _, part := range m.Parts {
		parts[part.SHA256] = read(is, address, part.Key())
	}
	set, err := m.Assemble(parts)
	is.NoErr(err)
	return set
}

func read(is *is.I, address, key string) []byte {
	is.Helper()
	response, err := http.Get("http://" + address + "/v1/kv/" + key + "?raw")
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	is.NoErr(err)
	return data
}

// Guards against host folders that lack files named in the daemon's settings.
func TestWriteCreatesEachHostsFiles(t *testing.T) {
	is := is.New(t)
	layout, err := fleet.New(fleet.Options{Daemons: 6, Operator: fleet.Clouterie, FirstPort: 23_000})
	is.NoErr(err)
	issuer, err := authority.New()
	is.NoErr(err)
	dir := t.TempDir()
	type settings struct {
		Host  id.Host          `json:"host"`
		Seeds []netip.AddrPort `json:"seeds"`
	}
	err = layout.Write(dir, issuer, func(host fleet.Host, seeds []fleet.Host, _ fleet.Files) any {
		written := settings{Host: host.Name}
		for _, seed := range seeds {
			written.Seeds = append(written.Seeds, seed.Control)
		}
		return written
	})
	is.NoErr(err)
	for _, host := range layout.Hosts {
		files := fleet.FilesOf(dir, host)
		for _, path := range []string{files.Root, files.Certificate, files.Key} {
			_, err := os.Stat(path)
			is.NoErr(err)
		}
		data, err := os.ReadFile(files.Settings)
		is.NoErr(err)
		var written settings
		is.NoErr(json.Unmarshal(data, &written))
		is.Equal(written.Host, host.Name)
		is.Equal(len(written.Seeds), 3)
	}
}
