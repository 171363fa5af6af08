// Package entry implements one entry VM, a proxy between callers and backend servers. Its controllers keep the shared
// state: configuration, budgets, bills, orders and version changes in streams of the platform's log, membership, shares
// and quarantine by exchange with the other entry VMs. Completions pass through a chain of filters before they are run.
package entry

import (
	"context"
	"crypto/tls"
	"fmt"
	"hash/fnv"
	"net"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"

	"ibiswinch/core/connections"
	"ibiswinch/core/event"
	"ibiswinch/core/membership"
	"ibiswinch/core/memory"
	"ibiswinch/core/overload"
	"ibiswinch/core/record"
	"ibiswinch/core/refusal"
	"ibiswinch/core/sockets"
	"ibiswinch/entry/stream"
	"ibiswinch/io/apexlog"
	"ibiswinch/io/inbound"
	"ibiswinch/io/openai"
	"ibiswinch/io/peer"
	"ibiswinch/io/platform"
	"ibiswinch/io/prometheus"
	"ibiswinch/io/tcp"
)

// Streams of the log.
const (
	configStream  = "config"
	ledgerStream  = "ledger.0"
	ordersStream  = "orders"
	changesStream = "changes"
)

// Config configures an entry VM.
type Config struct {
	Author record.Author
	// Started is the start time of the process; it distinguishes the processes that have the same slot one after the
	// other.
	Started time.Time
	Domain  string
	Slot    int
	// PeerAddr is the address at which other entry VMs reach this one.
	PeerAddr netip.AddrPort
	// Seeds are the peers to contact before the platform's list of VMs has been read.
	Seeds         []membership.ListedVM
	PeerToken     string
	OperatorToken string
	// PeerTLS is the TLS configuration of calls to peers; nil for plain TCP.
	PeerTLS *tls.Config
	// DialPeer replaces the dial function of calls to peers; tests simulate network partitions with it.
	DialPeer func(ctx context.Context, network, address string) (net.Conn, error)
	Platform Platform
	Now      func() time.Time
	Events   *apexlog.Logger

	MaxHeldBytes    int64
	MaxStreams      int
	MaxOrders       int
	SnapshotEntries uint64
	ListInterval    time.Duration
	DrainTimeout    time.Duration
}

// Buffers returns the receive buffers of the connections to the listeners: in all as many bytes as may be held for requests.
func (cfg Config) Buffers() sockets.Buffers {
	return sockets.NewBuffers(cfg.MaxStreams+idleCallerConnections+peerConnections+operatorConnections, cfg.MaxHeldBytes)
}

// Platform is the part of the platform's API that an entry VM needs.
type Platform interface {
	stream.Log
	VMs(ctx context.Context) (platform.VMList, error)
	Servers(ctx context.Context) (platform.ServerList, error)
}

// Timeouts of requests, and timing of appends.
const (
	// bodyTimeout bounds the time to read a request body.
	bodyTimeout = 15 * time.Second
	// stallTimeout bounds the time that one write may block on a caller that doesn't read.
	stallTimeout = 15 * time.Minute
	// batchDelay is how long a record that isn't urgent waits for others, to be sent in one append with them.
	batchDelay = 250 * time.Millisecond
)

// VM is one entry VM.
type VM struct {
	cfg     Config
	events  *apexlog.Logger
	metrics *prometheus.Metrics
	memory  *memory.Limiter

	peers      *peerController
	configs    *configController
	budget     *budgetController
	bills      *billController
	orders     *orderController
	changes    *changeController
	servers    *serverController
	quarantine *quarantineController
	workers    []*stream.Worker

	completions  handler
	callerServer *openai.Server

	// open shares the requests that may be open among the teams; openMu guards it.
	openMu sync.Mutex
	open   *overload.OpenCalls
	// wideBuffers are those of the connections of callers and peers.
	wideBuffers *tcp.WideBuffers
	// callerHTTP serves the callers, nil before Run.
	callerHTTP atomic.Pointer[inbound.Server]
	// draining is set when a planned stop begins, refusingNew when new requests are refused.
	draining    atomic.Bool
	refusingNew atomic.Bool
	// peersContacted is set once the process has tried to reach its peers. Before that, no peer would have copies of its
	// bill lines and grants, and it might serve with an older configuration than they do.
	peersContacted atomic.Bool
	// givenUp ends when a planned stop has waited for open requests as long as it may. It ends those that are still open.
	givenUp context.Context
	giveUp  context.CancelFunc
	// aborted is closed by Abort.
	aborted   chan struct{}
	abortOnce sync.Once
	// unkeyedRequests numbers the requests that have no idempotency key.
	unkeyedRequests atomic.Uint64
}

// New returns an entry VM that isn't running yet.
func New(cfg Config) (*VM, error) {
	vm := &VM{cfg: cfg, events: cfg.Events, memory: memory.NewLimiter(cfg.MaxHeldBytes), aborted: make(chan struct{})}
	vm.givenUp, vm.giveUp = context.WithCancel(context.Background())
	vm.peers = newPeerController(cfg, vm.events)
	vm.budget = newBudgetController(cfg, vm.peers, vm.events)
	vm.bills = newBillController(cfg, vm.peers, vm.budget, vm.events)
	vm.configs = newConfigController(cfg, vm.peers, vm.budget, vm.events)
	vm.changes = newChangeController(cfg, vm.peers, vm.events)
	vm.servers = newServerController(cfg, vm.events)
	vm.quarantine = newQuarantineController(cfg, vm.peers, vm.events)
	vm.orders = newOrderController(cfg, vm.givenUp, vm.events)

	vm.configs.worker = vm.newWorker(configStream, vm.configs.history, nil)
	vm.budget.worker = vm.newWorker(ledgerStream, vm.budget.ledger, vm.bills.onLedgerAdvance)
	vm.orders.worker = vm.newWorker(ordersStream, vm.orders.registry, nil)
	vm.changes.worker = vm.newWorker(changesStream, vm.changes.changes, nil)
	vm.configs.configAppliers = []configApplier{vm.servers, vm.changes, vm.quarantine, vm.bills, vm.budget}
	vm.peers.digestHandlers = []digestHandler{vm.configs, vm.servers, vm.changes, vm.quarantine}

	vm.open = overload.NewOpenCalls(cfg.MaxStreams)
	vm.wideBuffers = tcp.NewWideBuffers(cfg.Buffers())
	vm.completions = chain(vm.relayAnswer, vm.admitMemory, vm.admitBills, vm.admitNotQuarantined, vm.admitBudget)
	return vm, vm.buildCallerServer()
}

func (vm *VM) newWorker(name string, fold record.Fold, onAdvance func()) *stream.Worker {
	w := stream.New(stream.Config{
		Name: name, Log: vm.cfg.Platform, Fold: fold, Author: vm.cfg.Author, Now: vm.cfg.Now, Events: vm.events,
		BatchDelay: batchDelay, SnapshotEntries: vm.cfg.SnapshotEntries, OnAdvance: onAdvance,
		OnAppend: func() { vm.metrics.CountAppend() },
	})
	vm.workers = append(vm.workers, w)
	return w
}

func (vm *VM) buildCallerServer() error {
	metrics, err := prometheus.New(prometheus.Gauges{
		HeldBytes:    vm.memory.Held,
		OpenRequests: vm.openRequests,
		PendingBills: vm.bills.pending, RememberedOrders: vm.orders.remembered,
		CallerConnections: func() connections.Counts { return vm.callerHTTP.Load().Counts() }, WideBufferBytes: vm.wideBuffers.Bytes,
		LivePeers: func() int64 { return vm.peers.liveCount(vm.cfg.Now()) },
	})
	if err != nil {
		return err
	}
	vm.metrics = metrics
	vm.callerServer, err = openai.NewServer(openai.Config{
		Gateway: vm, Now: vm.cfg.Now, MaxBodyBytes: vm.maxBodyBytes, BodyTimeout: bodyTimeout, StallTimeout: stallTimeout,
		Incoming:  memory.NewIncoming(vm.memory),
		OnRefused: func(r refusal.Reason) { metrics.CountRefusal(string(r)) },
		OnPanic: func(value any, stack []byte) {
			vm.events.Event(event.HandlerPanicked, apexlog.Fields{"panic": fmt.Sprint(value), "stack": string(stack)})
		},
	})
	return err
}

// Listeners are the listeners of one entry VM. They may be TLS listeners.
type Listeners struct {
	Callers   net.Listener
	Peers     net.Listener
	Operators net.Listener
}

// Run serves until ctx ends, then drains: new requests are refused, open ones finish, and budgets and bills are
// settled.
func (vm *VM) Run(ctx context.Context, l Listeners) error {
	vm.events.Event(event.ProcessStarted, apexlog.Fields{"incarnation": vm.cfg.Author.Incarnation, "domain": vm.cfg.Domain})
	// The controllers go on after ctx has ended, until the drain is over.
	base, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	defer vm.giveUp()
	vm.servers.base = base
	g, groupCtx := errgroup.WithContext(base)
	for _, loop := range vm.loops() {
		g.Go(func() error { return loop(groupCtx) })
	}
	servers := vm.httpServers(l)
	for _, s := range servers {
		g.Go(s.run)
	}
	select {
	case <-ctx.Done():
		vm.drain(base, servers)
	case <-groupCtx.Done():
		vm.drain(base, servers)
	case <-vm.aborted:
		closeAll(servers)
	}
	stop()
	err := g.Wait()
	vm.closeClients()
	if eris.Is(err, context.Canceled) {
		err = nil
	}
	vm.events.Event(event.ProcessStopped, apexlog.Fields{"incarnation": vm.cfg.Author.Incarnation})
	return err
}

// Abort ends Run as a crash of the process would: connections are closed, and nothing is drained, settled or appended.
// Calls that are already in flight to peers and to the log may still take effect. It is for tests and the demo.
func (vm *VM) Abort() { vm.abortOnce.Do(func() { close(vm.aborted) }) }

func (vm *VM) loops() []func(context.Context) error {
	loops := []func(context.Context) error{
		vm.peers.loop, vm.configs.loop, vm.budget.loop, vm.bills.loop, vm.changes.loop, vm.servers.loop,
		vm.orders.loop, vm.quarantine.loop, vm.listLoop, vm.readyLoop,
	}
	for _, w := range vm.workers {
		loops = append(loops, w.Run)
	}
	return loops
}

func (vm *VM) closeClients() {
	vm.peers.clientFactory.Close()
	_ = vm.metrics.Close(context.Background())
}

// listLoop contacts the peers that the platform lists, and then reads the lists of VMs and backend servers at each
// ListInterval.
func (vm *VM) listLoop(ctx context.Context) error {
	vm.readLists(ctx)
	vm.peers.contactPartners(ctx)
	vm.peersContacted.Store(true)
	for ctx.Err() == nil {
		vm.readLists(ctx)
		sleep(ctx, vm.cfg.ListInterval)
	}
	return ctx.Err()
}

func (vm *VM) readLists(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, vm.cfg.ListInterval+time.Second)
	defer cancel()
	vms, err := vm.cfg.Platform.VMs(ctx)
	if err != nil {
		vm.events.Event(event.PlatformListUnavailable, apexlog.Fields{"error": err.Error()})
		return
	}
	listed := make([]membership.ListedVM, 0, len(vms.VMs))
	for _, v := range vms.VMs {
		listed = append(listed, membership.ListedVM{
			VM: v.Name, Domain: v.Domain, Addr: v.Address, Leaving: v.State == platform.StateLeaving,
		})
	}
	vm.peers.setListedVMs(vm.cfg.Now(), listed)
	servers, err := vm.cfg.Platform.Servers(ctx)
	if err != nil {
		vm.events.Event(event.PlatformListUnavailable, apexlog.Fields{"error": err.Error()})
		return
	}
	var leaving []string
	for _, s := range servers.Servers {
		if s.State == platform.StateLeaving {
			leaving = append(leaving, s.Name)
		}
	}
	vm.servers.setPlatformLeaving(leaving)
}

// readyLoop logs when the process is ready for the first time, and stops routing when another process has replaced this
// one.
func (vm *VM) readyLoop(ctx context.Context) error {
	ready := false
	for ctx.Err() == nil {
		if !ready && vm.CheckReady() == nil {
			ready = true
			vm.events.Event(event.ProcessReady, apexlog.Fields{"version": vm.configs.active().version})
		}
		if vm.peers.isReplaced() {
			vm.servers.refuseAll()
		}
		sleep(ctx, routingTick)
	}
	return ctx.Err()
}

// maxBodyBytes returns the size limit of the rules in force, or 0 before there are any: requests are refused until
// then.
func (vm *VM) maxBodyBytes() int64 {
	current := vm.configs.active().config
	if current == nil {
		return 0
	}
	return int64(current.Rules.Limits.MaxRequestBytes)
}

// newIdentity returns the identity of a request that has no idempotency key.
func (vm *VM) newIdentity() string {
	return "auto/" + vm.cfg.Author.Incarnation + "/" + strconv.FormatUint(vm.unkeyedRequests.Add(1), 10)
}

// hashIdentity returns the hash by which a version change chooses the requests for its new version. A repeated request
// has the same hash.
func hashIdentity(team, identity string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(team + "\x00" + identity))
	return h.Sum64()
}

func (vm *VM) countOutcome(team string, err error) {
	if err == nil {
		vm.metrics.CountRequest(team, "answered")
		return
	}
	vm.metrics.CountRequest(team, string(refusal.From(err).Reason))
}

var (
	_ openai.Gateway = (*VM)(nil)
	_ peer.Peer      = peerServer{}
)
