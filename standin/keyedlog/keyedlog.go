// Package keyedlog is a stand-in for the log store that package platform uses over HTTP: partitions of topics that
// keep the newest record of each key. It holds everything in memory and injects the faults that tests ask for.
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

// Fault is a fault injected into a call.
type Fault int

const (
	NoFault Fault = iota
	// Unavailable answers 503 without carrying out the call.
	Unavailable
	// AnswerLost carries out the call and closes the connection without an answer.
	AnswerLost
	// NoAnswer neither carries out the call nor answers.
	NoAnswer
)

// Limits of answers.
const (
	// maxPageItems is the number of keys in one answer of /v1/log-newest.
	maxPageItems = 500
	// defaultMaxKilobytes is the size of a read without max_kilobytes.
	defaultMaxKilobytes = 1024
)

type record struct {
	key   string
	value []byte
}

type partition struct {
	firstOffset uint64
	records     []record
	// newestRecords and newestOffsets hold the newest record of each key. DropHistory keeps them.
	newestOffsets map[string]uint64
	newestRecords map[string]record
	// appended is closed and replaced at each append, for reads that wait.
	appended chan struct{}
}

func (p *partition) end() uint64 { return p.firstOffset + uint64(len(p.records)) }

// Server is the stand-in. Its zero value isn't usable; see New.
type Server struct {
	mu         sync.Mutex
	partitions map[string]*partition
	fault      func(method, path string) Fault
}

// New returns an empty log store without faults.
func New() *Server {
	return &Server{partitions: map[string]*partition{}, fault: func(string, string) Fault { return NoFault }}
}

// SetFault sets the function that selects the fault of each further call.
func (s *Server) SetFault(f func(method, path string) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// Append appends one record to partition 0 of any topic. Over HTTP the topics of the operator and of the backend
// servers are read-only.
func (s *Server) Append(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partition(topic, "0").append([]record{{key: key, value: value}})
}

// DropHistory deletes all records of a partition, as retention does. The newest record of each key stays readable
// with /v1/log-newest.
func (s *Server) DropHistory(topic, part string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(topic, part)
	p.firstOffset, p.records = p.end(), nil
}

func (s *Server) partition(topic, part string) *partition {
	name := topic + "/" + part
	p := s.partitions[name]
	if p == nil {
		p = &partition{newestOffsets: map[string]uint64{}, newestRecords: map[string]record{}, appended: make(chan struct{})}
		s.partitions[name] = p
	}
	return p
}

func (p *partition) append(records []record) {
	for _, r := range records {
		if len(r.value) == 0 {
			delete(p.newestOffsets, r.key)
			delete(p.newestRecords, r.key)
		} else {
			p.newestOffsets[r.key], p.newestRecords[r.key] = p.end(), r
		}
		p.records = append(p.records, r)
	}
	close(p.appended)
	p.appended = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	fault := s.fault(r.Method, r.URL.Path)
	s.mu.Unlock()
	switch fault {
	case Unavailable:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case NoAnswer:
		<-r.Context().Done()
		return
	case AnswerLost:
		s.serve(discardWriter{header: http.Header{}}, r)
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
	records, ok := decodeRecords(body)
	topic := r.URL.Query().Get("topic")
	if !ok || topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(topic, r.URL.Query().Get("part"))
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.FormatUint(p.end(), 10) {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"end_offset": p.end()})
		return
	}
	offset := p.end()
	p.append(records)
	writeJSON(w, http.StatusOK, map[string]any{"offset": offset, "end_offset": p.end()})
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
		firstOffset, endOffset, appended := p.firstOffset, p.end(), p.appended
		var records []record
		if from >= firstOffset && from < endOffset {
			records = slices.Clone(p.records[from-firstOffset:])
		}
		s.mu.Unlock()
		switch {
		case from < firstOffset:
			writeJSON(w, http.StatusGone, map[string]any{"first_offset": firstOffset})
			return
		case len(records) > 0 || wait == 0:
			_, _ = w.Write(encodePage(firstOffset, endOffset, truncateRecords(records, q.Get("max_kilobytes"))))
			return
		}
		select {
		case <-appended:
		case <-timer.C:
			wait = 0
		case <-r.Context().Done():
			return
		}
	}
}

// truncateRecords returns the leading records that fit the given size, at least one.
func truncateRecords(records []record, maxKilobytes string) []record {
	maxSize, err := strconv.Atoi(maxKilobytes)
	if err != nil {
		maxSize = defaultMaxKilobytes
	}
	size := 0
	for i, r := range records {
		size += len(r.key) + len(r.value)
		if i > 0 && size > maxSize<<10 {
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
	for key := range p.newestRecords {
		if key > q.Get("after") || q.Get("after") == "" {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	hasMore := len(keys) > maxPageItems
	items := []map[string]any{}
	for _, key := range keys[:min(len(keys), maxPageItems)] {
		items = append(items, map[string]any{
			"key": key, "value": base64.StdEncoding.EncodeToString(p.newestRecords[key].value), "offset": p.newestOffsets[key],
		})
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": hasMore, "end_offset": p.end()})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// decodeRecords decodes the body of an append. A record is the length of what follows in 4 bytes, the length of the key
// in 1 byte, the key and the value.
func decodeRecords(body []byte) ([]record, bool) {
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

// encodePage encodes the answer to a read: the end offset and the first offset in 8 bytes each, then the records as in
// the body of an append.
func encodePage(firstOffset, endOffset uint64, records []record) []byte {
	out := binary.BigEndian.AppendUint64(nil, endOffset)
	out = binary.BigEndian.AppendUint64(out, firstOffset)
	for _, r := range records {
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(r.key)+len(r.value)))
		out = append(out, byte(len(r.key)))
		out = append(append(out, r.key...), r.value...)
	}
	return out
}

// discardWriter is an http.ResponseWriter that drops the answer.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header       { return d.header }
func (discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (discardWriter) WriteHeader(int)             {}
