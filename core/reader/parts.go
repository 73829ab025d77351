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

// start begins to collect the parts of a manifest. Parts received for the previous
// manifest are reused if the new one names them, and dropped otherwise to bound
// memory.
func (r *partsState) start(event kernel.ManifestRead, decoded *manifest.Manifest) {
	r.version = event.Index
	r.consistent = event.Consistent
	r.manifest = decoded
	r.delay.reset()
	clear(r.requested)
	kept := make(map[id.Digest][]byte, len(decoded.Parts))
	for _, part := range decoded.Parts {
		if data, ok := r.received[part.SHA256]; ok {
			kept[part.SHA256] = data
		}
	}
	r.received = kept
}

// missing returns the parts that have not arrived, in manifest order.
func (r *partsState) missing() []manifest.Part {
	var out []manifest.Part
	for _, part := range r.manifest.Parts {
		if _, ok := r.received[part.SHA256]; !ok {
			out = append(out, part)
		}
	}
	return out
}

func (r *partsState) needs(digest id.Digest) bool {
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

// retryParts schedules another request for all missing parts, because a failed read
// does not name its part.
func (p *plugin) retryParts(at id.Instant) {
	clear(p.parts.requested)
	p.parts.delay.fail(at, p.random)
}

func (p *plugin) handlePart(at id.Instant, event kernel.PartRead, out *kernel.Output) {
	if !p.active || p.parts.manifest == nil || !p.parts.needs(event.Digest) {
		return // The part belongs to a manifest that has been replaced.
	}
	if id.DigestOf(event.Data) != event.Digest {
		out.Emit(kernel.Count{Name: CountPartMismatch})
		p.retryParts(at)
		return
	}
	p.parts.received[event.Digest] = event.Data
	p.assemble(out)
}

// assemble raises the version once all parts have arrived.
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

// acceptPartial reports whether the option AcceptPartial permits a version with
// missing parts. At least one part must have arrived.
func (p *plugin) acceptPartial() bool {
	return p.env.Options.AcceptPartial && len(p.parts.missing()) < len(p.parts.manifest.Parts)
}

// documents decodes and validates the parts that have arrived. Options switch the
// checks off as a baseline for tests of what the checks prevent.
func (p *plugin) documents() (*document.Set, error) {
	present := *p.parts.manifest
	present.Parts = slices.DeleteFunc(slices.Clone(present.Parts), func(part manifest.Part) bool {
		_, ok := p.parts.received[part.SHA256]
		return !ok
	})
	if p.env.Options.NoValidation {
		return present.AssembleUnvalidated(p.parts.received)
	}
	return present.Assemble(p.parts.received)
}

func (p *plugin) handleHosts(at id.Instant, event kernel.HostListRead, out *kernel.Output) {
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
		p.hosts.delay.throttle(at)
		return
	}
	var rows []HostRow
	if err := json.Unmarshal(event.Data, &rows); err != nil {
		out.Emit(kernel.Count{Name: CountReadFailed, Label: string(kernel.ReadKindHosts)})
		out.Emit(kernel.Log{Part: component, Text: "The host list is not valid: write a JSON array of hosts: " + err.Error()})
		p.hosts.delay.fail(at, p.random)
		return
	}
	p.hosts.index = event.Index
	p.hosts.delay.throttle(at)
	entries := make([]endpoint.Entry, 0, len(rows))
	for _, row := range rows {
		entries = append(entries, row.entry())
	}
	out.Raise(kernel.HostsListed{Rows: entries})
}
