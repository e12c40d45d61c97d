// Package front serves callers over HTTP: it validates and admits their requests,
// has them executed, and writes the answers.
package front

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fasthttp/router"
	"github.com/phuslu/log"
	"github.com/valyala/fasthttp"

	"wigeonplank.example/base/wait"
	"wigeonplank.example/core/admit"
	"wigeonplank.example/core/route"
	"wigeonplank.example/core/stage"
	"wigeonplank.example/core/ticket"
	"wigeonplank.example/entry/ctrl"
	"wigeonplank.example/entry/exec"
)

const (
	// DefaultMaxBodyBytes is the limit on a request's body if Server sets none.
	DefaultMaxBodyBytes = 256 << 10
	// DefaultMaxConns is the limit on concurrent connections if Server sets none.
	DefaultMaxConns = 8192

	readTimeout        = 10 * time.Second
	writeTimeout       = 60 * time.Second
	idleTimeout        = 90 * time.Second // limit for a connection without a request
	maxHeaderBytes     = 16 << 10
	settleTimeout      = 2 * time.Second        // limit for all agents of a ticket to report its outcome
	notReadyRetryAfter = 500 * time.Millisecond // sent to callers while the view is not confirmed
	stoppingRetryAfter = time.Second            // sent to callers while the entry is stopping, and when an unanswered request has no delay of its own
	idleCheckInterval  = 20 * time.Millisecond  // between checks for requests in flight during a shutdown
	answerPeriod       = 300 * time.Millisecond // at the end of a shutdown: executions have ended, their tickets are voided and responses written
	drainPeriod        = 200 * time.Millisecond // at the end of a shutdown, for connections and requests that callers have sent already
	maxStackBytes      = 4 << 10                // of a logged stack trace
	writePeriod        = 100 * time.Millisecond // part of answerPeriod in which responses are written
)

// TicketHeader is the request header that carries a ticket.
const TicketHeader = "Wigeonplank-Ticket"

// Server serves callers' requests. Set the exported fields before Serve.
type Server struct {
	Control      *ctrl.Control
	Executor     *exec.Executor
	Tickets      *exec.Tickets
	Log          *log.Logger
	MaxBodyBytes int
	MaxConns     int
	TLS          *tls.Config // nil: plain TCP
	NoFairShare  bool        // baseline for measurements: no admission control by team shares

	callers   atomic.Pointer[callers]
	served    chan struct{} // closed when no connection is accepted any more; set with callers
	limiters  sync.Map      // *admit.Limiter by pipeline name
	stopping  atomic.Bool   // reported as not ready
	rejecting atomic.Bool   // new requests are rejected
	inFlight  atomic.Int64  // handlers, and executions and writers of streams, in flight
	queries   lifetime      // of queries to agents about tickets
}

// lifetime is a context that ends once. Its zero value has not ended.
type lifetime struct {
	once   sync.Once
	ctx    context.Context
	cancel context.CancelFunc
}

// get returns the context.
func (l *lifetime) get() context.Context {
	l.once.Do(func() { l.ctx, l.cancel = context.WithCancel(context.Background()) })
	return l.ctx
}

// end ends the context.
func (l *lifetime) end() {
	l.get()
	l.cancel()
}

// Serve serves callers on ln until Stop. It blocks.
func (s *Server) Serve(ln net.Listener) error {
	r := router.New()
	r.POST("/v1/pipelines/{pipeline}", s.countInFlight(s.handleCall))
	r.POST("/v1/pipelines/{pipeline}/tickets", s.countInFlight(s.handleNewTicket))
	r.GET("/v1/tickets/{ticket}", s.countInFlight(s.handleOutcome))
	r.GET("/healthz", func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ok\n") })
	r.GET("/readyz", func(ctx *fasthttp.RequestCtx) {
		ok, reason := s.Ready()
		if !ok {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
		ctx.SetBodyString(reason + "\n")
	})
	r.NotFound = func(ctx *fasthttp.RequestCtx) {
		problem{Status: fasthttp.StatusNotFound, Title: "no such page", Outcome: stage.OutcomeNotRun}.write(ctx)
	}
	maxBody, maxConns := s.MaxBodyBytes, s.MaxConns
	if maxBody == 0 {
		maxBody = DefaultMaxBodyBytes
	}
	if maxConns == 0 {
		maxConns = DefaultMaxConns
	}
	srv := &fasthttp.Server{
		Handler:               s.closeRejected(s.recoverPanics(r.Handler)),
		ReadTimeout:           readTimeout,
		WriteTimeout:          writeTimeout,
		IdleTimeout:           idleTimeout,
		ReadBufferSize:        maxHeaderBytes,
		MaxRequestBodySize:    maxBody,
		Concurrency:           maxConns,
		NoDefaultServerHeader: true,
		ErrorHandler:          s.writeReadError,
	}
	l := &callers{Listener: ln, OnLate: func() { s.Log.Info().Msg("bytes of a caller were read after their time") }}
	s.served = make(chan struct{})
	defer close(s.served)
	s.callers.Store(l)
	ln = l
	if s.TLS != nil {
		ln = tls.NewListener(ln, s.TLS)
	}
	if err := srv.Serve(ln); err != nil {
		return fmt.Errorf("serve callers: %w", err)
	}
	return nil
}

// writeReadError answers a request that isn't valid HTTP, exceeds a limit, or has not arrived
// whole in time.
func (s *Server) writeReadError(ctx *fasthttp.RequestCtx, err error) {
	p := problem{Status: fasthttp.StatusBadRequest, Title: "the request can't be read", Outcome: stage.OutcomeNotRun}
	var smallBuffer *fasthttp.ErrSmallBuffer
	var netErr net.Error
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		p.Status = fasthttp.StatusRequestEntityTooLarge
		p.Title = "the body is too large"
	case errors.As(err, &smallBuffer):
		p.Status = fasthttp.StatusRequestHeaderFieldsTooLarge
		p.Title = "the headers are too large"
	case errors.As(err, &netErr) && netErr.Timeout() && s.stopping.Load():
		p.Status = fasthttp.StatusServiceUnavailable
		p.Title = "this entry is stopping"
		p.Cause = string(stage.CauseStopping)
		p.RetryAfter = stoppingRetryAfter
		s.voidTicket(ctx, &p, time.Time{})
	}
	p.write(ctx)
}

// Ready reports whether this entry should receive new requests, and the reason if
// it should not.
func (s *Server) Ready() (bool, string) {
	switch {
	case s.stopping.Load():
		return false, "stopping"
	case !s.Control.ViewConfirmed():
		return false, "waiting for the configuration and the instance list"
	default:
		return true, "ready"
	}
}

// Stop shuts the server down gracefully. It reports the server as not ready, still
// accepts requests for acceptPeriod so that the load balancer can notice, then
// rejects new ones and waits for those in flight until ctx ends. Executions end
// answerPeriod before the deadline of ctx, so that each request gets its final answer,
// and requests whose estimates exceed that time are not started. Requests that have arrived by
// then, or by drainPeriod after the last one in flight, are answered, also those on connections
// that were not accepted yet; those that have not arrived whole are rejected. It blocks.
func (s *Server) Stop(ctx context.Context, acceptPeriod time.Duration) error {
	s.stopping.Store(true)
	if end, ok := ctx.Deadline(); ok {
		s.Executor.StopBy(end.Add(-answerPeriod))
		defer time.AfterFunc(time.Until(end.Add(-answerPeriod)), func() { s.drain(time.Now()) }).Stop()
		defer time.AfterFunc(time.Until(end.Add(-writePeriod)), s.queries.end).Stop()
	}
	wait.For(ctx, acceptPeriod)
	s.rejecting.Store(true)
	if err := s.awaitIdle(ctx); err != nil {
		return err
	}
	s.drain(time.Now().Add(drainPeriod))
	l := s.callers.Load()
	if l == nil {
		return nil
	}
	select {
	case <-s.served:
	case <-ctx.Done():
	}
	return l.awaitClosed(ctx)
}

// drain ends the taking of requests that have not arrived whole by end.
func (s *Server) drain(end time.Time) {
	if l := s.callers.Load(); l != nil {
		l.drain(end)
	}
}

// Active returns the number of handlers, executions and response writers in flight.
// A streamed request counts once for its execution and once for its writer.
func (s *Server) Active() int64 { return s.inFlight.Load() }

// closeRejected wraps a handler so that the connection is closed after the response while new
// requests are rejected.
func (s *Server) closeRejected(h fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		h(ctx)
		if s.rejecting.Load() {
			ctx.SetConnectionClose()
		}
	}
}

// countInFlight wraps a handler so that its requests are counted in inFlight.
func (s *Server) countInFlight(h fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		s.beginWork()
		defer s.endWork()
		h(ctx)
	}
}

// recoverPanics wraps a handler so that a panic ends the request, and its connection after the
// response, but not the process with all other requests.
func (s *Server) recoverPanics(h fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		defer func() {
			if v := recover(); v != nil {
				s.logPanic(v)
				ctx.Response.Reset()
				ctx.SetConnectionClose()
				panicProblem.write(ctx)
			}
		}()
		h(ctx)
	}
}

// logPanic logs a recovered panic. It must be called by the function that has recovered it.
func (s *Server) logPanic(v any) {
	stack := debug.Stack()
	s.Log.Error().Str("error", fmt.Sprint(v)).Str("stack", string(stack[:min(len(stack), maxStackBytes)])).Msg("panic: a request was ended")
}

func (s *Server) beginWork() { s.inFlight.Add(1) }

func (s *Server) endWork() { s.inFlight.Add(-1) }

// awaitIdle waits until no request is in flight or ctx ends.
func (s *Server) awaitIdle(ctx context.Context) error {
	for s.inFlight.Load() > 0 {
		wait.For(ctx, idleCheckInterval)
		if ctx.Err() != nil {
			return fmt.Errorf("wait for requests in flight: %w", ctx.Err())
		}
	}
	return nil
}

// limiter returns the admission limiter of a pipeline.
func (s *Server) limiter(pipeline string) *admit.Limiter {
	if l, ok := s.limiters.Load(pipeline); ok {
		return l.(*admit.Limiter)
	}
	l, _ := s.limiters.LoadOrStore(pipeline, &admit.Limiter{})
	return l.(*admit.Limiter)
}

// handleCall answers a request to a pipeline.
func (s *Server) handleCall(ctx *fasthttp.RequestCtx) {
	c, p := s.parseCall(ctx)
	if p == nil {
		p = s.checkAdmission(c)
	}
	if p != nil {
		var deadline time.Time
		if c != nil {
			deadline = c.req.Deadline
		}
		s.voidTicket(ctx, p, deadline)
		p.write(ctx)
		return
	}
	if c.stream {
		s.handleStream(ctx, c)
		return
	}
	var answer []byte
	res := s.execute(c, nil, func(b []byte) { answer = append(answer, b...) })
	s.writeResult(ctx, c, res, answer)
}

// checkAdmission returns the problem to answer a rejected request with, or nil if
// the request is admitted. An admitted request counts towards its team's share
// until execute returns.
func (s *Server) checkAdmission(c *call) *problem {
	p := &problem{
		Status:     fasthttp.StatusServiceUnavailable,
		Outcome:    stage.OutcomeNotRun,
		Request:    c.req.ID,
		routes:     c.routes,
		team:       c.req.Team,
		RetryAfter: notReadyRetryAfter,
	}
	switch {
	case s.rejecting.Load():
		p.Title = "this entry is stopping"
		p.Cause = string(stage.CauseStopping)
		p.RetryAfter = stoppingRetryAfter
		return p
	case !s.Control.ViewConfirmed():
		p.Title = "this entry has no confirmed view of the system yet"
		p.Cause = "view_not_confirmed"
		return p
	case s.NoFairShare:
		return nil
	}
	err := s.limiter(c.req.Pipeline).Acquire(c.req.Team, c.weight)
	var overShare *admit.OverShareError
	if !errors.As(err, &overShare) {
		return nil
	}
	p.Status = fasthttp.StatusTooManyRequests
	p.Title = overShare.Error()
	p.Cause = "over_share"
	p.RetryAfter = overShare.RetryAfter
	return p
}

// voidTicket ensures that the outcome not_run is correct for a rejected request
// that has a ticket, because the caller may have sent it through another entry
// before. If not all serials of the ticket can be voided, the outcome becomes
// unknown. Otherwise the problem gets a new ticket, if one can be issued. deadline is
// the caller's; zero: unknown.
func (s *Server) voidTicket(ctx *fasthttp.RequestCtx, p *problem, deadline time.Time) {
	body, err := ticket.Decode(string(ctx.Request.Header.Peek(TicketHeader)))
	if err != nil || p.Outcome != stage.OutcomeNotRun {
		return // an invalid ticket can't have run anything
	}
	if !s.Executor.VoidTicket(body, deadline) {
		p.Outcome = stage.OutcomeUnknown
		p.Detail = strings.TrimSpace(p.Detail + " Ask what became of the ticket.")
		return
	}
	p.TicketState = string(ticket.StateVoided)
	if p.routes != nil && p.Ticket == "" {
		if text, err := s.Tickets.Issue(s.queries.get(), p.routes, p.team); err == nil {
			p.Ticket = text
		}
	}
}

// execute executes an admitted request and records its end.
func (s *Server) execute(c *call, callerGone <-chan struct{}, emit func([]byte)) exec.Result {
	limiter := s.limiter(c.req.Pipeline)
	if !s.NoFairShare {
		defer limiter.Release(c.req.Team)
	}
	res := s.Executor.Run(&c.req, limiter, callerGone, emit)
	elapsed := time.Since(c.startedAt)
	s.Executor.Stats.RecordRequest(&c.req, res.End, elapsed)
	s.Log.Debug().Str("request", c.req.ID).Str("pipeline", c.req.Pipeline).Str("team", c.req.Team).
		Str("outcome", string(res.End.Outcome)).Str("cause", string(res.End.Cause)).
		Dur("took", elapsed).Err(res.Err).Msg("request ended")
	return res
}

// newRequestID returns a random request ID.
func newRequestID() string {
	var raw [12]byte
	// crypto/rand.Read never fails on the systems that Go supports.
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

// handleNewTicket issues a ticket for a request to a pipeline.
func (s *Server) handleNewTicket(ctx *fasthttp.RequestCtx) {
	body, p := parseTicketBody(ctx)
	if p != nil {
		p.write(ctx)
		return
	}
	t := s.Control.Table()
	routes, p := s.findRoutes(t, ctx, body.Team)
	if p != nil {
		p.write(ctx)
		return
	}
	if routes.Pipeline.Idempotent() {
		fieldProblem("pipeline", "all its stages are idempotent: it takes no ticket").write(ctx)
		return
	}
	if s.rejecting.Load() {
		problem{Status: fasthttp.StatusServiceUnavailable, Title: "this entry is stopping", Cause: string(stage.CauseStopping), RetryAfter: stoppingRetryAfter}.write(ctx)
		return
	}
	text, err := s.Tickets.Issue(s.queries.get(), routes, body.Team)
	if err != nil {
		s.ticketProblem(err).write(ctx)
		return
	}
	writeJSON(ctx, fasthttp.StatusCreated, ticketAnswer{Ticket: text})
}

// ticketProblem returns the answer for a ticket that can't be issued.
func (s *Server) ticketProblem(err error) *problem {
	p := &problem{
		Status:     fasthttp.StatusServiceUnavailable,
		Title:      "no ticket can be had now",
		Detail:     err.Error(),
		Outcome:    stage.OutcomeNotRun,
		Cause:      string(stage.CauseNoEndpoint),
		RetryAfter: time.Second,
	}
	var noEndpoint *route.NoEndpointError
	if errors.As(err, &noEndpoint) {
		p.RetryAfter = noEndpoint.RetryAfter
	}
	return p
}

// handleOutcome settles a ticket and answers with its outcome.
func (s *Server) handleOutcome(ctx *fasthttp.RequestCtx) {
	text, _ := ctx.UserValue("ticket").(string)
	body, err := ticket.Decode(text)
	if err != nil {
		fieldProblem("ticket", err.Error()).write(ctx)
		return
	}
	settleCtx, cancel := context.WithTimeout(s.queries.get(), settleTimeout)
	defer cancel()
	settled, err := s.Tickets.Settle(settleCtx, body)
	if err != nil {
		problem{
			Status:     fasthttp.StatusServiceUnavailable,
			Title:      "the ticket's agent can't be asked now",
			Detail:     err.Error(),
			Outcome:    stage.OutcomeUnknown,
			Cause:      string(stage.CauseLost),
			RetryAfter: time.Second,
		}.write(ctx)
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, newOutcomeAnswer(body.GetPipeline(), settled))
}
