package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
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
	// faultFree is set when no fault was active from before the request until its end. Planned stops don't count as
	// faults.
	faultFree bool
	sentAt    time.Time
}

// recorder collects results and violated guarantees.
type recorder struct {
	mu       sync.Mutex
	results  []result
	problems []string
}

func (rec *recorder) add(r result) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.results = append(rec.results, r)
}

func (rec *recorder) problem(format string, args ...any) {
	rec.mu.Lock()
	defer rec.mu.Unlock()
	rec.problems = append(rec.problems, fmt.Sprintf(format, args...))
}

// caller sends requests one after the other. It keeps its connection to an entry VM until a request fails.
type caller struct {
	fleet    *fleet
	recorder *recorder
	random   *rand.Rand
	faults   *faultTracker
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

func (c *caller) send(n int) result {
	r := result{
		id: fmt.Sprintf("%d-%d-%d", c.fleet.network, c.number, n), team: teams[c.random.IntN(len(teams))],
		route: []string{"read", "order", "chat", "draft"}[c.random.IntN(4)], sentAt: time.Now(),
	}
	req, _ := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d/%s/x", c.target.ip, frontPort, r.route), strings.NewReader("body"))
	req.GetBody = nil
	req.Host = "soak.example"
	req.Header.Set("Request-Id", r.id)
	req.Header.Set("Authorization", "Bearer "+apiKey(r.team))
	req.Header.Set("Deadline-Milliseconds", "4000")
	if r.route == "chat" || r.route == "draft" {
		r.inputTokens = 50 + c.random.Int64N(300)
		req.Header.Set("Token-Counts", fmt.Sprintf("%d,%d", r.inputTokens, streamEvents*eventTokens))
		req.Header.Set("Prompt-Prefix", fmt.Sprintf("a%d:%d,%x:%d", c.random.IntN(4), r.inputTokens/2, n+1, r.inputTokens/2))
	}
	faultFree := c.faults.faultFree()
	resp, err := c.client.Do(req)
	if err != nil {
		r.err = err.Error()
	} else {
		c.checkResponse(&r, resp)
	}
	r.faultFree = faultFree && c.faults.faultFree()
	c.recorder.add(r)
	return r
}

// streamEvents is the number of events of each stream.
const streamEvents = 8

// checkResponse reads the response and makes the checks that need no other result.
func (c *caller) checkResponse(r *result, resp *http.Response) {
	defer resp.Body.Close()
	r.status = resp.StatusCode
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
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if id, found := strings.CutPrefix(lines.Text(), "id: "); found {
			r.events++
			if got, _ := strconv.Atoi(id); got != r.events {
				c.recorder.problem("ORDER: request %s got event %s as number %d", r.id, id, r.events)
			}
		}
	}
	r.complete = lines.Err() == nil
	if r.complete && r.events != streamEvents {
		c.recorder.problem("ORDER: request %s ended without an error after %d events", r.id, r.events)
	}
}
