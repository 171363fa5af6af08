// Package escrow decides how the prepaid tokens of a team are divided among entry VMs, the holders of reservations. A
// reservation is recorded in the platform's store with a conditional append, so that the sum of all reservations never
// exceeds the team's limit; an entry VM spends only from its own reservation. The usable part of a reservation grows
// with the age of its record: after a crash, the next process knows from the elapsed time which part can't have been
// used. The package has no clock, goroutine or I/O.
//
// Package gateway uses it. The budgets of package entry are in package budget, whose store is the log of package record.
package escrow

import (
	"iter"
	"maps"
	"time"
)

// Record is the reservation of one holder as it is stored.
type Record struct {
	// Reserved is the total number of tokens that the holder may use, over all its processes.
	Reserved int64 `json:"reserved"`
	// Base is what was charged to the reservation when the record was written: used or held for running calls, minus
	// Credit. Used is what finished calls used, whichever reservation it is charged to.
	Base int64 `json:"base"`
	Used int64 `json:"used"`
	// Credit is what other holders gave to this one minus what it gave to them.
	Credit int64 `json:"credit,omitempty"`
	// At is the time of the write by the clock that the entry VMs agree on, in Unix milliseconds.
	At int64 `json:"at"`
	// Burst is usable beyond Base at once. SlowRate is the growth per second until the record is slowGrowthPeriod old.
	Burst    int64 `json:"burst,omitempty"`
	SlowRate int64 `json:"slow,omitempty"`
	// Rate is the recent use in tokens per second. After slowGrowthPeriod the usable part grows by a multiple of it.
	Rate int64 `json:"rate,omitempty"`
	// Want is the number of unused tokens that the holder asks for.
	Want int64 `json:"want,omitempty"`
	// Sequence numbers the writes of the holder, over all its processes. A store that was restored from a copy has older
	// records than its readers know; the highest number is the newest.
	Sequence uint64 `json:"seq,omitempty"`
	// Era is the era of the store in which the holder wrote the record.
	Era uint64 `json:"era,omitempty"`
}

const (
	// slowGrowthPeriod is the age of a record from which its usable part grows fast. A crashed process is restarted
	// within this time, and outages of the store last longer.
	slowGrowthPeriod = 3300 * time.Millisecond
	// fastGrowthFactor is the multiple of the recent rate at which the usable part grows after slowGrowthPeriod.
	fastGrowthFactor = 5
)

// MaxUsed returns the maximum that the holder can have used when the record has the given age.
func (r Record) MaxUsed(age time.Duration) int64 {
	slow := min(max(age, 0), slowGrowthPeriod).Seconds()
	fast := max(age-slowGrowthPeriod, 0).Seconds()
	grown := float64(r.SlowRate)*slow + fastGrowthFactor*float64(r.Rate)*fast
	if grown > float64(r.Reserved) {
		return r.Reserved
	}
	return min(r.Reserved, r.Base+r.Burst+int64(grown))
}

// ageAtMaxUsed returns the age at which MaxUsed reaches a number of tokens, and false if it never does.
func (r Record) ageAtMaxUsed(tokens int64) (time.Duration, bool) {
	if tokens > r.Reserved {
		return 0, false
	}
	need := float64(tokens - r.Base - r.Burst)
	if need <= 0 {
		return 0, true
	}
	if slow := float64(r.SlowRate) * slowGrowthPeriod.Seconds(); need > slow {
		if r.Rate <= 0 {
			return 0, false
		}
		return slowGrowthPeriod + time.Duration((need-slow)/(fastGrowthFactor*float64(r.Rate))*float64(time.Second)), true
	}
	return time.Duration(need / float64(r.SlowRate) * float64(time.Second)), true
}

func (r Record) idle() int64 { return max(r.Reserved-r.Base, 0) }

// spent is what the holder used, or gave to others and didn't get back, of its own reservation, without running calls.
func (r Record) spent() int64 { return r.Used - r.Credit }

// Reservations holds the newest reservation of each holder of one team, with their sums.
type Reservations struct {
	records                             map[string]Record
	reserved, used, spent, wanted, idle int64
	// ceiling bounds the sum of the reservations if bounded is set.
	ceiling int64
	bounded bool
}

// Set replaces the record of a holder. It returns false if a newer one is known.
func (b *Reservations) Set(holder string, r Record) bool {
	if b.records == nil {
		b.records = map[string]Record{}
	}
	old := b.records[holder]
	if r.Sequence < old.Sequence {
		return false
	}
	b.reserved += r.Reserved - old.Reserved
	b.used += r.Used - old.Used
	b.spent += r.spent() - old.spent()
	b.wanted += r.Want - old.Want
	b.idle += r.idle() - old.idle()
	b.records[holder] = r
	return true
}

// maxLearned is the number of holders of a team from which other entry VMs can add none. More come from the log only.
const maxLearned = 4096

// IsFull reports whether a record of a further holder may only come from the log.
func (b *Reservations) IsFull(holder string) bool {
	_, known := b.records[holder]
	return !known && len(b.records) >= maxLearned
}

// Holders returns the holders with records, in no particular order.
func (b *Reservations) Holders() iter.Seq[string] { return maps.Keys(b.records) }

// Record returns the record of a holder.
func (b *Reservations) Record(holder string) Record { return b.records[holder] }

// SetCeiling bounds the sum of the reservations.
func (b *Reservations) SetCeiling(tokens int64) { b.ceiling, b.bounded = tokens, true }

// Free returns the unreserved tokens of the limit and of the ceiling. It is negative if the limit was lowered below the
// reservations.
func (b *Reservations) Free(limit int64) int64 {
	if b.bounded {
		limit = min(limit, b.ceiling)
	}
	return limit - b.reserved
}

// Reserved returns the sum of the reservations.
func (b *Reservations) Reserved() int64 { return b.reserved }

// Used returns the use that all holders have recorded. It lacks what holders used that haven't reported it, and counts twice
// what a holder gave to another one and died before it recorded that.
func (b *Reservations) Used() int64 { return b.used }

// Spent returns the tokens that no holder has left, each counted once: those that finished calls used, that were given away
// and haven't been reported as left over, and that may have been used by processes that died.
func (b *Reservations) Spent() int64 { return b.spent }
