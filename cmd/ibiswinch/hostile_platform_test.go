package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"google.golang.org/protobuf/proto"

	"ibiswinch/core/cost"
	"ibiswinch/io/peer"
)

const (
	// hostileMemoryMB and hostileDescriptors are the settings of the process, hostileFiles the descriptors that are not for sockets.
	hostileMemoryMB    = 96
	hostileDescriptors = 500
	hostileFiles       = 200
	// hostileCrowdSize is the size of a crowd that fills the memory, hostileConnections that of one that fills the descriptors.
	hostileCrowdSize   = 200
	hostileConnections = 450
	// hostileReaders is the size of a crowd that stops reading.
	hostileReaders = 400
	// hostileNames is the number of names in a message, hostileMessages that of the messages of a member.
	hostileNames    = 20_000
	hostileMessages = 10
	// hostileAnswer is the size of an answer of the slow route.
	hostileAnswer = 2 << 20
	// hostileHeadTimeout and hostileIdleTimeout are limits of the configuration.
	hostileHeadTimeout = 5 * time.Second
	hostileIdleTimeout = 15 * time.Second
)

// publishHostile publishes routes to a server that answers at once, with large answers on one of the routes, and the limits.
func (f *platformFixture) publishHostile() {
	config, err := json.Marshal(f.hostileConfig(4))
	f.c.Assert(err, qt.IsNil)
	f.store.Append("keyed.op", "config", config)
	const head = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Seal: seal\r\nContent-Length: "
	const stream = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Seal: seal\r\nContent-Type: text/event-stream\r\n\r\n"
	for service, address := range map[string]string{
		"sound": f.startRecording(), "large": f.startScripted(fmt.Sprintf("%s%d\r\n\r\n", head, hostileAnswer), "aaaa", hostileAnswer),
		"silent": f.startScripted("", "", 0), "stream": f.startScripted(stream, "id: 1KEY\ndata: "+repeatTo(50, "a")+"\n\n", 8*hostileAnswer),
	} {
		server, err := json.Marshal(map[string]any{
			"service": service, "address": address, "zone": "z", "version": "v1", "slots": 10_000, "state": "ready", "sequence": 1, "born": 1,
		})
		f.c.Assert(err, qt.IsNil)
		f.store.Append("keyed.servers", "i-"+service, server)
	}
}

// hostileConfig returns the configuration with the routes and the limits.
func (f *platformFixture) hostileConfig(version int) map[string]any {
	route := func(name, kind string) map[string]any {
		return map[string]any{
			"name": name, "host": "a.example", "path_prefix": "/" + name + "/", "kind": kind, "timeout_ms": 20000,
			"target_latency_ms": 500, "service": name, "attempts": 1,
		}
	}
	return map[string]any{
		"version": version, "routes": []any{route("sound", "unsafe"), route("large", "unsafe"), route("silent", "unsafe"), route("stream", "streaming")},
		"tenants": []map[string]any{
			{"name": "team-1", "api_keys": []string{"key-1"}, "prepaid": 1_000_000_000}, {"name": "team-2", "api_keys": []string{"key-2"}, "prepaid": 1_000_000_000},
		},
		"services": []map[string]any{{"name": "sound"}, {"name": "large"}, {"name": "silent"}, {"name": "stream"}},
		"limits": map[string]any{
			"header_bytes": 16 << 10, "body_bytes": hostileBody, "header_timeout_ms": hostileHeadTimeout.Milliseconds(),
			"idle_timeout_ms": hostileIdleTimeout.Milliseconds(),
		},
	}
}

// startRecording starts a server that answers at once and records which requests it ran.
func (f *platformFixture) startRecording() string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		f.ran.Store(r.Header.Get("Request-Id"), true)
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Response-Seal", "seal")
		_, _ = w.Write([]byte("done"))
	}))
	f.c.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// startHostileTarget starts an entry VM with little memory and few descriptors.
func startHostileTarget(t *testing.T) (hostileTarget, *platformFixture) {
	f := newPlatformFixture(t)
	f.publishHostile()
	f.changeSettings("link_mbps = 1000\n", "link_mbps = 1000000\n")
	f.changeSettings("memory_mb = 284\n", fmt.Sprintf("memory_mb = %d\nfile_descriptors = %d\n", hostileMemoryMB, hostileDescriptors))
	f.target = f.startProcess(hostileBinary(f.c, "ibiswinch"), false)
	f.awaitSound()
	return hostileTarget{
		c: f.c, pid: f.target.cmd.Process.Pid, maxBytes: hostileMemoryMB << 20, maxSockets: hostileDescriptors - hostileFiles,
		ask: func() (string, error) { return f.sendBody("/sound/1", "ordinary", 2) },
	}, f
}

const hostileKey = "Authorization: Bearer key-1\r\nToken-Counts: 10,10\r\n"

// callerDoors are the ways to a caller's listener: a served route, and requests that no server may get.
func (f *platformFixture) callerDoors() []hostileDoor {
	door := func(name, target, host, headers string) hostileDoor {
		return hostileDoor{name: name, address: f.front, target: target, host: host, headers: headers, maxHead: hostileHead}
	}
	return []hostileDoor{
		door("route", "/sound/1", "a.example", hostileKey), door("no route", "/none/1", "a.example", hostileKey),
		door("no host", "/sound/1", "none.example", hostileKey), door("wrong key", "/sound/1", "a.example", "Authorization: Bearer wrong\r\n"),
		door("readiness path", "/v1/readiness", "a.example", ""),
	}
}

// otherDoors are the listeners that aren't for callers. Their heads have no limit in the configuration.
func (f *platformFixture) otherDoors() []hostileDoor {
	ip, _, _ := strings.Cut(f.front, ":")
	metrics := fmt.Sprintf("%s:%d", ip, metricsPort)
	door := func(name, address, target, headers string) hostileDoor {
		return hostileDoor{name: name, address: address, target: target, host: "h", headers: headers, maxHead: 900 << 10}
	}
	const protobuf = "Content-Type: application/protobuf\r\n"
	return []hostileDoor{
		door("readiness", f.readiness, "/v1/readiness", ""), door("metrics", metrics, metricsPath, ""), door("state", metrics, "/state", ""),
		door("peers", f.peer, "/twirp/ibiswinch.peer.Pool/HandTokens", protobuf), door("peers, other path", f.peer, "/", protobuf),
	}
}

// runHostile runs one crowd against the listener of callers and one against the other listeners of an entry VM.
func runHostile(t *testing.T, size int, callers, others hostilePlay) {
	target, f := startHostileTarget(t)
	target.withstand(t, hostileCrowd{size: size, doors: f.callerDoors(), play: callers}, hostileCrowd{size: size, doors: f.otherDoors(), play: others})
}

// TestHostileConnections guards against connections without a request that take all descriptors of an entry VM.
func TestHostileConnections(t *testing.T) {
	runHostile(t, hostileConnections, playNothing, playNothing)
}

// TestHostileHalfHeads guards against heads that never end and whose fields fill the memory.
func TestHostileHalfHeads(t *testing.T) {
	runHostile(t, hostileCrowdSize, playHalfHead(), playHalfHead())
}

// TestHostileFields guards against heads of legal size whose many short fields take far more memory than their bytes.
func TestHostileFields(t *testing.T) {
	runHostile(t, hostileCrowdSize, playFields(), playFields())
}

// TestHostileQueries guards against queries of many short fields that are held while the body doesn't arrive.
func TestHostileQueries(t *testing.T) {
	runHostile(t, hostileCrowdSize, playQuery(), playQuery())
}

// TestHostileBodies guards against bodies of legal size that stop short of their end and fill the memory.
func TestHostileBodies(t *testing.T) {
	runHostile(t, hostileCrowdSize, playStalledBody(hostileBody), playStalledBody(1<<20))
}

// TestHostileSmallBodies guards against many bodies that are too small to count, and together take the memory and the descriptors of
// the ordinary callers.
func TestHostileSmallBodies(t *testing.T) {
	runHostile(t, hostileConnections, playStalledBody(14<<10), playStalledBody(14<<10))
}

// TestHostilePieces guards against bodies that arrive in small pieces and fill the memory before they stop.
func TestHostilePieces(t *testing.T) {
	runHostile(t, hostileCrowdSize, playStalledPieces(hostileBody), playStalledPieces(1<<20))
}

// TestHostileChunks guards against chunked bodies, whose length isn't known, that fill the memory before they stop.
func TestHostileChunks(t *testing.T) {
	runHostile(t, hostileCrowdSize, playStalledChunks(hostileBody), playStalledChunks(1<<20))
}

// TestHostileOversized guards against bodies far over the limit that are held, or read without end.
func TestHostileOversized(t *testing.T) {
	runHostile(t, hostileCrowdSize, playOversized(64<<20), playOversized(64<<20))
}

// TestHostileUnread guards against bytes that the process has received and not read, which count as its memory: requests sent ahead,
// whole bodies, stalled ones and bodies far over the limit, all at once at all listeners.
func TestHostileUnread(t *testing.T) {
	target, f := startHostileTarget(t)
	var crowds []hostileCrowd
	for _, play := range []hostilePlay{playPipelined(5000), playBody(3 << 20), playStalledBody(hostileBody), playOversized(64 << 20)} {
		crowds = append(crowds, hostileCrowd{size: hostileCrowdSize / 2, doors: f.callerDoors(), play: play}, hostileCrowd{size: hostileCrowdSize / 4, doors: f.otherDoors(), play: play})
	}
	target.withstand(t, crowds...)
}

// TestHostileExtensions guards against chunk extensions that take memory or go on without end.
func TestHostileExtensions(t *testing.T) {
	runHostile(t, hostileCrowdSize, playExtensions(hostileBody), playExtensions(hostileBody))
}

// TestHostileTrailers guards against trailers of many short fields.
func TestHostileTrailers(t *testing.T) {
	runHostile(t, hostileCrowdSize, playTrailers(1<<20), playTrailers(1<<20))
}

// TestHostilePipelining guards against requests that are sent ahead, and whose answers, which nobody reads, are held.
func TestHostilePipelining(t *testing.T) {
	runHostile(t, hostileCrowdSize, playPipelined(5000), playPipelined(5000))
}

// TestHostileSlowHeads guards against heads that arrive slowly and keep their connections.
func TestHostileSlowHeads(t *testing.T) {
	runHostile(t, hostileConnections, playSlowHead(), playSlowHead())
}

// TestHostileSlowBodies guards against bodies that arrive slowly and keep their connections.
func TestHostileSlowBodies(t *testing.T) {
	runHostile(t, hostileConnections, playSlowBody(), playSlowBody())
}

// TestHostileReaders guards against answers that are read slowly and fill the memory.
func TestHostileReaders(t *testing.T) {
	target, f := startHostileTarget(t)
	doors := []hostileDoor{{address: f.front, target: "/large/1", host: "a.example", headers: hostileKey}}
	target.withstand(t, hostileCrowd{size: hostileCrowdSize, doors: doors, play: playSlowReader("ok")})
}

// TestHostileStoppedReaders guards against callers that stop reading large answers, come again when they are closed, and keep the
// ordinary callers out, beside other crowds that keep the process busy.
func TestHostileStoppedReaders(t *testing.T) {
	target, f := startHostileTarget(t)
	large := []hostileDoor{{address: f.front, target: "/large/1", host: "a.example", headers: hostileKey}}
	target.servesBeside(t, hostileCrowd{size: hostileReaders, doors: large, play: playNoReader("ok")},
		hostileCrowd{size: hostileCrowdSize / 4, doors: f.callerDoors(), play: playPipelined(5000)},
		hostileCrowd{size: hostileCrowdSize / 4, doors: f.callerDoors(), play: playStalledBody(hostileBody)})
}

// TestHostileMessages guards against messages between entry VMs, of legal size, whose many empty parts take far more memory than their
// bytes.
func TestHostileMessages(t *testing.T) {
	for path, part := range map[string]string{"HandTokens": "\x0a\x00", "ShareReservations": "\x0a\x00", "DrawTokens": "\x7a\x00"} {
		t.Run(path, func(t *testing.T) {
			target, f := startHostileTarget(t)
			doors := []hostileDoor{{address: f.peer, target: "/twirp/ibiswinch.peer.Pool/" + path, host: "h", headers: "Content-Type: application/protobuf\r\n"}}
			target.withstand(t, hostileCrowd{size: hostileCrowdSize, doors: doors, play: playSlowReader(repeatTo(1<<20, part))})
		})
	}
}

// TestHostileNames guards against messages between entry VMs, of legal size, whose very many names of teams, entry VMs and servers are
// kept after the calls.
func TestHostileNames(t *testing.T) {
	for path, message := range map[string]func(member int) proto.Message{
		"HandTokens": func(member int) proto.Message {
			m := &peer.HandTokensRequest{}
			for i := range hostileNames {
				m.Teams = append(m.Teams, &peer.TeamTokens{Team: hostileName(member, i), Tokens: 1})
			}
			return m
		},
		"ShareReservations": func(member int) proto.Message {
			m := &peer.ShareReservationsRequest{}
			for i := range hostileNames {
				m.Reservations = append(m.Reservations, &peer.SharedReservation{Key: hostileName(member, i) + "/vm", Value: []byte("{}")})
			}
			return m
		},
		"ExchangeLoads": func(member int) proto.Message {
			loads := &peer.ServerLoads{}
			for i := range cost.MaxLoads {
				loads.Server = append(loads.Server, uint64(member*cost.MaxLoads+i))
				for _, column := range []*[]uint64{&loads.Running, &loads.Waiting, &loads.Output, &loads.Sent, &loads.SpeedCount} {
					*column = append(*column, 16)
				}
				loads.SpeedSum = append(loads.SpeedSum, 1)
			}
			return &peer.ExchangeLoadsRequest{Sender: hostileName(member, 0), Loads: loads}
		},
	} {
		t.Run(path, func(t *testing.T) {
			target, f := startHostileTarget(t)
			var sent atomic.Int64
			play := func(conn net.Conn, d hostileDoor) {
				for range hostileMessages {
					body, err := proto.Marshal(message(int(sent.Add(1))))
					target.c.Check(err, qt.IsNil)
					_, _ = fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", d.start("POST"), len(body), body)
				}
			}
			doors := []hostileDoor{{address: f.peer, target: "/twirp/ibiswinch.peer.Pool/" + path, host: "h", headers: "Content-Type: application/protobuf\r\n"}}
			target.withstand(t, hostileCrowd{size: hostileCrowdSize, doors: doors, play: play})
		})
	}
}

func hostileName(member, i int) string { return fmt.Sprintf("%x-%x", member, i) }

// TestHostileLegalRequests guards against limits that refuse a single request inside those of the configuration: the largest body, in
// one piece or in chunks with pauses, and the largest head, of as many fields as it has room for.
func TestHostileLegalRequests(t *testing.T) {
	target, f := startHostileTarget(t)
	door := f.callerDoors()[0]
	chunk := fmt.Sprintf("%x\r\n%s\r\n", 1<<20, repeatTo(1<<20, "a"))
	for name, parts := range map[string][]string{
		"body in one piece": {fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", door.start("POST"), hostileBody, repeatTo(hostileBody, "a"))},
		"body with a pause": {fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", door.start("POST"), hostileBody, repeatTo(hostileBody-1, "a")), "a"},
		"body in chunks":    {door.start("POST") + "Transfer-Encoding: chunked\r\n\r\n", chunk, chunk, chunk, chunk, "0\r\n\r\n"},
		"head of many fields": {
			fmt.Sprintf("%s%sContent-Length: 2\r\n\r\n", door.start("POST"), hostileFields(hostileHead)), "ok",
		},
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp4", f.front)
			target.c.Assert(err, qt.IsNil)
			defer conn.Close()
			for _, part := range parts {
				_, err = io.WriteString(conn, part)
				target.c.Assert(err, qt.IsNil)
				time.Sleep(2 * hostileSlowPause)
			}
			answer := make([]byte, len("HTTP/1.1 200 OK"))
			_, err = io.ReadFull(conn, answer)
			target.c.Assert(err, qt.IsNil)
			target.c.Assert(string(answer), qt.Equals, "HTTP/1.1 200 OK")
		})
	}
}

// TestHostileOverlongHead guards against a head over the limit of the configuration that is served.
func TestHostileOverlongHead(t *testing.T) {
	_, f := startHostileTarget(t)
	conn, err := net.Dial("tcp4", f.front)
	f.c.Assert(err, qt.IsNil)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "%s%sContent-Length: 2\r\n\r\nok", f.callerDoors()[0].start("POST"), hostileFields(20<<10))
	f.c.Assert(err, qt.IsNil)
	line, err := bufio.NewReader(conn).ReadString('\n')
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(strings.Contains(line, " 431 "), qt.IsTrue, qt.Commentf("%q", line))
}

// TestHostileRefusalsAreTrue guards against refusals that promise what isn't so: of a crowd of whole requests that fills the memory, a
// server may have run none that was refused with 408, 429 or 503.
func TestHostileRefusalsAreTrue(t *testing.T) {
	target, f := startHostileTarget(t)
	var statuses sync.Map
	play := func(conn net.Conn, d hostileDoor) {
		id := "counted-" + conn.LocalAddr().String()
		head := strings.Replace(d.start("POST"), "Request-Id: hostile", "Request-Id: "+id, 1)
		_, _ = fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", head, hostileBody, repeatTo(hostileBody, "a"))
		if line, err := bufio.NewReader(conn).ReadString('\n'); err == nil {
			statuses.Store(id, line)
		}
	}
	doors := []hostileDoor{{address: f.front, target: "/sound/1", host: "a.example", headers: hostileKey}}
	target.withstand(t, hostileCrowd{size: hostileCrowdSize, doors: doors, play: play})
	for id, line := range statuses.Range {
		status := strings.Fields(line.(string))[1]
		promised := status == "408" || status == "429" || status == "503"
		_, ran := f.ran.Load(id)
		target.c.Check(promised && ran, qt.IsFalse, qt.Commentf("%s was answered %s and ran", id, status))
	}
}
