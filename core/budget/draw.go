package budget

import (
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"ibiswinch/core/record"
)

// DrawID identifies a draw or a restore. A spender numbers draws and restores separately for each team, and has at most
// one of each in flight.
type DrawID struct {
	Spender record.Author
	Number  uint64
}

// String returns the form used in messages between entry VMs.
func (id DrawID) String() string {
	return id.Spender.VM + "/" + id.Spender.Incarnation + "/" + strconv.FormatUint(id.Number, 10)
}

// ParseDrawID parses the form that String returns.
func ParseDrawID(s string) (DrawID, error) {
	parts := strings.Split(s, "/")
	if len(parts) != 3 || parts[0] == "" || parts[1] == "" || len(s) > maxHolderBytes {
		return DrawID{}, eris.Wrap(ErrInvalid, "draw identity is not vm/incarnation/number")
	}
	n, err := strconv.ParseUint(parts[2], 10, 64)
	if err != nil || n == 0 {
		return DrawID{}, eris.Wrap(ErrInvalid, "number of a draw identity")
	}
	return DrawID{Spender: record.Author{VM: parts[0], Incarnation: parts[1]}, Number: n}, nil
}

// Draw requests a slice from a holder.
type Draw struct {
	ID     DrawID
	Team   string
	Tokens uint64
}

// DrawReply is the reply to a draw. It may contain fewer tokens than requested.
type DrawReply struct {
	ID     DrawID
	Team   string
	Holder HolderID
	Tokens uint64
	// Exhausted is true if neither the holder nor the pool has tokens. If it is false and there are too few tokens, the
	// spender should draw again: the holder waits for a grant or a frontier.
	Exhausted bool
}

// Restore gives idle tokens of a slice back to the holder that issued them.
type Restore struct {
	ID     DrawID
	Team   string
	Holder HolderID
	Tokens uint64
}

// RestoreReply is the reply to a restore.
type RestoreReply struct {
	ID       DrawID
	Team     string
	Accepted bool
}

// spenderState holds the last draw and the last restore of one spender for a team. Lower numbers are refused, so that a
// delayed copy has no effect.
type spenderState struct {
	lastDraw    DrawReply
	lastRestore uint64
	lastUsed    time.Time
}

// Draw issues tokens. A draw that is repeated gets the same reply.
func (h *Holder) Draw(now time.Time, d Draw) DrawReply {
	reply := DrawReply{ID: d.ID, Team: d.Team, Holder: h.id}
	if d.Tokens == 0 || d.Tokens > MaxAmount || d.ID.Number == 0 || checkName("team", d.Team) != nil {
		return reply
	}
	if _, known := h.cfg.Ledger.Totals(d.Team); !known {
		reply.Exhausted = true
		return reply
	}
	t := h.team(d.Team)
	if t == nil || h.closed() {
		return reply
	}
	s := t.spender(d.ID.Spender, now)
	if d.ID.Number == s.lastDraw.ID.Number {
		return s.lastDraw
	}
	if d.ID.Number < s.lastDraw.ID.Number || h.phase == phaseStopped {
		return reply
	}
	reply.Tokens = h.issue(now, d.Team, t, d.Tokens)
	reply.Exhausted = reply.Tokens < d.Tokens && h.isExhausted(d.Team, t)
	s.lastDraw = reply
	return reply
}

// issue issues up to tokens of the team, restored ones first, and returns how many.
func (h *Holder) issue(now time.Time, team string, t *holderTeam, tokens uint64) uint64 {
	n := min(tokens, h.available(team, t))
	recycled := min(n, t.restored)
	t.restored -= recycled
	t.issued += n - recycled
	t.lastDraw = now
	t.drawRate.add(now, float64(n), h.cfg.RateWindow)
	if n < tokens {
		t.shortfall = max(t.shortfall, tokens-n)
		h.queue.add(team, now)
	}
	h.queue.add(team, now.Add(holderTick))
	return n
}

// isExhausted reports whether waiting is of no use: the pool is empty and the holder has no tokens left, not even
// beyond the frontier.
func (h *Holder) isExhausted(team string, t *holderTeam) bool {
	if h.unissued(team, t) > 0 || t.restored > 0 {
		return false
	}
	return h.cfg.Ledger.Pool(team) == 0
}

func (t *holderTeam) spender(spender record.Author, now time.Time) *spenderState {
	s := t.spenders[spender]
	if s == nil {
		t.evictSpender()
		s = &spenderState{}
		t.spenders[spender] = s
	}
	s.lastUsed = now
	return s
}

// evictSpender forgets the spender whose last draw or restore is oldest if there are maxSpenders.
func (t *holderTeam) evictSpender() {
	if len(t.spenders) < maxSpenders {
		return
	}
	var oldest record.Author
	var last time.Time
	for a, s := range t.spenders {
		if last.IsZero() || s.lastUsed.Before(last) || s.lastUsed.Equal(last) && a.Compare(oldest) < 0 {
			oldest = a
			last = s.lastUsed
		}
	}
	delete(t.spenders, oldest)
}

// Restore takes tokens back. It refuses restores to another epoch and by spenders that it doesn't remember, since it
// could not distinguish a repeated restore from a new one.
func (h *Holder) Restore(now time.Time, r Restore) RestoreReply {
	reply := RestoreReply{ID: r.ID, Team: r.Team}
	if r.Holder != h.id || h.phase != phaseOpen || h.closed() || r.ID.Number == 0 {
		return reply
	}
	t := h.teams[r.Team]
	if t == nil || t.spenders[r.ID.Spender] == nil {
		return reply
	}
	s := t.spender(r.ID.Spender, now)
	if r.ID.Number <= s.lastRestore {
		reply.Accepted = r.ID.Number == s.lastRestore
		return reply
	}
	if r.Tokens == 0 || r.Tokens > t.issued-t.restored-t.returnedRestored {
		return reply
	}
	s.lastRestore = r.ID.Number
	t.restored += r.Tokens
	t.drawRate.add(now, -float64(r.Tokens), h.cfg.RateWindow)
	h.queue.add(r.Team, now.Add(holderTick))
	reply.Accepted = true
	return reply
}
