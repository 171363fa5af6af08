package budget

import (
	"cmp"
	"container/heap"
	"math"
	"time"
)

// dueTeam is a team with the time at which it is due.
type dueTeam struct {
	due  time.Time
	team string
}

type dueHeap []dueTeam

func (h dueHeap) Len() int      { return len(h) }
func (h dueHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h dueHeap) Less(i, j int) bool {
	return cmp.Or(h[i].due.Compare(h[j].due), cmp.Compare(h[i].team, h[j].team)) < 0
}
func (h *dueHeap) Push(x any) { *h = append(*h, x.(dueTeam)) }
func (h *dueHeap) Pop() any {
	last := len(*h) - 1
	x := (*h)[last]
	*h = (*h)[:last]
	return x
}

// dueQueue orders teams by the time at which they are due, so that the cost of a tick depends only on the due teams.
type dueQueue struct {
	entries dueHeap
	// due is the valid time of each team. Entries with another time are outdated.
	due map[string]time.Time
}

func newDueQueue() dueQueue { return dueQueue{due: map[string]time.Time{}} }

// add makes the team due at the given time, unless it is due earlier.
func (q *dueQueue) add(team string, due time.Time) {
	if old, ok := q.due[team]; ok && !due.Before(old) {
		return
	}
	q.due[team] = due
	heap.Push(&q.entries, dueTeam{due: due, team: team})
}

// takeNext removes and returns the first team that is due.
func (q *dueQueue) takeNext(now time.Time) (string, bool) {
	for len(q.entries) > 0 && !q.entries[0].due.After(now) {
		x := heap.Pop(&q.entries).(dueTeam)
		if due, ok := q.due[x.team]; ok && due.Equal(x.due) {
			delete(q.due, x.team)
			return x.team, true
		}
	}
	return "", false
}

// takeDue removes and returns all teams that are due.
func (q *dueQueue) takeDue(now time.Time) []string {
	var teams []string
	for {
		team, ok := q.takeNext(now)
		if !ok {
			return teams
		}
		teams = append(teams, team)
	}
}

// rate is an exponentially weighted moving average of tokens per second. It is used to size requests, never to check a
// bound.
type rate struct {
	perSecond float64
	updated   time.Time
	started   time.Time
}

// add counts tokens. Their number is negative when a reservation was too large or tokens are restored.
func (r *rate) add(now time.Time, tokens float64, window time.Duration) {
	r.decay(now, window)
	r.perSecond += tokens / window.Seconds()
}

func (r *rate) decay(now time.Time, window time.Duration) {
	if r.updated.IsZero() {
		r.started = now
		r.updated = now
	}
	if dt := now.Sub(r.updated); dt > 0 {
		r.perSecond *= math.Exp(-dt.Seconds() / window.Seconds())
		r.updated = now
	}
}

// tokens returns the expected tokens within a horizon at the recent rate. A rate that was observed for less than its
// window is scaled up, but at most as if it had been observed for a tenth of the window.
func (r *rate) tokens(now time.Time, window, horizon time.Duration) uint64 {
	r.decay(now, window)
	if r.perSecond <= 0 {
		return 0
	}
	age := max(now.Sub(r.started), window/10)
	covered := 1 - math.Exp(-age.Seconds()/window.Seconds())
	return uint64(min(r.perSecond/covered*horizon.Seconds(), MaxAmount))
}
