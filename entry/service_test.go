package entry_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"ibiswinch/core/refusal"
	"ibiswinch/core/retry"
	"ibiswinch/io/openai"
	"ibiswinch/standin/service"
)

// serviceAnswer is what a caller of the service "shop" gets.
type serviceAnswer struct {
	status    int
	execution refusal.Execution
	body      string
}

// call sends a call to the service "shop".
func (n *testVM) call(method, path, key string) serviceAnswer {
	req, err := http.NewRequest(method, "http://"+n.callers+"/services/shop"+path, strings.NewReader(""))
	qt.Assert(n.tb, err, qt.IsNil)
	req.Header.Set("Authorization", "Bearer "+teamKey)
	if key != "" {
		req.Header.Set(openai.HeaderIdempotencyKey, key)
	}
	return n.send(req)
}

// send sends a request. The status is 0 if there is no answer.
func (n *testVM) send(req *http.Request) serviceAnswer {
	resp, err := n.client.Do(req)
	if err != nil {
		return serviceAnswer{body: err.Error()}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return serviceAnswer{body: err.Error()}
	}
	return serviceAnswer{status: resp.StatusCode, execution: refusal.Execution(resp.Header.Get(openai.HeaderExecution)), body: string(body)}
}

// TestTimeoutIsReportedAsNotRun guards against a caller who is told that a call has not run, though the server got it and
// only its answer did not come in time.
func TestTimeoutIsReportedAsNotRun(t *testing.T) {
	c := qt.New(t)
	n := startVM(t, testVMConfig{services: 1, rules: "[service \"shop\"]\ntimeout = 200ms\n"})
	c.Assert(n.services[0].SetFaults(service.Faults{HangAfter: 1}), qt.IsNil)
	a := n.call(http.MethodGet, "/items", "")
	c.Assert(a.status, qt.Equals, http.StatusGatewayTimeout)
	c.Assert(n.services[0].Stats().LookUps, qt.Equals, uint64(1))
	c.Assert(a.execution, qt.Equals, refusal.Unknown)
}

// shopRules are the rules of the service "shop" with a timeout that no sound test reaches.
const shopRules = "[service \"shop\"]\ntimeout = 30s\n"

// TestCallIsRefusedAfterOneFailure guards against an idempotent call that is refused after a sound server has closed its
// connection once, because the server counts as tried and there is no other, or the other is down.
func TestCallIsRefusedAfterOneFailure(t *testing.T) {
	for _, servers := range []int{1, 2} {
		c := qt.New(t)
		n := startVM(t, testVMConfig{services: servers, rules: shopRules})
		for _, s := range n.services[1:] {
			s.Down()
		}
		c.Assert(n.services[0].SetFaults(service.Faults{CutAfter: 1}), qt.IsNil)
		a := n.call(http.MethodGet, "/items", "")
		c.Assert(a.status, qt.Equals, http.StatusOK, qt.Commentf("%d servers: %s", servers, a.body))
		c.Assert(n.services[0].Stats().LookUps, qt.Equals, uint64(2))
	}
}

// TestRefusalHidesServerState guards against a refusal that says that a service has no server, and not when to come back,
// while its only server recovers from failures.
func TestRefusalHidesServerState(t *testing.T) {
	c := qt.New(t)
	n := startVM(t, testVMConfig{services: 1, rules: shopRules})
	n.services[0].Down()
	refused := n.call(http.MethodGet, "/items", "")
	for range 3 {
		refused = n.call(http.MethodGet, "/items", "")
	}
	c.Assert(refused.status, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(refused.execution, qt.Equals, refusal.NotRun)
	c.Assert(refused.body, qt.Contains, "unhealthy")
}

// TestCallsUseUpRetries guards against an entry VM that never repeats a failed call again, because calls to services use
// the retry budget up without adding to it.
func TestCallsUseUpRetries(t *testing.T) {
	c := qt.New(t)
	n := startVM(t, testVMConfig{services: 1, rules: shopRules})
	for i := range retry.DefaultBurst + 10 {
		c.Assert(n.services[0].SetFaults(service.Faults{CutAfter: 1}), qt.IsNil)
		a := n.call(http.MethodGet, "/items", "")
		c.Assert(a.status, qt.Equals, http.StatusOK, qt.Commentf("call %d: %s", i, a.body))
	}
}

// TestOrdersAreRememberedWithoutBound guards against orders of ever new keys that fill the memory, and against a bound that refuses the
// repeat of a remembered order or promises that a refused one hasn't run.
func TestOrdersAreRememberedWithoutBound(t *testing.T) {
	const maxOrders = 3
	c := qt.New(t)
	n := startVM(t, testVMConfig{services: 1, maxOrders: maxOrders, rules: "[service \"shop\"]\nnotIdempotent = POST /orders\n"})
	for i := range maxOrders {
		a := n.call(http.MethodPost, "/orders", fmt.Sprint("key", i))
		c.Assert(a.status, qt.Equals, http.StatusOK, qt.Commentf("%s", a.body))
	}
	a := n.call(http.MethodPost, "/orders", "another")
	c.Assert(a.status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("%s", a.body))
	c.Assert(a.execution, qt.Equals, refusal.Unknown)
	c.Assert(n.call(http.MethodPost, "/orders", "key0").status, qt.Equals, http.StatusOK)
	c.Assert(n.services[0].Stats().Orders, qt.Equals, uint64(maxOrders))
}
