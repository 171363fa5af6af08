package gateway

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"ibiswinch/core/call"
	"ibiswinch/core/keyed"
)

// putRaw appends a record whose value is no JSON of an entry VM.
func (l *memoryLog) putRaw(p keyed.Partition, key, value string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.partitions[p] = append(l.partitions[p], keyed.Record{Key: key, Value: []byte(value), Offset: uint64(len(l.partitions[p]))})
}

// TestOddReservationLocksTeam guards against one odd record of the ledger after which all calls of a team are refused, or the
// budget is overspent.
func TestOddReservationLocksTeam(t *testing.T) {
	const large = 90_000
	for _, value := range []string{
		`{"reserved":9223372036854775807,"used":9223372036854775807,"want":9223372036854775807,"at":1}`,
		`{"reserved":-4611686018427387904,"used":-4611686018427387904,"at":1}`,
	} {
		f := newFixture(t)
		ledger := f.gateway.budgets.partitionOf("team").follow.partition
		f.log.putRaw(ledger, "team/odd", value)
		f.backend.results = []sendResult{{answer: &fakeAnswer{status: 200, body: "answer"}}, {answer: &fakeAnswer{status: 200, body: "answer"}}}
		r := f.serve(&call.Call{Path: "/order/1", InputTokens: large})
		f.c.Check(r.status, qt.Equals, 200, qt.Commentf("%s: %v", value, r.refused))
		r = f.serve(&call.Call{Path: "/order/1", InputTokens: large})
		f.c.Check(r.refused, qt.IsNotNil, qt.Commentf("%s", value))
	}
}
