package main

import (
	"encoding/json"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// hostileOtherKey is the key of a team that the ordinary callers don't belong to.
const hostileOtherKey = "Authorization: Bearer key-2\r\nToken-Counts: 10,10\r\n"

// callerDoor is the way to a route of the callers.
func (f *platformFixture) callerDoor(target, headers string) []hostileDoor {
	return []hostileDoor{{name: target, address: f.front, target: target, host: "a.example", headers: headers, maxHead: hostileHead}}
}

// TestHostileKey guards against requests of one team that wait for a silent server and keep the callers of other teams out.
func TestHostileKey(t *testing.T) {
	target, f := startHostileTarget(t)
	target.servesBeside(t, hostileCrowd{size: hostileReaders, doors: f.callerDoor("/silent/1", hostileOtherKey), play: playNoReader("ok")})
}

// TestHostileStreams guards against streams that are read slowly, or not at all, and keep other callers out.
func TestHostileStreams(t *testing.T) {
	target, f := startHostileTarget(t)
	doors := f.callerDoor("/stream/1", hostileKey)
	target.servesBeside(t, hostileCrowd{size: hostileCrowdSize, doors: doors, play: playNoReader("ok")},
		hostileCrowd{size: hostileCrowdSize, doors: doors, play: playSlowReader("ok")})
}

// mixedCrowds are crowds of most kinds, each at all listeners.
func (f *platformFixture) mixedCrowds() []hostileCrowd {
	var crowds []hostileCrowd
	for _, play := range []hostilePlay{
		playNothing, playHalfHead(), playFields(), playStalledBody(hostileBody), playStalledChunks(hostileBody), playSlowBody(), playOversized(64 << 20),
		playTrailers(1 << 20), playPipelined(5000), playNoReader("ok"),
	} {
		crowds = append(crowds, hostileCrowd{size: hostileCrowdSize / 5, doors: append(f.callerDoors(), f.otherDoors()...), play: play})
	}
	return append(crowds, hostileCrowd{size: hostileCrowdSize / 5, doors: f.callerDoor("/large/1", hostileKey), play: playNoReader("ok")})
}

// TestHostileAtOnce guards against crowds of several kinds that a process withstands one at a time.
func TestHostileAtOnce(t *testing.T) {
	target, f := startHostileTarget(t)
	target.servesBeside(t, f.mixedCrowds()...)
}

// TestHostileSettings guards against changes of the settings, and of the limits of the configuration, that a process doesn't survive
// beside crowds.
func TestHostileSettings(t *testing.T) {
	target, f := startHostileTarget(t)
	stop := make(chan struct{})
	f.c.Cleanup(func() { close(stop) })
	go f.changeLimits(target.pid, stop)
	target.servesBeside(t, f.mixedCrowds()...)
}

// changeLimits publishes configurations with changed limits, and signals a change of the settings, until stop is closed.
func (f *platformFixture) changeLimits(pid int, stop <-chan struct{}) {
	for version := 5; ; version++ {
		config := f.hostileConfig(version)
		config["limits"].(map[string]any)["body_bytes"] = hostileBody >> (version % 3)
		if text, err := json.Marshal(config); err == nil {
			f.store.Append("keyed.op", "config", text)
		}
		_ = syscall.Kill(pid, syscall.SIGHUP)
		select {
		case <-stop:
			return
		case <-time.After(hostileSlowPause):
		}
	}
}

// TestHostileStop guards against a planned stop that doesn't end in its grace period beside crowds.
func TestHostileStop(t *testing.T) {
	_, f := startHostileTarget(t)
	for _, crowd := range f.mixedCrowds() {
		f.c.Cleanup(crowd.startLasting().close)
	}
	time.Sleep(2 * hostileHoldTime)
	killed := time.NewTimer(testGracePeriod)
	f.c.Assert(f.target.cmd.Process.Signal(syscall.SIGTERM), qt.IsNil)
	select {
	case <-f.target.exited:
	case <-killed.C:
		f.c.Fatal("the process would be killed now")
	}
}
