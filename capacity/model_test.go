package capacity

import (
	"math"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"ibiswinch/core/budget"
	"ibiswinch/core/membership"
)

const exampleOutput = `goos: linux
BenchmarkOther-8 	 10	 99 ns/op
BenchmarkCount/kind=thing/items=10-8 	 1	 24 bytes
BenchmarkCount/kind=thing/items=10-8 	 1	 26 bytes
BenchmarkCount/kind=thing/items=100-8 	 1	 205.0 bytes
BenchmarkCount/kind=thing/items=1000 	 1	 2005 bytes
BenchmarkWork/kind=step/items=1-8 	 1	 7 ns/op	 2000 cpu-ns/op	 3 allocs/op
BenchmarkWork/kind=step/items=2-8 	 1	 7 ns/op	 4000 cpu-ns/op	 3 allocs/op
BenchmarkWork/kind=step/items=4-8 	 1	 7 ns/op	 8000 cpu-ns/op	 3 allocs/op
`

func approx(c *qt.C, got, want float64) {
	c.Helper()
	c.Assert(math.Abs(got-want) <= 1e-9*max(1, math.Abs(want)), qt.IsTrue, qt.Commentf("got %v, want %v", got, want))
}

// TestFit guards against a wrong slope, mean of runs or unit: the example output is of 5 + 2 n bytes and 2 n us.
func TestFit(t *testing.T) {
	c := qt.New(t)
	series, err := ReadBenchOutput(strings.NewReader(exampleOutput))
	c.Assert(err, qt.IsNil)
	costs, err := NewCosts(series)
	c.Assert(err, qt.IsNil)
	c.Assert(costs.series, qt.HasLen, 2)
	approx(c, costs.bytes("thing").Fixed, 5)
	approx(c, costs.bytes("thing").PerItem, 2)
	approx(c, costs.bytes("thing").Deviation(costs.series[0].Points), 0)
	approx(c, costs.cpu("step").Fixed, 0)
	approx(c, costs.cpu("step").PerItem, 2e-6)
	c.Assert(math.IsNaN(costs.heap("thing").PerItem), qt.IsTrue)
	_, err = Fit(series[0].Points[:2])
	c.Assert(err, qt.ErrorIs, ErrBenchOutput)
}

// TestBudgetShares guards against shares that don't sum to 1, and compares the formulas of rates with values computed
// by hand for two budgets.
func TestBudgetShares(t *testing.T) {
	c := qt.New(t)
	approx(c, zipfShares(67_000, 1).sum(func(p float64) float64 { return p }), 1)
	two := zipfShares(2, 1)
	approx(c, two[0], 2.0/3)
	approx(c, two.distinctBudgets(3), 2-math.Exp(-2)-math.Exp(-1))
	approx(c, flushesPerSecond(25, 4), 4*(1-math.Exp(-6.25)))
}

// TestWorkload compares the quantities derived for a deployment with values computed by hand.
func TestWorkload(t *testing.T) {
	c := qt.New(t)
	costs, err := NewCosts(nil)
	c.Assert(err, qt.IsNil)
	w := newWorkload(DefaultInputs(), costs, DeploymentTarget)
	approx(c, w.vmsPerDomain, 850.0/15)
	approx(c, w.sharedEngines, 7000.0/15*4/(850.0/15))
	approx(c, w.exchanges(), 8)
	approx(c, w.localShare(), 0.75)
	approx(c, w.shareRows(), (7000.0/15+100)*12/(850.0/15*(850.0/15-1)))
	a := newWorkload(DefaultInputs(), costs, DeploymentA)
	bills, _, _ := a.ledgerAppends()
	approx(c, bills, 32*(1-math.Exp(-6.25)))
	approx(c, a.orderAppends(), 20*(1+math.Exp(-0.625)))
	approx(c, recordsPerBatch(512), 512)
	approx(c, recordsPerBatch(3584), 128)
}

// TestConstants guards against constants of the model that differ from the defaults of the code that they repeat.
func TestConstants(t *testing.T) {
	c := qt.New(t)
	h, s := budget.DefaultHolderConfig(), budget.DefaultSpenderConfig()
	approx(c, holderIdleSeconds, h.IdleAfter.Seconds())
	approx(c, minGrantTokens, float64(h.MinGrant))
	approx(c, frontierRaisesPerSecond, 1/(h.FrontierLead.Seconds()-1))
	approx(c, spenderIdleSeconds, s.IdleAfter.Seconds())
	approx(c, roundsPerSecond, 1/membership.RoundInterval.Seconds())
}

// TestFormat guards against numbers printed with a wrong magnitude or unit.
func TestFormat(t *testing.T) {
	c := qt.New(t)
	for want, v := range map[string]float64{
		"0": 0, "0.0292": 0.02917, "42,000": 42_000, "1,178": 1178, "4.03 G": 4.031e9, "12.3 M": 12_345_678, "219": 219.05,
	} {
		c.Check(formatNumber(v), qt.Equals, want)
	}
	c.Check(Row{Unit: Bytes}.format(4_030_000), qt.Equals, "4.03 MB")
	c.Check(Row{Unit: Cores}.format(0.00737), qt.Equals, "0.737% of a core")
	c.Check(Row{Value: 3, Bound: 2}.Factor(), qt.Equals, 1.5)
}
