// Package cost estimates what calls cost and what backend servers still have to do: how long a server takes relative to
// the others of its service, how long a prompt takes until its first event, how much output a call asks for and gets,
// and the work that entry VMs report to each other. The package has no clock, goroutines or I/O.
package cost

import (
	"math"
	"time"
)

const (
	// MaxLogRatio bounds one observation, so that a single stalled call doesn't decide about a server.
	MaxLogRatio = 1.4
	// priorWeight is the number of observations at the usual speed that each server starts with.
	priorWeight = 2
	// speedMemory is the time constant with which observations lose weight. A server without calls can't show that it has
	// recovered, so its estimate returns to the usual speed. If that were fast, slow servers would be tried again all the time.
	speedMemory = 30 * time.Second
	// maxSpeedWeight bounds the weight of what was seen: a server with many calls that turns slow, or recovers, is noticed sooner.
	maxSpeedWeight = 30
)

// Speed estimates how much longer than usual a server takes, from the logarithms of taken over predicted time. The zero
// value is the usual speed.
type Speed struct {
	sum, weight float64
	at          time.Time
}

// LogRatio returns the bounded logarithm of the time that a call took over the predicted one.
func LogRatio(took, predicted time.Duration) float64 {
	if took <= 0 || predicted <= 0 {
		return 0
	}
	return min(max(math.Log(float64(took)/float64(predicted)), -MaxLogRatio), MaxLogRatio)
}

// Observe adds observations whose logarithms have the given sum.
func (s *Speed) Observe(now time.Time, sum float64, count int) {
	s.decay(now)
	s.sum += sum
	s.weight += float64(count)
	if s.weight > maxSpeedWeight {
		s.sum *= maxSpeedWeight / s.weight
		s.weight = maxSpeedWeight
	}
}

// Adopt replaces the estimate by one of the whole fleet if that rests on at least as many observations.
func (s *Speed) Adopt(now time.Time, sum, weight float64) {
	s.decay(now)
	if weight >= s.weight {
		s.sum, s.weight = sum, weight
	}
}

// Factor returns how many times as long as usual the server takes.
func (s *Speed) Factor(now time.Time) float64 {
	sum, weight := s.Sums(now)
	if weight == 0 {
		return 1
	}
	return math.Exp(sum / (weight + priorWeight))
}

// Sums returns the decayed sum of the logarithms and their decayed number.
func (s *Speed) Sums(now time.Time) (sum, weight float64) {
	if s.weight == 0 {
		return 0, 0
	}
	kept := 1.0
	if passed := now.Sub(s.at); passed > 0 {
		kept = math.Exp(-passed.Seconds() / speedMemory.Seconds())
	}
	return s.sum * kept, s.weight * kept
}

func (s *Speed) decay(now time.Time) {
	s.sum, s.weight = s.Sums(now)
	s.at = now
}
