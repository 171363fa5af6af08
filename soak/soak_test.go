package soak

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"ibiswinch/standin/keyedlog"
)

var (
	seedCount     = flag.Int("soak.seeds", 1, "number of seeds")
	firstSeed     = flag.Uint64("soak.first", 1, "first seed; 0 takes one from the clock")
	faultDuration = flag.Duration("soak.for", 12*time.Second, "length of the faults of one seed")
	parallel      = flag.Int("soak.parallel", 2, "seeds at once")
	logDir        = flag.String("soak.keep", "", "folder that keeps the logs of failed seeds")
)

// regressions are seeds that have failed before.
var regressions = []uint64{}

// callerCount is the number of concurrent callers per seed.
const callerCount = 12

// recoveryTime is how long after the last fault requests may still fail; of the later ones without
// tokens, 90% must be served.
const recoveryTime = 4 * time.Second

// faultTracker tracks whether an unplanned fault is active or was until shortly before.
type faultTracker struct {
	// active is the number of unplanned faults, lastEnd the end of the latest one in Unix nanoseconds.
	active  atomic.Int32
	lastEnd atomic.Int64
}

// settleTime is how long after a fault a request may still lose its answer, or a planned stop exceed its grace period,
// without a violation.
const settleTime = 3 * time.Second

func (ft *faultTracker) begin() { ft.active.Add(1) }

func (ft *faultTracker) end() {
	ft.lastEnd.Store(time.Now().UnixNano())
	ft.active.Add(-1)
}

func (ft *faultTracker) faultFree() bool {
	return ft.active.Load() == 0 && time.Since(time.Unix(0, ft.lastEnd.Load())) > settleTime
}

// TestSoak guards against violated guarantees when faults, signals, restarts and configuration changes follow each
// other and overlap.
func TestSoak(t *testing.T) {
	binary := filepath.Join(t.TempDir(), "ibiswinch")
	if out, err := exec.Command("go", "build", "-o", binary, "ibiswinch/cmd/ibiswinch").CombinedOutput(); err != nil {
		t.Fatalf("build ibiswinch: %v\n%s", err, out)
	}
	from := *firstSeed
	if from == 0 {
		from = uint64(time.Now().UnixNano()) % 1_000_000
	}
	seeds := append([]uint64{}, regressions...)
	for i := range *seedCount {
		seeds = append(seeds, from+uint64(i))
	}
	limit := make(chan struct{}, *parallel)
	for i, seed := range seeds {
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			t.Parallel()
			limit <- struct{}{}
			defer func() { <-limit }()
			runSeed(t, binary, seed, 40+i%180)
		})
	}
}

// runSeed runs one seed in its own loopback network.
func runSeed(t *testing.T, binary string, seed uint64, network int) {
	dir := t.TempDir()
	f, err := startFleet(binary, dir, network)
	if err != nil {
		t.Fatal(err)
	}
	defer f.stop()
	for deadline := time.Now().Add(15 * time.Second); !f.allReady(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("seed %d: entry VMs not ready after 15 s", seed)
		}
	}
	rec, faults := &recorder{}, &faultTracker{}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i := range callerCount {
		c := &caller{fleet: f, recorder: rec, faults: faults, number: i, random: rand.New(rand.NewPCG(seed, uint64(i)))}
		wg.Go(func() { c.run(ctx) })
	}
	injector := &faultInjector{fleet: f, recorder: rec, faults: faults, random: rand.New(rand.NewPCG(seed, 1000)), counts: map[string]int{}}
	injector.run(*faultDuration)
	faultsEnded := time.Now()
	time.Sleep(recoveryTime + 2*time.Second)
	cancel()
	wg.Wait()
	rec.checkResults(f, faultsEnded.Add(recoveryTime))
	rec.report(t, seed, injector.counts)
	if t.Failed() && *logDir != "" {
		saveLogs(t, dir, filepath.Join(*logDir, fmt.Sprintf("seed-%d", seed)))
	}
}

func saveLogs(t *testing.T, from, to string) {
	if err := os.CopyFS(to, os.DirFS(from)); err != nil {
		t.Logf("copy logs of failed seed: %v", err)
	}
}

func (f *fleet) allReady() bool {
	for _, v := range f.vms {
		if !v.ready() {
			return false
		}
	}
	return true
}

// faultInjector injects faults and changes, several of which are active at the same time.
type faultInjector struct {
	fleet    *fleet
	recorder *recorder
	faults   *faultTracker
	random   *rand.Rand
	counts   map[string]int
	wg       sync.WaitGroup
}

func (fi *faultInjector) run(length time.Duration) {
	for end := time.Now().Add(length); time.Now().Before(end); {
		fi.inject()
		time.Sleep(time.Duration(200+fi.random.IntN(1200)) * time.Millisecond)
	}
	fi.wg.Wait()
}

// inject starts one fault or change, chosen at random.
func (fi *faultInjector) inject() {
	v := fi.fleet.vms[fi.random.IntN(vmCount)]
	span := time.Duration(300+fi.random.IntN(2500)) * time.Millisecond
	kind := fi.random.IntN(9)
	state, i := linkState(1+fi.random.IntN(4)), fi.random.IntN(backendCount)
	name := ""
	switch kind {
	case 0:
		name = "planned stop"
		fi.wg.Go(func() { fi.stopPlanned(v) })
	case 1:
		name = "kill"
		fi.runFault(func() { fi.kill(v, span/4) })
	case 2:
		name = "pause"
		fi.runFault(func() { fi.pause(v, span) })
	case 3:
		name = "store link " + linkNames[state]
		fi.runFault(func() { v.storeProxy.set(state); time.Sleep(span); v.storeProxy.set(linkOpen) })
	case 4:
		name = "server link " + linkNames[state]
		p := fi.fleet.serverProxies[i]
		fi.runFault(func() { p.set(state); time.Sleep(span); p.set(linkOpen) })
	case 5:
		name = "server failing"
		server := fi.fleet.backends[i]
		fi.runFault(func() { server.failing.Store(40); time.Sleep(span); server.failing.Store(0) })
	case 6:
		name = "server full"
		server := fi.fleet.backends[i]
		fi.runFault(func() { server.refusing.Store(true); time.Sleep(span); server.refusing.Store(false) })
	case 7:
		name = "store fault"
		fault := []keyedlog.Fault{keyedlog.Unavailable, keyedlog.AnswerLost, keyedlog.NoAnswer}[fi.random.IntN(3)]
		share := fi.random.Float64()
		fi.runFault(func() { fi.storeFault(fault, share, span) })
	case 8:
		name = "configuration"
		fi.fleet.prepaid[teams[i%len(teams)]] += 5000
		fi.fleet.publish()
		if fi.random.IntN(2) == 0 {
			fi.fleet.store.DropHistory("keyed.op", "0")
		}
		v.signal(syscall.SIGHUP)
	}
	fi.counts[name]++
}

func (fi *faultInjector) runFault(f func()) {
	fi.faults.begin()
	fi.wg.Go(func() {
		defer fi.faults.end()
		f()
	})
}

func (fi *faultInjector) storeFault(fault keyedlog.Fault, share float64, span time.Duration) {
	fi.fleet.store.SetFault(func(string, string) keyedlog.Fault {
		if rand.Float64() < share {
			return fault
		}
		return keyedlog.NoFault
	})
	time.Sleep(span)
	fi.fleet.store.SetFault(func(string, string) keyedlog.Fault { return keyedlog.NoFault })
}

// stopPlanned stops a process with SIGTERM and starts it again.
func (fi *faultInjector) stopPlanned(v *vm) {
	if !v.restarting.CompareAndSwap(0, 1) {
		return
	}
	defer v.restarting.Store(0)
	v.signal(syscall.SIGTERM)
	killed := v.waitExit(gracePeriod)
	if killed && fi.faults.faultFree() {
		fi.recorder.problem("LOST: %s did not end within its grace period", v.name)
	}
	fi.restart(v)
}

func (fi *faultInjector) kill(v *vm, down time.Duration) {
	if !v.restarting.CompareAndSwap(0, 1) {
		return
	}
	defer v.restarting.Store(0)
	v.signal(syscall.SIGKILL)
	v.waitExit(time.Second)
	time.Sleep(down)
	fi.restart(v)
}

func (fi *faultInjector) restart(v *vm) {
	if err := v.start(fi.fleet.binary); err != nil {
		fi.recorder.problem("start of %s failed: %v", v.name, err)
	}
}

func (fi *faultInjector) pause(v *vm, span time.Duration) {
	v.signal(syscall.SIGSTOP)
	time.Sleep(span)
	v.signal(syscall.SIGCONT)
}

// checkResults makes the checks that need the results of the whole run. Of the requests without tokens that were sent
// later than after, 90% must be served.
func (rec *recorder) checkResults(f *fleet, after time.Time) {
	rec.mu.Lock()
	results := rec.results
	rec.mu.Unlock()
	used := map[string]int64{}
	served, sent := 0, 0
	for _, r := range results {
		runs := f.runs.count(r.id)
		rec.checkResult(r, runs)
		if r.status == 200 && r.inputTokens > 0 {
			used[r.team] += r.inputTokens + int64(r.events*eventTokens)
		}
		if r.sentAt.After(after) && r.inputTokens == 0 {
			sent++
			if r.complete {
				served++
			}
		}
	}
	for team, n := range used {
		if n > f.prepaid[team] {
			rec.problem("BUDGET: %s got %d tokens of %d", team, n, f.prepaid[team])
		}
	}
	if sent == 0 || served*10 < sent*9 {
		rec.problem("RECOVER: %d of %d requests served after all faults", served, sent)
	}
}

func (rec *recorder) checkResult(r result, runs int) {
	repeatable := r.route == "read" || r.route == "chat"
	switch {
	case !repeatable && runs > 1:
		rec.problem("TWICE: request %s (%s) ran %d times", r.id, r.route, runs)
	case runs > 2:
		rec.problem("BUDGET: request %s (%s) ran %d times, its route allows 2", r.id, r.route, runs)
	case (r.status == 503 || r.status == 429 || r.status == 408 || r.status == 421) && runs > 0 && !repeatable:
		rec.problem("REFUSED: request %s (%s) got %d and has run", r.id, r.route, r.status)
	case r.status == 401 || r.status == 403 || r.status == 404:
		rec.problem("DENIED: request %s got %d", r.id, r.status)
	case r.faultFree && r.err != "" && runs > 0:
		rec.problem("LOST: request %s (%s) ran and its connection ended without an answer: %s", r.id, r.route, r.err)
	case r.faultFree && r.status == 200 && !r.complete:
		rec.problem("LOST: request %s (%s) was cut after %d events", r.id, r.route, r.events)
	}
}

// report logs one JSON line for the seed and fails the test if a guarantee was violated.
func (rec *recorder) report(t *testing.T, seed uint64, counts map[string]int) {
	outcomes := map[string]int{}
	for _, r := range rec.results {
		switch {
		case r.complete:
			outcomes["answered"]++
		case r.err != "":
			outcomes["connection"]++
		default:
			outcomes[fmt.Sprint(r.status)]++
		}
	}
	line, err := json.Marshal(map[string]any{"seed": seed, "faults": counts, "ends": outcomes, "problems": rec.problems})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%s", line)
	if len(rec.problems) > 0 {
		t.Errorf("seed %d: %d violated guarantees:\n%s", seed, len(rec.problems), strings.Join(rec.problems[:min(len(rec.problems), 8)], "\n"))
	}
}
