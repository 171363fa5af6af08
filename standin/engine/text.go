package engine

import (
	"hash/fnv"
	"regexp"
	"strconv"
	"strings"
)

// Lengths of answers, in tokens.
const (
	// A prompt that doesn't state the length of its answer gets minAnswerTokens to
	// minAnswerTokens+answerTokenRange-1 tokens.
	minAnswerTokens  = 16
	answerTokenRange = 48
	// maxAnswerTokens is the limit of the length that a prompt may state.
	maxAnswerTokens = 1 << 20
)

const (
	bytesPerToken    = 4
	tokensPerMessage = 4
)

// answerTokensPattern matches the part of a prompt that states the length of its answer in tokens.
var answerTokensPattern = regexp.MustCompile(`tokens=(\d{1,7})`)

// Prompt is the prompt or the list of messages of a request. The text of its answer depends on nothing else.
type Prompt struct {
	// text is the prompt, or the concatenated messages. Cached blocks are hashed from its start.
	text         string
	hash         uint64
	tokens       int
	answerTokens int
}

// CompletionPrompt returns the prompt of /v1/completions.
func CompletionPrompt(prompt string) Prompt {
	return newPrompt("completion\x00", prompt, CountTokens(len(prompt), 0))
}

// ChatPrompt returns the messages of /v1/chat/completions as a prompt.
func ChatPrompt(messages []Message) Prompt {
	var text strings.Builder
	bytes := 0
	for _, m := range messages {
		text.WriteString(m.Role + "\n" + string(m.Content) + "\n")
		bytes += len(m.Content)
	}
	return newPrompt("chat\x00", text.String(), CountTokens(bytes, len(messages)))
}

func newPrompt(route, text string, tokens int) Prompt {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(route + text))
	p := Prompt{text: text, hash: hash.Sum64(), tokens: tokens}
	p.answerTokens = minAnswerTokens + int(p.hash%answerTokenRange)
	if m := answerTokensPattern.FindStringSubmatch(text); m != nil {
		n, _ := strconv.Atoi(m[1])
		p.answerTokens = min(n, maxAnswerTokens)
	}
	return p
}

// CountTokens returns the tokens of a prompt: one per 4 bytes of content, rounded up, and 4 per message. That is never
// more than its bytes plus 8 per message.
func CountTokens(bytes, messages int) int {
	return (bytes+bytesPerToken-1)/bytesPerToken + tokensPerMessage*messages
}

// Tokens returns the token count of the prompt.
func (p Prompt) Tokens() int { return p.tokens }

// AnswerTokens returns the number of tokens of the full answer: N if the prompt contains "tokens=N", else 16 to 63.
func (p Prompt) AnswerTokens() int { return p.answerTokens }

// Answer returns the text of the tokens at the positions from to to-1.
func (p Prompt) Answer(from, to int) string {
	var text []byte
	for i := from; i < to; i++ {
		text = p.appendToken(text, i)
	}
	return string(text)
}

// suffixes end some words, so that answers contain characters that need escaping and multi-byte characters.
var suffixes = [16]string{1: `"`, 5: `\`, 9: "é", 13: "😀", 15: "<"}

const (
	consonants = "bdfgklmnprstvz"
	vowels     = "aeiou"
)

// appendToken appends the token at a position: a word, after a space unless it is the first one.
func (p Prompt) appendToken(dst []byte, position int) []byte {
	if position > 0 {
		dst = append(dst, ' ')
	}
	bits := splitMix64(p.hash + uint64(position)*0x9e3779b97f4a7c15)
	syllables := 1 + bits%3
	suffix := suffixes[bits>>4%16]
	bits >>= 8
	for range syllables {
		dst = append(dst, consonants[bits%uint64(len(consonants))])
		bits >>= 8
		dst = append(dst, vowels[bits%uint64(len(vowels))])
		bits >>= 8
	}
	return append(dst, suffix...)
}

// splitMix64 is the finalizer of SplitMix64.
func splitMix64(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// resumePosition returns the position after prefix, which must consist of the first tokens of the answer.
func (p Prompt) resumePosition(prefix string) (position int, ok bool) {
	var token []byte
	for prefix != "" {
		token = p.appendToken(token[:0], position)
		if len(prefix) < len(token) || prefix[:len(token)] != string(token) {
			return 0, false
		}
		prefix = prefix[len(token):]
		position++
	}
	return position, position <= p.answerTokens
}
