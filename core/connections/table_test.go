package connections_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ibiswinch/core/connections"
)

var start = time.Unix(1000, 0)

// TestCrowdKeepsOthersOut guards against connections that send nothing and, once they fill the table, keep all others out.
func TestCrowdKeepsOthersOut(t *testing.T) {
	c := qt.New(t)
	table := connections.NewTable(64)
	closed := 0
	var conns []*connections.Conn
	for range 100 {
		if conn := table.Add(start, func(connections.Phase) { closed++ }); conn != nil {
			conns = append(conns, conn)
		}
	}
	c.Assert(table.Counts().Open, qt.Equals, 64)
	c.Assert(closed, qt.Equals, 0)
	c.Assert(table.Add(start.Add(time.Second), func(connections.Phase) {}), qt.IsNil)
	c.Assert(closed > 0, qt.IsTrue)
	c.Assert(table.Counts(), qt.Equals, connections.Counts{Open: 64, Closed: closed, Refused: 37})
	for _, conn := range conns[:10] {
		conn.Remove()
		conn.Remove()
	}
	c.Assert(table.Add(start.Add(time.Second), func(connections.Phase) {}), qt.IsNotNil)
}

// TestServedConnectionIsClosed guards against a connection that is closed for others while it makes progress or waits for an answer,
// with idle or stalled ones beside it.
func TestServedConnectionIsClosed(t *testing.T) {
	c := qt.New(t)
	table := connections.NewTable(4)
	var closed []string
	add := func(name string) *connections.Conn {
		conn := table.Add(start, func(connections.Phase) { closed = append(closed, name) })
		c.Assert(conn, qt.IsNotNil)
		return conn
	}
	add("serving").SetPhase(start, connections.Serving)
	slow, idle := add("receiving"), add("idle")
	now := start.Add(3 * time.Second)
	idle.SetPhase(now, connections.Idle)
	slow.AddProgress(now, 1)
	c.Assert(table.Add(now, func(connections.Phase) {}), qt.IsNotNil)
	c.Assert(closed, qt.DeepEquals, []string{"idle", "receiving"})
	c.Assert(table.Add(now, func(connections.Phase) {}), qt.IsNil)
	c.Assert(closed, qt.DeepEquals, []string{"idle", "receiving"})
}

// TestClosedConnectionsStay guards against connections that were chosen to be closed and stay open, as one whose peer doesn't read its
// last answer, and keep others from being chosen; and against ones that are closed while they wait for an answer.
func TestClosedConnectionsStay(t *testing.T) {
	c := qt.New(t)
	table := connections.NewTable(32)
	var closed []connections.Phase
	var conns []*connections.Conn
	for range 32 {
		conns = append(conns, table.Add(start, func(p connections.Phase) { closed = append(closed, p) }))
	}
	now := start.Add(time.Second)
	for _, conn := range conns {
		conn.SetPhase(now, connections.Idle)
	}
	add := func() *connections.Conn { return table.Add(now, func(connections.Phase) {}) }
	c.Assert(add(), qt.IsNil)
	chosen := len(closed)
	c.Assert(chosen > 0 && chosen < len(conns), qt.IsTrue)
	now = now.Add(100 * time.Millisecond)
	c.Assert(add(), qt.IsNil)
	c.Assert(closed, qt.HasLen, chosen)
	for _, conn := range conns {
		conn.SetPhase(now, connections.Sending)
	}
	now = now.Add(time.Second)
	c.Assert(add(), qt.IsNil)
	c.Assert(len(closed) > chosen, qt.IsTrue)
	c.Assert(closed[len(closed)-1], qt.Equals, connections.Sending)
	chosen = len(closed)
	for _, conn := range conns {
		conn.SetPhase(now, connections.Serving)
	}
	now = now.Add(time.Second)
	c.Assert(add(), qt.IsNil)
	c.Assert(closed, qt.HasLen, chosen)
}

// TestStalledConnectionsAreClosedLast guards against a slow transfer that is ended before one that has stopped.
func TestStalledConnectionsAreClosedLast(t *testing.T) {
	c := qt.New(t)
	table := connections.NewTable(40)
	closed := map[string]bool{}
	var conns []*connections.Conn
	for i := range 38 {
		name := string(rune('A' + i))
		conns = append(conns, table.Add(start, func(connections.Phase) { closed[name] = true }))
	}
	now := start.Add(4 * time.Second)
	for _, conn := range conns[1:] {
		conn.AddProgress(now, 1000)
	}
	conns[0].AddProgress(start, 1<<20)
	c.Assert(table.Add(now, func(connections.Phase) {}), qt.IsNotNil)
	c.Assert(closed["A"], qt.IsTrue)
	c.Assert(len(closed) < 5, qt.IsTrue)
}

// TestStalledAnswersKeepOthersOut guards against answers that nobody reads and that take the room of other requests though connections
// are left, and against the end of one that is being read or is waited for.
func TestStalledAnswersKeepOthersOut(t *testing.T) {
	c := qt.New(t)
	table := connections.NewTable(64)
	var closed []string
	add := func(name string, since time.Time, phase connections.Phase) {
		conn := table.Add(start, func(connections.Phase) { closed = append(closed, name) })
		conn.SetPhase(since, phase)
	}
	now := start.Add(time.Minute)
	add("idle", start, connections.Idle)
	add("receiving", start, connections.Receiving)
	add("serving", start, connections.Serving)
	add("read", now, connections.Sending)
	add("stalled", now.Add(-time.Second), connections.Sending)
	add("stalled for long", start, connections.Sending)
	table.CloseStalled(now)
	table.CloseStalled(now.Add(100 * time.Millisecond))
	c.Assert(closed, qt.DeepEquals, []string{"stalled for long", "stalled"})
}

// TestStopClosesAnswers guards against a planned stop that closes what is being answered together with what hasn't arrived wholly.
func TestStopClosesAnswers(t *testing.T) {
	c := qt.New(t)
	table := connections.NewTable(64)
	var closed []connections.Phase
	for _, phase := range []connections.Phase{connections.Idle, connections.Receiving, connections.Sending, connections.Serving} {
		conn := table.Add(start, func(p connections.Phase) { closed = append(closed, p) })
		conn.SetPhase(start, phase)
	}
	table.CloseReceiving(start)
	c.Assert(closed, qt.DeepEquals, []connections.Phase{connections.Receiving})
}
