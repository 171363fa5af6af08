package entry_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ibiswinch/core/refusal"
	"ibiswinch/standin/engine"
	"ibiswinch/standin/service"
)

// TestStopEndsRequestsWithoutAnswer guards against open requests whose connections are closed without an answer when a planned
// stop has waited for them as long as it may.
func TestStopEndsRequestsWithoutAnswer(t *testing.T) {
	c := qt.New(t)
	const tokens, sentTokens = 10, 5
	n := startVM(t, testVMConfig{
		services: 1, rules: "[service \"shop\"]\ntimeout = 60s\n", drainTimeout: 100 * time.Millisecond,
	})
	c.Assert(n.services[0].SetFaults(service.Faults{HangAfter: 2}), qt.IsNil)
	setRules(c, n.engine, engine.Rule{Action: engine.ActionFreeze, AfterTokens: sentTokens})
	started := n.engine.Runs("").Totals.Started
	answers := make(chan serviceAnswer, 3)
	go func() { answers <- n.call(http.MethodGet, "/items", "") }()
	go func() { answers <- n.call(http.MethodPost, "/orders", "key") }()
	whole := strings.Replace(request("whole", tokens), `"stream":true,"stream_options":{"include_usage":true}`, `"stream":false`, 1)
	req, err := http.NewRequest(http.MethodPost, "http://"+n.callers+"/v1/completions", strings.NewReader(whole))
	c.Assert(err, qt.IsNil)
	req.Header.Set("Authorization", "Bearer "+teamKey)
	go func() { answers <- n.send(req) }()
	stream := n.post(n.callers, "", request("stream", tokens))
	defer stream.Body.Close()
	n.await("all requests run", func() bool {
		s := n.services[0].Stats()
		return s.LookUps == 1 && s.Orders == 1 && n.engine.Runs("").Totals.Started >= started+2
	})
	n.stop()
	raw, err := io.ReadAll(stream.Body)
	c.Check(err, qt.IsNil)
	c.Check(string(raw), qt.Contains, `data: {"error":`)
	for range cap(answers) {
		a := <-answers
		c.Check(a.execution, qt.Equals, refusal.Unknown, qt.Commentf("%d %s", a.status, a.body))
	}
}

// TestStopWaitsForUnfinishedRequests guards against a planned stop that waits, at one listener after the other, for requests that never
// arrive wholly.
func TestStopWaitsForUnfinishedRequests(t *testing.T) {
	c := qt.New(t)
	n := startVM(t, testVMConfig{drainTimeout: 100 * time.Millisecond})
	for _, address := range []string{n.callers, n.peers, n.operators} {
		for _, text := range []string{"", "POST / HTTP/1.1\r\nHost: h\r\n", "POST /v1/completions HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n{"} {
			conn, err := net.Dial("tcp", address)
			c.Assert(err, qt.IsNil)
			defer conn.Close()
			_, err = io.WriteString(conn, strings.Replace(text, "\r\n\r\n", "\r\nAuthorization: Bearer "+teamKey+"\r\n\r\n", 1))
			c.Assert(err, qt.IsNil)
		}
	}
	start := time.Now()
	n.stop()
	<-n.ended
	// At one listener after the other it was 6 s and more.
	c.Assert(time.Since(start) < 5*time.Second, qt.IsTrue, qt.Commentf("%s", time.Since(start)))
}

// TestStopCutsAnswer guards against a planned stop that cuts an answer of a service though its caller reads it in time.
func TestStopCutsAnswer(t *testing.T) {
	const (
		bodyBytes = 900 << 10
		// pause is longer than what a stop has for answers once it has given their requests up.
		pause = 3 * time.Second
	)
	c := qt.New(t)
	n := startVM(t, testVMConfig{services: 1, drainTimeout: awaitTimeout, rules: "[service \"shop\"]\nnotIdempotent = POST /orders\n"})
	req, err := http.NewRequest(http.MethodPost, "http://"+n.callers+"/services/shop/orders", strings.NewReader(strings.Repeat("a", bodyBytes)))
	c.Assert(err, qt.IsNil)
	req.Header.Set("Authorization", "Bearer "+teamKey)
	req.Header.Set("Idempotency-Key", "key")
	resp, err := n.client.Do(req)
	c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	n.stop()
	time.Sleep(pause)
	body, err := io.ReadAll(resp.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(len(body) > bodyBytes, qt.IsTrue, qt.Commentf("%d bytes", len(body)))
}
