package capacity_test

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"ibiswinch/core/budget"
	"ibiswinch/core/config"
	"ibiswinch/core/membership"
	"ibiswinch/core/order"
	"ibiswinch/core/record"
	"ibiswinch/core/routing"
	"ibiswinch/io/engine"
	"ibiswinch/io/peer"
	"ibiswinch/io/platform"
)

var epoch = time.Date(2026, 12, 1, 12, 0, 0, 123456789, time.UTC)

// author identifies one run of a process as cmd/ibiswinch does: by an incarnation of 8 bytes in hex.
func author(i int) record.Author {
	return record.Author{VM: fmt.Sprintf("vm-%04d", i), Incarnation: fmt.Sprintf("%016x", uint64(i)*0x9e3779b97f4a7c15+1)}
}

func teamName(i int) string { return fmt.Sprintf("team-%05d", i) }

func must[T any](value T, err error) T {
	if err != nil {
		panic(err)
	}
	return value
}

// encodeBatches encodes records of one author as log entries, with the batching of the outbox.
func encodeBatches(kind record.Kind, bodies ...any) [][]byte {
	outbox := record.NewOutbox(author(1))
	for _, body := range bodies {
		must(outbox.Add(epoch, kind, body))
	}
	return takeBatches(outbox)
}

func takeBatches(outbox *record.Outbox) [][]byte {
	var all [][]byte
	for {
		batch := must(outbox.NextBatch())
		if batch == nil {
			return all
		}
		all = append(all, batch)
		outbox.Confirm(outbox.InFlightLast())
	}
}

func totalBytes(batches [][]byte) int {
	n := 0
	for _, b := range batches {
		n += len(b)
	}
	return n
}

// billedTeams is small compared with the number of lines, so that the state of teams hardly adds to that of lines.
const billedTeams = 100

// billLine returns a bill line with an identity as an entry VM generates it.
func billLine(i int) budget.BillLine {
	return budget.BillLine{
		Identity: fmt.Sprintf("auto/%s/%d", author(1).Incarnation, 1_000_000+i), Team: teamName(i % billedTeams), Model: "model-3",
		Version: "v17", PromptTokens: 180, CompletionTokens: 39, Spender: author(1), Reservation: uint64(1_000_000 + i),
		At: epoch.Truncate(time.Millisecond),
	}
}

func billBodies(n, perRecord int) []any {
	var bodies []any
	for from := 0; from < n; from += perRecord {
		var bill budget.Bill
		for i := from; i < min(n, from+perRecord); i++ {
			bill.Lines = append(bill.Lines, billLine(i))
		}
		bodies = append(bodies, bill)
	}
	return bodies
}

func topUpBodies(n int) []any {
	var bodies []any
	for i := range n {
		bodies = append(bodies, budget.TopUp{Identity: "2026-12", Team: teamName(i), Tokens: 50_000_000})
	}
	return bodies
}

func grantBodies(n int) []any {
	var bodies []any
	for i := range n {
		bodies = append(bodies, budget.GrantRequest{
			Holder: budget.NewHolderID(author(1), 1), Team: teamName(i), Wanted: 40_960, Held: 1024, Number: 1,
		})
	}
	return bodies
}

func frontiers(n int) []budget.Frontier {
	var list []budget.Frontier
	for i := range n {
		list = append(list, budget.Frontier{Team: teamName(i), Tokens: uint64(1_000_000 + i)})
	}
	return list
}

// ledgerWithTopUps returns a ledger with n top-ups applied.
func ledgerWithTopUps(n int) (*budget.Ledger, *record.Stream, *record.Outbox) {
	l := budget.NewLedger()
	s := record.NewStream(l)
	o := record.NewOutbox(author(1))
	applyRecords(s, o, record.KindTopUp, topUpBodies(n)...)
	return l, s, o
}

// ledgerWithHolder returns a ledger with n top-ups applied and one holder opened.
func ledgerWithHolder(n int) (*budget.Ledger, *record.Stream, *record.Outbox) {
	l, s, o := ledgerWithTopUps(n)
	applyRecords(s, o, record.KindWitness, budget.WitnessSet{
		Holder: budget.NewHolderID(author(1), 1), Number: 1, Witnesses: []record.Author{author(2), author(3)},
	})
	return l, s, o
}

// applyRecords encodes records and applies them to a stream.
func applyRecords(s *record.Stream, o *record.Outbox, kind record.Kind, bodies ...any) {
	for _, body := range bodies {
		must(o.Add(epoch, kind, body))
	}
	for _, batch := range takeBatches(o) {
		if skipped := s.Apply(s.Next(), batch); len(skipped) > 0 {
			panic(skipped[0].Err)
		}
	}
}

// resultBodyBytes is the length of the recorded response to an order, an assumption of the page.
const resultBodyBytes = 200

func claimAndResult(i int) (order.Claim, order.Completion) {
	id := must(order.NewID(teamName(i%67_000), fmt.Sprintf("order-%d", i)))
	claim := order.Claim{
		Order: id, ArrivalOffset: uint64(i),
		Fingerprint: order.NewFingerprint("shop", "POST", "/orders", fmt.Append(nil, i)),
	}
	body := []byte(strings.Repeat("x", resultBodyBytes))
	return claim, order.Completion{
		Order: id, Claim: 1, Result: order.Result{Status: 201, ContentType: "application/json", Body: body},
	}
}

// orderRegistry returns a registry with n orders and their results applied, and the batches of their records.
func orderRegistry(n int) (*order.Registry, [][]byte) {
	r := order.NewRegistry()
	s := record.NewStream(r)
	o := record.NewOutbox(author(1))
	var all [][]byte
	for i := range n {
		claim, finish := claimAndResult(i)
		finish.Claim = must(o.Add(epoch, record.KindClaim, claim))
		all = append(all, takeBatches(o)...)
		must(o.Add(epoch, record.KindResult, finish))
		all = append(all, takeBatches(o)...)
	}
	for _, batch := range all {
		if skipped := s.Apply(s.Next(), batch); len(skipped) > 0 {
			panic(skipped[0].Err)
		}
	}
	return r, all
}

// configTexts writes an inventory and rules. Addresses, domains and models have no order that a compressor could
// exploit.
func configTexts(servers, teams int) (inventory, rules string) {
	var inv, rul strings.Builder
	for d := range 15 {
		fmt.Fprintf(&inv, "[domain \"domain-%d\"]\nregion = region-%d\nslots = 57\n\n", d, d%7)
	}
	for m := range 6 {
		fmt.Fprintf(&rul, "[model \"model-%d\"]\nmaxOutputTokens = 4096\n\n", m)
	}
	for i := range servers {
		// An odd factor keeps the addresses distinct modulo 65,536.
		hostBits := i * 40503 & 0xffff
		fmt.Fprintf(&inv, "[engine \"engine-%d\"]\naddress = 10.%d.%d.%d:8000\ndomain = domain-%d\nmodel = model-%d\n"+
			"versions = v17\ncapacityTokens = 480000\nchecksFencing = yes\n\n", i, i>>16, hostBits>>8, hostBits&255, hostBits%15, hostBits%97%6)
	}
	for i := range teams {
		fmt.Fprintf(&rul, "[team \"%s\"]\nkeySha256 = %s\ntopUpTokens = 2026-12:%d\nmodels = model-1, model-2\n\n",
			teamName(i), hexDigest(i), 50_000_000+i*7919)
	}
	return inv.String(), rul.String()
}

func hexDigest(i int) string {
	x := uint64(i)*0x9e3779b97f4a7c15 + 1
	var b strings.Builder
	for range 4 {
		x ^= x >> 33
		x *= 0xff51afd7ed558ccd
		x ^= x >> 29
		fmt.Fprintf(&b, "%016x", x)
	}
	return b.String()
}

func publishBatches(servers, teams int) [][]byte {
	inventory, rules := configTexts(servers, teams)
	return encodeBatches(record.KindPublish, must(config.NewPublish(0, "ada", inventory, rules)))
}

func member(i int) membership.Member {
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 20, byte(i >> 8), byte(i)}), 7000)
	return membership.Member{
		Author: author(i), Domain: fmt.Sprint("domain-", i%15), Addr: addr, Heartbeat: uint64(epoch.UnixMilli()),
	}
}

// newView returns a view with n other entry VMs in 15 domains.
func newView(n int) *membership.View {
	v := membership.NewView(membership.Config{Self: member(0)})
	for i := 1; i <= n; i++ {
		v.Merge(epoch, []membership.Member{member(i)})
	}
	return v
}

func wireMembers(n int) *peer.Digest {
	d := &peer.Digest{}
	for i := range n {
		m := member(i + 1)
		d.Members = append(d.Members, &peer.Member{
			Author: peer.EncodeAuthor(m.Author), Domain: m.Domain, Address: m.Addr.String(), Heartbeat: m.Heartbeat,
		})
	}
	return d
}

func wireRows(n int) *peer.Digest {
	d := &peer.Digest{}
	incarnation := func(i int) *peer.Life {
		return &peer.Life{Author: peer.EncodeAuthor(author(i)), StartedUnixNano: epoch.UnixNano()}
	}
	for i := range n {
		d.Rows = append(d.Rows, &peer.ShareRow{
			Server: fmt.Sprintf("engine-%04d", i), From: incarnation(1), FromSlot: 3, To: incarnation(2), ToSlot: 41, Opening: 40_000,
			Gave: 1_000_000, Demand: 20_000,
		})
	}
	return d
}

func wireOffers(n int) *peer.Digest {
	d := &peer.Digest{}
	for i := range n {
		d.Offers = append(d.Offers, &peer.Offer{
			Server: fmt.Sprintf("engine-%04d", i), From: peer.EncodeAuthor(author(1)), Tokens: 24_000,
			UntilUnixMilli: epoch.UnixMilli(),
		})
	}
	return d
}

func wireEvidence(n int) *peer.Digest {
	d := &peer.Digest{}
	counts := func() *peer.Counts {
		return &peer.Counts{Requests: 5000, Failures: 25, FirstTokens: 5000, SlowFirstTokens: 500, Gaps: 5000, SlowGaps: 500}
	}
	for i := range n {
		d.Evidence = append(d.Evidence, &peer.Evidence{
			Author: peer.EncodeAuthor(author(i)), Change: "model-3@412", Route: "/v1/chat/completions", Period: 3, Seen: 6000,
			Old: counts(), New: counts(),
		})
	}
	return d
}

func wireSuspects(n int) *peer.Digest {
	d := &peer.Digest{}
	for i := range n {
		crash := func(s int) *peer.Crash {
			return &peer.Crash{Server: fmt.Sprintf("engine-%04d", s), AtUnixNano: epoch.UnixNano(), StartedUnixNano: epoch.UnixNano()}
		}
		d.Suspects = append(d.Suspects, &peer.Suspect{
			Fingerprint: hexDigest(i)[:32], Crashes: []*peer.Crash{crash(i), crash(i + 1)}, ExpiresUnixMilli: epoch.UnixMilli(),
		})
	}
	return d
}

func wireBills(n int) proto.Message {
	r := &peer.HoldBillsRequest{Author: peer.EncodeAuthor(author(1))}
	for i := range n {
		l := billLine(i)
		r.Lines = append(r.Lines, &peer.BillLine{
			Identity: l.Identity, Team: l.Team, Model: l.Model, Version: l.Version, PromptTokens: l.PromptTokens,
			CompletionTokens: l.CompletionTokens, Spender: peer.EncodeAuthor(l.Spender), Reservation: l.Reservation,
			AtUnixMilli: l.At.UnixMilli(),
		})
	}
	return r
}

func wireFrontiers(n int) proto.Message {
	r := &peer.FrontierRequest{Holder: string(budget.NewHolderID(author(1), 1))}
	for _, f := range frontiers(n) {
		r.Frontiers = append(r.Frontiers, &peer.Frontier{Team: f.Team, Tokens: f.Tokens})
	}
	return r
}

// drawBytes returns the encoded length of n draws and their replies.
func drawBytes(n int) int {
	total := 0
	for i := range n {
		id := budget.DrawID{Spender: author(1), Number: uint64(1000 + i%1000)}
		request := &peer.DrawRequest{Identity: id.String(), Spender: peer.EncodeAuthor(author(1)), Team: teamName(i), Tokens: 4096}
		reply := &peer.DrawReply{Tokens: 4096, Holder: string(budget.NewHolderID(author(2), 1))}
		total += proto.Size(request) + proto.Size(reply)
	}
	return total
}

func jsonBytes(v any) int { return len(must(json.Marshal(v))) }

func newVMList(n int) platform.VMList {
	l := platform.VMList{Revision: 912}
	for i := range n {
		m := member(i)
		l.VMs = append(l.VMs, platform.VM{Name: m.Author.VM, Address: m.Addr, Domain: m.Domain, State: platform.StateLive})
	}
	return l
}

func newServerList(n int) platform.ServerList {
	l := platform.ServerList{Revision: 412}
	for i := range n {
		l.Servers = append(l.Servers, platform.Server{Name: fmt.Sprintf("engine-%d", i), State: platform.StateLive})
	}
	return l
}

func loadReports(n int) []engine.LoadReport {
	list := make([]engine.LoadReport, n)
	for i := range list {
		list[i] = engine.LoadReport{Time: epoch, Incarnation: 3, HeldTokens: 200_000, WaitingTokens: 10_000}
	}
	return list
}

func newEventPage(n int) engine.CacheEventPage {
	p := engine.CacheEventPage{Incarnation: 3, Next: uint64(1_000_000 + n)}
	for i := range n {
		p.Events = append(p.Events, engine.CacheEvent{
			Sequence: uint64(1_000_000 + i), Type: engine.CacheEventStored, Block: engine.BlockID(0x9e3779b97f4a7c15), Time: epoch,
		})
	}
	return p
}

// newTable returns a routing table with n engines, all of them in the own domain if local is set, else in the other
// domains.
func newTable(n int, local bool) *routing.Table {
	domains := make([]routing.DomainSlots, 15)
	for i := range domains {
		domains[i] = routing.DomainSlots{Name: fmt.Sprint("domain-", i), Slots: 57}
	}
	t := must(routing.NewTable(routing.Config{
		Self: routing.Incarnation{Author: author(0), Started: epoch}, Domain: "domain-0", Domains: domains, Seed: 1,
	}))
	var list []routing.Server
	for i := range n {
		domain := 0
		if !local {
			domain = 1 + i%14
		}
		list = append(list, routing.Server{
			Name: fmt.Sprintf("engine-%d", i), Domain: fmt.Sprint("domain-", domain), Target: fmt.Sprint("model-", i%6),
			Versions: []string{"v17"}, Capacity: 480_000,
		})
	}
	t.SetServers(list)
	return t
}
