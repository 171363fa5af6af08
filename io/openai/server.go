package openai

import (
	"context"
	"errors"
	"net/http"
	"os"
	"runtime/debug"
	"slices"
	"strings"
	"time"

	"github.com/kataras/iris/v12"
	"github.com/rotisserie/eris"

	"ibiswinch/core/memory"
	"ibiswinch/core/refusal"
	"ibiswinch/io/inbound"
)

// Names of headers: those of this project, and Idempotency-Key.
const (
	HeaderExecution      = "Ibiswinch-Execution"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderReplayed       = "Ibiswinch-Replayed"
	HeaderBodyOmitted    = "Ibiswinch-Body-Omitted"
)

// Team is the team that an authenticated caller belongs to.
type Team struct {
	Name string
}

// Usage counts the tokens of one answer.
type Usage struct {
	PromptTokens     uint64 `json:"prompt_tokens"`
	CompletionTokens uint64 `json:"completion_tokens"`
	TotalTokens      uint64 `json:"total_tokens"`
}

// AnswerWriter writes an answer to the caller. Its methods block while the caller doesn't read.
type AnswerWriter interface {
	WriteText(piece []byte) error
	Finish(reason string, usage Usage) error
}

// ServiceCall is a request to a plain service.
type ServiceCall struct {
	Service  string
	Method   string
	Path     string
	RawQuery string
	Header   http.Header
	Body     []byte
	// IdempotencyKey is the caller's Idempotency-Key, empty without one.
	IdempotencyKey string
}

// ServiceAnswer is the answer of a plain service.
type ServiceAnswer struct {
	Status int
	Header http.Header
	Body   []byte
	// Replayed is true if the answer was recorded by an earlier request with the same key.
	Replayed bool
	// Release is called once the answer has been written, or can't be; it may be nil.
	Release func()
	// BodyOmitted is true if the server's answer had a body that was not recorded.
	BodyOmitted bool
}

// Gateway runs decoded requests. An error of type *refusal.Error says whether the request ran.
type Gateway interface {
	// CheckReady returns why the load balancer should send requests elsewhere, or nil.
	CheckReady() *refusal.Error
	// CheckAccepting returns why requests are refused, or nil. At the start of a drain it stays nil for some time after
	// CheckReady has begun to fail.
	CheckAccepting() *refusal.Error
	Authenticate(key string) (Team, bool)
	Models(team Team) []string
	Complete(ctx context.Context, team Team, c *CompletionRequest, out AnswerWriter) error
	Service(ctx context.Context, team Team, call *ServiceCall) (*ServiceAnswer, error)
}

// Config holds the settings of a server.
type Config struct {
	Gateway Gateway
	Now     func() time.Time
	// MaxBodyBytes returns the size limit of a request body.
	MaxBodyBytes func() int64
	// Incoming bounds what is held for the bodies of requests, and for what they are decoded to. Without it nothing does.
	Incoming *memory.Incoming
	// BodyTimeout limits the time to read a request body.
	BodyTimeout time.Duration
	// StallTimeout limits the time that one write may block on a caller that doesn't read.
	StallTimeout time.Duration
	// OnRefused is called with the reason of each refusal; it may be nil.
	OnRefused func(refusal.Reason)
	// OnPanic is called after a panic in the handling of a request; it may be nil.
	OnPanic func(value any, stack []byte)
}

// Server is the HTTP handler for callers.
type Server struct {
	cfg Config
	app *iris.Application
}

// Size limits of request headers and paths.
const (
	maxIdempotencyKeyBytes = 128
	maxPathBytes           = 2048
	// maxHeaderBytes limits the names and values of the header. The limit of the HTTP server must be higher, since its
	// error response has no errorBody.
	maxHeaderBytes = 32 << 10
)

const teamContextKey = "team"

// servicesPath is the prefix of the paths of plain services.
const servicesPath = "/services/"

// NewServer returns a server with its routes.
func NewServer(cfg Config) (*Server, error) {
	if cfg.Incoming == nil {
		cfg.Incoming = memory.NewIncoming(memory.NewLimiter(0))
	}
	s := &Server{cfg: cfg, app: iris.New()}
	s.app.Logger().SetLevel("disable")
	s.app.Get("/healthz", func(ctx iris.Context) { _, _ = ctx.WriteString("ok\n") })
	s.app.Get("/readyz", s.handleReady)
	s.app.Use(s.recoverPanic, s.checkHeader)

	// Each middleware either writes an error response itself or passes the request on.
	v1 := s.app.Party("/v1", s.requireAccepting, s.authenticate)
	v1.Get("/models", s.listModels)
	v1.Get("/models/{model:string}", s.getModel)
	v1.Post("/chat/completions", s.checkIdempotencyKey, s.handleCompletion(RouteChat))
	v1.Post("/completions", s.checkIdempotencyKey, s.handleCompletion(RouteCompletion))
	services := s.app.Party("/services", s.requireAccepting, s.authenticate, s.checkIdempotencyKey)
	services.Any("/{service:string}", s.callService)
	services.Any("/{service:string}/{path:path}", s.callService)
	s.app.OnErrorCode(iris.StatusNotFound, s.handleNotFound)
	s.app.OnErrorCode(iris.StatusMethodNotAllowed, s.handleWrongMethod)
	// Path correction is off: it would answer with a redirect, and a trailing slash belongs to the path of a service.
	s.app.Configure(iris.WithFireMethodNotAllowed, iris.WithoutPathCorrection)
	if err := s.app.Build(); err != nil {
		return nil, eris.Wrap(err, "build routes")
	}
	return s, nil
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.app.ServeHTTP(w, r)
}

func (s *Server) handleReady(ctx iris.Context) {
	if refused := s.cfg.Gateway.CheckReady(); refused != nil {
		s.writeError(ctx, refused)
		return
	}
	_, _ = ctx.WriteString("ready\n")
}

func (s *Server) recoverPanic(ctx iris.Context) {
	defer func() {
		if p := recover(); p != nil {
			s.writeError(ctx, s.reportPanic(p))
		}
	}()
	ctx.Next()
}

// reportPanic reports a panic to [Config.OnPanic] and returns the error for the caller, without the panic's value.
func (s *Server) reportPanic(value any) *refusal.Error {
	if s.cfg.OnPanic != nil {
		s.cfg.OnPanic(value, debug.Stack())
	}
	return refusal.New(refusal.ServerFailed, "internal error").WithExecution(refusal.Unknown)
}

func (s *Server) checkHeader(ctx iris.Context) {
	n := 0
	for name, values := range ctx.Request().Header {
		for _, v := range values {
			n += len(name) + len(v)
		}
	}
	if n > maxHeaderBytes {
		s.writeError(ctx, refusal.New(refusal.HeaderTooLarge, "the header is larger than %d bytes", maxHeaderBytes))
		return
	}
	ctx.Next()
}

func (s *Server) requireAccepting(ctx iris.Context) {
	if refused := s.cfg.Gateway.CheckAccepting(); refused != nil {
		// The load balancer must not reuse the connection while the process drains.
		ctx.Header("Connection", "close")
		s.writeError(ctx, refused)
		return
	}
	ctx.Next()
}

func (s *Server) authenticate(ctx iris.Context) {
	key, ok := strings.CutPrefix(ctx.GetHeader("Authorization"), "Bearer ")
	if !ok {
		s.writeError(ctx, refusal.New(refusal.InvalidAPIKey, "the Authorization header must be: Bearer KEY"))
		return
	}
	team, ok := s.cfg.Gateway.Authenticate(strings.TrimSpace(key))
	if !ok {
		s.writeError(ctx, refusal.New(refusal.InvalidAPIKey, "the key belongs to no team"))
		return
	}
	ctx.Values().Set(teamContextKey, team)
	ctx.Next()
}

func (s *Server) checkIdempotencyKey(ctx iris.Context) {
	key := ctx.GetHeader(HeaderIdempotencyKey)
	if len(key) > maxIdempotencyKeyBytes {
		s.writeError(ctx, refusal.New(refusal.BadRequest, "%s is longer than %d bytes", HeaderIdempotencyKey, maxIdempotencyKeyBytes))
		return
	}
	// Other bytes can't be stored unchanged in the JSON of the log records.
	if strings.ContainsFunc(key, func(r rune) bool { return r < ' ' || r > '~' }) {
		s.writeError(ctx, refusal.New(refusal.BadRequest, "%s has characters other than printable ASCII", HeaderIdempotencyKey))
		return
	}
	ctx.Next()
}

func (s *Server) handleCompletion(route Route) iris.Handler {
	return func(ctx iris.Context) {
		reception := s.beginReception(ctx)
		defer reception.Release()
		body, err := s.readBody(ctx, reception)
		if err == nil && reception.Grow(decodedBytes(body)) != nil {
			err = s.refuseFull()
		}
		if err != nil {
			s.writeError(ctx, refusal.From(err))
			return
		}
		c, err := DecodeCompletion(route, body)
		if err != nil {
			s.writeError(ctx, refusal.From(err))
			return
		}
		c.IdempotencyKey = ctx.GetHeader(HeaderIdempotencyKey)
		s.runCompletion(ctx, c)
	}
}

func (s *Server) runCompletion(ctx iris.Context, c *CompletionRequest) {
	out := newCompletionWriter(ctx, c, s.cfg)
	err := s.complete(ctx, c, out)
	if err == nil {
		return
	}
	refused := refusal.From(err)
	if out.started {
		out.abort(refused)
		return
	}
	s.writeError(ctx, refused)
}

// complete calls the gateway and turns a panic into an error, so that a stream that has begun gets an error event.
func (s *Server) complete(ctx iris.Context, c *CompletionRequest, out *completionWriter) (err error) {
	defer func() {
		if p := recover(); p != nil {
			err = s.reportPanic(p)
		}
	}()
	return s.cfg.Gateway.Complete(ctx.Request().Context(), teamOf(ctx), c, out)
}

func (s *Server) callService(ctx iris.Context) {
	path := "/" + ctx.Params().Get("path")
	if len(path) > maxPathBytes {
		s.writeError(ctx, refusal.New(refusal.BadRequest, "the path is longer than %d bytes", maxPathBytes))
		return
	}
	reception := s.beginReception(ctx)
	defer reception.Release()
	body, err := s.readBody(ctx, reception)
	if err != nil {
		s.writeError(ctx, refusal.From(err))
		return
	}
	answer, err := s.cfg.Gateway.Service(ctx.Request().Context(), teamOf(ctx), &ServiceCall{
		Service:        ctx.Params().Get("service"),
		Method:         ctx.Method(),
		Path:           path,
		RawQuery:       ctx.Request().URL.RawQuery,
		Header:         ctx.Request().Header,
		Body:           body,
		IdempotencyKey: ctx.GetHeader(HeaderIdempotencyKey),
	})
	if err != nil {
		s.writeError(ctx, refusal.From(err))
		return
	}
	if answer.Release != nil {
		defer answer.Release()
	}
	s.writeServiceAnswer(ctx, answer)
}

// The answer of a plain service is written in pieces of answerPieceBytes, each of which may block for answerTimeout.
const (
	answerPieceBytes = 64 << 10
	answerTimeout    = 30 * time.Second
)

func (s *Server) writeServiceAnswer(ctx iris.Context, answer *ServiceAnswer) {
	for name, values := range answer.Header {
		for _, v := range values {
			ctx.ResponseWriter().Header().Add(name, v)
		}
	}
	if answer.Replayed {
		ctx.Header(HeaderReplayed, "true")
	}
	if answer.BodyOmitted {
		ctx.Header(HeaderBodyOmitted, "true")
	}
	if answer.Status >= http.StatusBadRequest {
		ctx.Header(HeaderExecution, string(refusal.Ran))
	}
	ctx.StatusCode(answer.Status)
	control := http.NewResponseController(ctx.ResponseWriter().Naive())
	for piece := range slices.Chunk(answer.Body, answerPieceBytes) {
		_ = control.SetWriteDeadline(s.cfg.Now().Add(answerTimeout))
		if _, err := ctx.Write(piece); err != nil {
			break
		}
	}
	// Otherwise iris would replace an error response without a body by its own page.
	ctx.StopExecution()
}

// beginReception returns the count of what a request holds. A request that is ended for others fails to be read.
func (s *Server) beginReception(ctx iris.Context) *memory.Reception {
	control := http.NewResponseController(ctx.ResponseWriter().Naive())
	return s.cfg.Incoming.Begin(s.cfg.Now, func() { _ = control.SetReadDeadline(time.Now()) })
}

func (s *Server) refuseFull() *refusal.Error {
	return refusal.New(refusal.MemoryFull, "this entry VM holds too many bytes for open requests").WithRetryAt(s.cfg.Now().Add(time.Second))
}

func (s *Server) readBody(ctx iris.Context, reception *memory.Reception) ([]byte, error) {
	control := http.NewResponseController(ctx.ResponseWriter().Naive())
	_ = control.SetReadDeadline(s.cfg.Now().Add(s.cfg.BodyTimeout))
	limit := s.cfg.MaxBodyBytes()
	body := inbound.Buffer{Holding: reception, Expected: ctx.Request().ContentLength}
	limited := http.MaxBytesReader(ctx.ResponseWriter().Naive(), ctx.Request().Body, limit)
	err := body.ReadAll(inbound.NewMeteredReader(limited, reception), limit)
	complete := reception.Complete()
	if err != nil || !complete {
		// The read deadline stays and the connection is closed, since net/http would otherwise read the rest of the
		// body before it sends the response.
		ctx.Header("Connection", "close")
	}
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil && complete:
		_ = control.SetReadDeadline(time.Time{})
		return body.Bytes, nil
	case errors.Is(err, memory.ErrFull):
		return nil, s.refuseFull()
	case errors.As(err, &tooLarge):
		return nil, refusal.New(refusal.TooLarge, "the body is larger than %d bytes", limit)
	case errors.Is(err, os.ErrDeadlineExceeded), !complete:
		return nil, refusal.New(refusal.BodyTimeout, "the body did not arrive within %s", s.cfg.BodyTimeout)
	default:
		return nil, refusal.New(refusal.CallerGone, "the body could not be read: %v", err)
	}
}

func (s *Server) handleNotFound(ctx iris.Context) {
	if ctx.ResponseWriter().Written() > 0 {
		return
	}
	s.writeError(ctx, refusal.New(refusal.UnknownRoute, "no such route: %s %s", ctx.Method(), ctx.Path()))
}

func (s *Server) handleWrongMethod(ctx iris.Context) {
	if ctx.ResponseWriter().Written() > 0 {
		return
	}
	s.writeError(ctx, refusal.New(refusal.MethodNotAllowed, "the route %s does not take %s", ctx.Path(), ctx.Method()))
}

func teamOf(ctx iris.Context) Team {
	t, _ := ctx.Values().Get(teamContextKey).(Team)
	return t
}
