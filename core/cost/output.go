package cost

import "math"

const (
	// outputWeight is the weight of one call in what is known of the output of its kind.
	outputWeight = 0.05
	// initialOutputShare is the part of the output that a call may have which it is taken to have until its kind has shown
	// its own.
	initialOutputShare = 0.5
	// maxOutputKinds bounds the kinds of calls that are remembered.
	maxOutputKinds = 4096
)

// OutputKind is a kind of calls whose output is alike.
type OutputKind struct{ Route, Team string }

// OutputRequest is what a call says of its output. Hint is the caller's estimate, 0 without one.
type OutputRequest struct {
	Kind      OutputKind
	Max, Hint int64
}

// Outputs learns how many tokens the calls of each kind get of those that they ask for, and how far the hints of their callers
// prove right.
type Outputs struct {
	kinds map[OutputKind]*output
}

// output is what is known of a kind: the mean part of the output asked for, and the mean errors of that estimate and of the
// hints, both as logarithms.
type output struct {
	share                 float64
	shareError, hintError float64
	hints                 int
}

// Expected returns the number of tokens that a call is likely to get.
func (o *Outputs) Expected(r OutputRequest) int64 {
	k := o.kinds[r.Kind]
	if k == nil {
		return int64(float64(r.Max) * initialOutputShare)
	}
	if r.Hint > 0 && k.hints >= minHints && k.hintError < k.shareError {
		return min(r.Hint, r.Max)
	}
	return int64(float64(r.Max) * k.share)
}

// minHints is the number of hints of a kind that must have been compared before one is used.
const minHints = 8

// Observe records the number of tokens that a finished call got.
func (o *Outputs) Observe(r OutputRequest, tokens int64) {
	if r.Max <= 0 || tokens <= 0 {
		return
	}
	share := min(float64(tokens)/float64(r.Max), 1)
	k := o.kinds[r.Kind]
	if k == nil {
		if o.kinds == nil || len(o.kinds) >= maxOutputKinds {
			o.kinds = map[OutputKind]*output{}
		}
		o.kinds[r.Kind] = &output{share: share}
		return
	}
	k.shareError += (logError(k.share*float64(r.Max), tokens) - k.shareError) * outputWeight
	if r.Hint > 0 {
		k.hints++
		k.hintError += (logError(float64(min(r.Hint, r.Max)), tokens) - k.hintError) * outputWeight
	}
	k.share += (share - k.share) * outputWeight
}

func logError(estimate float64, tokens int64) float64 {
	return math.Abs(math.Log(max(estimate, 1) / float64(max(tokens, 1))))
}
