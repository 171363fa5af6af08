package openai_test

import (
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"ibiswinch/core/refusal"
	"ibiswinch/io/openai"
)

// TestExecutionOfKeyedOrders guards against an answer "not-run" from code that doesn't know the claims of the key: an
// earlier request with the key may have run, and the caller would send the order again under another key.
func TestExecutionOfKeyedOrders(t *testing.T) {
	c := qt.New(t)
	draining := refusal.New(refusal.Draining, "stopping")
	order := testRequest{method: "POST", path: "/services/shop/orders", key: goodKey, idempotency: "order-1", body: "{}"}
	with := func(change func(b *testRequest)) testRequest {
		b := order
		change(&b)
		return b
	}
	for _, test := range []struct {
		request   testRequest
		accepting *refusal.Error
		service   error
		want      string
	}{
		{request: order, accepting: draining, want: "unknown"},
		{request: with(func(b *testRequest) { b.key = "bad-key" }), want: "unknown"},
		{request: with(func(b *testRequest) { b.body = string(make([]byte, maxBody+1)) }), want: "unknown"},
		{request: with(func(b *testRequest) { b.path = "/services/" }), want: "unknown"},
		{request: with(func(b *testRequest) { b.path = "/services/shop/" + strings.Repeat("p", 2048) }), want: "unknown"},
		{request: order, service: refusal.New(refusal.UnknownService, "no"), want: "unknown"},
		{request: order, service: refusal.New(refusal.MemoryFull, "no"), want: "unknown"},
		{request: order, service: refusal.New(refusal.OrderUnconfirmed, "withdrawn"), want: "not-run"},
		{request: with(func(b *testRequest) { b.path = "/services/shop/" }), service: refusal.New(refusal.OrderUnconfirmed, "no"), want: "not-run"},
		{request: order, service: refusal.New(refusal.IdempotencyKeyConflict, "other order"), want: "not-run"},
		{request: order, service: refusal.New(refusal.ServerFailed, "no").WithExecution(refusal.Ran), want: "ran"},
		{request: with(func(b *testRequest) { b.idempotency = "" }), accepting: draining, want: "not-run"},
		{request: with(func(b *testRequest) { b.path, b.body = textPath, goodBody }), accepting: draining, want: "not-run"},
	} {
		g := &fakeGateway{accepting: test.accepting, service: func(*openai.ServiceCall) (*openai.ServiceAnswer, error) {
			return nil, test.service
		}}
		resp := send(c, startServer(c, g, nil), test.request.raw())
		c.Check(resp.header.Get(openai.HeaderExecution), qt.Equals, test.want, qt.Commentf("%v %v: %s", test.accepting, test.service, resp.body))
	}
}

// TestBodyOmitted guards against a replayed answer whose body was not recorded and that the caller can't tell from an
// answer with an empty body.
func TestBodyOmitted(t *testing.T) {
	c := qt.New(t)
	g := &fakeGateway{service: func(*openai.ServiceCall) (*openai.ServiceAnswer, error) {
		return &openai.ServiceAnswer{Status: 201, Replayed: true, BodyOmitted: true}, nil
	}}
	resp := send(c, startServer(c, g, nil), testRequest{method: "POST", path: "/services/shop/orders", key: goodKey, idempotency: "k"}.raw())
	c.Assert(resp.status, qt.Equals, 201)
	c.Assert(resp.header.Get("Ibiswinch-Body-Omitted"), qt.Equals, "true")
	c.Assert(resp.header.Get("Ibiswinch-Replayed"), qt.Equals, "true")
}
