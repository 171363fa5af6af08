package entry

import (
	"time"

	"ibiswinch/core/budget"
	"ibiswinch/core/membership"
	"ibiswinch/core/record"
	"ibiswinch/core/retry"
	"ibiswinch/core/rollout"
	"ibiswinch/core/routing"
	"ibiswinch/entry/stream"
)

// Dump is the state of one entry VM process.
type Dump struct {
	Author        record.Author        `json:"author"`
	Domain        string               `json:"domain"`
	Slot          int                  `json:"slot"`
	Time          time.Time            `json:"time"`
	Started       time.Time            `json:"started"`
	Ready         string               `json:"ready"`
	OpenRequests  int64                `json:"openRequests"`
	HeldBytes     int64                `json:"heldBytes"`
	PeakHeldBytes int64                `json:"peakHeldBytes"`
	MaxHeldBytes  int64                `json:"maxHeldBytes"`
	PendingBills  int64                `json:"pendingBills"`
	HeldBills     int                  `json:"heldBills"`
	ConfigVersion uint64               `json:"configVersion"`
	Streams       []stream.Status      `json:"streams"`
	Members       []membership.Status  `json:"members"`
	Budgets       []BudgetDump         `json:"budgets"`
	Changes       []rollout.ChangeDump `json:"changes"`
	Servers       []routing.ServerDump `json:"servers"`
	Suspects      []retry.Status       `json:"suspects"`
}

// BudgetDump is the budget of one team as this entry VM sees it, in tokens.
type BudgetDump struct {
	Team     string `json:"team"`
	ToppedUp uint64 `json:"toppedUp"`
	Billed   uint64 `json:"billed"`
	// Pool is what isn't granted to any holder.
	Pool uint64 `json:"pool"`
	// Holder is the entry VM that has the domain's grant; Held is what this entry VM can still issue as a holder.
	Holder string `json:"holder"`
	Held   uint64 `json:"held"`
	// Available is what is left of the slices of this entry VM.
	Available uint64 `json:"available"`
	// Reservations is the number of reservations of open requests.
	Reservations int `json:"reservations"`
}

// Dump returns the state of the process.
func (vm *VM) Dump() Dump {
	now := vm.cfg.Now()
	d := Dump{
		Author: vm.cfg.Author, Domain: vm.cfg.Domain, Slot: vm.cfg.Slot, Time: now, Started: vm.cfg.Started, Ready: "ready",
		OpenRequests: vm.openRequests(), HeldBytes: vm.memory.Held(), PeakHeldBytes: vm.memory.Peak(),
		MaxHeldBytes: vm.memory.Limit(), PendingBills: vm.bills.pending(), HeldBills: vm.bills.replicaLines(),
		ConfigVersion: vm.configs.active().version, Members: vm.peers.dump(now), Changes: vm.changes.dump(),
		Servers: vm.servers.dump(now), Suspects: vm.quarantine.dump(), Budgets: vm.budget.dump(now),
	}
	if refused := vm.CheckReady(); refused != nil {
		d.Ready = refused.Message
	}
	for _, w := range vm.workers {
		d.Streams = append(d.Streams, w.Status())
	}
	return d
}

func (b *budgetController) dump(now time.Time) []BudgetDump {
	var dump []BudgetDump
	b.worker.WithLock(func() {
		for _, team := range b.ledger.Teams() {
			totals, _ := b.ledger.Totals(team)
			dump = append(dump, BudgetDump{
				Team: team, ToppedUp: totals.ToppedUp, Billed: totals.Billed, Pool: totals.Pool(), Held: b.holder.Issuable(team),
				Available: b.spender.Available(team), Reservations: b.spender.OpenReservations(team),
			})
		}
	})
	for i := range dump {
		dump[i].Holder = b.peers.holderOf(now, dump[i].Team).Author.VM
	}
	return dump
}

// Report is what has happened according to the log. Entry VMs that have read the log report the same, except for
// TeamReport.Stranded and LeavingServers, which depend on the peers and servers as each entry VM sees them.
type Report struct {
	ConfigVersion  uint64           `json:"configVersion"`
	Operator       string           `json:"operator"`
	Teams          []TeamReport     `json:"teams"`
	Changes        []rollout.Change `json:"changes"`
	UnknownOrders  []OrderReport    `json:"unknownOrders"`
	LeavingServers []string         `json:"leavingServers"`
}

// TeamReport is the budget of one team, in tokens.
type TeamReport struct {
	Team      string `json:"team"`
	ToppedUp  uint64 `json:"toppedUp"`
	Billed    uint64 `json:"billed"`
	Remaining uint64 `json:"remaining"`
	// Granted is what holders have. Stranded is granted to holders that can't be closed, since neither they nor enough of
	// their witnesses are live; the operator has to top up again. Closed is what closed holders had issued, used or not.
	Granted  uint64 `json:"granted"`
	Stranded uint64 `json:"stranded"`
	Closed   uint64 `json:"closed"`
}

// OrderReport is an order that is claimed and has no result. It is identified by a hash of its team and idempotency
// key, since the log has only that.
type OrderReport struct {
	Order   string        `json:"order"`
	Claimer record.Author `json:"claimer"`
	Since   time.Time     `json:"since"`
}

// Report returns the report of the log as read so far.
func (vm *VM) Report() Report {
	now := vm.cfg.Now()
	p := vm.configs.publication()
	r := Report{
		ConfigVersion: p.Version, Operator: p.Operator, Teams: vm.budget.report(now), UnknownOrders: vm.orders.claimedOrders(now),
		Changes: []rollout.Change{}, LeavingServers: []string{},
	}
	vm.changes.worker.WithLock(func() { r.Changes = append(r.Changes, vm.changes.changes.All()...) })
	for _, s := range vm.servers.dump(now) {
		if s.Leaving {
			r.LeavingServers = append(r.LeavingServers, s.Server)
		}
	}
	return r
}

func (b *budgetController) report(now time.Time) []TeamReport {
	reports := []TeamReport{}
	live := func(a record.Author) bool { return b.peers.isLive(now, a) }
	b.worker.WithLock(func() {
		for _, team := range b.ledger.Teams() {
			reports = append(reports, teamReport(b.ledger, team, live))
		}
	})
	return reports
}

func teamReport(l *budget.Ledger, team string, live func(record.Author) bool) TeamReport {
	t, _ := l.Totals(team)
	return TeamReport{
		Team: team, ToppedUp: t.ToppedUp, Billed: t.Billed, Remaining: t.ToppedUp - min(t.Billed, t.ToppedUp),
		Granted: t.Granted - t.Returned, Stranded: l.Stranded(team, live), Closed: l.ClosedOutstanding(team),
	}
}

func (b *billController) replicaLines() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.replicaCount
}
