// Package escrow decides how the prepaid tokens of a team are divided among entry VMs. A reservation is recorded in
// the platform's store with a conditional append, so that the reservations of all holders never pass the limit; an entry
// VM spends from its own reservation alone. The usable part of a reservation grows with the time since its last record:
// if the process dies, its next life knows from the time that has passed what can't have been used. Nothing here has a
// clock, a goroutine or I/O.
package escrow

import "time"

// Record is the reservation of one holder as the store keeps it.
type Record struct {
	// Reserved is the sum of tokens that the holder may use, over all its lives.
	Reserved int64 `json:"reserved"`
	// Base is what was charged to the reservation when the record was written: used or held for running calls, less
	// Credit. Used is what was used for good, whoever it was charged to.
	Base int64 `json:"base"`
	Used int64 `json:"used"`
	// Credit is what other holders gave to this one less what it gave to them.
	Credit int64 `json:"credit,omitempty"`
	// At is the fleet's time of day when the record was written, in Unix milliseconds.
	At int64 `json:"at"`
	// Burst is usable beyond Base at once; Slow is added each second until the record is slowAge old.
	Burst int64 `json:"burst,omitempty"`
	Slow  int64 `json:"slow,omitempty"`
	// Rate is the recent use in tokens a second. A record that is older than slowAge grows by a multiple of it.
	Rate int64 `json:"rate,omitempty"`
	// Want is the number of unused tokens that the holder would like to have.
	Want int64 `json:"want,omitempty"`
}

const (
	// slowAge is the age of a record from which its usable part grows fast. Processes that die start again sooner than
	// that, and outages of the store last longer.
	slowAge = 3300 * time.Millisecond
	// fastGrowth is the growth after slowAge against the recent rate.
	fastGrowth = 5
)

// Bound is the most that the holder can have used when the record is age old.
func (r Record) Bound(age time.Duration) int64 {
	slow := min(max(age, 0), slowAge).Seconds()
	fast := max(age-slowAge, 0).Seconds()
	grown := float64(r.Slow)*slow + fastGrowth*float64(r.Rate)*fast
	if grown > float64(r.Reserved) {
		return r.Reserved
	}
	return min(r.Reserved, r.Base+r.Burst+int64(grown))
}

// ageOf is the age at which Bound reaches a number of tokens.
func (r Record) ageOf(tokens int64) (time.Duration, bool) {
	if tokens > r.Reserved {
		return 0, false
	}
	need := float64(tokens - r.Base - r.Burst)
	if need <= 0 {
		return 0, true
	}
	if slow := float64(r.Slow) * slowAge.Seconds(); need > slow {
		if r.Rate <= 0 {
			return 0, false
		}
		return slowAge + time.Duration((need-slow)/(fastGrowth*float64(r.Rate))*float64(time.Second)), true
	}
	return time.Duration(need / float64(r.Slow) * float64(time.Second)), true
}

func (r Record) idle() int64 { return max(r.Reserved-r.Base, 0) }

// Book is the fold of all records of one team.
type Book struct {
	records                map[string]Record
	sum, used, want, idles int64
}

// Set takes the newest record of a holder.
func (b *Book) Set(holder string, r Record) {
	if b.records == nil {
		b.records = map[string]Record{}
	}
	old := b.records[holder]
	b.sum += r.Reserved - old.Reserved
	b.used += r.Used - old.Used
	b.want += r.Want - old.Want
	b.idles += r.idle() - old.idle()
	b.records[holder] = r
}

// Record returns the record of a holder.
func (b *Book) Record(holder string) Record { return b.records[holder] }

// Free is what the limit leaves unreserved; it may be negative after the limit was lowered.
func (b *Book) Free(limit int64) int64 { return limit - b.sum }

// Used is what the holders have reported to be used.
func (b *Book) Used() int64 { return b.used }
