//go:build review

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const (
	// host is the host of all routes.
	host = "ficu95.example"
	// connectTimeout is how long a client waits for a connection.
	connectTimeout = time.Second
)

// request is a request of a client.
type request struct {
	method, target string
	key            string
	// headers are further headers, as lines without ends.
	headers  []string
	body     string
	deadline time.Duration
}

// answer is what a client has received.
type answer struct {
	id     string
	status int
	seal   string
	body   string
	// err is set if there was no whole answer.
	err error
}

var lastID atomic.Int64

// newID returns the id of a client attempt.
func newID() string { return fmt.Sprintf("%016x", 0x1c41d07b00000000+lastID.Add(1)) }

// send sends a request on a new connection and returns the answer.
func send(address string, r request) answer {
	a := answer{id: newID()}
	conn, err := net.DialTimeout("tcp4", address, connectTimeout)
	if err != nil {
		a.err = err
		return a
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(r.deadline + time.Second))
	lines := []string{
		r.method + " " + r.target + " HTTP/1.1", "Host: " + host, "Request-Id: " + a.id, "Connection: close",
		fmt.Sprintf("Deadline-Milliseconds: %d", r.deadline.Milliseconds()),
	}
	if r.key != "" {
		lines = append(lines, "Authorization: Bearer "+r.key)
	}
	lines = append(lines, r.headers...)
	if r.body != "" || r.method == http.MethodPost {
		lines = append(lines, fmt.Sprintf("Content-Length: %d", len(r.body)))
	}
	if _, a.err = io.WriteString(conn, strings.Join(lines, "\r\n")+"\r\n\r\n"+r.body); a.err != nil {
		return a
	}
	a.read(conn, r.method)
	return a
}

// read reads the answer from a connection.
func (a *answer) read(conn net.Conn, method string) {
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: method})
	if err != nil {
		a.err = err
		return
	}
	defer resp.Body.Close()
	a.status, a.seal = resp.StatusCode, resp.Header.Get("Response-Seal")
	body, err := io.ReadAll(resp.Body)
	a.body, a.err = string(body), err
}

// events is the number of whole events of a stream that a client has received.
func (a *answer) events() int {
	if a.status != http.StatusOK {
		return 0
	}
	return strings.Count(a.body, "\n\n")
}

// isWhole reports whether the client has a whole successful answer.
func (a *answer) isWhole() bool { return a.err == nil && a.status == http.StatusOK && a.seal != "" }

// String describes the answer in the record.
func (a *answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("%s status %d, %d events, broken off: %v", a.id, a.status, a.events(), a.err)
	}
	return fmt.Sprintf("%s status %d, %d events", a.id, a.status, a.events())
}
