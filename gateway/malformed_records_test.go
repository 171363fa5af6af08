package gateway

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ibiswinch/core/call"
	"ibiswinch/core/crash"
	"ibiswinch/core/keyed"
	"ibiswinch/io/apexlog"
)

// putRaw appends a record whose value is no JSON of an entry VM.
func (l *memoryLog) putRaw(p keyed.Partition, key, value string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.partitions[p] = append(l.partitions[p], keyed.Record{Key: key, Value: []byte(value), Offset: uint64(len(l.partitions[p]))})
}

// TestMalformedReservationLocksTeam guards against one malformed record of the ledger after which all calls of a team are refused, or the
// budget is overspent.
func TestMalformedReservationLocksTeam(t *testing.T) {
	const large = 90_000
	for _, value := range []string{
		`{"reserved":9223372036854775807,"used":9223372036854775807,"want":9223372036854775807,"at":1}`,
		`{"reserved":-4611686018427387904,"used":-4611686018427387904,"at":1}`,
	} {
		f := newFixture(t)
		ledger := f.gateway.budgets.partitionOf("team").follow.partition
		f.log.putRaw(ledger, "team/malformed", value)
		f.backend.results = []sendResult{{answer: &fakeAnswer{status: 200, body: "answer"}}, {answer: &fakeAnswer{status: 200, body: "answer"}}}
		r := f.serve(&call.Call{Path: "/order/1", InputTokens: large})
		f.c.Check(r.status, qt.Equals, 200, qt.Commentf("%s: %v", value, r.refused))
		r = f.serve(&call.Call{Path: "/order/1", InputTokens: large})
		f.c.Check(r.refused, qt.IsNotNil, qt.Commentf("%s", value))
	}
}

// TestMalformedReportHidesOthers guards against a quarantine that other entry VMs don't learn of, as one report beside those of its
// crashes is invalid.
func TestMalformedReportHidesOthers(t *testing.T) {
	c := qt.New(t)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	cfg := Config{Name: "vm-1", Now: func() time.Time { return now }, Events: apexlog.Discard()}
	s := newSuspectController(cfg, newFleetController(cfg))
	call := promptCall(1, sessionPart)
	var in crash.Record
	for i, server := range []string{"s-1", strings.Repeat("s", 255), "s-2", "s-3"} {
		at := now.Add(time.Duration(i) * time.Second)
		in.Reports = append(in.Reports, crash.Report{
			Incident: crash.Incident{Subject: crash.RequestSubject(call), Server: server}, SentAt: at, CrashedAt: at.Add(time.Second / 2),
		})
	}
	value, err := json.Marshal(in)
	c.Assert(err, qt.IsNil)
	s.set(keyed.Record{Key: "vm-2", Value: value})
	_, refused := s.check(call)
	c.Assert(refused, qt.IsTrue)
}

// TestMalformedHeartbeatCounts guards against heartbeats that no entry VM sends: they would move the fleet's clock, take a part of
// the retry limit, and make the shares of a server's limit no numbers.
func TestMalformedHeartbeatCounts(t *testing.T) {
	c := qt.New(t)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	f := New(Config{Name: "vm-1", Now: func() time.Time { return now }, Events: apexlog.Discard()}).fleet
	sound := fmt.Sprintf(`{"incarnation":"1","address":"10.0.0.2:7200","zone":"z","time":%d,"calls":{"s":5}}`, now.UnixMilli())
	f.apply(keyed.Record{Key: "vm-2", Value: []byte(sound)})
	for _, r := range []keyed.Record{
		{Key: "", Value: []byte(sound)}, {Key: "malformed"}, {Key: strings.Repeat("k", 255), Value: []byte(sound)},
		{Key: "malformed", Value: []byte(`null`)}, {Key: "malformed", Value: []byte(`{}`)}, {Key: "malformed", Value: []byte(strings.Repeat("[", 1_000_000))},
		{Key: "malformed", Value: []byte(`{"incarnation":"1","time":0}`)}, {Key: "malformed", Value: []byte(`{"incarnation":"1","time":-1}`)},
		{Key: "malformed", Value: []byte(`{"incarnation":"1","time":9223372036854775807}`)}, {Key: "malformed", Value: []byte(`{"incarnation":"1","time":1e400}`)},
		{Key: "malformed", Value: []byte(strings.Replace(sound, `"s":5`, `"s":-5`, 1))},
		{Key: "malformed", Value: []byte(strings.Replace(sound, `"s":5`, `"s":9223372036854775807`, 1))},
		{Key: "malformed", Value: []byte(strings.Replace(sound, `"calls":{"s":5}`, `"limits":{"s@1":-1}`, 1))},
		{Key: "malformed", Value: []byte(strings.Replace(sound, `"calls":{"s":5}`, `"limits":{"s@1":1e308}`, 1))},
	} {
		f.snapshot([]keyed.Record{r})
		f.apply(r)
		c.Check(f.count(), qt.Equals, 2, qt.Commentf("%.80s %.80s", r.Key, r.Value))
		c.Check(f.timeOfDay(), qt.Equals, now, qt.Commentf("%.80s %.80s", r.Key, r.Value))
		c.Check(f.sharers("s", 7), qt.HasLen, 2, qt.Commentf("%.80s %.80s", r.Key, r.Value))
	}
}
