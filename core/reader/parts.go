package reader

import (
	"encoding/json"
	"slices"

	"marjoramsaddle/core/document"
	"marjoramsaddle/core/endpoint"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/kernel"
	"marjoramsaddle/core/manifest"
	"marjoramsaddle/core/snapshot"
)

// start collects the parts of another manifest. Parts that both manifests name
// are kept, the others are dropped to bound memory.
func (r *partRead) start(event kernel.ManifestRead, decoded *manifest.Manifest) {
	r.version = event.Index
	r.consistent = event.Consistent
	r.manifest = decoded
	r.delay.reset()
	clear(r.requested)
	kept := make(map[id.Digest][]byte, len(decoded.Parts))
	for _, part := range decoded.Parts {
		if data, ok := r.have[part.SHA256]; ok {
			kept[part.SHA256] = data
		}
	}
	r.have = kept
}

// missing returns the parts that have not arrived, in manifest order.
func (r *partRead) missing() []manifest.Part {
	var out []manifest.Part
	for _, part := range r.manifest.Parts {
		if _, ok := r.have[part.SHA256]; !ok {
			out = append(out, part)
		}
	}
	return out
}

func (r *partRead) wants(digest id.Digest) bool {
	for _, part := range r.missing() {
		if part.SHA256 == digest {
			return true
		}
	}
	return false
}

func (p *plugin) requestParts(out *kernel.Output) {
	for _, part := range p.parts.missing() {
		if p.parts.requested[part.SHA256] {
			continue
		}
		p.parts.requested[part.SHA256] = true
		out.Emit(kernel.ReadPart{Part: part})
	}
}

// retryParts requests all missing parts again, because a failed read does not
// name its part.
func (p *plugin) retryParts(at id.Instant) {
	clear(p.parts.requested)
	p.parts.delay.fail(at, p.random)
}

func (p *plugin) partRead(at id.Instant, event kernel.PartRead, out *kernel.Output) {
	if !p.active || p.parts.manifest == nil || !p.parts.wants(event.Digest) {
		return // The part belongs to a manifest that was replaced.
	}
	if id.DigestOf(event.Data) != event.Digest {
		out.Emit(kernel.Count{Name: CountPartMismatch})
		p.retryParts(at)
		return
	}
	p.parts.have[event.Digest] = event.Data
	p.assemble(out)
}

// assemble raises the version once all parts are there.
func (p *plugin) assemble(out *kernel.Output) {
	if len(p.parts.missing()) > 0 && !p.acceptPartial() {
		return
	}
	set, err := p.documents()
	p.parts.manifest = nil
	if err != nil {
		out.Raise(VersionRefused{Version: p.parts.version, Reason: err.Error()})
		return
	}
	out.Raise(VersionRead{Snapshot: snapshot.New(p.parts.version, set), Consistent: p.parts.consistent})
}

// acceptPartial reports whether the check that all parts are there is off.
func (p *plugin) acceptPartial() bool {
	return p.env.Options.AcceptPartial && len(p.parts.missing()) < len(p.parts.manifest.Parts)
}

// documents decodes the parts that are there. The options are baselines that
// show what the checks prevent.
func (p *plugin) documents() (*document.Set, error) {
	present := *p.parts.manifest
	present.Parts = slices.DeleteFunc(slices.Clone(present.Parts), func(part manifest.Part) bool {
		_, ok := p.parts.have[part.SHA256]
		return !ok
	})
	if p.env.Options.NoValidation {
		return present.AssembleUnvalidated(p.parts.have)
	}
	return present.Assemble(p.parts.have)
}

func (p *plugin) hostsRead(at id.Instant, event kernel.HostListRead, out *kernel.Output) {
	if !p.active {
		return
	}
	p.hosts.pending = false
	if event.Index < p.hosts.index {
		out.Emit(kernel.Count{Name: CountStaleIndex, Label: string(kernel.ReadKindHosts)})
		p.hosts.delay.fail(at, p.random)
		return
	}
	if event.Index == p.hosts.index && event.Index != 0 {
		p.hosts.delay.pace(at)
		return
	}
	var rows []HostRow
	if err := json.Unmarshal(event.Data, &rows); err != nil {
		out.Emit(kernel.Count{Name: CountReadFailed, Label: string(kernel.ReadKindHosts)})
		out.Emit(kernel.Log{Part: part, Text: "The host list is not valid: write a JSON array of hosts: " + err.Error()})
		p.hosts.delay.fail(at, p.random)
		return
	}
	p.hosts.index = event.Index
	p.hosts.delay.pace(at)
	entries := make([]endpoint.Entry, 0, len(rows))
	for _, row := range rows {
		entries = append(entries, row.entry())
	}
	out.Raise(kernel.HostsListed{Rows: entries})
}
