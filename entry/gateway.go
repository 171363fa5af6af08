package entry

import (
	"context"
	"time"

	"ibiswinch/core/refusal"
	"ibiswinch/core/retry"
	"ibiswinch/io/openai"
)

// notReadyRetryAfter is the time after which callers are told to retry while a process starts or stops.
const notReadyRetryAfter = time.Second

// CheckReady implements openai.Gateway: an entry VM is ready once it has a configuration and has read the ledger, until
// a planned stop begins.
func (vm *VM) CheckReady() *refusal.Error {
	if vm.draining.Load() {
		return refusal.New(refusal.Draining, "this entry VM is stopping").WithRetryAt(vm.cfg.Now().Add(notReadyRetryAfter))
	}
	return vm.CheckAccepting()
}

// CheckAccepting implements openai.Gateway. In a planned stop, requests are accepted for loadBalancerDelay after
// CheckReady has begun to fail.
func (vm *VM) CheckAccepting() *refusal.Error {
	retryAt := vm.cfg.Now().Add(notReadyRetryAfter)
	switch {
	case vm.refusingNew.Load():
		return refusal.New(refusal.Draining, "this entry VM is stopping").WithRetryAt(retryAt)
	case vm.peers.isReplaced():
		return refusal.New(refusal.NotReady, "this process was replaced by a newer one").WithRetryAt(retryAt)
	case !vm.peersContacted.Load():
		return refusal.New(refusal.NotReady, "this process has not met its peers yet").WithRetryAt(retryAt)
	case vm.configs.behindPeers():
		return refusal.New(refusal.NotReady, "a peer has a newer configuration").WithRetryAt(retryAt)
	case vm.configs.active().config == nil:
		return refusal.New(refusal.NotReady, "no configuration is in force yet").WithRetryAt(retryAt)
	}
	if status := vm.budget.worker.Status(); status.Halted != "" {
		return refusal.New(refusal.NotReady, "the ledger needs a newer release").WithRetryAt(retryAt)
	} else if !status.CaughtUp {
		return refusal.New(refusal.NotReady, "the ledger is not read yet").WithRetryAt(retryAt)
	}
	return nil
}

// Authenticate implements openai.Gateway.
func (vm *VM) Authenticate(key string) (openai.Team, bool) {
	t, ok := vm.configs.active().config.TeamOfKey(key)
	return openai.Team{Name: t.Name}, ok
}

// Models implements openai.Gateway.
func (vm *VM) Models(team openai.Team) []string {
	t, _ := vm.configs.active().config.Team(team.Name)
	return t.Models
}

// admitNotQuarantined refuses requests with content that has crashed several backend servers.
func (vm *VM) admitNotQuarantined(next handler) handler {
	return func(ctx context.Context, r *completion, out openai.AnswerWriter) error {
		r.fingerprint = fingerprintOf(r.input)
		if check := vm.quarantine.check(r.arrivedAt, r.fingerprint); check.State == retry.Quarantined {
			return quarantineRefusal(check)
		}
		vm.quarantine.countRequest()
		return next(ctx, r, out)
	}
}

func quarantineRefusal(check retry.CheckResult) *refusal.Error {
	return refusal.New(refusal.Quarantined, "backend servers crashed while they ran this request; it is refused until %s",
		check.Until.UTC().Format(time.RFC3339))
}
