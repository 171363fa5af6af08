package peer

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// poolDialTimeout bounds a connection to an entry VM, which may be behind a cut.
	poolDialTimeout = 60 * time.Millisecond
	// poolIdlePerPeer is the number of idle connections that are kept to one entry VM.
	poolIdlePerPeer = 2
	// poolCallBytes bounds the body of a call of the pool.
	poolCallBytes = 1 << 20
)

// TokenHolder gives and takes tokens of teams.
type TokenHolder interface {
	GiveTokens(ctx context.Context, team string, need, want int64) int64
	TakeTokens(tokens map[string]int64)
}

// NewPoolHandler serves the calls of other entry VMs. The network of the entry VMs is not open to callers; the platform
// gives them no shared secret.
func NewPoolHandler(holder TokenHolder) http.Handler {
	server := NewPoolServer(tokenPool{holder})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, poolCallBytes)
		server.ServeHTTP(w, r)
	})
}

type tokenPool struct{ holder TokenHolder }

// DrawTokens implements Pool.
func (s tokenPool) DrawTokens(ctx context.Context, r *DrawTokensRequest) (*DrawTokensReply, error) {
	return &DrawTokensReply{Tokens: s.holder.GiveTokens(ctx, r.GetTeam(), r.GetNeed(), r.GetWant())}, nil
}

// HandTokens implements Pool.
func (s tokenPool) HandTokens(_ context.Context, r *HandTokensRequest) (*HandTokensReply, error) {
	tokens := make(map[string]int64, len(r.GetTeams()))
	for _, t := range r.GetTeams() {
		tokens[t.GetTeam()] += t.GetTokens()
	}
	s.holder.TakeTokens(tokens)
	return &HandTokensReply{}, nil
}

// PoolClient calls the pools of other entry VMs.
type PoolClient struct {
	http *http.Client

	mu      sync.Mutex
	clients map[netip.AddrPort]Pool
}

// NewPoolClient returns a client whose connections dialer makes.
func NewPoolClient(dialer *net.Dialer) *PoolClient {
	dialer.Timeout = poolDialTimeout
	return &PoolClient{clients: map[netip.AddrPort]Pool{}, http: &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: poolIdlePerPeer, IdleConnTimeout: idleConnTimeout,
	}}}
}

func (c *PoolClient) at(addr netip.AddrPort) Pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	client := c.clients[addr]
	if client == nil {
		client = NewPoolProtobufClient("http://"+addr.String(), c.http)
		c.clients[addr] = client
	}
	return client
}

// Draw asks the entry VM at addr for tokens.
func (c *PoolClient) Draw(ctx context.Context, addr netip.AddrPort, team string, need, want int64) (int64, error) {
	reply, err := c.at(addr).DrawTokens(ctx, &DrawTokensRequest{Team: team, Need: need, Want: want})
	if err != nil {
		return 0, eris.Wrap(err, "draw tokens")
	}
	return reply.GetTokens(), nil
}

// Hand brings tokens to the entry VM at addr.
func (c *PoolClient) Hand(ctx context.Context, addr netip.AddrPort, tokens map[string]int64) error {
	request := &HandTokensRequest{}
	for team, n := range tokens {
		request.Teams = append(request.Teams, &TeamTokens{Team: team, Tokens: n})
	}
	if _, err := c.at(addr).HandTokens(ctx, request); err != nil {
		return eris.Wrap(err, "hand tokens")
	}
	return nil
}
