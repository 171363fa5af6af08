package engine

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"

	"github.com/mailru/easyjson/jlexer"
	"github.com/rotisserie/eris"
)

// FinishReason says why an answer ended.
type FinishReason string

// Reasons for the end of an answer.
const (
	// FinishNone marks a chunk that isn't the last one.
	FinishNone      FinishReason = ""
	FinishStop      FinishReason = "stop"
	FinishLength    FinishReason = "length"
	finishCancelled FinishReason = "cancelled"
)

// Usage counts the tokens of one run. The prefix of a resumed run is not counted.
type Usage struct {
	PromptTokens     int
	CompletionTokens int
	CachedTokens     int
}

// Chunk is one event of a stream.
type Chunk struct {
	// Text is valid until the next call of Next.
	Text []byte
	// FinishReason is set in the last chunk that has a choice.
	FinishReason FinishReason
	// Usage is set if HasUsage is true: once per stream, in the chunk with FinishReason or a later one.
	Usage    Usage
	HasUsage bool
}

// Stream is a running completion. It is not safe for concurrent use. It reads from the connection only in Next, so
// that a caller that doesn't call Next puts backpressure on the engine.
type Stream struct {
	ctx     context.Context
	body    io.ReadCloser
	reader  *bufio.Reader
	version string
	// line holds a line that is larger than the reader's buffer.
	line         []byte
	finishReason FinishReason
	draining     bool
	err          error
}

func newStream(ctx context.Context, resp *http.Response) *Stream {
	return &Stream{
		ctx:      ctx,
		body:     resp.Body,
		reader:   bufio.NewReaderSize(resp.Body, readBufferSize),
		version:  resp.Header.Get("Engine-Version"),
		draining: isDraining(resp),
	}
}

// Version returns the model version that runs the request.
func (s *Stream) Version() string { return s.version }

// Draining reports whether the engine has announced that it is about to stop.
func (s *Stream) Draining() bool { return s.draining }

// Close closes the stream. Before its end, this closes the connection, which cancels the request.
func (s *Stream) Close() { _ = s.body.Close() }

// Next returns the next chunk, or io.EOF after a complete answer. After ErrInterrupted and ErrCancelled, the chunks so
// far are a valid prefix of the answer. After an error, all calls return the same error.
func (s *Stream) Next() (Chunk, error) {
	if s.err != nil {
		return Chunk{}, s.err
	}
	chunk, err := s.next()
	if err != nil {
		s.err = err
	}
	return chunk, err
}

var (
	dataPrefix = []byte("data:")
	doneMarker = []byte("[DONE]")
)

func (s *Stream) next() (Chunk, error) {
	for {
		line, err := s.readLine()
		if err != nil {
			return Chunk{}, err
		}
		data, ok := bytes.CutPrefix(line, dataPrefix)
		if !ok {
			// An empty line, a comment or a field that the protocol doesn't use.
			continue
		}
		data = bytes.TrimSpace(data)
		if bytes.Equal(data, doneMarker) {
			return Chunk{}, s.finishBody()
		}
		chunk, err := s.parse(data)
		if err != nil {
			return Chunk{}, err
		}
		if chunk.FinishReason != FinishNone {
			s.finishReason = chunk.FinishReason
		}
		if chunk.FinishReason == finishCancelled {
			return Chunk{}, eris.Wrap(ErrCancelled, "by the engine")
		}
		return chunk, nil
	}
}

// finishBody reads once more from the body, so that the connection can be reused if that is its end, and returns
// io.EOF.
func (s *Stream) finishBody() error {
	if s.finishReason == FinishNone {
		return eris.Wrap(ErrInvalidResponse, "end without a finish reason")
	}
	var rest [64]byte
	_, _ = s.reader.Read(rest[:])
	_ = s.body.Close()
	return io.EOF
}

// readLine returns a line with its line feed. It is valid until the next call.
func (s *Stream) readLine() ([]byte, error) {
	line, err := s.reader.ReadSlice('\n')
	if err == nil {
		return line, nil
	}
	s.line = s.line[:0]
	for err == bufio.ErrBufferFull {
		s.line = append(s.line, line...)
		if len(s.line) > maxEventBytes {
			return nil, eris.Wrap(ErrInvalidResponse, "event over the size limit")
		}
		line, err = s.reader.ReadSlice('\n')
	}
	if err == nil {
		s.line = append(s.line, line...)
		return s.line, nil
	}
	if s.ctx.Err() != nil {
		return nil, eris.Wrapf(ErrCancelled, "%v", err)
	}
	return nil, eris.Wrapf(ErrInterrupted, "%v", err)
}

// parse decodes the JSON of one event. Its lexer works without reflection and allocates only for strings with escapes.
func (s *Stream) parse(data []byte) (Chunk, error) {
	var chunk Chunk
	in := jlexer.Lexer{Data: data}
	hasError := false
	forEachField(&in, func(name string) {
		switch name {
		case "choices":
			parseChoices(&in, &chunk)
		case "usage":
			parseUsage(&in, &chunk)
		case "draining":
			s.draining = in.Bool() || s.draining
		case "error":
			hasError = true
			in.SkipRecursive()
		default:
			in.SkipRecursive()
		}
	})
	in.Consumed()
	switch {
	case in.Error() != nil:
		return Chunk{}, eris.Wrapf(ErrInvalidResponse, "decode event: %v", in.Error())
	case hasError:
		return Chunk{}, eris.Wrap(ErrInterrupted, "engine reports an error")
	}
	return chunk, nil
}

// forEachField calls field for each field of a JSON object. field must consume the value.
func forEachField(in *jlexer.Lexer, field func(name string)) {
	if in.IsNull() {
		in.Skip()
		return
	}
	in.Delim('{')
	for !in.IsDelim('}') {
		name := in.UnsafeFieldName(false)
		in.WantColon()
		field(name)
		in.WantComma()
	}
	in.Delim('}')
}

func parseChoices(in *jlexer.Lexer, chunk *Chunk) {
	in.Delim('[')
	for !in.IsDelim(']') {
		forEachField(in, func(name string) {
			switch name {
			case "text":
				chunk.Text = in.UnsafeBytes()
			case "delta":
				parseDelta(in, chunk)
			case "finish_reason":
				chunk.FinishReason = parseFinish(in)
			default:
				in.SkipRecursive()
			}
		})
		in.WantComma()
	}
	in.Delim(']')
}

func parseDelta(in *jlexer.Lexer, chunk *Chunk) {
	forEachField(in, func(name string) {
		if name != "content" || in.IsNull() {
			in.SkipRecursive()
			return
		}
		chunk.Text = in.UnsafeBytes()
	})
}

func parseFinish(in *jlexer.Lexer) FinishReason {
	if in.IsNull() {
		in.Skip()
		return FinishNone
	}
	return FinishReason(in.String())
}

func parseUsage(in *jlexer.Lexer, chunk *Chunk) {
	if in.IsNull() {
		in.Skip()
		return
	}
	chunk.HasUsage = true
	forEachField(in, func(name string) {
		switch name {
		case "prompt_tokens":
			chunk.Usage.PromptTokens = in.Int()
		case "completion_tokens":
			chunk.Usage.CompletionTokens = in.Int()
		case "prompt_tokens_details":
			parseUsageDetails(in, chunk)
		default:
			in.SkipRecursive()
		}
	})
	for _, n := range []int{chunk.Usage.PromptTokens, chunk.Usage.CompletionTokens, chunk.Usage.CachedTokens} {
		if n < 0 || n > maxTokens {
			in.AddError(eris.New("usage out of range"))
		}
	}
}

func parseUsageDetails(in *jlexer.Lexer, chunk *Chunk) {
	forEachField(in, func(name string) {
		if name != "cached_tokens" {
			in.SkipRecursive()
			return
		}
		chunk.Usage.CachedTokens = in.Int()
	})
}
