package peer

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/twitchtv/twirp"
	"google.golang.org/protobuf/encoding/protowire"

	"ibiswinch/core/cost"
	"ibiswinch/core/keyed"
	"ibiswinch/core/memory"
	"ibiswinch/io/inbound"
	"ibiswinch/io/tcp"
)

const (
	// poolDialTimeout limits the time to connect to an entry VM, which may be unreachable in a network partition. Others are asked
	// meanwhile; a link that is full takes longer than usual.
	poolDialTimeout = 250 * time.Millisecond
	// poolMaxIdleConnsPerPeer is the number of idle connections kept to one entry VM.
	poolMaxIdleConnsPerPeer = 2
	// poolMaxRequestBytes limits the body of a request.
	poolMaxRequestBytes = 1 << 20
	// messageFieldBytes is what a field of a message takes at most besides its bytes once it is decoded, messageCopies how often the
	// bytes are held meanwhile.
	messageFieldBytes = 160
	messageCopies     = 4
)

// TokenPool is the part of an entry VM that holds the reserved tokens of teams and knows the work of servers.
type TokenPool interface {
	// GiveTokens returns how many tokens of the team are given to the caller. The caller lacks need of them and would
	// like to have want.
	GiveTokens(ctx context.Context, team string, need, want int64) int64
	// ReceiveTokens accepts tokens of another entry VM, by team.
	ReceiveTokens(tokens map[string]int64)
	// LearnReservations takes note of records of the ledger and reports whether this entry VM will write them again if the
	// ledger loses them.
	LearnReservations(records []keyed.Record) bool
	// ExchangeLoads takes over the report of another entry VM and returns what is known of the work of the others.
	ExchangeLoads(report cost.Report) []cost.Load
}

// NewPoolHandler serves the calls of other entry VMs and counts in m what their messages take. They carry no token, since the platform
// gives entry VMs no shared secret; callers have no access to the network of the entry VMs.
func NewPoolHandler(pool TokenPool, m *memory.Limiter) http.Handler {
	server := NewPoolServer(poolService{pool})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodPost || r.Header.Get("Content-Type") != protobufType || !strings.HasPrefix(r.URL.Path, server.PathPrefix()) {
			http.Error(w, "no call of an entry VM", http.StatusNotFound)
			return
		}
		holding := m.NewHolding()
		defer holding.Release()
		body := inbound.Buffer{Holding: holding, Expected: r.ContentLength}
		err := body.ReadAll(http.MaxBytesReader(w, r.Body, poolMaxRequestBytes), poolMaxRequestBytes)
		if err == nil {
			err = holding.Grow(messageBytes(body.Bytes))
		}
		switch {
		case errors.Is(err, memory.ErrFull):
			_ = twirp.WriteError(w, twirp.Unavailable.Error("too many bytes held"))
		case err != nil:
			_ = twirp.WriteError(w, twirp.Malformed.Error("read the body"))
		default:
			r.Body = io.NopCloser(bytes.NewReader(body.Bytes))
			server.ServeHTTP(w, r)
		}
	})
}

// protobufType is the content type of all calls.
const protobufType = "application/protobuf"

// messageBytes returns what a message takes at most while it is decoded. Bytes that are no message aren't decoded.
func messageBytes(message []byte) int64 {
	fields := int64(0)
	for rest := message; len(rest) > 0; fields++ {
		_, _, n := protowire.ConsumeField(rest)
		if n < 0 {
			break
		}
		rest = rest[n:]
	}
	return messageCopies*int64(len(message)) + fields*messageFieldBytes
}

type poolService struct{ pool TokenPool }

// DrawTokens implements Pool.
func (s poolService) DrawTokens(ctx context.Context, r *DrawTokensRequest) (*DrawTokensReply, error) {
	return &DrawTokensReply{Tokens: s.pool.GiveTokens(ctx, r.GetTeam(), r.GetNeed(), r.GetWant())}, nil
}

// HandTokens implements Pool.
func (s poolService) HandTokens(_ context.Context, r *HandTokensRequest) (*HandTokensReply, error) {
	tokens := make(map[string]int64, len(r.GetTeams()))
	for _, t := range r.GetTeams() {
		tokens[t.GetTeam()] += t.GetTokens()
	}
	s.pool.ReceiveTokens(tokens)
	return &HandTokensReply{}, nil
}

// ShareReservations implements Pool.
func (s poolService) ShareReservations(_ context.Context, r *ShareReservationsRequest) (*ShareReservationsReply, error) {
	records := make([]keyed.Record, 0, len(r.GetReservations()))
	for _, reservation := range r.GetReservations() {
		records = append(records, keyed.Record{Key: reservation.GetKey(), Value: reservation.GetValue()})
	}
	return &ShareReservationsReply{Known: s.pool.LearnReservations(records)}, nil
}

// PoolClient calls the service Pool of other entry VMs.
type PoolClient struct {
	http *http.Client

	mu      sync.Mutex
	clients map[netip.AddrPort]Pool
}

// NewPoolClient returns a client that connects through dialer, whose Timeout and CloseIdle it sets.
func NewPoolClient(dialer *tcp.Dialer) *PoolClient {
	transport := &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: poolMaxIdleConnsPerPeer, MaxIdleConns: dialer.Limit / 2, IdleConnTimeout: idleConnTimeout,
	}
	dialer.Timeout, dialer.CloseIdle = poolDialTimeout, transport.CloseIdleConnections
	return &PoolClient{clients: map[netip.AddrPort]Pool{}, http: &http.Client{Transport: transport}}
}

func (c *PoolClient) clientFor(addr netip.AddrPort) Pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	client := c.clients[addr]
	if client == nil {
		client = NewPoolProtobufClient("http://"+addr.String(), c.http)
		c.clients[addr] = client
	}
	return client
}

// Draw asks the entry VM at addr for tokens of a team and returns how many it gave, at most the larger of need and want.
func (c *PoolClient) Draw(ctx context.Context, addr netip.AddrPort, team string, need, want int64) (int64, error) {
	reply, err := c.clientFor(addr).DrawTokens(ctx, &DrawTokensRequest{Team: team, Need: need, Want: want})
	if err != nil {
		return 0, eris.Wrap(err, "draw tokens")
	}
	n := reply.GetTokens()
	if n < 0 || n > max(need, want) {
		return 0, eris.Errorf("drew %d tokens, asked for %d", n, max(need, want))
	}
	return n, nil
}

// HandOver transfers tokens, by team, to the entry VM at addr.
func (c *PoolClient) HandOver(ctx context.Context, addr netip.AddrPort, tokens map[string]int64) error {
	request := &HandTokensRequest{}
	for team, n := range tokens {
		request.Teams = append(request.Teams, &TeamTokens{Team: team, Tokens: n})
	}
	if _, err := c.clientFor(addr).HandTokens(ctx, request); err != nil {
		return eris.Wrap(err, "hand tokens")
	}
	return nil
}

// Share tells the entry VM at addr of records of the ledger and reports whether it will write them again if the ledger loses
// them.
func (c *PoolClient) Share(ctx context.Context, addr netip.AddrPort, records []keyed.Record) (bool, error) {
	request := &ShareReservationsRequest{}
	for _, r := range records {
		request.Reservations = append(request.Reservations, &SharedReservation{Key: r.Key, Value: r.Value})
	}
	reply, err := c.clientFor(addr).ShareReservations(ctx, request)
	if err != nil {
		return false, eris.Wrap(err, "share reservations")
	}
	return reply.GetKnown(), nil
}
