package escrow_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ibiswinch/core/escrow"
)

// write writes a plan that the store accepts at the end of the partition.
func write(a *escrow.Account, now time.Time, plan escrow.Plan, end uint64, reservations *escrow.Reservations) {
	a.WriteSent(now, end, plan.Record)
	reservations.Set("vm-1", plan.Record)
	a.Observe(plan.Record, end+1)
}

// TestTokensOfWaitingCallAreReturned guards against returning tokens to the store that were reserved for calls which have
// not been admitted yet: they would be refused, although the tokens are free.
func TestTokensOfWaitingCallAreReturned(t *testing.T) {
	const call = 150_000
	// The first limit suffices for two of the three calls.
	for _, limit := range []int64{2 * call, 4 * call} {
		c := qt.New(t)
		policy := escrow.Policy{IdleReserve: 37_500, MaxBurst: 36_000, MinRate: 1500, RefreshInterval: time.Second}
		now := time.Unix(1000, 0)
		var reservations escrow.Reservations
		a := escrow.NewAccount(now, "vm-1", escrow.Record{}, 1)
		for range 3 {
			a.AddWaiting(call)
		}
		plan := a.Plan(now, now, policy, limit, &reservations)
		c.Assert(plan.Reason, qt.Equals, escrow.Raise)
		write(a, now, plan, 0, &reservations)
		c.Assert(a.Plan(now, now, policy, limit, &reservations).Reason, qt.Equals, escrow.None)
		c.Assert(a.Admit(now, call), qt.IsTrue)
		c.Assert(a.Admit(now, call), qt.IsTrue)
	}
}

// TestTokensTooFewForWaitingCallAreKept guards against entry VMs that all keep a part of the last tokens of a budget for
// calls that need more than each of them has.
func TestTokensTooFewForWaitingCallAreKept(t *testing.T) {
	c := qt.New(t)
	const limit = 100_000
	policy := escrow.Policy{IdleReserve: 30_000, MaxBurst: 30_000, RefreshInterval: time.Second}
	now := time.Unix(1000, 0)
	var reservations escrow.Reservations
	a := escrow.NewAccount(now, "vm-1", escrow.Record{}, 1)
	write(a, now, a.Plan(now, now, policy, limit, &reservations), 0, &reservations)
	reservations.Set("vm-2", escrow.Record{Reserved: 70_000, Base: 70_000, Used: 70_000})
	policy.ReserveThreshold = 40_000
	a.AddWaiting(40_000)
	plan := a.Plan(now, now, policy, limit, &reservations)
	c.Assert(plan.Reason, qt.Equals, escrow.Return)
	c.Assert(plan.Record.Reserved, qt.Equals, int64(0))
}

// TestSecondaryGivesTokensOfWaitingCall guards against a secondary that returns tokens, or gives them to a primary, which it
// got for a call that has not been admitted yet.
func TestSecondaryGivesTokensOfWaitingCall(t *testing.T) {
	c := qt.New(t)
	const limit, call = 300_000, 50_000
	primary := escrow.Policy{IdleReserve: 60_000, MaxBurst: 60_000, RefreshInterval: time.Second}
	secondary := escrow.Policy{Secondary: true, IdleReserve: 1000, RefreshInterval: time.Second}
	now := time.Unix(1000, 0)
	var reservations escrow.Reservations
	a := escrow.NewAccount(now, "vm-1", escrow.Record{}, 1)
	write(a, now, a.Plan(now, now, primary, limit, &reservations), 0, &reservations)
	a.AddWaiting(call)
	now = now.Add(2 * time.Second)

	c.Assert(a.GiveSurplus(now, secondary), qt.Equals, int64(0))
	plan := a.Plan(now, now, secondary, limit, &reservations)
	c.Assert(plan.Reason, qt.Equals, escrow.Return)
	c.Assert(plan.Record.Reserved, qt.Equals, int64(call))
	write(a, now, plan, 1, &reservations)
	c.Assert(a.Admit(now, call), qt.IsTrue)
}
