package overload

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// Once new connections reach other entry VMs, calls are refused from movingUtilization on, so many that the utilization falls to
	// movingTarget. The rest is left to calls to the log, to other entry VMs, and new connections to servers.
	movingUtilization, movingTarget = 0.88, 0.8
	// Before that a refused call comes back here and costs more than one that is served late, so calls are only refused if a
	// resource is used up.
	fullThreshold, fullTarget = 0.97, 0.9
	// calmUtilization is where all calls are admitted again.
	calmUtilization = 0.7
	// rateWindow is the time constant of the averages of cost and utilization.
	rateWindow = 400 * time.Millisecond
	// refusedCost is the cost of a refused call as a part of that of an admitted one: its head, and what its caller has sent of
	// the body meanwhile.
	refusedCost = 0.3
	// minAdmitted is the least part of the offered cost that is admitted.
	minAdmitted = 0.2
	// callCost is the cost of a call besides its bytes, as bytes: its answer and the processing of its head.
	callCost = 2048
	// forgottenRate is the cost a second below which a team is forgotten.
	forgottenRate = 16
)

// Admission decides which calls an entry VM serves while it has more than it can carry: each team gets an equal share of what can
// be served, and what a team doesn't use is lent to the others (max-min fairness). It is not safe for concurrent use.
type Admission struct {
	teams     map[string]*teamLoad
	updatedAt time.Time
	// utilization, admitted and refused are averages over rateWindow, the latter two in cost a second.
	utilization, admitted, refused float64
	// admittedCost and refusedCost were offered since the last update.
	admittedCost, refusedCost float64
	// target is the utilization to reach while limiting.
	target   float64
	limiting bool
}

type teamLoad struct {
	// cost was offered since the last update, rate is its average a second.
	cost, rate float64
	// fraction is the part of the cost that is admitted. A call is admitted while credit is positive.
	fraction, credit float64
}

// TeamLoad is what a team brings to an entry VM.
type TeamLoad struct {
	Team string
	// Share is the team's part of the cost of all calls, Admitted the part of its own cost that is served.
	Share, Admitted float64
}

// NewAdmission returns one that admits all calls.
func NewAdmission() *Admission { return &Admission{teams: map[string]*teamLoad{}} }

// Offer reports whether to serve a call of a team with a request of a number of bytes.
func (a *Admission) Offer(team string, bytes int64) bool {
	t := a.teams[team]
	if t == nil {
		t = &teamLoad{fraction: 1}
		a.teams[team] = t
	}
	cost := float64(bytes) + callCost
	t.cost += cost
	if t.fraction < 1 {
		t.credit += t.fraction * cost
		if t.credit <= 0 {
			a.refusedCost += cost
			return false
		}
		t.credit -= cost
	}
	a.admittedCost += cost
	return true
}

// Update takes the utilization since the last update and sets what is admitted from now on. moving is set if the callers' new
// connections reach other entry VMs. Update reports whether calls have begun or ceased to be refused.
func (a *Admission) Update(now time.Time, utilization float64, moving bool) bool {
	passed := now.Sub(a.updatedAt)
	if a.updatedAt.IsZero() || passed <= 0 || passed > maxSampleGap {
		a.reset(now)
		return a.setLimiting(false)
	}
	a.updatedAt = now
	part := 1 - math.Exp(-passed.Seconds()/rateWindow.Seconds())
	average := func(rate *float64, cost float64) { *rate += (cost/passed.Seconds() - *rate) * part }
	a.utilization += (utilization - a.utilization) * part
	average(&a.admitted, a.admittedCost)
	average(&a.refused, a.refusedCost)
	a.admittedCost, a.refusedCost = 0, 0
	for name, t := range a.teams {
		average(&t.rate, t.cost)
		t.cost = 0
		if t.rate < forgottenRate {
			delete(a.teams, name)
		}
	}
	return a.setLimiting(a.shouldLimit(moving))
}

// Expire admits all calls if there was no update for maxSampleGap. It reports whether calls have ceased to be refused.
func (a *Admission) Expire(now time.Time) bool {
	return a.limiting && now.Sub(a.updatedAt) > maxSampleGap && a.setLimiting(false)
}

// reset forgets what was measured before a gap between two updates.
func (a *Admission) reset(now time.Time) {
	clear(a.teams)
	a.updatedAt, a.utilization, a.admitted, a.refused, a.admittedCost, a.refusedCost = now, 0, 0, 0, 0, 0
}

func (a *Admission) shouldLimit(moving bool) bool {
	threshold := fullThreshold
	a.target = fullTarget
	if moving {
		threshold, a.target = movingUtilization, movingTarget
	}
	if a.utilization >= threshold {
		return true
	}
	return a.limiting && (a.utilization > calmUtilization || a.offered() > a.capacity())
}

func (a *Admission) setLimiting(limiting bool) bool {
	changed := a.limiting != limiting
	a.limiting = limiting
	if limiting {
		a.share(a.capacity())
		return changed
	}
	for _, t := range a.teams {
		t.fraction, t.credit = 1, 0
	}
	return changed
}

// offered is the cost a second of all calls.
func (a *Admission) offered() float64 {
	sum := 0.0
	for _, t := range a.teams {
		sum += t.rate
	}
	return sum
}

// capacity is the cost a second that can be admitted at the target.
func (a *Admission) capacity() float64 {
	used := a.admitted + refusedCost*a.refused
	if a.utilization <= 0 || used <= 0 {
		return math.Inf(1)
	}
	capacity := used*a.target/a.utilization - refusedCost*a.refused
	return max(capacity, minAdmitted*a.offered())
}

// share divides capacity between the teams.
func (a *Admission) share(capacity float64) {
	byRate := make([]*teamLoad, 0, len(a.teams))
	for _, t := range a.teams {
		byRate = append(byRate, t)
	}
	if len(byRate) < 2 {
		// Refusing calls of a single team makes room for nobody.
		capacity = math.Inf(1)
	}
	slices.SortFunc(byRate, func(t, o *teamLoad) int { return cmp.Compare(t.rate, o.rate) })
	for i, t := range byRate {
		part := capacity / float64(len(byRate)-i)
		t.fraction = 1
		if t.rate > part {
			t.fraction = part / t.rate
		}
		capacity -= t.rate * t.fraction
	}
}

// Heaviest returns the team that brings the largest part of the load, an empty TeamLoad if there are no calls.
func (a *Admission) Heaviest() TeamLoad {
	var heaviest TeamLoad
	offered := a.offered()
	for name, t := range a.teams {
		if share := t.rate / offered; offered > 0 && share > heaviest.Share {
			heaviest = TeamLoad{Team: name, Share: share, Admitted: t.fraction}
		}
	}
	return heaviest
}

// Limited returns the teams of which calls are refused, those with the largest load first.
func (a *Admission) Limited() []TeamLoad {
	var list []TeamLoad
	offered := a.offered()
	for name, t := range a.teams {
		if t.fraction < 1 {
			list = append(list, TeamLoad{Team: name, Share: t.rate / offered, Admitted: t.fraction})
		}
	}
	slices.SortFunc(list, func(l, o TeamLoad) int { return cmp.Or(cmp.Compare(o.Share, l.Share), cmp.Compare(l.Team, o.Team)) })
	return list
}
