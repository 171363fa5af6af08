package gateway

import (
	"ibiswinch/core/crash"
	"ibiswinch/core/placement"
)

// forwardEvent forwards an event to the caller, which settles where the answer goes on. It returns the error with which the attempt
// ends, nil if it goes on.
func (x *exchange) forwardEvent(a *attempt, u update) error {
	if a.cancelCause != nil {
		return a.cancelCause
	}
	first := a.events == 0
	if !x.mayForward(u.event, first) {
		return errNoContinuation
	}
	x.keepOnly(a)
	if first {
		x.g.servers.firstEvent(&a.placement)
		x.g.suspects.answerBegan(x.Call)
	}
	if !a.goesOn && crash.HasBegun(x.g.cfg.Now(), a.firstAt) {
		a.goesOn = true
		x.g.suspects.answerGoesOn(x.Call)
	}
	if !x.sendHead(u.answer) || x.reply.WriteEvent(u.event.Raw) != nil {
		return errCallerLost
	}
	x.recordEventTime(a)
	x.forwarded.add(u.event.ID)
	x.events++
	a.silentAt = x.lastEventAt.Add(stallTimeout)
	return nil
}

// forwardResult forwards the result of an attempt that ended with a whole answer or a whole stream. It returns what became of the
// attempt.
func (x *exchange) forwardResult(a *attempt, result attemptResult) attemptResult {
	if a.cancelCause != nil {
		return dropResult(a, result)
	}
	if result.outcome != placement.Answered {
		return result
	}
	if result.answer.IsEventStream() {
		return x.finishStream(a, result.answer)
	}
	x.keepOnly(a)
	x.recordEventTime(a)
	x.answerSent = true
	defer result.answer.Close()
	x.sendAnswer(result.answer, result.body)
	result.done = true
	return result
}

// dropResult closes what a cancelled attempt has sent too late, and returns what the attempt tells about its server.
func dropResult(a *attempt, result attemptResult) attemptResult {
	if result.answer != nil {
		result.answer.Close()
		result.answer, result.body = nil, nil
	}
	if result.outcome == placement.Answered {
		result.outcome, result.err = placement.Cancelled, a.cancelCause
	}
	return result
}

func (x *exchange) sendAnswer(answer Answer, body []byte) {
	if err := x.reply.WriteAnswer(answer, body); err != nil {
		x.outcome = "callerGone"
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
func (x *exchange) recordEventTime(a *attempt) {
	now := x.g.cfg.Now()
	if x.firstEvent.IsZero() {
		x.firstEvent = now
		x.g.cfg.Metrics.ObserveFirstToken(x.route.Name, now.Sub(x.Arrived))
	} else {
		x.maxGap = max(x.maxGap, now.Sub(x.lastEventAt))
	}
	x.lastEventAt = now
	if a.events == 0 {
		a.firstAt = now
		x.lastSentAt, x.lastFirstAt = a.startedAt, now
	}
	a.lastAt = now
	a.events++
}

// keepFailure keeps the failure answer of an attempt, if it has one, in place of an earlier one.
func (x *exchange) keepFailure(result attemptResult) {
	if result.answer == nil {
		return
	}
	x.dropFailure()
	x.failure = result
}

// dropFailure closes the failure answer that is kept, if there is one.
func (x *exchange) dropFailure() {
	if x.failure.answer != nil {
		x.failure.answer.Close()
	}
	x.failure = attemptResult{}
}
