// Package demo runs a small fleet with stand-ins in one process, injects faults under load, and checks the invariants
// with records that it keeps itself. docs/demo.md describes the scenario and the figures.
package demo

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// Config of a run.
type Config struct {
	// Seed is the seed of the random choices of the load.
	Seed uint64
	// LoadDuration is the length of the load; the run takes some seconds more.
	LoadDuration time.Duration
	// SkipFaults leaves out the network partition, the crash and the planned stop. Version changes and publications stay.
	SkipFaults bool
	// Progress receives a line for each step; nil for none.
	Progress io.Writer
	// Log receives the event logs of the entry VMs; nil for none.
	Log io.Writer
}

// Times of the steps, as shares of the length of the load.
const (
	publishChangeAt       = 0.05
	partitionAt           = 0.15
	healAt                = 0.35
	publishConcurrentlyAt = 0.40
	killAt                = 0.50
	replaceAt             = 0.60
	plannedStopAt         = 0.75
	goodDeadlineAt        = 0.90
)

const (
	// badDeadlineDelay is far longer than the run, so that only evidence of faults can end the bad change.
	badDeadlineDelay = 2 * time.Minute
	goodStages       = "20%, 60%, 100%"
	badStages        = "20%, 100%"
	// minStreamsAtKill is the number of open streams for which the kill waits, but not longer than maxStreamWait.
	minStreamsAtKill = 3
	maxStreamWait    = 3 * time.Second
	// settleTimeout bounds the wait for the bill lines. Those of a killed entry VM are appended by the peer that holds
	// copies, some seconds after the last message of the killed one.
	settleTimeout      = 15 * time.Second
	settlePollInterval = 100 * time.Millisecond
)

// scenario is the state of one run.
type scenario struct {
	cfg      Config
	started  time.Time
	standIns *standIns
	fleet    *fleet
	load     *loadGenerator
	monitor  *versionMonitor
	// stopped is the process of the planned stop, killed the one that crashed.
	stopped, killed *vmProcess
	// lastConfigVersion is the configuration version that must be in force at the end.
	lastConfigVersion uint64
	progressMu        sync.Mutex
}

// Run runs the scenario and returns its result, which names the invariants that did not hold. An error says that the
// scenario itself could not be run.
func Run(ctx context.Context, cfg Config) (*Result, error) {
	if cfg.LoadDuration <= 0 {
		return nil, eris.New("length of the load must be above 0")
	}
	standIns, err := startStandIns()
	if err != nil {
		return nil, err
	}
	defer standIns.close()
	s := &scenario{cfg: cfg, started: time.Now(), standIns: standIns, fleet: newFleet(standIns, cfg.Log), monitor: &versionMonitor{standIns: standIns}}
	s.load = newLoadGenerator(s.fleet, standIns.services)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var monitors sync.WaitGroup
	monitors.Go(func() { s.fleet.monitor(ctx) })
	monitors.Go(func() { s.monitor.run(ctx) })
	result, err := s.execute(ctx)
	cancel()
	monitors.Wait()
	s.shutDown()
	if err != nil {
		return nil, err
	}
	return result, nil
}

// shutDown stops the processes that are still running after an error.
func (s *scenario) shutDown() {
	for _, v := range s.fleet.allProcesses() {
		v.vm.Abort()
		v.stop()
	}
	s.fleet.wg.Wait()
}

func (s *scenario) execute(ctx context.Context) (*Result, error) {
	if err := s.startFleet(ctx); err != nil {
		return nil, err
	}
	loadStart := time.Now()
	s.load.endTime = loadStart.Add(s.cfg.LoadDuration)
	s.load.retryDeadline = s.load.endTime.Add(retryGracePeriod)
	loadDone := make(chan struct{})
	go func() {
		defer close(loadDone)
		s.load.run(ctx, s.cfg.Seed)
	}()
	err := s.runSteps(ctx, loadStart)
	<-loadDone
	if err != nil {
		return nil, err
	}
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	s.printProgress("the load has ended, %d requests", len(s.load.requests))
	s.awaitBillsAndConfig(ctx)
	reports := s.readReports(ctx)
	s.stopAll()
	return s.buildResult(reports), nil
}

func (s *scenario) startFleet(ctx context.Context) error {
	if err := s.publish("olga", 0, publication{}); err != nil {
		return err
	}
	for _, domain := range []string{eastDomain, westDomain} {
		for slot := range vmsPerDomain {
			if _, err := s.fleet.start(fmt.Sprintf("%s-vm%d", domain, slot), domain, slot, 1, nil); err != nil {
				return err
			}
		}
	}
	for _, v := range s.fleet.allProcesses() {
		if err := s.fleet.awaitReady(ctx, v); err != nil {
			return err
		}
	}
	s.printProgress("%d entry VMs in 2 failure domains, %d model engines and %d services are up",
		len(s.fleet.allProcesses()), len(s.standIns.engines), len(s.standIns.services))
	return nil
}

// publish appends a publication that the fleet must accept.
func (s *scenario) publish(operator string, replaces uint64, p publication) error {
	s.lastConfigVersion = replaces + 1
	return s.standIns.publish(operator, replaces, p)
}

// runSteps makes the faults and publications, each at its time in the load.
func (s *scenario) runSteps(ctx context.Context, loadStart time.Time) error {
	at := func(share float64) time.Time {
		return loadStart.Add(time.Duration(share * float64(s.cfg.LoadDuration)))
	}
	p := publication{secondTopUp: true, leavingEngine: s.standIns.engines[0].name, changes: []modelChange{
		{model: goodModel, deadline: at(goodDeadlineAt), stages: goodStages},
	}}
	steps := []struct {
		at      float64
		isFault bool
		do      func(context.Context) error
	}{
		{publishChangeAt, false, func(context.Context) error { return s.publishChange(p) }},
		{partitionAt, true, func(context.Context) error { return s.partition() }},
		{healAt, true, func(context.Context) error { return s.heal() }},
		{publishConcurrentlyAt, false, func(context.Context) error { return s.publishConcurrently(p) }},
		{killAt, true, s.kill},
		{replaceAt, true, func(context.Context) error { return s.replace() }},
		{plannedStopAt, true, s.plannedStop},
	}
	for _, step := range steps {
		if step.isFault && s.cfg.SkipFaults {
			continue
		}
		sleep(ctx, time.Until(at(step.at)))
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err := step.do(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (s *scenario) publishChange(p publication) error {
	s.load.accounts[0].prepaidTokens.Add(secondTopUpTokens)
	s.printProgress("publication 2: a good version for %s, a top-up for %s, and %s is leaving", goodModel, s.load.accounts[0].name, p.leavingEngine)
	s.standIns.engines[0].server.SetDraining(true)
	return s.publish("olga", 1, p)
}

func (s *scenario) partition() error {
	s.fleet.network.isolate(westDomain)
	s.printProgress("%s is cut off from the platform and from %s", westDomain, eastDomain)
	return nil
}

func (s *scenario) heal() error {
	s.fleet.network.isolate("")
	s.printProgress("the cut is healed")
	return nil
}

// publishConcurrently appends two publications that replace the same version; only the first one may be accepted.
func (s *scenario) publishConcurrently(p publication) error {
	bad := modelChange{model: badModel, deadline: time.Now().Add(badDeadlineDelay), stages: badStages}
	p.changes = append(p.changes, bad)
	s.printProgress("publication 3: a bad version for %s, by two operators at once", badModel)
	if err := s.publish("olga", 2, p); err != nil {
		return err
	}
	return s.standIns.publish("piet", 2, publication{})
}

func (s *scenario) kill(ctx context.Context) error {
	s.killed = s.fleet.allProcesses()[0]
	deadline := time.Now().Add(maxStreamWait)
	for s.killed.openStreams.Load() < minStreamsAtKill && time.Now().Before(deadline) {
		sleep(ctx, time.Millisecond)
	}
	streams := s.killed.openStreams.Load()
	s.killed.kill()
	s.printProgress("%s is killed with %d streams open", s.killed.name, streams)
	return nil
}

func (s *scenario) replace() error {
	v := s.killed
	if _, err := s.fleet.start(v.name, v.domain, v.slot, 2, v); err != nil {
		return err
	}
	s.printProgress("%s is replaced by a new process", v.name)
	return nil
}

func (s *scenario) plannedStop(context.Context) error {
	s.stopped = s.fleet.allProcesses()[vmsPerDomain]
	s.printProgress("%s begins a planned stop", s.stopped.name)
	s.stopped.stopped.Store(true)
	s.fleet.publishList()
	s.stopped.stop()
	return nil
}

// awaitBillsAndConfig waits until the log has the bill line of each answered completion and all running entry VMs have
// the last configuration, for at most settleTimeout.
func (s *scenario) awaitBillsAndConfig(ctx context.Context) {
	deadline := time.Now().Add(settleTimeout)
	for {
		unbilled := countUnbilled(s.load.requests, readLedger(s.standIns.platform))
		behind := len(s.fleet.withoutConfigVersion(s.lastConfigVersion))
		if unbilled+behind == 0 || ctx.Err() != nil || time.Now().After(deadline) {
			s.printProgress("bill lines that are not in the log: %d; entry VMs without version %d: %d", unbilled, s.lastConfigVersion, behind)
			return
		}
		sleep(ctx, settlePollInterval)
	}
}

func (s *scenario) stopAll() {
	for _, v := range s.fleet.allProcesses() {
		v.stop()
	}
	s.fleet.wg.Wait()
	s.printProgress("all entry VMs have stopped")
}

func (s *scenario) printProgress(format string, args ...any) {
	if s.cfg.Progress == nil {
		return
	}
	s.progressMu.Lock()
	defer s.progressMu.Unlock()
	fmt.Fprintf(s.cfg.Progress, "%6.2f s  %s\n", time.Since(s.started).Seconds(), fmt.Sprintf(format, args...))
}

func (s *scenario) elapsedSeconds() float64 { return time.Since(s.started).Seconds() }
