// Package roundtrip sends one HTTP request and reports whether it can have reached the server. It never retries a
// request that the server may have read.
package roundtrip

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/rotisserie/eris"

	"ibiswinch/io/http1"
	"ibiswinch/io/tcp"
)

const (
	dialTimeout = 2 * time.Second
	// idleTimeout is below the idle timeout of most servers, so that few requests use a connection that the server is
	// about to close.
	idleTimeout = 30 * time.Second
	// maxHeadBytes bounds the head of an answer, interim answers included.
	maxHeadBytes = 64 << 10
)

// ErrInvalidContent means that a body was read but violates the protocol.
var ErrInvalidContent = eris.New("content of the answer is invalid")

// ErrTooLarge means that a body exceeds its size limit.
var ErrTooLarge = eris.New("body over the size limit")

// Options holds the settings of a transport.
type Options struct {
	// MaxConns limits the connections to one server; 0 means no limit.
	MaxConns int
	// MaxIdleConns is the number of idle connections kept to one server.
	MaxIdleConns int
	// ReceiveBuffer is the size of the socket's receive buffer in bytes; 0 means the system's default. With a small
	// one, backpressure reaches the server soon after the reader stops.
	ReceiveBuffer int
	// ReadBuffer is the size of the connection's read buffer in bytes; 0 means 4 KiB.
	ReadBuffer int
	// WriteBuffer is the size of the connection's write buffer in bytes; 0 means 4 KiB. It stays allocated as long as
	// the connection exists, and larger bodies bypass it.
	WriteBuffer int
}

// NewTransport returns a transport without proxy, compression or HTTP/2.
func NewTransport(o Options) *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout, Control: tcp.Options{ReceiveBytes: o.ReceiveBuffer}.Control}
	return &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return http1.NewConn(conn), nil
		},
		MaxConnsPerHost:     o.MaxConns,
		MaxIdleConns:        0,
		MaxIdleConnsPerHost: o.MaxIdleConns,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
		ReadBufferSize:      o.ReadBuffer,
		WriteBufferSize:     o.WriteBuffer,

		MaxResponseHeaderBytes: maxHeadBytes,
	}
}

// Do sends req. sent is false only if the server can't have read the whole header of the request and so has not run it.
// The transport retries a request by itself only if none of it was written: it would also retry idempotent methods and
// requests with the header Idempotency-Key, but not with a body that it can't rewind, and Do makes every body such. After a
// response whose status means that the request did not run, the connection isn't used again.
func Do(transport http.RoundTripper, req *http.Request) (resp *http.Response, sent bool, err error) {
	use := &connUse{}
	trace := &httptrace.ClientTrace{GotConn: use.setConn, WroteHeaders: use.setHeaderWritten}
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), trace))
	req.GetBody = nil
	if req.Body == nil || req.Body == http.NoBody {
		req.Body = io.NopCloser(emptyBody{})
		req.ContentLength = 0
	}
	resp, err = transport.RoundTrip(req)
	if err != nil {
		return resp, use.sent(), err
	}
	if err := http1.CheckStatus(resp.StatusCode); err != nil {
		_ = resp.Body.Close()
		use.CloseUnlessReused()
		return nil, true, err
	}
	use.CheckEnd(resp)
	if isRefusal(resp.StatusCode) {
		resp.Body = refusalBody{ReadCloser: resp.Body, use: use}
	}
	return resp, true, nil
}

// emptyBody is an empty body that net/http, unlike http.NoBody, can't rewind.
type emptyBody struct{}

func (emptyBody) Read([]byte) (int, error) { return 0, io.EOF }

// ReadBody reads and closes the body of resp, at most limit bytes.
func ReadBody(resp *http.Response, limit int64) ([]byte, error) {
	defer resp.Body.Close()
	if resp.ContentLength > limit {
		return nil, ErrTooLarge
	}
	data, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(data)) > limit {
		return nil, ErrTooLarge
	}
	return data, nil
}

// Validator is a decoded response that can check itself.
type Validator interface{ Validate() error }

// Decode reads, decodes and validates the JSON body of a response of at most limit bytes. An error other than
// ErrInvalidContent is an error of reading the body.
func Decode[T Validator](resp *http.Response, limit int64) (T, error) {
	var value T
	data, err := ReadBody(resp, limit)
	if err != nil {
		return value, eris.Wrap(err, "read answer")
	}
	if err := json.Unmarshal(data, &value); err != nil {
		return value, eris.Wrapf(ErrInvalidContent, "decode answer: %v", err)
	}
	if err := value.Validate(); err != nil {
		return value, eris.Wrapf(ErrInvalidContent, "%v", err)
	}
	return value, nil
}

// DecodeEntries decodes the valid entries of a JSON list, so that an invalid one doesn't hide the others. A missing list is
// an error, null is an empty one.
func DecodeEntries[T Validator](list json.RawMessage) ([]T, error) {
	if list == nil {
		return nil, eris.New("list missing")
	}
	var raw []json.RawMessage
	if err := json.Unmarshal(list, &raw); err != nil {
		return nil, err
	}
	var entries []T
	for _, data := range raw {
		var entry T
		if json.Unmarshal(data, &entry) == nil && entry.Validate() == nil {
			entries = append(entries, entry)
		}
	}
	return entries, nil
}
