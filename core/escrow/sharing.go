package escrow

import "time"

// MaxCopyAge is the age from which a record is in every copy from which the store may be restored. Copies are some seconds
// old, 9 s at most on the users' days; the rest covers records that the store applies late.
const MaxCopyAge = 12 * time.Second

// sharing tracks which part of a reservation the fleet can't forget: that of a record that another entry VM knows, or that
// is older than all copies of the store. Its methods do nothing for nil.
type sharing struct {
	// known is the reservation that can't be forgotten. It is never more than the confirmed one.
	known int64
	// aging is a confirmed reservation that can't be forgotten from agedAt on, unless the store is restored before. It is
	// valid if agedAt isn't zero.
	aging  int64
	agedAt time.Time
	// confirmed is the confirmed reservation, loweredBy the number of the last record that lowered it.
	confirmed int64
	loweredBy uint64
}

func newSharing(reserved int64) *sharing { return &sharing{known: reserved, confirmed: reserved} }

// bound limits the usable part of a reservation.
func (s *sharing) bound(usable int64) int64 {
	if s == nil {
		return usable
	}
	return min(usable, s.known)
}

// age takes over a reservation that is old enough. The store must have been read since, as it may have been restored.
func (s *sharing) age(now time.Time) {
	if s.agedAt.IsZero() || now.Before(s.agedAt) {
		return
	}
	s.known = max(s.known, s.aging)
	s.agedAt = time.Time{}
}

// isOpen reports whether the confirmed reservation is more than what can't be forgotten.
func (s *sharing) isOpen(now time.Time, confirmed int64) bool {
	s.age(now)
	if confirmed <= s.known {
		return false
	}
	if s.agedAt.IsZero() {
		s.aging, s.agedAt = confirmed, now.Add(MaxCopyAge)
	}
	return true
}

// confirm applies a newly confirmed record, which others may know instead of those before.
func (s *sharing) confirm(r Record) {
	if s == nil {
		return
	}
	if r.Reserved < s.confirmed {
		s.loweredBy = r.Sequence
	}
	s.confirmed = r.Reserved
	s.known, s.aging = min(s.known, r.Reserved), min(s.aging, r.Reserved)
}

// share records that another entry VM knows a record. It counts unless a later record lowered the reservation: the other
// entry VM may know that one instead by the time the reservation is raised again.
func (s *sharing) share(r Record, confirmed int64) {
	if r.Sequence >= s.loweredBy {
		s.known = max(s.known, min(r.Reserved, confirmed))
	}
}

// add changes what was known before the first write of the process.
func (s *sharing) add(tokens int64) {
	if s != nil {
		s.known += tokens
	}
}

// restored records that the store may have lost what was aging.
func (s *sharing) restored() {
	if s != nil {
		s.agedAt = time.Time{}
	}
}
