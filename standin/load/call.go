package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/rotisserie/eris"

	"ibiswinch/standin/engine"
)

// call is one completion request.
type call struct {
	target netip.AddrPort
	key    string
	prompt string
}

type completionBody struct {
	Model         string        `json:"model"`
	Prompt        string        `json:"prompt"`
	MaxTokens     int           `json:"max_tokens"`
	Stream        bool          `json:"stream"`
	StreamOptions streamOptions `json:"stream_options"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type streamEvent struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
	Error *struct {
		Code string `json:"code"`
	} `json:"error"`
}

// errIncompleteAnswer means that a stream ended with an error event or without [DONE].
var errIncompleteAnswer = eris.New("stream ended early or with an error event")

// runCompletion sends one streamed completion and checks its text.
func (r *Runner) runCompletion(ctx context.Context, c call) {
	sentAt := time.Now()
	resp, err := r.postCompletion(ctx, c)
	r.updateResult(func(res *Result) { res.Sent++ })
	if err != nil || resp.StatusCode != http.StatusOK {
		r.recordFailure(resp, err)
		return
	}
	defer resp.Body.Close()
	text, err := r.readStream(resp.Body, func(n int) {
		if n == 0 {
			elapsed := time.Since(sentAt)
			r.updateResult(func(*Result) { r.firstTokenLatencies = append(r.firstTokenLatencies, elapsed) })
		}
	})
	want := engine.CompletionPrompt(c.prompt)
	r.updateResult(func(res *Result) {
		switch {
		case err != nil:
			res.Broken++
		case text != want.Answer(0, min(want.AnswerTokens(), r.cfg.MaxTokens)):
			res.Wrong++
		default:
			res.Answered++
		}
	})
}

// readSlowly opens a stream and reads up to 256 bytes of it per ReadInterval, until ctx is done.
func (r *Runner) readSlowly(ctx context.Context, c call) {
	resp, err := r.postCompletion(ctx, c)
	if err != nil || resp.StatusCode != http.StatusOK {
		r.recordFailure(resp, err)
		return
	}
	defer resp.Body.Close()
	r.updateResult(func(res *Result) { res.SlowStreamsOpened++ })
	buf := make([]byte, 256)
	for ctx.Err() == nil {
		if _, err := resp.Body.Read(buf); err != nil {
			return
		}
		select {
		case <-ctx.Done():
		case <-time.After(r.cfg.ReadInterval):
		}
	}
}

func (r *Runner) postCompletion(ctx context.Context, c call) (*http.Response, error) {
	body, err := json.Marshal(completionBody{
		Model: r.cfg.Model, Prompt: c.prompt, MaxTokens: r.cfg.MaxTokens, Stream: true,
		StreamOptions: streamOptions{IncludeUsage: true},
	})
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.target.String()+"/v1/completions", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+c.key)
	req.Header.Set("Content-Type", "application/json")
	return r.client.Do(req)
}

// readStream returns the text of a stream. It calls onToken with the index of each token.
func (r *Runner) readStream(body io.Reader, onToken func(n int)) (string, error) {
	var text []byte
	tokens := 0
	lines := bufio.NewReader(body)
	for {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			return "", eris.Wrap(errIncompleteAnswer, err.Error())
		}
		data, ok := bytes.CutPrefix(bytes.TrimSpace(line), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			r.updateResult(func(res *Result) { res.Tokens += tokens })
			return string(text), nil
		}
		var e streamEvent
		if err := json.Unmarshal(data, &e); err != nil || e.Error != nil {
			return "", errIncompleteAnswer
		}
		for _, choice := range e.Choices {
			if choice.Text != "" {
				onToken(tokens)
				tokens++
				text = append(text, choice.Text...)
			}
		}
	}
}

// sendOrder sends one order with a unique idempotency key.
func (r *Runner) sendOrder(ctx context.Context, target netip.AddrPort, key string, i int) {
	url := fmt.Sprintf("http://%s/services/%s/orders", target, r.cfg.Service)
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte(`{"order":true}`)))
	if err != nil {
		return
	}
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.Set("Idempotency-Key", fmt.Sprintf("order-%d-%d", r.cfg.Seed, i))
	resp, err := r.client.Do(req)
	if err != nil || resp.StatusCode != http.StatusOK {
		r.recordFailure(resp, err)
		return
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err == nil {
		r.updateResult(func(res *Result) { res.OrdersDone++ })
	}
}

func (r *Runner) recordFailure(resp *http.Response, err error) {
	if err != nil {
		r.updateResult(func(res *Result) { res.Broken++ })
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	name := fmt.Sprintf("%d %s", resp.StatusCode, resp.Header.Get("Ibiswinch-Execution"))
	r.updateResult(func(res *Result) { res.Refused[name]++ })
}

func (r *Runner) updateResult(update func(*Result)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	update(&r.result)
}
