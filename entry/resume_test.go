package entry_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"ibiswinch/standin/engine"
)

// TestBrokenStreamIsResumed guards against an answer that is lost, or has a token too many, when its engine breaks the
// connection in the middle or right after the last token and there is no other engine.
func TestBrokenStreamIsResumed(t *testing.T) {
	c := qt.New(t)
	n := startVM(t, testVMConfig{})
	const (
		tokens    = 20
		request20 = "broken tokens=20"
	)
	cost := uint64(engine.CompletionPrompt(request20).Tokens() + tokens)
	for _, after := range []int{1, tokens / 2, tokens - 1, tokens} {
		billed := n.vm.Dump().Budgets[0].Billed
		// Every second run is cut: the first request completes, the second one breaks, and its next attempt completes.
		rule := engine.Rule{Action: engine.ActionCut, AfterTokens: after, Share: 0.5}
		c.Assert(n.engine.SetFaults(engine.Faults{Rules: []engine.Rule{rule}}), qt.IsNil)
		failed := n.engine.Runs("").Totals.Failed
		for range 2 {
			resp := n.post(n.callers, "", request("broken", tokens))
			text, whole := readText(resp.Body)
			resp.Body.Close()
			c.Assert(whole, qt.IsTrue, qt.Commentf("cut after %d tokens", after))
			c.Assert(text, qt.Equals, answer("broken", tokens))
		}
		c.Assert(n.engine.Runs("").Totals.Failed, qt.Equals, failed+1)
		n.await("bills", func() bool { return n.vm.Dump().Budgets[0].Billed >= billed+2*cost })
		c.Assert(n.vm.Dump().Budgets[0].Billed, qt.Equals, billed+2*cost, qt.Commentf("cut after %d tokens", after))
	}
}
