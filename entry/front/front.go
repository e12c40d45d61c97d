// Package front is the entry's side towards callers: HTTP in, HTTP out.
package front

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"net"
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
	"wigeonplank.example/entry/walk"
)

// Limits on callers.
const (
	DefaultMaxBody  = 256 << 10
	DefaultMaxConns = 8192
	readTimeout     = 10 * time.Second
	writeTimeout    = 60 * time.Second
	idleTimeout     = 90 * time.Second
	headerBytes     = 16 << 10
	settleTimeout   = 2 * time.Second
	staleRetry      = 500 * time.Millisecond
	stopRetry       = time.Second
	idleCheck       = 20 * time.Millisecond
)

// TicketHeader carries a ticket.
const TicketHeader = "Wigeonplank-Ticket"

// Server answers callers. Set the exported fields before Serve.
type Server struct {
	Control  *ctrl.Control
	Walker   *walk.Walker
	Tickets  *walk.Tickets
	Log      *log.Logger
	MaxBody  int
	MaxConns int
	NoFair   bool // baseline: no fair share

	http     atomic.Pointer[fasthttp.Server]
	fairs    sync.Map    // pipeline name to *admit.Limiter
	closed   atomic.Bool // not ready
	refusing atomic.Bool // no new requests
	inFlight atomic.Int64
}

// Serve answers on ln until Close. It blocks.
func (s *Server) Serve(ln net.Listener) error {
	r := router.New()
	r.POST("/v1/pipelines/{pipeline}", s.counted(s.call))
	r.POST("/v1/pipelines/{pipeline}/tickets", s.counted(s.newTicket))
	r.GET("/v1/tickets/{ticket}", s.counted(s.outcome))
	r.GET("/healthz", func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ok\n") })
	r.GET("/readyz", func(ctx *fasthttp.RequestCtx) {
		ok, why := s.Ready()
		if !ok {
			ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		}
		ctx.SetBodyString(why + "\n")
	})
	r.NotFound = func(ctx *fasthttp.RequestCtx) {
		problem{Status: fasthttp.StatusNotFound, Title: "no such page", Outcome: stage.OutcomeNotRun}.write(ctx)
	}
	maxBody, maxConns := s.MaxBody, s.MaxConns
	if maxBody == 0 {
		maxBody = DefaultMaxBody
	}
	if maxConns == 0 {
		maxConns = DefaultMaxConns
	}
	srv := &fasthttp.Server{
		Handler:               r.Handler,
		ReadTimeout:           readTimeout,
		WriteTimeout:          writeTimeout,
		IdleTimeout:           idleTimeout,
		ReadBufferSize:        headerBytes,
		MaxRequestBodySize:    maxBody,
		Concurrency:           maxConns,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		ErrorHandler:          readError,
	}
	s.http.Store(srv)
	if err := srv.Serve(ln); err != nil {
		return fmt.Errorf("serve callers: %w", err)
	}
	return nil
}

// readError answers a request that could not be read.
func readError(ctx *fasthttp.RequestCtx, err error) {
	p := problem{Status: fasthttp.StatusBadRequest, Title: "the request can't be read", Outcome: stage.OutcomeNotRun}
	var small *fasthttp.ErrSmallBuffer
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		p.Status = fasthttp.StatusRequestEntityTooLarge
		p.Title = "the body is too large"
	case errors.As(err, &small):
		p.Status = fasthttp.StatusRequestHeaderFieldsTooLarge
		p.Title = "the headers are too large"
	}
	p.write(ctx)
}

// Ready reports whether new requests should be sent here.
func (s *Server) Ready() (bool, string) {
	switch {
	case s.closed.Load():
		return false, "stopping"
	case !s.Control.Fresh():
		return false, "waiting for the configuration and the instance list"
	default:
		return true, "ready"
	}
}

// Stop makes the server not ready. After accept has passed it refuses new
// requests; then it waits for those that run, but not beyond ctx. It blocks.
func (s *Server) Stop(ctx context.Context, accept time.Duration) error {
	s.closed.Store(true)
	wait.For(ctx, accept)
	s.refusing.Store(true)
	if err := s.idle(ctx); err != nil {
		return err
	}
	srv := s.http.Load()
	if srv == nil {
		return nil
	}
	if err := srv.ShutdownWithContext(ctx); err != nil {
		return fmt.Errorf("close callers' connections: %w", err)
	}
	return nil
}

// Active returns how many requests are under way.
func (s *Server) Active() int64 { return s.inFlight.Load() }

func (s *Server) counted(h fasthttp.RequestHandler) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		s.enter()
		defer s.leave()
		if s.refusing.Load() {
			ctx.SetConnectionClose()
		}
		h(ctx)
	}
}

func (s *Server) enter() { s.inFlight.Add(1) }

func (s *Server) leave() { s.inFlight.Add(-1) }

// idle waits until no request is under way.
func (s *Server) idle(ctx context.Context) error {
	for s.inFlight.Load() > 0 {
		wait.For(ctx, idleCheck)
		if ctx.Err() != nil {
			return fmt.Errorf("wait for running requests: %w", ctx.Err())
		}
	}
	return nil
}

func (s *Server) fair(pipeline string) *admit.Limiter {
	if f, ok := s.fairs.Load(pipeline); ok {
		return f.(*admit.Limiter)
	}
	f, _ := s.fairs.LoadOrStore(pipeline, &admit.Limiter{})
	return f.(*admit.Limiter)
}

// call answers a request to a pipeline.
func (s *Server) call(ctx *fasthttp.RequestCtx) {
	c, p := s.parse(ctx)
	if p == nil {
		p = s.turnAway(c)
	}
	if p != nil {
		s.settleTicket(ctx, p)
		p.write(ctx)
		return
	}
	if c.stream {
		s.stream(ctx, c)
		return
	}
	var answer []byte
	res := s.run(c, nil, func(b []byte) { answer = append(answer, b...) })
	s.answer(ctx, c, res, answer)
}

// turnAway returns why a request is not even begun, or nil. On nil the request
// has entered with its team's share.
func (s *Server) turnAway(c *call) *problem {
	p := &problem{
		Status:     fasthttp.StatusServiceUnavailable,
		Outcome:    stage.OutcomeNotRun,
		Request:    c.req.ID,
		routes:     c.routes,
		team:       c.req.Team,
		RetryAfter: staleRetry,
	}
	switch {
	case s.refusing.Load():
		p.Title = "this entry is stopping"
		p.Cause = "stopping"
		p.RetryAfter = stopRetry
		return p
	case !s.Control.Fresh():
		p.Title = "this entry has no confirmed view of the system yet"
		p.Cause = "view_not_confirmed"
		return p
	case s.NoFair:
		return nil
	}
	err := s.fair(c.req.Pipeline).Acquire(c.req.Team, c.weight)
	var over *admit.OverShareError
	if !errors.As(err, &over) {
		return nil
	}
	p.Status = fasthttp.StatusTooManyRequests
	p.Title = over.Error()
	p.Cause = "over_share"
	p.RetryAfter = over.RetryAfter
	return p
}

// settleTicket makes a refusal true for a request that came with a ticket: the
// caller may have sent it through another entry before. Either all serials of
// the ticket are voided, or the outcome is not known.
func (s *Server) settleTicket(ctx *fasthttp.RequestCtx, p *problem) {
	b, err := ticket.Decode(string(ctx.Request.Header.Peek(TicketHeader)))
	if err != nil || p.Outcome != stage.OutcomeNotRun {
		return // nothing can have run by a text that is no ticket
	}
	if !s.Walker.Settle(b) {
		p.Outcome = stage.OutcomeUnknown
		p.Detail = strings.TrimSpace(p.Detail + " Ask what became of the ticket.")
		return
	}
	p.TicketIs = string(ticket.StateVoided)
	if p.routes != nil && p.Ticket == "" {
		if text, err := s.Tickets.New(ctx, p.routes, p.team); err == nil {
			p.Ticket = text
		}
	}
}

// run walks an admitted request and counts its end.
func (s *Server) run(c *call, gone <-chan struct{}, emit func([]byte)) walk.Result {
	fair := s.fair(c.req.Pipeline)
	if !s.NoFair {
		defer fair.Release(c.req.Team)
	}
	res := s.Walker.Run(&c.req, fair, gone, emit)
	took := time.Since(c.began)
	s.Walker.Stats.Ended(&c.req, res.End, took)
	s.Log.Debug().Str("request", c.req.ID).Str("pipeline", c.req.Pipeline).Str("team", c.req.Team).
		Str("outcome", string(res.End.Outcome)).Str("cause", string(res.End.Cause)).
		Dur("took", took).Err(res.Err).Msg("request ended")
	return res
}

func newRequestID() string {
	var raw [12]byte
	// crypto/rand.Read never fails on the systems that Go supports.
	_, _ = rand.Read(raw[:])
	return hex.EncodeToString(raw[:])
}

func (s *Server) newTicket(ctx *fasthttp.RequestCtx) {
	body, p := parseTicketBody(ctx)
	if p != nil {
		p.write(ctx)
		return
	}
	t := s.Control.Table()
	routes, p := s.routes(t, ctx, body.Team)
	if p != nil {
		p.write(ctx)
		return
	}
	if routes.Pipeline.Idempotent() {
		badField("pipeline", "all its stages are idempotent: it takes no ticket").write(ctx)
		return
	}
	if s.refusing.Load() {
		problem{Status: fasthttp.StatusServiceUnavailable, Title: "this entry is stopping", Cause: "stopping", RetryAfter: stopRetry}.write(ctx)
		return
	}
	text, err := s.Tickets.New(ctx, routes, body.Team)
	if err != nil {
		s.noTicket(err).write(ctx)
		return
	}
	writeJSON(ctx, fasthttp.StatusCreated, ticketAnswer{Ticket: text})
}

func (s *Server) noTicket(err error) *problem {
	p := &problem{
		Status:     fasthttp.StatusServiceUnavailable,
		Title:      "no ticket can be had now",
		Detail:     err.Error(),
		Outcome:    stage.OutcomeNotRun,
		Cause:      string(stage.CauseNoEndpoint),
		RetryAfter: time.Second,
	}
	var none *route.NoEndpointError
	if errors.As(err, &none) {
		p.RetryAfter = none.RetryAfter
	}
	return p
}

// outcome tells what became of a ticket.
func (s *Server) outcome(ctx *fasthttp.RequestCtx) {
	text, _ := ctx.UserValue("ticket").(string)
	b, err := ticket.Decode(text)
	if err != nil {
		badField("ticket", err.Error()).write(ctx)
		return
	}
	c, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	settled, err := s.Tickets.Settle(c, b)
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
	writeJSON(ctx, fasthttp.StatusOK, newOutcomeAnswer(b.GetPipeline(), settled))
}
