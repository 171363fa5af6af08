package escrow

import "time"

const (
	// While a team is idle, all entry VMs together keep a reserve of its budget divided by idleReserveDivisor.
	idleReserveDivisor = 8
	// The tokens that all entry VMs can use at once after a write add up to maxBurstPercent of a budget at most, and to
	// nearBurstPercent near its limit. While it is far from it they add up to minBurstPercent at least: the calls of a team
	// that begins to send must not wait for a write each.
	maxBurstPercent  = 4
	nearBurstPercent = 1
	minBurstPercent  = 1
	// Of a small budget smallBurst tokens can be used at once, or smallBurstPercent of it if that is less, so that some calls
	// are served while the store is unavailable.
	smallBurst        = 3000
	smallBurstPercent = 12
	// At the rate granted to idle accounts a budget lasts idleUseSeconds.
	idleUseSeconds = 200
	// minReservePerPrimary is the smallest reserve for each primary that is worth keeping.
	minReservePerPrimary = 12_000
	// secondaryRefreshIntervalPerVM times the number of entry VMs is the least pause between the writes of a secondary,
	// secondaryRefreshInterval that in a small fleet.
	secondaryRefreshIntervalPerVM = 100 * time.Millisecond
	secondaryRefreshInterval      = 2 * time.Second
	// maxSecondaryTokens bounds the tokens of a team that a secondary keeps. All secondaries together keep at most the
	// budget divided by secondaryReserveDivisor, since these tokens are lost when they die.
	maxSecondaryTokens      = 10_000
	secondaryReserveDivisor = 400
	// substituteHorizon is the Horizon of a secondary that reserves tokens itself. Its link or the store is slow, so that what
	// it reserves may stay out of reach of the others.
	substituteHorizon = 2 * time.Second
	// A secondary returns a surplus of minSurplusReserves times its reserve.
	minSurplusReserves = 4
)

// Policy holds the limits of an account that apply whatever its recent use.
type Policy struct {
	// IdleReserve is the number of unused tokens that an account without traffic keeps.
	IdleReserve int64
	// MinBurst and MaxBurst bound what is usable at once after a confirmed write far from the limit, NearBurst what is near
	// it, unless calls that wait need more.
	MinBurst, MaxBurst, NearBurst int64
	// MinRate is the minimum of Record.Rate, in tokens per second.
	MinRate int64
	// WriteTime is how long writes take at present, DrawTime how long other entry VMs take to answer a draw.
	WriteTime, DrawTime time.Duration
	// MaxBlock bounds the tokens that are drawn beyond what calls wait for.
	MaxBlock int64
	// Horizon is how long the tokens of an account should last at twice its recent use, 0 for the constant Horizon.
	Horizon time.Duration
	// RefreshInterval is the age at which a record is written again, so that few tokens are lost if the process crashes.
	RefreshInterval time.Duration
	// Secondary is set if the account gets its tokens from the primary of its failure domain, the entry VM that reserves
	// tokens of the team there. A secondary never raises its reservation, keeps at most IdleReserve, and writes only to
	// report use or to return tokens.
	Secondary bool
	// MinReturn is the smallest number of unused tokens that is worth a write or a call to return them.
	MinReturn int64
	// ReserveThreshold is the number of unused tokens of the whole budget below which no account keeps a reserve, so
	// that the last tokens aren't split into parts that are too small for a call.
	ReserveThreshold int64
}

// PrimaryPolicy returns the policy of one of several primaries of a team with a limit. The amounts are small parts of the
// limit, so that processes that die at the same time lose little of it. refresh is the time between two writes.
func PrimaryPolicy(limit int64, primaries int, refresh time.Duration) Policy {
	n := int64(max(primaries, 1))
	small := min(smallBurst, limit*smallBurstPercent/100)
	return Policy{
		IdleReserve: limit / (idleReserveDivisor * n), MinRate: limit / (idleUseSeconds * n),
		MinBurst: limit * minBurstPercent / 100 / n, MaxBurst: max(limit*maxBurstPercent/100, small) / n,
		NearBurst:        max(limit*nearBurstPercent/100, small) / n,
		MinReturn:        minWriteTokens,
		ReserveThreshold: reserveThreshold(limit, primaries),
		RefreshInterval:  refresh,
	}
}

// SubstitutePolicy returns the policy of a secondary that reserves tokens itself for a while, as it got none from the
// primaries. It reserves for its own use only, since all secondaries may do so at the same time.
func SubstitutePolicy(limit int64, vms, primaries int, refresh time.Duration) Policy {
	p := PrimaryPolicy(limit, primaries, refresh)
	p.IdleReserve, p.MinRate, p.MinBurst, p.MinReturn = SecondaryReserve(limit, vms), 0, 0, minSecondaryReturn(limit, vms)
	p.Horizon = substituteHorizon
	return p
}

// reserveThreshold returns Policy.ReserveThreshold.
func reserveThreshold(limit int64, primaries int) int64 {
	return min(minReservePerPrimary*int64(max(primaries, 1)), limit/5)
}

// minSecondaryReturn returns Policy.MinReturn of a secondary. What all of them keep of a small budget would be a large part of
// it otherwise, in pieces that are too small for a call.
func minSecondaryReturn(limit int64, vms int) int64 {
	return min(minWriteTokens, minSurplusReserves*SecondaryReserve(limit, vms))
}

// SecondaryPolicy returns the policy of a secondary of a team with a limit, of which some tokens are unused, in a fleet of entry
// VMs. Like the primaries it keeps none of the last tokens.
func SecondaryPolicy(limit, unused int64, vms, primaries int) Policy {
	p := Policy{
		Secondary: true, IdleReserve: SecondaryReserve(limit, vms), MinReturn: minSecondaryReturn(limit, vms),
		RefreshInterval: max(secondaryRefreshInterval, time.Duration(vms)*secondaryRefreshIntervalPerVM),
	}
	if unused < reserveThreshold(limit, primaries) {
		p.IdleReserve, p.MinReturn = 0, 0
		return p
	}
	p.MaxBlock = MaxBlock(limit, unused)
	return p
}

// SecondaryReserve is the number of tokens that a secondary of a team keeps.
func SecondaryReserve(limit int64, vms int) int64 {
	return min(maxSecondaryTokens, limit/(secondaryReserveDivisor*int64(max(vms, 1))))
}
