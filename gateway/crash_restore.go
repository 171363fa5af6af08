package gateway

import (
	"time"

	"ibiswinch/core/crash"
)

// onEra prepares to publish again what a restored log may have lost.
func (s *suspectController) onEra(_ time.Time, restored bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.restored = restored
}

// publishLost adds all that is known and that a restored log lacks to the own record, whoever reported it: its author may
// have ended or started anew. The caller holds mu.
func (s *suspectController) publishLost(listed []crash.Record) {
	lost := s.evidence.Record().Without(listed)
	if len(lost.Reports)+len(lost.Cleared) == 0 {
		return
	}
	own := s.own.Without([]crash.Record{lost})
	// The newest ones are published, and the own ones before those of others.
	s.own = crash.Record{Reports: append(lost.Reports, own.Reports...), Cleared: append(lost.Cleared, own.Cleared...)}
	s.requestPublish()
}
