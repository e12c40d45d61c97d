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
	"wigeonplank.example/entry/walk"
)

// callBody is what a caller sends.
type callBody struct {
	Team       string  `json:"team"`
	Class      string  `json:"class"`
	DeadlineMS int64   `json:"deadline_ms"`
	Input      *string `json:"input"`
	Stream     bool    `json:"stream"`
}

type ticketBody struct {
	Team string `json:"team"`
}

// call is a checked request.
type call struct {
	req    walk.Request
	routes *route.PipelineRoutes
	weight int
	stream bool
	began  time.Time
}

// parse checks a request and returns it, or what is wrong with it.
func (s *Server) parse(ctx *fasthttp.RequestCtx) (*call, *problem) {
	now := time.Now()
	raw := bytes.Clone(ctx.PostBody()) // the buffer is reused after the handler
	var b callBody
	if p := decodeStrict(raw, &b); p != nil {
		return nil, p
	}
	t := s.Control.Table()
	routes, p := s.routes(t, ctx, b.Team)
	if p != nil {
		return nil, p
	}
	if p := checkFields(t, &b); p != nil {
		return nil, p
	}
	c := &call{routes: routes, weight: t.Team(b.Team).Weight, stream: b.Stream, began: now}
	c.req = walk.Request{
		ID:       newRequestID(),
		Pipeline: routes.Pipeline.Name,
		Team:     b.Team,
		Class:    b.Class,
		Input:    *b.Input,
		Deadline: now.Add(deadline(&b, routes)),
	}
	if p := s.takeTicket(ctx, c, raw); p != nil {
		return nil, p
	}
	return c, nil
}

func deadline(b *callBody, r *route.PipelineRoutes) time.Duration {
	longest := r.Pipeline.Deadline
	if b.DeadlineMS == 0 {
		return longest
	}
	return min(time.Duration(b.DeadlineMS)*time.Millisecond, longest)
}

func (s *Server) routes(t *route.Table, ctx *fasthttp.RequestCtx, team string) (*route.PipelineRoutes, *problem) {
	name, _ := ctx.UserValue("pipeline").(string)
	if t.Accepted == nil {
		return nil, &problem{
			Status:     fasthttp.StatusServiceUnavailable,
			Title:      "this entry has no configuration yet",
			Outcome:    stage.OutcomeNotRun,
			Cause:      "no_configuration",
			RetryAfter: staleRetry,
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
		return nil, badField("team", fmt.Sprintf("team %q is not declared", team))
	}
	if !r.Pipeline.Admits(team) {
		return nil, badField("team", fmt.Sprintf("team %q may not call pipeline %q", team, name))
	}
	return r, nil
}

func checkFields(t *route.Table, b *callBody) *problem {
	if b.Input == nil {
		return badField("input", "a value is missing")
	}
	if b.DeadlineMS < 0 {
		return badField("deadline_ms", "must not be negative; 0 or absent takes the pipeline's deadline")
	}
	if b.Class == "" {
		b.Class = t.Accepted.Doc.Classes[0].Name
	}
	if t.Class(b.Class) == nil {
		return badField("class", fmt.Sprintf("class %q is not declared", b.Class))
	}
	return nil
}

// takeTicket reads the ticket that a request needs, if it does. A request
// without one gets one, with status 428.
func (s *Server) takeTicket(ctx *fasthttp.RequestCtx, c *call, raw []byte) *problem {
	text := string(ctx.Request.Header.Peek(TicketHeader))
	idempotent := c.routes.Pipeline.Idempotent()
	switch {
	case idempotent && text == "":
		return nil
	case idempotent:
		return badField(TicketHeader, fmt.Sprintf("pipeline %q takes no ticket: all its stages are idempotent", c.req.Pipeline))
	case text == "":
		return s.needTicket(ctx, c)
	}
	b, err := ticket.Decode(text)
	if err != nil {
		return badField(TicketHeader, err.Error())
	}
	if b.GetPipeline() != c.req.Pipeline {
		return badField(TicketHeader, fmt.Sprintf("the ticket is for pipeline %q", b.GetPipeline()))
	}
	c.req.Ticket = b
	c.req.Digest = ticket.Digest(c.req.Pipeline, c.req.Team, raw)
	return nil
}

func (s *Server) needTicket(ctx *fasthttp.RequestCtx, c *call) *problem {
	text, err := s.Tickets.New(ctx, c.routes, c.req.Team)
	if err != nil {
		return s.noTicket(err)
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

// decodeStrict decodes one JSON object without unknown fields.
func decodeStrict(raw []byte, v any) *problem {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return badField(fieldOf(err), "the body is not as documented: "+err.Error())
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return badField("", "the body has more than one JSON value")
	}
	return nil
}

func fieldOf(err error) string {
	var t *json.UnmarshalTypeError
	if errors.As(err, &t) {
		return t.Field
	}
	return ""
}

func badField(field, detail string) *problem {
	return &problem{
		Status:  fasthttp.StatusBadRequest,
		Title:   "the request is not as documented",
		Detail:  detail,
		Field:   field,
		Outcome: stage.OutcomeNotRun,
	}
}
