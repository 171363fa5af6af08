package config_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"ibiswinch/core/config"
	"ibiswinch/core/record"
)

// pendingEdit is a change that an operator prepared: the inventory in force at version base, with a domain added. Other
// operators may publish before the edit is published.
type pendingEdit struct {
	base  uint64
	text  string
	added string
}

// lostUpdates lets operators publish edits in random order. It returns how many accepted additions are missing in the
// last configuration, and how many publications were reported as conflicts. Without check, edits replace whatever is in
// force.
func lostUpdates(c *qt.C, seed uint64, check bool) (lostSilently, reported int) {
	random := rand.New(rand.NewPCG(seed, 1))
	history := config.NewHistory()
	var edits [4]*pendingEdit
	var accepted []string
	const steps = 200
	for i := range steps {
		k := random.IntN(len(edits))
		e := edits[k]
		if e == nil {
			added := fmt.Sprintf("[domain \"d%d\"]\nregion = r\n", i)
			base, _ := history.Current()
			edits[k] = &pendingEdit{base: base, text: history.Publication().Inventory + added, added: added}
			continue
		}
		edits[k] = nil
		if !check {
			e.base = history.LogVersion()
		}
		body, err := config.NewPublish(e.base, fmt.Sprint("op", k), e.text, "")
		c.Assert(err, qt.IsNil)
		data, err := json.Marshal(body)
		c.Assert(err, qt.IsNil)
		author := record.Author{VM: fmt.Sprint("op", k), Incarnation: "1"}
		sequence := uint64(i + 1)
		c.Assert(history.Apply(record.Position{}, record.Record{
			Version: 1, Kind: record.KindPublish, Author: author, Sequence: sequence, Body: data,
		}), qt.IsNil)
		result, ok := history.PublishResult(author, sequence)
		c.Assert(ok, qt.IsTrue)
		if result.Outcome == config.Accepted {
			accepted = append(accepted, e.added)
		} else {
			reported++
		}
	}
	for _, added := range accepted {
		if !strings.Contains(history.Publication().Inventory, added) {
			lostSilently++
		}
	}
	return lostSilently, reported
}

// TestVersionCheckPreventsLostUpdates guards against an accepted change that a concurrent publication overwrites
// silently. The same schedules without the version check show what it prevents; the figures are in docs/proofs.md.
func TestVersionCheckPreventsLostUpdates(t *testing.T) {
	c := qt.New(t)
	var lostSilently, reported, lostWithoutCheck int
	const seeds = 5
	for seed := range uint64(seeds) {
		s, n := lostUpdates(c, seed, true)
		lostSilently += s
		reported += n
		s, _ = lostUpdates(c, seed, false)
		lostWithoutCheck += s
	}
	c.Logf("%d schedules of 100 publications by 4 operators: with the check %d lost silently and %d reported, without %d lost silently",
		seeds, lostSilently, reported, lostWithoutCheck)
	c.Assert(lostSilently, qt.Equals, 0)
	c.Assert(lostWithoutCheck > 0, qt.IsTrue)
}
