package entry

import (
	"context"

	"github.com/twitchtv/twirp"

	"ibiswinch/core/budget"
	"ibiswinch/core/config"
	"ibiswinch/io/peer"
)

// peerServer implements the calls that peers make to this entry VM.
type peerServer struct {
	vm *VM
}

// Exchange merges the digest of a peer and returns the own digest.
func (s peerServer) Exchange(_ context.Context, d *peer.Digest) (*peer.Digest, error) {
	now := s.vm.cfg.Now()
	s.vm.peers.merge(now, d)
	return s.vm.peers.digest(now, d.GetAuthor().GetVm()), nil
}

// Draw issues a slice of the tokens that were granted to this entry VM.
func (s peerServer) Draw(_ context.Context, r *peer.DrawRequest) (*peer.DrawReply, error) {
	id, err := budget.ParseDrawID(r.GetIdentity())
	if err != nil {
		return nil, twirp.InvalidArgumentError("identity", err.Error())
	}
	var reply budget.DrawReply
	b := s.vm.budget
	b.worker.WithLock(func() {
		reply = b.holder.Draw(s.vm.cfg.Now(), budget.Draw{ID: id, Team: r.GetTeam(), Tokens: r.GetTokens()})
	})
	return &peer.DrawReply{Tokens: reply.Tokens, Holder: string(reply.Holder), BudgetExhausted: reply.Exhausted}, nil
}

// Restore takes back a slice that its spender doesn't use.
func (s peerServer) Restore(_ context.Context, r *peer.RestoreRequest) (*peer.RestoreReply, error) {
	id, err := budget.ParseDrawID(r.GetIdentity())
	if err != nil {
		return nil, twirp.InvalidArgumentError("identity", err.Error())
	}
	restore := budget.Restore{ID: id, Team: r.GetTeam(), Holder: budget.HolderID(r.GetHolder()), Tokens: r.GetTokens()}
	var reply budget.RestoreReply
	b := s.vm.budget
	b.worker.WithLock(func() { reply = b.holder.Restore(s.vm.cfg.Now(), restore) })
	return &peer.RestoreReply{Accepted: reply.Accepted}, nil
}

// AdvanceFrontier acknowledges, as a witness, how many tokens a holder may issue.
func (s peerServer) AdvanceFrontier(_ context.Context, r *peer.FrontierRequest) (*peer.FrontierReply, error) {
	ask := budget.FrontierRequest{Witness: s.vm.cfg.Author, Holder: budget.HolderID(r.GetHolder())}
	for _, f := range r.GetFrontiers() {
		ask.Frontiers = append(ask.Frontiers, budget.Frontier{Team: f.GetTeam(), Tokens: f.GetTokens()})
	}
	var reply budget.FrontierReply
	b := s.vm.budget
	b.worker.WithLock(func() { reply = b.witness.Acknowledge(ask) })
	return &peer.FrontierReply{Acknowledged: reply.Acknowledged, Sealed: reply.Sealed}, nil
}

// HoldBills stores copies of the bill lines of another entry VM.
func (s peerServer) HoldBills(_ context.Context, r *peer.HoldBillsRequest) (*peer.HoldBillsReply, error) {
	author := peer.DecodeAuthor(r.GetAuthor())
	if author.VM == "" || author.Incarnation == "" {
		return nil, twirp.RequiredArgumentError("author")
	}
	lines := make([]budget.BillLine, 0, len(r.GetLines()))
	for _, l := range r.GetLines() {
		line := fromWireLine(l)
		if err := line.Validate(); err != nil {
			return nil, twirp.InvalidArgumentError("lines", err.Error())
		}
		lines = append(lines, line)
	}
	return &peer.HoldBillsReply{Accepted: s.vm.bills.storeReplicas(author, lines)}, nil
}

// GetConfig returns the configuration in force at this entry VM.
func (s peerServer) GetConfig(context.Context, *peer.GetConfigRequest) (*peer.Publication, error) {
	p := s.vm.configs.publication()
	if p.Version == 0 {
		return nil, twirp.NotFoundError("no configuration in force")
	}
	return &peer.Publication{
		Version: p.Version, Replaces: p.Replaces, Operator: p.Operator, Inventory: p.Inventory, Rules: p.Rules,
	}, nil
}

func fromWirePublication(p *peer.Publication) config.Publication {
	return config.Publication{
		Version: p.GetVersion(), Replaces: p.GetReplaces(), Operator: p.GetOperator(), Inventory: p.GetInventory(),
		Rules: p.GetRules(),
	}
}
