package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"
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
			runSeed(t, binary, seed, i)
		})
	}
}

// runSeed runs one seed in a loopback network of its own, the first free one counted from preferred.
func runSeed(t *testing.T, binary string, seed uint64, preferred int) {
	dir := t.TempDir()
	log, err := newFaultLog(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer log.close()
	f, err := startFleet(binary, dir, preferred)
	if err != nil {
		t.Fatal(err)
	}
	defer f.stop()
	for deadline := time.Now().Add(15 * time.Second); !f.allReady(); time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("seed %d: entry VMs not ready after 15 s", seed)
		}
	}
	rec := newRecorder(f)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for i := range callerCount {
		c := &caller{fleet: f, recorder: rec, number: i, random: rand.New(rand.NewPCG(seed, uint64(i)))}
		wg.Go(func() { c.run(ctx) })
	}
	injector := &faultInjector{fleet: f, recorder: rec, log: log, random: rand.New(rand.NewPCG(seed, 1000)), counts: map[string]int{}}
	injector.run(*faultDuration)
	faultsEnded := time.Now()
	time.Sleep(recoveryTime + 2*time.Second)
	cancel()
	wg.Wait()
	rec.checkResults(faultsEnded.Add(recoveryTime))
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
