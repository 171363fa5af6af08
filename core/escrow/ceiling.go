package escrow

import (
	"encoding/json"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// ceilingPercent of the tokens that are left may be reserved before the store has recorded a higher ceiling for
	// MaxCopyAge. The others remain if the newest reservations are lost together with all processes that know them. A
	// rush of a team uses most of its budget within that time on the users' days.
	ceilingPercent = 90
	// ceilingWants times what all holders want, which lasts for twice Horizon at their recent use, may be reserved if that is more.
	// A raised ceiling takes MaxCopyAge to be usable, longer if the store is out of reach meanwhile, and reserves come on top.
	ceilingWants = 2
	// A ceiling is raised by at least 1/ceilingStepDivisor of the budget, to bound the writes.
	ceilingStepDivisor = 32
	// All tokens may be reserved once less than 1/smallRestDivisor of the budget or smallRestCalls large calls are left:
	// parts of so few tokens are too small for a call.
	smallRestDivisor = 16
	smallRestCalls   = 2
)

// Ceiling is the record that bounds the reservations of a team. If the store is restored from a copy, and no process is
// left that knows the reservations since, all tokens below the ceiling of the copy count as used.
type Ceiling struct {
	// Known may be reserved at once: each copy of the store, however old, has a ceiling at least as high. Next may be
	// reserved once each copy has this record.
	Known int64 `json:"known"`
	Next  int64 `json:"next"`
	// Limit is the budget that the ceiling was chosen for.
	Limit int64 `json:"limit"`
	// Era is the era of the store in which the record was written.
	Era uint64 `json:"era"`
}

// UnmarshalJSON implements json.Unmarshaler. It rejects amounts out of range.
func (c *Ceiling) UnmarshalJSON(data []byte) error {
	type plain Ceiling
	var p plain
	if err := json.Unmarshal(data, &p); err != nil {
		return err
	}
	for _, n := range []int64{p.Known, p.Next, p.Limit} {
		if n < 0 || n > maxTokens {
			return eris.Wrapf(ErrInvalidRecord, "ceiling %d", n)
		}
	}
	*c = Ceiling(p)
	return nil
}

// part returns ceilingPercent of some tokens. Ceilings are sums of differences of it, so that they don't depend on the steps in
// which a budget was raised or used.
func part(tokens int64) int64 { return tokens * ceilingPercent / 100 }

// extend returns a ceiling chosen for a budget of from tokens for one of to tokens. The operator's changes of a budget
// aren't lost in a restoration, so a raised budget raises the ceiling at once.
func extend(tokens, from, to int64) int64 {
	return min(tokens+max(part(to)-part(from), 0), to)
}

// above returns the ceiling of a budget of which some tokens count as used.
func above(used, limit int64) int64 { return used + max(part(limit)-part(used), 0) }

// Lost returns the number of tokens of a team that may have been reserved although the restored store doesn't list them,
// and the ceiling for the present era. c is the ceiling that the store lists, completeEra the last era for which it lacks
// nothing. The processes of each era since may have reserved all tokens up to the ceiling of their time. Without either, there
// was no process before the copy was made.
func (c Ceiling) Lost(limit int64, completeEra, era uint64, reservations *Reservations) (int64, Ceiling) {
	from := max(c.Era, completeEra)
	if from == 0 || from >= era {
		return 0, c
	}
	used := extend(c.Next, c.Limit, limit)
	for n := from + 1; n < era; n++ {
		next := above(used, limit)
		if next == used {
			break
		}
		used = next
	}
	used = max(used, reservations.reserved)
	next := above(used, limit)
	return used - reservations.reserved, Ceiling{Known: next, Next: next, Limit: max(limit, c.Limit), Era: era}
}

// CeilingTracker tracks which part of a team's budget may be reserved in an era of the store. It is not safe for concurrent
// use.
type CeilingTracker struct {
	// record is the newest ceiling. aging are those that copies of the store may lack, in the order of the store.
	record Ceiling
	aging  []agingCeiling
	// aged is the newest ceiling that each copy has.
	aged Ceiling
}

// agingCeiling is a ceiling that was in the store at a time.
type agingCeiling struct {
	ceiling Ceiling
	readAt  time.Time
}

// Record returns the newest ceiling.
func (t *CeilingTracker) Record() Ceiling { return t.record }

// Observe takes note of a ceiling that the store had at a time of the era. inherited is set if it was there when the era
// began, so that each later copy has it.
func (t *CeilingTracker) Observe(at time.Time, c Ceiling, inherited bool) {
	if c == t.record {
		return
	}
	t.record = c
	if inherited {
		t.aged, t.aging = c, nil
		return
	}
	t.aging = append(t.aging, agingCeiling{ceiling: c, readAt: at})
}

// Bound returns how many tokens of a budget all holders together may reserve. The store was read in the era at a time.
func (t *CeilingTracker) Bound(readAt time.Time, limit int64) int64 {
	for len(t.aging) > 0 && readAt.Sub(t.aging[0].readAt) >= MaxCopyAge {
		t.aged = t.aging[0].ceiling
		t.aging = t.aging[1:]
	}
	return max(extend(t.aged.Next, t.aged.Limit, limit), extend(t.record.Known, t.record.Limit, limit))
}

// Propose returns a new record to be written, and false if there is no need: a higher ceiling, or the same one so that
// processes that start know what has aged. waiting is the number of tokens that calls wait for.
func (t *CeilingTracker) Propose(readAt time.Time, limit, waiting int64, era uint64, reservations *Reservations) (Ceiling, bool) {
	highest, step := max(limit, t.record.Limit), limit/ceilingStepDivisor
	current, bound := extend(t.record.Next, t.record.Limit, highest), t.Bound(readAt, highest)
	next := max(current, t.target(limit, waiting, reservations))
	raise := next-current >= step || next == highest
	refresh := bound-extend(t.record.Known, t.record.Limit, highest) >= step
	if (next == current || !raise) && (!refresh || step == 0) {
		return Ceiling{}, false
	}
	return Ceiling{Known: bound, Next: next, Limit: highest, Era: era}, true
}

// target returns the ceiling for what is used and waited for now.
func (t *CeilingTracker) target(limit, waiting int64, reservations *Reservations) int64 {
	used := reservations.reserved - reservations.idle
	if limit-used <= max(limit/smallRestDivisor, smallRestCalls*largeCallTokens) {
		return limit
	}
	return min(max(above(used, limit), used+ceilingWants*reservations.wanted, reservations.reserved+waiting), limit)
}
