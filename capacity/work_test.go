package capacity_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"ibiswinch/core/budget"
	"ibiswinch/core/config"
	"ibiswinch/core/membership"
	"ibiswinch/core/order"
	"ibiswinch/core/record"
	"ibiswinch/core/rollout"
	"ibiswinch/core/routing"
	"ibiswinch/io/engine"
	"ibiswinch/io/peer"
	"ibiswinch/io/platform"
)

// operations are the benchmarked operations. run returns the operation and, if it needs one, a function that releases
// its resources.
var operations = []struct {
	kind  string
	sizes []int
	run   func(n int) (op func(i int), release func())
}{
	{"foldBillLines", recordSizes, func(n int) (func(int), func()) {
		pool := billPool(n)
		var stream *record.Stream
		return func(i int) {
			if i%len(pool) == 0 {
				_, stream, _ = ledgerWithHolder(pooledTeams)
			}
			stream.Apply(stream.Next(), pool[i%len(pool)])
		}, nil
	}},
	{"foldGrants", []int{1, 10, 100, 500}, func(n int) (func(int), func()) {
		_, s, o := ledgerWithHolder(500)
		return func(i int) {
			var bodies []any
			for j := range n {
				bodies = append(bodies, budget.GrantRequest{
					Holder: budget.NewHolderID(author(1), 1), Team: teamName(j), Wanted: 1, Number: uint64(i + 1),
				})
			}
			applyRecords(s, o, record.KindGrant, bodies...)
		}, nil
	}},
	{"foldOrders", []int{1, 10, 100}, func(n int) (func(int), func()) {
		_, all := orderRegistry(n)
		return func(int) {
			s := record.NewStream(order.NewRegistry())
			for _, batch := range all {
				s.Apply(s.Next(), batch)
			}
		}, nil
	}},
	{"foldPublishServers", []int{10, 100, 1000, 7100}, func(n int) (func(int), func()) {
		batch := publishBatches(n, 10)[0]
		return func(int) { record.NewStream(config.NewHistory()).Apply(0, batch) }, nil
	}},
	{"foldPublishTeams", []int{10, 100, 1000, 5000}, func(n int) (func(int), func()) {
		batch := publishBatches(10, n)[0]
		return func(int) { record.NewStream(config.NewHistory()).Apply(0, batch) }, nil
	}},
	{"tableSetServers", []int{10, 100, 1000, 7100}, func(n int) (func(int), func()) {
		t := newTable(n, true)
		list := make([]routing.Server, n)
		for i := range list {
			list[i] = routing.Server{
				Name: fmt.Sprintf("engine-%d", i), Domain: fmt.Sprint("domain-", i%15), Target: "model-1",
				Versions: []string{"v17"}, Capacity: 480_000,
			}
		}
		return func(int) { t.SetServers(list) }, nil
	}},
	{"tableTick", decadeSizes, func(n int) (func(int), func()) {
		t := newTable(n, true)
		return func(i int) { t.Tick(epoch.Add(time.Duration(i) * 100 * time.Millisecond)) }, nil
	}},
	{"tableChoose", decadeSizes, func(n int) (func(int), func()) {
		t := newTable(n, true)
		return func(i int) {
			p, err := t.Choose(epoch, routing.Request{
				Target: fmt.Sprint("model-", i%6), Version: "v17", PromptTokens: 180, Tokens: 440,
			})
			if err == nil {
				t.Release(epoch, p.ID, routing.Outcome{})
			}
		}, nil
	}},
	{"holderTick", []int{10, 100, 1000}, func(n int) (func(int), func()) {
		h := newHolder(n, 1)
		return func(i int) {
			now := epoch.Add(time.Duration(i+3) * time.Second)
			for j := range n {
				h.holder.Draw(now, budget.Draw{ID: budget.DrawID{Spender: author(10), Number: uint64(i + 3)}, Team: teamName(j), Tokens: 1})
			}
			a := h.holder.Tick(now)
			for _, ask := range a.FrontierRequests {
				h.holder.ApplyFrontierReply(ask, budget.FrontierReply{Acknowledged: true})
			}
		}, nil
	}},
	{"spenderReserve", decadeSizes, func(n int) (func(int), func()) {
		s := newSpender(n)
		return func(i int) {
			now := epoch.Add(time.Duration(i) * time.Millisecond)
			if r := s.Reserve(now, teamName(i%n), 440); r.Outcome == budget.Reserved {
				_ = s.Settle(now, r.Reservation, 219)
				s.Confirm(r.Reservation)
			}
		}, nil
	}},
	{"viewRank", decadeSizes, func(n int) (func(int), func()) {
		v := newView(n)
		return func(i int) { v.Rank(epoch, "domain-0", teamName(i), 1) }, nil
	}},
	{"viewPartners", decadeSizes, func(n int) (func(int), func()) {
		v := newView(n)
		return func(int) { v.Partners(epoch) }, nil
	}},
	{"viewHints", decadeSizes, func(n int) (func(int), func()) {
		v := newView(n)
		var listed []membership.ListedVM
		for i := range n {
			m := member(i)
			listed = append(listed, membership.ListedVM{VM: m.Author.VM, Domain: m.Domain, Addr: m.Addr})
		}
		return func(int) { v.SetListedVMs(listed); v.Dump(epoch) }, nil
	}},
	{"readServerList", []int{10, 100, 1000, 7100}, func(n int) (func(int), func()) {
		data := must(json.Marshal(newServerList(n)))
		return func(int) {
			var l platform.ServerList
			if json.Unmarshal(data, &l) != nil || l.Validate() != nil {
				panic("invalid list")
			}
		}, nil
	}},
	{"readVMList", []int{10, 100, 850}, func(n int) (func(int), func()) {
		data := must(json.Marshal(newVMList(n)))
		return func(int) {
			var l platform.VMList
			if json.Unmarshal(data, &l) != nil || l.Validate() != nil {
				panic("invalid list")
			}
		}, nil
	}},
	{"changeTick", []int{10, 100, 850}, func(n int) (func(int), func()) {
		c, changes := newController(n)
		id := changes.All()[0].ID
		return func(i int) {
			// The controller tests a change only after new evidence, here of one author.
			now := epoch.Add(time.Duration(i) * 500 * time.Millisecond)
			if err := c.Merge(now, []rollout.Evidence{newEvidence(id, i%n, uint32(6000+i/n))}); err != nil {
				panic(err)
			}
			c.Tick(now)
		}, nil
	}},
	{"peerCall", []int{1, 5, 50, 850}, peerCall},
	{"loadPolls", []int{1, 10, 100}, loadPolls},
}

// pooledTeams and pooledLines keep the set-up of a ledger short compared with applying the lines.
const (
	pooledTeams = 10
	pooledLines = 4096
)

// billPool returns batches with records of n lines each, all lines distinct.
func billPool(n int) [][]byte {
	outbox := record.NewOutbox(author(2))
	var pool [][]byte
	for from := 0; from+n <= pooledLines; from += n {
		var bill budget.Bill
		for i := from; i < from+n; i++ {
			l := billLine(i)
			l.Team = teamName(i % pooledTeams)
			bill.Lines = append(bill.Lines, l)
		}
		must(outbox.Add(epoch, record.KindBill, bill))
		pool = append(pool, takeBatches(outbox)...)
	}
	return pool
}

type echoPeer struct{ peer.Peer }

func (echoPeer) Exchange(_ context.Context, d *peer.Digest) (*peer.Digest, error) { return d, nil }

// peerCall exchanges a digest of n members over loopback. Client and server count together.
func peerCall(n int) (func(int), func()) {
	server := httptest.NewServer(peer.NewHandler(echoPeer{}, "token"))
	addr := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	factory := peer.NewClientFactory(peer.ClientFactoryConfig{Token: "token"})
	client := factory.Client(addr)
	digest := wireMembers(n)
	return func(int) {
			if _, err := client.Exchange(context.Background(), digest); err != nil {
				panic(err)
			}
		}, func() {
			factory.Close()
			server.Close()
		}
}

// loadReportHandler serves the same load report to each request.
func loadReportHandler() http.Handler {
	report := must(json.Marshal(loadReports(1)[0]))
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(report) })
}

// loadPolls reads the load report of an engine n times over loopback. Client and server count together.
func loadPolls(n int) (func(int), func()) {
	server := httptest.NewServer(loadReportHandler())
	addr := netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
	client := engine.NewClient(engine.Config{Address: addr, MaxIdleConns: 4})
	return func(int) {
			for range n {
				if _, err := client.LoadReport(context.Background()); err != nil {
					panic(err)
				}
			}
		}, func() {
			client.Close()
			server.Close()
		}
}

// BenchmarkWork reports the processor time and the allocations of one operation. The processor time counts all
// threads of the process, including the garbage collector, and no other process.
func BenchmarkWork(b *testing.B) {
	for _, w := range operations {
		for _, n := range w.sizes {
			b.Run(fmt.Sprintf("kind=%s/items=%d", w.kind, n), func(b *testing.B) {
				op, release := w.run(n)
				if release != nil {
					defer release()
				}
				b.ReportAllocs()
				runtime.GC()
				b.ResetTimer()
				before := processorTime()
				for i := range b.N {
					op(i)
				}
				cpuTime := processorTime() - before
				b.ReportMetric(float64(cpuTime.Nanoseconds())/float64(b.N), "cpu-ns/op")
			})
		}
	}
}

func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		panic(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
