package entry

import (
	"context"
	"sync/atomic"
	"time"

	"ibiswinch/core/budget"
	"ibiswinch/core/config"
	"ibiswinch/core/event"
	"ibiswinch/entry/stream"
	"ibiswinch/io/apexlog"
	"ibiswinch/io/peer"
)

// Timing of the configuration controller.
const (
	configTick = 500 * time.Millisecond
	// peerFetchDelay is how long a peer may have a newer configuration before it is fetched from there. Usually it is read
	// from the log within that time.
	peerFetchDelay = time.Second
	// topUpCheckInterval is the time between two checks for missing top-ups. An entry VM that isn't the first choice of its domain
	// skips the first check.
	topUpCheckInterval = 5 * time.Second
)

// configApplier is a controller that is told of each new configuration.
type configApplier interface {
	applyConfig(version uint64, cfg *config.Config)
}

// activeConfig is the configuration that requests use.
type activeConfig struct {
	version uint64
	config  *config.Config
}

// configController keeps the configuration in force: from the log, or from peers while the log can't be reached.
type configController struct {
	cfg    Config
	events *apexlog.Logger
	peers  *peerController
	budget *budgetController
	worker *stream.Worker
	// history is guarded by the lock of the worker.
	history        *config.History
	configAppliers []configApplier
	activeConfig   atomic.Pointer[activeConfig]
	// newestPeerVersion is the highest version in a digest of a peer, with the author of that digest.
	newestPeerVersion atomic.Pointer[peerVersion]
	// peerNewerSince is when a peer was first seen to have a newer version than the one in force; zero if none has.
	peerNewerSince time.Time
	// wasCurrent is set with the first configuration that isn't older than the peers'. From then on, requests are served
	// even if peers have a newer one.
	wasCurrent     atomic.Bool
	nextTopUpCheck time.Time
}

type peerVersion struct {
	version uint64
	peer    *peer.Author
}

func newConfigController(cfg Config, p *peerController, b *budgetController, events *apexlog.Logger) *configController {
	c := &configController{cfg: cfg, events: events, peers: p, budget: b, history: config.NewHistory()}
	c.activeConfig.Store(&activeConfig{})
	return c
}

// active returns the configuration in force; its config is nil before the first one.
func (c *configController) active() *activeConfig { return c.activeConfig.Load() }

// behindPeers reports whether a process that has never had a current configuration has an older one than a peer.
func (c *configController) behindPeers() bool {
	return !c.wasCurrent.Load() && c.active().config != nil && c.isOlderThanPeers(c.active().version)
}

func (c *configController) isOlderThanPeers(version uint64) bool {
	newest := c.newestPeerVersion.Load()
	return newest != nil && newest.version > version
}

func (c *configController) publication() config.Publication {
	var p config.Publication
	c.worker.WithLock(func() { p = c.history.Publication() })
	return p
}

// activateNewest puts the newest configuration of the history in force. Only the loop calls it, so versions are applied
// in order.
func (c *configController) activateNewest(source event.Event) {
	var next activeConfig
	c.worker.WithLock(func() { next.version, next.config = c.history.Current() })
	if next.config == nil || next.version <= c.active().version {
		return
	}
	for _, a := range c.configAppliers {
		a.applyConfig(next.version, next.config)
	}
	c.activeConfig.Store(&next)
	c.wasCurrent.Store(c.wasCurrent.Load() || !c.isOlderThanPeers(next.version))
	c.nextTopUpCheck = time.Time{}
	c.events.Event(source, apexlog.Fields{"version": next.version})
}

// loop activates new configurations, fetches them from peers, and checks for missing top-ups until ctx ends.
func (c *configController) loop(ctx context.Context) error {
	ticker := time.NewTicker(configTick)
	defer ticker.Stop()
	for {
		changed := c.worker.Changed()
		c.activateNewest(event.ConfigActivated)
		c.fetchFromPeer(ctx)
		c.checkTopUps(c.cfg.Now())
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		case <-ticker.C:
		}
	}
}

// fetchFromPeer fetches the configuration of a peer that has had a newer one for peerFetchDelay.
func (c *configController) fetchFromPeer(ctx context.Context) {
	now := c.cfg.Now()
	newest := c.newestPeerVersion.Load()
	if newest == nil || newest.version <= c.active().version {
		c.peerNewerSince = time.Time{}
		return
	}
	if c.peerNewerSince.IsZero() {
		c.peerNewerSince = now
	}
	if now.Sub(c.peerNewerSince) < peerFetchDelay {
		return
	}
	client, ok := c.peers.clientForAuthor(peer.DecodeAuthor(newest.peer))
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	p, err := client.GetConfig(ctx, &peer.GetConfigRequest{})
	if err != nil {
		return
	}
	c.worker.WithLock(func() { _, err = c.history.Offer(fromWirePublication(p)) })
	if err != nil {
		c.events.Event(event.ConfigRejected, apexlog.Fields{"version": p.GetVersion(), "error": err.Error()})
		return
	}
	c.activateNewest(event.ConfigFromPeer)
}

// checkTopUps appends the top-ups of the rules that the ledger lacks. In each domain one entry VM does so at once, the
// others at their next check, in case that one has failed.
func (c *configController) checkTopUps(now time.Time) {
	current := c.active()
	if current.config == nil || !c.budget.worker.Status().CaughtUp || now.Before(c.nextTopUpCheck) {
		return
	}
	first := c.nextTopUpCheck.IsZero()
	c.nextTopUpCheck = now.Add(topUpCheckInterval)
	if first && c.peers.holderOf(now, topUpRankKey).Author != c.cfg.Author {
		return
	}
	var all []budget.TopUp
	for _, t := range current.config.Rules.Teams {
		for _, u := range t.TopUps {
			all = append(all, budget.TopUp{Identity: u.ID, Team: t.Name, Tokens: u.Tokens})
		}
	}
	c.budget.appendMissingTopUps(all)
}

// topUpRankKey is the rendezvous key that chooses the entry VM of a domain that appends top-ups first.
const topUpRankKey = "topUps"

func (c *configController) fillDigest(_ time.Time, _ string, d *peer.Digest) {
	d.ConfigVersion = c.active().version
}

func (c *configController) mergeDigest(_ time.Time, d *peer.Digest) {
	for {
		old := c.newestPeerVersion.Load()
		if old != nil && old.version >= d.GetConfigVersion() {
			return
		}
		if c.newestPeerVersion.CompareAndSwap(old, &peerVersion{version: d.GetConfigVersion(), peer: d.GetAuthor()}) {
			return
		}
	}
}
