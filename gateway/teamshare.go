package gateway

import (
	"context"
	"slices"

	"ibiswinch/core/refusal"
)

// checkShare refuses calls of teams over their share of an overloaded entry VM, and asks their callers to connect elsewhere. It
// counts the call.
func (g *Gateway) checkShare(_ context.Context, r *request) *refusal.Error {
	if g.load.shouldMove(r.teamName()) {
		r.reply.CloseConnection()
	}
	return g.load.checkShare(r.teamName(), r.bodyBytes)
}

// overloadedInZone returns the overloaded entry VMs of this one's failure domain, this one included if it is, and how many live
// there.
func (f *fleetController) overloadedInZone() (names []string, total int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for name, zone := range f.zones {
		if zone != f.cfg.Zone {
			continue
		}
		total++
		isOverloaded := f.overloaded[name]
		if name == f.cfg.Name {
			// The last heartbeat may be that of the process before.
			isOverloaded = f.load.overloaded()
		}
		if isOverloaded {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names, total
}
