package keyedlog

import (
	"bytes"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

const ledgerTopic = "keyed.ledger"

// call makes a call and returns its answer, or nil if the connection was closed without one.
func call(s *Server, method, target string, body []byte) (recorder *httptest.ResponseRecorder) {
	recorder = httptest.NewRecorder()
	defer func() {
		if recover() == http.ErrAbortHandler {
			recorder = nil
		}
	}()
	s.ServeHTTP(recorder, httptest.NewRequest(method, target, bytes.NewReader(body)))
	return recorder
}

// appendRecord appends one record to partition 0. Without a condition, at is empty.
func appendRecord(s *Server, topic, key, value, at string) *httptest.ResponseRecorder {
	body := binary.BigEndian.AppendUint32(nil, uint32(1+len(key)+len(value)))
	body = append(append(append(body, byte(len(key))), key...), value...)
	return call(s, http.MethodPost, appendPath+"?topic="+topic+"&part=0&at="+at, body)
}

func readFrom(s *Server, topic string, from, waitMilliseconds int) *httptest.ResponseRecorder {
	return call(s, http.MethodGet, fmt.Sprintf("%s?topic=%s&part=0&from=%d&wait_ms=%d", readPath, topic, from, waitMilliseconds), nil)
}

// values returns the values of the records in the answer to a read.
func values(c *qt.C, recorder *httptest.ResponseRecorder) []string {
	c.Assert(recorder.Code, qt.Equals, http.StatusOK)
	records, ok := decodeRecords(recorder.Body.Bytes()[16:])
	c.Assert(ok, qt.IsTrue)
	var out []string
	for _, r := range records {
		out = append(out, string(r.value))
	}
	return out
}

// newest returns the newest value of each key of a topic, with its offset.
func newest(c *qt.C, s *Server, topic string) map[string]string {
	recorder := call(s, http.MethodGet, newestPath+"?topic="+topic+"&part=0", nil)
	var page struct {
		Items []struct {
			Key    string `json:"key"`
			Value  []byte `json:"value"`
			Offset uint64 `json:"offset"`
		} `json:"items"`
	}
	c.Assert(json.Unmarshal(recorder.Body.Bytes(), &page), qt.IsNil)
	out := map[string]string{}
	for _, item := range page.Items {
		out[item.Key] = fmt.Sprintf("%s@%d", item.Value, item.Offset)
	}
	return out
}

func setFault(s *Server, f Fault) { s.SetFault(func(string, string) Fault { return f }) }

// TestEraInAllAnswers guards against answers from which a client can't tell that the store was restored.
func TestEraInAllAnswers(t *testing.T) {
	c := qt.New(t)
	s := New()
	for _, era := range []string{"1", "2", "8"} {
		if era == "8" {
			s.SetEra(8)
		}
		appendRecord(s, ledgerTopic, "a", "1", "")
		s.DropHistory(ledgerTopic, "0")
		answers := map[int]*httptest.ResponseRecorder{
			http.StatusOK:                 appendRecord(s, ledgerTopic, "a", "2", ""),
			http.StatusGone:               readFrom(s, ledgerTopic, 0, 0),
			http.StatusPreconditionFailed: appendRecord(s, ledgerTopic, "a", "3", "0"),
			http.StatusForbidden:          appendRecord(s, operatorTopic, "a", "3", ""),
			http.StatusNotFound:           call(s, http.MethodGet, "/v1/other", nil),
			http.StatusBadRequest:         call(s, http.MethodGet, readPath+"?topic=x&part=0", nil),
		}
		setFault(s, Unavailable)
		answers[http.StatusServiceUnavailable] = readFrom(s, ledgerTopic, 0, 0)
		setFault(s, NoFault)
		for status, recorder := range answers {
			c.Check(recorder.Code, qt.Equals, status)
			c.Check(recorder.Header().Get("Store-Era"), qt.Equals, era, qt.Commentf("status %d", status))
		}
		c.Check(readFrom(s, ledgerTopic, int(s.partition(partitionID{ledgerTopic, "0"}).end()), 0).Header().Get("Store-Era"), qt.Equals, era)
		c.Check(call(s, http.MethodGet, newestPath+"?topic=x&part=0", nil).Header().Get("Store-Era"), qt.Equals, era)
		s.Restore(time.Hour)
	}
}

// TestRestore guards against a restored store that keeps a record or a newest record from after its copy, or that
// doesn't give out the offsets again.
func TestRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := New()
		appendRecord(s, ledgerTopic, "a", "a1", "")
		appendRecord(s, ledgerTopic, "b", "b1", "")
		time.Sleep(3 * time.Second)
		appendRecord(s, ledgerTopic, "a", "a2", "")
		appendRecord(s, ledgerTopic, "b", "", "")
		appendRecord(s, ledgerTopic, "c", "c1", "")
		c.Assert(newest(c, s, ledgerTopic), qt.DeepEquals, map[string]string{"a": "a2@2", "c": "c1@4"})
		time.Sleep(time.Second)

		s.Restore(2 * time.Second)
		c.Assert(s.Era(), qt.Equals, uint64(2))
		c.Assert(newest(c, s, ledgerTopic), qt.DeepEquals, map[string]string{"a": "a1@0", "b": "b1@1"})
		c.Assert(values(c, readFrom(s, ledgerTopic, 0, 0)), qt.DeepEquals, []string{"a1", "b1"})
		gone := readFrom(s, ledgerTopic, 5, 0)
		c.Assert(gone.Code, qt.Equals, http.StatusGone)
		c.Assert(gone.Body.String(), qt.Equals, `{"first_offset":0}`)
		c.Assert(values(c, readFrom(s, ledgerTopic, 2, 0)), qt.HasLen, 0)
		c.Assert(appendRecord(s, ledgerTopic, "a", "a3", "5").Code, qt.Equals, http.StatusPreconditionFailed)
		c.Assert(appendRecord(s, ledgerTopic, "a", "a3", "2").Code, qt.Equals, http.StatusOK)
		c.Assert(values(c, readFrom(s, ledgerTopic, 2, 0)), qt.DeepEquals, []string{"a3"})

		time.Sleep(10 * time.Second)
		s.Restore(10 * time.Second)
		c.Assert(values(c, readFrom(s, ledgerTopic, 0, 0)), qt.DeepEquals, []string{"a1", "b1", "a3"})
	})
}

// TestRestoreOfDroppedHistory guards against newest records that are gone, or readable records that should be gone,
// after history was dropped before or after the copy was made.
func TestRestoreOfDroppedHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := New()
		appendRecord(s, ledgerTopic, "a", "a1", "")
		s.DropHistory(ledgerTopic, "0")
		time.Sleep(3 * time.Second)
		appendRecord(s, ledgerTopic, "a", "a2", "")
		s.DropHistory(ledgerTopic, "0")
		c.Assert(readFrom(s, ledgerTopic, 1, 0).Code, qt.Equals, http.StatusGone)
		time.Sleep(time.Second)

		s.Restore(2 * time.Second)
		c.Assert(newest(c, s, ledgerTopic), qt.DeepEquals, map[string]string{"a": "a1@0"})
		gone := readFrom(s, ledgerTopic, 0, 0)
		c.Assert(gone.Code, qt.Equals, http.StatusGone)
		c.Assert(gone.Body.String(), qt.Equals, `{"first_offset":1}`)
		c.Assert(readFrom(s, ledgerTopic, 2, 0).Code, qt.Equals, http.StatusGone)
		c.Assert(values(c, readFrom(s, ledgerTopic, 1, 0)), qt.HasLen, 0)

		time.Sleep(time.Second)
		s.Restore(time.Hour)
		c.Assert(newest(c, s, ledgerTopic), qt.HasLen, 0)
		c.Assert(values(c, readFrom(s, ledgerTopic, 0, 0)), qt.HasLen, 0)
	})
}

// TestRestoreWakesReads guards against a read that waits beyond the end of the restored partition for its whole time.
func TestRestoreWakesReads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := New()
		appendRecord(s, ledgerTopic, "a", "a1", "")
		time.Sleep(3 * time.Second)
		appendRecord(s, ledgerTopic, "a", "a2", "")
		started := time.Now()
		answers := make(chan *httptest.ResponseRecorder, 2)
		go func() { answers <- readFrom(s, ledgerTopic, 2, 20_000) }()
		go func() { answers <- readFrom(s, "keyed.other", 0, 20_000) }()
		time.Sleep(time.Second)
		s.Restore(2 * time.Second)
		gone := <-answers
		c.Assert(time.Since(started), qt.Equals, time.Second)
		c.Assert(gone.Code, qt.Equals, http.StatusGone)
		c.Assert(gone.Header().Get(eraHeader), qt.Equals, "2")
		empty := <-answers
		c.Assert(time.Since(started), qt.Equals, 20*time.Second)
		c.Assert(empty.Code, qt.Equals, http.StatusOK)
		c.Assert(empty.Header().Get(eraHeader), qt.Equals, "2")
	})
}

// TestRewrites guards against lost records of the operator and the backend servers that never come back, come back in
// another order or replace a newer record of their key.
func TestRewrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := New()
		s.SetTimings(Timings{Rewrite: 700 * time.Millisecond})
		s.Append(operatorTopic, "config", []byte("v1"))
		time.Sleep(3 * time.Second)
		s.Append(operatorTopic, "config", []byte("v2"))
		s.Append(operatorTopic, "config", []byte("v3"))
		s.Append(serversTopic, "i-0", []byte("i-0 #1"))
		s.Append(serversTopic, "i-1", []byte("i-1 #1"))
		appendRecord(s, "keyed.status", "rollout", "running", "")
		s.DropHistory(operatorTopic, "0")

		s.Restore(time.Second)
		c.Assert(newest(c, s, operatorTopic), qt.DeepEquals, map[string]string{"config": "v1@0"})
		c.Assert(newest(c, s, serversTopic), qt.HasLen, 0)
		s.Append(serversTopic, "i-1", []byte("i-1 #2"))
		time.Sleep(699 * time.Millisecond)
		c.Assert(values(c, readFrom(s, operatorTopic, 1, 0)), qt.HasLen, 0)
		time.Sleep(time.Millisecond)
		synctest.Wait()
		c.Assert(values(c, readFrom(s, operatorTopic, 1, 0)), qt.DeepEquals, []string{"v2", "v3"})
		c.Assert(newest(c, s, serversTopic), qt.DeepEquals, map[string]string{"i-0": "i-0 #1@1", "i-1": "i-1 #2@0"})
		c.Assert(newest(c, s, "keyed.status"), qt.HasLen, 0)

		// What was written again may be lost again.
		s.Restore(500 * time.Millisecond)
		c.Assert(newest(c, s, operatorTopic), qt.DeepEquals, map[string]string{"config": "v1@0"})
		time.Sleep(701 * time.Millisecond)
		c.Assert(newest(c, s, operatorTopic), qt.DeepEquals, map[string]string{"config": "v3@2"})
	})
}

// TestRewritesOfOverlappingRestores guards against an older record that replaces a newer one because the newer one was
// lost first, by an earlier restore from a newer copy.
func TestRewritesOfOverlappingRestores(t *testing.T) {
	for _, rewrite := range []time.Duration{300 * time.Millisecond, time.Second} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			s := New()
			s.Append(operatorTopic, "config", []byte("v1"))
			time.Sleep(3 * time.Second)
			s.Append(operatorTopic, "config", []byte("v2"))
			time.Sleep(3 * time.Second)
			s.Append(operatorTopic, "config", []byte("v3"))
			s.SetTimings(Timings{Rewrite: 500 * time.Millisecond})
			s.Restore(time.Second)
			c.Assert(newest(c, s, operatorTopic), qt.DeepEquals, map[string]string{"config": "v2@1"})
			time.Sleep(100 * time.Millisecond)
			s.SetTimings(Timings{Rewrite: rewrite})
			s.Restore(4 * time.Second)
			c.Assert(newest(c, s, operatorTopic), qt.DeepEquals, map[string]string{"config": "v1@0"})
			time.Sleep(rewrite + time.Millisecond)
			c.Assert(values(c, readFrom(s, operatorTopic, 0, 0)), qt.DeepEquals, []string{"v1", "v2", "v3"})
			time.Sleep(time.Second)
			c.Assert(values(c, readFrom(s, operatorTopic, 0, 0)), qt.HasLen, 3)
		})
	}
}

// TestLateAppend guards against a late append that ignores its condition, and against one that can't land in the next
// era.
func TestLateAppend(t *testing.T) {
	for _, test := range []struct {
		name, at string
		restore  bool
		want     []string
	}{
		{"same era", "2", false, []string{"a1", "a2", "late"}},
		{"condition fails", "1", false, []string{"a1", "a2"}},
		{"next era", "1", true, []string{"a1", "late"}},
		{"condition fails in the next era", "2", true, []string{"a1"}},
		{"no condition", "", true, []string{"a1", "late"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				s := New()
				s.SetTimings(Timings{Late: 2 * time.Second})
				appendRecord(s, ledgerTopic, "a", "a1", "")
				time.Sleep(3 * time.Second)
				appendRecord(s, ledgerTopic, "a", "a2", "")
				setFault(s, Late)
				c.Assert(appendRecord(s, ledgerTopic, "a", "late", test.at), qt.IsNil)
				c.Assert(readFrom(s, ledgerTopic, 0, 0), qt.IsNil)
				setFault(s, NoFault)
				if test.restore {
					s.Restore(time.Second)
				}
				time.Sleep(1999 * time.Millisecond)
				c.Assert(values(c, readFrom(s, ledgerTopic, 0, 0)), qt.Not(qt.Contains), "late")
				time.Sleep(2 * time.Millisecond)
				c.Assert(values(c, readFrom(s, ledgerTopic, 0, 0)), qt.DeepEquals, test.want)
			})
		})
	}
}

// TestSilence guards against a silent store that doesn't carry out the call, or that answers as of the end of its
// silence.
func TestSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s := New()
		setFault(s, Silent)
		started := time.Now()
		answered := make(chan *httptest.ResponseRecorder)
		go func() { answered <- appendRecord(s, ledgerTopic, "a", "a1", "0") }()
		time.Sleep(500 * time.Millisecond)
		c.Assert(newest(c, s, ledgerTopic), qt.DeepEquals, map[string]string{"a": "a1@0"})
		s.Restore(time.Hour)
		recorder := <-answered
		c.Assert(recorder.Code, qt.Equals, http.StatusOK)
		c.Assert(recorder.Header().Get(eraHeader), qt.Equals, "1")
		c.Assert(time.Since(started) >= time.Second, qt.IsTrue)
	})
}

// TestReadEndsWithItsCaller guards against a read that waits on, or panics, after its caller has left.
func TestReadEndsWithItsCaller(t *testing.T) {
	c := qt.New(t)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	recorder := httptest.NewRecorder()
	New().ServeHTTP(recorder, httptest.NewRequestWithContext(ctx, http.MethodGet, readPath+"?topic=x&part=0&from=0&wait_ms=20000", nil))
	c.Assert(values(c, recorder), qt.HasLen, 0)
}

// TestNoAnswerEndsWithItsCaller guards against a call with a body that goes on after its caller has left.
func TestNoAnswerEndsWithItsCaller(t *testing.T) {
	c := qt.New(t)
	s := New()
	setFault(s, NoAnswer)
	ended := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer close(ended)
		s.ServeHTTP(w, r)
	}))
	defer server.Close()
	client := http.Client{Timeout: 50 * time.Millisecond}
	_, err := client.Post(server.URL+appendPath+"?topic=x&part=0", "", bytes.NewReader([]byte{0, 0, 0, 2, 1, 'a'}))
	c.Assert(err, qt.IsNotNil)
	select {
	case <-ended:
	case <-time.After(10 * time.Second):
		t.Fatal("call goes on")
	}
	c.Assert(s.partition(partitionID{"x", "0"}).end(), qt.Equals, uint64(0))
}
