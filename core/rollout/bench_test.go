package rollout_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"ibiswinch/core/record"
	"ibiswinch/core/rollout"
)

// newLoadedNode returns a node with as many open changes as changes says. For each of them it has evidence of vms entry
// VMs, on as many routes as routes says.
func newLoadedNode(tb interface{ Fatal(...any) }, vms, changes, routes int) (*node, []rollout.Evidence) {
	n := newNode(0, 0, 0)
	var opens []rollout.Append
	for i := range changes {
		rule := ruleFor(fmt.Sprint("m", i), epoch.Add(time.Hour))
		opens = append(opens, rollout.Append{Kind: record.KindOpenChange, Body: rollout.Open{Rule: rule, ConfigVersion: 1}})
	}
	n.pull(epoch, [][]byte{entry(0, epoch, opens...)}, 1)
	counts := rollout.Counts{Requests: 5000, Failures: 25, FirstTokens: 5000, SlowFirstTokens: 500, Gaps: 5000, SlowGaps: 500}
	var evidence []rollout.Evidence
	for vm := range vms {
		for i := range changes {
			for r := range routes {
				evidence = append(evidence, rollout.Evidence{
					Author: record.Author{VM: fmt.Sprint("vm", vm), Incarnation: "0123456789abcdef"},
					Change: fmt.Sprintf("m%d@1", i), Route: fmt.Sprint("/v1/route", r),
					Period: 2, Seen: 5000, Old: counts, New: counts,
				})
			}
		}
	}
	if err := n.Merge(epoch, evidence); err != nil {
		tb.Fatal(err)
	}
	return n, evidence
}

func BenchmarkChoose(b *testing.B) {
	n, _ := newLoadedNode(b, 8, 4, 1)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		n.Choose("m2", uint64(i))
	}
}

func sampleOf(i int) rollout.Sample {
	metric := rollout.Metric(i % 3)
	return rollout.Sample{
		Change: "m2@1", Route: "/v1/route0", New: i%200 == 0, Metric: metric, Latency: time.Duration(50+i%100) * time.Millisecond,
	}
}

func BenchmarkRecord(b *testing.B) {
	n, _ := newLoadedNode(b, 8, 4, 1)
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		n.Record(epoch.Add(time.Minute), sampleOf(i))
	}
}

// BenchmarkTick tests all changes in each tick. In service, large changes are tested only every 500 ms.
func BenchmarkTick(b *testing.B) {
	shapes := [][2]int{{1, 1}, {4, 1}, {12, 1}, {1, 4}, {1, 12}}
	for _, vms := range []int{8, 100, 850} {
		for _, shape := range shapes {
			b.Run(fmt.Sprintf("vms=%d/changes=%d/routes=%d", vms, shape[0], shape[1]), func(b *testing.B) {
				n, evidence := newLoadedNode(b, vms, shape[0], shape[1])
				last := evidence[len(evidence)-shape[0]*shape[1]:]
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					now := epoch.Add(time.Duration(i%600) * 500 * time.Millisecond)
					_ = n.Merge(now, last)
					n.handle(n.Tick(now))
				}
			})
		}
	}
}

func staleAdvance(change string) record.Record {
	body := fmt.Sprintf(`{"change":%q,"from":1}`, change)
	return record.Record{Kind: record.KindAdvance, Time: epoch, Body: json.RawMessage(body)}
}

func BenchmarkApply(b *testing.B) {
	n, _ := newLoadedNode(b, 1, 12, 1)
	r := staleAdvance("m11@1")
	b.ReportAllocs()
	for b.Loop() {
		_ = n.Changes().Apply(record.Position{}, r)
	}
}

// TestAllocations guards against allocations on the request path and in the periodic test, which must stay within 1% of
// a core, and against evidence too large for the 26 KB/s of an entry VM.
func TestAllocations(t *testing.T) {
	n, evidence := newLoadedNode(t, 850, 1, 12)
	n.handle(n.Tick(epoch))
	i, now := 0, epoch
	for name, f := range map[string]func(){
		"Choose": func() { i++; n.Choose("m0", uint64(i)) },
		"Record": func() {
			i++
			s := sampleOf(i)
			s.Change = "m0@1"
			n.Record(now, s)
		},
		"Merge and Tick": func() {
			now = now.Add(time.Second)
			_ = n.Merge(now, evidence[:12])
			n.handle(n.Tick(now))
		},
	} {
		f()
		if got := testing.AllocsPerRun(100, f); got > 0 {
			t.Errorf("%s allocates %v times", name, got)
		}
	}
	r := staleAdvance("m0@1")
	const maxApplyAllocs = 16
	if got := testing.AllocsPerRun(100, func() { _ = n.Changes().Apply(record.Position{}, r) }); got > maxApplyAllocs {
		t.Errorf("Apply allocates %v times", got)
	}
	data, err := json.Marshal(evidence[0])
	if err != nil {
		t.Fatal(err)
	}
	const maxEvidenceBytes = 400
	if t.Logf("%d bytes of JSON per VM, change and route", len(data)); len(data) > maxEvidenceBytes {
		t.Errorf("evidence takes %d bytes", len(data))
	}
}
