package gateway

import (
	"time"

	"ibiswinch/core/placement"
	"ibiswinch/core/refusal"
	"ibiswinch/core/rollout"
)

// choose places the call at a server of its version. A call for the new version goes to the old one if there is no room,
// unless the old servers are about to stop.
// Servers in excluded are left out.
func (x *exchange) choose(excluded []string) (placement.Placement, bool) {
	r := x.placementRequest(excluded)
	var handingOver bool
	x.choice, handingOver = x.g.rollouts.current(x.service, x.choice)
	switch {
	case x.choice.Change == "":
		return x.g.servers.choose(r)
	case x.choice.New:
		r.Version = x.choice.Version
		if p, ok := x.g.servers.choose(r); ok {
			return p, true
		}
		if handingOver && x.g.servers.hasVersion(x.service, x.choice.Version) {
			return placement.Placement{}, false
		}
		r.Version, r.ExcludedVersion = "", x.choice.Version
	default:
		r.ExcludedVersion = x.choice.Other
	}
	if !x.g.servers.hasOtherVersion(x.service, r.ExcludedVersion) {
		// The servers of the other version are gone for good after a completed change.
		r.ExcludedVersion = ""
	}
	return x.g.servers.choose(r)
}

// placementRequest describes the call to the table of servers.
func (x *exchange) placementRequest(excluded []string) placement.Request {
	r := placement.Request{
		Service: x.service, Tokens: x.InputTokens, TargetLatency: x.route.TargetLatency, Excluded: excluded, Regions: x.regions(),
	}
	if x.route.Sticky {
		r.PrefixID = x.PrefixID()
		for _, p := range x.SharedParts() {
			r.PrefixTokens += p.Tokens
		}
	}
	return r
}

// regions are those whose servers may take the call. Both the route and the team bind.
func (x *exchange) regions() placement.Regions {
	if x.team == nil {
		return placement.AllowedRegions(x.route.Regions)
	}
	return placement.AllowedRegions(x.route.Regions, x.team.Regions)
}

// noServer returns the refusal of a call that no server takes now.
func (x *exchange) noServer() *refusal.Error {
	if x.g.servers.hasServers(x.service) && !x.g.servers.hasServersIn(x.service, x.regions()) {
		return refusal.New(refusal.NoServer, "no server of the allowed regions takes calls").WithRetryAt(x.g.cfg.Now().Add(rejectedRetryDelay))
	}
	if next := x.g.servers.nextCall(x.service); !next.IsZero() {
		return refusal.New(refusal.NoCapacity, "all servers are at their limits or asked for a wait").WithRetryAt(next)
	}
	retryAt := x.retryAt()
	if x.g.servers.hasServers(x.service) {
		return refusal.New(refusal.NoCapacity, "no server answers further calls in time").WithRetryAt(retryAt)
	}
	return refusal.New(refusal.NoServer, "no server takes calls").WithRetryAt(retryAt)
}

// retryAt returns when a server may take a call that none takes now.
func (x *exchange) retryAt() time.Time {
	if next := x.g.servers.nextCall(x.service); !next.IsZero() {
		return next
	}
	return x.g.cfg.Now().Add(rejectedRetryDelay)
}

// recordEvidence adds an attempt to the evidence of the version change. One that its caller ended, or that did not run,
// is neither a success nor a failure.
func (x *exchange) recordEvidence(a *attempt, o placement.Outcome) {
	if x.choice.Change == "" {
		return
	}
	newVersion := x.choice.Other
	if x.choice.New {
		newVersion = x.choice.Version
	}
	sample := rollout.Sample{Change: x.choice.Change, New: a.placement.Server.Version == newVersion, Route: x.route.Name}
	var samples []rollout.Sample
	switch o {
	case placement.Answered, placement.Failed, placement.Interrupted, placement.TimedOut:
		sample.Metric, sample.Failed = rollout.MetricFailure, o != placement.Answered
		samples = append(samples, sample)
	}
	if a.events > 0 {
		sample.Metric, sample.Latency = rollout.MetricFirstToken, a.firstAt.Sub(a.startedAt)
		samples = append(samples, sample)
	}
	if a.events > 1 {
		sample.Metric, sample.Latency = rollout.MetricGap, a.lastAt.Sub(a.firstAt)/time.Duration(a.events-1)
		samples = append(samples, sample)
	}
	x.g.rollouts.record(samples)
}
