package gateway

import (
	"context"
	"sync/atomic"
	"time"

	"ibiswinch/core/catalog"
	"ibiswinch/core/event"
	"ibiswinch/core/keyed"
	"ibiswinch/core/rollout"
	"ibiswinch/io/apexlog"
)

// configReadWait is how long a read waits for a change. It bounds how long a dead connection can delay a change.
const configReadWait = time.Second

// catalogController maintains the current configuration.
type catalogController struct {
	cfg     Config
	current atomic.Pointer[catalog.Catalog]
	// changing is called before a new configuration is applied, changed after that.
	changing func(next *catalog.Catalog)
	changed  func()
	// ordered is called with each order of a roll-out and its version.
	ordered func(o catalog.Rollout, version uint64)
	// eraBegan is called before the first order of each era.
	eraBegan func(era keyed.Era)
	// evacuations gets the orders to evacuate failure domains. It is set before loop.
	evacuations *evacuationOrders
	follow      follower
}

func newCatalogController(cfg Config) *catalogController {
	c := &catalogController{cfg: cfg, changing: func(*catalog.Catalog) {}, changed: func() {}, ordered: func(catalog.Rollout, uint64) {}, eraBegan: func(keyed.Era) {}}
	c.follow = follower{
		cfg: cfg, partition: keyed.Partition{Stream: keyed.Operations}, apply: c.apply,
		wait:     func() time.Duration { return configReadWait },
		snapshot: c.snapshot,
		onEra: func(now time.Time, restored bool) {
			c.evacuations.beginEra(now, restored)
			c.eraBegan(c.follow.era)
		},
	}
	return c
}

func (c *catalogController) loop(ctx context.Context) error { return c.follow.loop(ctx) }

func (c *catalogController) now() *catalog.Catalog { return c.current.Load() }

// snapshot applies the newest records of all keys. The first configuration follows the evacuations, so that no call is placed before
// they are known.
func (c *catalogController) snapshot(records []keyed.Record) {
	c.evacuations.endUnlisted(records)
	var other []func()
	for _, r := range records {
		switch o := c.decode(r).(type) {
		case *catalog.Evacuation:
			c.evacuations.add(*o, r)
		default:
			other = append(other, func() { c.execute(o, r) })
		}
	}
	for _, execute := range other {
		execute()
	}
}

func (c *catalogController) apply(r keyed.Record) {
	if len(r.Value) == 0 {
		c.evacuations.remove(r)
		return
	}
	c.execute(c.decode(r), r)
}

// decode returns the operation of a record, nil if there is none.
func (c *catalogController) decode(r keyed.Record) any {
	if len(r.Value) == 0 {
		return nil
	}
	operation, err := c.cfg.Decoder.DecodeOperation(r.Key, r.Value)
	if err != nil {
		c.cfg.Events.Event(event.ConfigRejected, apexlog.Fields{"key": r.Key, "offset": r.Offset, "error": err.Error()})
		return nil
	}
	return operation
}

func (c *catalogController) execute(operation any, r keyed.Record) {
	switch o := operation.(type) {
	case *catalog.Catalog:
		c.replace(o, r.Offset)
	case *catalog.Rollout:
		c.ordered(*o, rollout.OrderVersion(c.follow.era, r.Offset))
	case *catalog.Evacuation:
		c.evacuations.add(*o, r)
	}
}

// replace applies a configuration unless its version is older than the current one.
func (c *catalogController) replace(next *catalog.Catalog, offset uint64) {
	if old := c.current.Load(); old != nil && old.Version >= next.Version {
		return
	}
	c.changing(next)
	c.current.Store(next)
	c.cfg.Events.Event(event.ConfigActivated, apexlog.Fields{"version": next.Version, "offset": offset})
	c.changed()
}
