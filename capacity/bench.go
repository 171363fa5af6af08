package capacity

import (
	"bufio"
	"cmp"
	"io"
	"math"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

// ErrBenchOutput is returned for benchmark output from which the page can't be generated. Compare it with eris.Is.
var ErrBenchOutput = eris.New("unusable benchmark output")

// Metric is the unit under which a benchmark of this package reports a value.
type Metric string

// Metrics that the page uses.
const (
	// MetricBytes counts encoded bytes. It depends on the code only, not on the machine.
	MetricBytes Metric = "bytes"
	// MetricHeap is the live heap of a state.
	MetricHeap Metric = "heapbytes"
	// MetricCPU is processor time in nanoseconds.
	MetricCPU Metric = "cpu-ns/op"
	// MetricAllocs counts allocations.
	MetricAllocs Metric = "allocs/op"
)

// Series holds the values of one metric of one benchmark kind at several sizes.
type Series struct {
	Benchmark string
	Kind      string
	Metric    Metric
	Points    []Point
}

// Point is the mean of the runs at one size.
type Point struct {
	Items float64
	Value float64
	runs  float64
}

var benchLine = regexp.MustCompile(`^Benchmark(\w+)/kind=(\w+)/items=(\d+)(?:-\d+)?\s+\d+\s+(.*)$`)

// ReadBenchOutput reads the output of go test -bench. Lines of other benchmarks are skipped.
func ReadBenchOutput(r io.Reader) ([]Series, error) {
	var all []Series
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		m := benchLine.FindStringSubmatch(scanner.Text())
		if m == nil {
			continue
		}
		items, err := strconv.ParseFloat(m[3], 64)
		if err != nil {
			return nil, eris.Wrapf(ErrBenchOutput, "parse size in line %q", scanner.Text())
		}
		fields := strings.Fields(m[4])
		for i := 0; i+1 < len(fields); i += 2 {
			value, err := strconv.ParseFloat(fields[i], 64)
			if err != nil {
				return nil, eris.Wrapf(ErrBenchOutput, "parse value in line %q", scanner.Text())
			}
			all = addPoint(all, Series{Benchmark: m[1], Kind: m[2], Metric: Metric(fields[i+1])}, items, value)
		}
	}
	return all, eris.Wrap(scanner.Err(), "read benchmark output")
}

func addPoint(all []Series, s Series, items, value float64) []Series {
	switch s.Metric {
	case MetricBytes, MetricHeap, MetricCPU, MetricAllocs:
	default:
		return all
	}
	i := slices.IndexFunc(all, func(o Series) bool { return o.Kind == s.Kind && o.Metric == s.Metric })
	if i < 0 {
		all = append(all, s)
		i = len(all) - 1
	}
	points := all[i].Points
	j := slices.IndexFunc(points, func(p Point) bool { return p.Items == items })
	if j < 0 {
		all[i].Points = append(points, Point{Items: items, Value: value, runs: 1})
		return all
	}
	p := &points[j]
	p.Value = (p.Value*p.runs + value) / (p.runs + 1)
	p.runs++
	return all
}

// LinearCost is a fitted cost: Fixed per operation or state, and PerItem for each item.
type LinearCost struct {
	Fixed   float64
	PerItem float64
}

// At returns the cost of n items.
func (l LinearCost) At(n float64) float64 { return l.Fixed + l.PerItem*n }

// Deviation returns the largest relative distance of a point from the line.
func (l LinearCost) Deviation(points []Point) float64 {
	worst := 0.0
	for _, p := range points {
		worst = max(worst, math.Abs(l.At(p.Items)-p.Value)/p.Value)
	}
	return worst
}

// minFitSizes is the least number of sizes for a fit.
const minFitSizes = 3

// roundingTolerance is the share of the first point's value below which a fixed cost is a rounding error.
const roundingTolerance = 1e-9

// Fit returns the line with the least squared relative error, so that small sizes count as much as large ones.
// A negative fixed cost, which measurement noise can cause, is set to zero.
func Fit(points []Point) (LinearCost, error) {
	if len(points) < minFitSizes {
		return LinearCost{}, eris.Wrapf(ErrBenchOutput, "%d sizes, a fit needs %d", len(points), minFitSizes)
	}
	var w, wx, wy, wxx, wxy float64
	for _, p := range points {
		if p.Value <= 0 || p.Items <= 0 {
			return LinearCost{}, eris.Wrapf(ErrBenchOutput, "value %v at %v items is not positive", p.Value, p.Items)
		}
		weight := 1 / (p.Value * p.Value)
		w += weight
		wx += weight * p.Items
		wy += weight * p.Value
		wxx += weight * p.Items * p.Items
		wxy += weight * p.Items * p.Value
	}
	fit := LinearCost{PerItem: (w*wxy - wx*wy) / (w*wxx - wx*wx)}
	fit.Fixed = (wy - fit.PerItem*wx) / w
	if fit.Fixed < roundingTolerance*points[0].Value {
		fit = LinearCost{PerItem: wxy / wxx}
	}
	return fit, nil
}

// Costs holds the series and the line fitted to each.
type Costs struct {
	series []Series
	fits   []LinearCost
}

// NewCosts fits a line to each series except those of allocations.
func NewCosts(series []Series) (Costs, error) {
	series = slices.Clone(series)
	slices.SortStableFunc(series, func(a, b Series) int {
		return cmp.Or(cmp.Compare(a.Benchmark, b.Benchmark), cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Metric, b.Metric))
	})
	c := Costs{}
	for _, s := range series {
		if s.Metric == MetricAllocs {
			continue
		}
		line, err := Fit(s.Points)
		if err != nil {
			return Costs{}, eris.Wrapf(err, "fit %s of %s", s.Metric, s.Kind)
		}
		c.series = append(c.series, s)
		c.fits = append(c.fits, line)
	}
	return c, nil
}

// cost returns the fitted cost of a series, NaN if there is no such series.
func (c Costs) cost(kind string, metric Metric) LinearCost {
	for i, s := range c.series {
		if s.Kind == kind && s.Metric == metric {
			return c.fits[i]
		}
	}
	return LinearCost{Fixed: math.NaN(), PerItem: math.NaN()}
}

func (c Costs) bytes(kind string) LinearCost { return c.cost(kind, MetricBytes) }
func (c Costs) heap(kind string) LinearCost  { return c.cost(kind, MetricHeap) }

// cpu returns the processor time in seconds.
func (c Costs) cpu(kind string) LinearCost {
	l := c.cost(kind, MetricCPU)
	return LinearCost{Fixed: l.Fixed * 1e-9, PerItem: l.PerItem * 1e-9}
}
