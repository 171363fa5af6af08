// Package keyedlog is a stand-in for the users' store: a log over HTTP with streams that keep the newest record of each
// key, in memory, with the faults that tests ask for.
package keyedlog

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault is what happens to a call.
type Fault int

// Faults.
const (
	None Fault = iota
	// Busy answers 503 and does nothing.
	Busy
	// Lost carries the call out and closes the connection.
	Lost
	// Silent never answers and does nothing.
	Silent
)

const (
	maxPage          = 500
	defaultKilobytes = 1024
)

type record struct {
	key   string
	value []byte
}

type partition struct {
	first   uint64
	records []record
	// newest are the offsets of the newest records, by key; kept are those records for good.
	newest map[string]uint64
	kept   map[string]record
	grown  chan struct{}
}

func (p *partition) end() uint64 { return p.first + uint64(len(p.records)) }

// Server is a store in memory. Its zero value isn't usable; see New.
type Server struct {
	mu         sync.Mutex
	partitions map[string]*partition
	fault      func(method, path string) Fault
}

// New returns an empty store without faults.
func New() *Server {
	return &Server{partitions: map[string]*partition{}, fault: func(string, string) Fault { return None }}
}

// SetFault decides on the fault of each call from now on.
func (s *Server) SetFault(f func(method, path string) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Put appends one record as the operator or a server does.
func (s *Server) Put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partition(topic, "0").append([]record{{key: key, value: value}})
}

// DropHistory deletes all records but the newest of each key.
func (s *Server) DropHistory(topic, part string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(topic, part)
	p.first, p.records = p.end(), nil
}

func (s *Server) partition(topic, part string) *partition {
	name := topic + "/" + part
	p := s.partitions[name]
	if p == nil {
		p = &partition{newest: map[string]uint64{}, kept: map[string]record{}, grown: make(chan struct{})}
		s.partitions[name] = p
	}
	return p
}

func (p *partition) append(records []record) {
	for _, r := range records {
		if len(r.value) == 0 {
			delete(p.newest, r.key)
			delete(p.kept, r.key)
		} else {
			p.newest[r.key], p.kept[r.key] = p.end(), r
		}
		p.records = append(p.records, r)
	}
	close(p.grown)
	p.grown = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	fault := s.fault(r.Method, r.URL.Path)
	s.mu.Unlock()
	switch fault {
	case Busy:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case Silent:
		<-r.Context().Done()
		return
	case Lost:
		s.serve(discard{header: http.Header{}}, r)
		panic(http.ErrAbortHandler)
	}
	s.serve(w, r)
}

func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/v1/log-append":
		s.serveAppend(w, r)
	case "/v1/log-read":
		s.serveRead(w, r)
	case "/v1/log-newest":
		s.serveNewest(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Server) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	records, ok := decode(body)
	topic := r.URL.Query().Get("topic")
	if !ok || topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(topic, r.URL.Query().Get("part"))
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.FormatUint(p.end(), 10) {
		reply(w, http.StatusPreconditionFailed, map[string]any{"end_offset": p.end()})
		return
	}
	offset := p.end()
	p.append(records)
	reply(w, http.StatusOK, map[string]any{"offset": offset, "end_offset": p.end()})
}

func (s *Server) serveRead(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, err := strconv.ParseUint(q.Get("from"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		p := s.partition(q.Get("topic"), q.Get("part"))
		first, end, grown := p.first, p.end(), p.grown
		var records []record
		if from >= first && from < end {
			records = slices.Clone(p.records[from-first:])
		}
		s.mu.Unlock()
		switch {
		case from < first:
			reply(w, http.StatusGone, map[string]any{"first_offset": first})
			return
		case len(records) > 0 || wait == 0:
			_, _ = w.Write(encode(first, end, limited(records, q.Get("max_kilobytes"))))
			return
		}
		select {
		case <-grown:
		case <-timer.C:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

// limited cuts the records after the given size; at least one is kept.
func limited(records []record, kilobytes string) []record {
	limit, err := strconv.Atoi(kilobytes)
	if err != nil {
		limit = defaultKilobytes
	}
	size := 0
	for i, r := range records {
		size += len(r.key) + len(r.value)
		if i > 0 && size > limit<<10 {
			return records[:i]
		}
	}
	return records
}

func (s *Server) serveNewest(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(q.Get("topic"), q.Get("part"))
	var keys []string
	for key := range p.kept {
		if key > q.Get("after") || q.Get("after") == "" {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	more := len(keys) > maxPage
	items := []map[string]any{}
	for _, key := range keys[:min(len(keys), maxPage)] {
		items = append(items, map[string]any{
			"key": key, "value": base64.StdEncoding.EncodeToString(p.kept[key].value), "offset": p.newest[key],
		})
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": more, "end_offset": p.end()})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func decode(body []byte) ([]record, bool) {
	var records []record
	for len(body) > 0 {
		if len(body) < 5 {
			return nil, false
		}
		size := int(binary.BigEndian.Uint32(body))
		if size < 1 || len(body) < 4+size || 1+int(body[4]) > size {
			return nil, false
		}
		content := body[4 : 4+size]
		key := content[1 : 1+int(content[0])]
		records = append(records, record{key: strings.Clone(string(key)), value: slices.Clone(content[1+len(key):])})
		body = body[4+size:]
	}
	return records, true
}

func encode(first, end uint64, records []record) []byte {
	out := binary.BigEndian.AppendUint64(nil, end)
	out = binary.BigEndian.AppendUint64(out, first)
	for _, r := range records {
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(r.key)+len(r.value)))
		out = append(out, byte(len(r.key)))
		out = append(append(out, r.key...), r.value...)
	}
	return out
}

// discard drops an answer that is lost.
type discard struct{ header http.Header }

func (d discard) Header() http.Header       { return d.header }
func (discard) Write(b []byte) (int, error) { return len(b), nil }
func (discard) WriteHeader(int)             {}
