package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"unicode/utf8"
)

// Values of finish_reason.
const (
	finishStop      = "stop"
	finishLength    = "length"
	finishCancelled = "cancelled"
)

// usage counts the tokens of one request. A prefix counts neither as prompt nor as completion.
type usage struct {
	PromptTokens     int          `json:"prompt_tokens"`
	CompletionTokens int          `json:"completion_tokens"`
	TotalTokens      int          `json:"total_tokens"`
	Details          usageDetails `json:"prompt_tokens_details"`
}

type usageDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

func (r *run) usage() usage {
	produced := int(r.tokens.Load())
	return usage{
		PromptTokens:     r.prompt.Tokens(),
		CompletionTokens: produced,
		TotalTokens:      r.prompt.Tokens() + produced,
		Details:          usageDetails{CachedTokens: min(r.cachedTokens, r.prompt.Tokens())},
	}
}

func (r *run) finishReason(o outcome) string {
	switch {
	case o == outcomeCancelled:
		return finishCancelled
	case r.to < r.prompt.AnswerTokens():
		return finishLength
	}
	return finishStop
}

// answerHeader is the common part of an answer.
type answerHeader struct {
	ID      string
	Created int64
	Model   string
	Chat    bool
}

// answerWriter writes the answer of a run.
type answerWriter interface {
	writeToken(token []byte) error
	// finish ends the answer. draining says that the engine is draining.
	finish(reason string, u usage, draining bool) error
}

// streamWriter sends each token as a server-sent event.
type streamWriter struct {
	w            http.ResponseWriter
	controller   *http.ResponseController
	includeUsage bool
	// tokenPrefix and tokenSuffix enclose the JSON string of a token.
	tokenPrefix, tokenSuffix []byte
	// finishPrefix precedes the finish reason in its chunk, usagePrefix the usage in the chunk without choices.
	finishPrefix, usagePrefix []byte
	buffer                    []byte
	headersSet                bool
}

func newStreamWriter(w http.ResponseWriter, controller *http.ResponseController, h answerHeader, includeUsage bool) *streamWriter {
	object := "text_completion"
	if h.Chat {
		object = "chat.completion.chunk"
	}
	id, _ := json.Marshal(h.ID)
	model, _ := json.Marshal(h.Model)
	start := `data: {"id":` + string(id) + `,"object":"` + object + `","created":` +
		strconv.FormatInt(h.Created, 10) + `,"model":` + string(model) + `,"choices":[`
	s := &streamWriter{w: w, controller: controller, includeUsage: includeUsage, usagePrefix: []byte(start + `]`)}
	if h.Chat {
		s.tokenPrefix = []byte(start + `{"index":0,"delta":{"content":`)
		s.tokenSuffix = []byte(`},"finish_reason":null}]}` + "\n\n")
		s.finishPrefix = []byte(start + `{"index":0,"delta":{},"finish_reason":"`)
	} else {
		s.tokenPrefix = []byte(start + `{"index":0,"text":`)
		s.tokenSuffix = []byte(`,"finish_reason":null}]}` + "\n\n")
		s.finishPrefix = []byte(start + `{"index":0,"text":"","finish_reason":"`)
	}
	return s
}

func (s *streamWriter) setHeaders() {
	if s.headersSet {
		return
	}
	s.headersSet = true
	s.w.Header().Set("Content-Type", "text/event-stream")
	s.w.Header().Set("Cache-Control", "no-cache")
}

func (s *streamWriter) writeToken(token []byte) error {
	s.setHeaders()
	s.buffer = append(s.buffer[:0], s.tokenPrefix...)
	s.buffer = appendString(s.buffer, token)
	s.buffer = append(s.buffer, s.tokenSuffix...)
	return s.flush()
}

func (s *streamWriter) finish(reason string, u usage, draining bool) error {
	s.setHeaders()
	s.buffer = append(s.buffer[:0], s.finishPrefix...)
	s.buffer = append(s.buffer, reason...)
	s.buffer = append(s.buffer, `"}]`...)
	if draining {
		s.buffer = append(s.buffer, `,"draining":true`...)
	}
	s.buffer = append(s.buffer, "}\n\n"...)
	if s.includeUsage {
		data, _ := json.Marshal(u)
		s.buffer = append(s.buffer, s.usagePrefix...)
		s.buffer = append(s.buffer, `,"usage":`...)
		s.buffer = append(s.buffer, data...)
		s.buffer = append(s.buffer, "}\n\n"...)
	}
	s.buffer = append(s.buffer, "data: [DONE]\n\n"...)
	return s.flush()
}

func (s *streamWriter) flush() error {
	if _, err := s.w.Write(s.buffer); err != nil {
		return err
	}
	return s.controller.Flush()
}

// appendString appends a token as a JSON string. Tokens hold no control characters.
func appendString(dst, token []byte) []byte {
	dst = append(dst, '"')
	for len(token) > 0 {
		_, size := utf8.DecodeRune(token)
		if token[0] == '"' || token[0] == '\\' {
			dst = append(dst, '\\')
		}
		dst = append(dst, token[:size]...)
		token = token[size:]
	}
	return append(dst, '"')
}

// bufferedWriter collects the answer and sends it as one JSON body at the end.
type bufferedWriter struct {
	w      http.ResponseWriter
	header answerHeader
	text   []byte
}

// completion is the body of an answer that isn't streamed.
type completion struct {
	ID       string             `json:"id"`
	Object   string             `json:"object"`
	Created  int64              `json:"created"`
	Model    string             `json:"model"`
	Choices  []completionChoice `json:"choices"`
	Usage    usage              `json:"usage"`
	Draining bool               `json:"draining,omitempty"`
}

type completionChoice struct {
	Index        int                `json:"index"`
	Text         *string            `json:"text,omitempty"`
	Message      *completionMessage `json:"message,omitempty"`
	FinishReason string             `json:"finish_reason"`
}

type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (a *bufferedWriter) writeToken(token []byte) error {
	a.text = append(a.text, token...)
	return nil
}

func (a *bufferedWriter) finish(reason string, u usage, draining bool) error {
	text := string(a.text)
	choice := completionChoice{Text: &text, FinishReason: reason}
	object := "text_completion"
	if a.header.Chat {
		choice.Text = nil
		choice.Message = &completionMessage{Role: "assistant", Content: text}
		object = "chat.completion"
	}
	data, err := json.Marshal(completion{
		ID:       a.header.ID,
		Object:   object,
		Created:  a.header.Created,
		Model:    a.header.Model,
		Choices:  []completionChoice{choice},
		Usage:    u,
		Draining: draining,
	})
	if err != nil {
		return err
	}
	a.w.Header().Set("Content-Type", "application/json")
	_, err = a.w.Write(data)
	return err
}
