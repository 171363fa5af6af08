package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// result is the outcome of a request as its caller saw it.
type result struct {
	id, route, team string
	status          int
	inputTokens     int64
	events          int
	// complete is set when the response was read to its end without an error.
	complete bool
	err      string
	// configuration is the number of the configuration whose route is probed, 0 for other requests.
	configuration int64
	// served is the newest configuration of which the process had served a route when the request was sent.
	served int64
	// vm and start name the process that got the request. start is 0 if the process was restarted meanwhile.
	vm    *vm
	start int64
	// sentAt is when the request began, writtenAt when its last byte was written (zero if it wasn't) and endedAt when the
	// response was read or the request failed.
	sentAt, writtenAt, endedAt time.Time
	// leaving is the instance of a backend server that announced in the response that it leaves.
	leaving string
}

// undisturbed reports whether the process that got the request was not killed or paused.
func (r *result) undisturbed() bool { return !r.vm.disturbances.between(r.sentAt, r.endedAt) }

// caller sends requests one after the other. It keeps its connection to an entry VM until a request fails.
type caller struct {
	fleet    *fleet
	recorder *recorder
	random   *rand.Rand
	number   int
	client   *http.Client
	target   *vm
}

func (c *caller) run(ctx context.Context) {
	c.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}, Timeout: 5 * time.Second}
	for n := 0; ctx.Err() == nil; n++ {
		if c.target == nil || c.random.IntN(40) == 0 {
			c.target = c.fleet.vms[c.random.IntN(vmCount)]
			c.client.CloseIdleConnections()
		}
		r := c.send(n)
		if r.status != http.StatusOK {
			c.target = nil
			time.Sleep(40 * time.Millisecond)
		}
		time.Sleep(time.Duration(c.random.IntN(30)) * time.Millisecond)
	}
	c.client.CloseIdleConnections()
}

// probeShare is the share of probes in all requests: one in probeShare.
const probeShare = 8

func (c *caller) send(n int) result {
	r := result{
		id: fmt.Sprintf("%d-%d-%d", c.fleet.network, c.number, n), team: teams[c.random.IntN(len(teams))],
		route: []string{"read", "order", "chat", "draft"}[c.random.IntN(4)], vm: c.target,
	}
	prefix := "/" + r.route + "/"
	if c.random.IntN(probeShare) == 0 {
		r.route, r.configuration = "probe", c.chooseConfiguration()
		prefix = probePrefix(r.configuration)
	}
	if r.route == "chat" || r.route == "draft" {
		r.inputTokens = 50 + c.random.Int64N(300)
	}
	var writtenAt atomic.Int64
	req := c.newRequest(&r, prefix+"x", n)
	req = req.WithContext(httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		WroteRequest: func(info httptrace.WroteRequestInfo) {
			if info.Err == nil {
				writtenAt.Store(time.Now().UnixNano())
			}
		},
	}))
	start := c.target.starts.Load()
	r.served, r.sentAt = c.recorder.served(c.target, start), time.Now()
	resp, err := c.client.Do(req)
	if err != nil {
		r.err = err.Error()
	} else {
		c.checkResponse(&r, resp)
	}
	r.endedAt = time.Now()
	if t := writtenAt.Load(); t != 0 {
		r.writtenAt = time.Unix(0, t)
	}
	if c.target.starts.Load() == start {
		r.start = start
	}
	c.recorder.add(r)
	return r
}

// chooseConfiguration returns the number of the configuration to probe, in every second case the newest.
func (c *caller) chooseConfiguration() int64 {
	newest := c.fleet.configurations.Load()
	if c.random.IntN(2) == 0 {
		return newest
	}
	return 1 + c.random.Int64N(newest)
}

func (c *caller) newRequest(r *result, path string, n int) *http.Request {
	req, _ := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d%s", c.target.ip, frontPort, path), strings.NewReader("body"))
	req.GetBody = nil
	req.Host = "soak.example"
	req.Header.Set("Request-Id", r.id)
	req.Header.Set("Authorization", "Bearer "+apiKey(r.team))
	req.Header.Set("Deadline-Milliseconds", "4000")
	if r.inputTokens > 0 {
		req.Header.Set("Token-Counts", fmt.Sprintf("%d,%d", r.inputTokens, streamEvents*eventTokens))
		req.Header.Set("Prompt-Prefix", fmt.Sprintf("a%d:%d,%x:%d", c.random.IntN(4), r.inputTokens/2, n+1, r.inputTokens/2))
	}
	return req
}

// streamEvents is the number of events of each stream.
const streamEvents = 8

// checkResponse reads the response and makes the checks that need no other result.
func (c *caller) checkResponse(r *result, resp *http.Response) {
	defer resp.Body.Close()
	r.status = resp.StatusCode
	if resp.Header.Get("Server-Leaving") != "" {
		r.leaving = resp.Header.Get(instanceHeader)
	}
	if got := resp.Header.Get("Request-Id"); got != "" && got != r.id {
		c.recorder.problem("MIXED: request %s got the response to %s", r.id, got)
	}
	if r.status != http.StatusOK {
		_, _ = io.Copy(io.Discard, resp.Body)
		return
	}
	if resp.Header.Get("Response-Seal") != "seal-"+r.id {
		c.recorder.problem("MIXED: request %s got 200 with seal %q", r.id, resp.Header.Get("Response-Seal"))
	}
	if r.inputTokens == 0 {
		body, err := io.ReadAll(resp.Body)
		r.complete = err == nil
		if r.complete && string(body) != "body of "+r.id {
			c.recorder.problem("MIXED: request %s got %q", r.id, body)
		}
		return
	}
	r.complete = c.checkLines(r, bufio.NewReader(resp.Body))
	if r.complete && r.events != streamEvents {
		c.recorder.problem("ORDER: request %s ended without an error after %d events", r.id, r.events)
	}
}

// checkLines checks the lines of a stream and reports whether it ended without an error. A stream that breaks may end
// within a line.
func (c *caller) checkLines(r *result, lines *bufio.Reader) bool {
	for {
		line, err := lines.ReadString('\n')
		if err == io.EOF && line == "" {
			return true
		}
		if err == io.EOF {
			c.recorder.problem("MIXED: request %s ended without an error within the line %q", r.id, line[:min(len(line), maxQuotedBytes)])
		}
		if err != nil {
			return false
		}
		c.checkLine(r, strings.TrimSuffix(line, "\n"))
	}
}

// maxQuotedBytes bounds the part of a wrong line that is reported.
const maxQuotedBytes = 80

// checkLine checks one line of a stream.
func (c *caller) checkLine(r *result, line string) {
	id, found := strings.CutPrefix(line, "id: ")
	if found {
		r.events++
		if got, _ := strconv.Atoi(id); got != r.events {
			c.recorder.problem("ORDER: request %s got event %s as number %d", r.id, id, r.events)
		}
		return
	}
	if line != "" && line != fmt.Sprintf("data: %s-%d", r.id, r.events) {
		c.recorder.problem("MIXED: request %s got the line %q after event %d", r.id, line[:min(len(line), maxQuotedBytes)], r.events)
	}
}
