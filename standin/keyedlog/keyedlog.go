// Package keyedlog is a stand-in for the log store that package platform uses over HTTP: partitions of topics that
// keep the newest record of each key. It holds everything in memory, injects the faults that tests ask for and can be
// restored from a copy of earlier.
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
	// Late closes the connection without an answer and carries out an append Timings.Late afterwards, if its condition
	// holds then. Restore doesn't undo an append that is carried out after it.
	Late
	// Silent carries out the call and answers after Timings.Silence.
	Silent
)

// Timings are the delays of the stand-in's own actions.
type Timings struct {
	// Rewrite is the time from Restore until the lost records of the operator and of the backend servers are appended
	// again.
	Rewrite time.Duration
	// Late and Silence are the delays of the faults Late and Silent.
	Late, Silence time.Duration
}

// defaultTimings are the delays of a new store.
var defaultTimings = Timings{Rewrite: 500 * time.Millisecond, Late: time.Second, Silence: time.Second}

const (
	// eraHeader names the era of the store in all its answers. It rises by one at each Restore.
	eraHeader = "Store-Era"
	firstEra  = 1
)

// Topics of the operator and of the backend servers. Over HTTP they are read-only.
const (
	operatorTopic = "keyed.op"
	serversTopic  = "keyed.servers"
)

// Limits of answers.
const (
	// maxPageItems is the number of keys in one answer of /v1/log-newest.
	maxPageItems = 500
	// defaultMaxKilobytes is the size of a read without max_kilobytes.
	defaultMaxKilobytes = 1024
)

// Server is the stand-in. Its zero value isn't usable; see New.
type Server struct {
	mu         sync.Mutex
	partitions map[partitionID]*partition
	era        uint64
	fault      func(method, path string) Fault
	timings    Timings
}

// New returns an empty log store without faults in its first era.
func New() *Server {
	return &Server{
		partitions: map[partitionID]*partition{}, era: firstEra, timings: defaultTimings,
		fault: func(string, string) Fault { return NoFault },
	}
}

// SetFault sets the function that selects the fault of each further call.
func (s *Server) SetFault(f func(method, path string) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

// SetTimings sets the delays of all further actions.
func (s *Server) SetTimings(t Timings) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timings = t
}

// SetEra sets the era, as if the store had been restored before.
func (s *Server) SetEra(era uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era = era
}

// Era returns the current era.
func (s *Server) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// Append appends one record to partition 0 of any topic. Over HTTP the topics of the operator and of the backend
// servers are read-only.
func (s *Server) Append(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(partitionID{topic, "0"})
	p.supersede(key)
	p.append([]record{{key: key, value: value}}, time.Now())
}

// DropHistory deletes all records of a partition, as retention does. The newest record of each key stays readable
// with /v1/log-newest.
func (s *Server) DropHistory(topic, part string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partition(partitionID{topic, part}).drop(time.Now())
}

// Restore returns all partitions to their state of age ago and begins the next era. Offsets of lost records are given
// out again, and reads that wait beyond the new end are answered. The lost records of the operator and of the backend
// servers are appended again after Timings.Rewrite, in their order and at new offsets. A record that an earlier Restore
// lost doesn't come back, however old the copy.
func (s *Server) Restore(age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.era++
	for id, p := range s.partitions {
		lost := p.restore(now.Add(-age))
		if id.topic == operatorTopic || id.topic == serversTopic {
			p.queueRewrites(lost, now.Add(s.timings.Rewrite))
		}
	}
	time.AfterFunc(s.timings.Rewrite, s.rewrite)
}

// rewrite appends the lost records whose time has come.
func (s *Server) rewrite() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for _, p := range s.partitions {
		p.rewrite(now)
	}
}

func (s *Server) partition(id partitionID) *partition {
	p := s.partitions[id]
	if p == nil {
		p = newPartition()
		s.partitions[id] = p
	}
	return p
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	fault, timings := s.fault(r.Method, r.URL.Path), s.timings
	s.mu.Unlock()
	switch fault {
	case Unavailable:
		s.failure(http.StatusServiceUnavailable).write(w)
	case NoAnswer:
		<-r.Context().Done()
	case AnswerLost:
		s.serve(r, body)
		panic(http.ErrAbortHandler)
	case Late:
		if r.URL.Path == appendPath {
			time.AfterFunc(timings.Late, func() { s.serve(r, body) })
		}
		panic(http.ErrAbortHandler)
	case Silent:
		a := s.serve(r, body)
		time.Sleep(timings.Silence)
		a.write(w)
	default:
		s.serve(r, body).write(w)
	}
}

// Paths of the calls.
const (
	appendPath = "/v1/log-append"
	readPath   = "/v1/log-read"
	newestPath = "/v1/log-newest"
)

func (s *Server) serve(r *http.Request, body []byte) answer {
	switch r.URL.Path {
	case appendPath:
		return s.serveAppend(r, body)
	case readPath:
		return s.serveRead(r)
	case newestPath:
		return s.serveNewest(r)
	default:
		return s.failure(http.StatusNotFound)
	}
}

// failure returns an answer without a body.
func (s *Server) failure(status int) answer { return answer{status: status, era: s.Era()} }

func (s *Server) serveAppend(r *http.Request, body []byte) answer {
	records, ok := decodeRecords(body)
	id := queriedPartition(r)
	if !ok || id.topic == operatorTopic || id.topic == serversTopic {
		return s.failure(http.StatusForbidden)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(id)
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.FormatUint(p.end(), 10) {
		return jsonAnswer(http.StatusPreconditionFailed, s.era, map[string]any{"end_offset": p.end()})
	}
	offset := p.end()
	p.append(records, time.Now())
	return jsonAnswer(http.StatusOK, s.era, map[string]any{"offset": offset, "end_offset": p.end()})
}

func (s *Server) serveRead(r *http.Request) answer {
	q := r.URL.Query()
	from, err := strconv.ParseUint(q.Get("from"), 10, 64)
	if err != nil {
		return s.failure(http.StatusBadRequest)
	}
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for expired := wait == 0; ; {
		a, changed := s.tryRead(queriedPartition(r), from, q.Get("max_kilobytes"))
		if changed == nil || expired {
			return a
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return a
		}
	}
}

// tryRead answers a read as of now. If there is nothing to read yet, it also returns a channel that is closed at the
// partition's next change.
func (s *Server) tryRead(id partitionID, from uint64, maxKilobytes string) (answer, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(id)
	if from < p.firstOffset || from > p.end() {
		return jsonAnswer(http.StatusGone, s.era, map[string]any{"first_offset": p.firstOffset}), nil
	}
	page := encodePage(p.firstOffset, p.end(), truncateRecords(p.records[from:], maxKilobytes))
	a := answer{status: http.StatusOK, era: s.era, body: page}
	if from == p.end() {
		return a, p.changed
	}
	return a, nil
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

func (s *Server) serveNewest(r *http.Request) answer {
	after := r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(queriedPartition(r))
	var keys []string
	for key := range p.newest {
		if key > after || after == "" {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	hasMore := len(keys) > maxPageItems
	items := []map[string]any{}
	for _, key := range keys[:min(len(keys), maxPageItems)] {
		offset := p.newest[key]
		value := base64.StdEncoding.EncodeToString(p.records[offset].value)
		items = append(items, map[string]any{"key": key, "value": value, "offset": offset})
	}
	return jsonAnswer(http.StatusOK, s.era, map[string]any{"items": items, "has_more": hasMore, "end_offset": p.end()})
}

func queriedPartition(r *http.Request) partitionID {
	q := r.URL.Query()
	return partitionID{q.Get("topic"), q.Get("part")}
}

// answer is the answer to a call.
type answer struct {
	status int
	// era is the era in which the call was carried out.
	era         uint64
	contentType string
	body        []byte
}

func jsonAnswer(status int, era uint64, body map[string]any) answer {
	// Maps of strings and numbers always encode.
	encoded, _ := json.Marshal(body)
	return answer{status: status, era: era, contentType: "application/json", body: encoded}
}

func (a answer) write(w http.ResponseWriter) {
	w.Header().Set(eraHeader, strconv.FormatUint(a.era, 10))
	if a.contentType != "" {
		w.Header().Set("Content-Type", a.contentType)
	}
	w.WriteHeader(a.status)
	_, _ = w.Write(a.body)
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
