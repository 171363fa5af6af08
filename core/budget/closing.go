package budget

import (
	"slices"

	"github.com/rotisserie/eris"

	"ibiswinch/core/record"
)

// applyWitnessSet opens a holder or changes its witnesses.
func (l *Ledger) applyWitnessSet(author record.Author, p WitnessSet) error {
	if !isRunBy(p.Holder, author) {
		return eris.Wrap(ErrRejected, "witness set by a process that doesn't run the holder")
	}
	h := l.holders[p.Holder]
	if h == nil {
		// Closed holders are forgotten. A late change of the witnesses must not open the holder again.
		if p.Number != 1 || p.More || len(p.Frontiers) > 0 {
			return eris.Wrapf(ErrRejected, "holder %q is not open", string(p.Holder))
		}
		l.holders[p.Holder] = &holderState{witnessSetNumber: 1, witnesses: p.Witnesses, teams: map[string]*HolderGrant{}}
		return nil
	}
	if p.Number != h.witnessSetNumber+1 {
		return eris.Wrap(ErrRejected, "number of the witness set is not the next one")
	}
	h.raiseFrontiers(p.Frontiers)
	if p.More {
		return nil
	}
	h.witnessSetNumber = p.Number
	h.witnesses = p.Witnesses
	h.sealed = [MaxWitnesses]bool{}
	return nil
}

// raiseFrontiers raises the frontiers of the holder to the given ones. Teams without a grant are ignored.
func (h *holderState) raiseFrontiers(frontiers []Frontier) {
	for _, f := range frontiers {
		if g := h.teams[f.Team]; g != nil {
			g.Frontier = max(g.Frontier, f.Tokens)
		}
	}
}

// applySeal applies the seal of a witness or of the holder itself. The holder is closed once all its witnesses have
// sealed it.
func (l *Ledger) applySeal(author record.Author, p Seal) error {
	h := l.holders[p.Holder]
	if h == nil {
		return eris.Wrapf(ErrRejected, "holder %q is not open", string(p.Holder))
	}
	if isRunBy(p.Holder, author) {
		l.closeByOwner(p, h)
		return nil
	}
	i := slices.Index(h.witnesses, author)
	if i < 0 {
		return eris.Wrap(ErrRejected, "seal by a process that is not a witness of the holder")
	}
	h.raiseFrontiers(p.Frontiers)
	h.sealed[i] = h.sealed[i] || !p.More
	for i := range h.witnesses {
		if !h.sealed[i] {
			return nil
		}
	}
	l.closeHolder(p.Holder, h)
	return nil
}

// closeByOwner closes the holder at the frontiers of its own seal. They are exact even if they are lower than
// acknowledged ones, since a holder that sealed itself issues nothing more. Each record of the seal closes the teams
// that it lists; the last one closes all others at frontier 0.
func (l *Ledger) closeByOwner(p Seal, h *holderState) {
	for _, f := range p.Frontiers {
		if g := h.teams[f.Team]; g != nil {
			g.Frontier = f.Tokens
			l.closeTeam(p.Holder, f.Team, g)
			delete(h.teams, f.Team)
		}
	}
	if p.More {
		return
	}
	for _, g := range h.teams {
		g.Frontier = 0
	}
	l.closeHolder(p.Holder, h)
}

func (l *Ledger) closeHolder(id HolderID, h *holderState) {
	for team, g := range h.teams {
		l.closeTeam(id, team, g)
	}
	delete(l.holders, id)
}

// closeTeam moves the tokens beyond the frontier to the pool, and the rest to the outstanding tokens of closed holders.
func (l *Ledger) closeTeam(id HolderID, team string, g *HolderGrant) {
	t := l.teams[team]
	reclaimed := g.reclaimable()
	t.Returned += reclaimed
	t.closedOutstanding += g.Outstanding() - reclaimed
	delete(t.holders, id)
}
