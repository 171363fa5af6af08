package entry

import (
	"time"

	"ibiswinch/core/event"
	"ibiswinch/core/refusal"
	"ibiswinch/io/apexlog"
)

// openRetryDelay is the Retry-After of a request that is refused because of other open ones.
const openRetryDelay = time.Second

// beginRequest counts an open request of a team and returns how to end it. It refuses one that is too many.
func (vm *VM) beginRequest(team string) (end func(), err error) {
	vm.openMu.Lock()
	isFull := vm.open.Total() >= vm.cfg.MaxStreams
	begun := !isFull && vm.open.Begin(team, vm.hasManyTeams())
	vm.openMu.Unlock()
	switch {
	case isFull:
		return nil, vm.refuseFull()
	case !begun:
		vm.closeStalled()
		return nil, refusal.New(refusal.Overloaded, "this entry VM has many open requests, and the team has its share of them").
			WithRetryAt(vm.cfg.Now().Add(openRetryDelay))
	}
	return func() {
		vm.openMu.Lock()
		defer vm.openMu.Unlock()
		vm.open.End(team)
	}, nil
}

// openRequests counts the open requests.
func (vm *VM) openRequests() int64 {
	vm.openMu.Lock()
	defer vm.openMu.Unlock()
	return int64(vm.open.Total())
}

// hasManyTeams reports whether the rules have more than one team.
func (vm *VM) hasManyTeams() bool { return len(vm.configs.active().config.Rules.Teams) > 1 }

// refuseFull refuses a request because of what the open ones hold.
func (vm *VM) refuseFull() *refusal.Error {
	vm.closeStalled()
	vm.events.Event(event.MemoryFull, apexlog.Fields{"heldBytes": vm.memory.Held()})
	return refusal.New(refusal.MemoryFull, "this entry VM holds too many bytes for open requests").WithRetryAt(vm.cfg.Now().Add(openRetryDelay))
}

// closeStalled closes some connections of callers that don't read their answers.
func (vm *VM) closeStalled() {
	if s := vm.callerHTTP.Load(); s != nil {
		s.CloseStalled()
	}
}
