package main

import (
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const sampleLog = `
 1.0 vm-1 {"fields":{"event":722,"vm":"vm-1","server":"s-1","outcome":"broken"},"timestamp":"2026-01-01T00:00:01Z","message":"backend server paused"}
{"fields":{"event":722,"vm":"vm-1","server":"s-9","outcome":"broken"},"timestamp":"2026-01-01T00:00:01Z","message":"backend server paused"}
{"fields":{"event":722,"vm":"vm-2","server":"s-1","outcome":"broken"},"timestamp":"2026-01-01T00:00:01Z","message":"backend server paused"}
{"fields":{"event":730,"vm":"vm-1","request":"r-2","server":"s-1"},"timestamp":"2026-01-01T00:00:02Z","message":"request ended"}
{"fields":{"event":730,"vm":"vm-1","request":"r-1","server":"s-1"},"timestamp":"2026-01-01T00:00:03Z","message":"request ended"}
{"fields":{"event":732,"vm":"vm-1","request":"r-1","server":"s-1"},"timestamp":"2026-01-01T00:00:02.5Z","message":"attempt failed"}
not a line
`

// TestExplain guards against a selection that lacks related lines of the entry VM, or has lines of other requests or
// servers.
func TestExplain(t *testing.T) {
	c := qt.New(t)
	lines, err := readLines(strings.NewReader(sampleLog))
	c.Assert(err, qt.IsNil)
	selected := selectLines(lines, "r-1", 10*time.Second)
	c.Assert(selected, qt.HasLen, 3)
	c.Assert(selected[0], qt.Contains, "722 backend server paused outcome=broken server=s-1")
	c.Assert(selected[1], qt.Contains, "attempt failed")
	c.Assert(selected[2], qt.Contains, "request ended")
	c.Assert(selectLines(lines, "r-7", time.Second), qt.HasLen, 0)
}
