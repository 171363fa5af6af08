package demo

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"ibiswinch/standin/engine"
)

// outcome is the result of one attempt as its caller sees it.
type outcome string

const (
	outcomeAnswered outcome = "answered"
	outcomeNotRun   outcome = "not-run"
	outcomeUnknown  outcome = "unknown"
	outcomeRan      outcome = "ran"
	// outcomeUnsent: the attempt reached no entry VM, since the connection could not be opened.
	outcomeUnsent outcome = "unsent"
	// outcomeBroken: the attempt ended without a complete answer and without a statement whether the request ran.
	outcomeBroken outcome = "broken"
)

// codeBudgetExhausted is the error code of an exhausted budget, codeBudgetUnavailable that of a budget whose tokens the
// entry VM can't get at present.
const (
	codeBudgetExhausted   = "insufficient_quota"
	codeBudgetUnavailable = "budget_unavailable"
)

// tokenUsage is the usage field of an answer, in tokens.
type tokenUsage struct {
	Prompt     uint64 `json:"prompt_tokens"`
	Completion uint64 `json:"completion_tokens"`
}

func (u tokenUsage) total() uint64 { return u.Prompt + u.Completion }

// attempt is one request to one entry VM and what came back.
type attempt struct {
	process *vmProcess
	outcome outcome
	// status is the HTTP status, 0 without an answer. code is the error code of a refusal or an error event.
	status int
	code   string
	// text is the part of the text that arrived.
	text  string
	usage tokenUsage
	body  []byte
	// cause is the error that ended the attempt. cancelledByCaller is set if the caller had cancelled it.
	cause             string
	cancelledByCaller bool
}

// attemptTimeout ends an attempt that gets no answer. It is above the latest time at which an order is answered.
const attemptTimeout = 20 * time.Second

func newCallerClient() *http.Client {
	return &http.Client{Timeout: attemptTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
}

// send makes one attempt.
func (r *request) send(ctx context.Context, client *http.Client, v *vmProcess) attempt {
	a := attempt{process: v, outcome: outcomeBroken}
	req, err := http.NewRequestWithContext(ctx, r.method, v.callerURL+r.path, bytes.NewReader(r.body))
	if err != nil {
		a.cause = err.Error()
		return a
	}
	// Without GetBody the client can't repeat the request by itself, which would hide an attempt that broke off.
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+r.team.apiKey())
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Idempotency-Key", r.key)
	resp, err := client.Do(req)
	if err != nil {
		var dial *net.OpError
		if errors.As(err, &dial) && dial.Op == "dial" {
			a.outcome = outcomeUnsent
		}
		a.cause = err.Error()
		return a
	}
	defer resp.Body.Close()
	a.status = resp.StatusCode
	if execution := resp.Header.Get("Ibiswinch-Execution"); execution != "" {
		a.outcome = outcome(execution)
		a.code = errorCode(resp.Body)
		return a
	}
	if resp.StatusCode != http.StatusOK {
		a.cause = "status without Ibiswinch-Execution"
		return a
	}
	a.readAnswer(r, resp.Body)
	return a
}

func errorCode(body io.Reader) string {
	var envelope struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	if json.NewDecoder(body).Decode(&envelope) != nil {
		return ""
	}
	return envelope.Error.Code
}

func (a *attempt) readAnswer(r *request, body io.Reader) {
	var err error
	switch {
	case r.stream:
		a.process.openStreams.Add(1)
		err = a.readStream(body)
		a.process.openStreams.Add(-1)
	case r.isCompletion():
		err = a.readCompletion(body)
	default:
		a.body, err = io.ReadAll(body)
	}
	if err != nil {
		a.cause = err.Error()
		return
	}
	a.outcome = outcomeAnswered
}

// chunk is one event of a stream, or a complete answer that isn't streamed.
type chunk struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
	} `json:"choices"`
	Usage *tokenUsage `json:"usage"`
	Error *struct {
		Code string `json:"code"`
	} `json:"error"`
}

func (a *attempt) addChunk(c chunk) error {
	if c.Error != nil {
		a.code = c.Error.Code
		return errors.New("error event " + c.Error.Code)
	}
	for _, choice := range c.Choices {
		a.text += choice.Text + choice.Delta.Content + choice.Message.Content
	}
	if c.Usage != nil {
		a.usage = *c.Usage
	}
	return nil
}

func (a *attempt) readCompletion(body io.Reader) error {
	var c chunk
	if err := json.NewDecoder(body).Decode(&c); err != nil {
		return err
	}
	return a.addChunk(c)
}

// readStream reads server-sent events up to [DONE]. A stream that ends without it is an error.
func (a *attempt) readStream(body io.Reader) error {
	lines := bufio.NewScanner(body)
	for lines.Scan() {
		data, found := strings.CutPrefix(lines.Text(), "data: ")
		if !found {
			continue
		}
		if data == "[DONE]" {
			return nil
		}
		var c chunk
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			return err
		}
		if err := a.addChunk(c); err != nil {
			return err
		}
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return io.ErrUnexpectedEOF
}

// isWrong reports whether the text of a completion, whole or broken off, differs from the one that the stand-in engine
// generates for the prompt, or whether the answer of a service doesn't echo the request.
func (a attempt) isWrong(r *request) bool {
	if !r.isCompletion() {
		return a.outcome == outcomeAnswered && !r.matchesEcho(a.body)
	}
	length := min(r.prompt.AnswerTokens(), r.maxTokens)
	expected := r.prompt.Answer(0, length)
	if a.outcome == outcomeAnswered {
		return a.text != expected || a.usage != tokenUsage{Prompt: uint64(r.prompt.Tokens()), Completion: uint64(length)}
	}
	return !strings.HasPrefix(expected, a.text)
}

// matchesEcho reports whether the answer of a service, which echoes its request, is the one to this request.
func (r *request) matchesEcho(body []byte) bool {
	var echo struct {
		Method string `json:"method"`
		Path   string `json:"path"`
		Key    string `json:"key"`
		Body   string `json:"body"`
	}
	if json.Unmarshal(body, &echo) != nil {
		return false
	}
	return echo.Method == r.method && "/services/"+serviceName+echo.Path == r.path && echo.Key == r.key && echo.Body == string(r.body)
}

// chatPrompt returns the prompt of a chat with one user message, as the stand-in engine sees it.
func chatPrompt(content string) engine.Prompt {
	return engine.ChatPrompt([]engine.Message{{Role: "user", Content: engine.Content(content)}})
}
