package engine

import (
	"encoding/json"
	"strings"

	"github.com/rotisserie/eris"
)

// defaultMaxTokens applies to a request without max_tokens.
const defaultMaxTokens = 256

// Paths of completions.
const (
	RouteCompletions = "/v1/completions"
	RouteChat        = "/v1/chat/completions"
)

// Message is one message of a chat.
type Message struct {
	Role    string  `json:"role"`
	Content Content `json:"content"`
}

// Content is the text of a message. It is decoded from a string or from a list of parts of type text.
type Content string

// UnmarshalJSON implements json.Unmarshaler.
func (c *Content) UnmarshalJSON(data []byte) error {
	var text string
	if json.Unmarshal(data, &text) == nil {
		*c = Content(text)
		return nil
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return eris.New("content is neither a string nor a list of parts")
	}
	var b strings.Builder
	for _, part := range parts {
		if part.Type != "text" {
			return eris.Errorf("content part of type %q", part.Type)
		}
		b.WriteString(part.Text)
	}
	*c = Content(b.String())
	return nil
}

// request is the body of a completion. Unknown fields are ignored.
type request struct {
	Model               string    `json:"model"`
	Version             string    `json:"version"`
	Prompt              *string   `json:"prompt"`
	Messages            []Message `json:"messages"`
	MaxTokens           *int      `json:"max_tokens"`
	MaxCompletionTokens *int      `json:"max_completion_tokens"`
	Stream              bool      `json:"stream"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	RequestID string `json:"request_id"`
	Priority  int    `json:"priority"`
	Prefix    string `json:"prefix"`
}

// prompt validates a request to route and returns its prompt.
func (r request) prompt(route string) (Prompt, error) {
	switch {
	case r.Model == "":
		return Prompt{}, eris.New("model is missing")
	case route == RouteCompletions && r.Prompt == nil:
		return Prompt{}, eris.New("prompt is missing")
	case route == RouteChat && len(r.Messages) == 0:
		return Prompt{}, eris.New("messages are missing")
	case r.maxTokens() < 1:
		return Prompt{}, eris.New("max_tokens is below 1")
	case route == RouteCompletions:
		return CompletionPrompt(*r.Prompt), nil
	}
	return ChatPrompt(r.Messages), nil
}

func (r request) maxTokens() int {
	switch {
	case r.MaxCompletionTokens != nil:
		return *r.MaxCompletionTokens
	case r.MaxTokens != nil:
		return *r.MaxTokens
	}
	return defaultMaxTokens
}
