package gateway

import (
	"context"
	"time"

	"ibiswinch/core/call"
	"ibiswinch/core/catalog"
	"ibiswinch/core/event"
	"ibiswinch/core/refusal"
	"ibiswinch/io/apexlog"
)

const (
	// startRetry is when a process that has no configuration yet may have one.
	startRetry = 300 * time.Millisecond
	// defaultTimeout bounds calls on routes without a time-out.
	defaultTimeout = 30 * time.Second
	// budgetShare is the part of the objective that a call may wait for tokens, in hundredths.
	budgetShare = 40
)

// request is a call on its way through the filters.
type request struct {
	*call.Call
	reply   Reply
	catalog *catalog.Catalog
	route   *catalog.Route
	team    *catalog.Team
	// ends is when the caller or the operator stops waiting.
	ends time.Time
	held int64
}

// Serve answers a call.
func (g *Gateway) Serve(ctx context.Context, c *call.Call, reply Reply) {
	g.serving.Add(1)
	defer g.serving.Add(-1)
	r := &request{Call: c, reply: reply, catalog: g.catalogs.now()}
	for _, filter := range []func(context.Context, *request) *refusal.Error{g.admitNew, g.findRoute, g.findTeam, g.quarantine, g.reserve} {
		if refused := filter(ctx, r); refused != nil {
			g.refuse(r, refused)
			return
		}
	}
	x := &exchange{g: g, request: r, service: r.route.Destination(g.servers.random())}
	x.run(ctx)
	g.budgets.settleCall(r.team, r.held, x.usedTokens())
	x.report()
}

// admitNew refuses calls that could outlast a planned stop, or wait too long at a full link.
func (g *Gateway) admitNew(_ context.Context, r *request) *refusal.Error {
	now := g.cfg.Now()
	if g.closed.Load() {
		return refusal.New(refusal.Draining, "the process stops").After(now)
	}
	if g.load.refuses(now.Sub(r.Arrived)) {
		return refusal.New(refusal.Overloaded, "the link of this entry VM is full").After(now.Add(overloadRetry))
	}
	return nil
}

func (g *Gateway) findRoute(_ context.Context, r *request) *refusal.Error {
	if r.catalog == nil {
		return refusal.New(refusal.NotReady, "no configuration yet").After(g.cfg.Now().Add(startRetry))
	}
	r.route = r.catalog.Match(r.Host, r.Path)
	if r.route == nil {
		return refusal.New(refusal.UnknownRoute, "no route")
	}
	timeout := r.route.Timeout
	if timeout <= 0 {
		timeout = defaultTimeout
	}
	r.ends = r.Arrived.Add(timeout)
	if !r.Deadline.IsZero() && r.Deadline.Before(r.ends) {
		r.ends = r.Deadline
	}
	return nil
}

func (g *Gateway) findTeam(_ context.Context, r *request) *refusal.Error {
	if r.Key != "" {
		r.team = r.catalog.TeamOf(r.Key)
	}
	if r.team == nil && r.catalog.NeedsKey(r.route) {
		return refusal.New(refusal.BadKey, "the key is not known")
	}
	return nil
}

func (g *Gateway) quarantine(_ context.Context, r *request) *refusal.Error {
	if g.suspects.empty() {
		return nil
	}
	if until := g.suspects.quarantined(r.Fingerprint()); !until.IsZero() {
		return refusal.New(refusal.Quarantined, "the request crashed several servers").After(until)
	}
	return nil
}

func (g *Gateway) reserve(ctx context.Context, r *request) *refusal.Error {
	until := r.Arrived.Add(r.route.Objective * budgetShare / 100)
	if refused := g.budgets.admit(ctx, r.ID, r.team, r.MaxTokens(), until); refused != nil {
		return refused
	}
	r.held = r.MaxTokens()
	return nil
}

// refuse answers with a refusal and logs it.
func (g *Gateway) refuse(r *request, e *refusal.Error) {
	fields := r.fields(g.cfg.Now())
	fields["reason"], fields["execution"], fields["message"] = string(e.Reason), string(e.Execution), e.Message
	if err := r.reply.Refuse(e); err != nil {
		fields["callerError"] = err.Error()
	}
	g.cfg.Metrics.Refusal(string(e.Reason))
	g.cfg.Metrics.Request(r.teamName(), string(e.Reason))
	g.cfg.Events.Event(event.RequestRefused, fields)
}

func (r *request) teamName() string {
	if r.team == nil {
		return ""
	}
	return r.team.Name
}

func (r *request) fields(now time.Time) apexlog.Fields {
	f := apexlog.Fields{"request": r.ID, "elapsedMs": now.Sub(r.Arrived).Milliseconds()}
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
