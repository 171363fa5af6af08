package entry_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	standin "ibiswinch/standin/platform"
)

// TestMalformedEntriesHideLeavingServer guards against an entry VM that stops following the platform's lists because of malformed entries,
// and goes on sending requests to a server that leaves.
func TestMalformedEntriesHideLeavingServer(t *testing.T) {
	n := startVM(t, testVMConfig{})
	isLeaving := func() bool {
		servers := n.vm.Dump().Servers
		return len(servers) == 1 && servers[0].Leaving
	}
	qt.Assert(t, isLeaving(), qt.IsFalse)
	n.platform.SetVMs([]standin.VM{{Name: "malformed", State: "asleep"}})
	n.platform.SetServers([]standin.BackendServer{{Name: "malformed", State: "asleep"}, {Name: "engine-1", State: standin.StateLeaving}, {}})
	n.await("leaving", isLeaving)
}
