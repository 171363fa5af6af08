package gateway

import (
	"context"
	"errors"
	"io"

	"ibiswinch/core/memory"
	"ibiswinch/core/placement"
)

// errUnsigned is the error of an answer without the signature of a server.
var errUnsigned = errors.New("the answer isn't signed by the server")

func (x *exchange) exchangeOnce(ctx, attemptCtx context.Context, p *placement.Placement, w *watchdog) attemptResult {
	answer, err := x.g.cfg.Backend.Send(attemptCtx, Attempt{
		Call: x.Call, Server: p.Server, Team: x.teamName(), Deadline: x.deadline, LastEventID: x.forwarded.last, Priority: x.priority(),
	})
	if err != nil {
		return x.resultOfError(ctx, attemptCtx, err)
	}
	x.recordAnnouncements(p.Server, answer)
	if !belongsToAttempt(answer) {
		answer.CloseConnection()
		return attemptResult{outcome: placement.Interrupted, arrived: true, err: errOtherRequest}
	}
	x.recordLimit(p.Server, answer)
	if provesNotRun(answer) {
		outcome := placement.Rejected
		if answer.Misdirected() {
			outcome = placement.Misdirected
		}
		closeRefused(answer)
		return attemptResult{outcome: outcome, notRun: true, arrived: true, err: errors.New("the server did not run the call")}
	}
	if answer.IsEventStream() && answer.Signed() && isSuccess(answer.Status()) {
		defer answer.Close()
		return x.relayEvents(ctx, attemptCtx, p, answer, w)
	}
	if x.headSent {
		answer.Close()
		return resultOfOtherAnswer(answer)
	}
	return x.relayWhole(ctx, attemptCtx, answer)
}

func isSuccess(status int) bool { return status/100 == 2 }

// resultOfError returns the result of an attempt that failed with err.
func (x *exchange) resultOfError(ctx, attemptCtx context.Context, err error) attemptResult {
	result := attemptResult{outcome: placement.Interrupted, arrived: true, err: err}
	var failed *SendError
	if errors.As(err, &failed) {
		result.outcome, result.notRun, result.arrived = failed.Outcome, failed.NotRun, !failed.NotRun
	}
	switch {
	case errors.Is(err, memory.ErrFull):
		// The server may be sound, so it isn't taken for one that crashed.
		result.outcome = placement.Failed
	case ctx.Err() != nil:
		result.outcome = placement.Cancelled
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			result.outcome = placement.TimedOut
		}
	case errors.Is(context.Cause(attemptCtx), errAnswerTimeout):
		result.outcome = placement.TimedOut
	}
	return result
}

// relayWhole reads an answer that isn't a stream and forwards it if it is successful.
func (x *exchange) relayWhole(ctx, attemptCtx context.Context, answer Answer) attemptResult {
	if !answer.Signed() {
		answer.Close()
		return attemptResult{outcome: placement.Interrupted, arrived: true, err: errUnsigned}
	}
	body, err := answer.Body(maxAnswerBytes)
	if err != nil {
		answer.Close()
		return x.resultOfError(ctx, attemptCtx, err)
	}
	if !isSuccess(answer.Status()) {
		return attemptResult{outcome: placement.Failed, arrived: true, answer: answer, body: body, err: errors.New("the server failed")}
	}
	x.recordEventTime()
	x.attemptEvents = 1
	x.answerSent = true
	x.sendAnswer(answer, body)
	return attemptResult{outcome: placement.Answered, arrived: true, done: true}
}

func (x *exchange) sendAnswer(answer Answer, body []byte) {
	defer answer.Close()
	if err := x.reply.WriteAnswer(answer, body); err != nil {
		x.outcome = "callerGone"
	}
}

// relayEvents forwards the events of a stream as they arrive.
func (x *exchange) relayEvents(
	ctx, attemptCtx context.Context, p *placement.Placement, answer Answer, w *watchdog,
) attemptResult {
	first := true
	for {
		e, err := answer.Next()
		if err == io.EOF {
			return x.finishStream(answer, first)
		}
		if err != nil {
			return x.resultOfError(ctx, attemptCtx, err)
		}
		if !x.mayForward(e, first) {
			return attemptResult{outcome: placement.Interrupted, arrived: true, err: errNoContinuation}
		}
		w.received()
		if first {
			first = false
			x.g.servers.firstEvent(p)
			x.g.suspects.answerBegan(x.Call)
		}
		if !x.sendHead(answer) || x.reply.WriteEvent(e.Raw) != nil {
			return attemptResult{outcome: placement.Cancelled, arrived: true, done: true}
		}
		x.recordEventTime()
		x.forwarded.add(e.ID)
		w.forwarded(e)
		x.events++
		x.attemptEvents++
	}
}

// sendHead forwards the head of the stream once and reports whether the caller is still connected.
func (x *exchange) sendHead(answer Answer) bool {
	if x.headSent {
		return true
	}
	x.headSent, x.answerSent = true, true
	return x.reply.WriteHead(answer) == nil
}

// recordEventTime records the time of an event or whole answer for latency figures.
func (x *exchange) recordEventTime() {
	now := x.g.cfg.Now()
	if x.firstEvent.IsZero() {
		x.firstEvent = now
		x.g.cfg.Metrics.ObserveFirstToken(x.route.Name, now.Sub(x.Arrived))
	} else {
		x.maxGap = max(x.maxGap, now.Sub(x.lastEventAt))
	}
	x.lastEventAt = now
	if x.attemptEvents == 0 {
		x.attemptFirst = now
	}
	x.attemptLast = now
}
