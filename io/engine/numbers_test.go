package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// malformedNumbers are numbers that no engine means.
var malformedNumbers = []string{"1e400", "1e30", "-1", "9223372036854775807", "9223372036854775808", "0.5", `"6"`, "[]", strings.Repeat("[", 1_000_000)}

// TestMalformedLoadReport guards against a server that looks idle as its tokens overflow, and against a panic.
func TestMalformedLoadReport(t *testing.T) {
	c := qt.New(t)
	var answer string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, answer) }))
	defer server.Close()
	client := NewClient(Config{Address: server.Listener.Addr().(*net.TCPAddr).AddrPort()})
	for _, field := range []string{"heldTokens", "waitingTokens", "capacityTokens", "running", "waiting"} {
		for _, n := range malformedNumbers {
			answer = fmt.Sprintf(`{"time":"2026-01-01T00:00:00Z","%s":%s}`, field, n)
			_, err := client.LoadReport(context.Background())
			c.Check(err, qt.IsNotNil, qt.Commentf("%.80s", answer))
		}
	}
}

// TestMalformedUsage guards against a stream for which a team is billed more tokens than an engine can make.
func TestMalformedUsage(t *testing.T) {
	c := qt.New(t)
	for _, field := range []string{"prompt_tokens", "completion_tokens"} {
		for _, n := range malformedNumbers {
			_, err := (&Stream{}).parse([]byte(fmt.Sprintf(`{"usage":{"%s":%s}}`, field, n)))
			c.Check(err, qt.ErrorIs, ErrInvalidResponse, qt.Commentf("%s %.80s", field, n))
		}
	}
}

// FuzzEvent guards against events of an engine that panic, and against usage out of range.
func FuzzEvent(f *testing.F) {
	f.Add([]byte(`{"choices":[{"text":"a","finish_reason":"stop"}],"usage":{"prompt_tokens":3,"completion_tokens":4}}`))
	f.Add([]byte(`{"choices":[{"delta":{"content":"\ud800"}}],"draining":true}`))
	for _, n := range malformedNumbers {
		f.Add([]byte(`{"usage":{"prompt_tokens":` + n[:min(len(n), 1000)] + `}}`))
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		chunk, err := (&Stream{}).parse(data)
		if err == nil && (min(chunk.Usage.PromptTokens, chunk.Usage.CompletionTokens) < 0 ||
			max(chunk.Usage.PromptTokens, chunk.Usage.CompletionTokens) > maxTokens) {
			t.Fatalf("accepted %+v", chunk.Usage)
		}
	})
}

// FuzzReports guards against reports of an engine that panic, and against sums of accepted ones that overflow.
func FuzzReports(f *testing.F) {
	f.Add([]byte(`{"time":"2026-01-01T00:00:00Z","heldTokens":1,"waitingTokens":2}`))
	f.Add([]byte(`{"next":2,"events":[{"sequence":1,"type":"stored","block":"ff"}]}`))
	f.Add([]byte(`{"versions":[{"model":"m","version":"1","state":"loaded"}]}`))
	f.Add([]byte(`{"heldTokens":9223372036854775807,"waitingTokens":9223372036854775807}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var load LoadReport
		if json.Unmarshal(data, &load) == nil && load.Validate() == nil && load.HeldTokens+load.WaitingTokens < 0 {
			t.Fatalf("accepted %+v", load)
		}
		var page CacheEventPage
		var state State
		_, _ = json.Unmarshal(data, &page), json.Unmarshal(data, &state)
		_, _ = page.Validate(), state.Validate()
	})
}

// TestMalformedCacheEventHidesOthers guards against cache events that are never followed again because of an malformed one among them.
func TestMalformedCacheEventHidesOthers(t *testing.T) {
	c := qt.New(t)
	var answer string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, answer) }))
	defer server.Close()
	client := NewClient(Config{Address: server.Listener.Addr().(*net.TCPAddr).AddrPort()})
	const sound = `{"sequence":3,"type":"stored","block":"ff"}`
	for _, malformed := range []string{
		`null`, `7`, `{}`, `[]`, `{"sequence":2,"type":"malformed","block":"ff"}`, `{"sequence":2,"type":"stored","block":"zz"}`,
		`{"sequence":-1,"type":"stored","block":"ff"}`, `{"sequence":1e400,"type":"stored","block":"ff"}`,
		`{"sequence":9,"type":"stored","block":"ff"}`, `{"sequence":2,"type":"stored","block":7}`,
	} {
		answer = `{"incarnation":1,"next":5,"events":[` + malformed + `,` + sound + `,` + malformed + `]}`
		page, err := client.CacheEvents(context.Background(), 0, 0)
		c.Assert(err, qt.IsNil, qt.Commentf("%s", malformed))
		c.Assert(page.Next, qt.Equals, uint64(5))
		c.Check(page.Events, qt.DeepEquals, []CacheEvent{{Sequence: 3, Type: CacheEventStored, Block: 0xff}}, qt.Commentf("%s", malformed))
	}
	for _, answer = range []string{"null", "{}", "[]", `{"next":5}`, `{"events":[]}`, `{"next":-1,"events":[]}`, `{"next":5,"events":7}`} {
		_, err := client.CacheEvents(context.Background(), 0, 0)
		c.Check(err, qt.IsNotNil, qt.Commentf("%s", answer))
	}
}
