package gateway

import (
	"maps"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ibiswinch/core/keyed"
	"ibiswinch/core/placement"
	"ibiswinch/io/apexlog"
)

// TestConfigurationNeverGoesBack guards against applying an older configuration that is read after a newer one.
func TestConfigurationNeverGoesBack(t *testing.T) {
	f := newFixture(t)
	f.log.put(keyed.Operations, "config", testCatalog(9, 1))
	f.waitFor("version 9", func() bool { return f.gateway.Catalog().Version == 9 })
	f.log.put(keyed.Operations, "config", testCatalog(4, 1))
	f.log.put(keyed.Operations, "marker", testCatalog(10, 1))
	f.waitFor("version 10", func() bool { return f.gateway.Catalog().Version == 10 })
}

// TestUnreadableRecordIsSkipped guards against one invalid record that prevents reading the later ones.
func TestUnreadableRecordIsSkipped(t *testing.T) {
	f := newFixture(t)
	f.log.put(keyed.Operations, "config", "no configuration")
	f.log.put(keyed.Operations, "config", testCatalog(5, 1))
	f.waitFor("version 5", func() bool { return f.gateway.Catalog().Version == 5 })
}

// TestTrimmedLogLoadsSnapshot guards against missing changes whose records were trimmed before they were read.
func TestTrimmedLogLoadsSnapshot(t *testing.T) {
	f := newFixture(t)
	f.log.setDown(true)
	time.Sleep(20 * time.Millisecond)
	f.log.mu.Lock()
	f.log.down = false
	f.log.mu.Unlock()
	f.log.put(keyed.Operations, "config", testCatalog(7, 1))
	f.log.trim(keyed.Partition{Stream: keyed.Operations})
	f.waitFor("version 7", func() bool { return f.gateway.Catalog().Version == 7 })
}

// TestFarBehindReadsSnapshot guards against an entry VM on a slow link that reads old configurations one by one after
// an outage and gets the newest seconds late.
func TestFarBehindReadsSnapshot(t *testing.T) {
	f := newFixture(t)
	f.log.setDown(true)
	time.Sleep(20 * time.Millisecond)
	f.log.mu.Lock()
	f.log.down, f.log.maxReadRecords = false, 1
	f.log.mu.Unlock()
	for version := range int64(500) {
		f.log.put(keyed.Operations, "config", testCatalog(version+2, 1))
	}
	f.waitFor("version 501", func() bool { return f.gateway.Catalog().Version == 501 })
	f.log.mu.Lock()
	defer f.log.mu.Unlock()
	f.c.Assert(f.log.operationReads < 300, qt.IsTrue, qt.Commentf("%d reads", f.log.operationReads))
}

func (f *fixture) serverCount() int { return len(f.gateway.Dump().Servers) }

// TestRemovedServerIsDropped guards against calls to a server whose record was removed.
func TestRemovedServerIsDropped(t *testing.T) {
	f := newFixture(t)
	f.log.put(keyed.Servers, "s-2", nil)
	f.waitFor("removal", func() bool { return f.serverCount() == 2 })
}

// TestMissingServersAreKeptForGrace guards against refusing all calls because records expired while the log was
// unavailable, and against using a server that is still missing after the grace period.
func TestMissingServersAreKeptForGrace(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	cfg := Config{Decoder: jsonDecoder{}, Now: func() time.Time { return now }, Events: newFixture(t).gateway.cfg.Events}
	s := newServerController(cfg, newFleetController(cfg))
	record := keyed.Record{Key: "s-1", Value: []byte(`{"ID":"s-1","Service":"s","Addr":"127.0.0.1:1"}`)}
	place := func() bool {
		_, ok := s.choose(placement.Request{Service: "s"})
		return ok
	}
	s.snapshot([]keyed.Record{record})
	s.onLogDown(now)
	s.onLogUp(now, now)
	s.apply(keyed.Record{Key: "s-1"})
	c.Assert(place(), qt.IsTrue)
	s.apply(record)
	now = now.Add(missingGrace + time.Millisecond)
	c.Assert(place(), qt.IsTrue)
	s.onLogDown(now)
	s.onLogUp(now, now)
	s.apply(keyed.Record{Key: "s-1"})
	now = now.Add(missingGrace + time.Millisecond)
	c.Assert(place(), qt.IsFalse)
}

// TestRemovalAfterSilentConnectionIsPutOff guards against orders that are lost at a server that has left, because an entry VM
// whose own connections to the log had been silent takes its removal for a record that expired in an outage.
func TestRemovalAfterSilentConnectionIsPutOff(t *testing.T) {
	const heartbeat = 1200 * time.Millisecond
	for silence, kept := range map[time.Duration]bool{time.Second: false, 2 * heartbeat: true} {
		c := qt.New(t)
		now := time.Unix(1000, 0)
		cfg := Config{Decoder: jsonDecoder{}, Now: func() time.Time { return now }, Events: apexlog.Discard(), ServerHeartbeat: heartbeat}
		s := newServerController(cfg, newFleetController(cfg))
		s.snapshot([]keyed.Record{{Key: "s-1", Value: []byte(`{"ID":"s-1","Service":"s","Addr":"127.0.0.1:1"}`)}})
		s.onLogDown(now)
		silentSince := now
		now = now.Add(silence)
		s.onLogUp(silentSince, now)
		s.apply(keyed.Record{Key: "s-1"})
		_, placed := s.choose(placement.Request{Service: "s"})
		c.Check(placed, qt.Equals, kept, qt.Commentf("%s", silence))
	}
}

// TestFirstAnswerAfterOutageIsWaitedFor guards against a read that waits for a record although it isn't known yet whether the log
// answers again.
func TestFirstAnswerAfterOutageIsWaitedFor(t *testing.T) {
	f := newFixture(t)
	f.log.setDown(true)
	time.Sleep(serverReadInterval + 2*retryPause)
	f.log.mu.Lock()
	clear(f.log.longestWaits)
	f.log.mu.Unlock()
	time.Sleep(4 * retryPause)
	f.log.mu.Lock()
	defer f.log.mu.Unlock()
	wait, read := f.log.longestWaits[keyed.Servers]
	f.c.Assert(read, qt.IsTrue)
	f.c.Assert(wait, qt.Equals, time.Duration(0))
}

// TestFleetClock guards against trusting a clock that has jumped, and against trusting the fleet's time when too few
// clocks are known.
func TestFleetClock(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(5000, 0)
	f := newFleetController(Config{Name: "vm-0", Now: func() time.Time { return now }})
	setClockOffset := func(name string, ahead time.Duration) {
		f.mu.Lock()
		f.members[name] = now
		f.clockOffsets[name] = ahead
		f.mu.Unlock()
	}
	_, known := f.ageAtStart(now.Add(-time.Second))
	c.Assert(known, qt.IsFalse)
	setClockOffset("vm-1", 0)
	setClockOffset("vm-2", -2400*time.Millisecond)
	setClockOffset("vm-3", 10*time.Millisecond)
	age, known := f.ageAtStart(now.Add(-time.Second))
	c.Assert(known, qt.IsTrue)
	c.Assert(age, qt.Equals, time.Second+maxClockError)
}

// TestDeadReadDelaysNews guards against reads that a silent store leaves without an answer for long after it answers again:
// until they end, an entry VM doesn't hear of anything.
func TestDeadReadDelaysNews(t *testing.T) {
	f := newFixture(t)
	streams := []keyed.Stream{keyed.Operations, keyed.Servers, keyed.Crashes, keyed.Rollouts}
	waits := func() map[keyed.Stream]time.Duration {
		f.log.mu.Lock()
		defer f.log.mu.Unlock()
		return maps.Clone(f.log.longestWaits)
	}
	f.waitFor("reads", func() bool {
		read := waits()
		return !slices.ContainsFunc(streams, func(s keyed.Stream) bool { return read[s] == 0 })
	})
	for stream, wait := range waits() {
		f.c.Check(wait <= time.Second, qt.IsTrue, qt.Commentf("%s: %s", stream, wait))
	}
}
