package rollout

import "math"

// Thresholds of the sequential probability ratio test, in natural logarithms of the likelihood ratio.
const (
	// takeBackRatio is the ratio at which a change is taken back. If the versions are equal, a single test exceeds it
	// with a probability of at most exp(-12), 6 in a million; a change is tested repeatedly on several routes and
	// metrics.
	takeBackRatio = 12.0
	// suspectRatio is the ratio at which the next stage is held back, odds of 55 to 1.
	suspectRatio = 4.0
	// deadlineFaultRatio is the ratio at which a change isn't finished at the deadline, odds of 400 to 1. With
	// suspectRatio instead, 5 of 1,600 simulated changes to good versions ended wrongly or late.
	deadlineFaultRatio = 6.0
)

// oddsRatios are the alternatives tested against equal odds: a moderate fault and a severe one. Their maximum less
// the logarithm of their number stays within the bound of a single test.
var oddsRatios = [...]float64{3, 30}

var logOddsRatios = [...]float64{math.Log(3), math.Log(30)}

// logRatios holds the log-likelihood ratio of each alternative.
type logRatios [len(oddsRatios)]float64

func (r *logRatios) add(o logRatios) {
	for i := range r {
		r[i] += o[i]
	}
}

func (r logRatios) best() float64 {
	best := r[0]
	for _, v := range r[1:] {
		best = max(best, v)
	}
	return best - math.Log(float64(len(r)))
}

// tally counts bad samples among all samples.
type tally struct{ n, bad uint32 }

// compareTallies returns the log-likelihood ratios of one stratum (an entry VM and a route in one comparison period)
// for each alternative: the odds of a bad sample are higher in the new version by that factor, against equal odds. It
// is conditional on the number of bad samples, so a period or a domain that is bad for both versions has no effect. The
// moment generating function of sampling without replacement is bounded by that with replacement (Hoeffding 1963), in
// the form with the fewest draws, where the bound is tightest; the result never overstates the evidence.
func compareTallies(oldSide, newSide tally) logRatios {
	n := float64(oldSide.n) + float64(newSide.n)
	bad := float64(oldSide.bad) + float64(newSide.bad)
	if oldSide.n == 0 || newSide.n == 0 || bad == 0 || bad == n {
		return logRatios{}
	}
	n0, n1, good := float64(oldSide.n), float64(newSide.n), n-bad
	hits, draws, marked := float64(newSide.bad), bad, n1
	if n1 < draws {
		draws, marked = n1, bad
	}
	if min(n0, good) < draws {
		hits = n0 - float64(oldSide.bad)
		draws, marked = good, n0
		if n0 < draws {
			draws, marked = n0, good
		}
	}
	var r logRatios
	for i, odds := range oddsRatios {
		r[i] = hits*logOddsRatios[i] - draws*math.Log1p(marked/n*(odds-1))
	}
	return r
}

// Parameters of the CUSUM test.
const (
	// cusumThreshold is the sum at which the test raises an alarm. A false alarm costs only the evidence of the current
	// comparison period.
	cusumThreshold = 5.0
	// cusumMinRise is the rise of the share of bad samples that the test looks for, on top of twice the old share.
	cusumMinRise = 0.05
)

// cusum is a cumulative sum (CUSUM) test of the new version against the earlier share of bad samples of the old
// version. It detects when a version gets worse, but can't tell a bad version from a bad fleet; compareTallies does
// that.
type cusum struct{ sum float64 }

// add counts a sample and reports whether the threshold is reached.
func (c *cusum) add(bad bool, oldShare float64) bool {
	p0 := max(oldShare, 0.005)
	p1 := min(2*p0+cusumMinRise, 0.9)
	if p0 >= 0.8 {
		return false
	}
	if bad {
		c.sum += math.Log(p1 / p0)
	} else {
		c.sum = max(0, c.sum+math.Log((1-p1)/(1-p0)))
	}
	return c.sum >= cusumThreshold
}
