package gateway

import (
	"context"

	"ibiswinch/core/call"
)

// retryDenial is the reason why a call may not be sent to another server. It is logged with the failed attempt.
type retryDenial string

const (
	retryAllowed       retryDenial = ""
	retryCallEnded     retryDenial = "callEnded"
	retryTooMany       retryDenial = "attempts"
	retryNotRepeatable retryDenial = "notRepeatable"
	retryNotResumable  retryDenial = "notResumable"
	retryQuarantined   retryDenial = "quarantined"
	retryNoBudget      retryDenial = "retryBudget"
)

// denyRetry returns why the call may not be sent to another server after its last open attempt has ended. If it may, the retry is
// counted.
func (x *exchange) denyRetry(ctx context.Context, result attemptResult) retryDenial {
	if denied := x.denyAttempt(ctx); denied != retryAllowed {
		return denied
	}
	switch {
	case !result.notRun && (!x.route.Repeatable() || x.runs >= x.route.MaxRuns):
		return retryNotRepeatable
	case x.headSent && !x.isResumable(x.forwarded.last):
		return retryNotResumable
	case !x.mayArriveAfter(x.arrivals):
		return retryNoBudget
	}
	return retryAllowed
}

// mayArriveAfter reports whether the call may arrive at a server once more after the given number of arrivals. Beyond the first it
// takes a retry, unless one is left from an attempt that reached no server.
func (x *exchange) mayArriveAfter(arrivals int) bool {
	if x.retries >= arrivals {
		return true
	}
	if !x.g.servers.takeRetry(x.service) {
		return false
	}
	x.retries++
	return true
}

// hasRetryAfter is like mayArriveAfter, but takes no retry.
func (x *exchange) hasRetryAfter(arrivals int) bool {
	return x.retries >= arrivals || x.g.servers.hasRetry(x.service)
}

// isResumable reports whether another server can go on with the stream after the event with the given id.
func (x *exchange) isResumable(lastEvent string) bool {
	return x.route.Kind == call.Stream && lastEvent != ""
}

// denyAttempt returns why the call may not have another attempt, whatever came of the last one.
func (x *exchange) denyAttempt(ctx context.Context) retryDenial {
	switch {
	case ctx.Err() != nil:
		return retryCallEnded
	case x.attempts >= maxAttempts:
		return retryTooMany
	}
	if _, quarantined := x.g.suspects.check(x.Call); quarantined {
		return retryQuarantined
	}
	return retryAllowed
}
