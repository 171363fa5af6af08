package gateway

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"ibiswinch/core/cost"
	"ibiswinch/core/event"
	"ibiswinch/core/membership"
	"ibiswinch/io/apexlog"
)

const (
	// loadInterval is the least time between two exchanges of loads of an entry VM, loadIntervalPerVM that for each entry VM of
	// its failure domain. It bounds the calls that a collector answers to 50 a second.
	loadInterval      = 250 * time.Millisecond
	loadIntervalPerVM = 20 * time.Millisecond
	// loadJitterPercent is the part of the interval that is random.
	loadJitterPercent = 30
	// loadRetention is the least time for which a report holds, loadRetentionIntervals that in intervals.
	loadRetention          = 1500 * time.Millisecond
	loadRetentionIntervals = 3
	// loadTimeout bounds one exchange. A collector that doesn't answer isn't asked for unreachableTTL.
	loadTimeout = 150 * time.Millisecond
	// collectorTerm is how long an entry VM is a collector. Terms spread the work of collectors over all entry VMs.
	collectorTerm = time.Minute
	// idleLoadTime is how long an entry VM without calls goes on to exchange loads.
	idleLoadTime = 2 * time.Second
)

// loadShareController exchanges with the other entry VMs how much work each server has. One entry VM in each failure domain is the
// collector: it sums what the others of its domain report and exchanges the sums with the collectors of the other domains.
// Nobody is elected, each chooses the collector among the members that it knows. Without reports the own calls decide.
type loadShareController struct {
	cfg     Config
	fleet   *fleetController
	servers *serverController

	mu    sync.Mutex
	board *cost.Board
	// avoidUntil is when a collector that didn't answer may be asked again, by name.
	avoidUntil map[string]time.Time
	// busyUntil is when this entry VM ends to exchange loads if it has no calls.
	busyUntil time.Time
}

func newLoadShareController(cfg Config, fleet *fleetController, servers *serverController) *loadShareController {
	return &loadShareController{cfg: cfg, fleet: fleet, servers: servers, board: cost.NewBoard(), avoidUntil: map[string]time.Time{}}
}

func (l *loadShareController) loop(ctx context.Context) error {
	if l.cfg.Peers == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	for ctx.Err() == nil {
		interval := l.interval()
		pause(ctx, interval-time.Duration(rand.Int64N(int64(interval)*loadJitterPercent/100)))
		_ = l.cfg.protect("exchange loads", func() error {
			l.exchange(ctx)
			return nil
		})
	}
	return ctx.Err()
}

// interval is the time between two exchanges.
func (l *loadShareController) interval() time.Duration {
	return max(loadInterval, time.Duration(l.fleet.domainSize())*loadIntervalPerVM)
}

// retention is how long a report holds.
func (l *loadShareController) retention() time.Duration {
	return max(loadRetention, loadRetentionIntervals*l.interval())
}

// exchange tells the collector of the own work and takes over what it answers.
func (l *loadShareController) exchange(ctx context.Context) {
	own := l.servers.ownLoads()
	if !l.isBusy(len(own) > 0) {
		return
	}
	collectors := l.fleet.collectors(l.avoided())
	collector, found := collectors[l.cfg.Zone]
	if !found {
		return
	}
	if collector.name == l.cfg.Name {
		l.collect(ctx, own, collectors)
		return
	}
	loads, ok := l.tell(ctx, collector, cost.Report{Sender: l.cfg.Name, Loads: own})
	if ok {
		l.servers.setReported(loads, l.cfg.Now().Add(l.retention()))
	}
}

// isBusy reports whether this entry VM has had calls lately, or others of its failure domain have told it of theirs.
func (l *loadShareController) isBusy(hasCalls bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Now()
	if hasCalls {
		l.busyUntil = now.Add(idleLoadTime)
	}
	return now.Before(l.busyUntil)
}

// collect adds the own work to what the others report and exchanges the sums with the other collectors.
func (l *loadShareController) collect(ctx context.Context, own []cost.Load, collectors map[string]peer) {
	l.mu.Lock()
	now := l.cfg.Now()
	l.board.SetMember(now, l.cfg.Name, own, now.Add(l.retention()))
	sums := l.board.Domain(now)
	l.mu.Unlock()
	var calls sync.WaitGroup
	for domain, c := range collectors {
		if domain == l.cfg.Zone {
			continue
		}
		calls.Go(func() {
			loads, ok := l.tell(ctx, c, cost.Report{Sender: l.cfg.Name, Domain: l.cfg.Zone, Loads: sums})
			if !ok {
				return
			}
			l.mu.Lock()
			defer l.mu.Unlock()
			l.board.SetDomain(domain, loads, l.cfg.Now().Add(l.retention()))
		})
	}
	calls.Wait()
	l.mu.Lock()
	now = l.cfg.Now()
	fleet, hasOthers := l.board.Fleet(now, l.cfg.Name), l.board.HasOthers(l.cfg.Name)
	l.mu.Unlock()
	if !hasOthers {
		return
	}
	l.servers.setReported(fleet, now.Add(l.retention()))
}

// tell exchanges loads with another entry VM and reports whether it answered.
func (l *loadShareController) tell(ctx context.Context, p peer, report cost.Report) ([]cost.Load, bool) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	loads, err := l.cfg.Peers.ExchangeLoads(ctx, p.addr, report)
	if err != nil {
		l.mu.Lock()
		l.avoidUntil[p.name] = l.cfg.Now().Add(unreachableTTL)
		l.mu.Unlock()
		l.cfg.Events.Event(event.PeerUnreachable, apexlog.Fields{"peer": p.name, "error": err.Error()})
	}
	return loads, err == nil
}

// avoided returns the entry VMs that didn't answer lately.
func (l *loadShareController) avoided() map[string]bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Now()
	avoided := map[string]bool{}
	for name, until := range l.avoidUntil {
		if now.Before(until) {
			avoided[name] = true
		} else {
			delete(l.avoidUntil, name)
		}
	}
	return avoided
}

// receive takes over the report of another entry VM and returns what is known of the work of the others.
func (l *loadShareController) receive(report cost.Report) []cost.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Now()
	until := now.Add(l.retention())
	if report.Domain != "" && report.Domain != l.cfg.Zone {
		l.board.SetDomain(report.Domain, report.Loads, until)
		return l.board.Domain(now)
	}
	if len(report.Loads) > 0 {
		// A collector without calls of its own passes on those of its domain.
		l.busyUntil = now.Add(idleLoadTime)
	}
	l.board.SetMember(now, report.Sender, report.Loads, until)
	return l.board.Fleet(now, report.Sender)
}

// ExchangeLoads receives the report of another entry VM and returns what this one knows of the work of the others.
func (g *Gateway) ExchangeLoads(report cost.Report) []cost.Load { return g.loadShare.receive(report) }

// domainSize is the number of live entry VMs of the own failure domain.
func (f *fleetController) domainSize() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, zone := range f.zones {
		if zone == f.cfg.Zone {
			n++
		}
	}
	return n
}

// collectors returns the collector of each failure domain, besides the avoided entry VMs: that which ranks first for the domain and
// the term. Entry VMs that know the same members choose the same ones without messages.
func (f *fleetController) collectors(avoided map[string]bool) map[string]peer {
	term := strconv.FormatInt(f.timeOfDay().Unix()/int64(collectorTerm.Seconds()), 10)
	f.mu.Lock()
	defer f.mu.Unlock()
	best := map[string]peer{}
	weights := map[string]uint64{}
	for name, zone := range f.zones {
		addr, known := f.addresses[name]
		if avoided[name] || !known && name != f.cfg.Name {
			continue
		}
		weight := membership.Hash(zone+"/"+term, name)
		if current, found := best[zone]; !found || weight > weights[zone] || weight == weights[zone] && name < current.name {
			best[zone], weights[zone] = peer{name: name, addr: addr, zone: zone}, weight
		}
	}
	return best
}
