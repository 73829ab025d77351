package record

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"marjoramsaddle/bench/fleet"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/manifest"
	"marjoramsaddle/core/snapshot"
	"marjoramsaddle/core/trace"
)

// operator publishes configurations as an operator's tool does. Each version
// adds a part to the one before, so that a reader that holds a version also
// holds all parts of the operator's older ones.
type operator struct {
	address string
	name    string
	parts   [][]byte
	changes int
}

func newOperator(address, name string, layout *fleet.Layout) *operator {
	services := make([]string, 0, len(layout.Services))
	proxies := make([]string, 0, len(layout.Hosts))
	for _, service := range layout.Services {
		services = append(services, fmt.Sprintf(`{"kind":"service","name":%q,"slots":%d,"connections":%d}`,
			service.Name, service.Slots, service.Connections))
	}
	for _, host := range layout.Hosts {
		proxies = append(proxies, fmt.Sprintf(`{"kind":"proxy","name":%q,"labels":{"failure_domain":%q}}`, host.Name, host.Domain))
	}
	return &operator{address: address, name: name, parts: [][]byte{array(services...), array(proxies...)}}
}

func array(documents ...string) []byte { return []byte("[" + strings.Join(documents, ",") + "]") }

// route returns a part with one route.
func route(name, service string, timeoutMS int) []byte {
	return array(fmt.Sprintf(`{"kind":"configuration","name":%q,"routes":[{"name":%q,"path_prefix":%q,`+
		`"service":%q,"timeout_ms":%d,"class":"lookup"}]}`, name, name, "/"+name, service, timeoutMS))
}

// change returns the next part of this operator.
func (o *operator) change(service string) []byte {
	o.changes++
	return route(fmt.Sprintf("%s-%d", o.name, o.changes), service, 1000+o.changes)
}

// manifestOf returns the manifest of parts.
func manifestOf(format int, parts [][]byte) manifest.Manifest {
	m := manifest.Manifest{Format: format, Author: "marjoramsaddle-bench"}
	for _, part := range parts {
		m.Parts = append(m.Parts, manifest.Part{SHA256: id.DigestOf(part), Bytes: len(part)})
	}
	return m
}

// writeParts writes each part under its hash.
func (o *operator) writeParts(ctx context.Context, parts ...[]byte) error {
	for _, part := range parts {
		key := manifest.Part{SHA256: id.DigestOf(part)}.Key()
		if _, err := o.put(ctx, key, part); err != nil {
			return err
		}
	}
	return nil
}

// writeManifest writes a manifest with compare-and-set and returns its version.
// Another operator's write in between makes it try again.
func (o *operator) writeManifest(ctx context.Context, m manifest.Manifest) (id.Version, error) {
	data, err := json.Marshal(m)
	if err != nil {
		return 0, err
	}
	for {
		index, err := o.index(ctx)
		if err != nil {
			return 0, err
		}
		written, err := o.put(ctx, manifest.Key+"?cas="+strconv.FormatUint(index, 10), data)
		if err != nil {
			return 0, err
		}
		if written {
			return o.versionOf(ctx, data)
		}
	}
}

// versionOf returns the index of the manifest just written, or zero when
// another operator has replaced it already.
func (o *operator) versionOf(ctx context.Context, data []byte) (id.Version, error) {
	body, index, err := o.do(ctx, http.MethodGet, manifest.Key+"?consistent&raw", nil)
	if err != nil || !bytes.Equal(body, data) {
		return 0, err
	}
	return id.Version(index), nil
}

func (o *operator) index(ctx context.Context) (uint64, error) {
	body, index, err := o.do(ctx, http.MethodGet, manifest.Key+"?consistent&raw", nil)
	if len(body) == 0 {
		index = 0 // The index of a missing key is that of the platform.
	}
	return index, err
}

func (o *operator) put(ctx context.Context, key string, data []byte) (bool, error) {
	body, _, err := o.do(ctx, http.MethodPut, key, data)
	return strings.TrimSpace(string(body)) == "true", err
}

func (o *operator) do(ctx context.Context, method, key string, data []byte) ([]byte, uint64, error) {
	url := "http://" + o.address + "/v1/kv/" + key
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return nil, 0, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, 0, fmt.Errorf("%s %s: %w", method, key, err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, 0, err
	}
	if response.StatusCode != http.StatusOK && response.StatusCode != http.StatusNotFound {
		return nil, 0, fmt.Errorf("%s %s: platform answers %s", method, key, response.Status)
	}
	index, _ := strconv.ParseUint(response.Header.Get("X-Consul-Index"), 10, 64)
	return body, index, nil
}

// publish publishes a good version.
func (r *run) publish(ctx context.Context, o *operator) (id.Version, error) {
	parts := append(o.parts[:len(o.parts):len(o.parts)], o.change("counter"))
	if err := o.writeParts(ctx, parts...); err != nil {
		return 0, err
	}
	version, err := o.writeManifest(ctx, manifestOf(manifest.Format, parts))
	if err != nil {
		return 0, err
	}
	o.parts = parts
	return version, r.allow(version, parts)
}

// allow records a good version with the hash of its content.
func (r *run) allow(version id.Version, parts [][]byte) error {
	m := manifestOf(manifest.Format, parts)
	data := map[id.Digest][]byte{}
	for _, part := range parts {
		data[id.DigestOf(part)] = part
	}
	set, err := m.Assemble(data)
	if err != nil {
		return err
	}
	r.good = append(r.good, trace.Allowed{Version: version, Digest: snapshot.New(version, set).Digest})
	r.step("good version %d accepted", version)
	return nil
}
