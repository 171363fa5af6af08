package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"ibiswinch/standin/keyedlog"
)

// platformFixture is an entry VM on the users' platform with the stand-in of its store and one backend server, in the
// process of the test.
type platformFixture struct {
	c       *qt.C
	store   *keyedlog.Server
	process *platformProcess
	callers *http.Server
	front   string
	// readiness is the address of the readiness endpoint, peer that of the calls of other entry VMs.
	readiness, peer string
	// settingsPath is the settings file of the entry VM.
	settingsPath string
	// hang is closed to let the backend server answer; began gets the id of each request that reaches it.
	hang  chan struct{}
	began chan string
	// target is the entry VM of a test of crowds, a process of its own.
	target *stoppedProcess
	// ran has the ids of the requests that the recording server ran.
	ran sync.Map
}

const testGracePeriod = 4 * time.Second

// platformPorts are the ports at which an entry VM listens.
var platformPorts = []int{7200, 8740, 8749, metricsPort}

// loopbackCount is the number of loopback addresses for entry VMs with fixed ports, nextLoopback the number of the last one
// taken. Tests that run at the same time begin at different ones.
const loopbackCount = 200 * 254

var nextLoopback atomic.Int64

func init() { nextLoopback.Store(int64(os.Getpid())) }

// freeLoopback returns a loopback address at which nothing listens on platformPorts. An entry VM of an earlier test may
// listen until the process of the tests ends.
func freeLoopback(c *qt.C) string {
	for range loopbackCount {
		n := nextLoopback.Add(1) % loopbackCount
		ip := fmt.Sprintf("127.201.%d.%d", n/254, 1+n%254)
		if !slices.ContainsFunc(platformPorts, func(port int) bool { return !canListen(ip, port) }) {
			return ip
		}
	}
	c.Fatal("no free loopback address")
	return ""
}

func canListen(ip string, port int) bool {
	l, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", ip, port))
	if err != nil {
		return false
	}
	_ = l.Close()
	return true
}

// startPlatform starts the entry VM in the process of the test.
func startPlatform(t *testing.T) *platformFixture {
	f := newPlatformFixture(t)
	f.start(f.settingsPath)
	return f
}

// newPlatformFixture starts everything but the entry VM.
func newPlatformFixture(t *testing.T) *platformFixture {
	c := qt.New(t)
	ip := freeLoopback(c)
	f := &platformFixture{c: c, store: keyedlog.New(), front: ip + ":8740", readiness: ip + ":8749", peer: ip + ":7200", hang: make(chan struct{}), began: make(chan string, 100)}
	store := httptest.NewServer(f.store)
	c.Cleanup(store.Close)
	backend := httptest.NewServer(http.HandlerFunc(f.serveBackend))
	c.Cleanup(backend.Close)
	c.Cleanup(func() { close(f.hang) })
	f.publish(backend.Listener.Addr().String())
	f.settingsPath = filepath.Join(t.TempDir(), "settings.toml")
	c.Assert(os.WriteFile(f.settingsPath, []byte(platformSettings(ip, store.Listener.Addr().String())), 0o600), qt.IsNil)
	return f
}

func platformSettings(ip, store string) string {
	return fmt.Sprintf(`node = "front-1"
zone = "z"
ip_address = %q
internal_ports = [7200, 7215]
[listen_addresses]
front = "%s:8740"
ready = "%s:8749"
[limits]
memory_mb = 284
cpu_share = 1.0
link_mbps = 1000
[bounds]
grace_period_s = %g
retry_budget_ratio = 0.2
budget_extra_retries = 50
budget_window_s = 10
[platform]
address = %q
reads_per_s = 2000
parts = 12
`, ip, ip, ip, testGracePeriod.Seconds(), store)
}

// changeSettings replaces a part of the settings file.
func (f *platformFixture) changeSettings(from, to string) {
	settings, err := os.ReadFile(f.settingsPath)
	f.c.Assert(err, qt.IsNil)
	f.c.Assert(strings.Contains(string(settings), from), qt.IsTrue)
	f.c.Assert(os.WriteFile(f.settingsPath, []byte(strings.Replace(string(settings), from, to, 1)), 0o600), qt.IsNil)
}

func (f *platformFixture) publish(backend string) {
	config, err := json.Marshal(map[string]any{
		"version": 3,
		"routes": []map[string]any{{
			"name": "order", "host": "a.example", "path_prefix": "/order/", "kind": "unsafe", "timeout_ms": 20000,
			"target_latency_ms": 500, "service": "s", "attempts": 1,
		}},
		"tenants":  []map[string]any{{"name": "team-1", "api_keys": []string{"key-1"}, "prepaid": 1_000_000}},
		"services": []map[string]any{{"name": "s", "health_path": "/health", "connection_limit": 100}},
	})
	f.c.Assert(err, qt.IsNil)
	f.store.Append("keyed.op", "config", config)
	server, err := json.Marshal(map[string]any{
		"service": "s", "address": backend, "zone": "z", "version": "v1", "slots": 8, "state": "ready", "sequence": 1, "born": 1,
	})
	f.c.Assert(err, qt.IsNil)
	f.store.Append("keyed.servers", "i-1", server)
}

func (f *platformFixture) serveBackend(w http.ResponseWriter, r *http.Request) {
	f.began <- r.Header.Get("Request-Id")
	select {
	case <-f.hang:
	case <-r.Context().Done():
		return
	}
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Response-Seal", "seal")
	_, _ = w.Write([]byte("done"))
}

func (f *platformFixture) start(settingsPath string) {
	command := &platformCommand{Settings: settingsPath, LogLevel: "error"}
	settings, err := command.loadSettings()
	f.c.Assert(err, qt.IsNil)
	f.process, err = command.newProcess(settings)
	f.c.Assert(err, qt.IsNil)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- f.process.gateway.Run(ctx) }()
	f.callers, err = f.process.startServers()
	f.c.Assert(err, qt.IsNil)
	f.c.Cleanup(func() {
		cancel()
		<-done
		_ = f.callers.Close()
	})
	// A process that is alone waits before it uses tokens that no other one knows.
	canServe := func() bool { return f.process.gateway.Ready() && f.process.gateway.FreeTokens() > 0 }
	for deadline := time.Now().Add(10 * time.Second); !canServe(); time.Sleep(5 * time.Millisecond) {
		f.c.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf("not ready in 10 s"))
	}
}

// send writes a request on a new connection and returns the status line of the answer.
func (f *platformFixture) send(id string) (string, error) {
	conn, err := net.Dial("tcp4", f.front)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(30 * time.Second))
	if _, err = fmt.Fprintf(conn, "POST /order/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %s\r\nAuthorization: Bearer key-1\r\nToken-Counts: 100,100\r\nDeadline-Milliseconds: 20000\r\nContent-Length: 2\r\n\r\nok", id); err != nil {
		return "", err
	}
	line, err := bufio.NewReader(conn).ReadString('\n')
	return strings.TrimSpace(line), err
}

// TestStopEndsRequestWithoutAnswer guards against a planned stop that closes the connection of a request that it had
// taken and given up.
func TestStopEndsRequestWithoutAnswer(t *testing.T) {
	f := startPlatform(t)
	answer := make(chan string, 1)
	go func() {
		line, err := f.send("order-1")
		answer <- fmt.Sprint(line, err)
	}()
	<-f.began
	start := time.Now()
	f.process.drain(newDrainTimes(time.Now(), testGracePeriod))
	f.c.Check(time.Since(start) < testGracePeriod, qt.IsTrue)
	select {
	case line := <-answer:
		f.c.Assert(line, qt.Equals, "HTTP/1.1 502 Bad Gateway<nil>")
	case <-time.After(100 * time.Millisecond):
		f.c.Fatal("the process would exit now, with the request open")
	}
}

// TestOptionsOfNothingIsAnswered guards against a success without a server's signature, for a target that is no path.
func TestOptionsOfNothingIsAnswered(t *testing.T) {
	f := startPlatform(t)
	for _, target := range []string{"*", "/none"} {
		conn, err := net.Dial("tcp4", f.front)
		f.c.Assert(err, qt.IsNil)
		defer conn.Close()
		_, err = fmt.Fprintf(conn, "OPTIONS %s HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r-1\r\nAuthorization: Bearer key-1\r\n\r\n", target)
		f.c.Assert(err, qt.IsNil)
		line, err := bufio.NewReader(conn).ReadString('\n')
		f.c.Assert(err, qt.IsNil)
		f.c.Check(strings.TrimSpace(line), qt.Equals, "HTTP/1.1 404 Not Found", qt.Commentf("%s", target))
	}
}

// TestStoppedProcessTakesConnections guards against requests that are read just before the process exits.
func TestStoppedProcessTakesConnections(t *testing.T) {
	f := startPlatform(t)
	f.process.drain(newDrainTimes(time.Now(), testGracePeriod))
	_, err := net.DialTimeout("tcp4", f.front, time.Second)
	f.c.Assert(err, qt.ErrorMatches, ".*connection refused")
}

// TestFailedStartTakesCalls guards against calls that are taken by a process that ends because another listener can't be opened.
func TestFailedStartTakesCalls(t *testing.T) {
	f := newPlatformFixture(t)
	host, _, err := net.SplitHostPort(f.front)
	f.c.Assert(err, qt.IsNil)
	occupied, err := net.Listen("tcp4", fmt.Sprintf("%s:%d", host, metricsPort))
	f.c.Assert(err, qt.IsNil)
	defer occupied.Close()
	command := &platformCommand{Settings: f.settingsPath, LogLevel: "error"}
	settings, err := command.loadSettings()
	f.c.Assert(err, qt.IsNil)
	process, err := command.newProcess(settings)
	f.c.Assert(err, qt.IsNil)
	_, err = process.startServers()
	f.c.Assert(err, qt.ErrorMatches, ".*address already in use.*")
	for _, address := range []string{f.front, f.peer, f.readiness} {
		_, err = net.DialTimeout("tcp4", address, time.Second)
		f.c.Check(err, qt.ErrorMatches, ".*connection refused", qt.Commentf("%s", address))
	}
}
