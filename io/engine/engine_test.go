package engine_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/rotisserie/eris"
	"pgregory.net/rapid"

	"ibiswinch/io/engine"
	standin "ibiswinch/standin/engine"
)

var ctx = context.Background()

// startStandin runs a stand-in with version v1 of model m on loopback and returns it with a client.
func startStandin(c testing.TB, cfg standin.Config) (*standin.Server, *engine.Client) {
	return startWithReceiveBuffer(c, cfg, 0)
}

// startWithReceiveBuffer is startStandin with the size of the client's receive buffers.
func startWithReceiveBuffer(c testing.TB, cfg standin.Config, receiveBuffer int) (*standin.Server, *engine.Client) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.Fatal(err)
	}
	cfg.Versions = append(cfg.Versions, standin.ModelVersion{Model: "m", Version: "v1"})
	server := standin.New(cfg)
	server.Start(l)
	c.Cleanup(server.Close)
	client := engine.NewClient(engine.Config{Address: l.Addr().(*net.TCPAddr).AddrPort(), ReceiveBuffer: receiveBuffer})
	c.Cleanup(client.Close)
	return server, client
}

func newRequest(id, prompt string) engine.Request {
	return engine.Request{Model: "m", Version: "v1", Prompt: prompt, MaxTokens: 1 << 20, RequestID: id}
}

// readResult is the part of a stream that was read.
type readResult struct {
	text   string
	finish engine.FinishReason
	usage  engine.Usage
	chunks int
}

// readChunks reads at most limit chunks; the error is io.EOF after a complete answer and nil at the limit.
func readChunks(stream *engine.Stream, limit int) (readResult, error) {
	var a readResult
	for a.chunks < limit {
		chunk, err := stream.Next()
		if err != nil {
			return a, err
		}
		a.chunks++
		a.text += string(chunk.Text)
		if chunk.FinishReason != engine.FinishNone {
			a.finish = chunk.FinishReason
		}
		if chunk.HasUsage {
			a.usage = chunk.Usage
		}
	}
	return a, nil
}

// complete sends a request and reads its complete answer.
func complete(client *engine.Client, r engine.Request) (readResult, error) {
	stream, err := client.Complete(ctx, r)
	if err != nil {
		return readResult{}, err
	}
	defer stream.Close()
	return readChunks(stream, 1<<30)
}

// waitUntil waits, without a time limit, until a condition of the stand-in holds.
func waitUntil(condition func() bool) {
	for !condition() {
		runtime.Gosched()
	}
}

// TestAnswerIsFunctionOfPrompt guards against answers, resumed answers and usage of the stand-in that differ from those
// that other tests compute from the prompt alone.
func TestAnswerIsFunctionOfPrompt(t *testing.T) {
	_, client := startStandin(t, standin.Config{})
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.String().Draw(t, "text")
		r := newRequest("r", text)
		prompt := standin.CompletionPrompt(text)
		if rapid.Bool().Draw(t, "chat") {
			r.Messages = []engine.Message{{Role: "system", Content: text}, {Role: "user", Content: "go"}}
			prompt = standin.ChatPrompt([]standin.Message{
				{Role: "system", Content: standin.Content(text)}, {Role: "user", Content: "go"},
			})
		}
		from := rapid.IntRange(0, prompt.AnswerTokens()).Draw(t, "from")
		r.MaxTokens = rapid.IntRange(1, 80).Draw(t, "max")
		r.Prefix = prompt.Answer(0, from)
		to := min(prompt.AnswerTokens(), from+r.MaxTokens)
		a, err := complete(client, r)
		if err != io.EOF {
			t.Fatalf("error %v", err)
		}
		if a.text != prompt.Answer(from, to) {
			t.Fatalf("got %q, want %q", a.text, prompt.Answer(from, to))
		}
		if (a.finish == engine.FinishStop) != (to == prompt.AnswerTokens()) {
			t.Fatalf("finish reason %q", a.finish)
		}
		if a.usage.CompletionTokens != to-from || a.usage.PromptTokens != prompt.Tokens() {
			t.Fatalf("usage %+v", a.usage)
		}
		if bound := len(text) + len("go") + 8*len(r.Messages); prompt.Tokens() > bound {
			t.Fatalf("%d prompt tokens are above %d", prompt.Tokens(), bound)
		}
	})
}

// TestNonStreamingAnswer guards against an answer in one JSON body that differs from the streamed one.
func TestNonStreamingAnswer(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	server := standin.New(standin.Config{Versions: []standin.ModelVersion{{Model: "m", Version: "v1"}}})
	server.Start(l)
	c.Cleanup(server.Close)
	body := `{"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"hi"}]}],"max_tokens":5}`
	resp, err := http.Post("http://"+l.Addr().String()+"/v1/chat/completions", "application/json", strings.NewReader(body))
	c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	var got struct {
		Choices []struct{ Message struct{ Content string } }
		Usage   map[string]any
	}
	c.Assert(json.NewDecoder(resp.Body).Decode(&got), qt.IsNil)
	prompt := standin.ChatPrompt([]standin.Message{{Role: "user", Content: "hi"}})
	c.Assert(got.Choices[0].Message.Content, qt.Equals, prompt.Answer(0, 5))
	c.Assert(got.Usage["completion_tokens"], qt.Equals, 5.0)
}

// TestRefusals guards against an error that says that a request did not run although it may have, and the reverse.
func TestRefusals(t *testing.T) {
	c := qt.New(t)
	server, client := startStandin(c, standin.Config{})
	tests := []struct {
		name   string
		change func(*engine.Request)
		fault  standin.Faults
		status int
		notRun bool
	}{
		{"version", func(r *engine.Request) { r.Version = "v9" }, standin.Faults{}, 404, true},
		{"prefix", func(r *engine.Request) { r.Prefix = "other" }, standin.Faults{}, 400, true},
		{"maxTokens", func(r *engine.Request) { r.MaxTokens = 0 }, standin.Faults{}, 400, true},
		{"fault", func(*engine.Request) {}, standin.Faults{Rules: []standin.Rule{{Action: standin.ActionFail}}}, 500, false},
	}
	for _, test := range tests {
		c.Assert(server.SetFaults(test.fault), qt.IsNil)
		r := newRequest(test.name, "p")
		test.change(&r)
		_, err := complete(client, r)
		var refused *engine.RefusedError
		c.Assert(errors.As(err, &refused), qt.IsTrue, qt.Commentf("%s: %v", test.name, err))
		c.Assert(refused.Status, qt.Equals, test.status)
		c.Assert(refused.NotRun(), qt.Equals, test.notRun)
		c.Assert(len(server.Runs(test.name).Runs) == 0, qt.Equals, test.notRun)
	}
	server.Close()
	// A request on an idle connection that the engine has just closed may have run; a new connection is refused.
	client.Close()
	_, err := complete(client, newRequest("down", "p"))
	c.Assert(eris.Is(err, engine.ErrNotRun), qt.IsTrue, qt.Commentf("%v", err))
}

// TestCrashAndRestart guards against a crash of the stand-in that leaves streams open, loses counts or keeps load, and
// against an interrupted stream whose text so far isn't a prefix of the answer.
func TestCrashAndRestart(t *testing.T) {
	c := qt.New(t)
	server, client := startStandin(c, standin.Config{CapacityTokens: 40, CrashMarker: "poison"})
	prompt := standin.CompletionPrompt("tokens=100")
	a, err := complete(client, newRequest("big", "tokens=100"))
	c.Assert(eris.Is(err, engine.ErrInterrupted), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(strings.HasPrefix(prompt.Answer(0, 100), a.text), qt.IsTrue)
	waitUntil(func() bool { return !server.IsUp() })
	_, err = complete(client, newRequest("refused", "p"))
	c.Assert(eris.Is(err, engine.ErrNotRun), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(server.Restart(), qt.IsNil)
	_, err = complete(client, newRequest("poison", "poison"))
	c.Assert(eris.Is(err, engine.ErrInterrupted), qt.IsTrue, qt.Commentf("%v", err))
	waitUntil(func() bool { return !server.IsUp() })
	c.Assert(server.Restart(), qt.IsNil)
	_, err = complete(client, newRequest("small", "tokens=3"))
	c.Assert(err, qt.Equals, io.EOF)
	totals := server.Runs("").Totals
	c.Assert([]uint64{totals.Crashes, totals.Crashed, totals.Finished, totals.Started}, qt.DeepEquals, []uint64{2, 2, 1, 3})
	load, err := client.LoadReport(ctx)
	c.Assert(err, qt.IsNil)
	c.Assert([]int64{load.HeldTokens, int64(load.Running), int64(load.Incarnation)}, qt.DeepEquals, []int64{0, 0, 3})
}

// TestCancelAndBackpressure guards against a stream that isn't read but is buffered in memory without limit, and
// against a cancellation that doesn't reach a blocked stream.
func TestCancelAndBackpressure(t *testing.T) {
	c := qt.New(t)
	server, client := startWithReceiveBuffer(c, standin.Config{}, 64<<10)
	const length = 1 << 20
	stream, err := client.Complete(ctx, newRequest("slow", "tokens=1048576"))
	c.Assert(err, qt.IsNil)
	defer stream.Close()
	a, err := readChunks(stream, 10)
	c.Assert(err, qt.IsNil)
	c.Assert(a.text, qt.Equals, standin.CompletionPrompt("tokens=1048576").Answer(0, 10))
	n, err := client.Cancel(ctx, "slow")
	c.Assert(err, qt.IsNil)
	c.Assert(n, qt.Equals, 1)
	waitUntil(func() bool { return server.Runs("slow").Runs[0].Cancelled == 1 })
	// The buffers of both sockets hold far less than the whole answer of about 100 MB.
	c.Assert(server.Runs("slow").Runs[0].Tokens < length/4, qt.IsTrue)
}

// TestCancelEndsStream guards against a cancelled stream that looks like a complete answer.
func TestCancelEndsStream(t *testing.T) {
	c := qt.New(t)
	server, client := startStandin(c, standin.Config{})
	c.Assert(server.SetFaults(standin.Faults{Rules: []standin.Rule{{Action: standin.ActionFreeze, AfterTokens: 3}}}), qt.IsNil)
	stream, err := client.Complete(ctx, newRequest("frozen", "p"))
	c.Assert(err, qt.IsNil)
	_, err = readChunks(stream, 3)
	c.Assert(err, qt.IsNil)
	c.Assert(server.Cancel("frozen"), qt.Equals, 1)
	_, err = stream.Next()
	c.Assert(eris.Is(err, engine.ErrCancelled), qt.IsTrue, qt.Commentf("%v", err))
}

// TestQueue guards against a stand-in that runs more requests at once than MaxRunning, ignores priorities or queues
// more requests than MaxWaiting.
func TestQueue(t *testing.T) {
	c := qt.New(t)
	server, client := startStandin(c, standin.Config{MaxRunning: 1, MaxWaiting: 2})
	c.Assert(server.SetFaults(standin.Faults{Rules: []standin.Rule{{Action: standin.ActionFreeze}}}), qt.IsNil)
	ended := make(chan string, 3)
	send := func(id string, priority int) {
		r := newRequest(id, "tokens=1")
		r.Priority = priority
		_, err := complete(client, r)
		c.Check(err, qt.Equals, io.EOF)
		ended <- id
	}
	for i, id := range []string{"first", "low", "high"} {
		go send(id, 10-i)
		waitUntil(func() bool { load := server.LoadReport(); return load.Running+load.Waiting == i+1 })
	}
	var refused *engine.RefusedError
	_, err := complete(client, newRequest("over", "p"))
	c.Assert(errors.As(err, &refused) && refused.NotRun(), qt.IsTrue, qt.Commentf("%v", err))
	starts := func(id string) int { return len(server.Runs(id).Runs) }
	c.Assert([]int{starts("first"), starts("low"), starts("high")}, qt.DeepEquals, []int{1, 0, 0})
	// The next request that starts freezes too, since the fault is set again.
	c.Assert(server.SetFaults(standin.Faults{Rules: []standin.Rule{{Action: standin.ActionFreeze}}}), qt.IsNil)
	c.Assert(<-ended, qt.Equals, "first")
	waitUntil(func() bool { return starts("high")+starts("low") > 0 })
	c.Assert([]int{starts("high"), starts("low")}, qt.DeepEquals, []int{1, 0})
	c.Assert(server.SetFaults(standin.Faults{}), qt.IsNil)
	<-ended
	<-ended
}

// TestShareOfFaults guards against a fault rule with a share that affects other versions or another number of requests.
func TestShareOfFaults(t *testing.T) {
	c := qt.New(t)
	server, client := startStandin(c, standin.Config{Versions: []standin.ModelVersion{{Model: "m", Version: "v2"}}})
	rule := standin.Rule{Action: standin.ActionCut, Version: "v2", Share: 0.25, SkipFirst: 4, AfterTokens: 2}
	c.Assert(server.SetFaults(standin.Faults{Rules: []standin.Rule{rule}}), qt.IsNil)
	for range 12 {
		for _, version := range []string{"v1", "v2"} {
			r := newRequest(version, "p")
			r.Version = version
			_, _ = complete(client, r)
		}
	}
	c.Assert(server.Runs("v1").Runs[0].Failed, qt.Equals, uint64(0))
	c.Assert(server.Runs("v2").Runs[0].Failed, qt.Equals, uint64(2))
}

// TestOrders guards against an order with a stale fencing number that takes effect, and against a version that is used
// while it loads.
func TestOrders(t *testing.T) {
	c := qt.New(t)
	for _, ignore := range []bool{false, true} {
		server, client := startStandin(c, standin.Config{LoadDelay: time.Hour, IgnoreFence: ignore})
		v2 := engine.ModelVersion{Model: "m", Version: "v2"}
		state, err := client.Order(ctx, engine.Order{Fence: 7, Action: engine.OrderLoadVersion, ModelVersion: v2})
		c.Assert(err, qt.IsNil)
		c.Assert(state.Versions, qt.HasLen, 2)
		c.Assert(state.Versions[1], qt.Equals, engine.VersionState{ModelVersion: v2, State: engine.LoadStateLoading})
		r := newRequest("loading", "p")
		r.Version = "v2"
		var refused *engine.RefusedError
		_, err = complete(client, r)
		c.Assert(errors.As(err, &refused) && refused.NotRun() && refused.Code == "loading", qt.IsTrue)
		_, err = client.Order(ctx, engine.Order{Fence: 6, Action: engine.OrderUnloadVersion, ModelVersion: v2})
		c.Assert(errors.Is(err, engine.ErrStaleFence), qt.Equals, !ignore, qt.Commentf("%v", err))
		state, err = client.State(ctx)
		c.Assert(err, qt.IsNil)
		c.Assert(len(state.Versions) == 1, qt.Equals, ignore)
		server.SetDraining(true)
		stream, err := client.Complete(ctx, newRequest("draining", "p"))
		c.Assert(err, qt.IsNil)
		c.Assert(stream.Draining(), qt.IsTrue)
		c.Assert(stream.Version(), qt.Equals, "v1")
		stream.Close()
	}
}

// TestCacheEvents guards against block IDs that differ between client and engine, and against lost events that leave no
// gap in the sequence numbers.
func TestCacheEvents(t *testing.T) {
	c := qt.New(t)
	_, client := startStandin(c, standin.Config{CacheBlocks: 3, EventDropInterval: 4})
	r := newRequest("r", strings.Repeat("x", 3*engine.BlockBytes+1))
	chat := r
	chat.Prompt, chat.Messages = "", []engine.Message{{Role: "user", Content: r.Prompt}}
	for _, r := range []engine.Request{r, r, chat} {
		_, err := complete(client, r)
		c.Assert(err, qt.Equals, io.EOF)
	}
	page, err := client.CacheEvents(ctx, 0, 0)
	c.Assert(err, qt.IsNil)
	want := append(r.BlockIDs(), chat.BlockIDs()...)
	var stored []engine.BlockID
	var sequences []uint64
	for _, e := range page.Events {
		sequences = append(sequences, e.Sequence)
		if e.Type == engine.CacheEventStored {
			stored = append(stored, e.Block)
		}
	}
	c.Assert(stored, qt.DeepEquals, want)
	c.Assert(sequences, qt.DeepEquals, []uint64{0, 1, 2, 4, 5, 6, 8})
	late, err := client.CacheEvents(ctx, page.Next, time.Millisecond)
	c.Assert(err, qt.IsNil)
	c.Assert(late.Events, qt.HasLen, 0)
}

// BenchmarkStream measures the cost of one chunk through the stand-in and the client, by size of the receive buffer.
func BenchmarkStream(b *testing.B) {
	for _, buffer := range []int{0, 32 << 10, 128 << 10, 256 << 10} {
		b.Run(fmt.Sprint(buffer), func(b *testing.B) { benchmarkStream(b, buffer) })
	}
}

func benchmarkStream(b *testing.B, receiveBuffer int) {
	_, client := startWithReceiveBuffer(b, standin.Config{}, receiveBuffer)
	b.ReportAllocs()
	for read := 0; read < b.N; {
		stream, err := client.Complete(ctx, newRequest("r", fmt.Sprintf("tokens=%d", min(b.N-read, 100_000))))
		if err != nil {
			b.Fatal(err)
		}
		for {
			if _, err := stream.Next(); err != nil {
				break
			}
			read++
		}
		stream.Close()
	}
}
