package main

import (
	"os"
	"path/filepath"
	"slices"
	"testing"
)

const daysFolder = "../days"

// maxDays bounds the set: so many days can be played on four deployments in an hour.
const maxDays = 24

func TestEachVariantIsPlaced(t *testing.T) {
	placed := make(map[*disruption]bool)
	for _, d := range generate() {
		for _, e := range slices.Concat(d.plan, d.faults) {
			placed[e.disruption] = true
		}
	}
	for _, list := range [][]disruption{plannedWork, serverFaults, machineFaults} {
		for _, d := range pointers(list) {
			if !placed[d] {
				t.Errorf("%s %q stands in no day", d.kind, d.how)
			}
		}
	}
}

func TestEachPairOfPlannedWorkAndFaultMeets(t *testing.T) {
	met := make(map[pair]bool)
	for _, d := range generate() {
		for _, p := range d.plan {
			for _, f := range d.faults {
				if p.overlaps(f) {
					met[pair{p.kind, f.kind}] = true
				}
			}
		}
	}
	faults := slices.Concat(pointers(serverFaults), pointers(machineFaults))
	for _, p := range requiredPairs(faults, pointers(plannedWork)) {
		if !met[p] {
			t.Errorf("%s never meets %s", p.plan, p.fault)
		}
	}
}

func TestDaysLeaveCalmSeconds(t *testing.T) {
	const window = 4.0 // The longest stability window of the deployments.
	days := generate()
	if len(days) > maxDays {
		t.Errorf("%d days, want at most %d", len(days), maxDays)
	}
	for _, d := range days {
		calm := 0
		for tenth := range 340 {
			if d.isCalm(float64(tenth)/10, window) {
				calm++
			}
		}
		if calm < 60 {
			t.Errorf("%s has %.1f s in which no machine is disturbed, want 6", d.name, float64(calm)/10)
		}
	}
}

// isCalm says that no fault of machines, links or the store has lasted in the window before a moment.
func (d *day) isCalm(at, window float64) bool {
	return !slices.ContainsFunc(d.faults, func(f entry) bool {
		ofServers := slices.Contains(pointers(serverFaults), f.disruption)
		return !ofServers && f.at <= at && at < f.at+f.seconds+window
	})
}

func TestDayFilesAreTheGeneratorsOutput(t *testing.T) {
	days := generate()
	for _, d := range days {
		file := filepath.Join(daysFolder, d.name+".toml")
		written, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if string(written) != d.text() {
			t.Errorf("%s differs from the generator's output; run go run ./deploy/cover", file)
		}
	}
	files, err := filepath.Glob(filepath.Join(daysFolder, "cover-*.toml"))
	if err != nil {
		t.Fatal(err)
	}
	if len(files) != len(days) {
		t.Errorf("%d day files, want %d", len(files), len(days))
	}
}
