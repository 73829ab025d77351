package capacity

import (
	"encoding/xml"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"

	"marjoramsaddle/core/endpoint"
	"marjoramsaddle/core/id"
	"marjoramsaddle/core/snapshot"
)

// Guards against slopes that hide a curve: a line must fit exactly, and a
// square must leave a residual.
func TestFit(t *testing.T) {
	is := is.New(t)
	x := []float64{1, 2, 4}
	is.Equal(fit(x, []float64{5, 7, 11}), Line{Base: 3, Slope: 2})
	is.True(fit(x, []float64{1, 4, 16}).Residual > 0.05)
	is.Equal(figureOf([]float64{3, 1, 2, 9}), Figure{Median: 2.5, Min: 1, Max: 9})
}

// Guards against a generated fleet that differs between rounds, or whose
// changes change nothing: the figures would not be comparable.
func TestWorldIsFixedBySeed(t *testing.T) {
	is := is.New(t)
	size := Size{Endpoints: 240, Services: 20}
	first, err := newWorld(size, 7)
	is.NoErr(err)
	second, err := newWorld(size, 7)
	is.NoErr(err)
	before := first.current
	for range 5 {
		a, err := first.change()
		is.NoErr(err)
		b, err := second.change()
		is.NoErr(err)
		is.Equal(a.Digest, b.Digest)
	}
	changed, removed := snapshot.ChangedKeys(before, first.current)
	is.True(len(changed) > 0)
	is.Equal(len(removed), 0)
	is.Equal(len(first.current.View(first.hosts[0]).DanglingRoutes()), 0)
	entry := first.churn(map[id.Host]bool{})
	is.Equal(entry.State, endpoint.Leaving)
	is.Equal(first.table.Len(), size.Endpoints)
}

// Guards against plots that viewers refuse.
func TestPlotIsXML(t *testing.T) {
	is := is.New(t)
	figures := map[string]Figure{"a": {Median: 2, Min: 1, Max: 3}}
	report := Report{Rounds: 1, Sizes: []Result{{Size{600, 100}, figures}, {Size{1800, 310}, figures}}}
	decoder := xml.NewDecoder(strings.NewReader(string(plot{"f", "t", "u", []string{"a"}}.draw(report))))
	circles := 0
	for {
		token, err := decoder.Token()
		if errors.Is(err, io.EOF) {
			break
		}
		is.NoErr(err)
		if start, ok := token.(xml.StartElement); ok && start.Name.Local == "circle" {
			circles++
		}
	}
	is.Equal(circles, 2)
}

// BenchmarkSteps takes the steps of a change at the target size.
func BenchmarkSteps(b *testing.B) {
	m, err := newMaterial(Size{Endpoints: 5400, Services: 930}, 1)
	if err != nil {
		b.Fatal(err)
	}
	for _, step := range m.steps() {
		b.Run(step.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if err := step.run(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
