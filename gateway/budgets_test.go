package gateway

import (
	"context"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ibiswinch/core/call"
	"ibiswinch/core/keyed"
	"ibiswinch/core/refusal"
)

// TestOnlyDeliveredAnswersArePaid guards against charging a team for a call that failed before its answer began.
func TestOnlyDeliveredAnswersArePaid(t *testing.T) {
	f := newFixture(t, interrupted, answered("ok"))
	f.post("/order/1")
	f.c.Assert(f.gateway.Dump().Budgets[0].Held, qt.Equals, int64(0))
	used := f.gateway.Dump().Budgets[0].Used
	f.post("/order/2")
	f.c.Assert(f.gateway.Dump().Budgets[0].Used, qt.Equals, used+100)
}

// TestExhaustedBudget guards against admitting a call that the budget doesn't cover, and against refusing one that it
// does.
func TestExhaustedBudget(t *testing.T) {
	f := newFixture(t, answered("ok"))
	r := f.serve(&call.Call{Path: "/order/1", InputTokens: 99_000})
	f.c.Assert(r.body, qt.Equals, "ok")
	f.waitFor("record of the use", func() bool {
		return f.serve(&call.Call{Path: "/order/2", InputTokens: 2000}).refused.Reason == refusal.BudgetExhausted
	})
	f.c.Assert(f.backend.attempts, qt.HasLen, 1)
}

// TestReservedTokensAreUsableWithoutLog guards against refusing calls as soon as the log is unavailable.
func TestReservedTokensAreUsableWithoutLog(t *testing.T) {
	f := newFixture(t, answered("1"), answered("2"), answered("3"))
	f.c.Assert(f.post("/order/1").body, qt.Equals, "1")
	f.waitFor("reserve", func() bool { return f.gateway.Dump().Budgets[0].Reserved > 5000 })
	f.log.setDown(true)
	f.c.Assert(f.post("/order/2").body, qt.Equals, "2")
	f.c.Assert(f.post("/order/3").body, qt.Equals, "3")
}

// TestTwoVMsShareABudget guards against two entry VMs that spend the same tokens, whatever the name of the team.
func TestTwoVMsShareABudget(t *testing.T) {
	for _, name := range []string{"team", "a/team", "/", "a\x1f/\x1f-"} {
		t.Run(strconv.Quote(name), func(t *testing.T) {
			f := newFixtureWithoutVMs(t, nil)
			config := testCatalog(2, 100_000)
			config.Teams[0].Name = name
			f.log.put(keyed.Operations, "config", config)
			f.gateway = f.start("vm-1")
			admitted := f.spendAtTwo(f.start("vm-2"))
			f.c.Assert(admitted <= 100_000, qt.IsTrue, qt.Commentf("%d tokens", admitted))
			f.c.Assert(admitted > 70_000, qt.IsTrue, qt.Commentf("%d tokens", admitted))
		})
	}
}

// spendAtTwo sends calls to the gateway and another one in turn and returns the tokens of those that were served.
func (f *fixture) spendAtTwo(other *Gateway) int64 {
	admitted := int64(0)
	for i := range 60 {
		g := f.gateway
		if i%2 == 1 {
			g = other
		}
		f.backend.results = []sendResult{answered("ok")}
		r := &recorder{}
		g.Serve(context.Background(), &call.Call{
			ID: "r", Method: "POST", Host: testHost, Path: "/order/1", Target: "/order/1", APIKey: "key", Arrived: time.Now(),
			InputTokens: 4000,
		}, r)
		if r.body == "ok" {
			admitted += 4000
		}
	}
	return admitted
}

// TestPlannedStopReturnsReservation guards against tokens that stay reserved after a planned stop.
func TestPlannedStopReturnsReservation(t *testing.T) {
	f := newFixture(t, answered("ok"))
	f.post("/order/1")
	f.gateway.Drain(time.Now().Add(time.Hour))
	f.c.Assert(f.gateway.Ready(), qt.IsFalse)
	f.c.Assert(f.gateway.ReturnReservations(context.Background(), time.Now().Add(time.Second)), qt.IsNil)
	d := f.gateway.Dump().Budgets[0]
	f.c.Assert(d.Reserved, qt.Equals, d.Used)
}

// TestTopUpIsReadAtOnce guards against refusing calls after the operator has raised a budget.
func TestTopUpIsReadAtOnce(t *testing.T) {
	f := newFixture(t, answered("ok"))
	big := func() *recorder { return f.serve(&call.Call{Path: "/order/1", InputTokens: 150_000}) }
	f.c.Assert(big().refused, qt.IsNotNil)
	f.log.put(keyed.Operations, "config", testCatalog(2, 300_000))
	f.waitFor("configuration", func() bool { return f.gateway.Catalog().Version == 2 })
	f.c.Assert(big().body, qt.Equals, "ok")
}

// TestClosedGatewayRefusesCalls guards against accepting a call so late in a planned stop that it can't complete.
func TestClosedGatewayRefusesCalls(t *testing.T) {
	f := newFixture(t, answered("late"))
	f.gateway.Drain(time.Now().Add(time.Hour))
	f.c.Assert(f.post("/order/1").body, qt.Equals, "late")
	f.gateway.Drain(time.Now())
	r := f.post("/order/2")
	f.c.Assert(r.refused.Reason, qt.Equals, refusal.Draining)
	f.c.Assert(r.refused.Execution, qt.Equals, refusal.NotRun)
	f.c.Assert(f.backend.attempts, qt.HasLen, 1)
}
