package order_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ibiswinch/core/order"
)

// TestOrdersHaveNoBound guards against orders that are remembered without a bound, against one team whose orders leave no room for those
// of others, and against a bound that outlasts the orders.
func TestOrdersHaveNoBound(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	room, remembered := order.NewRoom(100), 0
	add := func(now time.Time, team string, orders int, hasOthers bool) (added int) {
		for range orders {
			if room.Add(now, team, remembered, hasOthers) {
				added++
				remembered++
			}
		}
		return added
	}
	c.Assert(add(start, "hot", 1000, true), qt.Equals, 75+12)
	c.Assert(add(start, "second", 1000, true), qt.Equals, 8)
	c.Assert(add(start, "third", 1, true), qt.Equals, 1)
	c.Assert(add(start, "hot", 1, true), qt.Equals, 0)
	add(start, "second", 1000, false)
	c.Assert(remembered, qt.Equals, 100)
	c.Assert(add(start, "fourth", 1, true), qt.Equals, 0)
	remembered = 80
	c.Assert(add(start.Add(order.Retention), "hot", 1, true), qt.Equals, 1)
}
