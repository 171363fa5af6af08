package gateway

import (
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"ibiswinch/core/refusal"
)

// TestAnswerOfUnknownOrigin guards against taking an answer for that of the attempt, or its refusal for proof that the attempt
// did not run, when it may belong to another request, and against using its connection again.
func TestAnswerOfUnknownOrigin(t *testing.T) {
	for _, test := range []struct {
		origin Origin
		// answer and refused tell whether an answer, and one that says that the call did not run, belong to the attempt.
		answer, refused bool
	}{
		{Origin{Echo: EchoedID}, true, true},
		{Origin{Echo: EchoedID, Reused: true}, true, true},
		{Origin{Echo: EchoedID, Reused: true, RefusedBefore: true}, true, false},
		{Origin{Echo: NoID}, false, true},
		{Origin{Echo: NoID, Reused: true}, false, false},
		{Origin{Echo: OtherID}, false, false},
		{Origin{Echo: OtherID, Reused: true}, false, false},
	} {
		whole := &fakeAnswer{status: http.StatusOK, body: "done", origin: test.origin}
		f := newFixture(t, sendResult{answer: whole})
		r := f.post("/order/1")
		f.c.Check(r.body == "done", qt.Equals, test.answer, qt.Commentf("%+v", test))
		f.c.Check(whole.connectionClosed, qt.Equals, !test.answer)
		refused := &fakeAnswer{status: http.StatusServiceUnavailable, notRun: true, origin: test.origin}
		f = newFixture(t, sendResult{answer: refused}, answered("done"))
		r = f.post("/order/1")
		f.c.Check(r.body == "done", qt.Equals, test.refused, qt.Commentf("%+v", test))
		f.c.Check(r.refused == nil || r.refused.Execution == refusal.Unknown, qt.IsTrue)
		f.c.Check(refused.connectionClosed, qt.Equals, !test.refused || test.origin.Echo == NoID)
	}
}
