package main

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
)

const (
	seed            = 23
	episodesPerDay  = 4
	firstEpisode    = 1.5 // Seconds from the start of traffic.
	episodeSpacing  = 8.2
	machineFaultLag = 0.6 // From the start of an episode to its fault of machines, which ends within 4 s after it.
	plansPerEpisode = 4
	trials          = 200 // Random pairs of faults that are compared for each episode.
	unusedBonus     = 3   // What a variant that has no place yet is worth, in pairs.
)

// An entry is a disruption at a time.
type entry struct {
	*disruption
	at float64
}

func (e entry) overlaps(o entry) bool {
	return e.at < o.at+o.seconds && o.at < e.at+e.seconds
}

// A day is a day file: what stands under plan and under faults.
type day struct {
	name   string
	plan   []entry
	faults []entry
}

// A pair is a kind of planned work and a kind of fault.
type pair struct {
	plan  string
	fault string
}

// An episode is what happens at about the same time.
type episode struct {
	faults []*disruption
	plan   []*disruption
	gain   int
}

// A generator places disruptions until each variant and each pair of kinds has its place.
type generator struct {
	random  *rand.Rand
	server  []*disruption
	machine []*disruption
	plan    []*disruption
	unused  map[*disruption]bool
	missing map[pair]bool
}

// generate returns the days: first those with faults that only deployments with health checks take, then the others.
func generate() []day {
	health := newGenerator(withHealth(serverFaults, true), nil)
	common := newGenerator(withHealth(serverFaults, false), pointers(machineFaults))
	days := append(health.days(), common.days()...)
	for i := range days {
		days[i].name = fmt.Sprintf("cover-%02d", i+1)
	}
	return days
}

func withHealth(all []disruption, health bool) []*disruption {
	return slices.DeleteFunc(pointers(all), func(d *disruption) bool { return d.health != health })
}

func pointers(all []disruption) []*disruption {
	list := make([]*disruption, len(all))
	for i := range all {
		list[i] = &all[i]
	}
	return list
}

func newGenerator(server, machine []*disruption) *generator {
	g := &generator{
		random:  rand.New(rand.NewPCG(seed, 0)),
		server:  server,
		machine: machine,
		plan:    pointers(plannedWork),
		unused:  make(map[*disruption]bool),
		missing: make(map[pair]bool),
	}
	faults := slices.Concat(server, machine)
	for _, d := range slices.Concat(faults, g.plan) {
		g.unused[d] = true
	}
	for _, p := range requiredPairs(faults, g.plan) {
		g.missing[p] = true
	}
	return g
}

// requiredPairs returns the pairs of kinds that must meet in time.
func requiredPairs(faults, plan []*disruption) []pair {
	var pairs []pair
	for _, f := range faults {
		for _, p := range plan {
			if !f.unpaired && !p.unpaired {
				pairs = append(pairs, pair{p.kind, f.kind})
			}
		}
	}
	return pairs
}

// days adds episodes until nothing is missing, and fills the last day.
func (g *generator) days() []day {
	var days []day
	for n := 0; len(g.unused) > 0 || len(g.missing) > 0 || n%episodesPerDay != 0; n++ {
		if n%episodesPerDay == 0 {
			days = append(days, day{})
		}
		start := firstEpisode + episodeSpacing*float64(n%episodesPerDay)
		days[len(days)-1].add(g.nextEpisode(), start, g.random)
	}
	return days
}

// nextEpisode returns the best of some random episodes and strikes off what it covers.
func (g *generator) nextEpisode() episode {
	best := g.randomEpisode()
	for range trials {
		if e := g.randomEpisode(); e.gain > best.gain {
			best = e
		}
	}
	for _, d := range slices.Concat(best.faults, best.plan) {
		delete(g.unused, d)
	}
	for _, p := range requiredPairs(best.faults, best.plan) {
		delete(g.missing, p)
	}
	return best
}

// randomEpisode returns random faults with the planned work that covers most beside them.
func (g *generator) randomEpisode() episode {
	e := episode{}
	for _, list := range [][]*disruption{g.server, g.machine} {
		if len(list) > 0 {
			fault := list[g.random.IntN(len(list))]
			e.faults = append(e.faults, fault)
			e.gain += g.bonus(fault)
		}
	}
	candidates := slices.Clone(g.plan)
	g.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	slices.SortStableFunc(candidates, func(a, b *disruption) int {
		return cmp.Compare(g.planGain(b, e.faults), g.planGain(a, e.faults))
	})
	for _, p := range candidates {
		if len(e.plan) < plansPerEpisode && !containsKind(e.plan, p.kind) {
			e.gain += g.planGain(p, e.faults)
			e.plan = append(e.plan, p)
		}
	}
	return e
}

func (g *generator) bonus(d *disruption) int {
	if g.unused[d] {
		return unusedBonus
	}
	return 0
}

func (g *generator) planGain(p *disruption, faults []*disruption) int {
	gain := g.bonus(p)
	for _, f := range faults {
		if g.missing[pair{p.kind, f.kind}] {
			gain++
		}
	}
	return gain
}

func containsKind(list []*disruption, kind string) bool {
	return slices.ContainsFunc(list, func(d *disruption) bool { return d.kind == kind })
}

// add places an episode at start seconds. Its planned work begins while all of its faults last.
func (d *day) add(e episode, start float64, random *rand.Rand) {
	together := 4.0
	for i, f := range e.faults {
		at := start + machineFaultLag*float64(i)
		d.faults = append(d.faults, entry{f, at})
		together = min(together, at+f.seconds-start)
	}
	first := machineFaultLag * float64(len(e.faults)-1)
	for _, p := range e.plan {
		at := start + first + random.Float64()*(together-first)
		d.plan = append(d.plan, entry{p, float64(int(at*10)) / 10})
	}
	slices.SortFunc(d.plan, func(a, b entry) int { return cmp.Compare(a.at, b.at) })
}

// text returns the day as a file.
func (d *day) text() string {
	var b strings.Builder
	b.WriteString("# Written by go run ./deploy/cover\n")
	fmt.Fprintf(&b, "name = %q\n", d.name)
	writeList(&b, "plan", d.plan)
	writeList(&b, "faults", d.faults)
	return b.String()
}

func writeList(b *strings.Builder, name string, list []entry) {
	fmt.Fprintf(b, "%s = [\n", name)
	for _, e := range list {
		fmt.Fprintf(b, "  { at = %.1f, kind = %q", e.at, e.kind)
		if e.how != "" {
			fmt.Fprintf(b, ", how = %q", e.how)
		}
		if e.timed {
			fmt.Fprintf(b, ", for_s = %.1f", e.seconds)
		}
		if e.fields != "" {
			fmt.Fprintf(b, ", %s", e.fields)
		}
		b.WriteString(" },\n")
	}
	b.WriteString("]\n")
}
