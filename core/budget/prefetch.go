package budget

import (
	"maps"
	"slices"
	"time"
)

// Timing of a spender.
const (
	// drawRetryInterval is the interval at which the same draw or restore is sent again.
	drawRetryInterval = 500 * time.Millisecond
	// spenderTick is the interval at which a team with recent requests is due.
	spenderTick = time.Second
	// maxRestoreSends is how often a restore is sent before its tokens are given up.
	maxRestoreSends = 6
	// restoreRetryPause is the pause after a refused restore.
	restoreRetryPause = 10 * time.Second
	// surplusFactor is the multiple of the tokens of the slice horizon above which the surplus is restored.
	surplusFactor = 3
)

// SpenderActions are what the process sends for a spender: each draw to the current holder of its team, each restore to
// the holder in it, and the returns to the ledger stream. If a holder can't be reached, no reply is needed.
type SpenderActions struct {
	Draws    []Draw
	Restores []Restore
	Returns  []Return
}

// Tick returns draws ahead of requests, repeated draws, and restores of idle slices. Its cost depends on the number of
// due teams.
func (s *Spender) Tick(now time.Time) SpenderActions {
	var a SpenderActions
	for _, team := range s.queue.takeDue(now) {
		t := s.teams[team]
		s.tickDraw(now, team, t, &a)
		s.tickRestore(now, team, t, &a)
		s.schedule(now, team, t)
	}
	return a
}

func (s *Spender) tickDraw(now time.Time, team string, t *spenderTeam, a *SpenderActions) {
	if t.draw.ID.Number != 0 && now.Sub(t.drawStarted) >= s.cfg.DrawTimeout {
		t.abandonDraw()
	}
	target := t.reserveRate.tokens(now, s.cfg.RateWindow, s.cfg.SliceHorizon)
	have := t.tokens()
	low := have < target/2 || t.shortfall > 0
	if t.draw.ID.Number == 0 && low && !s.isIdle(now, t) && !now.Before(t.exhaustedUntil) && !s.stopping {
		s.startDraw(now, team, t, max(target-min(target, have), t.shortfall))
	}
	if t.draw.ID.Number != 0 {
		a.Draws = append(a.Draws, t.draw)
	}
}

// AbandonDraw gives up a draw that its holder doesn't answer, so that the next draw can go to another holder.
func (s *Spender) AbandonDraw(now time.Time, d Draw) {
	if t := s.teams[d.Team]; t != nil && t.draw.ID == d.ID {
		t.abandonDraw()
		s.queue.add(d.Team, now)
	}
}

// abandonDraw gives up the draw in flight. A late reply to one of the last abandoned draws is still credited.
func (t *spenderTeam) abandonDraw() {
	t.abandoned = append(t.abandoned, t.draw.ID)
	if len(t.abandoned) > maxAbandoned {
		t.abandoned = slices.Delete(t.abandoned, 0, 1)
	}
	t.draw = Draw{}
	t.shortfall = 0
}

func (s *Spender) isIdle(now time.Time, t *spenderTeam) bool {
	return now.Sub(t.lastRequest) >= s.cfg.IdleAfter
}

// tickRestore repeats the restore in flight, or restores an idle or excessive slice.
func (s *Spender) tickRestore(now time.Time, team string, t *spenderTeam, a *SpenderActions) {
	if t.restore.ID.Number == 0 {
		s.startRestore(now, team, t, a)
	}
	if t.restore.ID.Number == 0 {
		return
	}
	if t.restoreSends >= maxRestoreSends {
		// The holder may have taken the tokens and its reply was lost, so nobody else may use them.
		t.restore = Restore{}
		return
	}
	t.restoreSends++
	a.Restores = append(a.Restores, t.restore)
}

// startRestore restores idle or excessive tokens of the newest slice. If its holder is closed, they are returned
// through the log instead.
func (s *Spender) startRestore(now time.Time, team string, t *spenderTeam, a *SpenderActions) {
	keep := uint64(0)
	if !s.isIdle(now, t) && !s.stopping {
		keep = surplusFactor * max(t.reserveRate.tokens(now, s.cfg.RateWindow, s.cfg.SliceHorizon), t.shortfall)
	}
	have := t.tokens()
	if have <= keep || now.Before(t.restoreAfter) {
		return
	}
	newest := &t.slices[len(t.slices)-1]
	n := min(have-keep/surplusFactor, newest.tokens)
	holder := newest.holder
	newest.tokens -= n
	t.slices = slices.DeleteFunc(t.slices, func(sl slice) bool { return sl.tokens == 0 })
	if !s.cfg.Ledger.IsOpen(holder) {
		a.Returns = append(a.Returns, Return{Holder: holder, Team: team, Restored: n})
		return
	}
	t.lastRestoreNumber++
	id := DrawID{Spender: s.cfg.Author, Number: t.lastRestoreNumber}
	t.restore = Restore{ID: id, Team: team, Holder: holder, Tokens: n}
	t.restoreSends = 0
}

// ApplyRestoreReply handles the reply to a restore. A refusal gives the tokens back to the slices only if the restore
// was sent once: a holder that forgot the spender, or changed its epoch, refuses the copy of a restore that it accepted
// before. The process also passes a refusal if it could not connect to the holder, since nothing was sent then.
func (s *Spender) ApplyRestoreReply(now time.Time, reply RestoreReply) {
	t := s.teams[reply.Team]
	if t == nil || reply.ID.Number == 0 || t.restore.ID != reply.ID {
		return
	}
	r := t.restore
	t.restore = Restore{}
	if !reply.Accepted && t.restoreSends == 1 {
		t.addSlice(slice{holder: r.Holder, tokens: r.Tokens})
		t.restoreAfter = now.Add(restoreRetryPause)
	}
	s.queue.add(reply.Team, now.Add(spenderTick))
}

// schedule sets when the team is due next.
func (s *Spender) schedule(now time.Time, team string, t *spenderTeam) {
	switch {
	case t.draw.ID.Number != 0 || t.restore.ID.Number != 0:
		s.queue.add(team, now.Add(drawRetryInterval))
	case now.Sub(t.lastRequest) < 2*spenderTick || s.stopping && t.tokens() > 0:
		s.queue.add(team, now.Add(spenderTick))
	case t.tokens() > 0:
		s.queue.add(team, maxTime(now.Add(spenderTick), t.lastRequest.Add(s.cfg.IdleAfter)))
	}
}

// Stop refuses further requests and makes Tick restore all slices. Once all requests have ended and the restores are
// answered, the process calls Release.
func (s *Spender) Stop(now time.Time) {
	s.stopping = true
	for team := range s.teams {
		s.queue.add(team, now)
	}
}

// Release returns the remaining tokens of the slices as records for the log, such as those of holders that can't be
// reached. Tokens of a restore without a reply are not included, since the holder may have taken them.
func (s *Spender) Release() []Return {
	var returns []Return
	for _, team := range slices.Sorted(maps.Keys(s.teams)) {
		t := s.teams[team]
		for _, sl := range t.slices {
			returns = append(returns, Return{Holder: sl.holder, Team: team, Restored: sl.tokens})
		}
		t.slices = nil
	}
	return returns
}
