package overload

const (
	// sharedNumerator/sharedDenominator is the part of the limit up to which calls are open without regard to their teams.
	sharedNumerator   = 3
	sharedDenominator = 4
)

// OpenCalls shares the calls that may be open at a time among the teams, so that the calls of one team that wait for silent servers
// leave room for those of others. Calls of a team below its share aren't refused; the connections of the callers bound them. It is not
// safe for concurrent use.
type OpenCalls struct {
	limit, total int
	// byTeam has the teams with open calls.
	byTeam map[string]int
}

// NewOpenCalls returns an OpenCalls without calls. limit is the number of connections of callers, 0 for no limit.
func NewOpenCalls(limit int) *OpenCalls { return &OpenCalls{limit: limit, byTeam: map[string]int{}} }

// Begin counts a call and reports whether it may be open. With other teams it may not if most of the limit is used, and its team has
// its equal share of it already; one more share is kept for a team without calls.
func (o *OpenCalls) Begin(team string, hasOthers bool) bool {
	n := o.byTeam[team]
	if hasOthers && o.limit > 0 && o.total >= o.limit*sharedNumerator/sharedDenominator && n > 0 && n >= o.limit/(len(o.byTeam)+1) {
		return false
	}
	o.byTeam[team] = n + 1
	o.total++
	return true
}

// Total returns the number of open calls.
func (o *OpenCalls) Total() int { return o.total }

// End ends a call that may have been open.
func (o *OpenCalls) End(team string) {
	o.total--
	if o.byTeam[team]--; o.byTeam[team] == 0 {
		delete(o.byTeam, team)
	}
}
