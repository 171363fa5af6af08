package entry

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"ibiswinch/core/config"
	"ibiswinch/core/event"
	"ibiswinch/core/routing"
	"ibiswinch/io/apexlog"
	"ibiswinch/io/engine"
	"ibiswinch/io/service"
)

// Timing and bounds of routing.
const (
	routingTick = 100 * time.Millisecond
	// loadInterval is the time between two polls of the load report of an engine of the own domain.
	loadInterval = 500 * time.Millisecond
	loadTimeout  = time.Second
	// eventWait is how long a long poll for cache events waits.
	eventWait = 5 * time.Second
	// queueTimeout is how long a request waits for capacity at a backend server.
	queueTimeout = 10 * time.Second
	// suspectQueueTimeout is how long a crash suspect waits. Suspects run one at a time, so the requests of one crash wait
	// much longer, and most of them did not cause it.
	suspectQueueTimeout = time.Minute
	// maxQueued bounds the requests that wait per model or service.
	maxQueued = 4096
	// maxQueueMisses is the number of waiting requests that may fail to be placed in one pass over the queue.
	maxQueueMisses = 8
	// engineReceiveBuffer bounds what the kernel buffers of one stream that isn't read. Below 32 KiB, streams of short
	// chunks stalled on loopback.
	engineReceiveBuffer = 32 << 10
	// maxIdleConnections is the number of idle connections that are kept per backend server.
	maxIdleConnections = 64
)

// placement is the server chosen for one attempt, with its client.
type placement struct {
	routing.Placement
	client *engine.Client
	// incarnation is the engine's incarnation when the request was placed, 0 if unknown.
	incarnation int
}

// waiter is a request in the queue for capacity at a backend server.
type waiter struct {
	request routing.Request
	// placed receives the placement once. It is buffered, so that the sender doesn't block when the request was cancelled.
	placed chan routing.Placement
}

// serverController chooses backend servers and keeps their clients, load reports and cache events.
type serverController struct {
	cfg    Config
	events *apexlog.Logger
	// queueTimeout is how long a request waits for capacity.
	queueTimeout time.Duration

	mu sync.Mutex
	// table is nil until the first configuration.
	table           *routing.Table
	domains         []routing.DomainSlots
	queues          map[string]*routing.Queue[*waiter]
	engines         map[string]*engineEntry
	services        map[string]*serviceEntry
	versionsByModel map[string][]string
	// peerSlots are the slots of the peers of the own domain, by VM.
	peerSlots map[string]int
	// base is the parent context of the polling goroutines.
	base context.Context
	wg   sync.WaitGroup
}

// engineEntry is an engine of the inventory with its client. cancel ends the polling of an engine of the own domain.
type engineEntry struct {
	config.Engine
	client *engine.Client
	cancel context.CancelFunc
	// incarnation is the engine's incarnation in its last load report, 0 before the first.
	incarnation int
}

// serviceEntry is a server of a plain service with its client.
type serviceEntry struct {
	config.Server
	client *service.Client
}

func newServerController(cfg Config, events *apexlog.Logger) *serverController {
	return &serverController{
		cfg:          cfg,
		events:       events,
		queueTimeout: queueTimeout,
		queues:       map[string]*routing.Queue[*waiter]{},
		engines:      map[string]*engineEntry{},
		services:     map[string]*serviceEntry{},
		peerSlots:    map[string]int{},
	}
}

// loop rebalances shares and places queued requests until ctx ends.
func (s *serverController) loop(ctx context.Context) error {
	ticker := time.NewTicker(routingTick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			s.wg.Wait()
			return ctx.Err()
		case <-ticker.C:
			s.tick(s.cfg.Now())
		}
	}
}

func (s *serverController) tick(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table == nil {
		return
	}
	s.table.Tick(now)
	for _, q := range s.queues {
		q.Expire(now)
	}
	s.admitQueued(now)
}

// admitQueued places queued requests. The caller holds mu.
func (s *serverController) admitQueued(now time.Time) {
	for _, q := range s.queues {
		q.Admit(maxQueueMisses, func(w *waiter) bool {
			p, err := s.table.Choose(now, w.request)
			if err != nil {
				return false
			}
			w.placed <- p
			return true
		})
	}
}

// applyConfig implements configApplier.
func (s *serverController) applyConfig(_ uint64, cfg *config.Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ensureTable(cfg) {
		return
	}
	s.versionsByModel = map[string][]string{}
	var list []routing.Server
	for _, e := range cfg.Inventory.Engines {
		list = append(list, routing.Server{
			Name: e.Name, Domain: e.Domain, Target: e.Model, Versions: e.Versions, Capacity: int64(e.CapacityTokens),
			Leaving: e.State == config.Leaving,
		})
		for _, v := range e.Versions {
			if !slices.Contains(s.versionsByModel[e.Model], v) {
				s.versionsByModel[e.Model] = append(s.versionsByModel[e.Model], v)
			}
		}
		s.addEngine(e)
	}
	for _, v := range cfg.Inventory.Servers {
		list = append(list, routing.Server{
			Name: v.Name, Domain: s.cfg.Domain, Target: serviceTarget(v.Service, v.Domain == s.cfg.Domain),
			Versions: []string{""}, Capacity: serviceCapacity, Leaving: v.State == config.Leaving,
		})
		s.addService(v)
	}
	s.table.SetServers(list)
	s.removeUnlisted(cfg)
}

// serviceCapacity bounds the calls in flight from the entry VMs of one domain to a server of a plain service.
const serviceCapacity = 1024

// serviceTarget returns the routing target of a service, which differs from that of a model of the same name. A plain
// service has few servers and no token memory to protect, so the table has the servers of all domains as servers of
// this domain. Those that really belong to it have a separate target, since they are tried first.
func serviceTarget(name string, local bool) string {
	if local {
		return "service/" + name + "/local"
	}
	return "service/" + name + "/remote"
}

// ensureTable creates the table with the first configuration. A later change of the domains or their slots takes effect
// when the process restarts, since the shares in use are divided by the old slots. The caller holds mu.
func (s *serverController) ensureTable(cfg *config.Config) bool {
	if s.table != nil {
		return true
	}
	for _, d := range cfg.Inventory.Domains {
		s.domains = append(s.domains, routing.DomainSlots{Name: d.Name, Slots: d.Slots})
	}
	table, err := routing.NewTable(routing.Config{
		Self:    routing.Incarnation{Author: s.cfg.Author, Started: s.cfg.Started},
		Domain:  s.cfg.Domain,
		Slot:    s.cfg.Slot,
		Domains: s.domains,
		Seed:    uint64(s.cfg.Started.UnixNano()),
	})
	if err != nil {
		s.events.Event(event.ConfigRejected, apexlog.Fields{"error": err.Error()})
		return false
	}
	s.table = table
	return true
}

func (s *serverController) addEngine(e config.Engine) {
	if old := s.engines[e.Name]; old != nil {
		if old.Address == e.Address {
			old.Engine = e
			return
		}
		old.stop()
	}
	entry := &engineEntry{Engine: e, client: engine.NewClient(engine.Config{
		Address: e.Address, MaxIdleConns: maxIdleConnections, ReceiveBuffer: engineReceiveBuffer,
	})}
	s.engines[e.Name] = entry
	if e.Domain != s.cfg.Domain {
		return
	}
	ctx, cancel := context.WithCancel(s.base)
	entry.cancel = cancel
	s.wg.Go(func() { s.pollLoad(ctx, entry) })
	s.wg.Go(func() { s.pollCacheEvents(ctx, entry) })
}

func (e *engineEntry) stop() {
	if e.cancel != nil {
		e.cancel()
	}
	e.client.Close()
}

func (s *serverController) addService(v config.Server) {
	if old := s.services[v.Name]; old != nil {
		if old.Address == v.Address {
			old.Server = v
			return
		}
		old.client.Close()
	}
	s.services[v.Name] = &serviceEntry{Server: v, client: service.NewClient(service.Config{
		Address: v.Address, MaxIdleConns: maxIdleConnections, ReceiveBuffer: engineReceiveBuffer,
	})}
}

func (s *serverController) removeUnlisted(cfg *config.Config) {
	for name, e := range s.engines {
		if !slices.ContainsFunc(cfg.Inventory.Engines, func(c config.Engine) bool { return c.Name == name }) {
			e.stop()
			delete(s.engines, name)
		}
	}
	for name, v := range s.services {
		if !slices.ContainsFunc(cfg.Inventory.Servers, func(c config.Server) bool { return c.Name == name }) {
			v.client.Close()
			delete(s.services, name)
		}
	}
}

// hasCrashed reports whether the engine that broke a connection has crashed: it refuses connections or has restarted. A
// broken stream alone isn't a crash and makes no request a suspect. An engine that is going down may still accept a
// connection, so it counts as up only after two answers.
func (s *serverController) hasCrashed(ctx context.Context, p placement) bool {
	ctx, cancel := context.WithTimeout(ctx, crashProbeTimeout)
	defer cancel()
	for answers := 0; answers < 2 && ctx.Err() == nil; sleep(ctx, crashProbeInterval) {
		load, err := p.client.LoadReport(ctx)
		switch {
		case errors.Is(err, engine.ErrNotRun) && ctx.Err() == nil:
			return true
		case err == nil && p.incarnation > 0 && load.Incarnation > p.incarnation:
			return true
		case err == nil:
			answers++
		}
	}
	return false
}

// versions returns the versions of a model, in the order of the inventory.
func (s *serverController) versions(model string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.versionsByModel[model]
}

// markDraining records that a server has said that it accepts no new requests.
func (s *serverController) markDraining(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.ObserveLoad(routing.Load{Server: name, At: s.cfg.Now(), Leaving: true})
}

// setPlatformLeaving sets the backend servers that are leaving according to the platform's list.
func (s *serverController) setPlatformLeaving(names []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table != nil {
		s.table.SetPlatformLeaving(names)
	}
}

// observeFirstToken records the first token of a placement, which ends its prefill.
func (s *serverController) observeFirstToken(now time.Time, id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.FirstToken(now, id)
}

// release ends a placement and places queued requests.
func (s *serverController) release(now time.Time, id uint64, o routing.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Release(now, id, o)
	s.admitQueued(now)
}

// resolveEngine adds the client and the incarnation of the engine to a placement. The client is nil if the engine is no
// longer in the inventory.
func (s *serverController) resolveEngine(p routing.Placement) placement {
	s.mu.Lock()
	defer s.mu.Unlock()
	if e := s.engines[p.Server]; e != nil {
		return placement{Placement: p, client: e.client, incarnation: e.incarnation}
	}
	return placement{Placement: p}
}

func (s *serverController) serviceClient(name string) *service.Client {
	s.mu.Lock()
	defer s.mu.Unlock()
	if v := s.services[name]; v != nil {
		return v.client
	}
	return nil
}

func (s *serverController) dump(now time.Time) []routing.ServerDump {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table == nil {
		return nil
	}
	return s.table.Dump(now)
}

// refuseAll makes the table refuse all requests from now on: this process was replaced, and its successor uses the same
// shares.
func (s *serverController) refuseAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.table != nil {
		s.table.Stop()
	}
}
