package gateway

import (
	"errors"

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
