package gateway

import (
	"context"
	"slices"
	"time"

	"ibiswinch/core/event"
	"ibiswinch/core/placement"
)

const (
	// firstAnswerPercent of the target latency is how long a repeatable call waits for an answer before it is also sent to
	// another server.
	firstAnswerPercent = 130
	// stallTimeout is the pause between events after which another server is asked to go on with a stream. Callers leave after 2 s.
	stallTimeout = 800 * time.Millisecond
	// silenceCheckInterval is how often a silent attempt that may have no successor yet is checked again.
	silenceCheckInterval = 100 * time.Millisecond
	// overlapTimeout is how long a silent attempt stays open beside its successor. No server may be at work on a call 400 ms after it
	// has gone on at another one.
	overlapTimeout = 300 * time.Millisecond
)

// A sound server may be silent for a second and go on. So a silent attempt is cancelled only once its successor has gone on, or
// after overlapTimeout, and if the successor fails before, it is as if that had not been made.

// silenceLimit is the time after which a server is taken for silent that is sent the call now.
func (x *exchange) silenceLimit() time.Duration {
	if x.headSent {
		return stallTimeout
	}
	return x.route.TargetLatency * firstAnswerPercent / 100
}

// running returns the open attempts that are not cancelled, of which there are at most two: the older one, and its successor if it
// has one.
func (x *exchange) running() (older, successor *attempt) {
	for _, a := range x.open {
		switch {
		case a.cancelCause != nil:
		case older == nil:
			older = a
		default:
			successor = a
		}
	}
	return older, successor
}

// armSilence sets the timer to when checkSilence is to be called if nothing is received until then.
func (x *exchange) armSilence() {
	older, successor := x.running()
	switch {
	case older == nil || !x.route.Repeatable():
		x.silence.Stop()
	case successor != nil:
		x.silence.Reset(x.overlapUntil.Sub(x.g.cfg.Now()))
	default:
		x.silence.Reset(older.silentAt.Sub(x.g.cfg.Now()))
	}
}

// checkSilence gives up a silent attempt beside its successor, or sends the call to a successor.
func (x *exchange) checkSilence(ctx context.Context) {
	older, successor := x.running()
	if successor != nil {
		older.cancelWith(errSilent)
		return
	}
	if !x.startSuccessor(ctx, older) {
		older.silentAt = x.g.cfg.Now().Add(silenceCheckInterval)
	}
}

// startSuccessor sends the call also to another server than that of a silent attempt, and reports whether that is allowed and
// possible now.
func (x *exchange) startSuccessor(ctx context.Context, silent *attempt) bool {
	// The open attempts count as arrived.
	arrivals := x.arrivals + len(x.open)
	// A server that is only placed counts a call, and after a pause takes no other one for a while.
	if !x.maySucceed(ctx) || !x.hasRetryAfter(arrivals) {
		return false
	}
	excluded := slices.Clone(x.excluded)
	for _, a := range x.open {
		excluded = append(excluded, a.placement.Server.ID)
	}
	p, ok := x.choose(excluded)
	if !ok {
		return false
	}
	if !x.mayArriveAfter(arrivals) {
		x.g.servers.release(p, placement.Cancelled)
		return false
	}
	if x.reply.CallerGone() {
		x.g.servers.release(p, placement.Cancelled)
		x.cancelCall()
		return false
	}
	x.start(ctx, p)
	x.overlapUntil = x.g.cfg.Now().Add(overlapTimeout)
	x.logSuccessor(silent, p)
	x.g.cfg.Metrics.CountRetry()
	return true
}

// maySucceed reports whether the call may run at one server more than those of the open attempts.
func (x *exchange) maySucceed(ctx context.Context) bool {
	resumable := !x.headSent || x.isResumable(x.forwarded.last)
	return x.route.Repeatable() && resumable && x.runs+len(x.open) < x.route.MaxRuns && x.denyAttempt(ctx) == retryAllowed
}

func (x *exchange) logSuccessor(silent *attempt, p placement.Placement) {
	now := x.g.cfg.Now()
	fields := x.fields(now, x.g.stop.Load())
	fields["server"], fields["attempt"], fields["attemptEvents"] = silent.placement.Server.ID, silent.number, silent.events
	fields["attemptMs"], fields["next"], fields["nextAttempt"] = now.Sub(silent.startedAt).Milliseconds(), p.Server.ID, x.attempts
	x.g.cfg.Events.Event(event.ServerSilent, fields)
}

// keepOnly cancels the attempt beside a, where the answer goes on. An older one was silent, a successor isn't needed.
func (x *exchange) keepOnly(a *attempt) {
	x.lastPlacement = a.placement
	older, successor := x.running()
	switch {
	case successor == nil:
	case a == successor:
		older.cancelWith(errSilent)
	default:
		successor.cancelWith(errSuperseded)
	}
}

// cancelWith cancels the attempt. What it sends afterwards isn't forwarded.
func (a *attempt) cancelWith(cause error) {
	a.cancelCause = cause
	a.cancel(cause)
}
