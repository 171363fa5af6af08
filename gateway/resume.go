package gateway

import (
	"errors"

	"ibiswinch/core/call"
	"ibiswinch/core/placement"
)

// errNoContinuation is the error of an answer that doesn't go on with the stream that the caller has the start of.
var errNoContinuation = errors.New("the answer doesn't continue the stream")

// resultOfOtherAnswer returns the result of an attempt to resume a stream that was answered by something else.
func resultOfOtherAnswer(answer Answer) attemptResult {
	result := attemptResult{outcome: placement.Interrupted, arrived: true, err: errNoContinuation}
	if answer.Signed() && !isSuccess(answer.Status()) {
		result.outcome = placement.Failed
	}
	return result
}

// finishStream ends the stream that an attempt has sent to its end. A resumed stream without an event may have been broken off
// before it, and doesn't prove that the caller has the last one.
func (x *exchange) finishStream(a *attempt, answer Answer) attemptResult {
	if a.events == 0 && x.headSent {
		return attemptResult{outcome: placement.Interrupted, arrived: true, err: errNoContinuation}
	}
	x.keepOnly(a)
	if !x.sendHead(answer) {
		return attemptResult{outcome: placement.Cancelled, arrived: true, done: true}
	}
	x.reply.Finish()
	return attemptResult{outcome: placement.Answered, arrived: true, done: true}
}

// mayForward reports whether an event follows the events that the caller has. Only streams have ids that increase.
func (x *exchange) mayForward(e Event, first bool) bool {
	if x.route.Kind != call.Stream {
		return true
	}
	if first {
		return x.forwarded.continues(e.ID)
	}
	return x.forwarded.increases(e.ID)
}
