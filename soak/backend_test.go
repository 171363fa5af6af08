package soak

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"ibiswinch/standin/keyedlog"
)

const (
	// eventTokens is the number of tokens of one stream event, eventGap the pause between two events.
	eventTokens = 4
	eventGap    = 12 * time.Millisecond
	// listenTimeout is how long a server that starts again waits for its address, listenInterval the time between two attempts.
	listenTimeout  = time.Second
	listenInterval = 5 * time.Millisecond
	// endlessChunkBytes are written each endlessChunkInterval by an answer without end.
	endlessChunkBytes    = 16 << 10
	endlessChunkInterval = 5 * time.Millisecond
	// shutdownTimeout bounds how long a backend server that leaves waits for its runs.
	shutdownTimeout = 5 * time.Second
	// repeatedRefusalPercent of the requests get a refusal that is written once more.
	repeatedRefusalPercent = 30
)

// instanceHeader names the start of the backend server that answers.
const instanceHeader = "Soak-Instance"

// States of a backend server's entry in the store.
const (
	stateReady    = "ready"
	stateDraining = "draining"
	// stateUnlisted is the state of a server without an entry.
	stateUnlisted = ""
)

// backend is a backend server that speaks the platform's protocol.
type backend struct {
	id, listen string
	// entryAddress is the address in the server's entry, that of its proxy.
	entryAddress string
	zone         string
	arrivals     *arrivalLog
	// disturbances are the faults of the server, and of the link to it, that break responses.
	disturbances disturbances

	// failing is the percentage of runs that fail.
	failing atomic.Int32
	// While refusing is set, every request is refused without a run; with a retryAfter above 0, in milliseconds, the
	// refusal names it.
	refusing   atomic.Bool
	retryAfter atomic.Int64
	// limit is the number of requests a second that the server takes and names, 0 for no limit.
	limit atomic.Int32
	// failingResumed has resumed streams answered by an error, endless has bodies written without end, and
	// repeatingRefusals has some refusals written once more on their connection.
	failingResumed, endless, repeatingRefusals atomic.Bool
	// leaving has the server announce in its answers that it leaves. replacing is set until it has started again.
	leaving, replacing atomic.Bool
	// silentUntil is the Unix millisecond until which the server sends nothing.
	silentUntil atomic.Int64
	// born is the Unix millisecond of the server's start.
	born atomic.Int64

	mu       sync.Mutex
	server   *http.Server
	state    string
	sequence int
	// second and taken count the requests of the current second, for limit.
	second int64
	taken  int32
}

// listenAgain listens at an address whose last listener may have just been closed. A process that is started at the same time has a
// copy of that for a moment, until its descriptors are closed on exec.
func listenAgain(address string) (net.Listener, error) {
	for deadline := time.Now().Add(listenTimeout); ; time.Sleep(listenInterval) {
		listener, err := net.Listen("tcp4", address)
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(deadline) {
			return listener, err
		}
	}
}

// start starts the server as a new instance.
func (b *backend) start() error {
	listener, err := listenAgain(b.listen)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: b}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.server, b.state, b.sequence = server, stateReady, 0
	// In this order, since an answer names the instance before it says whether that leaves.
	b.leaving.Store(false)
	b.born.Store(time.Now().UnixMilli())
	go func() { _ = server.Serve(listener) }()
	return nil
}

// shutdown ends the server after its runs.
func (b *backend) shutdown() {
	b.mu.Lock()
	server := b.server
	b.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	_ = server.Shutdown(ctx)
	_ = server.Close()
}

func (b *backend) close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	_ = b.server.Close()
}

// instance names the current start of the server.
func (b *backend) instance() string { return fmt.Sprintf("%s/%d", b.id, b.born.Load()) }

// arrival returns the arrival of a request now.
func (b *backend) arrival(id string) arrival {
	return arrival{id: id, backend: b, instance: b.instance(), at: time.Now()}
}

// setState changes the state of the server's entry and writes it.
func (b *backend) setState(store *keyedlog.Server, state string) {
	b.mu.Lock()
	b.state = state
	b.mu.Unlock()
	if state == stateUnlisted {
		store.Append("keyed.servers", b.id, nil)
		return
	}
	b.writeEntry(store)
}

// writeEntry writes the server's entry in the store, unless it is unlisted.
func (b *backend) writeEntry(store *keyedlog.Server) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.state == stateUnlisted {
		return
	}
	b.sequence++
	value, _ := json.Marshal(map[string]any{
		"service": "s", "address": b.entryAddress, "zone": b.zone, "version": "v1", "slots": 64, "state": b.state,
		"sequence": b.sequence, "born": b.born.Load(),
	})
	store.Append("keyed.servers", b.id, value)
}

// ServeHTTP implements http.Handler.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	_, _ = io.Copy(io.Discard, r.Body)
	b.waitSilence()
	b.setHeaders(w.Header(), id)
	if want := r.Header.Get("Expected-Instance"); want != "" && want != b.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch {
	case b.refusing.Load():
		b.refuse(w, r, id)
	case !b.takeToken():
		b.arrivals.add(b.arrival(id))
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusTooManyRequests)
	case b.repeatingRefusals.Load() && rand.IntN(100) < repeatedRefusalPercent:
		b.refuseTwice(w, id)
	default:
		b.run(w, r, id)
	}
}

func (b *backend) setHeaders(h http.Header, id string) {
	h.Set("Request-Id", id)
	h.Set(instanceHeader, b.instance())
	if b.leaving.Load() {
		h.Set("Server-Leaving", "1")
	}
	if limit := b.limit.Load(); limit > 0 {
		h.Set("Server-Limit", strconv.Itoa(int(limit)))
	}
}

func (b *backend) waitSilence() { time.Sleep(time.Until(time.UnixMilli(b.silentUntil.Load()))) }

// takeToken reports whether the limit allows another request in this second.
func (b *backend) takeToken() bool {
	limit := b.limit.Load()
	b.mu.Lock()
	defer b.mu.Unlock()
	if now := time.Now().Unix(); now != b.second {
		b.second, b.taken = now, 0
	}
	b.taken++
	return limit == 0 || b.taken <= limit
}

// refuse refuses a request. A time to wait counts only if the one that sent the request is still there to hear it.
func (b *backend) refuse(w http.ResponseWriter, r *http.Request, id string) {
	a := b.arrival(id)
	w.Header().Set("Not-Executed", "1")
	if wait := b.retryAfter.Load(); wait > 0 && r.Context().Err() == nil {
		a.retryAt = a.at.Add(time.Duration(wait) * time.Millisecond)
		w.Header().Set("Retry-After", strconv.FormatFloat(float64(wait)/1000, 'f', 3, 64))
	}
	b.arrivals.add(a)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// refuseTwice refuses a request, and writes the refusal once more where the response to the next request on the
// connection is due. The next request is treated as any other, and its response follows.
func (b *backend) refuseTwice(w http.ResponseWriter, id string) {
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	b.arrivals.add(b.arrival(id))
	refusal := "HTTP/1.1 503 Service Unavailable\r\nRequest-Id: " + id + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	if _, err := io.WriteString(conn, refusal); err != nil {
		return
	}
	next, err := http.ReadRequest(buffer.Reader)
	if err != nil {
		return
	}
	if _, err := io.WriteString(conn, refusal); err != nil {
		return
	}
	raw := newRawWriter(conn)
	nextID := next.Header.Get("Request-Id")
	_, _ = io.Copy(io.Discard, next.Body)
	b.setHeaders(raw.Header(), nextID)
	b.run(raw, next, nextID)
	raw.finish()
}

// run runs a request.
func (b *backend) run(w http.ResponseWriter, r *http.Request, id string) {
	a := b.arrival(id)
	a.ran = true
	b.arrivals.add(a)
	w.Header().Set("Response-Seal", "seal-"+id)
	time.Sleep(time.Duration(3+rand.IntN(15)) * time.Millisecond)
	b.waitSilence()
	failed := rand.Int32N(100) < b.failing.Load()
	if r.Header.Get("Last-Event-Id") != "" && b.failingResumed.Load() {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	counts := r.Header.Get("Token-Counts")
	if counts != "" {
		w.Header().Set("Content-Type", "text/event-stream")
	}
	switch {
	case b.endless.Load():
		writeEndlessly(w)
	case counts != "":
		b.stream(w, r, counts, failed)
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
	for i := last + 1; i <= tokens/eventTokens; i++ {
		if failed && i == 3 {
			panic(http.ErrAbortHandler)
		}
		b.waitSilence()
		fmt.Fprintf(w, "id: %d\ndata: %s-%d\n\n", i, r.Header.Get("Request-Id"), i)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
		time.Sleep(eventGap)
	}
}

// writeEndlessly writes a body, of a stream without a whole event, until its reader closes the connection.
func writeEndlessly(w io.Writer) {
	chunk := []byte(strings.Repeat("x", endlessChunkBytes))
	for {
		if _, err := w.Write(chunk); err != nil {
			return
		}
		time.Sleep(endlessChunkInterval)
	}
}
