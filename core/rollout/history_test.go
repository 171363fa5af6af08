package rollout_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"ibiswinch/core/keyed"
	"ibiswinch/core/record"
	"ibiswinch/core/rollout"
)

var historyDeadline = time.Date(2026, 1, 1, 0, 1, 0, 0, time.UTC)

// stepRecord returns the record of a step that an entry VM took a minute before the deadline, or at it.
func stepRecord(c *qt.C, key string, kind record.Kind, body any) keyed.Record {
	b, err := json.Marshal(body)
	c.Assert(err, qt.IsNil)
	value, err := json.Marshal(record.Record{
		Version: 1, Kind: kind, Author: record.Author{VM: "vm", Incarnation: "vm-1"}, Sequence: 1, Time: historyDeadline, Body: b,
	})
	c.Assert(err, qt.IsNil)
	return keyed.Record{Key: key, Value: value}
}

// historySteps are the steps of two changes: the first is taken back at its second stage, the second is done.
func historySteps(c *qt.C) []keyed.Record {
	open := func(version uint64, target string) keyed.Record {
		rule := rollout.Rule{Model: "s", Old: "v1", New: target, Deadline: historyDeadline, Stages: []rollout.Share{100, 5000, rollout.FullShare}}
		return stepRecord(c, fmt.Sprintf("s@%d/open", version), record.KindOpenChange, rollout.Open{Rule: rule, ConfigVersion: version})
	}
	advance := func(version uint64, from int) keyed.Record {
		body := rollout.Advance{Change: fmt.Sprintf("s@%d", version), From: from}
		return stepRecord(c, fmt.Sprintf("s@%d/advance%d", version, from), record.KindAdvance, body)
	}
	return []keyed.Record{
		open(9, "v2"), advance(9, 0),
		stepRecord(c, "s@9/takeBack", record.KindTakeBack, rollout.TakeBack{Change: "s@9", Reason: rollout.ReasonGap}),
		open(10, "v3"), advance(10, 0), advance(10, 1),
		stepRecord(c, "s@10/done", record.KindDone, rollout.Done{Change: "s@10"}),
	}
}

// TestStateDependsOnOrderOfSteps guards against processes that see different states because the lost steps were written again
// in another order than they were taken in.
func TestStateDependsOnOrderOfSteps(t *testing.T) {
	c := qt.New(t)
	steps := historySteps(c)
	inOrder := rollout.NewHistory()
	for _, s := range steps {
		_, err := inOrder.Add(s)
		c.Assert(err, qt.IsNil)
	}
	want := inOrder.Changes()
	last, _ := want.Latest("s")
	c.Assert(last.State, qt.Equals, rollout.StateDone)
	c.Assert(want.All()[0].State, qt.Equals, rollout.StateTakenBack)
	c.Assert(inOrder.Missing(nil), qt.DeepEquals, steps)
	rapid.Check(t, func(t *rapid.T) {
		h := rollout.NewHistory()
		for _, s := range rapid.Permutation(append(steps, steps...)).Draw(t, "steps") {
			_, err := h.Add(s)
			c.Assert(err, qt.IsNil)
			h.Changes()
		}
		c.Assert(h.Changes().All(), qt.DeepEquals, want.All())
		c.Assert(h.Missing(steps[:2]), qt.DeepEquals, steps[2:])
	})
}

// TestStepWithoutEffectIsWrittenAgain guards against a take-back for missing evidence that came after the end of a change and
// gets into a restored log, where it may come first.
func TestStepWithoutEffectIsWrittenAgain(t *testing.T) {
	c := qt.New(t)
	steps := historySteps(c)
	h := rollout.NewHistory()
	late := stepRecord(c, "s@10/takeBack", record.KindTakeBack, rollout.TakeBack{Change: "s@10", Reason: rollout.ReasonNoEvidence})
	for _, s := range append(steps, late) {
		_, err := h.Add(s)
		c.Assert(err, qt.IsNil)
	}
	last, _ := h.Changes().Latest("s")
	c.Assert(last.State, qt.Equals, rollout.StateDone)
	c.Assert(h.Err(late.Key), qt.ErrorIs, rollout.ErrFinal)
	c.Assert(h.Missing(nil), qt.DeepEquals, steps)
}

// TestLastChangeIsForgotten guards against the loss of a service's last change when there are many steps of others.
func TestLastChangeIsForgotten(t *testing.T) {
	c := qt.New(t)
	h := rollout.NewHistory()
	for version := uint64(1); version < 700; version++ {
		model := "s"
		if version == 1 {
			model = "other"
		}
		rule := rollout.Rule{Model: model, Old: "v1", New: fmt.Sprint("v", version+1), Deadline: historyDeadline, Stages: []rollout.Share{rollout.FullShare}}
		s := stepRecord(c, fmt.Sprint(version), record.KindOpenChange, rollout.Open{Rule: rule, ConfigVersion: version})
		_, err := h.Add(s)
		c.Assert(err, qt.IsNil)
	}
	changes := h.Changes()
	_, found := changes.Latest("other")
	c.Assert(found, qt.IsTrue)
	c.Assert(len(h.Missing(nil)) <= 512, qt.IsTrue)
}

// openSteps returns the opening of a change to v2 in the first era, and that of one to target in the second era by an author
// that knew the last change as of follows.
func openSteps(c *qt.C, target string, follows *uint64) (first, second keyed.Record) {
	rule := rollout.Rule{Model: "s", Old: "v1", New: "v2", Deadline: historyDeadline, Stages: []rollout.Share{rollout.FullShare}}
	open := rollout.Open{Rule: rule, ConfigVersion: rollout.OrderVersion(1, 7)}
	first = stepRecord(c, "first", record.KindOpenChange, open)
	open.Rule.New, open.Rule.Deadline = target, historyDeadline.Add(time.Second)
	open.ConfigVersion, open.Follows = rollout.OrderVersion(2, 3), follows
	return first, stepRecord(c, "second", record.KindOpenChange, open)
}

// TestUnawareAuthorOpensChange guards against a change that is opened again by a process that didn't know it, in whichever
// order the openings are read, and against new changes that are refused.
func TestUnawareAuthorOpensChange(t *testing.T) {
	c := qt.New(t)
	none, last, earlier := uint64(0), rollout.OrderVersion(1, 7), rollout.OrderVersion(1, 2)
	for _, test := range []struct {
		follows *uint64
		refused bool
	}{{&none, true}, {&earlier, true}, {&last, false}, {nil, false}} {
		for _, target := range []string{"v2", "v3"} {
			first, second := openSteps(c, target, test.follows)
			for _, steps := range [][]keyed.Record{{first, second}, {second, first}} {
				h := rollout.NewHistory()
				for _, s := range steps {
					_, err := h.Add(s)
					c.Assert(err, qt.IsNil)
				}
				latest, _ := h.Changes().Latest("s")
				c.Assert(latest.ConfigVersion == last, qt.Equals, test.refused)
				if test.refused {
					c.Assert(h.Err("second"), qt.ErrorIs, rollout.ErrUnaware)
				}
			}
		}
	}
}

// TestRefusedOpeningIsNotRepeated guards against an order that nobody follows, as the one opening of its change was refused
// since its author didn't know the last change.
func TestRefusedOpeningIsNotRepeated(t *testing.T) {
	c := qt.New(t)
	now := historyDeadline.Add(-time.Hour)
	version := rollout.OrderVersion(2, 3)
	rules := []rollout.Rule{{Model: "s", Old: "v1", New: "v3", Deadline: historyDeadline, Stages: []rollout.Share{rollout.FullShare}}}
	controller := rollout.NewController(rollout.Config{Author: record.Author{VM: "vm", Incarnation: "vm-1"}})
	controller.SetRules(now, version, rules)
	follows := func() []uint64 {
		now = now.Add(time.Second)
		var all []uint64
		for _, a := range controller.Tick(now) {
			if open, ok := a.(rollout.Append).Body.(rollout.Open); ok {
				all = append(all, *open.Follows)
			}
		}
		return all
	}
	c.Assert(follows(), qt.DeepEquals, []uint64{0})
	first, _ := openSteps(c, "v3", nil)
	h := rollout.NewHistory()
	_, err := h.Add(first)
	c.Assert(err, qt.IsNil)
	controller.Observe(now, h.Changes())
	c.Assert(follows(), qt.DeepEquals, []uint64{rollout.OrderVersion(1, 7)})
	c.Assert(follows(), qt.HasLen, 0)
}
