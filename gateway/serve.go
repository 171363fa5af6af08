package gateway

import (
	"context"
	"errors"
	"fmt"
	"runtime/debug"
	"time"

	"ibiswinch/core/call"
	"ibiswinch/core/catalog"
	"ibiswinch/core/event"
	"ibiswinch/core/refusal"
	"ibiswinch/io/apexlog"
)

const (
	// notReadyRetryDelay is the Retry-After of a process that has no configuration yet.
	notReadyRetryDelay = 300 * time.Millisecond
	// defaultTimeout applies to routes without a time-out.
	defaultTimeout = 30 * time.Second
	// reserveWaitPercent is the part of the route's target latency that a call may wait for tokens.
	reserveWaitPercent = 40
)

// request is a call with what the filters have found out about it.
type request struct {
	*call.Call
	reply   Reply
	catalog *catalog.Catalog
	route   *catalog.Route
	team    *catalog.Team
	// receivedAt is when the whole call was received.
	receivedAt time.Time
	// deadline is the earlier of the caller's deadline and the route's time-out.
	deadline time.Time
	// bodyBytes is the announced size of a body that hasn't been received.
	bodyBytes int64
	// isOpen is set while the call counts as open.
	isOpen bool
	// heldTokens are held in the team's budget until the call ends.
	heldTokens int64
}

// Serve answers a call.
func (g *Gateway) Serve(ctx context.Context, c *call.Call, reply Reply) {
	g.openCalls.Add(1)
	defer g.openCalls.Add(-1)
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer context.AfterFunc(g.stopping, func() { cancel(errStopping) })()
	r := &request{Call: c, reply: reply, catalog: g.catalogs.now(), receivedAt: g.cfg.Now()}
	filters := g.headFilters()
	if len(c.Body) == 0 {
		// CheckHead has counted the other calls.
		filters = append(filters, g.checkShare)
	}
	defer g.load.endCall(r)
	if refused := g.filter(ctx, r, append(filters, g.load.beginCall, g.reserveTokens, g.checkLink)); refused != nil {
		g.refuse(r, refused)
		g.budgets.settleCall(r.team, r.heldTokens, 0)
		return
	}
	x := &exchange{g: g, request: r, service: r.route.ChooseService(g.servers.random())}
	if r.route.Kind == call.Stream && r.LastEventID != "" {
		x.forwarded.resumeAfter(r.LastEventID)
	}
	defer x.end()
	x.run(ctx)
}

// CheckHead returns why a call is refused whose body hasn't been received, nil if it is to be received. bodyBytes is the announced size
// of the body, negative if it isn't known. Serve checks all but the share of the team again.
func (g *Gateway) CheckHead(ctx context.Context, c *call.Call, reply Reply, bodyBytes int64) *refusal.Error {
	r := &request{Call: c, reply: reply, catalog: g.catalogs.now(), receivedAt: g.cfg.Now(), bodyBytes: max(bodyBytes, 0)}
	return g.filter(ctx, r, append(g.headFilters(), g.checkShare))
}

// Refuse refuses a call that wasn't received as a whole.
func (g *Gateway) Refuse(ctx context.Context, c *call.Call, reply Reply, e *refusal.Error) {
	r := &request{Call: c, reply: reply, catalog: g.catalogs.now()}
	// The log names the route and the team if there are any.
	_ = g.filter(ctx, r, []filter{g.findRoute, g.findTeam})
	g.refuse(r, e)
}

// filter returns why a request is refused, nil if it isn't.
type filter func(context.Context, *request) *refusal.Error

// headFilters need nothing but the head of a request.
func (g *Gateway) headFilters() []filter {
	return []filter{g.checkStop, g.checkLink, g.findRoute, g.findTeam, g.checkQuarantine}
}

// filter passes the request through filters and returns the refusal of the first that refuses it. A filter that panics refuses
// it: nothing has been sent to a server.
func (g *Gateway) filter(ctx context.Context, r *request, filters []filter) (refused *refusal.Error) {
	defer func() {
		if v := recover(); v != nil {
			g.cfg.Events.Event(event.HandlerPanicked, apexlog.Fields{"request": r.ID, "error": fmt.Sprint(v), "stack": string(debug.Stack())})
			refused = refusal.New(refusal.Defect, "the entry VM failed").WithRetryAt(g.cfg.Now().Add(notReadyRetryDelay))
		}
	}()
	for _, filter := range filters {
		if refused := filter(ctx, r); refused != nil {
			return refused
		}
	}
	return nil
}

// errStopping is the cause with which a call is cancelled when the process is about to exit.
var errStopping = errors.New("the process stops")

func refuseStopping(now time.Time) *refusal.Error {
	return refusal.New(refusal.Draining, "the process stops").WithRetryAt(now)
}

// checkStop refuses calls that might not end before a planned stop.
func (g *Gateway) checkStop(_ context.Context, r *request) *refusal.Error {
	now := g.cfg.Now()
	if stop := g.stop.Load(); stop != nil && !now.Before(stop.lastCallAt) {
		return refuseStopping(now)
	}
	return nil
}

// checkLink refuses calls that would wait too long for a full link. The link may have filled while a call waited for tokens.
func (g *Gateway) checkLink(_ context.Context, r *request) *refusal.Error {
	return g.load.check(r.receivedAt.Sub(r.Arrived))
}

func (g *Gateway) findRoute(_ context.Context, r *request) *refusal.Error {
	if r.catalog == nil {
		return refusal.New(refusal.NotReady, "no configuration yet").WithRetryAt(g.cfg.Now().Add(notReadyRetryDelay))
	}
	r.route = r.catalog.Match(r.Host, r.Path)
	if r.route == nil {
		return refusal.New(refusal.UnknownRoute, "no route")
	}
	timeout := r.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	r.deadline = r.Arrived.Add(timeout)
	if !r.Deadline.IsZero() && r.Deadline.Before(r.deadline) {
		r.deadline = r.Deadline
	}
	return nil
}

func (g *Gateway) findTeam(_ context.Context, r *request) *refusal.Error {
	if r.APIKey != "" {
		r.team = r.catalog.TeamByAPIKey(r.APIKey)
	}
	if r.team == nil && r.catalog.NeedsAPIKey(r.route) {
		return refusal.New(refusal.InvalidAPIKey, "the key is not known")
	}
	return nil
}

func (g *Gateway) checkQuarantine(_ context.Context, r *request) *refusal.Error {
	q, found := g.suspects.check(r.Call)
	if !found {
		return nil
	}
	refused := refusal.New(refusal.Quarantined, "%d servers crashed while they ran requests with %s", q.Crashes, q.Subject)
	return refused.WithRetryAt(g.cfg.Now().Add(q.Until.Sub(g.fleet.timeOfDay())))
}

func (g *Gateway) reserveTokens(ctx context.Context, r *request) *refusal.Error {
	until := r.Arrived.Add(r.route.TargetLatency * reserveWaitPercent / 100)
	if refused := g.budgets.admit(ctx, r.ID, r.team, r.MaxTokens(), until); refused != nil {
		if errors.Is(context.Cause(ctx), errStopping) {
			return refuseStopping(g.cfg.Now())
		}
		return refused
	}
	r.heldTokens = r.MaxTokens()
	return nil
}

// refuse sends a refusal to the caller and logs it.
func (g *Gateway) refuse(r *request, e *refusal.Error) {
	fields := r.fields(g.cfg.Now(), g.stop.Load())
	fields["reason"], fields["execution"], fields["message"] = string(e.Reason), string(e.Execution), e.Message
	if err := r.reply.Refuse(e); err != nil {
		fields["callerError"] = err.Error()
	}
	g.cfg.Metrics.CountRefusal(string(e.Reason))
	g.cfg.Metrics.CountRequest(r.teamName(), string(e.Reason))
	g.cfg.Events.Event(event.RequestRefused, fields)
}

func (r *request) teamName() string {
	if r.team == nil {
		return ""
	}
	return r.team.Name
}

// fields are the fields of all log lines about the request. stop is the planned stop, nil before it begins.
func (r *request) fields(now time.Time, stop *plannedStop) apexlog.Fields {
	f := apexlog.Fields{"request": r.ID, "elapsedMs": now.Sub(r.Arrived).Milliseconds()}
	if stop != nil {
		f["arrivedAfterStopMs"] = r.Arrived.Sub(stop.startedAt).Milliseconds()
	}
	if r.route != nil {
		f["route"] = r.route.Name
	}
	if r.team != nil {
		f["team"] = r.team.Name
	}
	if r.catalog != nil {
		f["configVersion"] = r.catalog.Version
	}
	return f
}
