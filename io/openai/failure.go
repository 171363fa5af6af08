package openai

import (
	"math"
	"net/http"
	"strconv"
	"strings"

	"github.com/kataras/iris/v12"

	"ibiswinch/core/refusal"
)

// envelope is the customary error body of the protocol.
type envelope struct {
	Error envelopeError `json:"error"`
}

type envelopeError struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	Param   any    `json:"param"`
}

type failure struct {
	status   int
	category string
	code     string
}

// failures maps each reason to the protocol's status, type and code. Client libraries repeat 409, 429 and 5xx by
// themselves, with the same body and headers.
var failures = map[refusal.Reason]failure{
	refusal.BadRequest:        {http.StatusBadRequest, "invalid_request_error", "bad_request"},
	refusal.UnknownRoute:      {http.StatusNotFound, "invalid_request_error", "route_not_found"},
	refusal.WrongMethod:       {http.StatusMethodNotAllowed, "invalid_request_error", "method_not_allowed"},
	refusal.BadKey:            {http.StatusUnauthorized, "invalid_request_error", "invalid_api_key"},
	refusal.UnknownModel:      {http.StatusNotFound, "invalid_request_error", "model_not_found"},
	refusal.UnknownService:    {http.StatusNotFound, "invalid_request_error", "service_not_found"},
	refusal.BodyTimeout:       {http.StatusRequestTimeout, "invalid_request_error", "body_timeout"},
	refusal.HeaderTooLarge:    {http.StatusRequestHeaderFieldsTooLarge, "invalid_request_error", "header_too_large"},
	refusal.TooLarge:          {http.StatusRequestEntityTooLarge, "invalid_request_error", "request_too_large"},
	refusal.BudgetExhausted:   {http.StatusTooManyRequests, "insufficient_quota", "insufficient_quota"},
	refusal.BudgetUnavailable: {http.StatusServiceUnavailable, "server_error", "budget_unavailable"},
	refusal.NoCapacity:        {http.StatusServiceUnavailable, "server_error", "no_capacity"},
	refusal.NoServer:          {http.StatusServiceUnavailable, "server_error", "no_server"},
	refusal.MemoryFull:        {http.StatusServiceUnavailable, "server_error", "memory_full"},
	refusal.BillsFull:         {http.StatusServiceUnavailable, "server_error", "bills_full"},
	refusal.Quarantined:       {http.StatusUnprocessableEntity, "invalid_request_error", "request_quarantined"},
	refusal.Draining:          {http.StatusServiceUnavailable, "server_error", "draining"},
	refusal.Overloaded:        {http.StatusServiceUnavailable, "server_error", "overloaded"},
	refusal.NotReady:          {http.StatusServiceUnavailable, "server_error", "not_ready"},
	refusal.KeyRequired:       {http.StatusBadRequest, "invalid_request_error", "idempotency_key_required"},
	refusal.KeyConflict:       {http.StatusUnprocessableEntity, "invalid_request_error", "idempotency_key_reused"},
	refusal.OrderUnconfirmed:  {http.StatusServiceUnavailable, "server_error", "order_unconfirmed"},
	refusal.OrderPending:      {http.StatusConflict, "server_error", "order_pending"},
	refusal.ServerFailed:      {http.StatusBadGateway, "server_error", "backend_failed"},
	refusal.DeadlinePassed:    {http.StatusGatewayTimeout, "server_error", "timeout"},
	refusal.CallerGone:        {statusClientClosed, "server_error", "caller_gone"},
}

// statusClientClosed is the customary status for a caller that went away; nobody reads it.
const statusClientClosed = 499

// defaultRetrySeconds is sent with 429 and 503 when the refusal names no time.
const defaultRetrySeconds = 1

func (s *Server) fail(ctx iris.Context, refused *refusal.Error) {
	if s.cfg.Refused != nil {
		s.cfg.Refused(refused.Reason)
	}
	f, ok := failures[refused.Reason]
	if !ok {
		f = failures[refusal.ServerFailed]
	}
	ctx.Header(HeaderExecution, string(executionOf(ctx.Request(), refused)))
	if f.status == http.StatusTooManyRequests || f.status == http.StatusServiceUnavailable {
		ctx.Header("Retry-After", strconv.Itoa(s.retrySeconds(refused)))
	}
	ctx.StatusCode(f.status)
	_ = ctx.JSON(newEnvelope(refused))
	ctx.StopExecution()
}

// executionOf returns what the caller of r is told. An earlier request with the same key may have run an order, so only
// the order logic, which reads the claims of the key, can say that it did not run. All refusals pass here, also those
// of the filters that come before the order logic.
func executionOf(r *http.Request, refused *refusal.Error) refusal.Execution {
	if refused.Execution != refusal.NotRun || r.Header.Get(HeaderIdempotency) == "" || !strings.HasPrefix(r.URL.Path, servicesPath) {
		return refused.Execution
	}
	switch refused.Reason {
	case refusal.OrderUnconfirmed, refusal.KeyConflict:
		return refusal.NotRun
	}
	return refusal.Unknown
}

func (s *Server) retrySeconds(refused *refusal.Error) int {
	if refused.RetryAt.IsZero() {
		return defaultRetrySeconds
	}
	wait := refused.RetryAt.Sub(s.cfg.Now())
	return max(defaultRetrySeconds, int(math.Ceil(wait.Seconds())))
}

func newEnvelope(refused *refusal.Error) envelope {
	f, ok := failures[refused.Reason]
	if !ok {
		f = failures[refusal.ServerFailed]
	}
	return envelope{Error: envelopeError{Message: refused.Message, Type: f.category, Code: f.code}}
}
