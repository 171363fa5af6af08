package gateway

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ibiswinch/core/call"
	"ibiswinch/core/placement"
	"ibiswinch/core/refusal"
)

var (
	interrupted = sendResult{err: &SendError{Outcome: placement.Interrupted, Err: io.ErrUnexpectedEOF}}
	unreachable = sendResult{err: &SendError{NotRun: true, Outcome: placement.Unreachable, Err: errors.New("refused")}}
	// crashed is the result of a server that crashes once it has read the prompt.
	crashed  = sendResult{err: interrupted.err, delay: crashDelay}
	rejected = sendResult{answer: &fakeAnswer{status: 503, notRun: true, unsigned: true}}
)

// crashDelay is longer than the crashes of a single outage take.
const crashDelay = 60 * time.Millisecond

func answered(body string) sendResult {
	return sendResult{answer: &fakeAnswer{status: 200, body: body}}
}

// TestOrderRunsAtMostOnce guards against sending a call of kind AtMostOnce again after it may have run, and against a
// refusal that says that it did not run.
func TestOrderRunsAtMostOnce(t *testing.T) {
	f := newFixture(t, interrupted, answered("twice"))
	r := f.post("/order/1")
	f.c.Assert(f.backend.attempts, qt.HasLen, 1)
	f.c.Assert(r.refused.Reason, qt.Equals, refusal.ServerFailed)
	f.c.Assert(r.refused.Execution, qt.Equals, refusal.Unknown)
}

// TestOrderNotRunIsRetried guards against refusing a call of kind AtMostOnce that did not run and that another server
// could run.
func TestOrderNotRunIsRetried(t *testing.T) {
	f := newFixture(t, unreachable, rejected, answered("done"))
	r := f.post("/order/1")
	f.c.Assert(r.body, qt.Equals, "done")
	f.c.Assert(f.backend.attempts[0].Server.ID == f.backend.attempts[1].Server.ID, qt.IsFalse)
}

// TestRefusalReportsExecution guards against a refusal that says that the call did not run although an earlier attempt
// may have run.
func TestRefusalReportsExecution(t *testing.T) {
	f := newFixture(t, interrupted, rejected, rejected, rejected)
	r := f.post("/read/1")
	f.c.Assert(r.refused.Execution, qt.Equals, refusal.Unknown)
	f.c.Assert(r.refused.Reason, qt.Equals, refusal.ServerFailed)
	f = newFixture(t, rejected, rejected, rejected, rejected)
	r = f.post("/order/1")
	f.c.Assert(r.refused.Execution, qt.Equals, refusal.NotRun)
	f.c.Assert(r.refused.RetryAt.IsZero(), qt.IsFalse)
}

// TestReadIsRepeated guards against giving up an idempotent call after one failure.
func TestReadIsRepeated(t *testing.T) {
	f := newFixture(t, interrupted, answered("read"))
	f.c.Assert(f.post("/read/1").body, qt.Equals, "read")
}

// TestAttemptsBound guards against more attempts than the route allows.
func TestAttemptsBound(t *testing.T) {
	f := newFixture(t, interrupted, interrupted, answered("third"))
	r := f.post("/read/1")
	f.c.Assert(f.backend.attempts, qt.HasLen, 2)
	f.c.Assert(r.refused, qt.IsNotNil)
}

// TestFailureIsPassedOn guards against replacing a failure answer that a server has signed.
func TestFailureIsPassedOn(t *testing.T) {
	f := newFixture(t, sendResult{answer: &fakeAnswer{status: 500, body: "no"}})
	r := f.post("/order/1")
	f.c.Assert(r.status, qt.Equals, 500)
	f.c.Assert(r.body, qt.Equals, "no")
}

// TestUnsignedAnswerIsNotPassedOn guards against forwarding an answer that isn't from the server.
func TestUnsignedAnswerIsNotPassedOn(t *testing.T) {
	f := newFixture(t, sendResult{answer: &fakeAnswer{status: 200, body: "junk", unsigned: true}})
	r := f.post("/order/1")
	f.c.Assert(r.status, qt.Equals, 0)
	f.c.Assert(r.refused.Execution, qt.Equals, refusal.Unknown)
}

// TestTruncatedBodyIsNotPassedOn guards against forwarding an answer that ended early as if it were complete.
func TestTruncatedBodyIsNotPassedOn(t *testing.T) {
	f := newFixture(t, sendResult{answer: &fakeAnswer{status: 200, body: "hal", end: io.ErrUnexpectedEOF}})
	r := f.post("/order/1")
	f.c.Assert(r.status, qt.Equals, 0)
	f.c.Assert(r.refused, qt.IsNotNil)
}

// TestStreamIsResumed guards against ending a stream when its server fails although the route allows resuming it.
func TestStreamIsResumed(t *testing.T) {
	f := newFixture(t,
		sendResult{answer: &fakeAnswer{status: 200, stream: true, events: events("1", "2"), end: io.ErrUnexpectedEOF}},
		sendResult{answer: &fakeAnswer{status: 200, stream: true, events: events("3")}},
	)
	r := f.post("/chat/1")
	f.c.Assert(r.body, qt.Equals, "id:1\n\nid:2\n\nid:3\n\n")
	f.c.Assert(r.finished, qt.IsTrue)
	f.c.Assert(f.backend.attempts[1].LastEventID, qt.Equals, "2")
}

// TestBrokenStreamIsNotFinished guards against a stream that broke off, can't be resumed, and looks complete to its
// caller.
func TestBrokenStreamIsNotFinished(t *testing.T) {
	f := newFixture(t, sendResult{answer: &fakeAnswer{status: 200, stream: true, events: events("1"), end: io.ErrUnexpectedEOF}})
	r := f.post("/draft/1")
	f.c.Assert(r.aborted, qt.IsTrue)
	f.c.Assert(r.finished, qt.IsFalse)
	f.c.Assert(f.backend.attempts, qt.HasLen, 1)
}

// TestUnknownRouteAndKey guards against sending calls with an unknown route or key to a server.
func TestUnknownRouteAndKey(t *testing.T) {
	f := newFixture(t)
	f.c.Assert(f.post("/none/1").refused.Reason, qt.Equals, refusal.UnknownRoute)
	f.c.Assert(f.serve(&call.Call{Path: "/read/1", APIKey: "stolen"}).refused.Reason, qt.Equals, refusal.InvalidAPIKey)
	f.c.Assert(f.backend.attempts, qt.HasLen, 0)
}

// TestCrashingRequestIsRefused guards against a request that crashes one server after the other.
func TestCrashingRequestIsRefused(t *testing.T) {
	f := newFixture(t, crashed, crashed, crashed, crashed, crashed, crashed, crashed, crashed)
	for range 4 {
		f.post("/read/poison")
	}
	sends := len(f.backend.attempts)
	r := f.post("/read/poison")
	f.c.Assert(r.refused.Reason, qt.Equals, refusal.Quarantined)
	f.c.Assert(len(f.backend.attempts), qt.Equals, sends)
	f.backend.results = []sendResult{answered("fine")}
	f.c.Assert(f.post("/read/other").body, qt.Equals, "fine")
}

// TestUnprovenRefusalOfServerIsNotPassedOn guards against telling a caller that its order did not run, with the status of a
// server that doesn't say so.
func TestUnprovenRefusalOfServerIsNotPassedOn(t *testing.T) {
	for _, status := range []int{408, 429, 503} {
		f := newFixture(t, sendResult{answer: &fakeAnswer{status: status, body: "no", promise: true}})
		r := f.post("/order/1")
		f.c.Check(r.status, qt.Equals, 0)
		f.c.Assert(r.refused, qt.IsNotNil)
		f.c.Check(r.refused.Execution, qt.Equals, refusal.Unknown)
	}
}

// TestRetryForGoneCaller guards against sending a call to a second server after its caller has left.
func TestRetryForGoneCaller(t *testing.T) {
	f := newFixture(t, interrupted, answered("ok"))
	r := &recorder{gone: func() bool { return len(f.backend.attempts) > 0 }}
	f.gateway.Serve(context.Background(), &call.Call{
		ID: "r-1", Method: "POST", Host: testHost, Path: "/read/1", Target: "/read/1", APIKey: "key", Arrived: time.Now(), InputTokens: 100,
	}, r)
	f.c.Assert(f.backend.attempts, qt.HasLen, 1)
	f.c.Assert(r.aborted, qt.IsTrue)
	f.c.Assert(f.gateway.Dump().Budgets[0].Held, qt.Equals, int64(0))
}

// TestPanicLeavesCallUnanswered guards against a defect in the handling of one call that closes its connection without an answer
// and keeps its tokens for good.
func TestPanicLeavesCallUnanswered(t *testing.T) {
	f := newFixtureWith(t, func(cfg *Config) {
		cfg.Backend = backendFunc(func() (Answer, error) { panic("defect") })
	})
	r := f.post("/order/1")
	f.c.Assert(r.refused, qt.Not(qt.IsNil))
	f.c.Assert(r.refused.Reason, qt.Equals, refusal.ServerFailed)
	f.c.Assert(r.refused.Execution, qt.Equals, refusal.Unknown)
	f.c.Assert(f.gateway.Dump().Budgets[0].Held, qt.Equals, int64(0))
}
