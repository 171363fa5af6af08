package gateway

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"runtime/debug"
	"slices"
	"time"

	"ibiswinch/core/event"
	"ibiswinch/core/placement"
	"ibiswinch/core/refusal"
	"ibiswinch/core/rollout"
	"ibiswinch/io/apexlog"
)

const (
	// maxAttempts bounds the attempts of one call, including those that did not run.
	maxAttempts = 4
	// maxAnswerBytes bounds an answer that is not a stream.
	maxAnswerBytes = 8 << 20
	// While the log is near its rate limit, one in logSampleInterval successful requests is logged.
	logSampleInterval = 16
	// rejectedRetryDelay is the Retry-After when all servers rejected the call and none named a time.
	rejectedRetryDelay = 250 * time.Millisecond
)

// exchange sends a call to backend servers until there is an answer or no further attempt is allowed. Its attempts run in goroutines
// of their own; all else, also what the caller gets, is done in the goroutine of the call.
type exchange struct {
	g *Gateway
	*request
	service string

	// open are the attempts that have not ended, oldest first. At most two of them aren't cancelled.
	open    []*attempt
	updates chan update
	// cancelCall ends the context of the call.
	cancelCall context.CancelFunc
	// silence fires when the state of the open attempts is to be checked. overlapUntil is when the older of two is given up.
	silence      *time.Timer
	overlapUntil time.Time
	// failure is the result of the last attempt with a failure answer since the last retry. The answer is forwarded if no other
	// attempt is answered.
	failure attemptResult

	// attempts counts all attempts, arrivals those that reached a server, and runs those that may have run. retries counts the
	// retries taken from the limit, one for each arrival after the first.
	attempts, arrivals, runs, retries int
	excluded                          []string
	// headSent is set when the head of a stream was forwarded, answerSent when any successful answer was.
	headSent, answerSent bool
	// forwarded follows the events that the caller has.
	forwarded   eventSequence
	events      int64
	firstEvent  time.Time
	maxGap      time.Duration
	lastEventAt time.Time
	// choice is the version for this call; its change is empty without a version change.
	choice rollout.Choice
	// outcome is how the call ended, for the log and the metrics.
	outcome       string
	lastPlacement placement.Placement
	// lastSentAt is when the attempt that was answered was sent, lastFirstAt when its first event or answer arrived.
	lastSentAt, lastFirstAt time.Time
}

func (x *exchange) run(ctx context.Context) {
	ctx, x.cancelCall = context.WithDeadline(ctx, x.deadline)
	defer x.cancelCall()
	x.updates = make(chan update, 1)
	x.silence = time.NewTimer(0)
	defer x.silence.Stop()
	defer x.endAttempts()
	x.g.servers.addRequest(x.service)
	x.choice, _ = x.g.rollouts.choose(x.service, x.ID)
	for {
		p, ok := x.choose(x.excluded)
		if !ok {
			x.fail(x.noServer())
			return
		}
		if x.reply.CallerGone() {
			x.g.servers.release(p, placement.Cancelled)
			x.abandon()
			return
		}
		x.start(ctx, p)
		a, result := x.relay(ctx)
		if result.done {
			return
		}
		x.keepFailure(result)
		denied := x.denyRetry(ctx, result)
		x.logAttempt(a, result, denied)
		if denied != retryAllowed {
			x.endFailed(ctx, result)
			return
		}
		x.dropFailure()
		x.g.cfg.Metrics.CountRetry()
	}
}

// start starts an attempt at p.
func (x *exchange) start(ctx context.Context, p placement.Placement) {
	x.attempts++
	x.lastPlacement = p
	now := x.g.cfg.Now()
	attemptCtx, cancel := context.WithCancelCause(ctx)
	a := &attempt{
		g: x.g, placement: p, number: x.attempts, resumes: x.headSent, startedAt: now, cancel: cancel,
		updates: x.updates, handled: make(chan error, 1), silentAt: x.silentAfter(now),
	}
	x.open = append(x.open, a)
	go a.run(attemptCtx, Attempt{
		Call: x.Call, Server: p.Server, Team: x.teamName(), Deadline: x.deadline, LastEventID: x.forwarded.last, Priority: x.priority(),
	})
}

// relay forwards what the open attempts send until the caller has its final answer or the last attempt has ended. It returns the
// result of the attempt that ended last.
func (x *exchange) relay(ctx context.Context) (*attempt, attemptResult) {
	for {
		u := x.nextUpdate(ctx)
		a := u.attempt
		if u.result == nil {
			err := x.forwardEvent(a, u)
			if a.cancelCause == nil {
				a.cancelCause = err
			}
			a.handled <- err
			continue
		}
		result := x.finish(a, *u.result)
		if p, ok := result.err.(*attemptPanic); ok {
			panic(p)
		}
		if result.done || len(x.open) == 0 {
			return a, result
		}
		x.logAttempt(a, result, retryAllowed)
		x.keepFailure(result)
	}
}

// nextUpdate returns the next update of an open attempt, and handles the silence of servers until then.
func (x *exchange) nextUpdate(ctx context.Context) update {
	for {
		x.armSilence()
		select {
		case u := <-x.updates:
			return u
		case <-x.silence.C:
		}
		// An overloaded entry VM may find an update beside an expired timer. The server isn't silent then.
		select {
		case u := <-x.updates:
			return u
		default:
			x.checkSilence(ctx)
		}
	}
}

// finish forwards the result of an attempt and closes the attempt, also if a defect makes the forwarding panic.
func (x *exchange) finish(a *attempt, received attemptResult) (result attemptResult) {
	result = received
	defer func() { x.close(a, result) }()
	return x.forwardResult(a, received)
}

// close takes an attempt that has ended out of the open ones, counts it and tells the controllers what came of it.
func (x *exchange) close(a *attempt, result attemptResult) {
	a.cancel(nil)
	x.open = slices.DeleteFunc(x.open, func(o *attempt) bool { return o == a })
	x.g.servers.release(a.placement, result.outcome)
	if result.done && result.outcome == placement.Answered && x.attempts == 1 {
		x.g.servers.delivered(a.placement, x.outputTokens(), a.lastAt.Sub(a.firstAt))
	}
	x.recordEvidence(a, result.outcome)
	if result.arrived {
		x.arrivals++
	}
	if result.arrived && !result.notRun {
		x.runs++
	}
	if !result.done && a.cancelCause != errSuperseded {
		x.excluded = append(x.excluded, a.placement.Server.ID)
	}
	switch {
	case result.done:
		x.outcome = string(result.outcome)
		if result.outcome == placement.Answered {
			x.g.suspects.answered(x.Call)
		}
	case result.outcome == placement.Interrupted && !result.notRun:
		x.g.suspects.recordCrash(x.Call, a.placement.Server, a.startedAt, a.firstAt)
	}
}

// endAttempts cancels the open attempts and waits for their ends, so that no server works on a call that has ended.
func (x *exchange) endAttempts() {
	for _, a := range x.open {
		if a.cancelCause == nil {
			a.cancelWith(errCancelled)
		}
	}
	for len(x.open) > 0 {
		u := <-x.updates
		if u.result == nil {
			u.attempt.handled <- errCancelled
			continue
		}
		x.logAttempt(u.attempt, x.finish(u.attempt, *u.result), retryAllowed)
	}
	x.dropFailure()
}

// end settles and logs the call. A panic in its handler is answered like the failure of a server, since the call may have run.
func (x *exchange) end() {
	if v := recover(); v != nil {
		stack := debug.Stack()
		if p, ok := v.(*attemptPanic); ok {
			stack = p.stack
		}
		x.g.cfg.Events.Event(event.HandlerPanicked, apexlog.Fields{"request": x.ID, "error": fmt.Sprint(v), "stack": string(stack)})
		x.runs = max(x.runs, x.attempts)
		x.headSent = x.headSent || x.answerSent
		x.fail(refusal.New(refusal.ServerFailed, "the entry VM failed"))
	}
	x.g.budgets.settleCall(x.team, x.heldTokens, x.usedTokens())
	x.logEnd()
}

// endFailed answers the caller after the last attempt has failed.
func (x *exchange) endFailed(ctx context.Context, result attemptResult) {
	if answer := x.failure.answer; answer != nil && !x.headSent && !answer.PromisesNotRun() {
		x.outcome = string(placement.Failed)
		x.sendAnswer(answer, x.failure.body)
		return
	}
	if errors.Is(context.Cause(ctx), errStopping) {
		x.fail(refuseStopping(x.g.cfg.Now()))
		return
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		x.abandon()
		return
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		x.fail(refusal.New(refusal.DeadlinePassed, "no whole answer in time"))
		return
	}
	if result.notRun && x.runs == 0 {
		x.fail(refusal.New(refusal.NoCapacity, "no server has room").WithRetryAt(x.retryAt()))
		return
	}
	// The error may quote what the server sent, which may belong to another request. Only the log has it.
	x.fail(refusal.New(refusal.ServerFailed, "the server failed"))
}

// abandon ends a call whose caller has left. It may have closed only its direction, and would take the end of the handler for
// an empty answer.
func (x *exchange) abandon() {
	x.outcome = "callerGone"
	x.reply.Abort()
}

// fail ends the call with a refusal, or breaks off a stream that has started.
func (x *exchange) fail(e *refusal.Error) {
	x.outcome = string(e.Reason)
	if x.headSent {
		x.reply.Abort()
		return
	}
	if x.runs > 0 {
		e.Execution = refusal.Unknown
		if e.Reason != refusal.DeadlinePassed && e.Reason != refusal.Draining {
			e.Reason = refusal.ServerFailed
		}
	}
	x.g.cfg.Metrics.CountRefusal(string(e.Reason))
	if err := x.reply.Refuse(e); err != nil {
		x.outcome += ", callerGone"
	}
}

// usedTokens is the number of tokens that the team is charged: the prompt once, and the output that was forwarded. A
// call without a successful answer costs nothing.
func (x *exchange) usedTokens() int64 {
	if !x.answerSent {
		return 0
	}
	return x.InputTokens + x.outputTokens()
}

// outputTokens is the number of output tokens that were forwarded.
func (x *exchange) outputTokens() int64 {
	perEvent := x.catalog.Service(x.service).EventTokens
	return min(x.events*max(perEvent, 1), x.MaxOutputTokens)
}

func (x *exchange) priority() int {
	if x.team != nil && x.team.HasPriority {
		return x.team.Priority
	}
	return x.route.Priority
}

// logAttempt logs an attempt that has ended without a whole answer. denied is why there is no further one.
func (x *exchange) logAttempt(a *attempt, result attemptResult, denied retryDenial) {
	now := x.g.cfg.Now()
	fields := x.fields(now, x.g.stop.Load())
	fields["server"], fields["attempt"], fields["outcome"], fields["notRun"] = a.placement.Server.ID, a.number, string(result.outcome), result.notRun
	fields["candidates"], fields["rank"] = a.placement.Candidates, a.placement.Rank
	fields["attemptMs"], fields["attemptEvents"] = now.Sub(a.startedAt).Milliseconds(), a.events
	if len(x.open) > 0 {
		fields["open"] = len(x.open)
	}
	if denied != retryAllowed {
		fields["retryDenied"] = string(denied)
	}
	if parts := x.SharedPartIDs(); len(parts) > 0 {
		fields["parts"] = parts
	}
	if result.err != nil {
		fields["error"] = result.err.Error()
	}
	if result.answer != nil {
		fields["status"] = result.answer.Status()
	}
	x.g.cfg.Events.Event(event.AttemptFailed, fields)
}

// logEnd logs the end of the request.
func (x *exchange) logEnd() {
	now := x.g.cfg.Now()
	fields := x.fields(now, x.g.stop.Load())
	fields["outcome"], fields["server"], fields["sends"], fields["runs"] = x.outcome, x.lastPlacement.Server.ID, x.attempts, x.runs
	fields["tokens"], fields["held"], fields["prompt"] = x.usedTokens(), x.heldTokens, x.InputTokens
	fields["version"], fields["events"], fields["rank"], fields["candidates"] = x.lastPlacement.Server.Version, x.events, x.lastPlacement.Rank, x.lastPlacement.Candidates
	if !x.firstEvent.IsZero() {
		fields["firstMs"] = x.firstEvent.Sub(x.Arrived).Milliseconds()
		fields["gapMs"] = x.maxGap.Milliseconds()
		fields["predictedMs"] = x.lastPlacement.Predicted.Milliseconds()
		if !x.lastFirstAt.IsZero() {
			fields["serverMs"] = x.lastFirstAt.Sub(x.lastSentAt).Milliseconds()
		}
	}
	x.g.cfg.Metrics.CountRequest(x.teamName(), x.outcome)
	if x.shouldLogEnd() {
		x.g.cfg.Events.Event(event.RequestEnded, fields)
	}
}

// shouldLogEnd reports whether the end of the request is logged. While the log is near its rate limit only one in
// logSampleInterval successful requests is, chosen by a hash of its id so that all processes choose the same ones.
func (x *exchange) shouldLogEnd() bool {
	if x.outcome != string(placement.Answered) || x.attempts > 1 || x.g.cfg.LogNearLimit == nil || !x.g.cfg.LogNearLimit() {
		return true
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(x.ID))
	return h.Sum32()%logSampleInterval == 0
}
