package capacity

import (
	"encoding/json"
	"runtime"
	"time"

	"marjoramsaddle/core/document"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/manifest"
	"marjoramsaddle/core/snapshot"
	"marjoramsaddle/core/topology"
)

// pureTime is how long each pure step is repeated.
const pureTime = 150 * time.Millisecond

// measurePure takes the steps of a change one by one, in this process and
// with nothing else running in it. The garbage collector's time counts.
func measurePure(size Size, seed uint64) (sample, error) {
	m, err := newMaterial(size, seed)
	if err != nil {
		return nil, err
	}
	result := sample{"full_payload_bytes": float64(len(m.full.Payload)), "documents_bytes": float64(len(m.data))}
	for _, each := range m.steps() {
		if result["pure_"+each.name+"_ms"], err = repeat(each.run); err != nil {
			return nil, err
		}
	}
	result["set_heap_mb"], err = heapOf(m.data)
	return result, err
}

// material is one change of a generated fleet.
type material struct {
	world        *world
	before, next *snapshot.Snapshot
	delta, full  snapshot.Delta
	// data holds all documents as the platform does.
	data []byte
	// whole and parts are its publication.
	whole *manifest.Manifest
	parts map[id.Digest][]byte
}

func newMaterial(size Size, seed uint64) (*material, error) {
	w, err := newWorld(size, seed)
	if err != nil {
		return nil, err
	}
	m := &material{world: w, before: w.current}
	if m.next, err = w.change(); err != nil {
		return nil, err
	}
	if m.delta, err = snapshot.NewDelta(m.before, m.next); err != nil {
		return nil, err
	}
	if m.full, err = snapshot.NewDelta(nil, m.next); err != nil {
		return nil, err
	}
	if m.data, err = json.Marshal(w.documents()); err != nil {
		return nil, err
	}
	m.whole, m.parts, err = publication(w.documents())
	return m, err
}

type pureStep struct {
	name string
	run  func() error
}

func (m *material) steps() []pureStep {
	host := m.world.hosts[0]
	return []pureStep{
		{"apply_delta", func() error { _, err := m.delta.Apply(m.before); return err }},
		{"apply_full", func() error { _, err := m.full.Apply(nil); return err }},
		{"validate", func() error { return m.next.Documents().Validate() }},
		{"digest", func() error { snapshot.New(m.next.Version, m.next.Documents()); return nil }},
		{"view", func() error { m.next.View(host); return nil }},
		{"encode_delta", func() error { _, err := snapshot.NewDelta(m.before, m.next); return err }},
		{"encode_full", func() error { _, err := snapshot.NewDelta(nil, m.next); return err }},
		{"decode_documents", func() error { return document.NewSet().Add("generated", m.data) }},
		{"assemble", func() error { _, err := m.whole.Assemble(m.parts); return err }},
		{"topology", func() error { topology.Compute(m.world.table, host); return nil }},
	}
}

// repeat returns the CPU time of one run in milliseconds.
func repeat(run func() error) (float64, error) {
	runtime.GC()
	began, cpu := time.Now(), ownCPU()
	count := 0
	for count == 0 || time.Since(began) < pureTime {
		if err := run(); err != nil {
			return 0, err
		}
		count++
	}
	return milliseconds(ownCPU()-cpu) / float64(count), nil
}

// heapOf returns the live heap of one decoded set.
func heapOf(data []byte) (float64, error) {
	before := liveHeap()
	set := document.NewSet()
	if err := set.Add("generated", data); err != nil {
		return 0, err
	}
	after := liveHeap()
	runtime.KeepAlive(set)
	return float64(after-before) / bytesPerMB, nil
}

func liveHeap() int64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc + stats.StackInuse)
}
