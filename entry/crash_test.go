package entry_test

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestRequestCrashesRestartedEngine guards against a request that crashes its engine more than twice, as the engine is up
// again so soon that two crashes are taken for one.
func TestRequestCrashesRestartedEngine(t *testing.T) {
	c := qt.New(t)
	n := startVM(t, testVMConfig{crashMarker: "poison", restartAfter: 20 * time.Millisecond})
	resp := n.post(n.callers, "", request("poison", 1))
	resp.Body.Close()
	c.Assert(resp.StatusCode, qt.Equals, http.StatusUnprocessableEntity)
	c.Assert(n.engine.Runs("").Totals.Crashes, qt.Equals, uint64(2))
}
