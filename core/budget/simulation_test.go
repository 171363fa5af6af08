package budget

import (
	"crypto/sha256"
	"fmt"
	"slices"
	"time"

	"ibiswinch/core/record"
)

// logDomain is the domain of the fake log, which can be cut off like a failure domain.
const logDomain = "log"

// message is a request, an append or a reply in flight. It may be delivered late, twice or never.
type message struct {
	from, to string // failure domains
	vm       string // the VM that receives it, empty for the log
	deliver  func()
}

// request is an admitted request. The list of all requests is the oracle of the budget.
type request struct {
	team      string
	worstCase uint64
	// charged is the worst case until the request has ended, then the used tokens, and 0 after a refund.
	charged uint64
	line    BillLine
	ended   bool
	vm      *vm
	end     time.Time
}

// waitingRequest is a request that waits for tokens until its deadline.
type waitingRequest struct {
	identity, team string
	worstCase      uint64
	deadline       time.Time
}

// vm is a simulated process of an entry VM.
type vm struct {
	sim     *simulation
	name    string
	domain  string
	author  record.Author
	ledger  *Ledger
	stream  *record.Stream
	outbox  *record.Outbox
	holder  *Holder
	spender *Spender
	witness *Witness
	// steps are decided steps that were not executed yet.
	steps    []func()
	requests []*request
	// waiting are requests without a reservation yet.
	waiting []waitingRequest
	dead    bool
	// paused stops the process in round: its decided steps are not executed, and messages to it wait.
	paused bool
	// skew is the error of the clock that makes the times of bill lines.
	skew time.Duration
}

// simulation runs several VMs with a fake clock, network and log.
type simulation struct {
	now             time.Time
	vms             map[string]*vm
	names           []string
	view            map[string]record.Author // the processes that the VMs know as peers
	cutOff          map[string]bool
	network         []message
	log             [][]byte
	trimmed         uint64   // offset of the first entry that is still in the log
	snapshotBases   []uint64 // bases of the whole snapshots in the log
	reference       *record.Stream
	referenceLedger *Ledger
	digests         map[uint64][32]byte
	requests        []*request
	incarnations    int
	appends         int
	refunds         int
	// topUps holds the tokens of each top-up identity, toppedUp their sums by team.
	topUps          map[string]uint64
	toppedUp        map[string]uint64
	failure         string
	configureLedger func(*Ledger)
	// compareReaders makes every reader compare its state with the reference reader.
	compareReaders bool
	holder         HolderConfig
	// audit, if set, checks what the reference reader bills.
	audit *audit
	// firstGrantOnly drops all grant requests of a holder and team but the first.
	firstGrantOnly bool
}

func newSimulation(domains, perDomain int, configureLedger func(*Ledger)) *simulation {
	return newAuditedSimulation(domains, perDomain, configureLedger, nil)
}

func newAuditedSimulation(domains, perDomain int, configureLedger func(*Ledger), a *audit) *simulation {
	s := &simulation{audit: a, compareReaders: configureLedger == nil, now: epoch, vms: map[string]*vm{}, view: map[string]record.Author{}, cutOff: map[string]bool{},
		digests: map[uint64][32]byte{}, topUps: map[string]uint64{}, toppedUp: map[string]uint64{}, configureLedger: configureLedger}
	s.referenceLedger = s.newLedger()
	s.digests[0] = s.digest(s.referenceLedger)
	s.reference = record.NewStream(s.referenceLedger)
	if a != nil {
		a.Ledger, a.fail = s.referenceLedger, s.fail
		s.reference = record.NewStream(a)
	}
	for d := range domains {
		for i := range perDomain {
			name := fmt.Sprintf("d%d%c", d, 'a'+i)
			s.names = append(s.names, name)
			s.start(name)
		}
	}
	s.refreshView()
	return s
}

func (s *simulation) newLedger() *Ledger {
	l := NewLedger()
	if s.configureLedger != nil {
		s.configureLedger(l)
	}
	if s.audit != nil {
		l.billed.retention = s.audit.retention
	}
	return l
}

// start replaces the process of a VM. Messages to the VM reach the new process.
func (s *simulation) start(name string) {
	if old := s.vms[name]; old != nil {
		old.dead = true
	}
	s.incarnations++
	v := &vm{sim: s, name: name, domain: name[:2], ledger: s.newLedger()}
	v.author = record.Author{VM: name, Incarnation: fmt.Sprint(s.incarnations)}
	v.stream = record.NewStream(v.ledger)
	v.outbox = record.NewOutbox(v.author)
	cfg := s.holder
	cfg.Author, cfg.Ledger = v.author, v.ledger
	v.holder = NewHolder(cfg)
	v.spender = NewSpender(SpenderConfig{Author: v.author, Ledger: v.ledger})
	v.witness = NewWitness(v.author, v.ledger)
	s.vms[name] = v
}

func (s *simulation) refreshView() {
	for _, name := range s.names {
		s.view[name] = s.vms[name].author
	}
}

func (s *simulation) fail(format string, args ...any) {
	if s.failure == "" {
		s.failure = fmt.Sprintf(format, args...)
	}
}

func (s *simulation) send(from, to, vm string, deliver func()) {
	s.network = append(s.network, message{from: from, to: to, vm: vm, deliver: deliver})
}

// deliver delivers message i, and removes it from the network unless keep is set.
func (s *simulation) deliver(i int, keep bool) {
	m := s.network[i]
	if !keep {
		s.network = slices.Delete(s.network, i, i+1)
	}
	if m.from != m.to && (s.cutOff[m.from] || s.cutOff[m.to]) {
		return
	}
	m.deliver()
}

// call sends a request to the process that runs on the named VM when it arrives, and the reply back to v.
func call[T any](v *vm, name string, serve func(*vm) T, answer func(T)) {
	s := v.sim
	s.send(v.domain, name[:2], name, func() {
		target := s.vms[name]
		reply := serve(target)
		s.send(target.domain, v.domain, v.name, func() {
			if !v.dead {
				answer(reply)
			}
		})
	})
}

// appendEntry appends an entry to the log and applies it to the reference reader.
func (s *simulation) appendEntry(data []byte) {
	s.appends++
	s.reference.Apply(uint64(len(s.log)), data)
	s.log = append(s.log, data)
	if s.compareReaders {
		s.digests[s.reference.Next()] = s.digest(s.referenceLedger)
	}
	// Snapshots in the tests have one part, so each part is a whole snapshot.
	records, _ := record.DecodeBatch(data)
	for _, r := range records {
		if part, err := record.Body[record.SnapshotPart](r); err == nil && r.Kind == record.KindSnapshot {
			s.snapshotBases = append(s.snapshotBases, part.Base)
		}
	}
}

func (s *simulation) digest(l *Ledger) [32]byte {
	data, err := l.Encode()
	if err != nil {
		s.fail("encode: %v", err)
	}
	return sha256.Sum256(data)
}

// read applies up to n entries of the log.
func (v *vm) read(n int) {
	s := v.sim
	if s.cutOff[v.domain] {
		return
	}
	v.stream.SetOldest(s.trimmed)
	for ; n > 0 && v.stream.Next() < uint64(len(s.log)); n-- {
		at := v.stream.Next()
		v.stream.Apply(at, s.log[at])
	}
	if s.compareReaders && !v.stream.WaitingForSnapshot() && s.digest(v.ledger) != s.digests[v.stream.Next()] {
		s.fail("reader %s differs at offset %d", v.name, v.stream.Next())
	}
	v.outbox.Confirm(v.stream.LastSequence(v.author))
	if v.stream.Next() == uint64(len(s.log)) {
		v.holder.SetLogReadTime(s.now)
	}
}

func (v *vm) snapshot() {
	if v.stream.WaitingForSnapshot() {
		return
	}
	parts, err := v.stream.Snapshot()
	if err != nil || len(parts) != 1 {
		v.sim.fail("snapshot of %d parts: %v", len(parts), err)
	}
	for _, p := range parts {
		v.add(Payload{record.KindSnapshot, p})
	}
}

// admit tries all waiting requests, and returns how many of them were refused.
func (v *vm) admit() (refused []waitingRequest) {
	v.waiting = slices.DeleteFunc(v.waiting, func(q waitingRequest) bool {
		r := v.spender.Reserve(v.sim.now, q.team, q.worstCase)
		switch {
		case r.Outcome == Reserved:
			l := BillLine{Identity: q.identity, Team: q.team, Model: "m", Version: "1", Spender: v.author, Reservation: r.Reservation}
			x := &request{team: q.team, worstCase: q.worstCase, charged: q.worstCase, line: l, vm: v}
			v.requests = append(v.requests, x)
			v.sim.requests = append(v.sim.requests, x)
			return true
		case r.Outcome == NeedsDraw && v.sim.now.Before(q.deadline):
			return false
		}
		refused = append(refused, q)
		return true
	})
	return refused
}

// finish ends request i of v and adds its bill line to the outboxes of v and of backup, a VM that keeps a copy or nil.
func (v *vm) finish(i int, used uint64, backup *vm) {
	x := v.requests[i]
	x.ended = true
	x.charged = used
	x.line.CompletionTokens = used
	x.line.At = v.sim.now.Add(v.skew)
	if err := v.spender.Settle(v.sim.now, x.line.Reservation, used); err != nil {
		v.sim.fail("settle: %v", err)
	}
	v.add(Payload{record.KindBill, Bill{Lines: []BillLine{x.line}}})
	if backup != nil && backup != v {
		backup.add(Payload{record.KindBill, Bill{Lines: []BillLine{x.line}}})
	}
}

// reconcile confirms or refunds the ended requests whose identity is billed.
func (v *vm) reconcile() {
	v.requests = slices.DeleteFunc(v.requests, func(x *request) bool {
		state := v.ledger.BillLineState(x.line)
		if !x.ended || state == Undecided {
			return false
		}
		if state != Duplicate {
			v.spender.Confirm(x.line.Reservation)
			return true
		}
		if v.sim.audit != nil && v.sim.audit.isCounted(x.line) {
			v.sim.fail("billedExactlyOnce: %v is billed and refunded", x.line)
		}
		if x.charged > 0 {
			v.sim.refunds++
			if err := v.spender.Refund(v.sim.now, x.line.Reservation); err != nil {
				v.sim.fail("refund: %v", err)
			}
		}
		x.charged = 0
		return true
	})
}

func (s *simulation) topUp(identity, team string, tokens uint64) {
	if _, ok := s.topUps[identity]; !ok {
		s.topUps[identity] = tokens
		s.toppedUp[team] += tokens
	}
	s.incarnations++
	o := record.NewOutbox(record.Author{VM: "operator", Incarnation: fmt.Sprint(s.incarnations)})
	_, _ = o.Add(s.now, record.KindTopUp, TopUp{Identity: identity, Team: team, Tokens: tokens})
	data, _ := o.NextBatch()
	s.appendEntry(data)
}

// round lets every VM that is not paused do everything that is due, without faults other than cut-off domains.
func (s *simulation) round(holderOf func(v *vm, team string) string) {
	for _, name := range s.names {
		v := s.vms[name]
		if v.paused {
			continue
		}
		v.read(1 << 30)
		v.reconcile()
		v.admit()
		v.tick(holderOf)
		v.runSteps(1 << 30)
		v.append()
	}
	for i := 0; i < len(s.network); {
		if v := s.vms[s.network[i].vm]; v != nil && v.paused {
			i++
			continue
		}
		s.deliver(i, false)
	}
}
