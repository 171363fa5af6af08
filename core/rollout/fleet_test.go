package rollout_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"ibiswinch/core/record"
	"ibiswinch/core/rollout"
)

// Defaults of rapid with which a default run is reproducible and takes a few seconds.
const (
	defaultRapidSeed   = "20261204"
	defaultRapidChecks = "400"
)

func TestMain(m *testing.M) {
	flag.Parse()
	setDefault("rapid.seed", defaultRapidSeed)
	setDefault("rapid.checks", defaultRapidChecks)
	os.Exit(m.Run())
}

// setDefault sets a flag unless it was given on the command line with another value than its default.
func setDefault(name, value string) {
	f := flag.Lookup(name)
	if f.Value.String() != f.DefValue {
		return
	}
	if err := f.Value.Set(value); err != nil {
		panic(err)
	}
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func ruleFor(model string, deadline time.Time) rollout.Rule {
	return rollout.Rule{Model: model, Old: "v1", New: "v2", Deadline: deadline, Stages: rollout.DefaultStages()}
}

// node is one incarnation of an entry VM.
type node struct {
	*rollout.Follower
	author record.Author
	domain int
	// unsentStops holds the stops that must still be sent to the peers.
	unsentStops []rollout.Stop
	reports     []rollout.Report
}

func newNode(domain, index, incarnation int) *node {
	author := record.Author{VM: fmt.Sprintf("d%d-%d", domain, index), Incarnation: fmt.Sprint(incarnation)}
	return &node{author: author, domain: domain, Follower: rollout.NewFollower(rollout.Config{Author: author})}
}

func (n *node) handle(notifications rollout.Notifications, err error) {
	if err != nil {
		panic(err)
	}
	n.unsentStops = append(n.unsentStops, notifications.Stops...)
	n.reports = append(n.reports, notifications.Reports...)
}

// pull folds up to limit entries of the log.
func (n *node) pull(now time.Time, log [][]byte, limit int) {
	for next := n.Stream().Next(); limit > 0 && next < uint64(len(log)); next++ {
		notifications, _, err := n.Fold(now, next, log[next])
		n.handle(notifications, err)
		limit--
	}
}

// receive applies what a peer sends in an exchange.
func (n *node) receive(now time.Time, evidence []rollout.Evidence, stops []rollout.Stop) {
	if err := n.Merge(now, evidence); err != nil {
		panic(err)
	}
	for _, s := range stops {
		if err := n.MergeStop(now, s); err != nil {
			panic(err)
		}
	}
}

// entry encodes an entry of the log by an author that isn't a node of the fleet.
func entry(incarnation int, at time.Time, records ...rollout.Append) []byte {
	outbox := record.NewOutbox(record.Author{VM: "stray", Incarnation: fmt.Sprint(incarnation)})
	for _, r := range records {
		if _, err := outbox.Add(at, r.Kind, r.Body); err != nil {
			panic(err)
		}
	}
	data, err := outbox.NextBatch()
	if err != nil {
		panic(err)
	}
	return data
}
