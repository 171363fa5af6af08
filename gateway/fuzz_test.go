package gateway

import (
	"encoding/json"
	"testing"
	"time"

	"ibiswinch/core/crash"
	"ibiswinch/core/keyed"
	"ibiswinch/core/record"
	"ibiswinch/core/rollout"
	"ibiswinch/io/apexlog"
)

// fuzzTime is the time at which the gateways of fuzz targets stand.
var fuzzTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newIdleGateway() *Gateway {
	return New(Config{
		Name: "vm-1", Incarnation: "1", Now: func() time.Time { return fuzzTime }, Events: apexlog.Discard(), Decoder: jsonDecoder{},
		Metrics: noMetrics{}, LedgerPartitions: 1,
	})
}

func addMalformedRecords(f *testing.F) {
	for _, value := range []string{
		"", "null", "{}", "[]", "7", "1e400", `{"time":9223372036854775808}`, `{"incarnation":"1","time":1,"calls":{"s":-1},"limits":{"s@1":1e308}}`,
		`{"reports":[{"subject":"s","server":"a@1","sentAt":"9999-12-31T23:59:59-23:59","crashedAt":"9999-12-31T23:59:59-23:59"}]}`,
		`{"version":1,"kind":"advance","author":{"vm":"a","incarnation":"1"},"sequence":1,"body":{"change":"s@1","from":15}}`,
		`{"version":1,"kind":"openChange","author":{"vm":"a","incarnation":"1"},"sequence":1,"time":"0001-01-01T00:00:00Z",` +
			`"body":{"rule":{"model":"s","old":"a","new":"b","deadline":"9999-01-01T00:00:00Z","stages":[300,10000]},"configVersion":1}}`,
	} {
		f.Add([]byte(value))
	}
}

// FuzzHeartbeat guards against heartbeats that panic, hide a sound one, or are encoded otherwise than decoded.
func FuzzHeartbeat(f *testing.F) {
	addMalformedRecords(f)
	f.Add([]byte(`{"incarnation":"1","address":"10.0.0.2:1","zone":"z","time":1767225600000,"calls":{"s":5},"evidence":[{}]}`))
	const sound = `{"incarnation":"1","address":"10.0.0.2:7200","zone":"z","time":1767225600000}`
	f.Fuzz(func(t *testing.T, value []byte) {
		g := newIdleGateway()
		g.fleet.snapshot([]keyed.Record{{Key: "malformed", Value: value}, {Key: "vm-2", Value: []byte(sound)}})
		g.fleet.apply(keyed.Record{Key: "malformed", Value: value})
		g.fleet.apply(keyed.Record{Key: "vm-2", Value: []byte(sound)})
		if _, found := g.fleet.addresses["vm-2"]; !found || g.fleet.count() > 3 {
			t.Fatal("sound heartbeat hidden")
		}
		if now := g.fleet.timeOfDay(); now.After(fuzzTime) {
			t.Fatalf("fleet's time %v", now)
		}
		var h, again heartbeat
		if json.Unmarshal(value, &h) != nil || h.validate("malformed") != nil {
			return
		}
		encoded, err := json.Marshal(h)
		if err != nil || json.Unmarshal(encoded, &again) != nil || again.validate("malformed") != nil {
			t.Fatalf("%+v decoded as %+v: %v", h, again, err)
		}
	})
}

// FuzzCrashRecord guards against crash records that panic, hide a sound one, or that this entry VM can't publish again.
func FuzzCrashRecord(f *testing.F) {
	addMalformedRecords(f)
	sound, err := json.Marshal(crash.Record{Reports: []crash.Report{
		{Incident: crash.Incident{Subject: "part:sound", Server: "a@1"}, SentAt: fuzzTime.Add(-time.Second), CrashedAt: fuzzTime},
	}})
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		s := newIdleGateway().suspects
		s.set(keyed.Record{Key: "vm-1", Value: value})
		s.snapshot([]keyed.Record{{Key: "malformed", Value: value}, {Key: "vm-2", Value: sound}})
		if _, err := json.Marshal(s.ownRecord()); err != nil {
			t.Fatal(err)
		}
		var in crash.Record
		_ = json.Unmarshal(value, &in)
		for _, c := range in.Cleared {
			if c.Subject == "part:sound" {
				return
			}
		}
		if !s.evidence.Has(crash.Incident{Subject: "part:sound", Server: "a@1"}) {
			t.Fatal("sound report hidden")
		}
	})
}

// FuzzRolloutStep guards against steps of version changes that panic or hide a sound one.
func FuzzRolloutStep(f *testing.F) {
	addMalformedRecords(f)
	body, err := json.Marshal(rollout.Open{ConfigVersion: 1, Rule: rollout.Rule{
		Model: "sound", Old: "v1", New: "v2", Deadline: fuzzTime.Add(time.Minute), Stages: rolloutStages(),
	}})
	if err != nil {
		f.Fatal(err)
	}
	sound, err := json.Marshal(record.Record{
		Version: recordVersion, Kind: record.KindOpenChange, Author: record.Author{VM: "vm-2", Incarnation: "1"}, Sequence: 1,
		Time: fuzzTime, Body: body,
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		r := newIdleGateway().rollouts
		r.snapshot([]keyed.Record{{Key: "malformed", Value: value}, {Key: "sound", Value: sound, Offset: 1}})
		r.apply(keyed.Record{Key: "malformed", Value: value, Offset: 2})
		r.tick()
		for _, change := range r.changes.All() {
			_, _ = r.choose(change.Rule.Model, "r-1")
		}
		if _, found := r.changes.Latest("sound"); !found {
			t.Fatal("sound step hidden")
		}
	})
}
