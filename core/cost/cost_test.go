package cost_test

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ibiswinch/core/cost"
)

var start = time.Unix(1000, 0)

// TestSpeedOutlivesStalls guards against a server that counts as slow because of a few stalled calls, and against one that
// stays slow without calls.
func TestSpeedOutlivesStalls(t *testing.T) {
	c := qt.New(t)
	var s cost.Speed
	now := start
	for i := range 40 {
		took := 100 * time.Millisecond
		if i%20 == 19 {
			took = time.Minute
		}
		now = now.Add(100 * time.Millisecond)
		s.Observe(now, cost.LogRatio(took, 100*time.Millisecond), 1)
	}
	c.Check(s.Factor(now) < 1.25, qt.IsTrue, qt.Commentf("%v", s.Factor(now)))
	for range 40 {
		now = now.Add(100 * time.Millisecond)
		s.Observe(now, cost.LogRatio(200*time.Millisecond, 100*time.Millisecond), 1)
	}
	c.Check(s.Factor(now) > 1.6, qt.IsTrue, qt.Commentf("%v", s.Factor(now)))
	c.Check(s.Factor(now.Add(5*time.Minute)) < 1.05, qt.IsTrue)
}

// TestSpeedOfFewSamples guards against a verdict on one observation, and against infinite ones.
func TestSpeedOfFewSamples(t *testing.T) {
	c := qt.New(t)
	var s cost.Speed
	c.Check(s.Factor(start), qt.Equals, 1.0)
	s.Observe(start, cost.LogRatio(200*time.Millisecond, 100*time.Millisecond), 1)
	c.Check(s.Factor(start) < 1.3, qt.IsTrue)
	for _, d := range []time.Duration{0, -1, math.MaxInt64, math.MinInt64} {
		s.Observe(start, cost.LogRatio(d, time.Millisecond), 1)
		s.Observe(start, cost.LogRatio(time.Millisecond, d), 1)
		c.Assert(s.Factor(start) > 0.2 && s.Factor(start) < 5, qt.IsTrue, qt.Commentf("%v after %v", s.Factor(start), d))
	}
}

// TestPrefillLearnsRate guards against a prediction that doesn't follow what a service shows, or that stalled calls or claims of endless prompts decide.
func TestPrefillLearnsRate(t *testing.T) {
	c := qt.New(t)
	const base, perToken = 50 * time.Millisecond, 10 * time.Microsecond
	var p cost.Prefill
	for i := range 400 {
		tokens := float64(500 + i%7*1000)
		took := base + time.Duration(tokens)*perToken
		if i%50 == 49 {
			took = 10 * time.Second
		}
		p.Observe(tokens, 2*took, 2)
		p.Observe(1<<40, time.Millisecond, 1)
	}
	for _, tokens := range []float64{0, 3000, 9000} {
		want := base + time.Duration(tokens)*perToken
		ratio := float64(p.Predict(tokens)) / float64(want)
		c.Check(ratio > 0.8 && ratio < 1.3, qt.IsTrue, qt.Commentf("%v for %v tokens instead of %v", p.Predict(tokens), tokens, want))
	}
}

// TestLyingHint guards against hints of callers that are believed although they have proved wrong, and against ones that are
// ignored although they are right.
func TestLyingHint(t *testing.T) {
	c := qt.New(t)
	var o cost.Outputs
	kind := func(hint int64) cost.OutputRequest {
		return cost.OutputRequest{Kind: cost.OutputKind{Route: "chat", Team: "liar"}, Max: 1000, Hint: hint}
	}
	for i := range 200 {
		o.Observe(kind(1000), int64(180+i%5*10))
	}
	c.Check(o.Expected(kind(1000)) < 300, qt.IsTrue, qt.Commentf("%d", o.Expected(kind(1000))))
	honest := func(hint int64) cost.OutputRequest {
		r := kind(hint)
		r.Kind.Team = "honest"
		return r
	}
	for i := range 200 {
		tokens := int64(100 + i%9*100)
		o.Observe(honest(tokens+10), tokens)
	}
	c.Check(o.Expected(honest(120)), qt.Equals, int64(120))
	c.Check(o.Expected(honest(880)), qt.Equals, int64(880))
	c.Check(o.Expected(honest(1<<40)), qt.Equals, int64(1000))
}

func load(server uint64, waiting int64) cost.Load {
	return cost.Load{Server: server, Running: 1, Waiting: waiting}
}

// TestBoardDropsOldReports guards against work that counts on after its entry VM or its failure domain has gone or has frozen, and
// against one that counts its own work as that of others.
func TestBoardDropsOldReports(t *testing.T) {
	c := qt.New(t)
	b := cost.NewBoard()
	until := start.Add(time.Second)
	b.SetMember(start, "vm-1", []cost.Load{load(1, 100)}, until)
	b.SetMember(start, "vm-2", []cost.Load{load(1, 10)}, until)
	b.SetDomain("b", []cost.Load{load(1, 1000)}, until.Add(time.Second))
	c.Check(b.Domain(start), qt.DeepEquals, []cost.Load{{Server: 1, Running: 2, Waiting: 110}})
	c.Check(b.Fleet(start, "vm-1"), qt.DeepEquals, []cost.Load{{Server: 1, Running: 2, Waiting: 1010}})
	c.Check(b.Fleet(until, "vm-1"), qt.DeepEquals, []cost.Load{{Server: 1, Running: 1, Waiting: 1000}})
	c.Check(b.Fleet(until.Add(time.Second), ""), qt.HasLen, 0)
}

// TestBoardForgetsSpeeds guards against a board that grows with every server that ever ran.
func TestBoardForgetsSpeeds(t *testing.T) {
	c := qt.New(t)
	b := cost.NewBoard()
	for i := range uint64(1000) {
		b.SetMember(start, "vm-1", []cost.Load{{Server: i, SpeedSum: 1, SpeedCount: 1}}, start)
	}
	c.Check(b.Domain(start), qt.HasLen, cost.MaxLoads)
	c.Check(b.Domain(start.Add(2*time.Minute)), qt.HasLen, 0)
}

// BenchmarkBoard measures what a collector does for each call of an entry VM of a large fleet.
func BenchmarkBoard(b *testing.B) {
	board := cost.NewBoard()
	until := start.Add(time.Hour)
	name := func(i int) string { return string(rune('a' + i)) }
	report := func(i int) []cost.Load {
		var loads []cost.Load
		for j := range 100 {
			loads = append(loads, cost.Load{Server: uint64((i*100 + j*71) % 7100), Running: 2, Waiting: int64(j), SpeedSum: 0.1, SpeedCount: 1})
		}
		return loads
	}
	for i := range 57 {
		board.SetMember(start, name(i), report(i), until)
	}
	for i := range 14 {
		board.SetDomain(name(i), report(i), until)
	}
	b.ReportAllocs()
	for i := range b.N {
		board.SetMember(start, name(i%57), report(i%57), until)
		board.Fleet(start, name(i%57))
	}
}

// TestReportsFillMemory guards against reports about very many servers, and of very many entry VMs and failure domains, that are kept
// without a bound, and that leave no room for those that are known.
func TestReportsFillMemory(t *testing.T) {
	c := qt.New(t)
	b := cost.NewBoard()
	until := start.Add(time.Minute)
	b.SetMember(start, "vm-1", []cost.Load{load(1, 100)}, until)
	for i := range uint64(5000) {
		loads := make([]cost.Load, cost.MaxLoads)
		for j := range loads {
			loads[j] = load(2+i*cost.MaxLoads+uint64(j), 1)
		}
		b.SetMember(start, fmt.Sprint("many-", i), loads, until)
		b.SetDomain(fmt.Sprint("many-", i), loads, until)
	}
	members, domains, servers := b.Size()
	c.Assert(members, qt.Equals, 1024)
	c.Assert(domains, qt.Equals, 1024)
	c.Assert(servers, qt.Equals, 16384)
	b.SetMember(start, "vm-1", []cost.Load{load(1, 1<<40)}, until)
	c.Assert(slices.ContainsFunc(b.Fleet(start, ""), func(l cost.Load) bool { return l.Server == 1 && l.Waiting == 1<<40 }), qt.IsTrue)
	// Once they have expired nothing is left of them.
	b.Domain(until)
	b.Domain(until)
	members, domains, servers = b.Size()
	c.Assert([]int{members, domains, servers}, qt.DeepEquals, []int{0, 0, 0})
}
