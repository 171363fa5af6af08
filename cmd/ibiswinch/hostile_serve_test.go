package main

import (
	"bufio"
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// hostileHeldMB and hostileStreams are maxHeld and maxStreams of the settings.
	hostileHeldMB  = 16
	hostileStreams = 40
	// serveRestingMB is what a process without callers holds at most. The garbage collector lets a heap double, and what is held for
	// callers is in use twice while it is decoded.
	serveRestingMB  = 40
	serveHeldFactor = 4
	// serveSockets is the limit of open connections that docs/limits.md derives from maxStreams: two for each stream, and a reserve.
	serveSockets = hostileStreams*openFilesPerStream + reservedOpenFiles
	// serveConnections is the size of a crowd that fills the descriptors, serveCrowdSize that of one that fills the memory.
	serveConnections = 1300
	serveCrowdSize   = 150
	// serveAsksPerChange is the number of ordinary requests between two changes of the rules.
	serveAsksPerChange = 20
	// serveOutputTokens is the longest output, more than all buffers on its way to a caller hold.
	serveOutputTokens = 20_000
	// hostileServeRules go on with the plain service, whose pages any caller may ask for again, and have a team that the ordinary callers
	// don't belong to. otherTeamKey is its key.
	otherTeamKey      = "other-demo-key"
	hostileServeRules = `idempotent = POST /pages
[team "other"]
keySha256 = 92ab6e3e3a125b74710d26a31c57b74903418719967d90996b888cc50a491057
topUpTokens = first:1000000000
models = small
`
	// serveBody is the largest legal size of a body, serveHead a legal size of a head.
	serveBody = 1 << 20
	serveHead = 30 << 10
)

// startHostileServe starts one entry VM with small limits, its platform and an engine.
func startHostileServe(t *testing.T) (hostileTarget, []hostileDoor, []hostileDoor) {
	return startHostileServeWith(t, func(*fleet) {})
}

// startHostileServeWith starts them as configure has set them up.
func startHostileServeWith(t *testing.T, configure func(f *fleet)) (hostileTarget, []hostileDoor, []hostileDoor) {
	c := qt.New(t)
	f := &fleet{c: c, dir: c.TempDir(), platformAddress: freeAddress(c), serviceAddress: freeAddress(c)}
	for _, name := range []string{"ibiswinch", "standin"} {
		c.Assert(os.Symlink(hostileBinary(c, name), filepath.Join(f.dir, name)), qt.IsNil)
	}
	f.topUpTokens, f.capacityTokens = 1_000_000_000, 10_000_000
	f.memorySection = fmt.Sprintf("[memory]\nmaxHeld = %dMiB\nmaxStreams = %d\n", hostileHeldMB, hostileStreams)
	f.limitsSection = hostileServeRules
	service := f.serviceAddress
	configure(f)
	f.start("standin", "platform", "--listen", f.platformAddress)
	f.engineAddresses = []string{freeAddress(c), freeAddress(c)}
	for _, addr := range f.engineAddresses {
		f.start("standin", "engine", "--listen", addr, "--load", "small:v1")
	}
	if f.serviceAddress == service {
		f.start("standin", "service", "--listen", f.serviceAddress, "--name", "shop")
	}
	f.addVM("vm0", "east-1", 0)
	out, err := f.publish(0)
	c.Assert(err, qt.IsNil, qt.Commentf("%s", out))
	vm := f.vms[0]
	f.awaitReady(vm)
	target := hostileTarget{
		c: c, pid: vm.cmd.Process.Pid, maxBytes: (serveRestingMB + serveHeldFactor*hostileHeldMB) << 20, maxSockets: serveSockets,
		ask: func() (string, error) { return sendCompletion(vm.callerAddress, f.callerTLSLines != "") },
	}
	door := func(name, address, target, key string) hostileDoor {
		return hostileDoor{name: name, address: address, target: target, host: "h", maxHead: serveHead, headers: "Authorization: Bearer " + key + "\r\n"}
	}
	callers := []hostileDoor{
		door("completions", vm.callerAddress, "/v1/completions", teamKey), door("service", vm.callerAddress, "/services/shop/pages", teamKey),
		door("no route", vm.callerAddress, "/none", teamKey), door("wrong key", vm.callerAddress, "/v1/completions", "wrong"),
		door("readiness path", vm.callerAddress, "/readyz", teamKey),
	}
	others := []hostileDoor{
		door("peers", f.peerAddress, "/twirp/ibiswinch.peer.Peer/Exchange", "demo-peer-token-0001"), door("peers, wrong token", f.peerAddress, "/twirp/ibiswinch.peer.Peer/Exchange", "wrong"),
		door("operators", vm.operatorAddress, "/dump", "wrong"),
	}
	return target, callers, others
}

// sendCompletion sends an ordinary request on a new connection and returns its status line.
func sendCompletion(address string, secure bool) (string, error) {
	conn, err := net.Dial("tcp4", address)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	if secure {
		conn = tls.Client(conn, hostileTLS)
	}
	_ = conn.SetDeadline(time.Now().Add(20 * time.Second))
	body := completionBody("an ordinary request")
	head := fmt.Sprintf("POST /v1/completions HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\nConnection: close\r\n\r\n", teamKey, len(body))
	if _, err = io.WriteString(conn, head+body); err != nil {
		return "", err
	}
	reader := bufio.NewReader(conn)
	line, err := reader.ReadString('\n')
	if err == nil {
		_, err = io.Copy(io.Discard, reader)
	}
	return strings.TrimSpace(line), err
}

// runHostileServe runs one crowd against the listener of callers and one against the other listeners of an entry VM.
func runHostileServe(t *testing.T, size int, callers, others hostilePlay) {
	target, callerDoors, otherDoors := startHostileServe(t)
	target.withstand(t, hostileCrowd{size: size, doors: callerDoors, play: callers}, hostileCrowd{size: size, doors: otherDoors, play: others})
}

// TestHostileServeConnections guards against connections without a request that take all descriptors of an entry VM.
func TestHostileServeConnections(t *testing.T) {
	runHostileServe(t, serveConnections, playNothing, playNothing)
}

// TestHostileServeFields guards against heads of many short fields, with bodies that don't arrive.
func TestHostileServeFields(t *testing.T) {
	runHostileServe(t, serveCrowdSize, playFields(), playFields())
}

// TestHostileServeHalfHeads guards against heads that never end and whose fields fill the memory.
func TestHostileServeHalfHeads(t *testing.T) {
	runHostileServe(t, serveCrowdSize, playHalfHead(), playHalfHead())
}

// TestHostileServeBodies guards against bodies of legal size that stop short of their end and fill the memory.
func TestHostileServeBodies(t *testing.T) {
	runHostileServe(t, serveCrowdSize, playStalledBody(serveBody), playStalledBody(4<<20))
}

// TestHostileServePieces guards against bodies that arrive in small pieces and fill the memory before they stop.
func TestHostileServePieces(t *testing.T) {
	runHostileServe(t, serveCrowdSize, playStalledPieces(serveBody), playStalledPieces(serveBody))
}

// TestHostileServeChunks guards against chunked bodies that fill the memory before they stop.
func TestHostileServeChunks(t *testing.T) {
	runHostileServe(t, serveCrowdSize, playStalledChunks(serveBody), playStalledChunks(serveBody))
}

// TestHostileServeOversized guards against bodies far over the limit that are held, or read without end.
func TestHostileServeOversized(t *testing.T) {
	runHostileServe(t, serveCrowdSize, playOversized(64<<20), playOversized(64<<20))
}

// TestHostileServeMembers guards against bodies of legal size with very many short members, which take far more memory than their
// bytes once they are decoded.
func TestHostileServeMembers(t *testing.T) {
	var body strings.Builder
	body.WriteString(`{"model":"small","prompt":"a"`)
	for i := 0; body.Len() < serveBody-20; i++ {
		fmt.Fprintf(&body, `,"a%x":1`, i)
	}
	body.WriteString("}")
	messages := `{"model":"small","messages":[{"role":"a","content":[` + strings.TrimSuffix(strings.Repeat(`{"type":"text"},`, serveBody/17), ",") + "]}]}"
	for name, play := range map[string]hostilePlay{"members": playSlowReader(body.String()), "messages": playSlowReader(messages)} {
		t.Run(name, func(t *testing.T) {
			target, doors, _ := startHostileServe(t)
			if name == "messages" {
				doors[0].target = "/v1/chat/completions"
			}
			target.withstand(t, hostileCrowd{size: serveCrowdSize, doors: doors[:1], play: play})
		})
	}
}

// TestHostileServePipelining guards against requests that are sent ahead, and whose answers nobody reads.
func TestHostileServePipelining(t *testing.T) {
	runHostileServe(t, serveCrowdSize, playPipelined(5000), playPipelined(5000))
}

// TestHostileServeSlowBodies guards against bodies that arrive slowly and keep their connections.
func TestHostileServeSlowBodies(t *testing.T) {
	runHostileServe(t, serveConnections, playSlowBody(), playSlowBody())
}

// TestHostileServeLegalRequests guards against limits that refuse a single request inside them.
func TestHostileServeLegalRequests(t *testing.T) {
	target, doors, _ := startHostileServe(t)
	prompt := repeatTo(serveBody-100, "a")
	body := fmt.Sprintf(`{"model":"small","prompt":%q,"max_tokens":1}`, prompt)
	conn, err := net.Dial("tcp4", doors[0].address)
	target.c.Assert(err, qt.IsNil)
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "%sContent-Length: %d\r\n\r\n%s", doors[0].start("POST"), len(body), body)
	target.c.Assert(err, qt.IsNil)
	line, err := bufio.NewReader(conn).ReadString('\n')
	target.c.Assert(err, qt.IsNil)
	target.c.Assert(strings.Contains(line, " 200 "), qt.IsTrue, qt.Commentf("%q", line))
}
