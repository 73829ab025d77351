package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"marjoramsaddle/core/id"
	"marjoramsaddle/core/manifest"
	"marjoramsaddle/core/snapshot"
)

const (
	randomStream   = 0x70756273
	publishTimeout = 10 * time.Second
	hostStateLive  = "live"
)

// ErrConflict reports a failed compare-and-set.
var ErrConflict = errors.New("modified by another operator; read it and publish again")

// HostEntry is one host in the platform's host list of a failure domain.
type HostEntry struct {
	Host  id.Host `json:"host"`
	State string  `json:"state"`
}

// Publisher writes a fleet's configurations and host lists to the platform, like an
// operator's tool. It is not safe for concurrent use.
type Publisher struct {
	address      string
	layout       *Layout
	documents    []any
	random       *rand.Rand
	client       *http.Client
	index        uint64
	writtenParts map[id.Digest]bool
}

// NewPublisher returns a publisher whose sequence of changes depends only on the seed
// and the layout.
func NewPublisher(address string, layout *Layout, seed uint64) *Publisher {
	return &Publisher{
		address:      address,
		layout:       layout,
		documents:    layout.documents(),
		random:       rand.New(rand.NewPCG(seed, randomStream)),
		client:       &http.Client{Timeout: publishTimeout},
		writtenParts: map[id.Digest]bool{},
	}
}

// ChangeDocument changes one document at random for the next Publish.
func (p *Publisher) ChangeDocument() { p.layout.replacePolicy(p.documents, p.random) }

// Publication is a version that the platform accepted.
type Publication struct {
	Version id.Version
	// Accepted is the time just before the manifest was written.
	Accepted id.Instant
	Snapshot *snapshot.Snapshot
}

// Publish writes the parts and then, with compare-and-set, the manifest. It returns the
// version that the platform assigned.
func (p *Publisher) Publish(ctx context.Context) (id.Version, error) {
	publication, err := p.PublishSnapshot(ctx)
	return publication.Version, err
}

// PublishSnapshot is like Publish and also returns the published content.
func (p *Publisher) PublishSnapshot(ctx context.Context) (Publication, error) {
	m, parts, err := p.writeParts(ctx, p.documents)
	if err != nil {
		return Publication{}, err
	}
	set, err := m.Assemble(parts)
	if err != nil {
		return Publication{}, fmt.Errorf("check documents: %w", err)
	}
	accepted := id.InstantOf(time.Now())
	version, err := p.writeManifest(ctx, m)
	if err != nil {
		return Publication{}, err
	}
	return Publication{Version: version, Accepted: accepted, Snapshot: snapshot.New(version, set)}, nil
}

// PublishInvalid publishes and returns a version with a route to a missing service,
// which daemons must reject.
func (p *Publisher) PublishInvalid(ctx context.Context) (id.Version, error) {
	broken := p.layout.routes()
	broken.Name = "broken"
	broken.Routes = broken.Routes[:1]
	broken.Routes[0].Service = "missing"
	m, _, err := p.writeParts(ctx, append(slices.Clone(p.documents), broken))
	if err != nil {
		return 0, err
	}
	return p.writeManifest(ctx, m)
}

// RefreshIndex reads the manifest's index for the next compare-and-set, which an
// operator does after another one has published.
func (p *Publisher) RefreshIndex(ctx context.Context) error {
	var err error
	p.index, err = p.modifyIndex(ctx, manifest.Key)
	return err
}

func (p *Publisher) writeParts(ctx context.Context, documents []any) (manifest.Manifest, map[id.Digest][]byte, error) {
	m := manifest.Manifest{Format: manifest.Format, Author: "marjoramsaddle-bench"}
	split, err := split(documents)
	if err != nil {
		return m, nil, err
	}
	parts := make(map[id.Digest][]byte, len(split))
	for _, part := range split {
		m.Parts = append(m.Parts, part.Part)
		parts[part.SHA256] = part.data
		if err := p.writePart(ctx, part); err != nil {
			return m, nil, err
		}
	}
	return m, parts, nil
}

func (p *Publisher) writeManifest(ctx context.Context, m manifest.Manifest) (id.Version, error) {
	data, err := json.Marshal(m)
	if err != nil {
		return 0, fmt.Errorf("encode manifest: %w", err)
	}
	if err := p.put(ctx, fmt.Sprintf("%s?cas=%d", manifest.Key, p.index), data); err != nil {
		return 0, err
	}
	err = p.RefreshIndex(ctx)
	return id.Version(p.index), err
}

func (p *Publisher) writePart(ctx context.Context, part part) error {
	if p.writtenParts[part.SHA256] {
		return nil
	}
	if err := p.put(ctx, part.Key(), part.data); err != nil {
		return err
	}
	p.writtenParts[part.SHA256] = true
	return nil
}

// PublishHosts writes the host list of each failure domain.
func (p *Publisher) PublishHosts(ctx context.Context) error {
	for _, domain := range p.layout.Domains {
		hosts := p.layout.HostsInDomain(domain)
		entries := make([]HostEntry, 0, len(hosts))
		for _, host := range hosts {
			entries = append(entries, HostEntry{Host: host.Name, State: hostStateLive})
		}
		data, err := json.Marshal(entries)
		if err != nil {
			return fmt.Errorf("encode host list: %w", err)
		}
		if err := p.put(ctx, manifest.HostPrefix+string(domain), data); err != nil {
			return err
		}
	}
	return nil
}

func (p *Publisher) put(ctx context.Context, key string, data []byte) error {
	body, _, err := p.sendRequest(ctx, http.MethodPut, key, data)
	if err != nil {
		return err
	}
	if strings.TrimSpace(string(body)) != "true" {
		return fmt.Errorf("write %s: %w", key, ErrConflict)
	}
	return nil
}

func (p *Publisher) modifyIndex(ctx context.Context, key string) (uint64, error) {
	_, header, err := p.sendRequest(ctx, http.MethodGet, key+"?consistent", nil)
	if err != nil {
		return 0, err
	}
	return strconv.ParseUint(header.Get("X-Consul-Index"), 10, 64)
}

func (p *Publisher) sendRequest(ctx context.Context, method, key string, data []byte) ([]byte, http.Header, error) {
	url := "http://" + p.address + "/v1/kv/" + key
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return nil, nil, err
	}
	response, err := p.client.Do(request)
	if err != nil {
		return nil, nil, fmt.Errorf("%s %s: %w", method, key, err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, nil, fmt.Errorf("%s %s: %w", method, key, err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, nil, fmt.Errorf("%s %s: platform answers %s", method, key, response.Status)
	}
	return body, response.Header, nil
}
