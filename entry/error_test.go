package entry_test

import (
	"io"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"ibiswinch/standin/engine"
)

// TestErrorInResumedAnswer guards against the text of an error in the middle of an answer that has begun, and against an end
// that looks complete, when its engine breaks off and further attempts are answered with an error.
func TestErrorInResumedAnswer(t *testing.T) {
	const tokens, cutAfter = 20, 7
	c := qt.New(t)
	for _, status := range []int{400, 500, 503} {
		n := startVM(t, testVMConfig{})
		c.Assert(n.engine.SetFaults(engine.Faults{Rules: []engine.Rule{
			{Action: engine.ActionCut, AfterTokens: cutAfter}, {Action: engine.ActionFail, SkipFirst: 1, Status: status},
		}}), qt.IsNil)
		resp := n.post(n.callers, "", request("broken", tokens))
		raw, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		text, whole := readText(strings.NewReader(string(raw)))
		c.Check(whole, qt.IsFalse, qt.Commentf("%s", raw))
		c.Check(text, qt.Equals, engine.CompletionPrompt("broken tokens=20").Answer(0, cutAfter))
		c.Check(strings.Contains(string(raw), `"finish_reason":"`), qt.IsFalse, qt.Commentf("%s", raw))
		c.Check(resp.StatusCode, qt.Equals, 200)
		last := strings.LastIndex(strings.TrimSpace(string(raw)), "\n")
		c.Check(string(raw[last+1:]), qt.Contains, `data: {"error":`, qt.Commentf("%d: %s", status, raw))
	}
}
