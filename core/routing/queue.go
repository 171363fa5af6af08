package routing

import (
	"cmp"
	"slices"
	"time"
)

// QueuedRequest is a request that waits in a Queue.
type QueuedRequest[T any] struct {
	Item     T
	Priority Priority
	// Deadline is when the request expires.
	Deadline time.Time
	// sequence keeps requests of equal priority and deadline in the order of arrival.
	sequence uint64
}

// Queue holds the requests of one model that wait for room, ordered by priority, deadline and arrival.
// It is not safe for concurrent use.
type Queue[T any] struct {
	max      int
	sequence uint64
	waiting  []QueuedRequest[T]
}

// NewQueue returns a queue for up to max requests.
func NewQueue[T any](max int) *Queue[T] { return &Queue[T]{max: max} }

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return len(q.waiting) }

// Push adds a request. If the queue is full, it drops and returns the last request in order, which may be the new one.
func (q *Queue[T]) Push(item T, p Priority, deadline time.Time) (dropped T, full bool) {
	q.sequence++
	w := QueuedRequest[T]{Item: item, Priority: p, Deadline: deadline, sequence: q.sequence}
	i, _ := slices.BinarySearchFunc(q.waiting, w, QueuedRequest[T].compare)
	q.waiting = slices.Insert(q.waiting, i, w)
	if len(q.waiting) <= q.max {
		return dropped, false
	}
	last := len(q.waiting) - 1
	dropped = q.waiting[last].Item
	q.waiting = slices.Delete(q.waiting, last, last+1)
	return dropped, true
}

func (w QueuedRequest[T]) compare(v QueuedRequest[T]) int {
	return cmp.Or(
		cmp.Compare(v.Priority, w.Priority),
		w.Deadline.Compare(v.Deadline),
		cmp.Compare(w.sequence, v.sequence),
	)
}

// Expire removes and returns the requests whose deadline has passed.
func (q *Queue[T]) Expire(now time.Time) []T {
	var expired []T
	q.waiting = slices.DeleteFunc(q.waiting, func(w QueuedRequest[T]) bool {
		late := !now.Before(w.Deadline)
		if late {
			expired = append(expired, w.Item)
		}
		return late
	})
	return expired
}

// Admit calls try for the requests in order and removes those for which it returns true. It stops after maxRefusals
// refusals: a large request at the head doesn't block the smaller ones behind it, and a long queue isn't scanned
// whenever there is no room.
func (q *Queue[T]) Admit(maxRefusals int, try func(T) bool) {
	q.waiting = slices.DeleteFunc(q.waiting, func(w QueuedRequest[T]) bool {
		if maxRefusals <= 0 {
			return false
		}
		taken := try(w.Item)
		if !taken {
			maxRefusals--
		}
		return taken
	})
}

// Remove removes the matching requests, such as one whose caller has disconnected, and returns their number.
func (q *Queue[T]) Remove(match func(T) bool) int {
	before := len(q.waiting)
	q.waiting = slices.DeleteFunc(q.waiting, func(w QueuedRequest[T]) bool { return match(w.Item) })
	return before - len(q.waiting)
}
