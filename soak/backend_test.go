package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// eventTokens is the number of tokens of one stream event, eventGap the pause between two events.
	eventTokens = 4
	eventGap    = 12 * time.Millisecond
)

// runCounter counts the runs of each request over all backend servers.
type runCounter struct {
	mu   sync.Mutex
	runs map[string]int
}

func (c *runCounter) add(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.runs[id]++
}

func (c *runCounter) count(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.runs[id]
}

// backend is a backend server that speaks the platform's protocol.
type backend struct {
	id   string
	runs *runCounter
	// failing is the percentage of runs that fail. If refusing is set, every request is refused without a run.
	failing  atomic.Int32
	refusing atomic.Bool
	server   *http.Server
}

func startBackend(id, listen string, runs *runCounter) (*backend, error) {
	listener, err := net.Listen("tcp4", listen)
	if err != nil {
		return nil, err
	}
	b := &backend{id: id, runs: runs}
	b.server = &http.Server{Handler: b}
	go func() { _ = b.server.Serve(listener) }()
	return b, nil
}

// ServeHTTP implements http.Handler.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	_, _ = io.Copy(io.Discard, r.Body)
	if want := r.Header.Get("Expected-Instance"); want != "" && want != b.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if b.refusing.Load() {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	b.runs.add(id)
	w.Header().Set("Response-Seal", "seal-"+id)
	time.Sleep(time.Duration(3+rand.IntN(15)) * time.Millisecond)
	failed := rand.Int32N(100) < b.failing.Load()
	if counts := r.Header.Get("Token-Counts"); counts != "" {
		b.stream(w, r, counts, failed)
		return
	}
	switch {
	case failed && rand.IntN(2) == 0:
		w.WriteHeader(http.StatusInternalServerError)
	case failed:
		panic(http.ErrAbortHandler)
	default:
		fmt.Fprintf(w, "body of %s", id)
	}
}

// stream sends one event for each eventTokens of output, after the last event that the caller has received.
func (b *backend) stream(w http.ResponseWriter, r *http.Request, counts string, failed bool) {
	_, output, _ := strings.Cut(counts, ",")
	tokens, _ := strconv.Atoi(output)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.Header().Set("Content-Type", "text/event-stream")
	for i := last + 1; i <= tokens/eventTokens; i++ {
		if failed && i == 3 {
			panic(http.ErrAbortHandler)
		}
		fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", i, r.Header.Get("Request-Id"), i)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		time.Sleep(eventGap)
	}
}
