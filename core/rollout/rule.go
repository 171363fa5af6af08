// Package rollout runs gradual version changes of models. Changes is the state of all changes, folded from the changes
// stream of the log and equal at every process. Controller compares at one entry VM the new version with the old one,
// and advances, finishes or takes back (rolls back) the change. The package has no clock, goroutines or I/O.
package rollout

import (
	"slices"
	"time"

	"github.com/rotisserie/eris"
)

// Share is a part of the traffic in units of 0.01%.
type Share uint16

// FullShare is all traffic.
const FullShare Share = 10_000

const (
	maxNameBytes = 128
	maxStages    = 16
)

// DefaultStages returns the stages of a rule that names none: 0.5%, 5%, 25%, 50% and 100%.
func DefaultStages() []Share { return []Share{50, 500, 2500, 5000, FullShare} }

// Rule is a version change of one model as published by the operator.
type Rule struct {
	Model string `json:"model"`
	Old   string `json:"old"`
	New   string `json:"new"`
	// Deadline is when New must carry all traffic.
	Deadline time.Time `json:"deadline"`
	// Stages are the successive shares of New. They grow, and the last is FullShare.
	Stages []Share `json:"stages"`
}

// Validate checks the rule.
func (r Rule) Validate() error {
	for _, name := range []string{r.Model, r.Old, r.New} {
		if name == "" || len(name) > maxNameBytes {
			return eris.New("model or version missing or too long")
		}
	}
	if r.Old == r.New {
		return eris.New("old and new version are the same")
	}
	if r.Deadline.IsZero() {
		return eris.New("deadline missing")
	}
	if len(r.Stages) == 0 || len(r.Stages) > maxStages {
		return eris.Errorf("%d stages, want 1 to %d", len(r.Stages), maxStages)
	}
	last := Share(0)
	for _, s := range r.Stages {
		if s <= last || s > FullShare {
			return eris.New("stages must grow and stay within 100%")
		}
		last = s
	}
	if last != FullShare {
		return eris.New("the last stage must be 100%")
	}
	return nil
}

// Equal reports whether both rules ask for the same change.
func (r Rule) Equal(o Rule) bool {
	return r.Model == o.Model && r.Old == o.Old && r.New == o.New &&
		r.Deadline.Equal(o.Deadline) && slices.Equal(r.Stages, o.Stages)
}

func (r Rule) lastStage() int { return len(r.Stages) - 1 }

// Reason says why a change was taken back.
type Reason string

// Reasons of a takeBack. The faults (isFault) also take back a change that is done.
const (
	ReasonFailures   Reason = "failures"
	ReasonFirstToken Reason = "slowFirstToken"
	ReasonGap        Reason = "slowGap"
	ReasonNoEvidence Reason = "noEvidence"
	ReasonWithdrawn  Reason = "withdrawn"
	ReasonReplaced   Reason = "replaced"
)

func (r Reason) isFault() bool {
	return r == ReasonFailures || r == ReasonFirstToken || r == ReasonGap
}

// Open is the payload of an openChange record.
type Open struct {
	Rule Rule `json:"rule"`
	// ConfigVersion is the configuration that holds the rule.
	ConfigVersion uint64 `json:"configVersion"`
	// Follows is the ConfigVersion of the last change of the model that the author knew, 0 if it knew none. It is nil in
	// records of older programs.
	Follows *uint64 `json:"follows,omitempty"`
}

// ignores reports whether the author of o didn't know c, which was opened in an earlier era: it may have read an order of
// which it can't tell that it was followed before.
func (o Open) ignores(c Change) bool {
	return eraOf(c.ConfigVersion) < eraOf(o.ConfigVersion) && o.Follows != nil && *o.Follows < c.ConfigVersion
}

// Validate checks the payload.
func (o Open) Validate() error {
	if o.ConfigVersion == 0 {
		return eris.New("configuration version is zero")
	}
	return o.Rule.Validate()
}

// Advance is the payload of an advance record.
type Advance struct {
	Change string `json:"change"`
	// From is the stage that the change is advanced from; the next one is From+1.
	From int `json:"from"`
}

// Validate checks the payload.
func (a Advance) Validate() error {
	if a.From < 0 || a.From >= maxStages {
		return eris.New("stage out of range")
	}
	return validateID(a.Change)
}

// TakeBack is the payload of a takeBack record.
type TakeBack struct {
	Change string `json:"change"`
	Reason Reason `json:"reason"`
	// Route is the route with the fault; empty for all routes together.
	Route string `json:"route,omitempty"`
	// ConfigVersion is the configuration that no longer holds the rule, for ReasonWithdrawn only.
	ConfigVersion uint64 `json:"configVersion,omitempty"`
}

// Validate checks the payload.
func (t TakeBack) Validate() error {
	switch {
	case len(t.Route) > maxNameBytes:
		return eris.New("takeBack with a route that is too long")
	case t.Reason == ReasonWithdrawn && t.ConfigVersion == 0:
		return eris.New("takeBack of a withdrawn rule without a configuration version")
	case t.Reason != ReasonWithdrawn && t.Reason != ReasonNoEvidence && !t.Reason.isFault():
		return eris.Errorf("takeBack with invalid reason %q", t.Reason)
	}
	return validateID(t.Change)
}

// Done is the payload of a done record.
type Done struct {
	Change string `json:"change"`
	// Requests counts the requests to New known to the author.
	Requests uint64 `json:"requests"`
}

// Validate checks the payload.
func (d Done) Validate() error { return validateID(d.Change) }

func validateID(id string) error {
	if id == "" || len(id) > 2*maxNameBytes {
		return eris.New("change id missing or too long")
	}
	return nil
}
