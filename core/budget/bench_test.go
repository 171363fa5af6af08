package budget

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"ibiswinch/core/record"
)

// The benchmarks for capacity planning are run by
//
//	go test ./core/budget -run xxx -bench . -benchmem

func payload(b *testing.B, kind record.Kind, body any) record.Record {
	data, err := json.Marshal(body)
	if err != nil {
		b.Fatal(err)
	}
	at := epoch.Add(123456789 * time.Nanosecond)
	return record.Record{Version: 1, Kind: kind, Author: a1, Sequence: 123456, Time: at, Body: data}
}

func teamName(i int) string { return fmt.Sprintf("team-%05d", i) }

// teamsLedger has n teams with a top-up and one grant each, by holders in 15 domains.
func teamsLedger(b *testing.B, n int) *Ledger {
	l := NewLedger()
	for d := range 15 {
		a := record.Author{VM: fmt.Sprint("vm-", d), Incarnation: "0123456789abcdef"}
		set := WitnessSet{Holder: NewHolderID(a, 1), Number: 1, Witnesses: []record.Author{a2, a3}}
		if err := applyPayload(l, epoch, a, record.KindWitness, set); err != nil {
			b.Fatal(err)
		}
	}
	for i := range n {
		a := record.Author{VM: fmt.Sprint("vm-", i%15), Incarnation: "0123456789abcdef"}
		top := TopUp{Identity: "invoice-2026-01", Team: teamName(i), Tokens: 1 << 30}
		grant := GrantRequest{Holder: NewHolderID(a, 1), Team: teamName(i), Wanted: 1 << 20, Number: 1}
		if err := applyPayload(l, epoch, a, record.KindTopUp, top); err != nil {
			b.Fatal(err)
		}
		if err := applyPayload(l, epoch, a, record.KindGrant, grant); err != nil {
			b.Fatal(err)
		}
	}
	return l
}

func BenchmarkApply(b *testing.B) {
	const lines = 100
	id := NewHolderID(record.Author{VM: "vm-0", Incarnation: "0123456789abcdef"}, 1)
	b.Run("grant", func(b *testing.B) {
		benchmarkApply(b, func(n int) record.Record {
			r := payload(b, record.KindGrant, GrantRequest{Holder: id, Team: teamName(0), Wanted: 1, Number: uint64(n + 2)})
			r.Author, _ = id.Author()
			return r
		})
	})
	// One bill per minute of log time bounds the remembered identities, so that the result doesn't depend on b.N.
	b.Run("bill of 100 lines", func(b *testing.B) {
		benchmarkApply(b, func(n int) record.Record { return payload(b, record.KindBill, billOf(lines, n, minute(n))) })
	})
}

func benchmarkApply(b *testing.B, next func(n int) record.Record) {
	l := teamsLedger(b, 1000)
	b.ReportAllocs()
	for n := range b.N {
		b.StopTimer()
		r := next(n)
		b.StartTimer()
		if err := l.Apply(record.Position{LogTime: minute(n)}, r); err != nil {
			b.Fatal(err)
		}
	}
}

func minute(n int) time.Time { return epoch.Add(time.Duration(n) * time.Minute) }

func billOf(lines, n int, at time.Time) Bill {
	var bill Bill
	for i := range lines {
		bill.Lines = append(bill.Lines, BillLine{Identity: fmt.Sprintf("%032x", n*lines+i), Team: teamName(i % 1000), Model: "model-a",
			Version: "2026-01", PromptTokens: 1000, CompletionTokens: 300, Spender: a1, Reservation: uint64(n*lines + i), At: at})
	}
	return bill
}

func heapBytes() uint64 {
	// The second collection frees what sync.Pool kept during the first.
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func BenchmarkSnapshot(b *testing.B) {
	for _, n := range []int{10, 1000, 67000} {
		before := heapBytes()
		l := teamsLedger(b, n)
		heap := heapBytes() - before
		data, err := l.Encode()
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprintf("encode/teams=%d", n), func(b *testing.B) {
			for b.Loop() {
				if _, err := l.Encode(); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data))/float64(n), "snapshotB/team")
			b.ReportMetric(float64(heap)/float64(n), "heapB/team")
		})
		b.Run(fmt.Sprintf("decode/teams=%d", n), func(b *testing.B) {
			for b.Loop() {
				if err := NewLedger().Decode(data); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkLineHeap reports the memory and the snapshot bytes of one billed identity, for an hour of lines of 20
// spenders. It runs with several counts, since the spare capacity of slices and indexes depends on the count.
func BenchmarkLineHeap(b *testing.B) {
	for _, perMinute := range []int{500, 2500, 4000, 6000, 12000} {
		b.Run(fmt.Sprintf("perMinute=%d", perMinute), func(b *testing.B) {
			for b.Loop() {
				l := teamsLedger(b, 1000)
				empty, err := l.Encode()
				if err != nil {
					b.Fatal(err)
				}
				before := heapBytes()
				for n := range 60 {
					addMinute(b, l, n, perMinute)
				}
				heap := heapBytes() - before
				data, err := l.Encode()
				if err != nil {
					b.Fatal(err)
				}
				lines := float64(60 * perMinute)
				b.ReportMetric(float64(heap)/lines, "heapB/line")
				b.ReportMetric(float64(len(data)-len(empty))/lines, "snapshotB/line")
				runtime.KeepAlive(l)
			}
		})
	}
}

func addMinute(b *testing.B, l *Ledger, n, perMinute int) {
	bill := billOf(perMinute, n, minute(n))
	for i := range bill.Lines {
		bill.Lines[i].Spender.VM = fmt.Sprint("vm-", i%20)
	}
	for from := 0; from < perMinute; from += MaxLines {
		part := Bill{Lines: bill.Lines[from:min(from+MaxLines, perMinute)]}
		if err := l.Apply(record.Position{LogTime: minute(n)}, payload(b, record.KindBill, part)); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkTick measures a tick after 100 ms with one draw or request. 10 teams are active, n teams hold tokens.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{10, 1000, 10000} {
		l := NewLedger()
		h := NewHolder(HolderConfig{Author: a1, Ledger: l, IdleAfter: 24 * time.Hour})
		s := NewSpender(SpenderConfig{Author: a2, Ledger: l, IdleAfter: 24 * time.Hour})
		now := epoch
		for i := range n {
			if err := applyPayload(l, now, a1, record.KindTopUp, TopUp{Identity: "x", Team: teamName(i), Tokens: 1 << 40}); err != nil {
				b.Fatal(err)
			}
			s.Reserve(now, teamName(i), 100)
		}
		step := func(i int) {
			now = now.Add(100 * time.Millisecond)
			r := s.Reserve(now, teamName(i%10), 10)
			_ = s.Settle(now, r.Reservation, 10)
			s.Confirm(r.Reservation)
		}
		tickHolder := func() {
			for _, e := range h.Tick(now).Records() {
				_ = applyPayload(l, now, a1, e.Kind, e.Body)
			}
		}
		tickSpender := func() {
			for _, d := range s.Tick(now).Draws {
				s.ApplyDrawReply(now, h.Draw(now, d))
			}
		}
		for i := range 3000 {
			step(i)
			tickHolder()
			tickSpender()
		}
		for name, ticks := range map[string][2]func(){"holder": {tickSpender, tickHolder}, "spender": {tickHolder, tickSpender}} {
			b.Run(fmt.Sprintf("%s/teams=%d", name, n), func(b *testing.B) {
				for i := range b.N {
					b.StopTimer()
					step(i)
					ticks[0]()
					b.StartTimer()
					ticks[1]()
				}
			})
		}
	}
}

// BenchmarkRecordBytes reports the encoded size of one record of each kind with its envelope.
func BenchmarkRecordBytes(b *testing.B) {
	lineTime := epoch.Add(123 * time.Millisecond)
	id := NewHolderID(record.Author{VM: "vm-000", Incarnation: "0123456789abcdef"}, 1)
	for _, e := range []Payload{
		{record.KindTopUp, TopUp{Identity: "invoice-2026-01", Team: teamName(1), Tokens: 1 << 40}},
		{record.KindGrant, GrantRequest{Holder: id, Team: teamName(1), Wanted: 1 << 30, Held: 1 << 28, Number: 1000}},
		{record.KindReturn, Return{Holder: id, Team: teamName(1), Unissued: 1 << 30, Restored: 1 << 20}},
		{record.KindWitness, WitnessSet{Holder: id, Number: 2, Witnesses: []record.Author{a2, a3}, Frontiers: []Frontier{{teamName(1), 1 << 30}}}},
		{record.KindSeal, Seal{Holder: id, Frontiers: []Frontier{{teamName(1), 1 << 30}}}},
		{record.KindBill, billOf(1, 1, lineTime)},
		{record.KindBill, billOf(100, 1, lineTime)},
	} {
		name := string(e.Kind)
		if bill, ok := e.Body.(Bill); ok {
			name = fmt.Sprintf("%s/lines=%d", name, len(bill.Lines))
		}
		b.Run(name, func(b *testing.B) {
			var data []byte
			for b.Loop() {
				var err error
				if data, err = record.EncodeBatch([]record.Record{payload(b, e.Kind, e.Body)}); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(data)), "B/record")
		})
	}
}
