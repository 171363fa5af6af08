package catalog

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"

	"ibiswinch/core/call"
	"ibiswinch/core/review"
)

// maxPriority is the lowest priority of calls.
const maxPriority = 9

// fingerprintBytes is the part of the hash of an API key that differences show in place of the key.
const fingerprintBytes = 4

// Review returns the errors of a configuration, its entries that can never match, and its limits that contradict each other.
func Review(cfg Config) review.Findings {
	var f review.Findings
	if cfg.Version <= 0 {
		f.Errorf("configuration", "version %d is not positive", cfg.Version)
	}
	reviewServices(&f, cfg)
	reviewRoutes(&f, cfg)
	reviewTeams(&f, cfg)
	l := cfg.Limits
	if l.HeaderBytes < 0 || l.BodyBytes < 0 || l.HeaderTimeout < 0 || l.IdleTimeout < 0 {
		f.Errorf("limits", "a limit is negative")
	}
	return f
}

func reviewServices(f *review.Findings, cfg Config) {
	used := map[string]bool{}
	for _, r := range cfg.Routes {
		for _, d := range r.Destinations {
			used[d.Service] = used[d.Service] || d.Weight > 0
		}
	}
	seen := map[string]bool{}
	for _, s := range cfg.Services {
		subject := "service " + s.Name
		switch {
		case s.Name == "":
			f.Errorf(subject, "the name is missing")
		case seen[s.Name]:
			f.Errorf(subject, "another service has the same name")
		case !used[s.Name]:
			f.Warnf(subject, "never gets calls: no route leads to it")
		}
		seen[s.Name] = true
		if s.MaxConnections > 0 && s.Slots > s.MaxConnections {
			f.Warnf(subject, "a server runs %d requests at once, but takes %d connections", s.Slots, s.MaxConnections)
		}
	}
}

func reviewRoutes(f *review.Findings, cfg Config) {
	names, patterns := map[string]bool{}, map[string]string{}
	for _, r := range cfg.Routes {
		subject := "route " + r.Name
		switch {
		case r.Name == "":
			f.Errorf(subject, "the name is missing")
		case names[r.Name]:
			f.Errorf(subject, "another route has the same name")
		}
		names[r.Name] = true
		if r.Host == "" {
			f.Errorf(subject, "the host is missing")
		}
		if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
			f.Errorf(subject, "the path prefix %q doesn't begin and end with a slash", r.Prefix)
		}
		pattern := strings.ToLower(r.Host) + r.Prefix
		if first, taken := patterns[pattern]; taken {
			f.Warnf(subject, "never matches: route %s has the same host and path prefix", first)
		} else {
			patterns[pattern] = r.Name
		}
		reviewDestinations(f, cfg, r)
		reviewRouteLimits(f, cfg, r)
	}
}

func reviewDestinations(f *review.Findings, cfg Config, r Route) {
	subject := "route " + r.Name
	if len(r.Destinations) == 0 {
		f.Errorf(subject, "no service")
		return
	}
	total := 0.0
	for _, d := range r.Destinations {
		switch {
		case !slices.ContainsFunc(cfg.Services, func(s Service) bool { return s.Name == d.Service }):
			f.Errorf(subject, "service %q doesn't exist", d.Service)
		case !(d.Weight >= 0):
			f.Errorf(subject, "service %s has weight %v", d.Service, d.Weight)
		case d.Weight == 0:
			f.Warnf(subject, "service %s never gets calls of it: its weight is 0", d.Service)
		}
		total += max(d.Weight, 0)
	}
	if total == 0 {
		f.Errorf(subject, "all weights are 0")
	}
}

func reviewRouteLimits(f *review.Findings, cfg Config, r Route) {
	subject := "route " + r.Name
	if r.Timeout > 0 && r.TargetLatency > r.Timeout {
		f.Warnf(subject, "the target latency %v is above the time-out %v", r.TargetLatency, r.Timeout)
	}
	if r.MaxRuns > 1 && !r.Repeatable() {
		f.Warnf(subject, "%d attempts, but its calls may run once", r.MaxRuns)
	}
	if r.Resumable && r.Kind != call.Stream {
		f.Warnf(subject, "resumption is set, but it has no streams")
	}
	if r.Priority < 0 || r.Priority > maxPriority {
		f.Warnf(subject, "priority %d is not from 0 to %d", r.Priority, maxPriority)
	}
	if r.Public && !cfg.HasTeams {
		f.Warnf(subject, "public has no effect: there are no teams")
	}
}

func reviewTeams(f *review.Findings, cfg Config) {
	names, owners := map[string]bool{}, map[string]string{}
	allPublic := !slices.ContainsFunc(cfg.Routes, func(r Route) bool { return !r.Public })
	for _, t := range cfg.Teams {
		subject := "team " + t.Name
		switch {
		case t.Name == "":
			f.Errorf(subject, "the name is missing")
		case names[t.Name]:
			f.Errorf(subject, "another team has the same name")
		case len(t.APIKeys) == 0:
			f.Warnf(subject, "never matches: it has no API key")
		case allPublic:
			f.Warnf(subject, "is never needed: all routes are public")
		}
		names[t.Name] = true
		for _, key := range t.APIKeys {
			if owner, taken := owners[key]; taken && owner != t.Name {
				f.Errorf(subject, "an API key already belongs to team %s", owner)
			}
			if key == "" {
				f.Errorf(subject, "an API key is empty")
			}
			owners[key] = t.Name
		}
		if t.Limited && t.PrepaidTokens == 0 {
			f.Warnf(subject, "all calls with tokens are refused: its budget is 0")
		}
		if t.HasPriority && (t.Priority < 0 || t.Priority > maxPriority) {
			f.Warnf(subject, "priority %d is not from 0 to %d", t.Priority, maxPriority)
		}
	}
}

// Compare returns what differs between the configuration in force and the next one. API keys are shown by their fingerprints.
func Compare(inForce, next Config) []review.Difference {
	out := review.Compare("route", inForce.Routes, next.Routes, func(r Route) string { return r.Name })
	out = append(out, review.Compare("service", inForce.Services, next.Services, func(s Service) string { return s.Name })...)
	out = append(out, review.Compare("team", hideKeys(inForce.Teams), hideKeys(next.Teams), func(t Team) string { return t.Name })...)
	if fields := review.CompareFields(inForce.Limits, next.Limits); len(fields) > 0 {
		out = append(out, review.Difference{Kind: review.Changed, Subject: "limits", Fields: fields})
	}
	return out
}

// hideKeys returns the teams with fingerprints in place of their API keys.
func hideKeys(teams []Team) []Team {
	out := slices.Clone(teams)
	for i, t := range out {
		keys := make([]string, len(t.APIKeys))
		for j, key := range t.APIKeys {
			hash := sha256.Sum256([]byte(key))
			keys[j] = fmt.Sprintf("sha256:%s", hex.EncodeToString(hash[:fingerprintBytes]))
		}
		out[i].APIKeys = keys
	}
	return out
}
