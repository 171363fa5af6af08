package soak

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// lossSlack is how long after the last byte of a request its connection may still end without an answer because the
	// process had not read it.
	lossSlack = 200 * time.Millisecond
	// drainTime is how long requests may still reach a backend server once an entry VM has passed on that it leaves.
	drainTime = 2 * time.Second
	// refusalSlack is how long requests may still reach a backend server that has named a time to retry at; of the later
	// ones, maxEarlyRetries may arrive before that time.
	refusalSlack    = 500 * time.Millisecond
	maxEarlyRetries = 2
)

// process is one start of an entry VM.
type process struct {
	vm    *vm
	start int64
}

// recorder collects results and violated guarantees.
type recorder struct {
	fleet    *fleet
	mu       sync.Mutex
	results  []*result
	problems []string
	// newest is the newest configuration of which a process has served a route.
	newest map[process]int64
}

func newRecorder(f *fleet) *recorder { return &recorder{fleet: f, newest: map[process]int64{}} }

func (rec *recorder) add(r result) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.results = append(rec.results, &r)
	if r.complete && r.start > 0 {
		p := process{r.vm, r.start}
		rec.newest[p] = max(rec.newest[p], r.configuration)
	}
}

// served returns the newest configuration of which a process has served a route.
func (rec *recorder) served(v *vm, start int64) int64 {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	return rec.newest[process{v, start}]
}

func (rec *recorder) problem(format string, args ...any) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.problems = append(rec.problems, fmt.Sprintf(format, args...))
}

// checkResults makes the checks that need the results of the whole run. Of the requests without tokens that were sent
// later than after, 90% must be served.
func (rec *recorder) checkResults(after time.Time) {
	rec.mu.Lock()
	results := rec.results
	rec.mu.Unlock()
	arrivals := rec.fleet.arrivals.arrivalsByID()
	for _, r := range results {
		rec.checkResult(r, countRuns(arrivals[r.id]))
		rec.checkLost(r, arrivals[r.id])
		rec.checkProbe(r)
	}
	rec.checkNewest(results, after)
	rec.checkBudgets(results)
	rec.checkRecovery(results, after)
	rec.checkDrained(results, arrivals)
	rec.checkRetryTimes(results, arrivals)
}

func (rec *recorder) checkResult(r *result, runs int) {
	repeatable := r.route == "read" || r.route == "chat" || r.route == "probe"
	switch {
	case !repeatable && runs > 1:
		rec.problem("TWICE: request %s (%s) ran %d times", r.id, r.route, runs)
	case runs > 2:
		rec.problem("BUDGET: request %s (%s) ran %d times, its route allows 2", r.id, r.route, runs)
	case (r.status == 503 || r.status == 429 || r.status == 408 || r.status == 421) && runs > 0 && !repeatable:
		rec.problem("REFUSED: request %s (%s) got %d and has run", r.id, r.route, r.status)
	case r.status == 401 || r.status == 403 || r.status == 404 && r.route != "probe":
		rec.problem("DENIED: request %s got %d", r.id, r.status)
	}
}

// checkLost checks that the connection of a request didn't end without a whole answer. Planned stops, faults of the
// store and silence of a backend server excuse nothing. A server that fails excuses a stream that is cut, but not a
// request without an answer.
func (rec *recorder) checkLost(r *result, arrivals []arrival) {
	ran := countRuns(arrivals) > 0
	unread := !ran && (r.writtenAt.IsZero() || r.endedAt.Sub(r.writtenAt) <= lossSlack)
	switch {
	case !r.undisturbed():
	case r.err != "" && !unread:
		rec.problem("LOST: request %s (%s, ran: %t) is unanswered, its connection to %s ended: %s", r.id, r.route, ran, r.vm.name, r.err)
	case r.status == 200 && !r.complete && !rec.serverFailed(r, arrivals):
		rec.problem("LOST: request %s (%s) to %s was cut after %d events", r.id, r.route, r.vm.name, r.events)
	}
}

// serverFailed reports whether a fault was active that breaks responses, at a backend server that the request reached.
// A stream that is resumed may have lost a further attempt on the way to any server.
func (rec *recorder) serverFailed(r *result, arrivals []arrival) bool {
	for _, b := range rec.fleet.backends {
		reached := slices.ContainsFunc(arrivals, func(a arrival) bool { return a.backend == b })
		if (reached || r.route == "chat") && b.disturbances.between(r.sentAt, r.endedAt) {
			return true
		}
	}
	return false
}

// checkProbe checks that a process that has served a configuration doesn't go back to an older one.
func (rec *recorder) checkProbe(r *result) {
	if r.route == "probe" && r.status == 404 && r.start > 0 && r.served >= r.configuration {
		rec.problem("CONFIG: request %s got 404 on the route of configuration %d from %s, which had served configuration %d",
			r.id, r.configuration, r.vm.name, r.served)
	}
}

// checkNewest checks that no process lacks one of the configurations later than after.
func (rec *recorder) checkNewest(results []*result, after time.Time) {
	lacking := map[string]int{}
	for _, r := range results {
		if r.route == "probe" && r.status == 404 && r.sentAt.After(after) {
			lacking[r.vm.name]++
		}
	}
	for _, name := range slices.Sorted(maps.Keys(lacking)) {
		rec.problem("CONFIG: %s answered %d requests with 404 after all faults, on routes of published configurations", name, lacking[name])
	}
}

// checkBudgets checks that at no time the answers of a team had used more than the team's prepaid tokens.
func (rec *recorder) checkBudgets(results []*result) {
	used := map[string]int64{}
	exceeded := map[string]string{}
	for _, r := range slices.SortedFunc(slices.Values(results), func(a, b *result) int { return a.endedAt.Compare(b.endedAt) }) {
		if r.status != 200 || r.inputTokens == 0 {
			continue
		}
		used[r.team] += r.inputTokens + int64(r.events*eventTokens)
		if prepaid := rec.fleet.prepaidAt(r.team, r.endedAt); used[r.team] > prepaid && exceeded[r.team] == "" {
			exceeded[r.team] = fmt.Sprintf("first %s after the start at %s with %s", r.endedAt.Sub(rec.fleet.storeReady).Round(time.Millisecond), r.vm.name, r.id)
		}
	}
	for _, team := range slices.Sorted(maps.Keys(exceeded)) {
		rec.problem("BUDGET: %s got %d tokens of %d, %s", team, used[team], rec.fleet.prepaid[team], exceeded[team])
	}
}

// prepaidAt returns the prepaid tokens of a team that the newest configuration at a time allows.
func (f *fleet) prepaidAt(team string, at time.Time) int64 {
	var total int64
	for _, change := range f.topUps {
		if change.team == team && !change.at.After(at) {
			total = change.total
		}
	}
	return total
}

func (rec *recorder) checkRecovery(results []*result, after time.Time) {
	served, sent := 0, 0
	for _, r := range results {
		if r.sentAt.After(after) && r.inputTokens == 0 {
			sent++
			if r.complete {
				served++
			}
		}
	}
	if sent == 0 || served*10 < sent*9 {
		rec.problem("RECOVER: %d of %d requests served after all faults", served, sent)
	}
}

// target is a backend server's instance as one process of an entry VM sees it.
type target struct {
	process
	instance string
}

// checkDrained checks that no process sends requests to a server later than drainTime after it has passed on that the
// server leaves.
func (rec *recorder) checkDrained(results []*result, arrivals map[string][]arrival) {
	leaving := map[target]time.Time{}
	for _, r := range results {
		t := target{process{r.vm, r.start}, r.leaving}
		if known, ok := leaving[t]; r.leaving != "" && r.start > 0 && (!ok || r.endedAt.Before(known)) {
			leaving[t] = r.endedAt
		}
	}
	late := map[target]int{}
	for _, r := range results {
		for _, a := range arrivals[r.id] {
			t := target{process{r.vm, r.start}, a.instance}
			since, ok := leaving[t]
			if ok && r.sentAt.After(since.Add(drainTime)) && !r.vm.disturbances.between(since, a.at) {
				late[t]++
			}
		}
	}
	rec.reportTargets("DRAIN: %d requests reached %s from %s later than the drain time after it had passed on that the server leaves", late)
}

// checkRetryTimes checks that a process leaves a server alone until the time that the server has named in a refusal.
func (rec *recorder) checkRetryTimes(results []*result, arrivals map[string][]arrival) {
	byTarget := map[target][]arrival{}
	for _, r := range results {
		if r.start == 0 {
			continue
		}
		for _, a := range arrivals[r.id] {
			t := target{process{r.vm, r.start}, a.instance}
			byTarget[t] = append(byTarget[t], a)
		}
	}
	early := map[target]int{}
	for t, list := range byTarget {
		for _, refusal := range list {
			if n := countEarly(list, refusal); n > maxEarlyRetries && !t.vm.disturbances.between(refusal.at, refusal.retryAt) {
				early[t] = max(early[t], n)
			}
		}
	}
	rec.reportTargets("BUDGET: %d requests reached %s from %s before the time that it had named in a refusal", early)
}

// countEarly counts the arrivals between a refusal and the time to retry at that it names. It is 0 if the refusal may
// have been lost.
func countEarly(arrivals []arrival, refusal arrival) int {
	if refusal.retryAt.IsZero() || refusal.backend.disturbances.between(refusal.at, refusal.retryAt) {
		return 0
	}
	n := 0
	for _, a := range arrivals {
		if a.at.After(refusal.at.Add(refusalSlack)) && a.at.Before(refusal.retryAt) {
			n++
		}
	}
	return n
}

// reportTargets adds a problem for each target, in a fixed order. format has the number, the instance and the entry VM.
func (rec *recorder) reportTargets(format string, counts map[target]int) {
	order := func(a, b target) int {
		return cmp.Or(cmp.Compare(a.vm.name, b.vm.name), cmp.Compare(a.start, b.start), cmp.Compare(a.instance, b.instance))
	}
	for _, t := range slices.SortedFunc(maps.Keys(counts), order) {
		rec.problem(format, counts[t], t.instance, t.vm.name)
	}
}

// report logs one JSON line for the seed and fails the test if a guarantee was violated.
func (rec *recorder) report(t *testing.T, seed uint64, faults map[string]int) {
	ends := map[string]int{}
	undisturbed := 0
	for _, r := range rec.results {
		if r.undisturbed() {
			undisturbed++
		}
		switch {
		case r.complete:
			ends["answered"]++
		case r.err != "":
			ends["connection"]++
		default:
			ends[fmt.Sprint(r.status)]++
		}
	}
	line, err := json.Marshal(map[string]any{
		"seed": seed, "faults": faults, "ends": ends, "undisturbed": undisturbed, "configurations": rec.fleet.configurations.Load(),
		"eras": rec.fleet.store.Era(), "problems": rec.problems,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%s", line)
	if len(rec.problems) > 0 {
		t.Errorf("seed %d: %d violated guarantees:\n%s", seed, len(rec.problems), strings.Join(rec.problems[:min(len(rec.problems), 8)], "\n"))
	}
}
