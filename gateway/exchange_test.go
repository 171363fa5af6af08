package gateway

import (
	"errors"
	"io"
	"testing"

	qt "github.com/frankban/quicktest"

	"ibiswinch/core/call"
	"ibiswinch/core/placement"
	"ibiswinch/core/refusal"
)

var (
	broken      = try{err: &SendError{Outcome: placement.Broken, Err: io.ErrUnexpectedEOF}}
	unreachable = try{err: &SendError{NotRun: true, Outcome: placement.Unreachable, Err: errors.New("refused")}}
	full        = try{answer: &fakeAnswer{status: 503, notRun: true, unsealed: true}}
)

func answered(body string) try { return try{answer: &fakeAnswer{status: 200, body: body}} }

// TestOrderRunsAtMostOnce guards against an order that is sent again after it may have run, and against a refusal that
// says that it has not.
func TestOrderRunsAtMostOnce(t *testing.T) {
	b := newBench(t, broken, answered("twice"))
	r := b.ask("/order/1")
	b.c.Assert(b.backend.sends, qt.HasLen, 1)
	b.c.Assert(r.refused.Reason, qt.Equals, refusal.ServerFailed)
	b.c.Assert(r.refused.Execution, qt.Equals, refusal.Unknown)
}

// TestOrderThatDidNotRunGoesOn guards against refusing an order that another server could run.
func TestOrderThatDidNotRunGoesOn(t *testing.T) {
	b := newBench(t, unreachable, full, answered("done"))
	r := b.ask("/order/1")
	b.c.Assert(r.body, qt.Equals, "done")
	b.c.Assert(b.backend.sends[0].Server.ID == b.backend.sends[1].Server.ID, qt.IsFalse)
}

// TestRefusalIsTrue guards against a refusal that may be repeated although an earlier attempt may have run.
func TestRefusalIsTrue(t *testing.T) {
	b := newBench(t, broken, full, full, full)
	r := b.ask("/read/1")
	b.c.Assert(r.refused.Execution, qt.Equals, refusal.Unknown)
	b.c.Assert(r.refused.Reason, qt.Equals, refusal.ServerFailed)
	b = newBench(t, full, full, full, full)
	r = b.ask("/order/1")
	b.c.Assert(r.refused.Execution, qt.Equals, refusal.NotRun)
	b.c.Assert(r.refused.RetryAt.IsZero(), qt.IsFalse)
}

// TestReadIsRepeated guards against giving up an idempotent call after one failure.
func TestReadIsRepeated(t *testing.T) {
	b := newBench(t, broken, answered("read"))
	b.c.Assert(b.ask("/read/1").body, qt.Equals, "read")
}

// TestAttemptsBound guards against more servers than the route allows.
func TestAttemptsBound(t *testing.T) {
	b := newBench(t, broken, broken, answered("third"))
	r := b.ask("/read/1")
	b.c.Assert(b.backend.sends, qt.HasLen, 2)
	b.c.Assert(r.refused, qt.IsNotNil)
}

// TestFailureIsPassedOn guards against replacing the failure that a server has signed.
func TestFailureIsPassedOn(t *testing.T) {
	b := newBench(t, try{answer: &fakeAnswer{status: 500, body: "no"}})
	r := b.ask("/order/1")
	b.c.Assert(r.status, qt.Equals, 500)
	b.c.Assert(r.body, qt.Equals, "no")
}

// TestUnsignedAnswerIsNotPassedOn guards against bytes that aren't the server's answer.
func TestUnsignedAnswerIsNotPassedOn(t *testing.T) {
	b := newBench(t, try{answer: &fakeAnswer{status: 200, body: "junk", unsealed: true}})
	r := b.ask("/order/1")
	b.c.Assert(r.status, qt.Equals, 0)
	b.c.Assert(r.refused.Execution, qt.Equals, refusal.Unknown)
}

// TestTornBodyIsNotPassedOn guards against an answer that ended early and looks whole.
func TestTornBodyIsNotPassedOn(t *testing.T) {
	b := newBench(t, try{answer: &fakeAnswer{status: 200, body: "hal", end: io.ErrUnexpectedEOF}})
	r := b.ask("/order/1")
	b.c.Assert(r.status, qt.Equals, 0)
	b.c.Assert(r.refused, qt.IsNotNil)
}

// TestStreamIsResumed guards against a stream that ends with its server although the route allows it to go on.
func TestStreamIsResumed(t *testing.T) {
	b := newBench(t,
		try{answer: &fakeAnswer{status: 200, stream: true, events: events("1", "2"), end: io.ErrUnexpectedEOF}},
		try{answer: &fakeAnswer{status: 200, stream: true, events: events("3")}},
	)
	r := b.ask("/chat/1")
	b.c.Assert(r.body, qt.Equals, "id:1\n\nid:2\n\nid:3\n\n")
	b.c.Assert(r.finished, qt.IsTrue)
	b.c.Assert(b.backend.sends[1].LastEvent, qt.Equals, "2")
}

// TestBrokenStreamDoesNotLookWhole guards against the end of a stream that can't be resumed.
func TestBrokenStreamDoesNotLookWhole(t *testing.T) {
	b := newBench(t, try{answer: &fakeAnswer{status: 200, stream: true, events: events("1"), end: io.ErrUnexpectedEOF}})
	r := b.ask("/draft/1")
	b.c.Assert(r.broken, qt.IsTrue)
	b.c.Assert(r.finished, qt.IsFalse)
	b.c.Assert(b.backend.sends, qt.HasLen, 1)
}

// TestUnknownRouteAndKey guards against sending what no configuration allows.
func TestUnknownRouteAndKey(t *testing.T) {
	b := newBench(t)
	b.c.Assert(b.ask("/none/1").refused.Reason, qt.Equals, refusal.UnknownRoute)
	b.c.Assert(b.serve(&call.Call{Path: "/read/1", Key: "stolen"}).refused.Reason, qt.Equals, refusal.BadKey)
	b.c.Assert(b.backend.sends, qt.HasLen, 0)
}

// TestCrashingRequestIsRefused guards against a request that takes down one server after the other.
func TestCrashingRequestIsRefused(t *testing.T) {
	b := newBench(t, broken, broken, broken, broken, broken, broken, broken, broken)
	for range 4 {
		b.ask("/read/poison")
	}
	sends := len(b.backend.sends)
	r := b.ask("/read/poison")
	b.c.Assert(r.refused.Reason, qt.Equals, refusal.Quarantined)
	b.c.Assert(len(b.backend.sends), qt.Equals, sends)
	b.backend.tries = []try{answered("fine")}
	b.c.Assert(b.ask("/read/other").body, qt.Equals, "fine")
}
