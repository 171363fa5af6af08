package gateway

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ibiswinch/core/keyed"
	"ibiswinch/core/placement"
)

// TestConfigurationNeverGoesBack guards against an older configuration that is read after a newer one.
func TestConfigurationNeverGoesBack(t *testing.T) {
	b := newBench(t)
	b.log.put(keyed.Operations, "config", testCatalog(9, 1))
	b.await("version 9", func() bool { return b.gateway.Catalog().Version == 9 })
	b.log.put(keyed.Operations, "config", testCatalog(4, 1))
	b.log.put(keyed.Operations, "marker", testCatalog(10, 1))
	b.await("version 10", func() bool { return b.gateway.Catalog().Version == 10 })
}

// TestUnreadableRecordIsSkipped guards against one bad record that hides the later ones.
func TestUnreadableRecordIsSkipped(t *testing.T) {
	b := newBench(t)
	b.log.put(keyed.Operations, "config", "no configuration")
	b.log.put(keyed.Operations, "config", testCatalog(5, 1))
	b.await("version 5", func() bool { return b.gateway.Catalog().Version == 5 })
}

// TestDroppedHistory guards against changes that are lost with the history of the log.
func TestDroppedHistory(t *testing.T) {
	b := newBench(t)
	b.log.setAway(true)
	time.Sleep(20 * time.Millisecond)
	b.log.mu.Lock()
	b.log.away = false
	b.log.mu.Unlock()
	b.log.put(keyed.Operations, "config", testCatalog(7, 1))
	b.log.trim(keyed.Partition{Stream: keyed.Operations})
	b.await("version 7", func() bool { return b.gateway.Catalog().Version == 7 })
}

// TestFarBehindReadsTheNewest guards against an entry VM on a narrow link that reads old configurations one by one after
// an outage, and comes seconds late to the newest.
func TestFarBehindReadsTheNewest(t *testing.T) {
	b := newBench(t)
	b.log.setAway(true)
	time.Sleep(20 * time.Millisecond)
	b.log.mu.Lock()
	b.log.away, b.log.readMost = false, 1
	b.log.mu.Unlock()
	for version := range int64(500) {
		b.log.put(keyed.Operations, "config", testCatalog(version+2, 1))
	}
	b.await("version 501", func() bool { return b.gateway.Catalog().Version == 501 })
	b.log.mu.Lock()
	defer b.log.mu.Unlock()
	b.c.Assert(b.log.reads < 300, qt.IsTrue, qt.Commentf("%d reads", b.log.reads))
}

func (b *bench) servers() int { return len(b.gateway.Dump().Servers) }

// TestRemovedServerIsDropped guards against calls to a server whose entry was removed.
func TestRemovedServerIsDropped(t *testing.T) {
	b := newBench(t)
	b.log.put(keyed.Servers, "s-2", nil)
	b.await("removal", func() bool { return b.servers() == 2 })
}

// TestLapsedEntriesMayComeBack guards against refusing everything because entries lapsed while the log was away, and
// against using a server that is still missing after the grace.
func TestLapsedEntriesMayComeBack(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	s := newServerController(Config{Decoder: jsonDecoder{}, Now: func() time.Time { return now }, Events: newBench(t).gateway.cfg.Events})
	entry := keyed.Record{Key: "s-1", Value: []byte(`{"ID":"s-1","Service":"s","Addr":"127.0.0.1:1"}`)}
	place := func() bool {
		_, ok := s.choose(placement.Request{Service: "s"})
		return ok
	}
	s.snapshot([]keyed.Record{entry})
	s.lost(now)
	s.regained(now)
	s.apply(keyed.Record{Key: "s-1"})
	c.Assert(place(), qt.IsTrue)
	s.apply(entry)
	now = now.Add(returnGrace + time.Millisecond)
	c.Assert(place(), qt.IsTrue)
	s.lost(now)
	s.regained(now)
	s.apply(keyed.Record{Key: "s-1"})
	now = now.Add(returnGrace + time.Millisecond)
	c.Assert(place(), qt.IsFalse)
}

// TestFleetClock guards against trusting a clock that has jumped, and against trusting too few.
func TestFleetClock(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(5000, 0)
	f := newFleetController(Config{Name: "vm-0", Now: func() time.Time { return now }}, nil)
	f.suspects = newSuspectController(f.cfg)
	tell := func(name string, ahead time.Duration) {
		f.mu.Lock()
		f.members[name] = now
		f.offsets[name] = ahead
		f.mu.Unlock()
	}
	_, known := f.ageAtStart(now.Add(-time.Second))
	c.Assert(known, qt.IsFalse)
	tell("vm-1", 0)
	tell("vm-2", -2400*time.Millisecond)
	tell("vm-3", 10*time.Millisecond)
	age, known := f.ageAtStart(now.Add(-time.Second))
	c.Assert(known, qt.IsTrue)
	c.Assert(age, qt.Equals, time.Second+clockError)
}
