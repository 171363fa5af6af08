package cost

import "time"

const (
	// initialBase and initialPerToken predict first events until a service has shown its own.
	initialBase     = 30 * time.Millisecond
	initialPerToken = 25 * time.Microsecond
	// minPerToken and maxPerToken bound the learned time of a prompt token.
	minPerToken = time.Microsecond
	maxPerToken = 5 * time.Millisecond
	// A first event counts as at most maxPrefillRatio times its prediction. The reason of a later one isn't the prompt.
	maxPrefillRatio = 4
	// maxPromptTokens is the length from which a prompt isn't learned from: callers may claim any.
	maxPromptTokens = 1 << 20
	// prefillMemory is the number of first events from which a prediction is made, minPrefillWeight the least number.
	prefillMemory    = 400
	minPrefillWeight = 20
)

// Prefill predicts the time to the first event of a service's calls at its usual server: a base and a time for each prompt
// token that is read before, by weighted linear regression. The zero value predicts with the initial constants.
type Prefill struct {
	weight, x, y, xx, xy float64
}

// Base is the time to the first event of an empty prompt.
func (p *Prefill) Base() time.Duration {
	if p.weight < minPrefillWeight {
		return initialBase
	}
	base := (p.y - p.x*p.PerToken().Seconds()) / p.weight
	return max(time.Duration(base*float64(time.Second)), time.Millisecond)
}

// PerToken is the time that one prompt token takes.
func (p *Prefill) PerToken() time.Duration {
	if p.weight < minPrefillWeight {
		return initialPerToken
	}
	variance := p.xx - p.x*p.x/p.weight
	if variance <= p.weight {
		// All prompts were equally long, so the base can't be told from the tokens.
		if p.x <= p.weight {
			return initialPerToken
		}
		return min(max(time.Duration(p.y/p.x*float64(time.Second)), minPerToken), maxPerToken)
	}
	slope := (p.xy - p.x*p.y/p.weight) / variance
	return min(max(time.Duration(slope*float64(time.Second)), minPerToken), maxPerToken)
}

// Predict returns the time to the first event after tokens that are read before it.
func (p *Prefill) Predict(tokens float64) time.Duration {
	return p.Base() + time.Duration(tokens*float64(p.PerToken()))
}

// Observe adds a first event that took so long after tokens were read at a server that needs factor times the usual time.
func (p *Prefill) Observe(tokens float64, took time.Duration, factor float64) {
	if tokens > maxPromptTokens {
		return
	}
	usual := min(time.Duration(float64(took)/factor), maxPrefillRatio*p.Predict(tokens))
	const kept = 1 - 1.0/prefillMemory
	y := usual.Seconds()
	p.weight = p.weight*kept + 1
	p.x = p.x*kept + tokens
	p.y = p.y*kept + y
	p.xx = p.xx*kept + tokens*tokens
	p.xy = p.xy*kept + tokens*y
}
