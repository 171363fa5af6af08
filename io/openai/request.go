// Package openai is the HTTP server for callers: the completion routes of the OpenAI API and the routes of plain
// services.
package openai

import (
	"encoding/json"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/rotisserie/eris"

	"ibiswinch/core/refusal"
)

// Route is the completion route of a request.
type Route string

// Routes.
const (
	RouteChat       Route = "chat"
	RouteCompletion Route = "text"
)

// messageOverheadTokens is an upper bound of the tokens that a chat template adds to a message.
const messageOverheadTokens = 8

// CompletionRequest is a decoded completion request.
type CompletionRequest struct {
	Route Route
	// IdempotencyKey is the caller's Idempotency-Key, empty without one.
	IdempotencyKey string
	Model          string
	// Prompt is set on the text route, Messages on the chat route.
	Prompt   string
	Messages json.RawMessage
	// MaxTokens limits the tokens of the answer; 0 if the caller gave no limit.
	MaxTokens    uint64
	Stream       bool
	IncludeUsage bool
	// PromptBound is an upper bound of the prompt's tokens: the bytes of its roles and texts, since a token of a byte-level
	// vocabulary has at least one byte, and messageOverheadTokens for each message. The limit on held memory counts it as
	// bytes.
	PromptBound uint64
	// Params are the other members of the body, passed to the engine unchanged.
	Params map[string]json.RawMessage
}

// completionBody is the JSON body of both routes.
type completionBody struct {
	Model               string          `json:"model"`
	Prompt              json.RawMessage `json:"prompt"`
	Messages            json.RawMessage `json:"messages"`
	MaxTokens           *int64          `json:"max_tokens"`
	MaxCompletionTokens *int64          `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
	StreamOptions       *streamOptions  `json:"stream_options"`
	N                   *int            `json:"n"`
	BestOf              *int            `json:"best_of"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type message struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// reservedMembers are the members of the body that don't go to Params. The last four are extensions of the engines,
// which callers must not set.
var reservedMembers = []string{
	"model", "prompt", "messages", "max_tokens", "max_completion_tokens", "stream", "stream_options", "n", "best_of",
	"request_id", "priority", "version", "prefix",
}

// unsupportedMembers change the format of the answer in ways that prevent resuming it on another server.
var unsupportedMembers = []string{"tools", "functions", "logprobs", "audio", "echo", "suffix"}

// DecodeCompletion decodes and checks the body of a completion request.
func DecodeCompletion(route Route, data []byte) (*CompletionRequest, error) {
	if !utf8.Valid(data) {
		// The JSON decoder would replace the invalid bytes, and the engine would answer a different prompt.
		return nil, badRequest("the body is not valid UTF-8")
	}
	var body completionBody
	if err := json.Unmarshal(data, &body); err != nil {
		return nil, badRequest("the body is not a valid JSON object: %v", err)
	}
	var params map[string]json.RawMessage
	if err := json.Unmarshal(data, &params); err != nil {
		return nil, badRequest("the body is not a valid JSON object: %v", err)
	}
	c := &CompletionRequest{Route: route, Model: body.Model, Stream: body.Stream, Params: params}
	if body.StreamOptions != nil {
		c.IncludeUsage = body.StreamOptions.IncludeUsage
	}
	if err := checkMembers(body, params); err != nil {
		return nil, err
	}
	if err := c.setMaxTokens(body); err != nil {
		return nil, err
	}
	if err := c.setPrompt(body); err != nil {
		return nil, err
	}
	for _, name := range reservedMembers {
		delete(c.Params, name)
	}
	return c, nil
}

const (
	// valueBytes is what a member or an element takes at most besides its bytes once it is decoded, textCopies how often the bytes of
	// texts are held meanwhile.
	valueBytes = 200
	textCopies = 2
)

// decodedBytes returns what a body takes at most once it is decoded: its texts, and its members and elements, which are separated by
// commas outside of texts.
func decodedBytes(body []byte) int64 {
	separators, inText := int64(0), false
	for i := 0; i < len(body); i++ {
		switch b := body[i]; {
		case b == '\\' && inText:
			i++
		case b == '"':
			inText = !inText
		case b == ',' && !inText:
			separators++
		}
	}
	return textCopies*int64(len(body)) + separators*valueBytes
}

func checkMembers(body completionBody, params map[string]json.RawMessage) error {
	if body.Model == "" {
		return badRequest("model is missing")
	}
	if (body.N != nil && *body.N != 1) || (body.BestOf != nil && *body.BestOf != 1) {
		return badRequest("n and best_of other than 1 are not supported")
	}
	if err := checkCase(params); err != nil {
		return err
	}
	for _, name := range unsupportedMembers {
		value, ok := params[name]
		if ok && string(value) != "null" && string(value) != "false" {
			return badRequest("%s is not supported", name)
		}
	}
	return nil
}

// checkCase rejects names that differ from a known one in case only. JSON decoders, also those of engines, may accept
// them as the known one, which would bypass the checks.
func checkCase(params map[string]json.RawMessage) error {
	for name := range params {
		lower := strings.ToLower(name)
		if lower != name && (slices.Contains(reservedMembers, lower) || slices.Contains(unsupportedMembers, lower)) {
			return badRequest("unknown member %q; did you mean %q?", name, lower)
		}
	}
	return nil
}

func (c *CompletionRequest) setMaxTokens(body completionBody) error {
	limit := body.MaxTokens
	if body.MaxCompletionTokens != nil {
		limit = body.MaxCompletionTokens
	}
	if limit == nil {
		return nil
	}
	if *limit < 1 {
		return badRequest("max_tokens must be at least 1")
	}
	c.MaxTokens = uint64(*limit)
	return nil
}

func (c *CompletionRequest) setPrompt(body completionBody) error {
	if c.Route == RouteCompletion {
		if err := json.Unmarshal(body.Prompt, &c.Prompt); err != nil || c.Prompt == "" {
			return badRequest("prompt must be a string that is not empty")
		}
		c.PromptBound = uint64(len(c.Prompt)) + messageOverheadTokens
		return nil
	}
	var messages []message
	if err := json.Unmarshal(body.Messages, &messages); err != nil || len(messages) == 0 {
		return badRequest("messages must be a list that is not empty")
	}
	for i, m := range messages {
		n, err := contentBytes(m)
		if err != nil {
			return badRequest("messages[%d]: %v", i, err)
		}
		c.PromptBound += n + messageOverheadTokens
	}
	c.Messages = body.Messages
	return nil
}

// contentBytes returns the number of bytes of the role and text of a message. Content is a string or a list of text
// parts.
func contentBytes(m message) (uint64, error) {
	if m.Role == "" {
		return 0, eris.New("role is missing")
	}
	var text string
	if err := json.Unmarshal(m.Content, &text); err == nil {
		return uint64(len(m.Role) + len(text)), nil
	}
	var parts []struct {
		Type string `json:"type"`
		Text string `json:"text"`
	}
	if err := json.Unmarshal(m.Content, &parts); err != nil {
		return 0, eris.New("content is neither a string nor a list of text parts")
	}
	n := len(m.Role)
	for _, p := range parts {
		if p.Type != "text" {
			return 0, eris.Errorf("content of type %q is not supported", p.Type)
		}
		n += len(p.Text)
	}
	return uint64(n), nil
}

func badRequest(format string, args ...any) error {
	return refusal.New(refusal.BadRequest, format, args...)
}
