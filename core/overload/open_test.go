package overload_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"ibiswinch/core/overload"
)

// TestTeamTakesAllOpenCalls guards against one team whose open calls leave no room for others, and against a limit that a team meets
// while there is room or below its equal share.
func TestTeamTakesAllOpenCalls(t *testing.T) {
	c := qt.New(t)
	o := overload.NewOpenCalls(100)
	begin := func(team string, calls int) (begun int) {
		for range calls {
			if o.Begin(team, true) {
				begun++
			}
		}
		return begun
	}
	c.Assert(begin("hot", 1000), qt.Equals, 75)
	c.Assert(begin("second", 1000), qt.Equals, 33)
	c.Assert(o.Begin("third", true), qt.IsTrue)
	c.Assert(o.Begin("hot", true), qt.IsFalse)
	c.Assert(o.Begin("hot", false), qt.IsTrue)
	o.End("hot")
	for range 60 {
		o.End("hot")
	}
	c.Assert(o.Begin("hot", true), qt.IsTrue)
	c.Assert(begin("second", 1000) > 0, qt.IsTrue)
	unlimited := overload.NewOpenCalls(0)
	for range 1000 {
		c.Assert(unlimited.Begin("hot", true), qt.IsTrue)
	}
}
