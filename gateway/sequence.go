package gateway

import "strconv"

// eventSequence follows the ids of the events that were forwarded to the caller, over all attempts, to tell the next event
// from one that the caller has, or before which one is missing.
type eventSequence struct {
	// last is the id of the last event, empty before the first.
	last string
	// number is last as a number, if isNumber is set.
	number   int64
	isNumber bool
	// step is by how much each number was above the one before, 0 while fewer than two are known. It is irregular if that
	// differed.
	step      int64
	irregular bool
	// resumed is set while last was named by a caller who resumes a stream of before: by how much the next number is above
	// it isn't known.
	resumed bool
}

// resumeAfter begins with the last event that a caller has of an earlier stream.
func (s *eventSequence) resumeAfter(id string) {
	s.add(id)
	s.resumed = true
}

// continues reports whether the first event of an attempt may follow the last one of the attempt before.
func (s *eventSequence) continues(id string) bool {
	if s.last == "" {
		return true
	}
	if !s.isNumber {
		return id != "" && id != s.last
	}
	number, err := strconv.ParseInt(id, 10, 64)
	switch {
	case err != nil:
		return false
	case s.irregular, s.resumed:
		return number > s.number
	}
	return number == s.number+max(s.step, 1)
}

// increases reports whether an event may follow the one before in the same attempt. Ids that aren't numbers aren't compared.
func (s *eventSequence) increases(id string) bool {
	number, err := strconv.ParseInt(id, 10, 64)
	return err != nil || !s.isNumber || number > s.number
}

// add appends an event that was forwarded.
func (s *eventSequence) add(id string) {
	number, err := strconv.ParseInt(id, 10, 64)
	if err == nil && s.isNumber && !s.resumed {
		step := number - s.number
		s.irregular = s.irregular || s.step != 0 && s.step != step
		s.step = step
	}
	s.last, s.number, s.isNumber, s.resumed = id, number, err == nil, false
}
