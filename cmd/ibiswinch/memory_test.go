package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

const (
	// testMemoryBytes is the memory limit in platformSettings.
	testMemoryBytes = 284 << 20
	// faultyTimeout is the time-out of the route to the faulty server.
	faultyTimeout = 4 * time.Second
)

var peakMemory = regexp.MustCompile(`VmHWM:\s+(\d+) kB`)

// TestManyCallersFillMemory guards against an entry VM that runs out of memory, and ends with the requests of all its callers,
// because many answers or requests at once are each within their own bound.
func TestManyCallersFillMemory(t *testing.T) {
	binary := filepath.Join(buildBinaries(qt.New(t)), "ibiswinch")
	const signed = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResponse-Seal: seal\r\n"
	for _, test := range []struct {
		name    string
		callers int
		// The server answers with start and size bytes of repeated rest, and then waits until its connection is closed. Without a
		// start it reads the requests and doesn't answer.
		start, rest string
		size        int
		// requestSize is the size of the body that each caller sends.
		requestSize int
	}{
		{name: "bodies of answers", callers: 100, start: signed + "\r\n", rest: "aaaaaaaa", size: 7 << 20},
		{name: "events", callers: 500, start: signed + "Content-Type: text/event-stream\r\n\r\nid: 1\n", rest: "data: aaaaaaaa\n", size: 1000 << 10},
		{name: "heads of short lines", callers: 500, start: signed, rest: "aKEY:\r\n", size: 60 << 10},
		{name: "bodies of requests", callers: 120, requestSize: 4 << 20},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := newPlatformFixture(t)
			f.publishRoutes(f.startScripted(test.start, test.rest, test.size), f.startScripted(signed+"Content-Length: 4\r\n\r\n", "done", 4))
			// No call is refused because the link is full.
			f.changeSettings("link_mbps = 1000\n", "link_mbps = 1000000\n")
			p := f.startProcess(binary, false)
			f.awaitSound()
			var wg sync.WaitGroup
			for i := range test.callers {
				wg.Go(func() { _, _ = f.sendBody("/faulty/1", fmt.Sprintf("faulty-%d", i), test.requestSize) })
			}
			var failed []string
			for until := time.Now().Add(faultyTimeout); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
				if line, err := f.sendBody("/sound/1", "sound", 2); err != nil || !strings.Contains(line, " 200 ") {
					failed = append(failed, fmt.Sprint(line, err))
				}
			}
			wg.Wait()
			status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
			f.c.Assert(err, qt.IsNil, qt.Commentf("the process has ended"))
			peak, err := strconv.Atoi(peakMemory.FindStringSubmatch(string(status))[1])
			f.c.Assert(err, qt.IsNil)
			t.Logf("%d MB at the peak", peak>>10)
			f.c.Check(peak<<10 <= testMemoryBytes, qt.IsTrue, qt.Commentf("%d MB at the peak", peak>>10))
			f.c.Check(failed, qt.HasLen, 0, qt.Commentf("calls to the sound server"))
		})
	}
}

// publishRoutes publishes a route to a server that may be faulty and one to a sound one.
func (f *platformFixture) publishRoutes(faulty, sound string) {
	route := func(name string, timeout time.Duration) map[string]any {
		return map[string]any{
			"name": name, "host": "a.example", "path_prefix": "/" + name + "/", "kind": "unsafe", "timeout_ms": timeout.Milliseconds(),
			"target_latency_ms": 500, "service": name, "attempts": 1,
		}
	}
	config, err := json.Marshal(map[string]any{
		"version": 4, "routes": []any{route("faulty", faultyTimeout), route("sound", 20*time.Second)},
		"tenants":  []map[string]any{{"name": "team-1", "api_keys": []string{"key-1"}, "prepaid": 10_000_000}},
		"services": []map[string]any{{"name": "faulty"}, {"name": "sound"}},
		"limits":   map[string]any{"body_bytes": 4 << 20},
	})
	f.c.Assert(err, qt.IsNil)
	f.store.Append("keyed.op", "config", config)
	for service, address := range map[string]string{"faulty": faulty, "sound": sound} {
		server, err := json.Marshal(map[string]any{
			"service": service, "address": address, "zone": "z", "version": "v1", "slots": 10_000, "state": "ready", "sequence": 1, "born": 1,
		})
		f.c.Assert(err, qt.IsNil)
		f.store.Append("keyed.servers", "i-"+service, server)
	}
}

// startScripted starts a server that answers each request with start and size bytes of repeated rest, in which ID stands for the id
// of the request and KEY for a number, and then waits until the connection is closed.
func (f *platformFixture) startScripted(start, rest string, size int) string {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	f.c.Assert(err, qt.IsNil)
	f.c.Cleanup(func() { _ = listener.Close() })
	var text strings.Builder
	for i := 0; rest != "" && text.Len()+len(rest) <= size; i++ {
		text.WriteString(strings.ReplaceAll(rest, "KEY", strconv.FormatInt(int64(i), 36)))
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serveScripted(conn, start, text.String())
		}
	}()
	return listener.Addr().String()
}

func serveScripted(conn net.Conn, start, rest string) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if _, err := io.WriteString(conn, strings.ReplaceAll(start, "ID", r.Header.Get("Request-Id"))+rest); err != nil {
			return
		}
	}
}

// awaitSound waits until a call to the sound server is answered.
func (f *platformFixture) awaitSound() {
	for deadline := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		line, err := f.sendBody("/sound/1", "first", 2)
		if err == nil && strings.Contains(line, " 200 ") {
			return
		}
		f.c.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf("%q, %v", line, err))
	}
}

// sendBody sends a request with a body of the given size on a new connection, reads the whole answer, and returns its status
// line.
func (f *platformFixture) sendBody(path, id string, size int) (string, error) {
	conn, err := net.Dial("tcp4", f.front)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(30 * time.Second))
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a.example\r\nRequest-Id: %s\r\nAuthorization: Bearer key-1\r\nToken-Counts: 10,10\r\nConnection: close\r\nContent-Length: %d\r\n\r\n", path, id, size)
	if _, err = io.WriteString(conn, head+strings.Repeat("a", size)); err != nil {
		return "", err
	}
	reader := bufio.NewReader(conn)
	line, err := reader.ReadString('\n')
	if err == nil {
		_, err = io.Copy(io.Discard, reader)
	}
	return strings.TrimSpace(line), err
}
