// Package engine is the client of model engines: completions as streams of chunks, cancellation, load reports, cache
// events and orders. It never retries a request by itself. docs/engine-protocol.md describes the wire format.
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"ibiswinch/io/internal/roundtrip"
)

// Size limits of responses and sizes of connection buffers, in bytes.
const (
	maxReplyBytes  = 4 << 20
	maxEventBytes  = 256 << 10
	readBufferSize = 4 << 10
	// writeBufferSize is enough for the header of a request.
	writeBufferSize = 1 << 10
)

// Config holds the settings of a client.
type Config struct {
	Address netip.AddrPort
	// MaxIdleConns is the number of idle connections kept; 0 means 2.
	MaxIdleConns int
	// ReceiveBuffer is the size of the receive buffer of each socket in bytes; 0 means the system's default. If a
	// stream isn't read, the engine blocks once this buffer and its own send buffer are full. It should be at least
	// 32 KiB: with 4 KiB, less than a segment on loopback, each window update waits for a TCP timer.
	ReceiveBuffer int
}

// Client sends requests to one engine. It is safe for concurrent use. All deadlines come from the contexts.
type Client struct {
	base      string
	transport *http.Transport
}

// NewClient returns a client. It makes no connection yet.
func NewClient(cfg Config) *Client {
	return &Client{
		base: "http://" + cfg.Address.String(),
		transport: roundtrip.NewTransport(roundtrip.Options{
			MaxIdleConns:  cfg.MaxIdleConns,
			ReceiveBuffer: cfg.ReceiveBuffer,
			ReadBuffer:    readBufferSize,
			WriteBuffer:   writeBufferSize,
		}),
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Message is one message of a chat.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// Request is a completion request. It is a chat completion if Messages isn't empty.
type Request struct {
	Model string `json:"model"`
	// Version is empty for the lowest loaded version of the model.
	Version  string    `json:"version,omitempty"`
	Prompt   string    `json:"-"`
	Messages []Message `json:"messages,omitempty"`
	// MaxTokens limits the tokens of this answer, not counting Prefix. It is at least 1.
	MaxTokens int `json:"max_tokens"`
	// RequestID identifies the request for Cancel.
	RequestID string `json:"request_id"`
	// Priority orders waiting requests, the lowest value first.
	Priority int `json:"priority,omitempty"`
	// Prefix is the text that an earlier run of the request has produced. The answer continues after it.
	Prefix string `json:"prefix,omitempty"`
	// Params are further members of the body, such as temperature. Members that the other fields set take precedence.
	Params map[string]json.RawMessage `json:"-"`
}

// wireRequest is the JSON body of a completion request; it adds the members that the client sets by itself.
type wireRequest struct {
	Request
	Prompt        *string       `json:"prompt,omitempty"`
	Stream        bool          `json:"stream"`
	StreamOptions streamOptions `json:"stream_options"`
}

// encode returns the JSON body, with those of Params that no field of the request sets.
func (w wireRequest) encode() ([]byte, error) {
	body, err := json.Marshal(w)
	if err != nil || len(w.Params) == 0 {
		return body, err
	}
	var members map[string]json.RawMessage
	if err := json.Unmarshal(body, &members); err != nil {
		return nil, err
	}
	for name, value := range w.Params {
		if _, known := members[name]; !known {
			members[name] = value
		}
	}
	return json.Marshal(members)
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

func (r Request) path() string {
	if len(r.Messages) > 0 {
		return "/v1/chat/completions"
	}
	return "/v1/completions"
}

// Complete starts a completion and returns its stream once the engine has sent the response header. The end of ctx also
// ends the stream. ErrNotRun and a *RefusedError of which NotRun is true guarantee that the request did not run.
func (c *Client) Complete(ctx context.Context, r Request) (*Stream, error) {
	wire := wireRequest{Request: r, Stream: true, StreamOptions: streamOptions{IncludeUsage: true}}
	if len(r.Messages) == 0 {
		wire.Prompt = &r.Prompt
	}
	body, err := wire.encode()
	if err != nil {
		return nil, eris.Wrapf(ErrNotRun, "encode request: %v", err)
	}
	resp, err := c.do(ctx, http.MethodPost, r.path(), body)
	if err != nil {
		return nil, err
	}
	return newStream(ctx, resp), nil
}

type cancelRequest struct {
	RequestID string `json:"request_id"`
}

type cancelReply struct {
	Cancelled int `json:"cancelled"`
}

// Validate checks the count.
func (r cancelReply) Validate() error {
	if r.Cancelled < 0 {
		return eris.New("negative count")
	}
	return nil
}

// Cancel cancels the requests with an ID and returns how many there were.
func (c *Client) Cancel(ctx context.Context, requestID string) (int, error) {
	reply, err := call[cancelReply](ctx, c, http.MethodPost, "/v1/cancel", cancelRequest{RequestID: requestID})
	return reply.Cancelled, err
}

// LoadReport returns the load report, which may be out of date.
func (c *Client) LoadReport(ctx context.Context) (LoadReport, error) {
	return call[LoadReport](ctx, c, http.MethodGet, "/v1/load", nil)
}

// CacheEvents returns the cache events from a sequence number on. If there is none, it waits for one, for at most wait.
func (c *Client) CacheEvents(ctx context.Context, from uint64, wait time.Duration) (CacheEventPage, error) {
	query := url.Values{
		"from":   {strconv.FormatUint(from, 10)},
		"waitMs": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	return call[CacheEventPage](ctx, c, http.MethodGet, "/v1/events?"+query.Encode(), nil)
}

// Order sends an order and returns the engine's state after it. ErrStaleFence means that the engine has seen a higher
// fencing number.
func (c *Client) Order(ctx context.Context, order Order) (State, error) {
	return call[State](ctx, c, http.MethodPost, "/v1/orders", order)
}

// State returns the engine's state, with the versions and adapters that it has loaded.
func (c *Client) State(ctx context.Context) (State, error) {
	return call[State](ctx, c, http.MethodGet, "/v1/state", nil)
}

// call sends a request, with a JSON body unless body is nil, and decodes the JSON body of the response.
func call[T roundtrip.Validator](ctx context.Context, c *Client, method, path string, body any) (T, error) {
	var value T
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return value, eris.Wrapf(ErrNotRun, "encode request: %v", err)
		}
	}
	resp, err := c.do(ctx, method, path, data)
	if err != nil {
		return value, err
	}
	value, err = roundtrip.Decode[T](resp, maxReplyBytes)
	switch {
	case eris.Is(err, roundtrip.ErrInvalidContent):
		return value, eris.Wrapf(ErrInvalidResponse, "%v", err)
	case err != nil:
		return value, eris.Wrapf(ErrInterrupted, "%v", err)
	}
	return value, nil
}

// do sends a request and returns the response if its status is 200, and an error otherwise.
func (c *Client) do(ctx context.Context, method, path string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrapf(ErrNotRun, "build request: %v", err)
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, sent, err := roundtrip.Do(c.transport, req)
	switch {
	case err != nil && !sent:
		return nil, eris.Wrapf(ErrNotRun, "%v", err)
	case err != nil && ctx.Err() != nil:
		return nil, eris.Wrapf(ErrCancelled, "%v", err)
	case err != nil:
		return nil, eris.Wrapf(ErrInterrupted, "%v", err)
	case resp.StatusCode == http.StatusOK:
		return resp, nil
	}
	return nil, newRefusedError(resp)
}
