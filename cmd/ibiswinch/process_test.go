package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	openai "github.com/openai/openai-go"
	"github.com/openai/openai-go/option"

	"ibiswinch/standin/engine"
	"ibiswinch/standin/service"
)

const answerTokens = 100

func completionBody(prompt string) string {
	return fmt.Sprintf(`{"model":"small","prompt":%q,"max_tokens":%d,"stream":true}`, prompt, answerTokens)
}

func expectedAnswer(prompt string) string {
	return engine.CompletionPrompt(prompt).Answer(0, answerTokens)
}

// costOf returns the tokens that are billed for one answer to the prompt.
func costOf(prompt string) uint64 {
	return uint64(engine.CompletionPrompt(prompt).Tokens() + answerTokens)
}

// TestKilledVMsRequestIsAnsweredAndBilledOnce guards against a request that stays unanswered, is answered wrongly or is
// billed twice when its entry VM is killed during the stream and the caller repeats it at another entry VM.
func TestKilledVMsRequestIsAnsweredAndBilledOnce(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c, fleetOptions{tokenDelay: 5 * time.Millisecond})
	ctx := context.Background()
	const prompt = "a long dossier tokens=1000"

	resp, err := f.post(ctx, f.vms[0], "/v1/completions", "request-1", completionBody(prompt))
	c.Assert(err, qt.IsNil)
	var once sync.Once
	text, complete := readStream(resp.Body, func() {
		once.Do(func() { _ = f.vms[0].cmd.Process.Kill() })
	})
	resp.Body.Close()
	c.Assert(complete, qt.IsFalse)
	c.Assert(strings.HasPrefix(expectedAnswer(prompt), text), qt.IsTrue, qt.Commentf("%q", text))

	for _, vm := range f.vms[1:] {
		resp, err := f.post(ctx, vm, "/v1/completions", "request-1", completionBody(prompt))
		c.Assert(err, qt.IsNil)
		text, complete := readStream(resp.Body, nil)
		resp.Body.Close()
		c.Assert(complete, qt.IsTrue)
		c.Assert(text, qt.Equals, expectedAnswer(prompt))
	}
	f.await("bill", func() bool { return f.billedTokens(f.vms[1]) > 0 })
	// When the bill line of a second request has arrived, a duplicate line of the first one would have too.
	resp, err = f.post(ctx, f.vms[2], "/v1/completions", "request-2", completionBody(prompt))
	c.Assert(err, qt.IsNil)
	_, _ = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	f.await("second bill", func() bool { return f.billedTokens(f.vms[1]) >= 2*costOf(prompt) })
	c.Assert(f.billedTokens(f.vms[1]), qt.Equals, 2*costOf(prompt))
}

// TestOrderRunsOnceAcrossVMs guards against an order that runs again when it is repeated at another entry VM while the
// first one is suspended.
func TestOrderRunsOnceAcrossVMs(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c, fleetOptions{})
	ctx := context.Background()
	const body = `{"castles":2}`
	var answers []string
	for i, vm := range []*vmProcess{f.vms[0], f.vms[1], f.vms[2], f.vms[1]} {
		resp, err := f.post(ctx, vm, "/services/shop/orders", "order-1", body)
		c.Assert(err, qt.IsNil)
		data, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		c.Assert(err, qt.IsNil)
		c.Assert(resp.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%s", data))
		answers = append(answers, string(data))
		if i == 0 {
			// The result must be in the log before the order is repeated, or the answer would be "unknown".
			f.await("result", func() bool { return f.hasOrderResult() })
			c.Assert(f.vms[0].cmd.Process.Signal(syscall.SIGSTOP), qt.IsNil)
		}
	}
	c.Assert(answers[1:], qt.DeepEquals, []string{answers[0], answers[0], answers[0]})
	c.Assert(f.vms[0].cmd.Process.Signal(syscall.SIGCONT), qt.IsNil)
	resp, err := f.post(ctx, f.vms[1], "/services/shop/orders", "order-1", `{"castles":3}`)
	c.Assert(err, qt.IsNil)
	resp.Body.Close()
	c.Assert(resp.StatusCode, qt.Equals, http.StatusUnprocessableEntity)
	c.Assert(resp.Header.Get("Ibiswinch-Execution"), qt.Equals, "not-run")
	var stats service.Stats
	c.Assert(f.getJSON("http://"+f.serviceAddress+"/control/stats", "", &stats), qt.IsNil)
	c.Assert(stats.RunsByKey, qt.DeepEquals, map[string]uint64{"order-1": 1})
}

// hasOrderResult reports whether the log has the result of an order.
func (f *fleet) hasOrderResult() bool {
	resp, err := http.Get("http://" + f.platformAddress + "/v1/streams/orders/records?from=0")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	return strings.Contains(string(data), `"kind":"result"`)
}

// TestPlannedStopFinishesStreams guards against a planned stop that interrupts a stream or loses its bill line.
func TestPlannedStopFinishesStreams(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c, fleetOptions{tokenDelay: 5 * time.Millisecond})
	const prompt = "assembly guide tokens=1000"
	resp, err := f.post(context.Background(), f.vms[0], "/v1/completions", "request-1", completionBody(prompt))
	c.Assert(err, qt.IsNil)
	var once sync.Once
	text, complete := readStream(resp.Body, func() {
		once.Do(func() { _ = f.vms[0].cmd.Process.Signal(syscall.SIGTERM) })
	})
	resp.Body.Close()
	c.Assert(complete, qt.IsTrue)
	c.Assert(text, qt.Equals, expectedAnswer(prompt))
	c.Assert(f.vms[0].cmd.Wait(), qt.IsNil)
	f.await("bill", func() bool { return f.billedTokens(f.vms[1]) > 0 })
	c.Assert(f.billedTokens(f.vms[1]), qt.Equals, costOf(prompt))
}

// TestOneOfTwoConcurrentPublicationsIsAccepted guards against an operator who isn't told that another operator has
// replaced the same version first.
func TestOneOfTwoConcurrentPublicationsIsAccepted(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c, fleetOptions{})
	var wg sync.WaitGroup
	outs, errs := make([]string, 2), make([]error, 2)
	for i := range 2 {
		wg.Go(func() { outs[i], errs[i] = f.publish(1) })
	}
	wg.Wait()
	c.Assert(errs[0] == nil, qt.Not(qt.Equals), errs[1] == nil, qt.Commentf("%q", outs))
	rejected := outs[0]
	if errs[0] == nil {
		rejected = outs[1]
	}
	c.Assert(rejected, qt.Contains, "version 2 by op is in force")
}

// TestClientLibrary guards against an answer that an unmodified client library can't read.
func TestClientLibrary(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c, fleetOptions{})
	client := openai.NewClient(option.WithBaseURL("http://"+f.vms[0].callerAddress+"/v1/"), option.WithAPIKey(teamKey))
	params := openai.ChatCompletionNewParams{
		Model:     "small",
		MaxTokens: openai.Int(answerTokens),
		Messages: []openai.ChatCompletionMessageParamUnion{
			openai.SystemMessage("tokens=1000"), openai.UserMessage("When is the casting?"),
		},
		StreamOptions: openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)},
	}
	answer := engine.ChatPrompt([]engine.Message{
		{Role: "system", Content: "tokens=1000"}, {Role: "user", Content: "When is the casting?"},
	}).Answer(0, answerTokens)

	stream := client.Chat.Completions.NewStreaming(context.Background(), params)
	var acc openai.ChatCompletionAccumulator
	for stream.Next() {
		acc.AddChunk(stream.Current())
	}
	c.Assert(stream.Err(), qt.IsNil)
	c.Assert(acc.Choices[0].Message.Content, qt.Equals, answer)
	c.Assert(acc.Usage.CompletionTokens, qt.Equals, int64(answerTokens))

	params.StreamOptions = openai.ChatCompletionStreamOptionsParam{}
	completion, err := client.Chat.Completions.New(context.Background(), params)
	c.Assert(err, qt.IsNil)
	c.Assert(completion.Choices[0].Message.Content, qt.Equals, answer)
	models, err := client.Models.List(context.Background())
	c.Assert(err, qt.IsNil)
	c.Assert(models.Data[0].ID, qt.Equals, "small")
	wrong := openai.NewClient(option.WithBaseURL("http://"+f.vms[0].callerAddress+"/v1/"), option.WithAPIKey("wrong"), option.WithMaxRetries(0))
	_, err = wrong.Models.List(context.Background())
	c.Assert(err, qt.ErrorMatches, ".*401.*")
}

// TestPlannedStopKeepsOrderResults guards against the result of an order that is lost when its entry VM stops right
// after the answer: a repeat would be told that the outcome is unknown.
func TestPlannedStopKeepsOrderResults(t *testing.T) {
	c := qt.New(t)
	f := startFleet(c, fleetOptions{})
	var answers []string
	for _, vm := range f.vms[:2] {
		resp, err := f.post(context.Background(), vm, "/services/shop/orders", "order-1", "{}")
		c.Assert(err, qt.IsNil)
		data, err := io.ReadAll(resp.Body)
		resp.Body.Close()
		c.Assert(err, qt.IsNil)
		c.Assert(resp.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%s", data))
		answers = append(answers, string(data))
		c.Assert(vm.cmd.Process.Signal(syscall.SIGTERM), qt.IsNil)
		c.Assert(vm.cmd.Wait(), qt.IsNil)
	}
	c.Assert(answers[0], qt.Equals, answers[1])
}
