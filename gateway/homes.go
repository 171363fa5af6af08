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
	// suspect is set when it didn't answer lately.
	suspect bool
}

// peers are the other entry VMs in a random order.
func (f *fleetController) peers() []peer {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.cfg.Now()
	list := make([]peer, 0, len(f.addresses))
	for name, addr := range f.addresses {
		list = append(list, peer{name: name, addr: addr, zone: f.zones[name], suspect: now.Before(f.silent[name])})
	}
	return list
}

// setZone and dropZone keep the candidates for homes. The caller holds mu.
func (f *fleetController) setZone(name string, d digest) {
	if d.Leaving {
		f.dropZone(name)
		return
	}
	if old, found := f.zones[name]; !found || old != d.Zone {
		f.zones[name] = d.Zone
		clear(f.homes)
	}
}

func (f *fleetController) dropZone(name string) {
	if _, found := f.zones[name]; found {
		delete(f.zones, name)
		clear(f.homes)
	}
}

// homesOf are the entry VMs that reserve tokens of a team for all others, one in each failure domain. All entry VMs that
// know the same members agree on them without talking; if they differ, more of them reserve.
func (f *fleetController) homesOf(team string) []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.read {
		return nil
	}
	if homes, found := f.homes[team]; found {
		return homes
	}
	best := map[string]string{}
	for name, zone := range f.zones {
		if held, found := best[zone]; !found || membership.Hash(team, name) > membership.Hash(team, held) {
			best[zone] = name
		}
	}
	homes := slices.Sorted(maps.Values(best))
	f.homes[team] = homes
	return homes
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

// leave tells the others that this entry VM stops.
func (f *fleetController) leave() {
	f.leaving.Store(true)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.dropZone(f.cfg.Name)
	select {
	case f.soon <- struct{}{}:
	default:
	}
}

// unreachable notes that an entry VM didn't answer.
func (f *fleetController) unreachable(p peer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silent[p.name] = f.cfg.Now().Add(unreachableMemory)
}
