// Package capacity computes the tables of docs/CAPACITY.md: it reads the output of the benchmarks of this package, fits
// a line to each, and extrapolates to the deployments of docs/design.md.
package capacity

import (
	"ibiswinch/core/budget"
	"ibiswinch/core/membership"
	"ibiswinch/core/routing"
)

// Deployment selects a column of the page.
type Deployment int

// Deployments of docs/design.md, sections 1.4 and 1.5.
const (
	DeploymentA Deployment = iota
	DeploymentB
	DeploymentTarget
	deployments
)

// Input is a number that the model starts from.
type Input struct {
	Name string
	Unit string
	// Values are in the order of the deployments.
	Values [deployments]float64
	Source string
}

// Inputs are the numbers of the model that no benchmark measures.
type Inputs struct {
	EntryVMs, Domains, Regions, Engines, PlainServers, Accelerators             Input
	Requests, Orders, TokensPerRequest                                          Input
	Budgets, Teams, ZipfExponent                                                Input
	Models, Routes, OpenChanges                                                 Input
	Publications, MaxLogAppends, VMFailures, VMRestarts                         Input
	MessageOverhead, MaxLogReads, CacheEvents, LocalShareSlots, MaxPendingBills Input
	CPUBound, MemoryBound, NetworkBound                                         Input
	RegionCutSeconds, OutageSeconds, ReplacedShare, GrantHorizonSeconds         Input
}

// Sources of inputs.
const (
	design14 = "design 1.4"
	design15 = "design 1.5"
	assumed  = "assumption"
	fromCode = "code"
	fromTask = "task of this page"
)

func same(v float64) [deployments]float64 { return [deployments]float64{v, v, v} }

// DefaultInputs returns the inputs of docs/CAPACITY.md.
func DefaultInputs() Inputs {
	const tokensPerRequest = 9_200_000.0 / 42_000
	each := func(a, b, target float64) [deployments]float64 { return [deployments]float64{a, b, target} }
	return Inputs{
		EntryVMs:     Input{"Entry VMs", "", each(8, 8, 850), design14 + ", 1.5"},
		Domains:      Input{"Failure domains", "", each(3, 4, 15), design14 + ", 1.5"},
		Regions:      Input{"Regions", "", each(1, 1, 7), design15 + "; 1 today is an " + assumed},
		Engines:      Input{"Model engines", "", each(12, 18, 7000), design14 + "; of the 7,100 servers of 1.5, 100 plain ones are an " + assumed},
		PlainServers: Input{"Servers of plain services", "", each(3, 4, 100), design14 + "; target: " + assumed},
		Accelerators: Input{"Accelerators", "", each(12, 18, 29_000), design15 + "; today 1 per engine: " + assumed},

		Requests:         Input{"Requests", "1/s", each(200, 200, 42_000), design15 + "; today: " + assumed + " of the task"},
		Orders:           Input{"Non-idempotent orders", "1/s", each(20, 20, 4200), "design 1.6; target: the same 10% of requests, " + assumed},
		TokensPerRequest: Input{"Tokens per request", "", same(tokensPerRequest), "9.2 M / 42,000 of design 1.5; today the same: " + assumed},

		Budgets:      Input{"Budgets", "", each(10, 10, 67_000), design14 + ", 1.5; the code has one budget per team"},
		Teams:        Input{"Teams", "", each(10, 10, 1100), design14 + ", 1.5"},
		ZipfExponent: Input{"Exponent of the Zipf law of requests per budget", "", same(1), assumed},

		Models:      Input{"Models", "", each(2, 2, 6), design15 + "; today: " + assumed},
		Routes:      Input{"Routes per model", "", same(2), fromCode + " (`config.Route`)"},
		OpenChanges: Input{"Version changes open at once", "", each(1, 1, 6), "one per model at the target: " + assumed},

		Publications:  Input{"Configuration changes", "1/day", each(100, 100, 6300), design15 + "; today: " + assumed},
		MaxLogAppends: Input{"Appends that the platform takes", "1/s", each(100, 100, 300), "design 1.6; target: " + fromTask},
		VMFailures:    Input{"VM failures", "1/day", each(1, 1, 78), design15 + "; today: " + assumed},
		VMRestarts:    Input{"VM restarts and replacements", "1/day", each(10, 10, 1100), design15 + "; today: " + assumed},

		MessageOverhead: Input{"HTTP and TCP headers per message", "B", same(membership.HeaderBytes), fromCode + " (`membership.HeaderBytes`)"},
		MaxLogReads:     Input{"Most reads of a stream by one VM", "1/s", same(500), "1 / 2 ms of a round trip: " + assumed},
		CacheEvents:     Input{"Cache events per request", "", same(1), assumed},
		LocalShareSlots: Input{"Slots of a domain with a share of one engine", "", same(routing.DefaultSlotsPerServer), fromCode + " (`routing.DefaultSlotsPerServer`)"},
		MaxPendingBills: Input{"Bill lines that one VM keeps", "", same(10_000), fromCode + " (default of `maxPendingBills`)"},

		CPUBound:     Input{"Bound of control: processor", "cores", same(0.01), design15 + "; today for comparison"},
		MemoryBound:  Input{"Bound of control: memory", "B", same(32e6), design15 + "; today for comparison"},
		NetworkBound: Input{"Bound of control: network", "B/s", same(26e3), design15 + "; today for comparison"},

		RegionCutSeconds:    Input{"A region is cut for", "s", same(300), "\"minutes\" of " + design15 + ": " + assumed},
		OutageSeconds:       Input{"Outage of the platform", "s", same(3600), fromTask},
		ReplacedShare:       Input{"Entry VMs replaced at once", "share", same(0.15), fromTask},
		GrantHorizonSeconds: Input{"Reserve of a holder", "s", same(budget.DefaultHolderConfig().OutageHorizon.Seconds()), fromCode + " (default of `outageHorizon`)"},
	}
}

// List returns the inputs in the order in which the page lists them.
func (in Inputs) List() []Input {
	return []Input{
		in.EntryVMs, in.Domains, in.Regions, in.Engines, in.PlainServers, in.Accelerators, in.Requests, in.Orders,
		in.TokensPerRequest, in.Budgets, in.Teams, in.ZipfExponent, in.Models, in.Routes, in.OpenChanges, in.Publications,
		in.MaxLogAppends, in.VMFailures, in.VMRestarts, in.MessageOverhead, in.MaxLogReads, in.CacheEvents, in.LocalShareSlots,
		in.MaxPendingBills, in.CPUBound, in.MemoryBound, in.NetworkBound, in.RegionCutSeconds, in.OutageSeconds,
		in.ReplacedShare, in.GrantHorizonSeconds,
	}
}
