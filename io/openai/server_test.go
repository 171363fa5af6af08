package openai_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ibiswinch/core/refusal"
	"ibiswinch/io/openai"
)

// fakeGateway counts the calls of Complete and Service.
type fakeGateway struct {
	calls     atomic.Int64
	accepting *refusal.Error
	complete  func(ctx context.Context, out openai.AnswerWriter) error
	service   func(call *openai.ServiceCall) (*openai.ServiceAnswer, error)
}

func (g *fakeGateway) CheckReady() *refusal.Error     { return g.accepting }
func (g *fakeGateway) CheckAccepting() *refusal.Error { return g.accepting }

func (g *fakeGateway) Authenticate(key string) (openai.Team, bool) {
	return openai.Team{Name: "nada"}, key == "good-key"
}

func (g *fakeGateway) Models(openai.Team) []string { return []string{"small"} }

func (g *fakeGateway) Complete(ctx context.Context, _ openai.Team, _ *openai.CompletionRequest, out openai.AnswerWriter) error {
	g.calls.Add(1)
	return g.complete(ctx, out)
}

func (g *fakeGateway) Service(_ context.Context, _ openai.Team, call *openai.ServiceCall) (*openai.ServiceAnswer, error) {
	g.calls.Add(1)
	return g.service(call)
}

const (
	maxBody = 4096
	// shortTimeout ends the slow requests of the tests; no result depends on its length.
	shortTimeout = 100 * time.Millisecond
)

// startServer starts a server and returns its address.
func startServer(c *qt.C, g *fakeGateway, refused func(refusal.Reason)) string {
	s, err := openai.NewServer(openai.Config{
		Gateway: g, Now: time.Now, MaxBodyBytes: func() int64 { return maxBody }, BodyTimeout: shortTimeout,
		StallTimeout: time.Minute, OnRefused: refused,
	})
	c.Assert(err, qt.IsNil)
	server := httptest.NewUnstartedServer(s)
	server.Config.ReadHeaderTimeout = shortTimeout
	server.Start()
	c.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// testRequest is a request and, for one that is refused, the expected error response.
type testRequest struct {
	name, method, path, body, key, idempotency string
	header                                     string
	status                                     int
	code                                       string
}

func (b testRequest) raw() string {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n", b.method, b.path, len(b.body))
	if b.key != "" {
		text += "Authorization: Bearer " + b.key + "\r\n"
	}
	if b.idempotency != "" {
		text += "Idempotency-Key: " + b.idempotency + "\r\n"
	}
	return text + b.header + "\r\n" + b.body
}

const (
	chatPath = "/v1/chat/completions"
	textPath = "/v1/completions"
	goodKey  = "good-key"
	goodBody = `{"model":"small","prompt":"hello","max_tokens":5}`
)

var invalidRequests = []testRequest{
	{name: "no JSON", body: "hello", status: 400, code: "bad_request"},
	{name: "cut JSON", body: `{"model":"small"`, status: 400, code: "bad_request"},
	{name: "JSON list", body: `[]`, status: 400, code: "bad_request"},
	{name: "null", body: `null`, status: 400, code: "bad_request"},
	{name: "empty body", status: 400, code: "bad_request"},
	{name: "wrong type of model", body: `{"model":1,"prompt":"a"}`, status: 400, code: "bad_request"},
	{name: "wrong type of stream", body: `{"model":"small","prompt":"a","stream":"yes"}`, status: 400, code: "bad_request"},
	{name: "wrong type of prompt", body: `{"model":"small","prompt":["a"]}`, status: 400, code: "bad_request"},
	{name: "max_tokens out of range", body: `{"model":"small","prompt":"a","max_tokens":1e30}`, status: 400, code: "bad_request"},
	{name: "max_tokens below 1", body: `{"model":"small","prompt":"a","max_tokens":-1}`, status: 400, code: "bad_request"},
	{name: "no model", body: `{"prompt":"a"}`, status: 400, code: "bad_request"},
	{name: "n", body: `{"model":"small","prompt":"a","n":2}`, status: 400, code: "bad_request"},
	{name: "tools", path: chatPath, body: `{"model":"small","messages":[{"role":"user","content":"a"}],"tools":[{}]}`, status: 400, code: "bad_request"},
	{name: "other case", body: `{"model":"small","prompt":"a","Prefix":"b"}`, status: 400, code: "bad_request"},
	{name: "no messages", path: chatPath, body: `{"model":"small","messages":[]}`, status: 400, code: "bad_request"},
	{name: "no role", path: chatPath, body: `{"model":"small","messages":[{"content":"a"}]}`, status: 400, code: "bad_request"},
	{name: "image", path: chatPath, body: `{"model":"small","messages":[{"role":"user","content":[{"type":"image_url"}]}]}`, status: 400, code: "bad_request"},
	{name: "invalid UTF-8", body: "{\"model\":\"small\",\"prompt\":\"\xff\xfe\"}", status: 400, code: "bad_request"},
	{name: "large body", body: strings.Repeat("a", maxBody+1), status: 413, code: "request_too_large"},
	{name: "large header", header: "X-Large: " + strings.Repeat("a", 33<<10) + "\r\n", body: goodBody, status: 431, code: "header_too_large"},
	{name: "long key", idempotency: strings.Repeat("k", 129), body: goodBody, status: 400, code: "bad_request"},
	{name: "key not ASCII", idempotency: "k\xff", body: goodBody, status: 400, code: "bad_request"},
	{name: "unknown route", path: "/v1/embeddings", body: goodBody, status: 404, code: "route_not_found"},
	{name: "wrong method", method: "DELETE", body: goodBody, status: 405, code: "method_not_allowed"},
	{name: "unknown model", method: "GET", path: "/v1/models/large", status: 404, code: "model_not_found"},
	{name: "no key", key: "none", body: goodBody, status: 401, code: "invalid_api_key"},
	{name: "wrong key", key: "bad-key", body: goodBody, status: 401, code: "invalid_api_key"},
	{name: "long path", path: "/services/shop/" + strings.Repeat("p", 2048), status: 400, code: "bad_request"},
	{name: "slow body", header: "Content-Length: 100\r\n", status: 408, code: "body_timeout"},
}

// TestBadInput guards against invalid requests that get no clear error response or reach the gateway.
func TestBadInput(t *testing.T) {
	c := qt.New(t)
	g := &fakeGateway{}
	addr := startServer(c, g, nil)
	for _, b := range invalidRequests {
		if b.method == "" {
			b.method = http.MethodPost
		}
		if b.path == "" {
			b.path = textPath
		}
		switch b.key {
		case "":
			b.key = goodKey
		case "none":
			b.key = ""
		}
		request := b.raw()
		if b.name == "slow body" {
			request = strings.Replace(request, "Content-Length: 0\r\n", "", 1)
		}
		resp := send(c, addr, request)
		c.Assert(resp.status, qt.Equals, b.status, qt.Commentf("%s: %s", b.name, resp.body))
		c.Assert(resp.code, qt.Equals, b.code, qt.Commentf(b.name))
		c.Assert(resp.message, qt.Not(qt.Equals), "", qt.Commentf(b.name))
		c.Assert(resp.errorType, qt.Equals, "invalid_request_error", qt.Commentf(b.name))
		c.Assert(resp.header.Get(openai.HeaderExecution), qt.Equals, "not-run", qt.Commentf(b.name))
	}
	c.Assert(g.calls.Load(), qt.Equals, int64(0))
}

type response struct {
	status                   int
	header                   http.Header
	body                     []byte
	code, errorType, message string
}

// send writes the bytes of a request and reads the response.
func send(c *qt.C, addr, request string) response {
	conn, err := net.Dial("tcp", addr)
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	_, err = io.WriteString(conn, request)
	c.Assert(err, qt.IsNil)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	c.Assert(err, qt.IsNil)
	var envelope struct {
		Error struct{ Code, Type, Message string }
	}
	_ = json.Unmarshal(data, &envelope)
	e := envelope.Error
	return response{status: resp.StatusCode, header: resp.Header, body: data, code: e.Code, errorType: e.Type, message: e.Message}
}

// TestRetryAfter guards against a refusal without the time to retry or without the statement that the request did not
// run.
func TestRetryAfter(t *testing.T) {
	c := qt.New(t)
	for reason, status := range map[refusal.Reason]int{
		refusal.BudgetExhausted: 429, refusal.BudgetUnavailable: 503, refusal.NoCapacity: 503, refusal.MemoryFull: 503,
	} {
		g := &fakeGateway{complete: func(context.Context, openai.AnswerWriter) error { return refusal.New(reason, "no") }}
		resp := send(c, startServer(c, g, nil), testRequest{method: "POST", path: textPath, key: goodKey, body: goodBody}.raw())
		c.Check(resp.status, qt.Equals, status)
		c.Check(resp.header.Get("Retry-After"), qt.Equals, "1")
		c.Check(resp.header.Get(openai.HeaderExecution), qt.Equals, "not-run")
	}
}

// TestSlowHeader guards against connections that stay open although the caller never completes the header.
func TestSlowHeader(t *testing.T) {
	c := qt.New(t)
	g := &fakeGateway{}
	conn, err := net.Dial("tcp", startServer(c, g, nil))
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	_, err = io.WriteString(conn, "POST /v1/completions HTTP/1.1\r\nHost: x\r\n")
	c.Assert(err, qt.IsNil)
	// The read ends because the server closes the connection.
	_, err = io.ReadAll(conn)
	c.Assert(err, qt.IsNil)
	c.Assert(g.calls.Load(), qt.Equals, int64(0))
}

// TestCutBody guards against a truncated body that is handled as a complete request.
func TestCutBody(t *testing.T) {
	c := qt.New(t)
	g := &fakeGateway{}
	reasons := make(chan refusal.Reason, 1)
	conn, err := net.Dial("tcp", startServer(c, g, func(r refusal.Reason) { reasons <- r }))
	c.Assert(err, qt.IsNil)
	b := testRequest{method: "POST", path: textPath, key: goodKey, body: goodBody}
	_, err = io.WriteString(conn, strings.TrimSuffix(b.raw(), "}"))
	c.Assert(err, qt.IsNil)
	conn.Close()
	c.Assert(<-reasons, qt.Equals, refusal.CallerGone)
	c.Assert(g.calls.Load(), qt.Equals, int64(0))
}

// TestCutStream guards against a completion that goes on after the caller has closed the connection.
func TestCutStream(t *testing.T) {
	c := qt.New(t)
	ended := make(chan error, 1)
	g := &fakeGateway{complete: func(ctx context.Context, out openai.AnswerWriter) error {
		_ = out.WriteText([]byte("a"))
		<-ctx.Done()
		ended <- ctx.Err()
		return ctx.Err()
	}}
	conn, err := net.Dial("tcp", startServer(c, g, nil))
	c.Assert(err, qt.IsNil)
	b := testRequest{method: "POST", path: textPath, key: goodKey, body: strings.Replace(goodBody, "{", `{"stream":true,`, 1)}
	_, err = io.WriteString(conn, b.raw())
	c.Assert(err, qt.IsNil)
	_, err = conn.Read(make([]byte, 1))
	c.Assert(err, qt.IsNil)
	conn.Close()
	c.Assert(<-ended, qt.ErrorIs, context.Canceled)
}

// TestPanic guards against a panic that ends other requests, shows its value to the caller, or ends a stream as if it
// were complete.
func TestPanic(t *testing.T) {
	c := qt.New(t)
	g := &fakeGateway{
		complete: func(_ context.Context, out openai.AnswerWriter) error {
			_ = out.WriteText([]byte("a"))
			panic("inner value")
		},
		service: func(*openai.ServiceCall) (*openai.ServiceAnswer, error) { panic("inner value") },
	}
	addr := startServer(c, g, nil)
	for _, b := range []testRequest{
		{method: "POST", path: textPath, key: goodKey, body: goodBody},
		{method: "GET", path: "/services/shop/a", key: goodKey},
	} {
		resp := send(c, addr, b.raw())
		c.Check(resp.status, qt.Equals, http.StatusBadGateway)
		c.Check(resp.code, qt.Equals, "backend_failed")
		c.Check(resp.header.Get(openai.HeaderExecution), qt.Equals, "unknown")
		c.Check(string(resp.body), qt.Not(qt.Contains), "inner value")
	}
	b := testRequest{method: "POST", path: textPath, key: goodKey, body: strings.Replace(goodBody, "{", `{"stream":true,`, 1)}
	resp := send(c, addr, b.raw())
	c.Check(resp.status, qt.Equals, http.StatusOK)
	c.Check(string(resp.body), qt.Contains, `data: {"error":{"message":"internal error"`)
	c.Check(string(resp.body), qt.Not(qt.Contains), "[DONE]")
}
