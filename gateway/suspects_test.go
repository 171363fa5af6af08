package gateway

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ibiswinch/core/call"
	"ibiswinch/core/keyed"
	"ibiswinch/core/placement"
	"ibiswinch/core/refusal"
	"ibiswinch/io/apexlog"
)

const (
	documentPart = 1
	sessionPart  = 2
	deadlyPart   = 3
)

// deadlyPartBackend answers all calls except those with deadlyPart, which crash their server, with begins set after a first event. The
// server registers again.
type deadlyPartBackend struct {
	begins  bool
	log     *memoryLog
	mu      sync.Mutex
	crashes int
}

func (b *deadlyPartBackend) Send(_ context.Context, a Attempt) (Answer, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if slices.ContainsFunc(a.Call.Parts, func(p call.PromptPart) bool { return p.ID == deadlyPart }) {
		b.crashes++
		time.Sleep(crashDelay)
		if b.begins {
			a.Server.Born = time.Now()
			b.log.put(keyed.Servers, a.Server.ID, a.Server)
			return &fakeAnswer{status: 200, stream: true, events: events(a.LastEventID + "1"), end: io.ErrUnexpectedEOF}, nil
		}
		return nil, &SendError{Outcome: placement.Interrupted, Err: io.ErrUnexpectedEOF}
	}
	return &fakeAnswer{status: 200, stream: true, events: events("1")}, nil
}

// promptCall returns a call whose body and last part differ from those of all other numbers.
func promptCall(number uint64, shared ...uint64) *call.Call {
	c := &call.Call{Path: "/chat/1", Body: fmt.Append(nil, number), InputTokens: 100, MaxOutputTokens: 40}
	for _, id := range append(slices.Clone(shared), 1000+number) {
		c.Parts = append(c.Parts, call.PromptPart{ID: id, Tokens: 10})
	}
	return c
}

// newDeadlyPartFixture returns a fixture with servers enough that none has to crash twice.
func newDeadlyPartFixture(t *testing.T) (*fixture, *deadlyPartBackend) {
	backend := &deadlyPartBackend{}
	f := newFixtureWith(t, func(cfg *Config) { cfg.Backend = backend })
	backend.log = f.log
	const servers = 40
	for i := range servers {
		id := fmt.Sprintf("t-%d", i)
		f.log.put(keyed.Servers, id, placement.Server{ID: id, Service: "s", Zone: "z", Version: "v1"})
	}
	f.waitFor("servers", func() bool { return len(f.gateway.Dump().Servers) >= servers })
	return f, backend
}

// TestPromptPartKeepsCrashingServers guards against requests that crash one server after the other through a part of the
// prompt that they share, although no two of them are alike.
func TestPromptPartKeepsCrashingServers(t *testing.T) {
	for name, begins := range map[string]bool{"without an answer": false, "after a first event": true} {
		t.Run(name, func(t *testing.T) { testPromptPartKeepsCrashingServers(t, begins) })
	}
}

func testPromptPartKeepsCrashingServers(t *testing.T, begins bool) {
	f, backend := newDeadlyPartFixture(t)
	backend.begins = begins
	vms := []*Gateway{f.gateway, f.start("vm-2")}
	for n := range uint64(20) {
		before := backend.crashes
		f.serveAt(vms[n%2], promptCall(n, documentPart, sessionPart, deadlyPart))
		if backend.crashes > before {
			time.Sleep(crashPublishDelay + 2*crashReadInterval)
		}
		r := f.serveAt(vms[n%2], promptCall(100+n, documentPart, sessionPart))
		f.c.Assert(r.finished, qt.IsTrue, qt.Commentf("sound request %d", n))
	}
	f.c.Assert(backend.crashes <= 5, qt.IsTrue, qt.Commentf("%d crashes", backend.crashes))
}

// TestCrashesAreForgottenByRestart guards against a restarted fleet that lets a crashing part through again, and against a
// restarted entry VM that replaces what it told the others before.
func TestCrashesAreForgottenByRestart(t *testing.T) {
	f, backend := newDeadlyPartFixture(t)
	deadly := func(n uint64) *call.Call { return promptCall(n, documentPart, deadlyPart) }
	for n := range uint64(4) {
		f.serve(deadly(n))
	}
	f.serve(promptCall(100, documentPart))
	partition := keyed.Partition{Stream: keyed.Crashes}
	f.waitFor("record", func() bool { return f.log.end(keyed.Crashes) > 0 })
	crashes := backend.crashes

	restarted := f.start("vm-1")
	f.c.Assert(f.serveAt(restarted, deadly(200)).refused.Reason, qt.Equals, refusal.Quarantined)
	restarted.suspects.requestPublish()
	f.waitFor("second record", func() bool { return f.log.end(keyed.Crashes) > 1 })
	f.log.trim(partition)
	third := f.start("vm-3")
	f.c.Assert(f.serveAt(third, deadly(300)).refused.Reason, qt.Equals, refusal.Quarantined)
	f.c.Assert(backend.crashes, qt.Equals, crashes)
}

// TestAnswerDoesNotEndQuarantineElsewhere guards against sound requests that entry VMs refuse after another one has seen
// that their parts are answered.
func TestAnswerDoesNotEndQuarantineElsewhere(t *testing.T) {
	f := newFixture(t, crashed, crashed, crashed, crashed)
	for n := range uint64(2) {
		f.serve(promptCall(n, sessionPart))
	}
	f.c.Assert(f.serve(promptCall(10, sessionPart)).refused.Reason, qt.Equals, refusal.Quarantined)
	peer := f.start("vm-2")
	c := promptCall(20, sessionPart)
	c.APIKey = "key"
	f.waitFor("record", func() bool { return f.log.end(keyed.Crashes) > 0 })
	f.waitFor("quarantine at the peer", func() bool { _, q := peer.suspects.check(c); return q })
	peer.suspects.answerBegan(c)
	f.waitFor("end of the quarantine", func() bool { _, q := f.gateway.suspects.check(c); return !q })
}

// TestUnsentCallIsCharged guards against crashes that are charged to calls that never reached the server.
func TestUnsentCallIsCharged(t *testing.T) {
	unsent := sendResult{err: &SendError{NotRun: true, Outcome: placement.Interrupted, Err: io.ErrUnexpectedEOF}}
	f := newFixture(t, unsent, unsent, unsent)
	f.serve(promptCall(1, sessionPart))
	f.c.Assert(len(f.backend.attempts) >= 3, qt.IsTrue)
	f.c.Assert(f.gateway.suspects.quarantines(), qt.HasLen, 0)
}

// TestExpiredClearancesPileUp guards against clearances that are published for good, and again and again once they have
// expired, until they displace new ones.
func TestExpiredClearancesPileUp(t *testing.T) {
	c := qt.New(t)
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	cfg := Config{Name: "vm-1", Now: func() time.Time { return now }, Events: apexlog.Discard()}
	s := newSuspectController(cfg, newFleetController(cfg))
	call := promptCall(1, sessionPart)
	s.recordCrash(call, placement.Server{ID: "s-1"}, now, time.Time{})
	s.ownRecord()
	s.answered(call)
	record := s.ownRecord()
	c.Assert(record.Cleared, qt.Not(qt.HasLen), 0)
	value, err := json.Marshal(record)
	c.Assert(err, qt.IsNil)
	now = now.Add(time.Hour)
	s.ownRecord()
	s.set(keyed.Record{Key: cfg.Name, Value: value})
	c.Assert(s.ownRecord().Cleared, qt.HasLen, 0)
}
