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
	// changed is called after a new configuration was applied.
	changed func()
	// ordered is called with each order of a roll-out and its version.
	ordered func(o catalog.Rollout, version uint64)
	// eraBegan is called before the first order of each era.
	eraBegan func(era keyed.Era)
	follow   follower
}

func newCatalogController(cfg Config) *catalogController {
	c := &catalogController{cfg: cfg, changed: func() {}, ordered: func(catalog.Rollout, uint64) {}, eraBegan: func(keyed.Era) {}}
	c.follow = follower{
		cfg: cfg, partition: keyed.Partition{Stream: keyed.Operations}, apply: c.apply,
		wait: func() time.Duration { return configReadWait },
		snapshot: func(records []keyed.Record) {
			for _, r := range records {
				c.apply(r)
			}
		},
		onEra: func(time.Time, bool) { c.eraBegan(c.follow.era) },
	}
	return c
}

func (c *catalogController) loop(ctx context.Context) error { return c.follow.loop(ctx) }

func (c *catalogController) now() *catalog.Catalog { return c.current.Load() }

func (c *catalogController) apply(r keyed.Record) {
	if len(r.Value) == 0 {
		return
	}
	operation, err := c.cfg.Decoder.DecodeOperation(r.Key, r.Value)
	if err != nil {
		c.cfg.Events.Event(event.ConfigRejected, apexlog.Fields{"key": r.Key, "offset": r.Offset, "error": err.Error()})
		return
	}
	switch o := operation.(type) {
	case *catalog.Catalog:
		c.replace(o, r.Offset)
	case *catalog.Rollout:
		c.ordered(*o, rollout.OrderVersion(c.follow.era, r.Offset))
	}
}

// replace applies a configuration unless its version is older than the current one.
func (c *catalogController) replace(next *catalog.Catalog, offset uint64) {
	if old := c.current.Load(); old != nil && old.Version >= next.Version {
		return
	}
	c.current.Store(next)
	c.cfg.Events.Event(event.ConfigActivated, apexlog.Fields{"version": next.Version, "offset": offset})
	c.changed()
}
