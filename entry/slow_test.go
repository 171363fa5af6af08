package entry_test

import (
	"fmt"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// slowLimits are small limits, so that the streams of stopped readers are soon full and suspended.
const slowLimits = "[limits]\nstreamBuffer = 4KiB\nslowReaderDeadline = 100ms\nrequestTimeout = 10m\n"

// TestStoppedReaders guards against callers that stop reading and thereby occupy an engine or memory without bound, and
// against answers that are truncated or mixed up when these callers read on.
func TestStoppedReaders(t *testing.T) {
	c := qt.New(t)
	const (
		streams = 3
		// tokens make more bytes than the socket buffers between the entry VM and the caller hold.
		tokens  = 60_000
		maxHeld = 64 << 20
	)
	n := startVM(t, testVMConfig{limits: slowLimits, maxHeld: maxHeld})
	open := make([]*http.Response, streams)
	for i := range open {
		open[i] = n.post(n.callers, "", request(fmt.Sprintf("slow %d", i), tokens))
		c.Assert(open[i].StatusCode, qt.Equals, http.StatusOK)
	}
	n.await("all streams are suspended", func() bool {
		runs := n.engine.Runs("").Totals
		return n.engine.LoadReport().Running == 0 && runs.Cancelled+runs.Failed >= streams
	})
	c.Assert(n.vm.Dump().OpenRequests, qt.Equals, int64(streams))
	c.Assert(n.vm.Dump().HeldBytes <= maxHeld, qt.IsTrue)
	// A fast stream is served meanwhile.
	fast := n.post(n.callers, "", request("fast", 100))
	text, whole := readText(fast.Body)
	fast.Body.Close()
	c.Assert(whole, qt.IsTrue)
	c.Assert(text, qt.Equals, answer("fast", 100))
	for i, resp := range open {
		text, whole := readText(resp.Body)
		resp.Body.Close()
		c.Assert(whole, qt.IsTrue, qt.Commentf("stream %d", i))
		c.Assert(text == answer(fmt.Sprintf("slow %d", i), tokens), qt.IsTrue, qt.Commentf("stream %d", i))
	}
	c.Assert(n.vm.Dump().PeakHeldBytes <= maxHeld, qt.IsTrue)
	n.await("idle", n.idle)
}
