package demo

import (
	"context"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// maxBadVersionRuns bounds the runs of the bad version. The sequential test rejects it after 9 to 13 failures if the
// old version has none, since it gets 20% of the samples or, with the retries of failed requests, a third of them. At
// one failure in two runs that is up to 26 runs at an entry VM that has no evidence of the others; some more are in
// flight. Five processes take part in the change.
const maxBadVersionRuns = 5 * 30

// Result is what a run measured. docs/demo.md says what each figure counts.
type Result struct {
	Seed       uint64 `json:"seed"`
	Requests   int    `json:"requests"`
	Answered   int    `json:"answered"`
	Refused    int    `json:"refused"`
	Failed     int    `json:"failed"`
	Unresolved int    `json:"unresolved"`
	Attempts   int    `json:"attempts"`
	// BrokenAttempts counts the attempts that ended without an answer and without a statement whether the request ran.
	BrokenAttempts int `json:"brokenAttempts"`

	OverspentTokens uint64 `json:"overspentTokens"`
	FalseRefusals   int    `json:"falseRefusals"`
	// SmallBudgetSpent is the billed share of the one budget that is small enough to be exhausted in a run.
	SmallBudgetSpent         float64 `json:"smallBudgetSpent"`
	DoubleBilled             int     `json:"doubleBilled"`
	Unbilled                 int     `json:"unbilled"`
	BilledWrongTokens        int     `json:"misBilled"`
	DoubleRuns               int     `json:"doubleRuns"`
	WrongAnswers             int     `json:"wrongAnswers"`
	RanDespiteNotRun         int     `json:"falseNotRun"`
	InterruptedByPlannedStop int     `json:"interruptedByPlannedStop"`
	LateStarts               uint64  `json:"lateStarts"`
	ConfigReverts            int     `json:"configReverts"`
	WithoutLastConfig        int     `json:"configMissed"`
	PeakHeldBytes            int64   `json:"peakHeldBytes"`
	MaxHeldBytes             int64   `json:"maxHeldBytes"`
	EngineCrashes            uint64  `json:"engineCrashes"`

	GoodVersionsCompleted int    `json:"goodVersionsCompleted"`
	BadVersionsTakenBack  int    `json:"badVersionsTakenBack"`
	BadVersionRuns        uint64 `json:"badVersionRuns"`
	BadVersionLateRuns    uint64 `json:"badVersionLateRuns"`
	EngineRuns            uint64 `json:"engineRuns"`

	Appends uint64  `json:"appends"`
	Seconds float64 `json:"seconds"`
	// Violations name the invariants that did not hold, with an example each.
	Violations []string `json:"violations"`

	// examples has one example of a violation for each ID of an invariant.
	examples map[string]string
}

// operatorReport is the part of an entry VM's operator report that is compared with the log.
type operatorReport struct {
	Teams []struct {
		Team   string `json:"team"`
		Billed uint64 `json:"billed"`
	} `json:"teams"`
}

func (s *scenario) readReports(ctx context.Context) []operatorReport {
	var reports []operatorReport
	for _, v := range s.fleet.allProcesses() {
		var rep operatorReport
		if !v.killed.Load() && !v.stopped.Load() && s.fleet.getJSON(ctx, v.operatorURL+"/report", &rep) == nil {
			reports = append(reports, rep)
		}
	}
	return reports
}

func countUnbilled(requests []*request, ledger ledgerState) int {
	n := 0
	for _, r := range requests {
		if _, billed := ledger.lines[identity{r.team.name, r.key}]; r.isAnswered() && r.isCompletion() && !billed {
			n++
		}
	}
	return n
}

func (r *request) isAnswered() bool {
	return len(r.attempts) > 0 && r.lastAttempt().outcome == outcomeAnswered
}

// buildResult compares the records of callers, engines, services and the log with each other.
func (s *scenario) buildResult(reports []operatorReport) *Result {
	result := &Result{Seed: s.cfg.Seed, MaxHeldBytes: maxHeldBytes, Violations: []string{}, examples: map[string]string{}}
	ledger := readLedger(s.standIns.platform)
	result.addRequests(s.load.requests)
	result.addBills(s.load, ledger, reports)
	result.addRuns(s)
	result.addFleetState(s)
	result.addViolations()
	result.Seconds = s.elapsedSeconds()
	return result
}

func (res *Result) addExample(name, format string, args ...any) {
	if res.examples[name] == "" {
		res.examples[name] = fmt.Sprintf(format, args...)
	}
}

func (res *Result) addRequests(requests []*request) {
	for _, r := range requests {
		res.Requests++
		res.Attempts += len(r.attempts)
		res.addOutcome(r)
		for _, a := range r.attempts {
			if a.outcome == outcomeBroken && !a.cancelledByCaller {
				res.BrokenAttempts++
			}
			if a.isWrong(r) {
				res.WrongAnswers++
				res.addExample("I4", "%s %s at %s: %q", r.path, r.key, a.process.name, a.text+string(a.body))
			}
		}
	}
}

func (res *Result) addOutcome(r *request) {
	if len(r.attempts) == 0 {
		res.Unresolved++
		return
	}
	switch last := r.lastAttempt(); last.outcome {
	case outcomeAnswered:
		res.Answered++
	case outcomeRan:
		res.Failed++
	case outcomeNotRun:
		res.Refused++
		if r.falseRefusal && (last.code == codeBudgetExhausted || last.code == codeBudgetUnavailable) {
			res.FalseRefusals++
			res.addExample("refusal", "%s by %s with %s", r.key, last.process.name, last.code)
		}
	default:
		res.Unresolved++
	}
}

func (res *Result) addBills(l *loadGenerator, ledger ledgerState, reports []operatorReport) {
	for _, r := range l.requests {
		line, billed := ledger.lines[identity{r.team.name, r.key}]
		if !r.isCompletion() || !r.isAnswered() {
			continue
		}
		a := r.lastAttempt()
		switch {
		case !billed:
			res.Unbilled++
			res.addExample("I2", "%s answered by %s has no bill line", r.key, a.process.name)
		case line.PromptTokens != a.usage.Prompt || line.CompletionTokens != a.usage.Completion:
			res.BilledWrongTokens++
			res.addExample("I2", "%s: usage %v, billed %v", r.key, a.usage, line)
		}
	}
	for _, a := range l.accounts {
		budget := min(ledger.topUps[a.name], a.prepaidTokens.Load())
		if spent := ledger.billed[a.name]; spent > budget {
			res.OverspentTokens += spent - budget
			res.addExample("I1", "team %s: %d of %d tokens", a.name, spent, budget)
		}
		if a.smallBudget {
			res.SmallBudgetSpent = float64(ledger.billed[a.name]) / float64(max(budget, 1))
		}
	}
	for _, rep := range reports {
		for _, t := range rep.Teams {
			if t.Billed > ledger.billed[t.Team] {
				res.DoubleBilled++
				res.addExample("I2", "team %s: an entry VM counts %d tokens, the log has %d", t.Team, t.Billed, ledger.billed[t.Team])
			}
		}
	}
}

// addRuns compares the answers of the callers with the runs of engines and services.
func (res *Result) addRuns(s *scenario) {
	started := map[string]uint64{}
	for _, e := range s.standIns.engines {
		runs := e.server.Runs("")
		res.EngineRuns += runs.Totals.Started
		res.EngineCrashes += runs.Totals.Crashes
		res.LateStarts += runs.Totals.LateStarts
		for _, engineRun := range runs.Runs {
			started[engineRun.RequestID] += engineRun.Started
		}
	}
	orders := map[string]uint64{}
	for _, svc := range s.standIns.services {
		stats := svc.server.Stats()
		res.LateStarts += stats.LateStarts
		for key, n := range stats.RunsByKey {
			orders[key] += n
		}
	}
	for key, n := range orders {
		if n > 1 {
			res.DoubleRuns++
			res.addExample("I6", "order %s ran %d times", key, n)
		}
	}
	for _, req := range s.load.requests {
		res.checkReportedNotRun(req, started, orders)
		res.checkPlannedStop(req, s.stopped, started)
	}
}

// checkReportedNotRun finds requests that ran although the entry VM reported that they did not. Engines identify a
// request by entry VM and key, not by attempt, so that only entry VMs that reported nothing else for it are checked.
func (res *Result) checkReportedNotRun(r *request, started, orders map[string]uint64) {
	reportedNotRun := map[string]bool{}
	reportedOther := map[string]bool{}
	for _, a := range r.attempts {
		switch a.outcome {
		case outcomeUnsent:
		case outcomeNotRun:
			reportedNotRun[a.process.name] = true
		default:
			reportedOther[a.process.name] = true
		}
	}
	if r.kind == kindOrder && (r.ranDespiteNotRun || len(reportedOther) == 0 && orders[r.key] > 0) {
		res.RanDespiteNotRun++
		res.addExample("I5", "order %s ran", r.key)
	}
	if !r.isCompletion() {
		return
	}
	for name := range reportedNotRun {
		if !reportedOther[name] && started[name+"/"+r.key] > 0 {
			res.RanDespiteNotRun++
			res.addExample("I5", "%s ran for %s: %s", r.key, name, r.history())
		}
	}
}

// history lists the attempts of a request for the report of a violation.
func (r *request) history() string {
	var steps []string
	for _, a := range r.attempts {
		steps = append(steps, strings.TrimSpace(fmt.Sprintf("%s %s %d %s %s", a.process.name, a.outcome, a.status, a.code, a.cause)))
	}
	return strings.Join(steps, "; ")
}

// checkPlannedStop finds the requests that the planned stop interrupted: the answer broke off, or there was none
// although an engine ran the request. A connection that the closed listener reset doesn't count.
func (res *Result) checkPlannedStop(r *request, stopped *vmProcess, started map[string]uint64) {
	for _, a := range r.attempts {
		if a.process != stopped || a.outcome != outcomeBroken || a.cancelledByCaller {
			continue
		}
		if a.status != 0 || started[a.process.name+"/"+r.key] > 0 {
			res.InterruptedByPlannedStop++
			res.addExample("I8", "%s: %s", r.key, a.cause)
		}
	}
}

func (res *Result) addFleetState(s *scenario) {
	s.fleet.mu.Lock()
	res.ConfigReverts = s.fleet.dumpStats.reverts
	res.PeakHeldBytes = s.fleet.dumpStats.peakHeldBytes
	s.fleet.mu.Unlock()
	for _, v := range s.fleet.withoutConfigVersion(s.lastConfigVersion) {
		res.WithoutLastConfig++
		res.addExample("I9", "%s never had version %d", v.name, s.lastConfigVersion)
	}
	changes := readChanges(s.standIns.platform)
	if c := changes[goodModel]; c.done && !c.takenBack {
		res.GoodVersionsCompleted = 1
	}
	if changes[badModel].takenBack {
		res.BadVersionsTakenBack = 1
	}
	res.BadVersionRuns, _ = s.standIns.versionRuns(badModel, newVersion)
	res.BadVersionLateRuns = s.monitor.lateRuns()
	res.Appends = s.standIns.platform.Stats().Appends
}

// invariant is an invariant of docs/design.md, whether it held, and the figures that show it.
type invariant struct {
	id, name string
	held     bool
	details  string
}

func (res *Result) invariants() []invariant {
	newInvariant := func(id, name string, held bool, format string, args ...any) invariant {
		return invariant{id, name, held, fmt.Sprintf(format, args...)}
	}
	return []invariant{
		newInvariant("I1", "budgetNeverExceeded", res.OverspentTokens == 0, "%d tokens overspent", res.OverspentTokens),
		newInvariant("I2", "billedExactlyOnce", res.DoubleBilled+res.Unbilled+res.BilledWrongTokens == 0, "%d double, %d missing, %d with other tokens",
			res.DoubleBilled, res.Unbilled, res.BilledWrongTokens),
		newInvariant("I3", "badVersionContained", res.BadVersionLateRuns == 0 && res.BadVersionRuns <= maxBadVersionRuns,
			"%d of %d runs, %d of them late", res.BadVersionRuns, res.EngineRuns, res.BadVersionLateRuns),
		newInvariant("I4", "answerWhole", res.WrongAnswers == 0, "%d wrong answers", res.WrongAnswers),
		newInvariant("I5", "notRunIsTrue", res.RanDespiteNotRun == 0, "%d false refusals", res.RanDespiteNotRun),
		newInvariant("I6", "orderAtMostOnce", res.DoubleRuns == 0, "%d orders ran twice", res.DoubleRuns),
		newInvariant("I7", "leavingGetsNothing", res.LateStarts == 0, "%d late starts", res.LateStarts),
		newInvariant("I8", "plannedStopCutsNothing", res.InterruptedByPlannedStop == 0, "%d requests interrupted", res.InterruptedByPlannedStop),
		newInvariant("I9", "configNeverReverts", res.ConfigReverts+res.WithoutLastConfig == 0, "%d reverts, %d entry VMs without the last version",
			res.ConfigReverts, res.WithoutLastConfig),
		newInvariant("memory", "maxHeldBytes", res.PeakHeldBytes <= res.MaxHeldBytes && res.EngineCrashes == 0, "peak %d of %d bytes, %d engines overfilled",
			res.PeakHeldBytes, res.MaxHeldBytes, res.EngineCrashes),
	}
}

func (res *Result) addViolations() {
	for _, inv := range res.invariants() {
		if !inv.held {
			res.Violations = append(res.Violations, strings.TrimSpace(fmt.Sprintf("%s %s: %s; %s", inv.id, inv.name, inv.details, res.examples[inv.id])))
		}
	}
}

// InvariantsHeld reports whether all invariants that the run can check held.
func (res *Result) InvariantsHeld() bool { return len(res.Violations) == 0 }

// WriteSummary writes the result as a table for people to read.
func (res *Result) WriteSummary(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "\nrequests\t%d: %d answered, %d refused, %d failed, %d unresolved\n", res.Requests, res.Answered, res.Refused, res.Failed, res.Unresolved)
	fmt.Fprintf(t, "attempts\t%d, %d of them broken off\n", res.Attempts, res.BrokenAttempts)
	fmt.Fprintf(t, "false refusals\t%d %s; %.1f%% of the small budget is spent\n", res.FalseRefusals, res.examples["refusal"], 100*res.SmallBudgetSpent)
	fmt.Fprintf(t, "versions\t%d of 1 good completed, %d of 1 bad taken back\n", res.GoodVersionsCompleted, res.BadVersionsTakenBack)
	fmt.Fprintf(t, "log\t%d appends in %.1f s\n", res.Appends, res.Seconds)
	for _, inv := range res.invariants() {
		state := "held"
		if !inv.held {
			state = "VIOLATED: " + res.examples[inv.id]
		}
		fmt.Fprintf(t, "%s %s\t%s\t%s\n", inv.id, inv.name, inv.details, state)
	}
	return t.Flush()
}
