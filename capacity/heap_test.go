package capacity_test

import (
	"context"
	"fmt"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"strings"
	"testing"
	"time"

	"ibiswinch/core/budget"
	"ibiswinch/core/config"
	"ibiswinch/core/record"
	"ibiswinch/core/retry"
	"ibiswinch/core/rollout"
	"ibiswinch/io/engine"
)

// heapStates are data structures that a process keeps in memory. build returns what must stay reachable.
var heapStates = []struct {
	kind  string
	sizes []int
	build func(n int) any
}{
	{"ledgerBudgets", decadeSizes, func(n int) any { l, _, _ := ledgerWithHolder(n); return l }},
	{"ledgerBudgetsGranted", decadeSizes, func(n int) any {
		l, s, o := ledgerWithHolder(n)
		applyRecords(s, o, record.KindGrant, grantBodies(n)...)
		return l
	}},
	{"ledgerLines", []int{100, 1000, 10_000, 100_000}, func(n int) any {
		l, s, o := ledgerWithHolder(billedTeams)
		applyRecords(s, o, record.KindBill, billBodies(n, 500)...)
		return l
	}},
	{"orders", []int{100, 1000, 10_000}, func(n int) any { r, _ := orderRegistry(n); return r }},
	{"holderBudgets", decadeSizes, func(n int) any { h := newHolder(n, 1); h.ledger = nil; return h }},
	{"holderSpenders", []int{10, 100, 250}, func(n int) any { h := newHolder(1000, n); h.ledger = nil; return h }},
	{"spenderBudgets", decadeSizes, func(n int) any { return newSpender(n) }},
	{"members", decadeSizes, func(n int) any { return newView(n) }},
	{"localServers", decadeSizes, func(n int) any { return newTable(n, true) }},
	{"remoteServers", decadeSizes, func(n int) any { return newTable(n, false) }},
	{"configServers", []int{10, 100, 1000, 7100}, func(n int) any { return newHistory(n, 10) }},
	{"configTeams", []int{10, 100, 1000, 5000}, func(n int) any { return newHistory(10, n) }},
	{"suspects", decadeSizes, func(n int) any { return newQuarantine(n) }},
	{"engineClients", []int{10, 100, 1000, 7000}, func(n int) any { return newEngineClients(netip.MustParseAddrPort("127.0.0.1:1"), n) }},
	{"evidence", []int{10, 100, 850}, func(n int) any { c, _ := newController(n); return c }},
}

func newEngineClients(addr netip.AddrPort, n int) []*engine.Client {
	list := make([]*engine.Client, n)
	for i := range list {
		list[i] = engine.NewClient(engine.Config{Address: addr, MaxIdleConns: 64, ReceiveBuffer: 32 << 10})
	}
	return list
}

// BenchmarkConnections reports heap and stacks of idle connections to engines, after one load report on each. Client
// and server count together.
func BenchmarkConnections(b *testing.B) {
	for _, n := range []int{10, 50, 200} {
		b.Run(fmt.Sprintf("kind=connections/items=%d", n), func(b *testing.B) {
			server := httptest.NewServer(loadReportHandler())
			defer server.Close()
			list := newEngineClients(netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://")), n)
			_, heap, stacks := measureHeap(func() any {
				for _, c := range list {
					must(c.LoadReport(context.Background()))
				}
				return nil
			})
			for _, c := range list {
				c.Close()
			}
			b.ReportMetric(0, "ns/op")
			b.ReportMetric(float64(heap+stacks), "heapbytes")
		})
	}
}

// BenchmarkHeap reports the live heap of each of heapStates.
func BenchmarkHeap(b *testing.B) {
	for _, h := range heapStates {
		for _, n := range h.sizes {
			b.Run(fmt.Sprintf("kind=%s/items=%d", h.kind, n), func(b *testing.B) {
				state, bytes, _ := measureHeap(func() any { return h.build(n) })
				b.ReportMetric(0, "ns/op")
				b.ReportMetric(float64(bytes), "heapbytes")
				runtime.KeepAlive(state)
			})
		}
	}
}

// measureHeap calls build and returns its result and the growth of the live heap and of the stacks in bytes.
func measureHeap(build func() any) (state any, heap, stacks int64) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	state = build()
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return state, int64(after.HeapAlloc) - int64(before.HeapAlloc), int64(after.StackInuse) - int64(before.StackInuse)
}

type holderFixture struct {
	holder *budget.Holder
	ledger *budget.Ledger
	stream *record.Stream
}

// newHolder returns a holder with open grants of n budgets, from each of which a number of spenders draw.
func newHolder(n, spenders int) *holderFixture {
	l, s, o := ledgerWithTopUps(n)
	h := budget.NewHolder(budget.HolderConfig{Author: author(1), Ledger: l})
	h.SetCandidates([]record.Author{author(2), author(3)})
	h.SetLogReadTime(epoch)
	step := func(now time.Time) {
		a := h.Tick(now)
		for _, e := range a.Records() {
			applyRecords(s, o, e.Kind, e.Body)
		}
		for _, ask := range a.FrontierRequests {
			h.ApplyFrontierReply(ask, budget.FrontierReply{Acknowledged: true})
		}
	}
	step(epoch)
	for number := uint64(1); number <= 2; number++ {
		for i := range n {
			for v := range spenders {
				h.Draw(epoch, budget.Draw{ID: budget.DrawID{Spender: author(10 + v), Number: number}, Team: teamName(i), Tokens: 256})
			}
		}
		step(epoch.Add(time.Second))
		step(epoch.Add(2 * time.Second))
	}
	return &holderFixture{holder: h, ledger: l, stream: s}
}

// newSpender returns a spender with a slice of each of n budgets.
func newSpender(n int) *budget.Spender {
	l := budget.NewLedger()
	s := budget.NewSpender(budget.SpenderConfig{Author: author(1), Ledger: l})
	stream, outbox := record.NewStream(l), record.NewOutbox(author(1))
	applyRecords(stream, outbox, record.KindTopUp, topUpBodies(n)...)
	for i := range n {
		r := s.Reserve(epoch, teamName(i), 256)
		s.ApplyDrawReply(epoch, budget.DrawReply{ID: r.Draw.ID, Team: teamName(i), Holder: budget.NewHolderID(author(2), 1), Tokens: 1 << 40})
	}
	return s
}

func newHistory(servers, teams int) *config.History {
	h := config.NewHistory()
	record.NewStream(h).Apply(0, publishBatches(servers, teams)[0])
	if version, _ := h.Current(); version != 1 {
		panic("publication was not accepted")
	}
	return h
}

func newQuarantine(n int) *retry.Quarantine {
	q := retry.NewQuarantine(retry.QuarantineConfig{})
	for i := range n {
		q.Merge(epoch, []retry.Entry{{
			Fingerprint: hexDigest(i)[:32], ExpiresAt: epoch.Add(10 * time.Minute),
			Crashes: []retry.Crash{{Server: fmt.Sprint("engine-", i), At: epoch, Started: epoch}},
		}})
	}
	return q
}

// newController returns a controller with one open change and the evidence of n entry VMs on two routes.
func newController(n int) (*rollout.Controller, *rollout.Changes) {
	changes := rollout.NewChanges()
	s := record.NewStream(changes)
	o := record.NewOutbox(author(1))
	applyRecords(s, o, record.KindOpenChange, rollout.Open{ConfigVersion: 1, Rule: rollout.Rule{
		Model: "model-3", Old: "v17", New: "v18", Deadline: epoch.Add(1000 * time.Hour), Stages: rollout.DefaultStages(),
	}})
	c := rollout.NewController(rollout.Config{Author: author(1)})
	c.Observe(epoch, changes)
	id := changes.All()[0].ID
	for i := range n {
		for _, route := range []string{"/v1/chat/completions", "/v1/completions"} {
			e := newEvidence(id, i, 5000)
			e.Route = route
			if err := c.Merge(epoch, []rollout.Evidence{e}); err != nil {
				panic(err)
			}
		}
	}
	return c, changes
}

func newEvidence(change string, vm int, requests uint32) rollout.Evidence {
	side := rollout.Counts{Requests: requests, Failures: 25, FirstTokens: requests, SlowFirstTokens: 500, Gaps: requests, SlowGaps: 500}
	return rollout.Evidence{
		Author: author(10 + vm), Change: change, Route: "/v1/chat/completions", Period: 1, Seen: requests, Old: side, New: side,
	}
}
