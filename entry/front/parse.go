package front

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"wigeonplank.example/core/route"
	"wigeonplank.example/core/stage"
	"wigeonplank.example/core/ticket"
	"wigeonplank.example/entry/exec"
)

// callBody is the JSON body of a request to a pipeline.
type callBody struct {
	Team       string  `json:"team"`
	Class      string  `json:"class"`
	DeadlineMS int64   `json:"deadline_ms"`
	Input      *string `json:"input"`
	Stream     bool    `json:"stream"`
}

// ticketBody is the JSON body of a request for a ticket.
type ticketBody struct {
	Team string `json:"team"`
}

// call is a validated request.
type call struct {
	req       exec.Request
	routes    *route.PipelineRoutes
	weight    int  // weight of the request's team
	stream    bool // answer with server-sent events
	startedAt time.Time
}

// parseCall parses and validates a request. It returns either the call or the
// problem to answer with.
func (s *Server) parseCall(ctx *fasthttp.RequestCtx) (*call, *problem) {
	now := time.Now()
	raw := bytes.Clone(ctx.PostBody()) // fasthttp reuses the buffer after the handler returns
	var b callBody
	if p := decodeStrict(raw, &b); p != nil {
		return nil, p
	}
	t := s.Control.Table()
	routes, p := s.findRoutes(t, ctx, b.Team)
	if p != nil {
		return nil, p
	}
	if p := validateFields(t, &b); p != nil {
		return nil, p
	}
	c := &call{routes: routes, weight: t.Team(b.Team).Weight, stream: b.Stream, startedAt: now}
	c.req = exec.Request{
		ID:       newRequestID(),
		Pipeline: routes.Pipeline.Name,
		Team:     b.Team,
		Class:    b.Class,
		Input:    *b.Input,
		Deadline: now.Add(requestTimeout(&b, routes)),
	}
	if p := s.readTicket(ctx, c, raw); p != nil {
		return nil, p
	}
	return c, nil
}

// requestTimeout returns the time that a request may take: the caller's deadline,
// limited by the pipeline's.
func requestTimeout(b *callBody, r *route.PipelineRoutes) time.Duration {
	maxTimeout := r.Pipeline.Deadline
	if b.DeadlineMS == 0 {
		return maxTimeout
	}
	return min(time.Duration(b.DeadlineMS)*time.Millisecond, maxTimeout)
}

// findRoutes returns the routes of the pipeline named in the URL, if the team may
// call it.
func (s *Server) findRoutes(t *route.Table, ctx *fasthttp.RequestCtx, team string) (*route.PipelineRoutes, *problem) {
	name, _ := ctx.UserValue("pipeline").(string)
	if t.Accepted == nil {
		return nil, &problem{
			Status:     fasthttp.StatusServiceUnavailable,
			Title:      "this entry has no configuration yet",
			Outcome:    stage.OutcomeNotRun,
			Cause:      "no_configuration",
			RetryAfter: notReadyRetryAfter,
		}
	}
	r := t.Pipeline(name)
	if r == nil {
		return nil, &problem{
			Status:  fasthttp.StatusNotFound,
			Title:   "no such pipeline",
			Detail:  fmt.Sprintf("pipeline %q is not in the configuration in force", name),
			Outcome: stage.OutcomeNotRun,
		}
	}
	if t.Team(team) == nil {
		return nil, fieldProblem("team", fmt.Sprintf("team %q is not declared", team))
	}
	if !r.Pipeline.Admits(team) {
		return nil, fieldProblem("team", fmt.Sprintf("team %q may not call pipeline %q", team, name))
	}
	return r, nil
}

// validateFields checks the fields of a request and fills in the default class.
func validateFields(t *route.Table, b *callBody) *problem {
	if b.Input == nil {
		return fieldProblem("input", "a value is missing")
	}
	if b.DeadlineMS < 0 {
		return fieldProblem("deadline_ms", "must not be negative; 0 or absent takes the pipeline's deadline")
	}
	if b.Class == "" {
		b.Class = t.Accepted.Doc.Classes[0].Name
	}
	if t.Class(b.Class) == nil {
		return fieldProblem("class", fmt.Sprintf("class %q is not declared", b.Class))
	}
	return nil
}

// readTicket reads the ticket of a request to a pipeline that isn't idempotent. A
// request without the ticket that it needs is answered with a new one and status
// 428.
func (s *Server) readTicket(ctx *fasthttp.RequestCtx, c *call, raw []byte) *problem {
	text := string(ctx.Request.Header.Peek(TicketHeader))
	idempotent := c.routes.Pipeline.Idempotent()
	switch {
	case idempotent && text == "":
		return nil
	case idempotent:
		return fieldProblem(TicketHeader, fmt.Sprintf("pipeline %q takes no ticket: all its stages are idempotent", c.req.Pipeline))
	case text == "":
		return s.requireTicket(ctx, c)
	}
	body, err := ticket.Decode(text)
	if err != nil {
		return fieldProblem(TicketHeader, err.Error())
	}
	if body.GetPipeline() != c.req.Pipeline {
		return fieldProblem(TicketHeader, fmt.Sprintf("the ticket is for pipeline %q", body.GetPipeline()))
	}
	c.req.Ticket = body
	c.req.Digest = ticket.Digest(c.req.Pipeline, c.req.Team, raw)
	return nil
}

// requireTicket returns the answer to a request that needs a ticket and has none.
func (s *Server) requireTicket(ctx *fasthttp.RequestCtx, c *call) *problem {
	text, err := s.Tickets.Issue(ctx, c.routes, c.req.Team)
	if err != nil {
		return s.ticketProblem(err)
	}
	return &problem{
		Status:  fasthttp.StatusPreconditionRequired,
		Title:   "this pipeline runs only with a ticket",
		Detail:  "send the same request again with the ticket in the header " + TicketHeader,
		Outcome: stage.OutcomeNotRun,
		Ticket:  text,
		Request: c.req.ID,
	}
}

func parseTicketBody(ctx *fasthttp.RequestCtx) (ticketBody, *problem) {
	var b ticketBody
	p := decodeStrict(ctx.PostBody(), &b)
	return b, p
}

// decodeStrict decodes exactly one JSON value and rejects unknown fields.
func decodeStrict(raw []byte, v any) *problem {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.DisallowUnknownFields()
	if err := dec.Decode(v); err != nil {
		return fieldProblem(errorField(err), "the body is not as documented: "+err.Error())
	}
	if _, err := dec.Token(); !errors.Is(err, io.EOF) {
		return fieldProblem("", "the body has more than one JSON value")
	}
	return nil
}

// errorField returns the name of the field that a decoding error is about, or "".
func errorField(err error) string {
	var typeErr *json.UnmarshalTypeError
	if errors.As(err, &typeErr) {
		return typeErr.Field
	}
	return ""
}

// fieldProblem returns the answer to a request with an invalid field.
func fieldProblem(field, detail string) *problem {
	return &problem{
		Status:  fasthttp.StatusBadRequest,
		Title:   "the request is not as documented",
		Detail:  detail,
		Field:   field,
		Outcome: stage.OutcomeNotRun,
	}
}
