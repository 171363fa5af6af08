package config

import (
	"slices"
	"time"

	"ibiswinch/core/review"
)

// Review returns the entries of a valid configuration that can never match, and limits that contradict each other, as of now.
func Review(c *Config, now time.Time) review.Findings {
	var f review.Findings
	for _, m := range c.Rules.Models {
		reviewModel(&f, c, m)
	}
	for _, s := range c.Rules.Services {
		reviewService(&f, c, s)
	}
	for _, t := range c.Rules.Teams {
		reviewTeam(&f, c, t)
	}
	for _, change := range c.Rules.Changes {
		reviewChange(&f, c, change, now)
	}
	if l := c.Rules.Limits; l.SlowReaderDeadline >= l.RequestTimeout {
		f.Warnf("limits", "slowReaderDeadline %v is never reached: requestTimeout is %v", l.SlowReaderDeadline, l.RequestTimeout)
	}
	return f
}

func reviewModel(f *review.Findings, c *Config, m Model) {
	subject := "model " + m.Name
	usable, fits := false, false
	for _, e := range c.Inventory.Engines {
		if e.Model == m.Name && e.State == Active {
			usable = true
			fits = fits || e.CapacityTokens > m.MaxOutputTokens
		}
	}
	switch {
	case !usable:
		f.Warnf(subject, "is never served: no active engine has it")
	case !fits:
		f.Warnf(subject, "a request of maxOutputTokens %d never fits: all engines have a smaller capacityTokens", m.MaxOutputTokens)
	}
}

func reviewService(f *review.Findings, c *Config, s Service) {
	subject := "service " + s.Name
	if !slices.ContainsFunc(c.Inventory.Servers, func(v Server) bool { return v.Service == s.Name && v.State == Active }) {
		f.Warnf(subject, "is never served: no active server has it")
	}
	if s.Timeout > c.Rules.Limits.RequestTimeout {
		f.Warnf(subject, "timeout %v is never reached: requestTimeout is %v", s.Timeout, c.Rules.Limits.RequestTimeout)
	}
}

func reviewTeam(f *review.Findings, c *Config, t Team) {
	subject := "team " + t.Name
	if len(t.Models) == 0 {
		f.Warnf(subject, "may use no model")
	}
	prepaid := t.PrepaidTokens()
	if prepaid == 0 {
		f.Warnf(subject, "all its requests are refused: it has no top-up")
		return
	}
	for _, name := range t.Models {
		if m, found := lookUp(c.Rules.Models, c.models, name); found && m.DefaultOutputTokens >= prepaid {
			f.Warnf(subject, "its %d tokens don't cover a default request of model %s", prepaid, name)
		}
	}
}

func reviewChange(f *review.Findings, c *Config, change Change, now time.Time) {
	subject := "change " + change.Name
	if !change.Deadline.After(now) {
		f.Warnf(subject, "its deadline %s has passed", change.Deadline.Format(time.RFC3339))
	}
	for _, version := range []string{change.From, change.To} {
		if !slices.ContainsFunc(c.Inventory.Engines, func(e Engine) bool { return e.Model == change.Model && slices.Contains(e.Versions, version) }) {
			f.Warnf(subject, "no engine serves version %s of model %s", version, change.Model)
		}
	}
}

// Compare returns what differs between the configuration in force and the next one.
func Compare(inForce, next *Config) []review.Difference {
	a, b := inForce, next
	out := review.Compare("domain", a.Inventory.Domains, b.Inventory.Domains, func(d Domain) string { return d.Name })
	out = append(out, review.Compare("engine", a.Inventory.Engines, b.Inventory.Engines, func(e Engine) string { return e.Name })...)
	out = append(out, review.Compare("server", a.Inventory.Servers, b.Inventory.Servers, func(s Server) string { return s.Name })...)
	out = append(out, review.Compare("team", a.Rules.Teams, b.Rules.Teams, func(t Team) string { return t.Name })...)
	out = append(out, review.Compare("model", a.Rules.Models, b.Rules.Models, func(m Model) string { return m.Name })...)
	out = append(out, review.Compare("service", a.Rules.Services, b.Rules.Services, func(s Service) string { return s.Name })...)
	out = append(out, review.Compare("change", a.Rules.Changes, b.Rules.Changes, func(c Change) string { return c.Name })...)
	if fields := review.CompareFields(a.Rules.Limits, b.Rules.Limits); len(fields) > 0 {
		out = append(out, review.Difference{Kind: review.Changed, Subject: "limits", Fields: fields})
	}
	return out
}
