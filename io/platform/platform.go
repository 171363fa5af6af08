// Package platform is the client of the platform: its log, its lists of VMs and servers, and its store of model
// weights. It never retries a request by itself. docs/platform-protocol.md describes the wire format.
package platform

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

// Size limits of response bodies, in bytes. A page holds at most 4 MiB and one more entry of at most 1 MiB, plus
// offsets.
const (
	maxPageBytes  = 8 << 20
	maxListBytes  = 4 << 20
	maxReplyBytes = 64 << 10
)

// maxIdleConns is enough for one long poll per stream, the appends and the reads of the lists.
const maxIdleConns = 16

// receiveBuffer is the size of the receive buffer of a socket in bytes.
const receiveBuffer = 64 << 10

// Config holds the settings of a client.
type Config struct {
	Address netip.AddrPort
}

// Client sends requests to the platform. It is safe for concurrent use. All deadlines come from the contexts.
type Client struct {
	base      string
	transport *http.Transport
}

// NewClient returns a client. It makes no connection yet.
func NewClient(cfg Config) *Client {
	return &Client{
		base:      "http://" + cfg.Address.String(),
		transport: roundtrip.NewTransport(roundtrip.Options{MaxIdleConns: maxIdleConns, ReceiveBuffer: receiveBuffer}),
	}
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Entry is one appended batch of a stream.
type Entry struct {
	Offset uint64          `json:"offset"`
	Data   json.RawMessage `json:"data"`
}

// Page is the response to a read.
type Page struct {
	// Oldest is the offset of the oldest entry that the stream holds, or Next if it holds none.
	Oldest uint64 `json:"oldest"`
	// Next is the offset that the next append will get, not the end of Entries.
	Next uint64 `json:"next"`
	// Entries are in order of offsets, without gaps.
	Entries []Entry `json:"entries"`
}

// Validate checks the offsets.
func (p Page) Validate() error {
	if p.Oldest > p.Next {
		return eris.New("oldest offset is above the next offset")
	}
	for i, e := range p.Entries {
		if e.Offset < p.Oldest || e.Offset >= p.Next || e.Offset != p.Entries[0].Offset+uint64(i) {
			return eris.Errorf("entry at offset %d is out of order or out of range", e.Offset)
		}
	}
	return nil
}

type appendReply struct {
	// Offset is a pointer to distinguish a missing offset from offset 0.
	Offset *uint64 `json:"offset"`
}

// Validate checks that there is an offset.
func (r appendReply) Validate() error {
	if r.Offset == nil {
		return eris.New("reply to an append has no offset")
	}
	return nil
}

// Append appends batch, which is JSON, to a stream and returns its offset. After ErrUnavailable and ErrRejected nothing
// was appended; after ErrOutcomeUnknown the entry may appear at any time.
func (c *Client) Append(ctx context.Context, stream string, batch []byte) (uint64, error) {
	path := "/v1/streams/" + url.PathEscape(stream) + "/records"
	reply, err := call[appendReply](ctx, c, http.MethodPost, path, batch, maxReplyBytes)
	if err != nil {
		return 0, eris.Wrapf(err, "append to %s", stream)
	}
	return *reply.Offset, nil
}

// Read returns at most limit entries, starting at offset from. If there is none, it waits for one, for at most wait.
func (c *Client) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (Page, error) {
	query := url.Values{
		"from":   {strconv.FormatUint(from, 10)},
		"limit":  {strconv.Itoa(limit)},
		"waitMs": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	path := "/v1/streams/" + url.PathEscape(stream) + "/records?" + query.Encode()
	page, err := call[Page](ctx, c, http.MethodGet, path, nil, maxPageBytes)
	return page, eris.Wrapf(err, "read %s", stream)
}

// VMs returns the list of VMs.
func (c *Client) VMs(ctx context.Context) (VMList, error) {
	list, err := call[VMList](ctx, c, http.MethodGet, "/v1/vms", nil, maxListBytes)
	return list, eris.Wrap(err, "read VM list")
}

// Servers returns the list of backend servers.
func (c *Client) Servers(ctx context.Context) (ServerList, error) {
	list, err := call[ServerList](ctx, c, http.MethodGet, "/v1/servers", nil, maxListBytes)
	return list, eris.Wrap(err, "read server list")
}

// RequestWeights requests the weights of a model version from the weight store. A *RateLimitError says when to retry.
func (c *Client) RequestWeights(ctx context.Context, model, version string) error {
	path := "/v1/weights/" + url.PathEscape(model) + "/" + url.PathEscape(version)
	resp, err := c.do(ctx, http.MethodPost, path, nil)
	if err != nil {
		return eris.Wrapf(err, "request weights of %s %s", model, version)
	}
	resp.Body.Close()
	return nil
}

// call sends a request and decodes the JSON body of its response.
func call[T roundtrip.Validator](ctx context.Context, c *Client, method, path string, body []byte, limit int64) (T, error) {
	var value T
	resp, err := c.do(ctx, method, path, body)
	if err != nil {
		return value, err
	}
	value, err = roundtrip.Decode[T](resp, limit)
	if err != nil {
		return value, eris.Wrapf(ErrOutcomeUnknown, "%v", err)
	}
	return value, nil
}

// do sends a request and returns the response if its status is 200, and an error otherwise.
func (c *Client) do(ctx context.Context, method, path string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return nil, eris.Wrapf(ErrRejected, "build request: %v", err)
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, sent, err := roundtrip.Do(c.transport, req)
	switch {
	case err != nil && !sent:
		return nil, eris.Wrapf(ErrUnavailable, "%v", err)
	case err != nil:
		return nil, eris.Wrapf(ErrOutcomeUnknown, "%v", err)
	case resp.StatusCode == http.StatusOK:
		return resp, nil
	}
	return nil, statusError(resp)
}
