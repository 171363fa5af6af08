package openai

import (
	"math"
	"net/http"
	"strconv"
	"strings"

	"github.com/kataras/iris/v12"

	"ibiswinch/core/refusal"
)

// errorBody is the JSON body of an error response of the OpenAI API.
type errorBody struct {
	Error errorDetails `json:"error"`
}

type errorDetails struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	Param   any    `json:"param"`
}

type errorResponse struct {
	status    int
	errorType string
	code      string
}

// errorResponses maps each reason to the status, type and code of the OpenAI API. Client libraries retry by themselves
// after 409, 429 and 5xx, with the same body and headers.
var errorResponses = map[refusal.Reason]errorResponse{
	refusal.BadRequest:             {http.StatusBadRequest, "invalid_request_error", "bad_request"},
	refusal.UnknownRoute:           {http.StatusNotFound, "invalid_request_error", "route_not_found"},
	refusal.MethodNotAllowed:       {http.StatusMethodNotAllowed, "invalid_request_error", "method_not_allowed"},
	refusal.InvalidAPIKey:          {http.StatusUnauthorized, "invalid_request_error", "invalid_api_key"},
	refusal.UnknownModel:           {http.StatusNotFound, "invalid_request_error", "model_not_found"},
	refusal.UnknownService:         {http.StatusNotFound, "invalid_request_error", "service_not_found"},
	refusal.BodyTimeout:            {http.StatusRequestTimeout, "invalid_request_error", "body_timeout"},
	refusal.HeaderTooLarge:         {http.StatusRequestHeaderFieldsTooLarge, "invalid_request_error", "header_too_large"},
	refusal.TooLarge:               {http.StatusRequestEntityTooLarge, "invalid_request_error", "request_too_large"},
	refusal.BudgetExhausted:        {http.StatusTooManyRequests, "insufficient_quota", "insufficient_quota"},
	refusal.BudgetUnavailable:      {http.StatusServiceUnavailable, "server_error", "budget_unavailable"},
	refusal.NoCapacity:             {http.StatusServiceUnavailable, "server_error", "no_capacity"},
	refusal.NoServer:               {http.StatusServiceUnavailable, "server_error", "no_server"},
	refusal.MemoryFull:             {http.StatusServiceUnavailable, "server_error", "memory_full"},
	refusal.PendingBillsFull:       {http.StatusServiceUnavailable, "server_error", "bills_full"},
	refusal.Quarantined:            {http.StatusUnprocessableEntity, "invalid_request_error", "request_quarantined"},
	refusal.Draining:               {http.StatusServiceUnavailable, "server_error", "draining"},
	refusal.Overloaded:             {http.StatusServiceUnavailable, "server_error", "overloaded"},
	refusal.LateArrival:            {http.StatusServiceUnavailable, "server_error", "late_arrival"},
	refusal.NotReady:               {http.StatusServiceUnavailable, "server_error", "not_ready"},
	refusal.IdempotencyKeyRequired: {http.StatusBadRequest, "invalid_request_error", "idempotency_key_required"},
	refusal.IdempotencyKeyConflict: {http.StatusUnprocessableEntity, "invalid_request_error", "idempotency_key_reused"},
	refusal.OrderUnconfirmed:       {http.StatusServiceUnavailable, "server_error", "order_unconfirmed"},
	refusal.OrderPending:           {http.StatusConflict, "server_error", "order_pending"},
	refusal.ServerFailed:           {http.StatusBadGateway, "server_error", "backend_failed"},
	refusal.DeadlinePassed:         {http.StatusGatewayTimeout, "server_error", "timeout"},
	refusal.CallerGone:             {statusClientClosedRequest, "server_error", "caller_gone"},
}

// statusClientClosedRequest is a non-standard but common status for a caller that has closed the connection. The caller
// doesn't see it.
const statusClientClosedRequest = 499

// defaultRetryAfterSeconds is the least Retry-After of 429 and 503, and the one used if the refusal has no retry time.
const defaultRetryAfterSeconds = 1

func (s *Server) writeError(ctx iris.Context, refused *refusal.Error) {
	if s.cfg.OnRefused != nil {
		s.cfg.OnRefused(refused.Reason)
	}
	response, ok := errorResponses[refused.Reason]
	if !ok {
		response = errorResponses[refusal.ServerFailed]
	}
	ctx.Header(HeaderExecution, string(executionOf(ctx.Request(), refused)))
	if response.status == http.StatusTooManyRequests || response.status == http.StatusServiceUnavailable {
		ctx.Header("Retry-After", strconv.Itoa(s.retryAfterSeconds(refused)))
	}
	ctx.StatusCode(response.status)
	_ = ctx.JSON(newErrorBody(refused))
	ctx.StopExecution()
}

// executionOf returns whether the request ran, as the caller is told. An earlier request with the same key may have run
// an order, so only the order logic, which reads the claims of the key, can say that it did not run. All refusals pass
// through here, also those of the middleware that runs before the order logic.
func executionOf(r *http.Request, refused *refusal.Error) refusal.Execution {
	if refused.Execution != refusal.NotRun || r.Header.Get(HeaderIdempotencyKey) == "" || !strings.HasPrefix(r.URL.Path, servicesPath) {
		return refused.Execution
	}
	switch refused.Reason {
	case refusal.OrderUnconfirmed, refusal.IdempotencyKeyConflict:
		return refusal.NotRun
	}
	return refusal.Unknown
}

func (s *Server) retryAfterSeconds(refused *refusal.Error) int {
	if refused.RetryAt.IsZero() {
		return defaultRetryAfterSeconds
	}
	wait := refused.RetryAt.Sub(s.cfg.Now())
	return max(defaultRetryAfterSeconds, int(math.Ceil(wait.Seconds())))
}

func newErrorBody(refused *refusal.Error) errorBody {
	response, ok := errorResponses[refused.Reason]
	if !ok {
		response = errorResponses[refusal.ServerFailed]
	}
	return errorBody{Error: errorDetails{Message: refused.Message, Type: response.errorType, Code: response.code}}
}
