// Package service is the client of plain services. It forwards a request without changing its path or body, never
// retries it, and distinguishes a request that can't have run from one whose outcome is unknown.
package service

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"net/url"

	"github.com/rotisserie/eris"

	"ibiswinch/core/memory"
	"ibiswinch/io/inbound"
	"ibiswinch/io/internal/roundtrip"
)

// Defaults of Config, in bytes.
const (
	DefaultMaxRequestBytes  = 1 << 20
	DefaultMaxResponseBytes = 1 << 20
)

// Errors of the client. They are compared with eris.Is. Any response of the service, whatever its status, is a Response
// and not an error.
var (
	// ErrNotRun means that the service can't have read the request: there was no connection, or it closed before the
	// request header was written.
	ErrNotRun = eris.New("service did not receive the request")
	// ErrOutcomeUnknown means that the request was sent and no complete response arrived. It may have run, or may run
	// later.
	ErrOutcomeUnknown = eris.New("fate of the request is unknown")
	// ErrInvalidRequest means that the request has a method, path or body that is not forwarded. It has not run.
	ErrInvalidRequest = eris.New("request can't be forwarded")
	// ErrTooLarge means that the body of the response exceeds the limit. The request has run.
	ErrTooLarge = eris.New("answer of the service is over the size limit")
	// ErrNotHeld means that the body of the response may not be held. The request has run.
	ErrNotHeld = eris.New("answer of the service can't be held")
)

// requestHeaders and responseHeaders are forwarded; all other headers are dropped. Callers' credentials are for the
// entry VM and must not reach services.
var (
	requestHeaders = []string{
		"Accept", "Accept-Language", "Content-Type", "Idempotency-Key", "If-Match", "If-None-Match", "Traceparent",
		"Tracestate", "User-Agent",
	}
	responseHeaders = []string{
		"Cache-Control", "Content-Language", "Content-Type", "Etag", "Last-Modified", "Location", "Retry-After",
	}
)

// Config holds the settings of a client.
type Config struct {
	Address netip.AddrPort
	// MaxIdleConns is the number of idle connections kept; 0 means 2.
	MaxIdleConns int
	// ReceiveBuffer is the size of a socket's receive buffer in bytes; 0 means the system's default.
	ReceiveBuffer int
	// MaxRequestBytes and MaxResponseBytes limit the bodies; 0 means the default.
	MaxRequestBytes  int
	MaxResponseBytes int64
}

// Client sends requests to one plain service. It is safe for concurrent use. All deadlines come from the contexts.
type Client struct {
	cfg       Config
	transport *http.Transport
}

// NewClient returns a client. It makes no connection yet.
func NewClient(cfg Config) *Client {
	if cfg.MaxRequestBytes == 0 {
		cfg.MaxRequestBytes = DefaultMaxRequestBytes
	}
	if cfg.MaxResponseBytes == 0 {
		cfg.MaxResponseBytes = DefaultMaxResponseBytes
	}
	transport := roundtrip.NewTransport(roundtrip.Options{MaxIdleConns: cfg.MaxIdleConns, ReceiveBuffer: cfg.ReceiveBuffer})
	return &Client{cfg: cfg, transport: transport}
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Request is a request to forward.
type Request struct {
	Method string
	// Path is the path with its query, as sent to the service.
	Path   string
	Header http.Header
	Body   []byte
	// Holding counts the body of the response; without it nothing does.
	Holding inbound.Holding
}

// Response is the response of the service.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Draining is true if the service is about to stop.
	Draining bool
}

// Do forwards a request.
func (c *Client) Do(ctx context.Context, r Request) (Response, error) {
	req, err := c.buildRequest(ctx, r)
	if err != nil {
		return Response{}, err
	}
	resp, sent, err := roundtrip.Do(c.transport, req)
	switch {
	case err != nil && !sent:
		return Response{}, eris.Wrapf(ErrNotRun, "%v", err)
	case err != nil:
		return Response{}, eris.Wrapf(ErrOutcomeUnknown, "%v", err)
	}
	return c.readResponse(r, resp)
}

func (c *Client) buildRequest(ctx context.Context, r Request) (*http.Request, error) {
	switch r.Method {
	case http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete,
		http.MethodOptions:
	default:
		return nil, eris.Wrapf(ErrInvalidRequest, "method %q", r.Method)
	}
	if len(r.Body) > c.cfg.MaxRequestBytes {
		return nil, eris.Wrapf(ErrInvalidRequest, "body of %d bytes", len(r.Body))
	}
	target, err := url.ParseRequestURI(r.Path)
	if err != nil || target.Scheme != "" || target.Host != "" {
		return nil, eris.Wrapf(ErrInvalidRequest, "path %q", r.Path)
	}
	target.Scheme = "http"
	target.Host = c.cfg.Address.String()
	req := &http.Request{
		Method:        r.Method,
		URL:           target,
		Header:        selectHeaders(r.Header, requestHeaders),
		Body:          io.NopCloser(bytes.NewReader(r.Body)),
		ContentLength: int64(len(r.Body)),
	}
	if req.Header.Get("User-Agent") == "" {
		// An empty value prevents net/http from adding its own User-Agent.
		req.Header.Set("User-Agent", "")
	}
	return req.WithContext(ctx), nil
}

func (c *Client) readResponse(r Request, resp *http.Response) (Response, error) {
	response := Response{
		Status:   resp.StatusCode,
		Header:   selectHeaders(resp.Header, responseHeaders),
		Draining: resp.Header.Get("Service-Draining") == "true",
	}
	if r.Method == http.MethodHead {
		// There is no body; Content-Length is that of the response to GET.
		resp.Body.Close()
		return response, nil
	}
	defer resp.Body.Close()
	holding := r.Holding
	if holding == nil {
		holding = memory.NewLimiter(0).NewHolding()
	}
	body := inbound.Buffer{Holding: holding, Expected: min(resp.ContentLength, c.cfg.MaxResponseBytes)}
	err := body.ReadAll(resp.Body, c.cfg.MaxResponseBytes)
	switch {
	case errors.Is(err, memory.ErrFull):
		return Response{}, ErrNotHeld
	case errors.Is(err, inbound.ErrTooLarge):
		return Response{}, eris.Wrapf(ErrTooLarge, "limit is %d bytes", c.cfg.MaxResponseBytes)
	case err != nil:
		return Response{}, eris.Wrapf(ErrOutcomeUnknown, "read answer: %v", err)
	}
	response.Body = body.Bytes
	return response, nil
}

func selectHeaders(from http.Header, names []string) http.Header {
	selected := make(http.Header, len(names))
	for _, name := range names {
		if values := from[name]; len(values) > 0 {
			selected[name] = values
		}
	}
	return selected
}
