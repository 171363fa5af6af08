package entry

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ibiswinch/core/routing"
	"ibiswinch/io/engine"
)

// TestReportFromFutureEndsLoads guards against an engine whose later reports are all ignored, after one with a time in the
// future: it would get requests while it drains.
func TestReportFromFutureEndsLoads(t *testing.T) {
	c := qt.New(t)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	table, err := routing.NewTable(routing.Config{
		Domain: "x", Domains: []routing.DomainSlots{{Name: "x", Slots: 1}},
	})
	c.Assert(err, qt.IsNil)
	table.SetServers([]routing.Server{{Name: "e", Domain: "x", Target: "m", Versions: []string{"1"}, Capacity: 1000}})
	table.ObserveLoad(newLoad("e", now, engine.LoadReport{Time: now.AddDate(7000, 0, 0)}))
	now = now.Add(time.Second)
	table.ObserveLoad(newLoad("e", now, engine.LoadReport{Time: now, Draining: true}))
	c.Assert(table.Dump(now)[0].Leaving, qt.IsTrue)
}
