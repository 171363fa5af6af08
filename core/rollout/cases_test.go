package rollout_test

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"ibiswinch/core/rollout"
)

// simSeeds is small by default. docs/version-changes.md has the command for more seeds.
var (
	simSeeds = flag.Int("rollout.seeds", 1, "seeds per case of the table of version changes")
	simCases = flag.String("rollout.cases", "", "only cases whose name has this text")
)

const (
	done      = rollout.StateDone
	takenBack = rollout.StateTakenBack
	s         = time.Second
)

// fault is the expected reason of a case in which any of the fault reasons is right.
const fault rollout.Reason = "fault"

func cases() []scenario {
	earlyCut := interval{60 * s, 200 * s}
	return []scenario{
		{name: "good", rate: 200, want: done},
		{name: "good, slow to warm", rate: 200, warmUp: 25 * s, want: done},
		{name: "fails at once (20%)", rate: 200, failures: 0.2, want: takenBack, reason: fault},
		{name: "fails at once (all)", rate: 200, failures: 1, want: takenBack, reason: fault},
		{name: "fails at once (5%)", rate: 200, failures: 0.05, want: takenBack, reason: fault},
		{name: "fails at 70 s (20%)", rate: 200, faultAt: 70 * s, failures: 0.2, want: takenBack, reason: fault},
		{name: "fails at 250 s (20%)", rate: 200, faultAt: 250 * s, failures: 0.2, want: takenBack, reason: fault},
		{name: "slow at once (x1.5)", rate: 200, slowdown: 1.5, want: takenBack, reason: fault},
		{name: "slow over 110/s (x1.5)", rate: 200, slowdown: 1.5, onlyAbove: 110, want: takenBack, reason: fault},
		{name: "one route fails (30%)", rate: 200, failures: 0.3, onlyRoute: "c", want: takenBack, reason: fault},
		{name: "both slow from 100 s (x2)", rate: 200, faultAt: 100 * s, slowdown: 2, both: true, want: done},
		{name: "both fail from 250 s (5%)", rate: 200, faultAt: 250 * s, failures: 0.05, both: true, want: done},
		{name: "little traffic (0.5/s)", rate: 0.5, want: done},
		{name: "no traffic (0.02/s)", rate: 0.02, want: takenBack, reason: rollout.ReasonNoEvidence},
		{name: "good, domain cut 60-200 s", rate: 200, cut: earlyCut, want: done},
		{name: "good, domain cut 150-340 s", rate: 200, cut: interval{150 * s, 340 * s}, want: done},
		{name: "cut 60-200 s, fails at 120 s", rate: 200, faultAt: 120 * s, failures: 0.2, cut: earlyCut, want: takenBack, reason: fault},
		{name: "fails at 120 s, cut 121-200 s", rate: 200, faultAt: 120 * s, failures: 0.2, cut: interval{121 * s, 200 * s}, want: takenBack, reason: fault},
		{name: "good, log down 250-340 s", rate: 200, logDown: interval{250 * s, 340 * s}, want: done},
		{name: "fails at 270 s, log down 250-340 s", rate: 200, faultAt: 270 * s, failures: 0.2, logDown: interval{250 * s, 340 * s}, want: takenBack, reason: fault},
		{name: "good, other model fails", rate: 200, second: true, want: done},
		{name: "withdrawn at 150 s", rate: 200, publishAt: 150 * s, want: takenBack, reason: rollout.ReasonWithdrawn},
		{name: "replaced at 150 s", rate: 200, publishAt: 150 * s, replaced: true, want: done},
	}
}

// resultRow is one row of the table of results: one scenario with one policy.
type resultRow struct {
	scenario
	policy
	correct, inTime, runs int
	meanShare, maxShare   float64
	ownAfter              int
	peersAfter            int
	peersFor              time.Duration
	times                 []time.Duration
	// problems describes the runs with a wrong or late decision; lastRun is the run of the last seed.
	problems []string
	lastRun  *simulation
}

func (row *resultRow) run(seeds int) {
	for seed := range seeds {
		sim := newSimulation(row.scenario, row.policy, uint64(seed)+1)
		sim.run()
		isFault := sim.reason == rollout.ReasonFailures || sim.reason == rollout.ReasonFirstToken || sim.reason == rollout.ReasonGap
		if sim.state == sim.want && (sim.reason == sim.scenario.reason || sim.scenario.reason == fault && isFault) {
			row.correct++
		} else {
			row.problems = append(row.problems, fmt.Sprintf("seed %d: %s %s", seed+1, sim.state, sim.reason))
		}
		if sim.inTime {
			row.inTime++
		} else {
			row.problems = append(row.problems, fmt.Sprintf("seed %d: late", seed+1))
		}
		row.runs++
		share := float64(sim.sentNew) / float64(max(1, sim.total))
		row.meanShare += share / float64(seeds)
		row.maxShare = max(row.maxShare, share)
		row.ownAfter = max(row.ownAfter, sim.ownAfter)
		row.peersAfter = max(row.peersAfter, sim.peersAfter)
		row.peersFor = max(row.peersFor, sim.peersFor)
		if sim.stopped > 0 {
			row.times = append(row.times, sim.stopped-sim.faultAt)
		}
		row.lastRun = sim
	}
	slices.Sort(row.times)
}

func (row *resultRow) String() string {
	share, after, times := "-", "-", "-"
	if row.reason == fault {
		share = fmt.Sprintf("%.2f%% (%.2f%%)", 100*row.meanShare, 100*row.maxShare)
	}
	if row.reason == fault && row.policy == byController {
		after = fmt.Sprintf("%d / %d in %.2f s", row.ownAfter, row.peersAfter, row.peersFor.Seconds())
	}
	if n := len(row.times); n > 0 {
		times = fmt.Sprintf("%.1f s (%.1f s)", row.times[n/2].Seconds(), row.times[n-1].Seconds())
	}
	return fmt.Sprintf("| %s | %s | %s %s | %d/%d | %d/%d | %s | %s | %s |", row.name, row.policy, row.lastRun.state, row.lastRun.reason,
		row.correct, row.runs, row.inTime, row.runs, share, after, times)
}

// TestVersionChangeTable guards against bad versions that aren't taken back, good ones that aren't done by the
// deadline, and requests to a version after its fault was found. It simulates each scenario with the controller, and
// with many seeds also with two simple policies for comparison.
func TestVersionChangeTable(t *testing.T) {
	var rows []*resultRow
	for _, c := range cases() {
		if !strings.Contains(c.name, *simCases) {
			continue
		}
		rows = append(rows, &resultRow{scenario: c, policy: byController})
		if c.publishAt == 0 && *simSeeds > 1 {
			rows = append(rows, &resultRow{scenario: c, policy: bySteps}, &resultRow{scenario: c, policy: byThreshold})
		}
	}
	// Each run has its own seed, so that the order of the goroutines doesn't matter.
	var wg sync.WaitGroup
	const workers = 4
	for first := range workers {
		wg.Go(func() {
			for i := first; i < len(rows); i += workers {
				rows[i].run(*simSeeds)
			}
		})
	}
	wg.Wait()
	t.Log("\n| Case | Policy | Verdict (last seed) | Right | In time | Share of requests, mean (max) " +
		"| After the stop: own / peers | Time to the stop, median (max) |")
	for _, row := range rows {
		t.Log("\n" + row.String())
		if row.policy == byController {
			row.check(t)
		}
	}
}

// check asserts the targets: the right decision in time, and for a fault no further requests from the VM that found it,
// none from its peers after one second, and less than 1% of the requests at the faulty version.
func (row *resultRow) check(t *testing.T) {
	if row.correct < row.runs || row.inTime < row.runs {
		t.Errorf("%s: %d right and %d in time of %d: %v", row.name, row.correct, row.inTime, row.runs, row.problems)
	}
	if row.reason != fault {
		return
	}
	if row.ownAfter > 0 || row.peersFor > time.Second {
		t.Errorf("%s: %d own requests and %v of peers after the stop", row.name, row.ownAfter, row.peersFor)
	}
	// The target of 1% isn't met for 5% failures, which are too few to be told from the usual 0.5% in the first stage.
	moderate := row.failures > 0 && row.failures < 0.2
	if row.faultAt == 0 && row.onlyAbove == 0 && !moderate && row.maxShare >= 0.01 {
		t.Errorf("%s: share %.4f", row.name, row.maxShare)
	}
}
