package openai

import (
	"encoding/json"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/kataras/iris/v12"
	"github.com/rotisserie/eris"

	"ibiswinch/core/refusal"
)

// ErrCallerGone means that writing to the caller's connection failed.
var ErrCallerGone = eris.New("caller gone")

// completionWriter implements Output for one completion. It writes server-sent events or one JSON body.
type completionWriter struct {
	ctx     iris.Context
	control *http.ResponseController
	c       *Completion
	cfg     Config
	id      string
	created int64
	// started is true once the status was sent: an error can then only be sent as an event.
	started bool
	// eventPrefix and eventSuffix enclose the text in each event.
	eventPrefix, eventSuffix string
	buf                      []byte
	text                     strings.Builder
}

func newCompletionWriter(ctx iris.Context, c *Completion, cfg Config) *completionWriter {
	prefix := "chatcmpl-"
	if c.Route == Text {
		prefix = "cmpl-"
	}
	a := &completionWriter{
		ctx:     ctx,
		control: http.NewResponseController(ctx.ResponseWriter().Naive()),
		c:       c,
		cfg:     cfg,
		id:      prefix + uuid.NewString(),
		created: cfg.Now().Unix(),
	}
	a.setEventFrame()
	return a
}

// setEventFrame sets eventPrefix and eventSuffix, so that a token costs one JSON escape and one write.
func (a *completionWriter) setEventFrame() {
	id, model := quoteJSON(a.id), quoteJSON(a.c.Model)
	created, _ := json.Marshal(a.created)
	common := `,"created":` + string(created) + `,"model":` + model + `,"choices":[{"index":0,`
	if a.c.Route == Chat {
		a.eventPrefix = `data: {"id":` + id + `,"object":"chat.completion.chunk"` + common + `"delta":{"content":`
		a.eventSuffix = `},"finish_reason":null}]}` + "\n\n"
		return
	}
	a.eventPrefix = `data: {"id":` + id + `,"object":"text_completion"` + common + `"text":`
	a.eventSuffix = `,"finish_reason":null}]}` + "\n\n"
}

func quoteJSON(s string) string {
	data, _ := json.Marshal(s)
	return string(data)
}

// Text implements Output.
func (a *completionWriter) Text(piece []byte) error {
	if !a.c.Stream {
		a.text.Write(piece)
		return nil
	}
	if err := a.startStream(); err != nil {
		return err
	}
	a.buf = append(a.buf[:0], a.eventPrefix...)
	a.buf = appendJSONString(a.buf, piece)
	a.buf = append(a.buf, a.eventSuffix...)
	return a.writeAndFlush(a.buf)
}

func (a *completionWriter) startStream() error {
	if a.started {
		return nil
	}
	a.started = true
	a.ctx.Header("Content-Type", "text/event-stream")
	a.ctx.Header("Cache-Control", "no-store")
	a.ctx.StatusCode(http.StatusOK)
	if a.c.Route != Chat {
		return nil
	}
	first := chunk{ID: a.id, Object: "chat.completion.chunk", Created: a.created, Model: a.c.Model,
		Choices: []choice{{Delta: &delta{Role: "assistant"}}}}
	return a.writeEvent(first)
}

func (a *completionWriter) writeEvent(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return eris.Wrap(err, "encode event")
	}
	a.buf = append(append(append(a.buf[:0], "data: "...), data...), "\n\n"...)
	return a.writeAndFlush(a.buf)
}

func (a *completionWriter) writeAndFlush(data []byte) error {
	_ = a.control.SetWriteDeadline(a.cfg.Now().Add(a.cfg.StallTimeout))
	if _, err := a.ctx.ResponseWriter().Write(data); err != nil {
		return eris.Wrap(ErrCallerGone, err.Error())
	}
	if err := a.control.Flush(); err != nil {
		return eris.Wrap(ErrCallerGone, err.Error())
	}
	return nil
}

// Finish implements Output.
func (a *completionWriter) Finish(reason string, usage Usage) error {
	if !a.c.Stream {
		return a.finishJSON(reason, usage)
	}
	if err := a.startStream(); err != nil {
		return err
	}
	last := chunk{ID: a.id, Object: a.object(true), Created: a.created, Model: a.c.Model,
		Choices: []choice{{FinishReason: &reason}}}
	if a.c.Route == Chat {
		last.Choices[0].Delta = &delta{}
	} else {
		last.Choices[0].Text = new(string)
	}
	if err := a.writeEvent(last); err != nil {
		return err
	}
	if a.c.IncludeUsage {
		usageChunk := chunk{ID: a.id, Object: a.object(true), Created: a.created, Model: a.c.Model, Choices: []choice{}, Usage: &usage}
		if err := a.writeEvent(usageChunk); err != nil {
			return err
		}
	}
	return a.writeAndFlush([]byte("data: [DONE]\n\n"))
}

func (a *completionWriter) finishJSON(reason string, usage Usage) error {
	a.started = true
	response := chunk{ID: a.id, Object: a.object(false), Created: a.created, Model: a.c.Model,
		Choices: []choice{{FinishReason: &reason}}, Usage: &usage}
	text := a.text.String()
	if a.c.Route == Chat {
		response.Choices[0].Message = &delta{Role: "assistant", Content: &text}
	} else {
		response.Choices[0].Text = &text
	}
	_ = a.control.SetWriteDeadline(a.cfg.Now().Add(a.cfg.StallTimeout))
	a.ctx.StatusCode(http.StatusOK)
	if err := a.ctx.JSON(response); err != nil {
		return eris.Wrap(ErrCallerGone, err.Error())
	}
	return nil
}

func (a *completionWriter) object(stream bool) string {
	switch {
	case a.c.Route == Text:
		return "text_completion"
	case stream:
		return "chat.completion.chunk"
	default:
		return "chat.completion"
	}
}

// abort ends a stream that has failed: the caller gets an error event and no [DONE].
func (a *completionWriter) abort(refused *refusal.Error) {
	_ = a.writeEvent(newErrorBody(refused))
	_ = a.control.SetWriteDeadline(a.cfg.Now().Add(time.Second))
	a.ctx.StopExecution()
}

// chunk is one event, or the complete answer without streaming, on both routes.
type chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int     `json:"index"`
	Delta        *delta  `json:"delta,omitempty"`
	Message      *delta  `json:"message,omitempty"`
	Text         *string `json:"text,omitempty"`
	FinishReason *string `json:"finish_reason"`
}

type delta struct {
	Role    string  `json:"role,omitempty"`
	Content *string `json:"content,omitempty"`
}

// appendJSONString appends s as a JSON string. Most tokens need no escaping, so it has a fast path for them.
func appendJSONString(buf, s []byte) []byte {
	for i := range s {
		if s[i] < ' ' || s[i] == '"' || s[i] == '\\' || s[i] >= 0x7f {
			data, _ := json.Marshal(string(s))
			return append(buf, data...)
		}
	}
	buf = append(buf, '"')
	buf = append(buf, s...)
	return append(buf, '"')
}
