package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// serveStream is a request for a stream that is longer than what the buffers on its way hold.
var serveStream = fmt.Sprintf(`{"model":"small","prompt":"tokens=%d","max_tokens":%d,"stream":true}`, serveOutputTokens, serveOutputTokens)

func withLongStreams(f *fleet) { f.maxOutputTokens, f.capacityTokens = serveOutputTokens, 100_000_000 }

// withKey returns doors with a key of another team.
func withKey(doors []hostileDoor, key string) []hostileDoor {
	var out []hostileDoor
	for _, d := range doors {
		d.headers = "Authorization: Bearer " + key + "\r\n"
		out = append(out, d)
	}
	return out
}

// withTLS returns doors that speak TLS.
func withTLS(doors []hostileDoor) []hostileDoor {
	secure := append([]hostileDoor(nil), doors...)
	for i := range secure {
		secure[i].isSecure = true
	}
	return secure
}

// TestHostileServeStreams guards against streams that are read slowly, or not at all, and keep other callers out.
func TestHostileServeStreams(t *testing.T) {
	target, doors, _ := startHostileServeWith(t, withLongStreams)
	target.servesBeside(t, hostileCrowd{size: serveCrowdSize, doors: doors[:1], play: playNoReader(serveStream)},
		hostileCrowd{size: serveCrowdSize, doors: doors[:1], play: playSlowReader(serveStream)})
}

// TestHostileServeKey guards against calls of one team that wait for a silent server and keep the callers of other teams out.
func TestHostileServeKey(t *testing.T) {
	silence := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-silence }))
	t.Cleanup(server.Close)
	t.Cleanup(func() { close(silence) })
	target, doors, _ := startHostileServeWith(t, func(f *fleet) { f.serviceAddress = server.Listener.Addr().String() })
	target.servesBeside(t, hostileCrowd{size: serveConnections, doors: withKey(doors[1:2], otherTeamKey), play: playNoReader("ok")})
}

// TestHostileServeAnswers guards against large answers of plain services that nobody reads and that fill the memory.
func TestHostileServeAnswers(t *testing.T) {
	answer := make([]byte, serveBody)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(answer) }))
	t.Cleanup(server.Close)
	target, doors, _ := startHostileServeWith(t, func(f *fleet) { f.serviceAddress = server.Listener.Addr().String() })
	target.servesBeside(t, hostileCrowd{size: serveCrowdSize, doors: doors[1:2], play: playNoReader("ok")})
}

// hostileServeCrowds are crowds of most kinds at the given doors.
func hostileServeCrowds(doors []hostileDoor) []hostileCrowd {
	var crowds []hostileCrowd
	for _, play := range []hostilePlay{
		playNothing, playHalfHead(), playFields(), playStalledBody(serveBody), playStalledChunks(serveBody), playSlowBody(), playOversized(64 << 20),
		playTrailers(1 << 20), playPipelined(5000), playNoReader(serveStream),
	} {
		crowds = append(crowds, hostileCrowd{size: serveCrowdSize / 3, doors: doors, play: play})
	}
	return crowds
}

// TestHostileServeAtOnce guards against crowds of several kinds that a process withstands one at a time.
func TestHostileServeAtOnce(t *testing.T) {
	target, callers, others := startHostileServeWith(t, withLongStreams)
	target.servesBeside(t, hostileServeCrowds(append(callers, others...))...)
}

// TestHostileServeTLS guards against crowds at a listener with TLS, whose connections take more memory and are closed otherwise, and
// which may end before or within the handshake.
func TestHostileServeTLS(t *testing.T) {
	c := qt.New(t)
	cert, key := writeCertificate(c, t.TempDir())
	target, callers, _ := startHostileServeWith(t, func(f *fleet) {
		withLongStreams(f)
		f.callerTLSLines = "tlsCertFile = " + cert + "\ntlsKeyFile = " + key + "\n"
	})
	crowds := append(hostileServeCrowds(withTLS(callers)), hostileCrowd{size: serveCrowdSize, doors: callers, play: playNothing},
		hostileCrowd{size: serveCrowdSize, doors: callers, play: playHalfHandshake})
	target.servesBeside(t, crowds...)
}

// TestHostileServeInnerTLS guards against crowds at listeners with TLS for peers and operators that take the memory or the descriptors of
// the callers.
func TestHostileServeInnerTLS(t *testing.T) {
	c := qt.New(t)
	cert, key := writeCertificate(c, t.TempDir())
	target, _, others := startHostileServeWith(t, func(f *fleet) {
		f.operatorTLSLines = "tlsCertFile = " + cert + "\ntlsKeyFile = " + key + "\n"
		f.peerTLSLines = f.operatorTLSLines + "tlsCAFile = " + cert + "\n"
	})
	crowds := append(hostileServeCrowds(withTLS(others)), hostileCrowd{size: serveConnections, doors: others, play: playNothing},
		hostileCrowd{size: serveCrowdSize, doors: others, play: playHalfHandshake})
	target.servesBeside(t, crowds...)
}

// TestHostileServeChanges guards against changes of the rules that a process doesn't survive beside crowds, or that keep the ordinary
// callers out.
func TestHostileServeChanges(t *testing.T) {
	var f *fleet
	target, callers, others := startHostileServeWith(t, func(started *fleet) { withLongStreams(started); f = started })
	ask, asked, version := target.ask, 0, 1
	target.ask = func() (string, error) {
		if asked++; asked%serveAsksPerChange == 0 {
			f.limitsSection = fmt.Sprintf("%s[limits]\nmaxRequest = %dKiB\n", hostileServeRules, serveBody>>10>>(version%3))
			out, err := f.publish(version)
			f.c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
			version++
		}
		return ask()
	}
	target.servesBeside(t, hostileServeCrowds(append(callers, others...))...)
	t.Logf("%d changes", version)
}

// TestHostileServeStop guards against a planned stop that doesn't end in time beside crowds.
func TestHostileServeStop(t *testing.T) {
	target, callers, others := startHostileServeWith(t, func(f *fleet) {
		withLongStreams(f)
		f.timingsSection = fmt.Sprintf("[timings]\ndrainTimeout = %s\n", testGracePeriod)
	})
	for _, crowd := range hostileServeCrowds(append(callers, others...)) {
		target.c.Cleanup(crowd.startLasting().close)
	}
	time.Sleep(2 * hostileHoldTime)
	target.c.Assert(syscall.Kill(target.pid, syscall.SIGTERM), qt.IsNil)
	for deadline := time.Now().Add(2 * testGracePeriod); !hasEnded(target.pid); time.Sleep(hostileSampleInterval) {
		target.c.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf("the process hasn't ended %s after its signal", 2*testGracePeriod))
	}
}
