package gateway

import (
	"context"
	"errors"
	"hash/fnv"
	"io"
	"time"

	"ibiswinch/core/call"
	"ibiswinch/core/event"
	"ibiswinch/core/placement"
	"ibiswinch/core/refusal"
)

const (
	// maxSends bounds the sends of one call, those that did not run included.
	maxSends = 4
	// maxAnswerBytes bounds an answer that is not a stream.
	maxAnswerBytes = 8 << 20
	// firstWaitShare is the part of the objective after which a repeatable call is tried elsewhere, in hundredths.
	firstWaitShare = 130
	// stallTimeout is the pause between events after which a resumable stream goes on elsewhere; callers leave after 2 s.
	stallTimeout = 800 * time.Millisecond
	// sampleOne is the part of the successful requests that is logged under pressure.
	sampleOne = 16
	// fullRetry is when a repeat may find room after all servers were full.
	fullRetry = 250 * time.Millisecond
)

// errSilent is the cause of an attempt that is given up because the server is silent.
var errSilent = errors.New("no answer in time")

// errGarbled is the error of an answer that isn't one of the server to this call.
var errGarbled = errors.New("the answer isn't signed by the server")

// exchange runs a call at backend servers until it has an answer.
type exchange struct {
	g *Gateway
	*request
	service string

	// sends counts the sends, arrivals those that reached a server, and runs those that may have run.
	sends, arrivals, runs int
	excluded              []string
	// begun is set when the head of a stream was passed on, delivered when any answer of success was.
	begun, delivered bool
	lastEvent        string
	events           int64
	firstEvent       time.Time
	worstGap         time.Duration
	lastEventAt      time.Time
	outcome          string
	last             placement.Placement
}

// verdict is what follows from an attempt.
type verdict struct {
	outcome placement.Outcome
	// done is set when the caller has its final answer.
	done bool
	// notRun is set when the attempt is proven not to have run.
	notRun bool
	// arrived is set when a server got the request.
	arrived bool
	// answer is kept to be passed on if there is no other.
	answer Answer
	body   []byte
	err    error
}

func (x *exchange) run(ctx context.Context) {
	ctx, cancel := context.WithDeadline(ctx, x.ends)
	defer cancel()
	x.g.servers.addRequest(x.service)
	for {
		p, ok := x.g.servers.choose(x.placing())
		if !ok {
			x.fail(refusal.New(refusal.NoServer, "no server takes calls").After(x.g.cfg.Now().Add(fullRetry)))
			return
		}
		x.last = p
		x.sends++
		v := x.attempt(ctx, &p)
		x.g.servers.release(p, v.outcome)
		if v.arrived {
			x.arrivals++
		}
		if v.arrived && !v.notRun {
			x.runs++
		}
		if v.done {
			x.outcome = string(v.outcome)
			if v.outcome == placement.Answered {
				x.g.suspects.completed(x.Fingerprint)
			}
			return
		}
		x.logAttempt(p, v)
		if !x.mayRepeat(ctx, v) {
			x.giveUp(ctx, v)
			return
		}
		if v.answer != nil {
			v.answer.Close()
		}
		x.excluded = append(x.excluded, p.Server.ID)
		x.g.cfg.Metrics.Retry()
	}
}

func (x *exchange) placing() placement.Request {
	r := placement.Request{Service: x.service, Tokens: x.InputTokens, Excluded: x.excluded}
	if x.route.Sticky {
		r.Session = x.Session()
		for _, p := range x.SharedParts() {
			r.SharedTokens += p.Tokens
		}
	}
	return r
}

// attempt sends the call to one server.
func (x *exchange) attempt(ctx context.Context, p *placement.Placement) verdict {
	attemptCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	watchdog := x.watch(cancel)
	defer watchdog.Stop()
	answer, err := x.g.cfg.Backend.Send(attemptCtx, Send{
		Call: x.Call, Server: p.Server, Team: x.teamName(), Deadline: x.ends, LastEvent: x.lastEvent, Priority: x.priority(),
	})
	if err != nil {
		return x.judgeError(ctx, attemptCtx, err)
	}
	if answer.NotRun() || answer.Misdirected() {
		outcome := placement.Full
		if answer.Misdirected() {
			outcome = placement.Misdirected
		}
		answer.Close()
		return verdict{outcome: outcome, notRun: true, arrived: true, err: errors.New("the server did not run the call")}
	}
	if answer.Events() && answer.Sealed() && isSuccess(answer.Status()) {
		defer answer.Close()
		return x.relay(ctx, attemptCtx, p, answer, watchdog)
	}
	return x.whole(ctx, attemptCtx, answer)
}

func isSuccess(status int) bool { return status/100 == 2 }

// watch gives the attempt up when the server is silent and the call could go elsewhere.
func (x *exchange) watch(cancel context.CancelCauseFunc) *time.Timer {
	wait := time.Until(x.ends) + time.Hour
	if x.route.Repeatable() && x.runs+1 < x.route.Attempts {
		wait = x.route.Objective * firstWaitShare / 100
		if x.begun {
			wait = stallTimeout
		}
	}
	return time.AfterFunc(wait, func() { cancel(errSilent) })
}

// judgeError turns the failure of a send into a verdict.
func (x *exchange) judgeError(ctx, attemptCtx context.Context, err error) verdict {
	v := verdict{outcome: placement.Broken, arrived: true, err: err}
	var failed *SendError
	if errors.As(err, &failed) {
		v.outcome, v.notRun, v.arrived = failed.Outcome, failed.NotRun, !failed.NotRun
	}
	switch {
	case ctx.Err() != nil:
		v.outcome = placement.Abandoned
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			v.outcome = placement.Silent
		}
	case errors.Is(context.Cause(attemptCtx), errSilent):
		v.outcome = placement.Silent
	}
	return v
}

// whole reads an answer that is not a stream and passes it on.
func (x *exchange) whole(ctx, attemptCtx context.Context, answer Answer) verdict {
	body, err := answer.Body(maxAnswerBytes)
	if err != nil {
		answer.Close()
		return x.judgeError(ctx, attemptCtx, err)
	}
	if !answer.Sealed() {
		answer.Close()
		return verdict{outcome: placement.Broken, arrived: true, err: errGarbled}
	}
	if !isSuccess(answer.Status()) {
		return verdict{outcome: placement.Failed, arrived: true, answer: answer, body: body, err: errors.New("the server failed")}
	}
	x.stamp()
	x.delivered = true
	x.pass(answer, body)
	return verdict{outcome: placement.Answered, arrived: true, done: true}
}

func (x *exchange) pass(answer Answer, body []byte) {
	defer answer.Close()
	if err := x.reply.Whole(answer, body); err != nil {
		x.outcome = "callerGone"
	}
}

// relay passes the events of a stream on as they come.
func (x *exchange) relay(ctx, attemptCtx context.Context, p *placement.Placement, answer Answer, watchdog *time.Timer) verdict {
	resumable := x.route.Repeatable() && x.runs+1 < x.route.Attempts
	first := true
	for {
		e, err := answer.Next()
		if err == io.EOF {
			if !x.begin(answer) {
				return verdict{outcome: placement.Abandoned, arrived: true, done: true}
			}
			x.reply.Finish()
			return verdict{outcome: placement.Answered, arrived: true, done: true}
		}
		if err != nil {
			return x.judgeError(ctx, attemptCtx, err)
		}
		if resumable {
			watchdog.Reset(stallTimeout)
		}
		if first {
			first = false
			x.g.servers.firstEvent(p)
		}
		if !x.begin(answer) || x.reply.Event(e.Raw) != nil {
			return verdict{outcome: placement.Abandoned, arrived: true, done: true}
		}
		x.stamp()
		x.lastEvent = e.ID
		x.events++
	}
}

// begin sends the head of the stream once and reports whether the caller is still there.
func (x *exchange) begin(answer Answer) bool {
	if x.begun {
		return true
	}
	x.begun, x.delivered = true, true
	return x.reply.Begin(answer) == nil
}

// stamp notes the times of events.
func (x *exchange) stamp() {
	now := x.g.cfg.Now()
	if x.firstEvent.IsZero() {
		x.firstEvent = now
		x.g.cfg.Metrics.FirstToken(x.route.Name, now.Sub(x.Arrived))
	} else {
		x.worstGap = max(x.worstGap, now.Sub(x.lastEventAt))
	}
	x.lastEventAt = now
}

// mayRepeat decides whether the call goes to another server.
func (x *exchange) mayRepeat(ctx context.Context, v verdict) bool {
	if ctx.Err() != nil || x.sends >= maxSends {
		return false
	}
	if !v.notRun && (!x.route.Repeatable() || x.runs >= x.route.Attempts) {
		return false
	}
	if x.begun && (x.route.Kind != call.Stream || x.lastEvent == "") {
		return false
	}
	if x.arrivals == 0 {
		return true
	}
	return x.g.servers.takeRetry(x.service)
}

// giveUp answers the caller after the last attempt.
func (x *exchange) giveUp(ctx context.Context, v verdict) {
	if v.answer != nil && !x.begun {
		x.outcome = string(v.outcome)
		x.pass(v.answer, v.body)
		return
	}
	if errors.Is(ctx.Err(), context.Canceled) {
		x.outcome = "callerGone"
		if x.begun {
			x.reply.Break()
		}
		return
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		x.fail(refusal.New(refusal.DeadlinePassed, "no whole answer in time"))
		return
	}
	if v.notRun && x.runs == 0 {
		x.fail(refusal.New(refusal.NoCapacity, "no server has room").After(x.g.cfg.Now().Add(fullRetry)))
		return
	}
	x.fail(refusal.New(refusal.ServerFailed, "the server failed: %v", v.err))
}

// fail ends the call without an answer of a server.
func (x *exchange) fail(e *refusal.Error) {
	x.outcome = string(e.Reason)
	if x.begun {
		x.reply.Break()
		return
	}
	if x.runs > 0 {
		e.Execution = refusal.Unknown
		if e.Reason != refusal.DeadlinePassed {
			e.Reason = refusal.ServerFailed
		}
	}
	x.g.cfg.Metrics.Refusal(string(e.Reason))
	if err := x.reply.Refuse(e); err != nil {
		x.outcome += ", callerGone"
	}
}

// usedTokens is what the team pays: the prompt once, and what was delivered. An answer that never began costs nothing.
func (x *exchange) usedTokens() int64 {
	if !x.delivered {
		return 0
	}
	perEvent := x.catalog.Service(x.service).EventTokens
	return x.InputTokens + min(x.events*max(perEvent, 1), x.MaxOutputTokens)
}

func (x *exchange) priority() int {
	if x.team != nil && x.team.HasPriority {
		return x.team.Priority
	}
	return x.route.Priority
}

func (x *exchange) logAttempt(p placement.Placement, v verdict) {
	fields := x.fields(x.g.cfg.Now())
	fields["server"], fields["attempt"], fields["outcome"], fields["notRun"] = p.Server.ID, x.sends, string(v.outcome), v.notRun
	fields["candidates"], fields["rank"] = p.Candidates, p.Rank
	if v.err != nil {
		fields["error"] = v.err.Error()
	}
	if v.answer != nil {
		fields["status"] = v.answer.Status()
	}
	x.g.cfg.Events.Event(event.AttemptFailed, fields)
	if v.outcome == placement.Broken {
		x.g.suspects.broke(x.Fingerprint(), p.Server.ID)
	}
}

// report logs the end of the request.
func (x *exchange) report() {
	now := x.g.cfg.Now()
	fields := x.fields(now)
	fields["outcome"], fields["server"], fields["sends"], fields["runs"] = x.outcome, x.last.Server.ID, x.sends, x.runs
	fields["tokens"], fields["held"], fields["prompt"] = x.usedTokens(), x.held, x.InputTokens
	fields["events"], fields["rank"], fields["candidates"] = x.events, x.last.Rank, x.last.Candidates
	if !x.firstEvent.IsZero() {
		fields["firstMs"] = x.firstEvent.Sub(x.Arrived).Milliseconds()
		fields["gapMs"] = x.worstGap.Milliseconds()
	}
	x.g.cfg.Metrics.Request(x.teamName(), x.outcome)
	if x.sampled() {
		x.g.cfg.Events.Event(event.RequestEnded, fields)
	}
}

// sampled reports whether the end of the request is logged. Under pressure one in sampleOne of the successful requests
// is, chosen by its id so that all processes choose the same ones.
func (x *exchange) sampled() bool {
	if x.outcome != string(placement.Answered) || x.sends > 1 || x.g.cfg.Pressed == nil || !x.g.cfg.Pressed() {
		return true
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(x.ID))
	return h.Sum32()%sampleOne == 0
}
