package budget

import (
	"time"

	"ibiswinch/core/record"
)

type lineKey struct{ team, identity string }

// billedLine is a line that the ledger billed.
type billedLine struct {
	reservation BilledReservation
	// logTime is when it was billed, coveredUntil the latest of that and the times of all later lines of the identity.
	logTime, coveredUntil time.Time
}

// audit is a reader that compares each bill line with the list of what was billed before. It gets the billed tokens
// from the change of the team's total, since the ledger forgets identities. In the tests, each bill record has a single
// line, with at least one token.
type audit struct {
	*Ledger
	retention time.Duration
	fail      func(format string, args ...any)
	// counted holds every line that was ever billed, last the latest of each identity.
	counted map[lineKey]map[BilledReservation]struct{}
	last    map[lineKey]billedLine
	sums    map[string]uint64
	now     time.Time
	// late counts the expired lines, copies those of them that were billed before, and repeats the identities that were
	// billed again after the retention time.
	late, copies, repeats int
}

func newAudit(retention time.Duration) *audit {
	return &audit{retention: retention, counted: map[lineKey]map[BilledReservation]struct{}{}, last: map[lineKey]billedLine{}, sums: map[string]uint64{}}
}

func keyOf(l BillLine) lineKey { return lineKey{l.Team, l.Identity} }
func reservationOf(l BillLine) BilledReservation {
	return BilledReservation{Spender: l.Spender, Reservation: l.Reservation}
}

func (a *audit) isCounted(l BillLine) bool {
	_, ok := a.counted[keyOf(l)][reservationOf(l)]
	return ok
}

// Apply implements record.Fold.
func (a *audit) Apply(at record.Position, r record.Record) error {
	if r.Kind != record.KindBill {
		return a.Ledger.Apply(at, r)
	}
	bill, err := record.Body[Bill](r)
	if err != nil || len(bill.Lines) != 1 || bill.Lines[0].Tokens() == 0 {
		a.fail("invalid test bill: %+v, %v", bill, err)
		return err
	}
	line := bill.Lines[0]
	before, _ := a.Totals(line.Team)
	err = a.Ledger.Apply(at, r)
	after, _ := a.Totals(line.Team)
	a.now = at.LogTime
	a.checkLine(line, after.Billed-before.Billed)
	return err
}

// checkLine checks whether a line was rightly billed or refused. billed is the number of tokens billed for it.
func (a *audit) checkLine(line BillLine, billed uint64) {
	key, reservation := keyOf(line), reservationOf(line)
	last, known := a.last[key]
	late := a.now.Sub(line.At) >= a.retention
	if late {
		a.late++
		if a.isCounted(line) {
			a.copies++
		}
	}
	if billed == 0 {
		slot := a.retention/generationsPerRetention + time.Second
		if !late && (!known || a.now.Sub(last.coveredUntil) >= a.retention+slot) {
			a.fail("billedExactlyOnce: %+v is not billed at %v", line, a.now)
		}
		if known && !late && line.At.After(last.coveredUntil) {
			last.coveredUntil = line.At
			a.last[key] = last
		}
		return
	}
	switch {
	case billed != line.Tokens():
		a.fail("billedExactlyOnce: %d tokens billed for %+v", billed, line)
	case a.isCounted(line):
		a.fail("billedExactlyOnce: %+v is billed twice", line)
	case late:
		a.fail("billedExactlyOnce: %+v is billed out of retention at %v", line, a.now)
	case known && a.now.Sub(last.logTime) < a.retention:
		a.fail("billedExactlyOnce: identity of %+v is billed at %v and at %v", line, last.logTime, a.now)
	}
	if known {
		a.repeats++
	} else {
		a.counted[key] = map[BilledReservation]struct{}{}
	}
	a.counted[key][reservation] = struct{}{}
	covered := a.now
	if line.At.After(covered) {
		covered = line.At
	}
	a.last[key] = billedLine{reservation: reservation, logTime: a.now, coveredUntil: covered}
	a.sums[line.Team] += billed
}

// check compares the state of the ledger with the list.
func (a *audit) check() {
	for key, want := range a.last {
		got, ok := a.Billed(key.team, key.identity)
		if ok && got != want.reservation || !ok && a.now.Sub(want.coveredUntil) < a.retention {
			a.fail("billedExactlyOnce: %v was paid by %+v, want %+v", key, got, want.reservation)
		}
	}
	for _, team := range a.Teams() {
		if totals, _ := a.Totals(team); totals.Billed != a.sums[team] {
			a.fail("billedExactlyOnce: team %s billed %d, want %d", team, totals.Billed, a.sums[team])
		}
	}
}
