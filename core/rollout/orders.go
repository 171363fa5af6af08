package rollout

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"ibiswinch/core/catalog"
	"ibiswinch/core/keyed"
)

const (
	// offsetBits is the number of bits of an order's version that hold the offset of its record; the others hold the era.
	offsetBits = 40
	// orderHold is how long after the begin of an era an unsure order is held back. The operator writes its newest orders
	// again in this time, and entry VMs the steps of their changes.
	orderHold = 3 * time.Second
	// unsureTime is how long after the begin of an era an unknown order may be one of an earlier era.
	unsureTime = 10 * time.Second
	// maxEarlierOrders bounds the known orders of a service.
	maxEarlierOrders = 64
)

// OrderVersion returns the version of an order by the position of its record. It rises with each order, also when a log
// that was restored from a copy gives offsets out again.
func OrderVersion(era keyed.Era, offset uint64) uint64 { return uint64(era)<<offsetBits | (offset + 1) }

func eraOf(version uint64) keyed.Era { return keyed.Era(version >> offsetBits) }

// Order is an order of the operator to move the traffic of a service to a version.
type Order struct {
	catalog.Rollout
	// Version is the one of OrderVersion. It is higher than that of orders that were written earlier.
	Version uint64
	// Deadline is when Target must carry all traffic.
	Deadline time.Time
	// Follows is the ConfigVersion of the last change of the service that was known when the order was read, else 0.
	Follows uint64
	// Unsure is set if the order may be one of an earlier era that this process hasn't read.
	Unsure bool
}

// Orders finds out which orders are new, as a log that was restored from a copy lists older orders until the operator has
// written its newest ones again. It is not safe for concurrent use.
type Orders struct {
	services map[string]*serviceOrders
	// holdUntil and unsureUntil belong to the current era; they are zero if nothing was lost.
	holdUntil, unsureUntil time.Time
}

// serviceOrders holds the orders of one service.
type serviceOrders struct {
	// read is the version of the newest record that was read.
	read uint64
	// current is the order to follow; held is a newer one that is held back. Either may be nil.
	current, held *Order
	// seen are the orders of the current era, earlier those of eras before.
	seen, earlier []catalog.Rollout
	// last is the newest order of the eras before, nil if there is none. settled is set once it was read again: what
	// follows it is new.
	last    *catalog.Rollout
	settled bool
}

// NewOrders returns an Orders without orders.
func NewOrders() *Orders { return &Orders{services: map[string]*serviceOrders{}} }

// BeginEra is called before the first order of an era in which the log may have lost records.
func (o *Orders) BeginEra(now time.Time) {
	o.holdUntil = now.Add(orderHold)
	o.unsureUntil = now.Add(unsureTime)
	for _, s := range o.services {
		s.beginEra()
	}
}

func (s *serviceOrders) beginEra() {
	s.settled = false
	if newest := cmp.Or(s.held, s.current); newest != nil {
		s.last = &newest.Rollout
	}
	s.earlier = append(s.earlier, s.seen...)
	s.earlier = s.earlier[max(len(s.earlier)-maxEarlierOrders, 0):]
	s.seen = nil
}

// Add records an order and reports whether it is new.
func (o *Orders) Add(now time.Time, next Order) bool {
	s := o.services[next.Service]
	if s == nil {
		s = &serviceOrders{}
		o.services[next.Service] = s
	}
	if next.Version <= s.read {
		return false
	}
	s.read = next.Version
	if s.isRepeated(next) {
		return false
	}
	next.Unsure = !s.settled && now.Before(o.unsureUntil)
	s.seen = append(s.seen, next.Rollout)
	if next.Unsure {
		s.held = &next
		return true
	}
	s.current, s.held = &next, nil
	return true
}

// isRepeated reports whether an order is one of an earlier era that is listed or written again.
func (s *serviceOrders) isRepeated(next Order) bool {
	if s.settled || s.last == nil || !slices.Contains(s.earlier, next.Rollout) {
		return false
	}
	if next.Rollout == *s.last {
		s.settled = true
		// An order that was held back is older.
		s.held = nil
	}
	return true
}

// IsHolding reports whether an order is held back.
func (o *Orders) IsHolding() bool {
	for _, s := range o.services {
		if s.held != nil {
			return true
		}
	}
	return false
}

// Current returns the order to follow of each service, the oldest one first.
func (o *Orders) Current(now time.Time) []Order {
	var orders []Order
	for _, service := range slices.Sorted(maps.Keys(o.services)) {
		s := o.services[service]
		if s.held != nil && !now.Before(o.holdUntil) {
			s.current, s.held = s.held, nil
		}
		if s.current != nil {
			orders = append(orders, *s.current)
		}
	}
	slices.SortFunc(orders, func(a, b Order) int { return cmp.Compare(a.Version, b.Version) })
	return orders
}

// Rule returns the rule of an order whose service has the version old. An order whose change is known has the rule of the
// last change, as its author set the deadline. It returns false if old is missing.
func (o Order) Rule(changes *Changes, old string, stages []Share) (Rule, bool) {
	last, found := changes.Latest(o.Service)
	if found && (last.ConfigVersion >= o.Version || o.isRepeated(changes)) {
		return last.Rule, true
	}
	return Rule{Model: o.Service, Old: old, New: o.Target, Deadline: o.Deadline, Stages: stages}, old != ""
}

// isRepeated reports whether the change of an order was opened in an earlier era, without the knowledge of this process.
func (o Order) isRepeated(changes *Changes) bool {
	return slices.ContainsFunc(changes.models[o.Service], func(c Change) bool {
		isEarlier := eraOf(c.ConfigVersion) < eraOf(o.Version)
		return isEarlier && c.Rule.New == o.Target && (o.Unsure || c.ConfigVersion > o.Follows)
	})
}
