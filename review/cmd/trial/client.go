//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	host     = "shop.example"
	key      = "xd9dnn2ctnfzs989anu6"
	deadline = 3 * time.Second
)

// sent is one request of a client, with its answer.
type sent struct {
	id         string
	vm         *vm
	at         time.Time
	status     int
	leaving    bool
	answeredAt time.Time
}

// client sends unsafe requests to entry VMs on kept connections. It never repeats one.
type client struct {
	t    *trial
	http *http.Client
	next atomic.Int64

	mu  sync.Mutex
	all []sent
}

func newClient(t *trial) *client {
	return &client{t: t, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, DisableCompression: true}}}
}

// order sends one unsafe request and waits for its answer.
func (c *client) order(v *vm, path, apiKey string) sent {
	s := sent{id: fmt.Sprintf("%016x", c.next.Add(1)), vm: v, at: time.Now()}
	r, _ := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d%s", v.ip, frontPort, path), io.NopCloser(strings.NewReader("order")))
	r.ContentLength, r.Host = 5, host
	r.Header.Set("Request-Id", s.id)
	r.Header.Set("Authorization", "Bearer "+apiKey)
	r.Header.Set("Deadline-Milliseconds", strconv.FormatInt(deadline.Milliseconds(), 10))
	resp, err := c.http.Do(r)
	if err == nil {
		s.status, s.leaving = resp.StatusCode, resp.Header.Get("Server-Leaving") == "1"
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	s.answeredAt = time.Now()
	c.t.note("%s sent to %s at %s: status %d, leaving %v, error %v", s.id, v.name, c.t.at(s.at), s.status, s.leaving, err)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all = append(c.all, s)
	return s
}

// run sends a request to the entry VM each interval until the given time.
func (c *client) run(v *vm, path string, interval time.Duration, until time.Time) {
	var wg sync.WaitGroup
	for time.Now().Before(until) {
		wg.Go(func() { c.order(v, path, key) })
		time.Sleep(interval)
	}
	wg.Wait()
}

// requests returns what was sent and answered.
func (c *client) requests() map[string]sent {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := map[string]sent{}
	for _, s := range c.all {
		list[s.id] = s
	}
	return list
}

// ordersRoute is the configuration of one unsafe route.
func ordersRoute() (routes, services []map[string]any) {
	routes = []map[string]any{{
		"name": "r-orders", "host": host, "path_prefix": "/orders/", "kind": "unsafe", "timeout_ms": 3000, "target_latency_ms": 300,
		"priority": 1, "service": "orders", "attempts": 1, "public": false, "sticky_sessions": false, "stream_resumption": false,
	}}
	services = []map[string]any{{"name": "orders", "health_path": "/health", "connection_limit": 110, "protocol": "h1", "tls": false}}
	return routes, services
}

// tenant is the tenant of the clients.
func tenant(keys ...string) []map[string]any {
	return []map[string]any{{"name": "huka270", "api_keys": keys, "priority": 1}}
}
