package capacity_test

import (
	"bytes"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"ibiswinch/capacity"
)

const (
	pageFile  = "../docs/CAPACITY.md"
	benchFile = "../docs/capacity/bench.txt"
)

// TestCountsMatchBenchFile guards against stored benchmark output whose bytes per item are no longer those of the
// code.
func TestCountsMatchBenchFile(t *testing.T) {
	c := qt.New(t)
	data, err := os.ReadFile(benchFile)
	c.Assert(err, qt.IsNil)
	series, err := capacity.ReadBenchOutput(bytes.NewReader(data))
	c.Assert(err, qt.IsNil)
	for _, counted := range byteCounts {
		for _, n := range counted.sizes {
			c.Check(benchmarkedBytes(series, counted.kind, float64(n)), qt.Equals, float64(counted.bytes(n)),
				qt.Commentf("%s of %d items: run the benchmarks again to renew %s", counted.kind, n, benchFile))
		}
	}
}

func benchmarkedBytes(series []capacity.Series, kind string, items float64) float64 {
	for _, s := range series {
		for _, p := range s.Points {
			if s.Kind == kind && s.Metric == capacity.MetricBytes && p.Items == items {
				return p.Value
			}
		}
	}
	return -1
}

// TestPageIsCurrent guards against tables that differ from those computed from the committed benchmark output. It
// repeats the computation to find a dependence on a random order of iteration.
func TestPageIsCurrent(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile(pageFile)
	c.Assert(err, qt.IsNil)
	data, err := os.ReadFile(benchFile)
	c.Assert(err, qt.IsNil)
	for range 3 {
		generated, err := capacity.GeneratePage(string(page), bytes.NewReader(data))
		c.Assert(err, qt.IsNil)
		c.Assert(generated == string(page), qt.IsTrue, qt.Commentf("run go run ./cmd/capacity"))
		c.Assert(strings.Contains(generated, "?"), qt.IsFalse, qt.Commentf("a kind of the model has no benchmark"))
	}
}

// TestUnusableOutput guards against a page generated from output with too few sizes for a fit, and against a page
// without markers.
func TestUnusableOutput(t *testing.T) {
	c := qt.New(t)
	_, err := capacity.GeneratePage("", strings.NewReader("BenchmarkCount/kind=x/items=1-8 1 5 bytes\n"))
	c.Assert(err, qt.ErrorIs, capacity.ErrBenchOutput)
	_, err = capacity.GeneratePage("no markers", strings.NewReader(""))
	c.Assert(err, qt.IsNotNil)
}
