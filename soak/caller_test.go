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

// result is what a caller saw of a request, and what was seen of its runs at the end.
type result struct {
	id, route, team string
	status          int
	input           int64
	events          int
	// whole is set when the answer ended as a whole one.
	whole bool
	err   string
	// calm is set when no fault but planned stops was under way, from before the request until its end.
	calm bool
	at   time.Time
}

// book collects results and broken promises.
type book struct {
	mu       sync.Mutex
	results  []result
	problems []string
}

func (b *book) add(r result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.results = append(b.results, r)
}

func (b *book) problem(format string, args ...any) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.problems = append(b.problems, fmt.Sprintf(format, args...))
}

// caller sends one request after the other and keeps its connections open until the process is gone.
type caller struct {
	f      *fleet
	book   *book
	random *rand.Rand
	clock  *faultClock
	number int
	client *http.Client
	target *vm
}

func (c *caller) run(ctx context.Context) {
	c.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1, DisableCompression: true}, Timeout: 5 * time.Second}
	for n := 0; ctx.Err() == nil; n++ {
		if c.target == nil || c.random.IntN(40) == 0 {
			c.target = c.f.vms[c.random.IntN(vmCount)]
			c.client.CloseIdleConnections()
		}
		r := c.ask(n)
		if r.status != http.StatusOK {
			c.target = nil
			time.Sleep(40 * time.Millisecond)
		}
		time.Sleep(time.Duration(c.random.IntN(30)) * time.Millisecond)
	}
	c.client.CloseIdleConnections()
}

func (c *caller) ask(n int) result {
	r := result{
		id: fmt.Sprintf("%d-%d-%d", c.f.net, c.number, n), team: teams[c.random.IntN(len(teams))],
		route: []string{"read", "order", "chat", "draft"}[c.random.IntN(4)], at: time.Now(),
	}
	req, _ := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d/%s/x", c.target.ip, frontPort, r.route), strings.NewReader("body"))
	req.GetBody = nil
	req.Host = "soak.example"
	req.Header.Set("Request-Id", r.id)
	req.Header.Set("Authorization", "Bearer "+keyOf(r.team))
	req.Header.Set("Deadline-Milliseconds", "4000")
	if r.route == "chat" || r.route == "draft" {
		r.input = 50 + c.random.Int64N(300)
		req.Header.Set("Token-Counts", fmt.Sprintf("%d,%d", r.input, streamEvents*eventTokens))
		req.Header.Set("Prompt-Prefix", fmt.Sprintf("a%d:%d,%x:%d", c.random.IntN(4), r.input/2, n+1, r.input/2))
	}
	calm := c.clock.calmSince()
	resp, err := c.client.Do(req)
	if err != nil {
		r.err = err.Error()
	} else {
		c.read(&r, resp)
	}
	r.calm = calm && c.clock.calmSince()
	c.book.add(r)
	return r
}

// streamEvents is the number of events of each stream.
const streamEvents = 8

// read takes the answer and checks what can be checked at once.
func (c *caller) read(r *result, resp *http.Response) {
	defer resp.Body.Close()
	r.status = resp.StatusCode
	if got := resp.Header.Get("Request-Id"); got != "" && got != r.id {
		c.book.problem("MIXED: request %s got the answer of %s", r.id, got)
	}
	if r.status != http.StatusOK {
		_, _ = io.Copy(io.Discard, resp.Body)
		return
	}
	if resp.Header.Get("Response-Seal") != "seal-"+r.id {
		c.book.problem("MIXED: request %s got 200 with seal %q", r.id, resp.Header.Get("Response-Seal"))
	}
	if r.input == 0 {
		body, err := io.ReadAll(resp.Body)
		r.whole = err == nil
		if r.whole && string(body) != "body of "+r.id {
			c.book.problem("MIXED: request %s got %q", r.id, body)
		}
		return
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if id, found := strings.CutPrefix(lines.Text(), "id: "); found {
			r.events++
			if got, _ := strconv.Atoi(id); got != r.events {
				c.book.problem("ORDER: request %s got event %s as number %d", r.id, id, r.events)
			}
		}
	}
	r.whole = lines.Err() == nil
	if r.whole && r.events != streamEvents {
		c.book.problem("ORDER: request %s ended as whole after %d events", r.id, r.events)
	}
}
