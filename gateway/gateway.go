// Package gateway composes the entry VM that serves opaque calls by host and path: the filter chain of requests, and
// controllers that follow the platform's log for the configuration, the backend servers, the budgets and the peers.
package gateway

import (
	"context"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"ibiswinch/core/call"
	"ibiswinch/core/catalog"
	"ibiswinch/core/event"
	"ibiswinch/core/keyed"
	"ibiswinch/core/overload"
	"ibiswinch/core/placement"
	"ibiswinch/core/refusal"
	"ibiswinch/core/retry"
	"ibiswinch/io/apexlog"
)

// Log is the part of the platform's log that an entry VM needs.
type Log interface {
	// Append adds records; with expected set it fails with a keyed.ConflictError unless the partition ends there.
	Append(ctx context.Context, p keyed.Partition, records []keyed.Record, expected *uint64) (end uint64, err error)
	// Read returns the records from an offset on, and waits for one for up to wait.
	Read(ctx context.Context, p keyed.Partition, from uint64, wait time.Duration) (keyed.Batch, error)
	// Latest returns the newest record of each key and the offset from which on to read.
	Latest(ctx context.Context, p keyed.Partition) (keyed.Batch, error)
}

// Decoder turns the values of the platform's streams into types of the product.
type Decoder interface {
	// Operation decodes a record of keyed.Operations. It returns a *catalog.Catalog or nil for a key of no concern.
	Operation(key string, value []byte) (any, error)
	Server(key string, value []byte) (placement.Server, error)
}

// Send is one attempt of a call at a backend server.
type Send struct {
	Call   *call.Call
	Server placement.Server
	Team   string
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// LastEvent is the last event that was passed on, empty for a new run.
	LastEvent string
	// Priority is the rank among the calls of an engine, 0 first.
	Priority int
}

// Backend sends calls to backend servers.
type Backend interface {
	Send(ctx context.Context, s Send) (Answer, error)
}

// Answer is what a backend server answered. Close must be called.
type Answer interface {
	// Status is the status of the answer, Sealed reports whether the server signed it.
	Status() int
	Sealed() bool
	// NotRun reports whether the server says that it did not run the call.
	NotRun() bool
	// Misdirected reports whether another server has the address.
	Misdirected() bool
	// Events reports whether the body is a stream of events.
	Events() bool
	// Body reads the whole body.
	Body(limit int64) ([]byte, error)
	// Next returns the next event, valid until the next call, and io.EOF after the last one of a whole stream.
	Next() (Event, error)
	Close()
}

// Event is one event of a stream with the bytes that carry it.
type Event struct {
	ID  string
	Raw []byte
}

// SendError says why there is no answer.
type SendError struct {
	// NotRun is set when no byte of the request reached a server.
	NotRun bool
	// Outcome judges the server.
	Outcome placement.Outcome
	Err     error
}

// Error implements error.
func (e *SendError) Error() string { return string(e.Outcome) + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// Reply is the caller's side of a call. Exactly one of Refuse, Whole and Begin is called.
type Reply interface {
	// Refuse answers with a refusal of this process.
	Refuse(e *refusal.Error) error
	// Whole passes an answer on.
	Whole(a Answer, body []byte) error
	// Begin passes the head of a stream on; events, and at the end Finish or Break, follow.
	Begin(a Answer) error
	Event(raw []byte) error
	// Finish ends a whole stream, Break one that is not.
	Finish()
	Break()
}

// Metrics counts what the gateway does.
type Metrics interface {
	Request(team, outcome string)
	Refusal(reason string)
	Billed(team string, tokens uint64)
	FirstToken(model string, elapsed time.Duration)
	Retry()
	Append()
}

// Config is what a gateway is built from.
type Config struct {
	// Name is the entry VM; a process that starts again under it is its next life.
	Name        string
	Incarnation string
	Zone        string
	Log         Log
	Decoder     Decoder
	Backend     Backend
	// Peers are the other entry VMs, nil to do without them; Address is where they reach this one.
	Peers   Peers
	Address netip.AddrPort
	Now     func() time.Time
	Events  *apexlog.Logger
	Metrics Metrics
	Retries retry.WindowConfig
	// LedgerPartitions is the number of partitions of the ledger, the same on all entry VMs.
	LedgerPartitions int
	// Limits are the resources of this entry VM, Usage returns what it has used; nil to do without.
	Limits overload.Limits
	Usage  func() (overload.Sample, error)
	// Sent is the number of bytes sent so far, nil to do without.
	Sent func() int64
	// Seed feeds the random choices.
	Seed uint64
	// Pressed reports whether the log is near its bounds, so that the lines of most successful requests are left out.
	Pressed func() bool
}

// Gateway is one entry VM.
type Gateway struct {
	cfg     Config
	serving atomic.Int64
	// draining is set when a planned stop begins.
	draining atomic.Bool
	// closed is set when new calls could no longer end before the process does.
	closed atomic.Bool

	catalogs *catalogController
	servers  *serverController
	budgets  *budgetController
	fleet    *fleetController
	suspects *suspectController
	load     *loadController
}

// New returns a gateway that doesn't run yet.
func New(cfg Config) *Gateway {
	g := &Gateway{cfg: cfg}
	g.catalogs = newCatalogController(cfg)
	g.servers = newServerController(cfg)
	g.suspects = newSuspectController(cfg)
	g.fleet = newFleetController(cfg, g.suspects)
	g.load = newLoadController(cfg)
	g.servers.machines = g.fleet.count
	g.budgets = newBudgetController(cfg, g.catalogs, g.fleet)
	g.catalogs.changed = g.budgets.wakeAll
	return g
}

// Run follows the log until ctx ends.
func (g *Gateway) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, loop := range []func(context.Context) error{
		g.catalogs.loop, g.servers.loop, g.budgets.loop, g.fleet.loop, g.load.loop,
	} {
		group.Go(func() error { return loop(ctx) })
	}
	err := group.Wait()
	if eris.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Ready reports whether new connections should come here.
func (g *Gateway) Ready() bool {
	return !g.draining.Load() && !g.load.overloaded() && g.catalogs.now() != nil && g.servers.known() && g.budgets.loaded()
}

// Members is the number of entry VMs that share the rules of the fleet.
func (g *Gateway) Members() int { return g.fleet.count() }

// FreeTokens is the number of tokens that may be admitted here now, over all teams.
func (g *Gateway) FreeTokens() int64 { return g.budgets.free() }

// Draining reports whether a planned stop has begun.
func (g *Gateway) Draining() bool { return g.draining.Load() }

// Closing reports whether the connection of the next answer should be closed, so that its caller goes elsewhere.
func (g *Gateway) Closing() bool { return g.draining.Load() || g.load.sheds() }

// Serving is the number of open calls.
func (g *Gateway) Serving() int64 { return g.serving.Load() }

// Drain begins a planned stop: the process isn't ready any more, but serves what still comes.
func (g *Gateway) Drain() {
	g.draining.Store(true)
	g.budgets.drain()
	g.cfg.Events.Event(event.ProcessDraining, apexlog.Fields{"open": g.serving.Load()})
}

// Close refuses new calls from now on; those that are open go on.
func (g *Gateway) Close() { g.closed.Store(true) }

// Settle returns the unused part of all reservations.
func (g *Gateway) Settle(ctx context.Context) error { return g.budgets.settle(ctx) }

// GiveTokens gives another entry VM tokens of a team.
func (g *Gateway) GiveTokens(ctx context.Context, team string, need, want int64) int64 {
	return g.budgets.give(ctx, team, need, want)
}

// TakeTokens takes tokens of an entry VM that stops.
func (g *Gateway) TakeTokens(tokens map[string]int64) { g.budgets.take(tokens) }

// Catalog returns the configuration in force, nil before the first.
func (g *Gateway) Catalog() *catalog.Catalog { return g.catalogs.now() }
