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

// completionWriter implements [AnswerWriter] for one completion. It writes server-sent events or one JSON body.
type completionWriter struct {
	ctx     iris.Context
	control *http.ResponseController
	request *CompletionRequest
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

func newCompletionWriter(ctx iris.Context, c *CompletionRequest, cfg Config) *completionWriter {
	prefix := "chatcmpl-"
	if c.Route == RouteCompletion {
		prefix = "cmpl-"
	}
	w := &completionWriter{
		ctx:     ctx,
		control: http.NewResponseController(ctx.ResponseWriter().Naive()),
		request: c,
		cfg:     cfg,
		id:      prefix + uuid.NewString(),
		created: cfg.Now().Unix(),
	}
	w.setEventFrame()
	return w
}

// setEventFrame sets eventPrefix and eventSuffix, so that a token costs one JSON escape and one write.
func (w *completionWriter) setEventFrame() {
	id, model := quoteJSON(w.id), quoteJSON(w.request.Model)
	created, _ := json.Marshal(w.created)
	common := `,"created":` + string(created) + `,"model":` + model + `,"choices":[{"index":0,`
	if w.request.Route == RouteChat {
		w.eventPrefix = `data: {"id":` + id + `,"object":"chat.completion.chunk"` + common + `"delta":{"content":`
		w.eventSuffix = `},"finish_reason":null}]}` + "\n\n"
		return
	}
	w.eventPrefix = `data: {"id":` + id + `,"object":"text_completion"` + common + `"text":`
	w.eventSuffix = `,"finish_reason":null}]}` + "\n\n"
}

func quoteJSON(s string) string {
	data, _ := json.Marshal(s)
	return string(data)
}

// WriteText implements [AnswerWriter].
func (w *completionWriter) WriteText(piece []byte) error {
	if !w.request.Stream {
		w.text.Write(piece)
		return nil
	}
	if err := w.startStream(); err != nil {
		return err
	}
	w.buf = append(w.buf[:0], w.eventPrefix...)
	w.buf = appendJSONString(w.buf, piece)
	w.buf = append(w.buf, w.eventSuffix...)
	return w.writeAndFlush(w.buf)
}

func (w *completionWriter) startStream() error {
	if w.started {
		return nil
	}
	w.started = true
	w.ctx.Header("Content-Type", "text/event-stream")
	w.ctx.Header("Cache-Control", "no-store")
	w.ctx.StatusCode(http.StatusOK)
	if w.request.Route != RouteChat {
		return nil
	}
	first := chunk{ID: w.id, Object: "chat.completion.chunk", Created: w.created, Model: w.request.Model,
		Choices: []choice{{Delta: &delta{Role: "assistant"}}}}
	return w.writeEvent(first)
}

func (w *completionWriter) writeEvent(v any) error {
	data, err := json.Marshal(v)
	if err != nil {
		return eris.Wrap(err, "encode event")
	}
	w.buf = append(append(append(w.buf[:0], "data: "...), data...), "\n\n"...)
	return w.writeAndFlush(w.buf)
}

func (w *completionWriter) writeAndFlush(data []byte) error {
	_ = w.control.SetWriteDeadline(w.cfg.Now().Add(w.cfg.StallTimeout))
	if _, err := w.ctx.ResponseWriter().Write(data); err != nil {
		return eris.Wrap(ErrCallerGone, err.Error())
	}
	if err := w.control.Flush(); err != nil {
		return eris.Wrap(ErrCallerGone, err.Error())
	}
	return nil
}

// Finish implements [AnswerWriter].
func (w *completionWriter) Finish(reason string, usage Usage) error {
	if !w.request.Stream {
		return w.finishJSON(reason, usage)
	}
	if err := w.startStream(); err != nil {
		return err
	}
	last := chunk{ID: w.id, Object: w.object(true), Created: w.created, Model: w.request.Model,
		Choices: []choice{{FinishReason: &reason}}}
	if w.request.Route == RouteChat {
		last.Choices[0].Delta = &delta{}
	} else {
		last.Choices[0].Text = new(string)
	}
	if err := w.writeEvent(last); err != nil {
		return err
	}
	if w.request.IncludeUsage {
		usageChunk := chunk{ID: w.id, Object: w.object(true), Created: w.created, Model: w.request.Model, Choices: []choice{}, Usage: &usage}
		if err := w.writeEvent(usageChunk); err != nil {
			return err
		}
	}
	return w.writeAndFlush([]byte("data: [DONE]\n\n"))
}

func (w *completionWriter) finishJSON(reason string, usage Usage) error {
	w.started = true
	response := chunk{ID: w.id, Object: w.object(false), Created: w.created, Model: w.request.Model,
		Choices: []choice{{FinishReason: &reason}}, Usage: &usage}
	text := w.text.String()
	if w.request.Route == RouteChat {
		response.Choices[0].Message = &delta{Role: "assistant", Content: &text}
	} else {
		response.Choices[0].Text = &text
	}
	_ = w.control.SetWriteDeadline(w.cfg.Now().Add(w.cfg.StallTimeout))
	w.ctx.StatusCode(http.StatusOK)
	if err := w.ctx.JSON(response); err != nil {
		return eris.Wrap(ErrCallerGone, err.Error())
	}
	return nil
}

func (w *completionWriter) object(stream bool) string {
	switch {
	case w.request.Route == RouteCompletion:
		return "text_completion"
	case stream:
		return "chat.completion.chunk"
	default:
		return "chat.completion"
	}
}

// abort ends a stream that has failed: the caller gets an error event and no [DONE].
func (w *completionWriter) abort(refused *refusal.Error) {
	_ = w.writeEvent(newErrorBody(refused))
	_ = w.control.SetWriteDeadline(w.cfg.Now().Add(time.Second))
	w.ctx.StopExecution()
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
