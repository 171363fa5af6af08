package sockets_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"ibiswinch/core/memory"
	"ibiswinch/core/sockets"
)

// machines are the smallest machines of the deployments, settings of tests, and machines with more descriptors than memory for them.
var machines = []struct{ memoryMB, descriptors int }{
	{96, 500}, {144, 3075}, {160, 4100}, {184, 4100}, {256, 4096}, {284, 4100}, {424, 10250}, {536, 8192}, {16384, 1 << 20}, {284, 1 << 20}, {96, 1 << 20},
}

// TestSocketLimitsExceedDescriptors guards against limits of the listeners and of the connections to others that together pass the
// descriptors of the settings, and against limits that leave most of them unused.
func TestSocketLimitsExceedDescriptors(t *testing.T) {
	c := qt.New(t)
	for _, files := range []int{500, 1024, 4100, 100_000} {
		l := sockets.Divide(files, memory.Shares{})
		c.Check(l.Count() <= files-200, qt.IsTrue, qt.Commentf("%d of %d", l.Count(), files))
		c.Check(l.Callers*5 >= 2*(files-200)-400, qt.IsTrue, qt.Commentf("%d callers of %d", l.Callers, files))
	}
}

// TestUnreadBytesExceedMemory guards against receive buffers that together pass their part of the memory, on any machine.
func TestUnreadBytesExceedMemory(t *testing.T) {
	for _, m := range machines {
		c := qt.New(t)
		shares := memory.Divide(int64(m.memoryMB) << 20)
		l := sockets.Divide(m.descriptors, shares)
		comment := qt.Commentf("%+v: %+v", m, l)
		c.Check(l.UnreadBytes() <= shares.Unread, qt.IsTrue, comment)
		c.Check(l.Count() <= m.descriptors-200, qt.IsTrue, comment)
		c.Check(int64(l.Callers)*32<<10 <= shares.Connections, qt.IsTrue, comment)
		c.Check(l.Callers >= 100, qt.IsTrue, comment)
		// A long transfer gets a wide buffer, and several at a time do.
		c.Check(l.WideTotal >= 8*l.WideCost, qt.IsTrue, comment)
		t.Logf("%+v: %+v", m, l)
	}
}

// TestLargestBodyArrivesLate guards against receive buffers in which the largest legal body doesn't arrive within the time for a body:
// a wide one over a long way, and an ordinary one, which is all that there is beside many long transfers, within a region. A window takes
// its round trip and its time on the slowest link.
func TestLargestBodyArrivesLate(t *testing.T) {
	const (
		body, bodySeconds = 4 << 20, 10
		// Half of what is set for a buffer is a window at the least; the kernel doubles the size for its own needs.
		farSeconds, nearSeconds = 0.1, 0.006
		linkBytesPerSecond      = 10e6 / 8
	)
	received := func(window int, roundTrip float64) float64 {
		return float64(window) / (roundTrip + float64(window)/linkBytesPerSecond) * bodySeconds
	}
	for _, m := range machines {
		c := qt.New(t)
		l := sockets.Divide(m.descriptors, memory.Divide(int64(m.memoryMB)<<20))
		c.Check(received(l.WideBytes, farSeconds) >= body, qt.IsTrue, qt.Commentf("%+v: %+v", m, l))
		c.Check(received(l.ReceiveBytes, nearSeconds) >= body, qt.IsTrue, qt.Commentf("%+v: %+v", m, l))
	}
}
