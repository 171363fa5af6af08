package capacity_test

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"ibiswinch/core/budget"
	"ibiswinch/core/record"
)

var decadeSizes = []int{10, 100, 1000, 10_000}

// recordSizes are sizes of lists that must fit into one record or message.
var recordSizes = []int{1, 10, 100, 500}

// byteCounts are encoded lengths that depend only on the code and the number of items, so that
// TestCountsMatchBenchFile can compare them with the stored benchmark output.
var byteCounts = []struct {
	kind  string
	sizes []int
	bytes func(n int) int
}{
	{"billRecord", recordSizes, func(n int) int { return totalBytes(encodeBatches(record.KindBill, billBodies(n, n)...)) }},
	{"topUpRecords", decadeSizes, func(n int) int { return totalBytes(encodeBatches(record.KindTopUp, topUpBodies(n)...)) }},
	{"grantRecords", recordSizes, func(n int) int { return totalBytes(encodeBatches(record.KindGrant, grantBodies(n)...)) }},
	{"witnessRecord", []int{1, 10, 100, 2000}, func(n int) int {
		return totalBytes(encodeBatches(record.KindWitness, budget.WitnessSet{
			Holder: budget.NewHolderID(author(1), 1), Number: 2, Witnesses: []record.Author{author(2), author(3)},
			Frontiers: frontiers(n),
		}))
	}},
	{"sealRecord", []int{1, 10, 100, 2000}, func(n int) int {
		return totalBytes(encodeBatches(record.KindSeal, budget.Seal{Holder: budget.NewHolderID(author(1), 1), Frontiers: frontiers(n)}))
	}},
	{"orderRecords", []int{10, 100, 1000}, func(n int) int { _, all := orderRegistry(n); return totalBytes(all) }},
	{"publishServers", []int{10, 100, 1000, 7100}, func(n int) int { return totalBytes(publishBatches(n, 10)) }},
	{"publishTeams", []int{10, 100, 1000, 5000}, func(n int) int { return totalBytes(publishBatches(10, n)) }},
	{"textServers", []int{10, 100, 1000, 7100}, func(n int) int { inv, rul := configTexts(n, 10); return len(inv) + len(rul) }},
	{"textTeams", decadeSizes, func(n int) int { inv, rul := configTexts(10, n); return len(inv) + len(rul) }},
	{"digestMembers", []int{1, 5, 50, 850}, func(n int) int { return proto.Size(wireMembers(n)) }},
	{"digestRows", []int{1, 8, 24, 100}, func(n int) int { return proto.Size(wireRows(n)) }},
	{"digestOffers", []int{1, 8, 100}, func(n int) int { return proto.Size(wireOffers(n)) }},
	{"digestEvidence", []int{1, 12, 100}, func(n int) int { return proto.Size(wireEvidence(n)) }},
	{"digestSuspects", []int{1, 8, 100}, func(n int) int { return proto.Size(wireSuspects(n)) }},
	{"holdBills", recordSizes, func(n int) int { return proto.Size(wireBills(n)) }},
	{"frontierRequest", recordSizes, func(n int) int { return proto.Size(wireFrontiers(n)) }},
	{"draws", recordSizes, drawBytes},
	{"vmList", []int{10, 100, 850}, func(n int) int { return jsonBytes(newVMList(n)) }},
	{"serverList", []int{10, 100, 1000, 7100}, func(n int) int { return jsonBytes(newServerList(n)) }},
	{"loadReports", []int{1, 10, 100}, func(n int) int { return jsonBytes(loadReports(n)) }},
	{"cacheEvents", []int{1, 10, 100}, func(n int) int { return jsonBytes(newEventPage(n)) }},
	{"snapshotBudgets", decadeSizes, func(n int) int { l, _, _ := ledgerWithHolder(n); return len(must(l.Encode())) }},
	{"snapshotGrants", decadeSizes, func(n int) int {
		l, s, o := ledgerWithHolder(n)
		before := len(must(l.Encode()))
		applyRecords(s, o, record.KindGrant, grantBodies(n)...)
		return len(must(l.Encode())) - before
	}},
	{"snapshotLines", decadeSizes, func(n int) int {
		l, s, o := ledgerWithHolder(billedTeams)
		before := len(must(l.Encode()))
		applyRecords(s, o, record.KindBill, billBodies(n, 500)...)
		return len(must(l.Encode())) - before
	}},
	{"snapshotOrders", []int{10, 100, 1000}, func(n int) int { r, _ := orderRegistry(n); return len(must(r.Encode())) }},
}

// BenchmarkCount reports encoded bytes per kind and number of items.
func BenchmarkCount(b *testing.B) {
	for _, c := range byteCounts {
		for _, n := range c.sizes {
			b.Run(fmt.Sprintf("kind=%s/items=%d", c.kind, n), func(b *testing.B) {
				b.ReportMetric(0, "ns/op")
				b.ReportMetric(float64(c.bytes(n)), "bytes")
			})
		}
	}
}
