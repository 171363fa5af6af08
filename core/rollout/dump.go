package rollout

import (
	"fmt"
	"time"
)

// Waiting is what an open change waits for.
type Waiting string

// What a change waits for.
const (
	WaitingStageTime      Waiting = "timeOfNextStage"
	WaitingDeadline       Waiting = "deadline"
	WaitingSuspectedFault Waiting = "testPointsToFault"
	WaitingEvidence       Waiting = "tooFewRequests"
	WaitingLog            Waiting = "log"
	WaitingNothing        Waiting = "nothing"
)

// ChangeDump is the state of a change at this entry VM and the reasons for it.
type ChangeDump struct {
	Change Change `json:"change"`
	// Share is the share of the traffic that the new version gets at this VM, in units of 0.01%.
	Share Share `json:"share"`
	// Stage is the stage in force at this VM. It is ahead of Change.Stage when the log can't be read.
	Stage    int       `json:"stage"`
	Entered  time.Time `json:"entered"`
	NextStep time.Time `json:"nextStep"`
	Deadline time.Time `json:"deadline"`
	Waiting  Waiting   `json:"waiting"`
	// Probing is true while the share is reduced to at most one half to examine a late fault.
	Probing bool `json:"probing"`
	// Stop is set when a fault was found that the log may not show yet.
	Stop *Stop `json:"stop,omitempty"`
	// Withdrawn, Expired and LocalDone are decisions of this VM that the log may not show yet.
	Withdrawn bool `json:"withdrawn"`
	Expired   bool `json:"expired"`
	LocalDone bool `json:"localDone"`
	// Finding is the strongest test. The change is taken back at TakeBackRatio and held at its stage at SuspectRatio.
	Finding       Finding `json:"finding"`
	TakeBackRatio float64 `json:"condemnRatio"`
	SuspectRatio  float64 `json:"suspectRatio"`
	// Seen counts requests to the new version at all known entry VMs.
	Seen         uint64    `json:"seen"`
	EntryVMs     int       `json:"entryVMs"`
	LastEvidence time.Time `json:"lastEvidence"`
}

// Dump describes the newest change of each model.
func (c *Controller) Dump() []ChangeDump {
	dump := make([]ChangeDump, 0, len(c.trackers))
	for _, t := range c.trackers {
		dump = append(dump, t.dump())
	}
	return dump
}

func (t *tracker) dump() ChangeDump {
	d := ChangeDump{
		Change: t.change, Share: t.share(), Stage: t.stage, Entered: t.entered,
		NextStep: t.entered.Add(t.stageDuration()), Deadline: t.change.Rule.Deadline, Waiting: t.waiting,
		Probing: t.probing, Withdrawn: t.withdrawn, Expired: t.expired, LocalDone: t.localDone,
		Finding: t.finding, TakeBackRatio: takeBackRatio, SuspectRatio: suspectRatio,
		Seen: t.evidence.seen(), EntryVMs: len(t.evidence.authors), LastEvidence: t.lastEvidence,
	}
	if t.stopped() {
		stop := t.stop
		d.Stop = &stop
	}
	if t.change.State == StateTakenBack || t.change.State == StateDone && !t.stopped() {
		d.Waiting = WaitingNothing
	}
	return d
}

// Explain describes the state of the change and the reason for it in one line, for the operator's report.
func (d ChangeDump) Explain() string {
	rule := d.Change.Rule
	switch {
	case d.Change.State == StateTakenBack:
		return fmt.Sprintf("taken back to %s: %s%s, recorded by %s", rule.Old, d.Change.Reason, onRoute(d.Change.Route), d.Change.Author.VM)
	case d.Stop != nil:
		return fmt.Sprintf("stopped: %s%s, found by %s; the log doesn't show it yet", d.Stop.Reason, onRoute(d.Stop.Route), d.Stop.Author.VM)
	case d.Change.State == StateDone:
		return fmt.Sprintf("done: %s carries the traffic, recorded by %s", rule.New, d.Change.Author.VM)
	case d.Withdrawn:
		return "stopped: the configuration no longer asks for it"
	case d.Expired:
		return fmt.Sprintf("stopped at the deadline: %s, %d requests seen", d.Waiting, d.Seen)
	case d.LocalDone:
		return "done at this entry VM; the log doesn't show it yet"
	case d.Probing:
		return fmt.Sprintf("share halved to examine %s%s", d.Finding.Metric.reason(), onRoute(d.Finding.Route))
	}
	return d.explainOpen()
}

func (d ChangeDump) explainOpen() string {
	at := fmt.Sprintf("at %.1f%% since %s", float64(d.Share)/100, d.Entered.Format(time.RFC3339))
	switch d.Waiting {
	case WaitingSuspectedFault:
		return fmt.Sprintf("%s, held: %s%s has ratio %.1f of %.1f", at, d.Finding.Metric.reason(), onRoute(d.Finding.Route), d.Finding.Ratio, d.TakeBackRatio)
	case WaitingStageTime:
		return fmt.Sprintf("%s, next stage at %s", at, d.NextStep.Format(time.RFC3339))
	case WaitingDeadline:
		return fmt.Sprintf("%s, watched until %s", at, d.Deadline.Format(time.RFC3339))
	}
	return fmt.Sprintf("%s, waiting for %s", at, d.Waiting)
}

func onRoute(route string) string {
	if route == "" {
		return ""
	}
	return " on route " + route
}
