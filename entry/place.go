package entry

import (
	"context"
	"errors"
	"time"

	"ibiswinch/core/refusal"
	"ibiswinch/core/routing"
)

// place chooses a server for a request. If none has capacity and wait is set, the request is queued for a limited time.
func (s *serverController) place(ctx context.Context, request routing.Request, wait bool) (routing.Placement, error) {
	now := s.cfg.Now()
	s.mu.Lock()
	p, err := s.table.Choose(now, request)
	if err == nil {
		s.mu.Unlock()
		return p, nil
	}
	var refused *routing.Refusal
	if !errors.As(err, &refused) || !wait || !mayClearSoon(refused.Reason) {
		s.mu.Unlock()
		return p, placementRefusal(refused)
	}
	w := &waiter{request: request, placed: make(chan routing.Placement, 1)}
	q := s.queue(request.Target)
	limit := queueTimeout
	if request.Suspect {
		limit = suspectQueueTimeout
	}
	dropped, overflow := q.Push(w, request.Priority, now.Add(limit))
	s.mu.Unlock()
	if overflow && dropped == w {
		return p, placementRefusal(refused)
	}
	return s.awaitPlacement(ctx, q, w, limit, refused)
}

// placeServiceCall chooses a server for a call to a plain service: one of the own domain, else one of another domain. If no
// other domain has servers, the call waits for capacity in the own one, but not for an unhealthy server: its refusal says
// when to come back.
func (s *serverController) placeServiceCall(ctx context.Context, name string, exclude []string, wait bool) (routing.Placement, error) {
	now := s.cfg.Now()
	local := routing.Request{Target: serviceTarget(name, true), Tokens: 1, Exclude: exclude}
	remote := local
	remote.Target = serviceTarget(name, false)
	s.mu.Lock()
	p, err := s.table.Choose(now, local)
	s.mu.Unlock()
	var refused *routing.Refusal
	if !errors.As(err, &refused) {
		return p, nil
	}
	p, err = s.place(ctx, remote, wait)
	if err == nil || refused.Reason == routing.ReasonNoServer || refusal.From(err).Reason != refusal.NoServer {
		return p, err
	}
	return s.place(ctx, local, wait && refused.Reason != routing.ReasonUnhealthy)
}

// placeUnlessFailed chooses a server where no attempt of a request failed. If there is none, a failed one is better than
// none: servers are allowed again one by one, those that failed first before the others, so that a sound server that broke
// a connection once has another attempt before one that keeps failing takes them all. Requests wait for capacity at a
// server that hasn't failed, but not for an unhealthy one to recover while another is left.
func placeUnlessFailed(failed []string, wait bool, place func(failed []string, wait bool) (routing.Placement, error)) (routing.Placement, error) {
	for ; len(failed) > 0; failed = failed[1:] {
		placed, err := place(failed, false)
		if err == nil {
			return placed, nil
		}
		if reason := refusal.From(err).Reason; reason != refusal.NoServer {
			return place(failed, wait)
		}
	}
	return place(nil, wait)
}

// mayClearSoon reports whether a request was refused for a reason that may pass while it waits, such as capacity in
// use.
func mayClearSoon(r routing.Reason) bool {
	return r == routing.ReasonShareFull || r == routing.ReasonServerLoaded || r == routing.ReasonProbing ||
		r == routing.ReasonUnhealthy || r == routing.ReasonSuspects
}

// queue returns the queue of a model or service. The caller holds mu.
func (s *serverController) queue(target string) *routing.Queue[*waiter] {
	q := s.queues[target]
	if q == nil {
		q = routing.NewQueue[*waiter](maxQueued)
		s.queues[target] = q
	}
	return q
}

func (s *serverController) awaitPlacement(ctx context.Context, q *routing.Queue[*waiter], w *waiter, limit time.Duration, refused *routing.Refusal) (routing.Placement, error) {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	var err error
	select {
	case p := <-w.placed:
		return p, nil
	case <-ctx.Done():
		err = ctx.Err()
	case <-timer.C:
		err = placementRefusal(refused)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	q.Remove(func(o *waiter) bool { return o == w })
	select {
	case p := <-w.placed:
		// The request was placed while it was being cancelled, so its placement is released.
		s.table.Release(s.cfg.Now(), p.ID, routing.Outcome{})
	default:
	}
	return routing.Placement{}, err
}

func placementRefusal(refused *routing.Refusal) error {
	if refused == nil {
		return refusal.New(refusal.NoServer, "no backend server")
	}
	reason := refusal.NoCapacity
	switch refused.Reason {
	case routing.ReasonNoServer, routing.ReasonLeaving, routing.ReasonExcluded, routing.ReasonUnhealthy:
		reason = refusal.NoServer
	case routing.ReasonTooLarge:
		return refusal.New(refusal.TooLarge, "the request is larger than any share of a backend server's memory")
	}
	return refusal.New(reason, "no backend server has room: %s", refused.Reason).WithRetryAt(refused.RetryAt)
}
