package event_test

import (
	"fmt"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"

	"ibiswinch/core/event"
)

// TestCatalogue guards against two events with the same number, and against an event whose number or message is missing
// from docs/events.md.
func TestCatalogue(t *testing.T) {
	c := qt.New(t)
	docs, err := os.ReadFile("../../docs/events.md")
	c.Assert(err, qt.IsNil)
	last := 0
	for _, e := range event.All() {
		c.Check(e.Number > last, qt.IsTrue, qt.Commentf("event %d after %d", e.Number, last))
		last = e.Number
		c.Check(string(docs), qt.Contains, fmt.Sprintf("| %d | ", e.Number))
		c.Check(string(docs), qt.Contains, "| "+e.Message+" |")
	}
}
