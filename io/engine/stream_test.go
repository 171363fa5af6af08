package engine_test

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/rotisserie/eris"
	"pgregory.net/rapid"

	"ibiswinch/io/engine"
)

// TestMain fixes the seed of rapid, so that all runs give the same result. The flag -rapid.seed overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// startFixedServer runs a server that answers each request with the text at body, and returns a client of it.
func startFixedServer(t testing.TB, body *string) *engine.Client {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprint(w, *body)
	}))
	t.Cleanup(server.Close)
	return engine.NewClient(engine.Config{Address: server.Listener.Addr().(*net.TCPAddr).AddrPort()})
}

const (
	completeStream = ": comment\r\n\r\ndata: {\"choices\":[{\"delta\":{\"role\":\"assistant\",\"content\":null}}]}\r\n\r\n" +
		"data:{\"choices\":[{\"delta\":{\"content\":\"a\\u00e9\\n\"},\"finish_reason\":null}],\"usage\":null}\n\n" +
		"data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}],\"draining\":true}\n\n" +
		"data: {\"choices\":[],\"usage\":{\"prompt_tokens\":3,\"completion_tokens\":1}}\n\n" +
		"data: [DONE]\n\n"
	maxEvent = 300 << 10
)

// TestStreams guards against valid streams of other engines that are decoded wrongly, and against interrupted or
// invalid streams that look complete.
func TestStreams(t *testing.T) {
	c := qt.New(t)
	tests := []struct {
		name, body, text string
		want             error
	}{
		{"whole", completeStream, "aé\n", io.EOF},
		{"broken", completeStream[:strings.Index(completeStream, "data: [DONE]")], "aé\n", engine.ErrInterrupted},
		{"noReason", "data: {\"choices\":[{\"text\":\"a\"}]}\n\ndata: [DONE]\n\n", "a", engine.ErrInvalidResponse},
		{"error", "data: {\"choices\":[{\"text\":\"a\"}]}\n\ndata: {\"error\":{\"code\":\"x\"}}\n\n", "a", engine.ErrInterrupted},
		{"cancelled", "data: {\"choices\":[{\"text\":\"\",\"finish_reason\":\"cancelled\"}]}\n\n", "", engine.ErrCancelled},
		{"negative", "data: {\"usage\":{\"prompt_tokens\":-1}}\n\n", "", engine.ErrInvalidResponse},
		{"large", "data: {\"choices\":[{\"text\":\"" + strings.Repeat("a", maxEvent) + "\"}]}\n\n", "", engine.ErrInvalidResponse},
		{"long", "data: {\"choices\":[{\"text\":\"" + strings.Repeat("a", maxEvent/2) +
			"\",\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n", strings.Repeat("a", maxEvent/2), io.EOF},
	}
	var body string
	client := startFixedServer(t, &body)
	for _, test := range tests {
		body = test.body
		a, err := complete(client, newRequest("r", "p"))
		c.Assert(eris.Is(err, test.want), qt.IsTrue, qt.Commentf("%s: %v", test.name, err))
		c.Assert(a.text == test.text, qt.IsTrue, qt.Commentf("%s: %q", test.name, a.text))
	}
}

// TestDamagedStreams guards against a panic on corrupted bytes, and against an error that isn't one of the documented
// ones.
func TestDamagedStreams(t *testing.T) {
	var body string
	client := startFixedServer(t, &body)
	rapid.Check(t, func(t *rapid.T) {
		damaged := []byte(completeStream)
		for range rapid.IntRange(1, 6).Draw(t, "damages") {
			i := rapid.IntRange(0, len(damaged)-1).Draw(t, "at")
			damaged[i] = rapid.SampledFrom([]byte("{}[]\":,\\\n0a\x00\xff")).Draw(t, "byte")
		}
		body = string(damaged)
		_, err := complete(client, newRequest("r", "p"))
		for _, known := range []error{io.EOF, engine.ErrInterrupted, engine.ErrInvalidResponse, engine.ErrCancelled} {
			if errors.Is(err, known) || eris.Is(err, known) {
				return
			}
		}
		t.Fatalf("error %v", err)
	})
}
