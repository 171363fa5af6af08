package escrow_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ibiswinch/core/escrow"
)

// TestReturnedTokensAreSpent guards against tokens that a process spends although its first write, whose outcome it doesn't
// know, may have returned them.
func TestReturnedTokensAreSpent(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	var reservations escrow.Reservations
	a := escrow.NewAccount(now, "vm-1", escrow.Record{}, 0)
	a.Receive(20_000)
	plan := a.Plan(now, now, escrow.Policy{IdleReserve: 3000}, 100_000, &reservations)
	c.Assert(plan.Reason, qt.Equals, escrow.Return)
	a.WriteSent(now, 0, plan.Record)
	c.Assert(a.Available(now), qt.Equals, int64(3000))
}
