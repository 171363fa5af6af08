// Package gateway is the core of an entry VM that forwards opaque HTTP calls by host and path. It holds the filters
// that each request passes and the controllers that keep configuration, backend servers, token budgets and peers up to
// date from the platform's log.
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
	"ibiswinch/core/rollout"
	"ibiswinch/io/apexlog"
)

// Log is the part of the platform's log that an entry VM needs.
type Log interface {
	// Append adds records. If expected is set and isn't the end of the partition, it fails with a keyed.ConflictError.
	Append(ctx context.Context, p keyed.Partition, records []keyed.Record, expected *uint64) (keyed.Appended, error)
	// Read returns the records from an offset on. If there are none it waits up to wait for the first.
	Read(ctx context.Context, p keyed.Partition, from uint64, wait time.Duration) (keyed.Batch, error)
	// Latest returns the newest record of each key and the offset to continue reading from.
	Latest(ctx context.Context, p keyed.Partition) (keyed.Batch, error)
}

// Decoder decodes the values of the platform's streams.
type Decoder interface {
	// DecodeOperation decodes a record of keyed.Operations. It returns a *catalog.Catalog, a *catalog.Rollout or a
	// *catalog.Evacuation, or nil for a key that isn't used here.
	DecodeOperation(key string, value []byte) (any, error)
	DecodeServer(key string, value []byte) (placement.Server, error)
}

// Encoder encodes the values of the platform's streams.
type Encoder interface {
	// EncodeRollout returns the record of keyed.Status that tells the operator the state of a version change.
	EncodeRollout(service, target string, state rollout.State) (keyed.Record, error)
}

// Attempt is one attempt to run a call at a backend server.
type Attempt struct {
	Call   *call.Call
	Server placement.Server
	Team   string
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// LastEventID is the id of the last event that was forwarded, from which a stream resumes. It is empty for a new run.
	LastEventID string
	// Priority orders the calls of an engine; 0 is served first.
	Priority int
}

// Backend sends calls to backend servers.
type Backend interface {
	Send(ctx context.Context, a Attempt) (Answer, error)
}

// Answer is what a backend server answered. Close or CloseConnection must be called.
type Answer interface {
	// Origin tells what is known about the request that the answer belongs to.
	Origin() Origin
	// Status is the HTTP status.
	Status() int
	// Signed reports whether the server signed the answer.
	Signed() bool
	// NotRun reports whether the server says that it did not run the call.
	NotRun() bool
	// Misdirected reports whether the address now belongs to another server.
	Misdirected() bool
	// PromisesNotRun reports whether callers take the status for a promise that the call did not run, and never will.
	PromisesNotRun() bool
	// RequestLimit returns the number of requests a second that the server takes from all entry VMs together. It reports
	// false if the server names no limit.
	RequestLimit() (float64, bool)
	// Leaving reports whether the server says that it leaves.
	Leaving() bool
	// RetryDelay returns the time for which a server that turned the call away wants no further ones, 0 if it names none. It
	// fails if what it names is no time.
	RetryDelay() (time.Duration, error)
	// IsEventStream reports whether the body is an event stream.
	IsEventStream() bool
	// Body reads the whole body.
	Body(limit int64) ([]byte, error)
	// Next returns the next event, which is valid until the next call. It returns io.EOF at the end of a complete stream.
	Next() (Event, error)
	Close()
	// CloseConnection closes the answer, and its connection unless a later attempt uses it already.
	CloseConnection()
}

// Event is one event of a stream. Raw holds its bytes as received.
type Event struct {
	ID  string
	Raw []byte
}

// SendError is the failure of an attempt that got no answer.
type SendError struct {
	// NotRun is set when no byte of the request reached a server.
	NotRun bool
	// Outcome is counted for the server when the next calls are placed.
	Outcome placement.Outcome
	Err     error
}

// Error implements error.
func (e *SendError) Error() string { return string(e.Outcome) + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *SendError) Unwrap() error { return e.Err }

// Reply writes the answer to the caller: a refusal, a whole answer, or a stream. Each call ends with one of Refuse, WriteAnswer,
// Finish and Abort, or with an error of a write.
type Reply interface {
	// CallerGone reports whether the caller has left, also if the context of the call hasn't ended yet.
	CallerGone() bool
	// CloseConnection has the connection closed after the answer, so that the caller connects to another entry VM.
	CloseConnection()
	// Refuse answers with a refusal by this process.
	Refuse(e *refusal.Error) error
	// WriteAnswer forwards an answer that isn't a stream.
	WriteAnswer(a Answer, body []byte) error
	// WriteHead forwards the status and headers of a stream. Its events and its end follow.
	WriteHead(a Answer) error
	WriteEvent(raw []byte) error
	// Finish ends a complete stream.
	Finish()
	// Abort ends a call without an answer, or with an incomplete stream, so that the caller doesn't take it for complete.
	Abort()
}

// Metrics counts requests, refusals, tokens and retries.
type Metrics interface {
	CountRequest(team, outcome string)
	CountRefusal(reason string)
	AddBilledTokens(team string, tokens uint64)
	ObserveFirstToken(model string, elapsed time.Duration)
	CountRetry()
	CountAppend()
}

// Config holds the settings and dependencies of a gateway.
type Config struct {
	// Name is the name of the entry VM. A restarted process keeps it and has a new Incarnation.
	Name        string
	Incarnation string
	Zone        string
	Log         Log
	Decoder     Decoder
	Encoder     Encoder
	Backend     Backend
	// Peers calls the other entry VMs, nil if there are none. Address is where they reach this one.
	Peers   Peers
	Address netip.AddrPort
	Now     func() time.Time
	Events  *apexlog.Logger
	Metrics Metrics
	Retries retry.WindowBudgetConfig
	// ServerHeartbeat is the time between two records of a backend server. If it is 0, a record may expire in any outage of the
	// log.
	ServerHeartbeat time.Duration
	// ColdOvershoot times the rate of a cold server, plus ColdSlack, is the largest number of requests that it may get within a second
	// from all entry VMs together.
	ColdOvershoot float64
	ColdSlack     float64
	// Regions maps the failure domains of backend servers to their regions.
	Regions map[string]string
	// LedgerPartitions is the number of partitions of a new ledger. An existing one keeps its number.
	LedgerPartitions int
	// Limits are the resources of this entry VM. Usage samples their use; without it overload isn't detected.
	Limits overload.Limits
	// MaxOpenCalls is the number of calls that may be open, 0 for no limit. Near it each team gets its share.
	MaxOpenCalls int
	// CloseStalled closes connections of callers that don't read their answers. It is called when a call is refused because too many
	// are open, and may be nil.
	CloseStalled func()
	Usage        func() (overload.Sample, error)
	// BytesSent returns the number of bytes sent so far; without it calls aren't refused because of a full link.
	BytesSent func() int64
	// Seed is the seed of the random choices.
	Seed uint64
	// LogNearLimit reports whether the log output is near its rate limit; most successful requests are then not logged.
	LogNearLimit func() bool
}

// Gateway forwards the calls of one entry VM.
type Gateway struct {
	cfg       Config
	openCalls atomic.Int64
	// stop is the planned stop, nil before it begins.
	stop atomic.Pointer[plannedStop]
	// stopping ends when the open calls are given up, by giveUp.
	stopping context.Context
	giveUp   context.CancelFunc

	catalogs *catalogController
	servers  *serverController
	budgets  *budgetController
	fleet    *fleetController
	suspects *suspectController
	load     *loadController
	rollouts *rolloutController
	// loadShare exchanges the work of servers with the other entry VMs.
	loadShare *loadShareController
}

// plannedStop holds the times of a planned stop.
type plannedStop struct {
	startedAt time.Time
	// lastCallAt is when new calls are refused, as they might not end before the process exits.
	lastCallAt time.Time
}

// New returns a gateway that isn't running yet.
func New(cfg Config) *Gateway {
	cfg.Decoder = protectedDecoder{cfg: cfg, decoder: cfg.Decoder}
	g := &Gateway{cfg: cfg}
	g.stopping, g.giveUp = context.WithCancel(context.Background())
	g.catalogs = newCatalogController(cfg)
	g.fleet = newFleetController(cfg)
	g.servers = newServerController(cfg, g.fleet)
	g.fleet.servers = g.servers
	g.loadShare = newLoadShareController(cfg, g.fleet, g.servers)
	g.suspects = newSuspectController(cfg, g.fleet)
	g.rollouts = newRolloutController(cfg, g.servers, g.fleet)
	g.fleet.rollouts = g.rollouts
	g.catalogs.ordered = g.rollouts.addOrder
	g.load = newLoadController(cfg, g.fleet)
	g.fleet.load = g.load
	g.budgets = newBudgetController(cfg, g.catalogs, g.fleet)
	g.catalogs.changed = g.budgets.wakeAll
	g.catalogs.changing = g.servers.setColdLimits
	g.catalogs.evacuations = newEvacuationOrders(g.servers)
	g.catalogs.eraBegan = func(era keyed.Era) {
		g.rollouts.beginOrders(era)
		g.budgets.checkEra()
	}
	g.fleet.budgets = g.budgets
	return g
}

// Run follows the log until ctx ends.
func (g *Gateway) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for _, loop := range []func(context.Context) error{
		g.catalogs.loop, g.servers.loop, g.budgets.loop, g.fleet.loop, g.suspects.loop, g.load.loop, g.rollouts.loop, g.loadShare.loop,
	} {
		group.Go(func() error { return loop(ctx) })
	}
	err := group.Wait()
	if eris.Is(err, context.Canceled) {
		return nil
	}
	return err
}

// Ready reports whether the load balancer should send new connections to this entry VM.
func (g *Gateway) Ready() bool {
	return !g.Draining() && !g.load.leavesRotation() && g.catalogs.now() != nil && g.servers.isLoaded() && g.suspects.isLoaded() && g.rollouts.isLoaded() && g.budgets.isReady()
}

// Members is the number of live entry VMs, this one included. They share the retry limit of the fleet.
func (g *Gateway) Members() int { return g.fleet.count() }

// FreeTokens is the number of tokens that calls can be admitted with now, summed over all teams.
func (g *Gateway) FreeTokens() int64 { return g.budgets.free() }

// Draining reports whether a planned stop has begun.
func (g *Gateway) Draining() bool { return g.stop.Load() != nil }

// ShouldCloseConnection reports whether to close the connection after any answer, so that the caller connects to another
// entry VM. Connections of single calls are closed by Reply.CloseConnection.
func (g *Gateway) ShouldCloseConnection() bool { return g.Draining() }

// OpenCalls is the number of open calls.
func (g *Gateway) OpenCalls() int64 { return g.openCalls.Load() }

// Drain begins a planned stop: the process is no longer ready but still serves calls that arrive before lastCallAt.
func (g *Gateway) Drain(lastCallAt time.Time) {
	g.stop.Store(&plannedStop{startedAt: g.cfg.Now(), lastCallAt: lastCallAt})
	g.budgets.drain()
	g.cfg.Events.Event(event.ProcessDraining, apexlog.Fields{"open": g.openCalls.Load()})
}

// GiveUp ends the open calls of a process that is about to exit. Their callers are answered, or learn that their streams
// are incomplete.
func (g *Gateway) GiveUp() { g.giveUp() }

// OnGiveUp calls f in a goroutine of its own once the open calls are given up. cancel reports whether it has prevented that.
func (g *Gateway) OnGiveUp(f func()) (cancel func() bool) { return context.AfterFunc(g.stopping, f) }

// ReturnReservations returns the unused tokens of all reservations to the ledger, until ledgerUntil at most, or else to another
// entry VM, until ctx ends.
func (g *Gateway) ReturnReservations(ctx context.Context, ledgerUntil time.Time) error {
	return g.budgets.returnReservations(ctx, ledgerUntil)
}

// GiveTokens transfers tokens of a team to another entry VM and returns how many. It is called for a draw of that VM.
func (g *Gateway) GiveTokens(ctx context.Context, team string, need, want int64) int64 {
	return g.budgets.give(ctx, team, need, want)
}

// ReceiveTokens receives tokens that another entry VM no longer needs.
func (g *Gateway) ReceiveTokens(tokens map[string]int64) { g.budgets.receive(tokens) }

// LearnReservations takes note of records of the ledger that another entry VM has written, and reports whether this one will
// write them again if the ledger loses them.
func (g *Gateway) LearnReservations(records []keyed.Record) bool { return g.budgets.learn(records) }

// Catalog returns the configuration in force, nil before the first.
func (g *Gateway) Catalog() *catalog.Catalog { return g.catalogs.now() }
