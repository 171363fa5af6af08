package gateway

import (
	"maps"
	"net/netip"
	"slices"

	"ibiswinch/core/membership"
)

// peer is another entry VM that can be called.
type peer struct {
	name string
	addr netip.AddrPort
	zone string
	// unreachable is set if it didn't answer a call within the last unreachableTTL.
	unreachable bool
}

// peers returns the other entry VMs in no particular order.
func (f *fleetController) peers() []peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.cfg.Now()
	list := make([]peer, 0, len(f.addresses))
	for name, addr := range f.addresses {
		list = append(list, peer{name: name, addr: addr, zone: f.zones[name], unreachable: now.Before(f.unreachableUntil[name])})
	}
	return list
}

// isAlone reports whether there are no other entry VMs, and there have been none since this process started.
func (f *fleetController) isAlone() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.addresses) == 0 && f.loaded && f.cfg.Now().Sub(f.started) >= aloneAfter
}

// setZone and dropZone maintain the candidates for primaries. The caller holds mu.
func (f *fleetController) setZone(name string, h heartbeat) {
	if h.Leaving {
		f.dropZone(name)
		return
	}
	if old, found := f.zones[name]; !found || old != h.Zone {
		f.zones[name] = h.Zone
		clear(f.primaries)
	}
}

func (f *fleetController) dropZone(name string) {
	if _, found := f.zones[name]; found {
		delete(f.zones, name)
		clear(f.primaries)
	}
}

// primariesOf returns the primaries of a team, one in each failure domain, chosen by rendezvous hashing. Entry VMs that
// know the same members choose the same primaries without communication; otherwise there are more primaries for a
// while.
func (f *fleetController) primariesOf(team string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.loaded {
		return nil
	}
	if primaries, found := f.primaries[team]; found {
		return primaries
	}
	best := map[string]string{}
	for name, zone := range f.zones {
		if current, found := best[zone]; !found || membership.Hash(team, name) > membership.Hash(team, current) {
			best[zone] = name
		}
	}
	primaries := slices.Sorted(maps.Values(best))
	f.primaries[team] = primaries
	return primaries
}

// zoneCount is the number of failure domains that have entry VMs.
func (f *fleetController) zoneCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	zones := map[string]bool{}
	for _, zone := range f.zones {
		zones[zone] = true
	}
	return max(len(zones), 1)
}

// announceLeaving tells the other entry VMs that this one stops.
func (f *fleetController) announceLeaving() {
	f.leaving.Store(true)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dropZone(f.cfg.Name)
	f.requestAnnounce()
}

// markUnreachable records that an entry VM didn't answer.
func (f *fleetController) markUnreachable(p peer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unreachableUntil[p.name] = f.cfg.Now().Add(unreachableTTL)
}
