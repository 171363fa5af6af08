package gateway

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"ibiswinch/core/refusal"
)

// unreadAnswer is an unsigned answer whose body has no end.
type unreadAnswer struct {
	fakeAnswer
	reads int
}

func (a *unreadAnswer) Body(limit int64) ([]byte, error) {
	a.reads++
	return make([]byte, limit), nil
}

// TestUnsignedAnswerFillsMemory guards against a process that runs out of memory while it reads bodies that it doesn't
// forward.
func TestUnsignedAnswerFillsMemory(t *testing.T) {
	a := &unreadAnswer{fakeAnswer: fakeAnswer{status: 200, unsigned: true}}
	f := newFixtureWith(t, func(cfg *Config) { cfg.Backend = backendFunc(func() (Answer, error) { return a, nil }) })
	f.c.Assert(f.post("/order/1").refused.Reason, qt.Equals, refusal.ServerFailed)
	f.c.Assert(a.reads, qt.Equals, 0)
}
