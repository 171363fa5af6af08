package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"ibiswinch/core/event"
	"ibiswinch/core/overload"
	"ibiswinch/core/refusal"
	"ibiswinch/io/apexlog"
)

const (
	// sampleInterval is the time between two samples of resource usage.
	sampleInterval = 100 * time.Millisecond
	// An overloaded entry VM refuses calls when bytes wait for the link longer than overloadedMaxQueueDelay: they would reach
	// a server after their callers have left. An entry VM that isn't overloaded yet refuses calls at maxQueueDelay. For the
	// same reason it refuses requests that took longer than overloadedMaxArrival to arrive, while its incoming link or its
	// processor is busy; otherwise the caller was slow, and hasn't left.
	overloadedMaxQueueDelay = 100 * time.Millisecond
	overloadedMaxArrival    = 250 * time.Millisecond
	maxQueueDelay           = 250 * time.Millisecond
	// overloadRetryDelay is the Retry-After of a refused call. It is short because the retry reaches another entry VM.
	overloadRetryDelay = 50 * time.Millisecond
)

// loadController makes this entry VM not ready while its link or processor is overloaded, and sheds calls.
type loadController struct {
	cfg Config
	// fleet knows which other entry VMs are overloaded.
	fleet *fleetController

	mu        sync.Mutex
	monitor   *overload.Monitor
	queue     overload.LinkQueue
	admission *overload.Admission
	open      *overload.OpenCalls
	// left is set while this entry VM is out of rotation for overload.
	left bool
}

func newLoadController(cfg Config, fleet *fleetController) *loadController {
	return &loadController{
		cfg: cfg, fleet: fleet, monitor: overload.NewMonitor(cfg.Limits), admission: overload.NewAdmission(), open: overload.NewOpenCalls(cfg.MaxOpenCalls),
		queue: overload.LinkQueue{LinkBytesPerSecond: cfg.Limits.LinkBytesPerSecond},
	}
}

func (l *loadController) loop(ctx context.Context) error {
	if l.cfg.Usage == nil {
		<-ctx.Done()
		return ctx.Err()
	}
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			_ = l.cfg.protect("sample usage", func() error {
				l.sample()
				return nil
			})
		}
	}
}

func (l *loadController) sample() {
	s, err := l.cfg.Usage()
	if err != nil {
		l.cfg.Events.Event(event.UsageUnavailable, apexlog.Fields{"error": err.Error()})
		l.expire()
		return
	}
	leaves := l.leavesRotation()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.noteRotation(leaves)
	l.queue.Delay(s.At, s.SentBytes)
	s.TeamShare = l.admission.Heaviest().Share
	changed := l.monitor.Add(s)
	if l.admission.Update(s.At, l.monitor.Last().Max(), leaves && l.monitor.Moving(s.At)) {
		l.logLimited()
	}
	if changed {
		l.logOverload(s)
		l.fleet.requestAnnounce()
	}
}

// expire ends an overload that isn't measured any more.
func (l *loadController) expire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.monitor.Expire(l.cfg.Now()) {
		l.logOverload(overload.Sample{})
		l.fleet.requestAnnounce()
	}
}

// noteRotation logs that this entry VM has left the rotation for overload, or entered it again. The caller holds mu.
func (l *loadController) noteRotation(leaves bool) {
	if leaves == l.left {
		return
	}
	l.left = leaves
	l.cfg.Events.Event(event.RotationChanged, apexlog.Fields{"left": leaves, "overloaded": l.monitor.Overloaded()})
}

// logOverload logs that an overload has begun or ended. The caller holds mu.
func (l *loadController) logOverload(s overload.Sample) {
	heaviest, use := l.admission.Heaviest(), l.monitor.Average()
	l.cfg.Events.Event(event.OverloadChanged, apexlog.Fields{
		"overloaded": l.monitor.Overloaded(), "share": l.monitor.Utilization(), "in": s.ReceivedBytes, "out": s.SentBytes, "cpuMs": s.CPUTime.Milliseconds(),
		"team": heaviest.Team, "teamShare": heaviest.Share, "byTeam": l.monitor.ByTeam(),
		"incoming": use.Incoming, "outgoing": use.Outgoing, "processor": use.CPU,
	})
}

// logLimited logs which teams' calls have begun to be refused, none if that has ended. The caller holds mu.
func (l *loadController) logLimited() {
	use := l.monitor.Average()
	fields := apexlog.Fields{"teams": []string{}, "incoming": use.Incoming, "outgoing": use.Outgoing, "processor": use.CPU}
	if limited := l.admission.Limited(); len(limited) > 0 {
		names := make([]string, 0, len(limited))
		for _, t := range limited {
			names = append(names, t.Team)
		}
		fields["teams"], fields["teamShare"], fields["admitted"] = names, limited[0].Share, limited[0].Admitted
	}
	l.cfg.Events.Event(event.TeamsLimited, fields)
}

// overloaded reports whether an overload lasts.
func (l *loadController) overloaded() bool {
	l.expire()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.monitor.Overloaded()
}

// leavesRotation reports whether the load balancer should send new connections elsewhere.
func (l *loadController) leavesRotation() bool {
	if !l.overloaded() {
		return false
	}
	names, total := l.fleet.overloadedInZone()
	return overload.MayLeave(l.cfg.Name, names, total)
}

// shouldMove reports whether to close the connection of a call of a team after its answer. It is random in part, so that callers
// move away gradually.
func (l *loadController) shouldMove(team string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.monitor.ByTeam() && l.admission.Heaviest().Team != team {
		return false
	}
	return l.monitor.ShouldClose(l.cfg.Now(), rand.Float64())
}

// dump returns the state for operators.
func (l *loadController) dump() LoadDump {
	leaves := l.leavesRotation()
	l.mu.Lock()
	defer l.mu.Unlock()
	use, heaviest := l.monitor.Average(), l.admission.Heaviest()
	d := LoadDump{
		Incoming: use.Incoming, Outgoing: use.Outgoing, Processor: use.CPU, Overloaded: l.monitor.Overloaded(), ByTeam: l.monitor.ByTeam(),
		OutOfRotation: leaves, Team: heaviest.Team, TeamShare: heaviest.Share,
	}
	for _, t := range l.admission.Limited() {
		d.Limited = append(d.Limited, LimitedTeamDump{Team: t.Team, Share: t.Share, Admitted: t.Admitted})
	}
	return d
}

// checkShare returns the refusal of a call of a team over its share, or nil if the call should be served. bytes is the size of the
// body of its request.
func (l *loadController) checkShare(team string, bytes int64) *refusal.Error {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Now()
	if l.admission.Expire(now) {
		l.logLimited()
	}
	if l.admission.Offer(team, bytes) {
		return nil
	}
	refused := refusal.New(refusal.Overloaded, "this entry VM is overloaded, and the team is over its share of it").WithRetryAt(now.Add(overloadRetryDelay))
	refused.CloseConnection = l.monitor.Moving(now)
	return refused
}

// beginCall counts an open call, and refuses one of a team that has its share of them.
func (l *loadController) beginCall(_ context.Context, r *request) *refusal.Error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if r.isOpen = l.open.Begin(r.teamName(), r.catalog.TeamCount() > 1); r.isOpen {
		return nil
	}
	if l.cfg.CloseStalled != nil {
		l.cfg.CloseStalled()
	}
	refused := refusal.New(refusal.Overloaded, "this entry VM has many open calls, and the team has its share of them").WithRetryAt(l.cfg.Now().Add(overloadRetryDelay))
	refused.CloseConnection = true
	return refused
}

// endCall ends a call that beginCall may have counted.
func (l *loadController) endCall(r *request) {
	if !r.isOpen {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open.End(r.teamName())
}

// check returns the refusal of a call that took arrival to be received, or nil if it should be served.
func (l *loadController) check(arrival time.Duration) *refusal.Error {
	if l.cfg.BytesSent == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.cfg.Now()
	wait := l.queue.Delay(now, l.cfg.BytesSent())
	retryAt := now.Add(overloadRetryDelay)
	switch {
	case wait > maxQueueDelay || l.monitor.Overloaded() && wait > overloadedMaxQueueDelay:
		return refusal.New(refusal.Overloaded, "the link of this entry VM is full: bytes wait for it for %.2f s", wait.Seconds()).WithRetryAt(retryAt)
	case l.monitor.ReceivesLate() && arrival > overloadedMaxArrival:
		return refusal.New(refusal.LateArrival, "the request took %.2f s to arrive while this entry VM is overloaded", arrival.Seconds()).WithRetryAt(retryAt)
	}
	return nil
}
