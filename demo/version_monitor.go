package demo

import (
	"context"
	"sync"
	"time"
)

const (
	monitorInterval = 20 * time.Millisecond
	// containmentTimeout is the time after which a bad version must get no more requests once its takeBack record is in
	// the log. The fleet must stop within 1 s; the rest allows for a machine that is busy with the demo itself.
	containmentTimeout = 3 * time.Second
)

// versionMonitor counts the runs of the bad version before and after the end of the containment timeout.
type versionMonitor struct {
	standIns *standIns

	mu          sync.Mutex
	takenBackAt time.Time
	// runsUntilContained counts the runs until containmentTimeout after takenBackAt. It doesn't change any more once
	// contained is set.
	runsUntilContained uint64
	contained          bool
}

func (m *versionMonitor) run(ctx context.Context) { repeatEvery(ctx, monitorInterval, m.sample) }

func (m *versionMonitor) sample() {
	takenBack := readChanges(m.standIns.platform)[badModel].takenBack
	runs, _ := m.standIns.versionRuns(badModel, newVersion)
	m.mu.Lock()
	defer m.mu.Unlock()
	now := time.Now()
	if takenBack && m.takenBackAt.IsZero() {
		m.takenBackAt = now
	}
	if m.contained {
		return
	}
	m.runsUntilContained = runs
	m.contained = takenBack && now.Sub(m.takenBackAt) >= containmentTimeout
}

// lateRuns returns the number of runs of the bad version after the containment timeout.
func (m *versionMonitor) lateRuns() uint64 {
	runs, _ := m.standIns.versionRuns(badModel, newVersion)
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.contained {
		return 0
	}
	return runs - m.runsUntilContained
}

// versionRuns counts the started runs of a version of a model, and of all versions of all models.
func (s *standIns) versionRuns(model, version string) (runs, all uint64) {
	for _, e := range s.engines {
		// No request has the ID "-", so that only the totals are returned.
		totals := e.server.Runs("-").Totals
		all += totals.Started
		if e.model == model {
			runs += totals.Versions[version]
		}
	}
	return runs, all
}
