package memory

import (
	"sync"
	"time"

	"ibiswinch/core/progress"
)

const (
	// incomingPercent is the share of the limit for requests that haven't arrived wholly. The rest is for those that are served.
	incomingPercent = 50
	// minIncomingAge is the age from which a request that is being received may be ended for others.
	minIncomingAge = 500 * time.Millisecond
)

// Incoming bounds what requests hold together while they are being received. Beyond the bound the ones that made least progress are
// ended, so that requests that stop half-way don't keep out those that arrive.
type Incoming struct {
	limiter *Limiter
	limit   int64

	mu   sync.Mutex
	held int64
	open map[*Reception]struct{}
}

// NewIncoming returns the bound on the requests that are being received, a part of what l may hold.
func NewIncoming(l *Limiter) *Incoming {
	return &Incoming{limiter: l, limit: l.limit / 100 * incomingPercent, open: map[*Reception]struct{}{}}
}

// Reception is what one request holds. It is safe for concurrent use.
type Reception struct {
	*Holding
	incoming *Incoming
	now      func() time.Time
	end      func()

	// The fields below are guarded by the mu of incoming.
	began time.Time
	meter progress.Meter
	// counted is part of the held bytes of incoming until the request is complete or ended.
	counted int64
	ended   bool
}

// Begin returns the reception of a request. end is called, at most once, if the request is to be refused for others; what it holds is no
// longer counted then.
func (in *Incoming) Begin(now func() time.Time, end func()) *Reception {
	r := &Reception{Holding: in.limiter.NewHolding(), incoming: in, now: now, end: end, began: now()}
	in.mu.Lock()
	defer in.mu.Unlock()
	in.open[r] = struct{}{}
	return r
}

// Received records that n bytes have arrived.
func (r *Reception) Received(n int) {
	r.incoming.mu.Lock()
	defer r.incoming.mu.Unlock()
	r.meter.Add(r.now(), int64(n))
}

// Grow adds n bytes. It fails with ErrFull if the request may not hold as many, or has been ended.
func (r *Reception) Grow(n int64) error {
	in, now := r.incoming, r.now()
	in.mu.Lock()
	victims, ok := in.makeRoom(r, now, n)
	if ok && !r.isComplete() {
		r.counted += n
		in.held += n
	}
	in.mu.Unlock()
	for _, v := range victims {
		v.Release()
		v.end()
	}
	if !ok {
		return ErrFull
	}
	if err := r.Holding.Grow(n); err != nil {
		r.uncount(n)
		return err
	}
	return nil
}

// makeRoom chooses requests to be ended until n bytes have room, and reports whether they have. The caller holds mu.
func (in *Incoming) makeRoom(r *Reception, now time.Time, n int64) (victims []*Reception, ok bool) {
	if r.isComplete() {
		return nil, !r.ended
	}
	for in.held+n > in.limit {
		victim := in.slowest(r, now)
		if victim == nil {
			return victims, false
		}
		victim.ended = true
		in.remove(victim)
		victims = append(victims, victim)
	}
	return victims, true
}

// slowest returns the request, other than r, that made least progress, nil if none may be ended. Of those that made none, the one that
// holds most is ended first.
func (in *Incoming) slowest(r *Reception, now time.Time) *Reception {
	var slowest *Reception
	for other := range in.open {
		if other == r || other.counted == 0 || now.Sub(other.began) < minIncomingAge {
			continue
		}
		if slowest == nil || other.isSlower(slowest, now) {
			slowest = other
		}
	}
	return slowest
}

func (r *Reception) isSlower(than *Reception, now time.Time) bool {
	a, b := r.meter.Recent(now), than.meter.Recent(now)
	return a < b || a == b && r.counted > than.counted
}

// isComplete reports whether the request is no longer bounded as one that is being received. The caller holds mu.
func (r *Reception) isComplete() bool {
	_, open := r.incoming.open[r]
	return !open
}

// remove ends the count of a request. The caller holds mu.
func (in *Incoming) remove(r *Reception) {
	if !r.isComplete() {
		delete(in.open, r)
		in.held -= r.counted
		r.counted = 0
	}
}

func (r *Reception) uncount(n int64) {
	r.incoming.mu.Lock()
	defer r.incoming.mu.Unlock()
	if !r.isComplete() {
		r.counted -= n
		r.incoming.held -= n
	}
}

// Shrink subtracts n of the bytes.
func (r *Reception) Shrink(n int64) {
	r.uncount(n)
	r.Holding.Shrink(n)
}

// Complete records that the request has arrived and reports whether it may go on. It may not if it has been ended.
func (r *Reception) Complete() bool {
	r.incoming.mu.Lock()
	defer r.incoming.mu.Unlock()
	r.incoming.remove(r)
	return !r.ended
}

// Release subtracts all bytes. Further calls do nothing.
func (r *Reception) Release() {
	r.Complete()
	r.Holding.Release()
}
