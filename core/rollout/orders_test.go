package rollout_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ibiswinch/core/catalog"
	"ibiswinch/core/keyed"
	"ibiswinch/core/rollout"
)

// orderReader is a process that reads orders of service "s".
type orderReader struct {
	c      *qt.C
	orders *rollout.Orders
	now    time.Time
}

func newOrderReader(t *testing.T) *orderReader {
	return &orderReader{c: qt.New(t), orders: rollout.NewOrders(), now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
}

func (r *orderReader) read(era keyed.Era, offset uint64, target string) bool {
	o := catalog.Rollout{Service: "s", Target: target, Duration: time.Minute}
	version := rollout.OrderVersion(era, offset)
	return r.orders.Add(r.now, rollout.Order{Rollout: o, Version: version, Deadline: r.now.Add(o.Duration)})
}

func (r *orderReader) beginEra() { r.orders.BeginEra(r.now) }

func (r *orderReader) pass(d time.Duration) { r.now = r.now.Add(d) }

func (r *orderReader) assertCurrent(target string) {
	r.c.Helper()
	current := ""
	for _, o := range r.orders.Current(r.now) {
		current = o.Target
	}
	r.c.Assert(current, qt.Equals, target)
}

// TestOlderOrderIsTakenForNews guards against an order that is followed a second time because a restored log lists it, or
// because the operator writes it again.
func TestOlderOrderIsTakenForNews(t *testing.T) {
	r := newOrderReader(t)
	r.c.Assert(r.read(1, 3, "v1"), qt.IsTrue)
	r.c.Assert(r.read(1, 4, "v2"), qt.IsTrue)
	r.pass(time.Minute)
	r.beginEra()
	r.c.Assert(r.read(2, 3, "v1"), qt.IsFalse)
	r.assertCurrent("v2")
	r.pass(time.Hour)
	r.c.Assert(r.read(2, 4, "v2"), qt.IsFalse)
	r.assertCurrent("v2")
}

// TestUnknownOlderOrderIsFollowed guards against the same with an order that was written before the process started.
func TestUnknownOlderOrderIsFollowed(t *testing.T) {
	r := newOrderReader(t)
	r.read(1, 4, "v2")
	r.beginEra()
	r.read(2, 3, "v1")
	r.pass(2 * time.Second)
	r.assertCurrent("v2")
	r.read(2, 4, "v2")
	r.pass(time.Minute)
	r.assertCurrent("v2")
}

// TestNewOrderIsIgnored guards against orders that are ignored for good because earlier ones ask for the same.
func TestNewOrderIsIgnored(t *testing.T) {
	r := newOrderReader(t)
	r.c.Assert(r.read(1, 3, "v1"), qt.IsTrue)
	r.c.Assert(r.read(1, 4, "v1"), qt.IsTrue, qt.Commentf("in the same era"))
	r.beginEra()
	r.c.Assert(r.read(2, 3, "v1"), qt.IsFalse)
	r.c.Assert(r.read(2, 4, "v1"), qt.IsTrue, qt.Commentf("after the last one was read again"))
	r.c.Assert(r.read(2, 5, "v3"), qt.IsTrue)
	r.assertCurrent("v3")
	r.beginEra()
	r.c.Assert(r.read(3, 5, "v4"), qt.IsTrue)
	r.c.Assert(r.orders.IsHolding(), qt.IsTrue)
	r.pass(4 * time.Second)
	r.assertCurrent("v4")
	r.c.Assert(r.orders.IsHolding(), qt.IsFalse)
}

// TestRecordIsReadTwice guards against a record that counts as another order when a snapshot lists it again.
func TestRecordIsReadTwice(t *testing.T) {
	r := newOrderReader(t)
	r.read(1, 3, "v1")
	r.beginEra()
	for range 2 {
		r.c.Assert(r.read(2, 3, "v1"), qt.IsFalse)
	}
	r.read(2, 4, "v2")
	r.c.Assert(r.read(2, 4, "v2"), qt.IsFalse)
}
