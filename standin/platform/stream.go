package platform

import (
	"encoding/json"
	"time"
)

// Entry is one append of a stream.
type Entry struct {
	Offset uint64          `json:"offset"`
	Data   json.RawMessage `json:"data"`
	// at is the time of the append, for retention by age.
	at time.Time
}

// stream holds the entries oldest to oldest+len(entries)-1.
type stream struct {
	oldest  uint64
	entries []Entry
	// appended is closed and replaced at each append, for readers that wait.
	appended chan struct{}
	// pendingDuplicates are the appends that are to be stored again.
	pendingDuplicates []delayedDuplicate
}

// delayedDuplicate is an append that is stored a second time, at the append after the remaining ones.
type delayedDuplicate struct {
	data      json.RawMessage
	remaining int
}

func newStream() *stream {
	return &stream{appended: make(chan struct{})}
}

// next is the offset of the next append.
func (s *stream) next() uint64 {
	return s.oldest + uint64(len(s.entries))
}

// append stores data and then the duplicates that are due.
func (s *stream) append(now time.Time, data json.RawMessage) uint64 {
	offset := s.store(now, data)
	pending := s.pendingDuplicates[:0]
	for _, d := range s.pendingDuplicates {
		if d.remaining--; d.remaining >= 0 {
			pending = append(pending, d)
			continue
		}
		s.store(now, d.data)
	}
	s.pendingDuplicates = pending
	close(s.appended)
	s.appended = make(chan struct{})
	return offset
}

func (s *stream) store(now time.Time, data json.RawMessage) uint64 {
	offset := s.next()
	s.entries = append(s.entries, Entry{Offset: offset, Data: data, at: now})
	return offset
}

// trim drops the entries before offset.
func (s *stream) trim(before uint64) {
	before = min(before, s.next())
	if before <= s.oldest {
		return
	}
	// The remaining entries are copied, so that the dropped ones can be freed.
	s.entries = append([]Entry(nil), s.entries[before-s.oldest:]...)
	s.oldest = before
}

// retain drops the entries beyond count or before the given time. Zero values keep everything.
func (s *stream) retain(count int, before time.Time) {
	drop := 0
	if count > 0 {
		drop = max(0, len(s.entries)-count)
	}
	if !before.IsZero() {
		for drop < len(s.entries) && s.entries[drop].at.Before(before) {
			drop++
		}
	}
	s.trim(s.oldest + uint64(drop))
}

// read returns at most limit entries from an offset, as many as fit maxBytes but at least one.
func (s *stream) read(from uint64, limit, maxBytes int) []Entry {
	from = max(from, s.oldest)
	if from >= s.next() {
		return nil
	}
	entries := s.entries[from-s.oldest:]
	entries = entries[:min(limit, len(entries))]
	size := 0
	for i, e := range entries {
		size += len(e.Data)
		if size > maxBytes && i > 0 {
			return append([]Entry(nil), entries[:i]...)
		}
	}
	return append([]Entry(nil), entries...)
}
