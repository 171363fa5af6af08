// Package peer is the protocol between entry VMs: twirp over HTTP. Calls of the service Peer carry a shared bearer
// token; the service Pool has none.
package peer

import (
	"context"
	"crypto/subtle"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/twitchtv/twirp"

	"ibiswinch/core/record"
	"ibiswinch/io/tcp"
)

// maxRequestBytes limits the body of a request. The largest one is the digest of 850 members.
const maxRequestBytes = 4 << 20

const bearerPrefix = "Bearer "

// NewHandler serves the calls of peers that present the token.
func NewHandler(service Peer, token string) http.Handler {
	server := NewPeerServer(service)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		presented, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix)
		if !ok || subtle.ConstantTimeCompare([]byte(presented), []byte(token)) != 1 {
			_ = twirp.WriteError(w, twirp.Unauthenticated.Error("wrong peer token"))
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxRequestBytes)
		server.ServeHTTP(w, r)
	})
}

// ClientFactory creates clients of peers. They share one HTTP transport.
type ClientFactory struct {
	scheme string
	client *http.Client
}

// ClientFactoryConfig holds the settings of a [ClientFactory].
type ClientFactoryConfig struct {
	Token string
	// TLS is nil for plain TCP.
	TLS *tls.Config
	// Dial replaces the transport's dialer if it isn't nil; tests simulate network partitions with it.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
}

// Limits of connections between peers.
const (
	dialTimeout         = time.Second
	idleConnTimeout     = 90 * time.Second
	maxIdleConnsPerPeer = 8
	// receiveBuffer is the size of a socket's receive buffer in bytes.
	receiveBuffer = 64 << 10
)

// NewClientFactory returns a factory of clients with the given settings.
func NewClientFactory(cfg ClientFactoryConfig) *ClientFactory {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: dialTimeout, Control: tcp.Options{ReceiveBytes: receiveBuffer}.Control}).DialContext,
		TLSClientConfig:     cfg.TLS,
		IdleConnTimeout:     idleConnTimeout,
		MaxIdleConnsPerHost: maxIdleConnsPerPeer,
	}
	if cfg.Dial != nil {
		transport.DialContext = cfg.Dial
	}
	scheme := "http"
	if cfg.TLS != nil {
		scheme = "https"
	}
	return &ClientFactory{scheme: scheme, client: &http.Client{Transport: &authTransport{next: transport, token: cfg.Token}}}
}

// Client returns a client of the peer at addr.
func (f *ClientFactory) Client(addr netip.AddrPort) Peer {
	return NewPeerProtobufClient(f.scheme+"://"+addr.String(), f.client)
}

// Close closes idle connections.
func (f *ClientFactory) Close() { f.client.CloseIdleConnections() }

type authTransport struct {
	next  http.RoundTripper
	token string
}

// RoundTrip adds the token to a copy of the request, since a RoundTripper must not modify the request itself.
func (t *authTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", bearerPrefix+t.token)
	return t.next.RoundTrip(r)
}

// EncodeAuthor converts an author to its protobuf message.
func EncodeAuthor(a record.Author) *Author {
	return &Author{Vm: a.VM, Incarnation: a.Incarnation}
}

// DecodeAuthor converts an author from its protobuf message; a missing one gives an empty author, which is never valid.
func DecodeAuthor(a *Author) record.Author {
	return record.Author{VM: a.GetVm(), Incarnation: a.GetIncarnation()}
}
