package entry

import (
	"context"
	"errors"
	"net/http"

	"github.com/rotisserie/eris"

	"ibiswinch/core/config"
	"ibiswinch/core/memory"
	"ibiswinch/core/order"
	"ibiswinch/core/refusal"
	"ibiswinch/core/retry"
	"ibiswinch/core/routing"
	"ibiswinch/io/openai"
	"ibiswinch/io/service"
)

// serviceCall is one request to a plain service, one that isn't a model.
type serviceCall struct {
	vm       *VM
	call     *openai.ServiceCall
	service  config.Service
	excluded []string
	attempts int
	// idempotent calls may run more than once.
	idempotent bool
	// mayHaveRun is set once an attempt has failed without proof that the server did not run the call.
	mayHaveRun bool
	// holding counts the answer until it is written.
	holding *memory.Holding
}

// Service implements openai.Gateway.
func (vm *VM) Service(ctx context.Context, team openai.Team, call *openai.ServiceCall) (*openai.ServiceAnswer, error) {
	svc, ok := vm.configs.active().config.Service(call.Service)
	if !ok {
		return nil, refusal.New(refusal.UnknownService, "the service %q does not exist", call.Service)
	}
	end, err := vm.beginRequest(team.Name)
	if err != nil {
		return nil, err
	}
	defer end()
	n := int64(len(call.Body)) + requestOverheadBytes
	if !vm.memory.Admit(n) {
		return nil, vm.refuseFull()
	}
	defer vm.memory.Release(n)
	vm.quarantine.countRequest()
	c := &serviceCall{
		vm: vm, call: call, service: svc, idempotent: svc.IsIdempotent(call.Method, call.Path), holding: vm.memory.NewHolding(),
	}
	var answer *openai.ServiceAnswer
	if c.idempotent {
		answer, err = c.runIdempotent(ctx)
	} else {
		answer, err = c.runOrder(team)
	}
	vm.countOutcome(team.Name, err)
	if err != nil {
		c.holding.Release()
		return nil, err
	}
	answer.Release = c.holding.Release
	return answer, nil
}

// runIdempotent sends the call to one server after the other until one answers.
func (c *serviceCall) runIdempotent(ctx context.Context) (*openai.ServiceAnswer, error) {
	ctx, stop := c.vm.untilGivenUp(ctx)
	defer stop()
	ctx, cancel := context.WithDeadline(ctx, c.vm.cfg.Now().Add(c.service.Timeout))
	defer cancel()
	for {
		result, err := c.send(ctx)
		if err == nil {
			return &openai.ServiceAnswer{Status: result.Status, Header: result.Header, Body: result.Body}, nil
		}
		if refused := c.finalRefusal(err); refused != nil {
			return nil, c.withExecution(refused)
		}
		if errors.Is(context.Cause(ctx), errStopping) {
			return nil, c.refuseStopping()
		}
		if ctx.Err() != nil {
			return nil, c.withExecution(refusal.New(refusal.DeadlinePassed, "no answer within %s", c.service.Timeout))
		}
		notRun := eris.Is(err, service.ErrNotRun)
		decision := c.vm.quarantine.decideRetry(c.vm.cfg.Now(), retry.Attempt{
			Count: c.attempts, Idempotent: true, NotRun: notRun, Deadline: c.vm.cfg.Now().Add(c.service.Timeout),
		})
		if decision != retry.Retry {
			return nil, c.withExecution(refusal.New(refusal.ServerFailed, "the backend server failed: %v", err))
		}
	}
}

// refuseStopping returns the refusal of a call that a planned stop has given up.
func (c *serviceCall) refuseStopping() error {
	if c.mayHaveRun {
		return c.vm.stoppingRefusal(refusal.Unknown)
	}
	return c.vm.stoppingRefusal(refusal.NotRun)
}

// finalRefusal returns the refusal for an error that a retry at another server can't avoid, or nil.
func (c *serviceCall) finalRefusal(err error) *refusal.Error {
	var refused *refusal.Error
	switch {
	case errors.As(err, &refused):
		return refused
	case eris.Is(err, service.ErrInvalidRequest):
		return refusal.New(refusal.BadRequest, "%v", err)
	case eris.Is(err, service.ErrNotHeld):
		c.vm.closeStalled()
		return refusal.New(refusal.ServerFailed, "%v", err).WithExecution(refusal.Ran)
	case eris.Is(err, service.ErrTooLarge):
		return refusal.New(refusal.ServerFailed, "%v", err).WithExecution(refusal.Ran)
	}
	return nil
}

func (c *serviceCall) withExecution(refused *refusal.Error) error {
	if c.mayHaveRun && refused.Execution == refusal.NotRun {
		refused.Execution = refusal.Unknown
	}
	return refused
}

// runOrder sends a call that isn't idempotent (an order) once, after its idempotency key is claimed in the log.
func (c *serviceCall) runOrder(team openai.Team) (*openai.ServiceAnswer, error) {
	if c.call.IdempotencyKey == "" {
		return nil, refusal.New(refusal.IdempotencyKeyRequired, "%s is required: %s %s may not run twice", openai.HeaderIdempotencyKey, c.call.Method, c.call.Path)
	}
	id, err := order.NewID(team.Name, c.call.IdempotencyKey)
	if err != nil {
		return nil, refusal.New(refusal.BadRequest, "%s: %v", openai.HeaderIdempotencyKey, err)
	}
	now := c.vm.cfg.Now()
	request := order.Request{
		Order:       id,
		Fingerprint: order.NewFingerprint(c.call.Service, c.call.Method, c.requestURI(), c.call.Body),
		Deadline:    now.Add(c.service.Timeout),
		AnswerBy:    now.Add(c.service.Timeout + withdrawalGrace),
	}
	answer := c.vm.orders.run(team.Name, c.vm.hasManyTeams(), request, c.dispatch)
	if refused := orderRefusal(answer, c.vm.cfg.Now()); refused != nil {
		return nil, refused
	}
	return toServiceAnswer(answer.Result, answer.Replayed), nil
}

// requestURI returns the path and query of the call.
func (c *serviceCall) requestURI() string {
	if c.call.RawQuery == "" {
		return c.call.Path
	}
	return c.call.Path + "?" + c.call.RawQuery
}

// dispatch sends an order to a server that hasn't been tried yet.
func (c *serviceCall) dispatch(ctx context.Context) (order.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, c.service.Timeout)
	defer cancel()
	answer, err := c.send(ctx)
	if err != nil {
		if refused := c.finalRefusal(err); refused != nil && refused.Execution == refusal.NotRun {
			return order.Result{}, errNoOtherServer
		}
		return order.Result{}, err
	}
	return order.Result{Status: answer.Status, ContentType: answer.Header.Get("Content-Type"), Body: answer.Body}, nil
}

// send makes one attempt at a server.
func (c *serviceCall) send(ctx context.Context) (service.Response, error) {
	placed, err := c.place(ctx)
	if err != nil {
		return service.Response{}, err
	}
	c.attempts++
	client := c.vm.servers.serviceClient(placed.Server)
	if client == nil {
		c.vm.servers.release(c.vm.cfg.Now(), placed.ID, routing.Outcome{})
		return service.Response{}, refusal.New(refusal.NoServer, "the backend server left")
	}
	answer, err := client.Do(ctx, service.Request{
		Method: c.call.Method, Path: c.requestURI(), Header: c.call.Header, Body: c.call.Body, Holding: c.holding,
	})
	failed := err != nil && ctx.Err() == nil
	c.vm.servers.release(c.vm.cfg.Now(), placed.ID, routing.Outcome{Failed: failed})
	if err != nil {
		c.excluded = append(c.excluded, placed.Server)
		c.mayHaveRun = c.mayHaveRun || !eris.Is(err, service.ErrNotRun) && !eris.Is(err, service.ErrInvalidRequest)
		return service.Response{}, err
	}
	if answer.Draining {
		c.vm.servers.markDraining(placed.Server)
	}
	return answer, nil
}

// place chooses a server. An order is never sent to a server that has failed it, an idempotent call only if there is no
// other.
func (c *serviceCall) place(ctx context.Context) (routing.Placement, error) {
	place := func(failed []string, wait bool) (routing.Placement, error) {
		return c.vm.servers.placeServiceCall(ctx, c.service.Name, failed, wait)
	}
	if !c.idempotent {
		return place(c.excluded, true)
	}
	return placeUnlessFailed(c.excluded, true, place)
}

func toServiceAnswer(r order.Result, replayed bool) *openai.ServiceAnswer {
	header := http.Header{}
	if r.ContentType != "" {
		header.Set("Content-Type", r.ContentType)
	}
	return &openai.ServiceAnswer{Status: r.Status, Header: header, Body: r.Body, Replayed: replayed, BodyOmitted: r.Omitted}
}
