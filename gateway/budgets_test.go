package gateway

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ibiswinch/core/call"
	"ibiswinch/core/keyed"
	"ibiswinch/core/refusal"
)

// TestOnlyDeliveredAnswersArePaid guards against charging a team for a call that failed before its answer began.
func TestOnlyDeliveredAnswersArePaid(t *testing.T) {
	b := newBench(t, broken, answered("ok"))
	b.ask("/order/1")
	b.c.Assert(b.gateway.Dump().Budgets[0].Held, qt.Equals, int64(0))
	used := b.gateway.Dump().Budgets[0].Used
	b.ask("/order/2")
	b.c.Assert(b.gateway.Dump().Budgets[0].Used, qt.Equals, used+100)
}

// TestExhaustedBudget guards against a call that the budget doesn't cover, and against 402 while it does.
func TestExhaustedBudget(t *testing.T) {
	b := newBench(t, answered("ok"))
	r := b.serve(&call.Call{Path: "/order/1", InputTokens: 99_000})
	b.c.Assert(r.body, qt.Equals, "ok")
	b.await("record of the use", func() bool {
		return b.serve(&call.Call{Path: "/order/2", InputTokens: 2000}).refused.Reason == refusal.BudgetExhausted
	})
	b.c.Assert(b.backend.sends, qt.HasLen, 1)
}

// TestReserveOutlivesTheLog guards against refusals as soon as the log is out of reach.
func TestReserveOutlivesTheLog(t *testing.T) {
	b := newBench(t, answered("1"), answered("2"), answered("3"))
	b.c.Assert(b.ask("/order/1").body, qt.Equals, "1")
	b.await("reserve", func() bool { return b.gateway.Dump().Budgets[0].Reserved > 5000 })
	b.log.setAway(true)
	b.c.Assert(b.ask("/order/2").body, qt.Equals, "2")
	b.c.Assert(b.ask("/order/3").body, qt.Equals, "3")
}

// TestTwoVMsShareABudget guards against two entry VMs that spend the same tokens.
func TestTwoVMsShareABudget(t *testing.T) {
	b := newBench(t)
	other := b.start("vm-2")
	admitted := int64(0)
	for i := range 60 {
		g := b.gateway
		if i%2 == 1 {
			g = other
		}
		b.backend.tries = []try{answered("ok")}
		r := &recorder{}
		g.Serve(context.Background(), &call.Call{
			ID: "r", Method: "POST", Host: testHost, Path: "/order/1", Target: "/order/1", Key: "key", Arrived: time.Now(),
			InputTokens: 4000,
		}, r)
		if r.body == "ok" {
			admitted += 4000
		}
	}
	b.c.Assert(admitted <= 100_000, qt.IsTrue, qt.Commentf("%d tokens", admitted))
	b.c.Assert(admitted > 70_000, qt.IsTrue, qt.Commentf("%d tokens", admitted))
}

// TestPlannedStopReturnsTheReserve guards against tokens that a planned stop leaves unusable.
func TestPlannedStopReturnsTheReserve(t *testing.T) {
	b := newBench(t, answered("ok"))
	b.ask("/order/1")
	b.gateway.Drain()
	b.c.Assert(b.gateway.Ready(), qt.IsFalse)
	b.c.Assert(b.gateway.Settle(context.Background()), qt.IsNil)
	d := b.gateway.Dump().Budgets[0]
	b.c.Assert(d.Reserved, qt.Equals, d.Used)
}

// TestTopUpIsReadAtOnce guards against refusals after the operator has raised a budget.
func TestTopUpIsReadAtOnce(t *testing.T) {
	b := newBench(t, answered("ok"))
	big := func() *recorder { return b.serve(&call.Call{Path: "/order/1", InputTokens: 150_000}) }
	b.c.Assert(big().refused, qt.IsNotNil)
	b.log.put(keyed.Operations, "config", testCatalog(2, 300_000))
	b.await("configuration", func() bool { return b.gateway.Catalog().Version == 2 })
	b.c.Assert(big().body, qt.Equals, "ok")
}

// TestNoNewCallsNearTheEnd guards against a call that is taken so late in a planned stop that the stop cuts it.
func TestNoNewCallsNearTheEnd(t *testing.T) {
	b := newBench(t, answered("late"))
	b.gateway.Drain()
	b.c.Assert(b.ask("/order/1").body, qt.Equals, "late")
	b.gateway.Close()
	r := b.ask("/order/2")
	b.c.Assert(r.refused.Reason, qt.Equals, refusal.Draining)
	b.c.Assert(r.refused.Execution, qt.Equals, refusal.NotRun)
	b.c.Assert(b.backend.sends, qt.HasLen, 1)
}
