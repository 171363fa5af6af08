package rollout

import "time"

const (
	// reportLead is how long before its deadline a change that is done is reported, whether or not the old servers still have
	// calls: the operator must read it in time.
	reportLead = 700 * time.Millisecond
	// handoverTime is how long after the deadline no call goes to the old servers, as they may stop at any moment.
	handoverTime = 5 * time.Second
)

// MayReport reports whether the operator may be told the state of the change. The old servers of one that is done stop at
// once then, so it isn't told while they have calls, unless the deadline is near. drained is set once no entry VM has a call
// there.
func (c Change) MayReport(now time.Time, drained bool) bool {
	return c.State != StateDone || drained || !now.Before(c.Rule.Deadline.Add(-reportLead))
}

// IsHandingOver reports whether the old servers are about to stop, so that they must get no further calls even if the new
// ones have no room.
func (c Change) IsHandingOver(now time.Time) bool {
	return c.State == StateDone && now.Before(c.Rule.Deadline.Add(handoverTime))
}
