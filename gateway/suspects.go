package gateway

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"ibiswinch/core/call"
	"ibiswinch/core/crash"
	"ibiswinch/core/event"
	"ibiswinch/core/keyed"
	"ibiswinch/core/placement"
	"ibiswinch/io/apexlog"
)

const (
	// crashReadInterval is the pause between two reads, so that the records of all entry VMs about one crash are read at
	// once.
	crashReadInterval = 50 * time.Millisecond
	// crashReadIntervalPerVM times the number of entry VMs is the least such pause, as each of them writes about a crash.
	crashReadIntervalPerVM = 3 * time.Millisecond
	// crashPublishDelay is the time from a crash to its record. Most requests that were in flight are repeated and answered
	// by then.
	crashPublishDelay = 250 * time.Millisecond
	// maxPublished bounds the reports and the clearances in a record; the newest ones are sent.
	maxPublished = 256
)

// suspectController finds what crashes the servers that run it, and tells the other entry VMs.
type suspectController struct {
	cfg    Config
	follow follower
	// timeOfDay is the fleet's time. isChosen reports whether this entry VM is the first of those that live by a key.
	timeOfDay func() time.Time
	isChosen  func(key string) bool
	// publishSoon is signalled when there is something to tell the others.
	publishSoon chan struct{}

	mu       sync.Mutex
	evidence *crash.Evidence
	// own is what this entry VM has seen, oldest first. published holds the incidents that some entry VM has reported.
	own       crash.Record
	published map[crash.Incident]bool
	// loaded is set once the records of all entry VMs were read.
	loaded bool
	// restored is set until the first snapshot of a log that was restored from a copy.
	restored bool
	// quarantined are the subjects in quarantine at the last change.
	quarantined map[crash.Subject]bool
}

func newSuspectController(cfg Config, fleet *fleetController) *suspectController {
	s := &suspectController{
		cfg: cfg, timeOfDay: fleet.timeOfDay, isChosen: func(key string) bool { return fleet.isFirst(key, "") }, publishSoon: make(chan struct{}, 1), evidence: crash.NewEvidence(),
		published: map[crash.Incident]bool{}, quarantined: map[crash.Subject]bool{},
	}
	s.follow = follower{
		cfg: cfg, partition: keyed.Partition{Stream: keyed.Crashes}, wait: fleet.readWait,
		interval: func() time.Duration {
			return max(crashReadInterval, time.Duration(fleet.count())*crashReadIntervalPerVM)
		},
		apply: s.set, snapshot: s.snapshot, onEra: s.onEra,
	}
	return s
}

func (s *suspectController) loop(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.runPublish(ctx)
	}()
	err := s.follow.loop(ctx)
	<-done
	return err
}

// runPublish appends the record of this entry VM after each change.
func (s *suspectController) runPublish(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.publishSoon:
		}
		pause(ctx, crashPublishDelay)
		if err := s.cfg.protect("report crashes", func() error { return s.publish(ctx) }); err != nil && ctx.Err() == nil {
			s.cfg.Events.Event(event.CrashesNotPublished, apexlog.Fields{"error": err.Error()})
			s.requestPublish()
		}
	}
}

func (s *suspectController) requestPublish() {
	select {
	case s.publishSoon <- struct{}{}:
	default:
	}
}

func (s *suspectController) publish(ctx context.Context) error {
	value, err := json.Marshal(s.ownRecord())
	if err != nil {
		return eris.Wrap(err, "encode crashes")
	}
	_, err = s.cfg.Log.Append(ctx, s.follow.partition, []keyed.Record{{Key: s.cfg.Name, Value: value}}, nil)
	return err
}

// ownRecord drops what has expired and returns the record to publish.
func (s *suspectController) ownRecord() crash.Record {
	now := s.timeOfDay()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evidence.Expire(now)
	maps.DeleteFunc(s.published, func(i crash.Incident, _ bool) bool { return !s.evidence.Has(i) })
	s.own.Reports = slices.DeleteFunc(s.own.Reports, func(r crash.Report) bool { return !s.evidence.Has(r.Incident) })
	s.own.Cleared = slices.DeleteFunc(s.own.Cleared, func(c crash.Clearance) bool { return !s.evidence.IsCleared(c.Incident) })
	s.own.Reports = newest(s.own.Reports)
	s.own.Cleared = newest(s.own.Cleared)
	for _, r := range s.own.Reports {
		s.published[r.Incident] = true
	}
	return crash.Record{Reports: slices.Clone(s.own.Reports), Cleared: slices.Clone(s.own.Cleared)}
}

func newest[T any](list []T) []T { return list[max(len(list)-maxPublished, 0):] }

func (s *suspectController) snapshot(records []keyed.Record) {
	var listed []crash.Record
	for _, r := range records {
		listed = append(listed, s.merge(r))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.restored {
		s.restored = false
		s.publishLost(listed)
	}
	s.loaded = true
}

func (s *suspectController) isLoaded() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.loaded
}

func (s *suspectController) set(r keyed.Record) { s.merge(r) }

// merge adds the record of an entry VM and returns its sound part. That of an earlier process of this one is adopted, as the
// next one replaces it.
func (s *suspectController) merge(r keyed.Record) crash.Record {
	var in crash.Record
	if err := json.Unmarshal(r.Value, &in); err != nil {
		s.cfg.logSkipped(r, err)
		return crash.Record{}
	}
	in, err := in.Sound()
	if err != nil {
		s.cfg.logSkipped(r, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range in.Cleared {
		if s.evidence.Clear(c) && r.Key == s.cfg.Name {
			s.own.Cleared = append(s.own.Cleared, c)
		}
		s.dropOwn(c.Incident)
	}
	for _, report := range in.Reports {
		s.published[report.Incident] = true
		if s.evidence.Add(report) && r.Key == s.cfg.Name {
			s.own.Reports = append(s.own.Reports, report)
		}
	}
	s.updateQuarantines(r.Key)
	return in
}

// recordCrash records that an attempt, whose first event came at firstAt, was interrupted at a server, which may have crashed on the call.
func (s *suspectController) recordCrash(c *call.Call, server placement.Server, sentAt, firstAt time.Time) {
	subjects := crash.CrashSubjects(c, s.cfg.Now(), firstAt)
	elapsed := s.cfg.Now().Sub(sentAt)
	now := s.timeOfDay()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, subject := range subjects {
		r := crash.Report{
			Incident: crash.Incident{Subject: subject, Server: server.Incarnation()}, SentAt: now.Add(-elapsed), CrashedAt: now,
		}
		if s.evidence.Add(r) {
			s.own.Reports = append(s.own.Reports, r)
			s.requestPublish()
		}
	}
	s.updateQuarantines(s.cfg.Name)
}

// answerBegan records that a server has begun to answer a call: no part of its prompt crashes servers before that.
func (s *suspectController) answerBegan(c *call.Call) { s.clear(c, crash.PartSubjects) }

// answerGoesOn records that a server goes on with the answer to a call: no part of its prompt crashes servers that have begun.
func (s *suspectController) answerGoesOn(c *call.Call) { s.clear(c, crash.BegunPartSubjects) }

// answered records that a call was answered: nothing in it crashes servers.
func (s *suspectController) answered(c *call.Call) { s.clear(c, crash.Subjects) }

func (s *suspectController) clear(c *call.Call, subjectsOf func(*call.Call) []crash.Subject) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.evidence.IsEmpty() {
		return
	}
	all := s.evidence.Answered(s.timeOfDay(), subjectsOf(c))
	if len(all) == 0 {
		return
	}
	for _, cleared := range all {
		s.dropOwn(cleared.Incident)
		if s.published[cleared.Incident] {
			delete(s.published, cleared.Incident)
			s.own.Cleared = append(s.own.Cleared, cleared)
			s.requestPublish()
		}
	}
	s.updateQuarantines(s.cfg.Name)
}

// dropOwn removes the own report of an incident. The caller holds mu.
func (s *suspectController) dropOwn(i crash.Incident) {
	s.own.Reports = slices.DeleteFunc(s.own.Reports, func(r crash.Report) bool { return r.Incident == i })
}

// updateQuarantines logs which quarantines have begun or ended by what an entry VM reported. The caller holds mu.
func (s *suspectController) updateQuarantines(vm string) {
	inForce := map[crash.Subject]bool{}
	for _, q := range s.evidence.Quarantines(s.timeOfDay()) {
		inForce[q.Subject] = true
		if !s.quarantined[q.Subject] {
			s.cfg.Events.Event(event.RequestQuarantined, apexlog.Fields{
				"subject": string(q.Subject), "crashes": q.Crashes, "successive": q.Successive, "until": q.Until, "reportedBy": vm,
			})
		}
	}
	for subject := range s.quarantined {
		if !inForce[subject] {
			s.cfg.Events.Event(event.QuarantineEnded, apexlog.Fields{"subject": string(subject), "reportedBy": vm})
		}
	}
	s.quarantined = inForce
}

// quarantines returns the quarantines in force.
func (s *suspectController) quarantines() []crash.Quarantine {
	now := s.timeOfDay()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.evidence.Quarantines(now)
}

// check returns why a call is refused.
func (s *suspectController) check(c *call.Call) (crash.Quarantine, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.quarantined) == 0 {
		return crash.Quarantine{}, false
	}
	return s.evidence.Check(s.timeOfDay(), crash.Subjects(c), s.isChosen)
}
