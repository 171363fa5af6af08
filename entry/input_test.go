package entry_test

import (
	"io"
	"testing"

	qt "github.com/frankban/quicktest"
)

// idle reports whether the entry VM has no open requests, held bytes or reservations.
func (n *testVM) idle() bool {
	d := n.vm.Dump()
	reserved := 0
	for _, b := range d.Budgets {
		reserved += b.Reservations
	}
	return d.OpenRequests == 0 && d.HeldBytes == 0 && reserved == 0
}

// TestNoLeaksAfterBadInputOrDisconnect guards against reservations, held bytes or open requests that are leaked when
// the input is invalid or the caller disconnects.
func TestNoLeaksAfterBadInputOrDisconnect(t *testing.T) {
	c := qt.New(t)
	n := startVM(t, testVMConfig{})
	n.await("idle after the first request", n.idle)
	for _, body := range []string{
		"", "{", `{"model":"small"}`, `{"model":"large","prompt":"a"}`, `{"model":"small","prompt":"a","max_tokens":1000001}`,
		`{"model":"small","prompt":"a","n":2}`, "{\"model\":\"small\",\"prompt\":\"\xff\"}",
	} {
		resp := n.post(n.callers, "", body)
		_, err := io.Copy(io.Discard, resp.Body)
		c.Assert(err, qt.IsNil)
		resp.Body.Close()
		c.Check(resp.Header.Get("Ibiswinch-Execution"), qt.Equals, "not-run", qt.Commentf(body))
		c.Check(n.idle(), qt.IsTrue, qt.Commentf(body))
	}
	for range 20 {
		resp := n.post(n.callers, "", request("long", 500_000))
		c.Assert(resp.StatusCode, qt.Equals, 200)
		_, err := io.ReadFull(resp.Body, make([]byte, 1000))
		c.Assert(err, qt.IsNil)
		c.Assert(n.idle(), qt.IsFalse)
		resp.Body.Close()
	}
	n.await("idle after callers went away", n.idle)
	n.await("engine is idle", func() bool { return n.engine.LoadReport().Running == 0 })
	resp := n.post(n.callers, "", request("whole", 50))
	defer resp.Body.Close()
	text, whole := readText(resp.Body)
	c.Assert(whole, qt.IsTrue)
	c.Assert(text, qt.Equals, answer("whole", 50))
}
