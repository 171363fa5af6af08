package demo

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ibiswinch/standin/engine"
)

// testLoadTime leaves at least some tenths of a second between two steps of the scenario.
const testLoadTime = 4 * time.Second

// TestScenario guards against a violated invariant under a network partition, a crash, a planned stop, a bad version
// and concurrent publications. The number of requests depends on the machine, so the test only checks the invariants
// and that some requests were answered.
func TestScenario(t *testing.T) {
	c := qt.New(t)
	result, err := Run(context.Background(), Config{Seed: 1, LoadDuration: testLoadTime, Progress: t.Output()})
	c.Assert(err, qt.IsNil)
	c.Assert(result.WriteSummary(t.Output()), qt.IsNil)
	c.Check(result.Violations, qt.HasLen, 0)
	c.Check(result.Answered > 0, qt.IsTrue)
	c.Check(result.Requests, qt.Equals, result.Answered+result.Refused+result.Failed+result.Unresolved)
}

// TestCancelledRequestsAreCharged guards against a caller that spends more than its budget by closing the connection
// before the last event of each answer, so that its requests are neither billed nor charged.
func TestCancelledRequestsAreCharged(t *testing.T) {
	c := qt.New(t)
	ctx := t.Context()
	standIns, err := startStandIns()
	c.Assert(err, qt.IsNil)
	defer standIns.close()
	s := &scenario{standIns: standIns, fleet: newFleet(standIns, nil)}
	defer s.shutDown()
	c.Assert(s.publish("olga", 0, publication{}), qt.IsNil)
	v, err := s.fleet.start("alone", eastDomain, 0, 1, nil)
	c.Assert(err, qt.IsNil)
	go s.fleet.monitor(ctx)
	c.Assert(s.fleet.awaitReady(ctx, v), qt.IsNil)
	l := newLoadGenerator(s.fleet, standIns.services)
	defer l.client.CloseIdleConnections()
	smallAccount := l.accounts[len(l.accounts)-1]
	// Each prompt has at least 250 and at most 1000 tokens, so that 48 of them exhaust the budget of 12,000.
	prompt := strings.Repeat("x", 1000)
	maxRequests := int(4 * smallAccount.firstTopUpTokens / 1000)
	for n := 0; ; {
		code := cancelAfterFirstEvent(ctx, c, l.client, v, smallAccount, fmt.Sprint("hung-", n), prompt)
		if code == codeBudgetExhausted {
			return
		}
		if code == "" {
			n++
		}
		c.Assert(n <= maxRequests, qt.IsTrue, qt.Commentf("%d requests of 250 tokens and more against a budget of %d", n, smallAccount.firstTopUpTokens))
	}
}

// cancelAfterFirstEvent reads the first event of a stream and cancels the request. It returns the error code of a
// refusal, or "".
func cancelAfterFirstEvent(ctx context.Context, c *qt.C, client *http.Client, v *vmProcess, a *teamAccount, key, prompt string) string {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	body := fmt.Sprintf(`{"model":%q,"prompt":"%s tokens=100","max_tokens":100,"stream":true}`, goodModel, prompt)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, v.callerURL+engine.RouteCompletions, strings.NewReader(body))
	c.Assert(err, qt.IsNil)
	req.Header.Set("Authorization", "Bearer "+a.apiKey())
	req.Header.Set("Idempotency-Key", key)
	resp, err := client.Do(req)
	c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errorCode(resp.Body)
	}
	_, err = bufio.NewReader(resp.Body).ReadString('\n')
	c.Assert(err, qt.IsNil)
	return ""
}
