package demo

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"

	"ibiswinch/core/record"
)

// TestDumpOfReplacementIsNoRevert guards against a replacement at the address of a killed process whose configuration counts
// as one that the killed process has gone back to, and against a process that goes back and isn't noticed.
func TestDumpOfReplacementIsNoRevert(t *testing.T) {
	c := qt.New(t)
	var served dump
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(served) }))
	defer server.Close()
	f := newFleet(&standIns{}, nil)
	killed := &vmProcess{author: record.Author{VM: "vm0", Incarnation: "vm0-life-1"}, operatorURL: server.URL}
	served = dump{Author: killed.author, ConfigVersion: 3}
	f.readDump(t.Context(), killed)
	served = dump{Author: record.Author{VM: "vm0", Incarnation: "vm0-life-2"}}
	f.readDump(t.Context(), killed)
	c.Assert(f.dumpStats.reverts, qt.Equals, 0)
	c.Assert(f.dumpStats.highestVersion[killed], qt.Equals, uint64(3))
	served = dump{Author: killed.author, ConfigVersion: 2}
	f.readDump(t.Context(), killed)
	c.Assert(f.dumpStats.reverts, qt.Equals, 1)
}
