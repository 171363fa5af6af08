package demo

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"ibiswinch/standin/engine"
	"ibiswinch/standin/platform"
)

func testRequest(t *teamAccount, key string, attempts ...attempt) *request {
	r := &request{kind: kindTextCompletion, team: t, key: key, path: engine.RouteCompletions, prompt: engine.CompletionPrompt("tokens=3"), maxTokens: 2}
	r.attempts = attempts
	return r
}

// correctAnswer returns an attempt with the correct answer to a testRequest.
func correctAnswer(v *vmProcess) attempt {
	p := engine.CompletionPrompt("tokens=3")
	return attempt{process: v, outcome: outcomeAnswered, status: 200, text: p.Answer(0, 2), usage: tokenUsage{Prompt: uint64(p.Tokens()), Completion: 2}}
}

// TestAccountingFindsFaults guards against checks that report no violation whatever happens: each change of a good run
// must violate exactly its invariant.
func TestAccountingFindsFaults(t *testing.T) {
	c := qt.New(t)
	a := &teamAccount{team: team{name: "t"}}
	a.prepaidTokens.Store(100)
	v := &vmProcess{name: "vm"}
	good := testRequest(a, "good", correctAnswer(v))
	p := platform.New(platform.Config{})
	p.Append("ledger.0", []byte(`[{"kind":"topUp","body":{"identity":"x","team":"t","tokens":10}},
		{"kind":"topUp","body":{"identity":"x","team":"t","tokens":10}},
		{"kind":"bill","body":{"lines":[{"identity":"good","team":"t","promptTokens":2,"completionTokens":2},
		{"identity":"good","team":"t","promptTokens":9,"completionTokens":9}]}}]`))
	p.Append("ledger.0", []byte(`"no batch"`))
	ledger := readLedger(p)
	c.Assert(ledger.billed["t"], qt.Equals, uint64(4))
	c.Assert(ledger.topUps["t"], qt.Equals, uint64(10))
	c.Assert(ledger.duplicates, qt.Equals, 1)

	violationsOf := func(change func(res *Result, l *loadGenerator, ledger *ledgerState)) []string {
		res := &Result{EngineRuns: 1, examples: map[string]string{}}
		l := &loadGenerator{accounts: []*teamAccount{a}, requests: []*request{good}}
		ledger := readLedger(p)
		change(res, l, &ledger)
		res.addRequests(l.requests)
		res.addBills(l, ledger, []operatorReport{{}})
		for _, r := range l.requests {
			res.checkReportedNotRun(r, map[string]uint64{"vm/refused": 1, "vm/cut": 1}, map[string]uint64{"order": 1})
			res.checkPlannedStop(r, v, map[string]uint64{"vm/cut": 1})
		}
		res.addViolations()
		return res.Violations
	}
	withRequest := func(r *request) func(*Result, *loadGenerator, *ledgerState) {
		return func(_ *Result, l *loadGenerator, _ *ledgerState) { l.requests = append(l.requests, r) }
	}
	wrong := correctAnswer(v)
	wrong.text += "x"
	orderThatRan := testRequest(a, "order", attempt{process: v, outcome: outcomeNotRun, status: 503})
	orderThatRan.kind = kindOrder
	c.Check(violationsOf(func(*Result, *loadGenerator, *ledgerState) {}), qt.HasLen, 0)
	for name, change := range map[string]func(*Result, *loadGenerator, *ledgerState){
		"I1": func(_ *Result, _ *loadGenerator, ledger *ledgerState) { ledger.billed["t"] = 11 },
		"I2": withRequest(testRequest(a, "unbilled", correctAnswer(v))),
		"I3": func(res *Result, _ *loadGenerator, _ *ledgerState) { res.BadVersionLateRuns = 1 },
		"I4": func(_ *Result, l *loadGenerator, _ *ledgerState) { l.requests[0] = testRequest(a, "good", wrong) },
		"I5": withRequest(testRequest(a, "refused", attempt{process: v, outcome: outcomeNotRun, status: 503})),
		"I8": withRequest(testRequest(a, "cut", attempt{process: v, outcome: outcomeBroken})),
	} {
		violations := violationsOf(change)
		c.Assert(violations, qt.HasLen, 1, qt.Commentf("%s", name))
		c.Check(violations[0][:2], qt.Equals, name)
	}
	c.Check(violationsOf(withRequest(orderThatRan))[0][:2], qt.Equals, "I5")
	c.Check(violationsOf(withRequest(testRequest(a, "cutByCaller", attempt{process: v, outcome: outcomeBroken, cancelledByCaller: true}))), qt.HasLen, 0)
}
