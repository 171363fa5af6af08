package engine

import (
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

// Action is what a rule does to a request.
type Action string

const (
	// ActionFail answers with Status, or with AfterTokens closes the connection after that many tokens.
	ActionFail Action = "fail"
	// ActionCut closes the connection after AfterTokens tokens.
	ActionCut Action = "cut"
	// ActionCancel cancels the run after AfterTokens tokens, as POST /v1/cancel does.
	ActionCancel Action = "cancel"
	// ActionSlowFirst delays the first token by DelayMs.
	ActionSlowFirst Action = "slowFirst"
	// ActionSlowGaps delays each token after the first by DelayMs.
	ActionSlowGaps Action = "slowGaps"
	// ActionFreeze pauses the answer after AfterTokens tokens until the faults are replaced.
	ActionFreeze Action = "freeze"
)

// Rule applies a fault to some requests. Empty conditions match all requests.
type Rule struct {
	Action Action `json:"action"`
	// Version and Route select requests. Route is a path such as /v1/completions.
	Version string `json:"version,omitempty"`
	Route   string `json:"route,omitempty"`
	// Share is the fraction of the selected requests that get the fault, spread evenly; 0 means all.
	Share float64 `json:"share,omitempty"`
	// SkipFirst is the number of selected requests without the fault at the start.
	SkipFirst int `json:"after,omitempty"`
	// Limit is the number of requests after SkipFirst to which the rule applies; 0 means no limit.
	Limit int `json:"limit,omitempty"`
	// AboveRunning applies the rule only while more than this number of requests run. ActionSlowGaps checks it at
	// each token, the other actions at the start of the request.
	AboveRunning int `json:"aboveRunning,omitempty"`
	DelayMs      int `json:"delayMs,omitempty"`
	AfterTokens  int `json:"afterTokens,omitempty"`
	// Status is the HTTP status of ActionFail; 0 means 500.
	Status int `json:"status,omitempty"`
}

// Faults are the active faults. POST /faults replaces all of them; the zero value has none.
type Faults struct {
	Rules []Rule `json:"rules,omitempty"`
	// Crash crashes the engine at once.
	Crash bool `json:"crash,omitempty"`
}

// Validate returns an error if a rule has an unknown action or a number out of range.
func (f Faults) Validate() error {
	for _, r := range f.Rules {
		switch r.Action {
		case ActionFail, ActionCut, ActionCancel, ActionSlowFirst, ActionSlowGaps, ActionFreeze:
		default:
			return eris.Errorf("unknown action %q", string(r.Action))
		}
		if r.Share < 0 || r.Share > 1 || min(r.SkipFirst, r.Limit, r.AboveRunning, r.DelayMs, r.AfterTokens) < 0 {
			return eris.New("a number is out of range")
		}
		if r.Status != 0 && (r.Status < 400 || r.Status > 599) {
			return eris.New("status is not one of an error")
		}
	}
	return nil
}

// countedRule is a rule with the number of requests that it has selected.
type countedRule struct {
	Rule
	selected int
}

// applies counts the request if the rule selects it, and reports whether it gets the fault.
func (r *countedRule) applies(version, route string, running int) bool {
	if r.Version != "" && r.Version != version || r.Route != "" && r.Route != route {
		return false
	}
	if r.AboveRunning > 0 && running <= r.AboveRunning && r.Action != ActionSlowGaps {
		return false
	}
	r.selected++
	n := r.selected - r.SkipFirst
	if n <= 0 || r.Limit > 0 && n > r.Limit {
		return false
	}
	// Share is spread without randomness: request n gets the fault if floor(n*Share) exceeds floor((n-1)*Share).
	return r.Share == 0 || int(float64(n)*r.Share) > int(float64(n-1)*r.Share)
}

// faultPlan holds the faults of one request.
type faultPlan struct {
	// failStatus is the HTTP status to fail with; 0 means none.
	failStatus int
	// cutAfter, cancelAfter and freezeAfter are the numbers of tokens after which to close the connection, to cancel the
	// run or to pause; -1 means never.
	cutAfter, cancelAfter, freezeAfter int
	firstTokenDelay                    time.Duration
	tokenDelay                         time.Duration
	// tokenDelay applies only while more than tokenDelayAbove requests run.
	tokenDelayAbove int
	// faultsChanged is closed when the faults are replaced.
	faultsChanged <-chan struct{}
}

func (p *faultPlan) add(r Rule) {
	delay := time.Duration(r.DelayMs) * time.Millisecond
	switch {
	case r.Action == ActionFail && r.AfterTokens == 0:
		p.failStatus = r.Status
		if r.Status == 0 {
			p.failStatus = http.StatusInternalServerError
		}
	case r.Action == ActionFail || r.Action == ActionCut:
		p.cutAfter = r.AfterTokens
	case r.Action == ActionCancel:
		p.cancelAfter = r.AfterTokens
	case r.Action == ActionSlowFirst:
		p.firstTokenDelay += delay
	case r.Action == ActionSlowGaps:
		p.tokenDelay += delay
		p.tokenDelayAbove = r.AboveRunning
	case r.Action == ActionFreeze:
		p.freezeAfter = r.AfterTokens
	}
}
