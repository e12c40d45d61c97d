package front

import (
	"bufio"
	"encoding/json"
	"math"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"wigeonplank.example/core/conf"
	"wigeonplank.example/core/feed"
	"wigeonplank.example/core/route"
	"wigeonplank.example/core/stage"
	"wigeonplank.example/core/ticket"
	"wigeonplank.example/entry/walk"
)

// problem is an answer that isn't the request's, as RFC 9457 defines it with
// members of our own.
type problem struct {
	Status     int           `json:"status"`
	Title      string        `json:"title"`
	Detail     string        `json:"detail,omitempty"`
	Field      string        `json:"field,omitempty"`
	Outcome    stage.Outcome `json:"outcome,omitempty"`
	Cause      string        `json:"cause,omitempty"`
	Stage      string        `json:"stage,omitempty"`
	Request    string        `json:"request,omitempty"`
	Ticket     string        `json:"ticket,omitempty"`
	TicketIs   string        `json:"ticket_state,omitempty"`
	RetryMS    int64         `json:"retry_after_ms,omitempty"`
	RetryAfter time.Duration `json:"-"`

	routes *route.PipelineRoutes // of the request, if it got so far
	team   string
}

func (p problem) write(ctx *fasthttp.RequestCtx) {
	if p.RetryAfter > 0 {
		p.RetryMS = p.RetryAfter.Milliseconds()
		ctx.Response.Header.Set("Retry-After", strconv.Itoa(int(math.Ceil(p.RetryAfter.Seconds()))))
	}
	writeJSON(ctx, p.Status, p)
	ctx.SetContentType("application/problem+json")
}

func writeJSON(ctx *fasthttp.RequestCtx, status int, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		ctx.Error("encode answer: "+err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetStatusCode(status)
	ctx.SetContentType("application/json")
	ctx.SetBody(append(raw, '\n'))
}

// wholeAnswer is a whole answer: Text of a generation stage, or Result.
type wholeAnswer struct {
	Request  string          `json:"request"`
	Pipeline string          `json:"pipeline"`
	Outcome  stage.Outcome   `json:"outcome"`
	Text     *string         `json:"text,omitempty"`
	Result   json.RawMessage `json:"result,omitempty"`
}

type ticketAnswer struct {
	Ticket string `json:"ticket"`
}

type outcomeAnswer struct {
	Pipeline string         `json:"pipeline"`
	Outcome  string         `json:"outcome"`
	Stages   []stageOutcome `json:"stages"`
}

type stageOutcome struct {
	Stage   string          `json:"stage"`
	State   ticket.State    `json:"state"`
	Result  json.RawMessage `json:"result,omitempty"`
	Failure string          `json:"failure,omitempty"`
}

// newOutcomeAnswer sums up the stages of a ticket: the least certain state is
// that of the whole.
func newOutcomeAnswer(pipeline string, settled []walk.Settled) outcomeAnswer {
	out := outcomeAnswer{Pipeline: pipeline, Outcome: string(stage.OutcomeNotRun)}
	worst := -1
	for _, s := range settled {
		o := stageOutcome{Stage: s.Stage, State: s.State, Failure: s.Failure}
		if s.State == ticket.StateAnswered && json.Valid(s.Body) {
			o.Result = s.Body
		}
		out.Stages = append(out.Stages, o)
		if rank, name := rankState(s.State); rank > worst {
			worst, out.Outcome = rank, name
		}
	}
	return out
}

func rankState(s ticket.State) (int, string) {
	switch s {
	case ticket.StateVoided:
		return 0, string(stage.OutcomeNotRun)
	case ticket.StateAnswered:
		return 1, string(stage.OutcomeAnswered)
	case ticket.StateRan:
		return 2, "ran"
	case ticket.StateRunning:
		return 3, "running"
	default:
		return 4, string(stage.OutcomeUnknown)
	}
}

// answer writes the end of a request that isn't streamed.
func (s *Server) answer(ctx *fasthttp.RequestCtx, c *call, res walk.Result, body []byte) {
	if res.End.Outcome != stage.OutcomeAnswered {
		s.problemFor(ctx, c, res).write(ctx)
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, newWholeAnswer(c, res, body))
}

func newWholeAnswer(c *call, res walk.Result, body []byte) wholeAnswer {
	a := wholeAnswer{Request: c.req.ID, Pipeline: c.req.Pipeline, Outcome: res.End.Outcome}
	if res.Kind != conf.KindGeneration && json.Valid(body) {
		a.Result = body
		return a
	}
	text := string(body)
	a.Text = &text
	return a
}

// problemFor turns an end without an answer into what the caller is told. A
// ticket that was retired is replaced by a fresh one where that can be had.
func (s *Server) problemFor(ctx *fasthttp.RequestCtx, c *call, res walk.Result) problem {
	p := newProblem(c, res)
	p.TicketIs = res.Ticket
	if res.Err != nil {
		p.Detail = res.Err.Error()
	}
	if p.RetryAfter == 0 && p.Status >= fasthttp.StatusTooManyRequests && res.End.Outcome != stage.OutcomeFailed {
		p.RetryAfter = stopRetry
	}
	if res.End.Settle && res.End.Outcome != stage.OutcomeUnknown {
		if text, err := s.Tickets.New(ctx, c.routes, c.req.Team); err == nil {
			p.Ticket = text
		}
	}
	return p
}

func newProblem(c *call, res walk.Result) problem {
	return problem{
		Status:     statusFor(res),
		Title:      titleFor(res.End),
		Outcome:    res.End.Outcome,
		Cause:      string(res.End.Cause),
		Stage:      res.End.Stage,
		Request:    c.req.ID,
		RetryAfter: res.End.RetryAfter,
	}
}

func statusFor(res walk.Result) int {
	switch {
	case res.End.Cause == stage.CauseTicketUnusable && ticket.State(res.Ticket) == ticket.StateForged:
		return fasthttp.StatusBadRequest
	case res.End.Cause == stage.CauseTicketUnusable:
		return fasthttp.StatusConflict
	case res.End.Outcome == stage.OutcomeFailed:
		return fasthttp.StatusBadGateway
	case res.End.Outcome == stage.OutcomeUnknown, res.End.Cause == stage.CauseLate:
		return fasthttp.StatusGatewayTimeout
	default:
		return fasthttp.StatusServiceUnavailable
	}
}

func titleFor(e stage.End) string {
	if e.Cause == stage.CauseTicketUnusable {
		return "the ticket can't be used for this request"
	}
	switch e.Outcome {
	case stage.OutcomeNotRun:
		return "the request was not run and won't be"
	case stage.OutcomePartial:
		return "the request was given up before anything ran that may not run twice"
	case stage.OutcomeUnknown:
		return "whether the request ran is not known"
	default:
		return "an endpoint answered with an error"
	}
}

type streamEvent struct {
	Offset int    `json:"offset"`
	Text   string `json:"text"`
}

type streamEnd struct {
	Request string        `json:"request"`
	Outcome stage.Outcome `json:"outcome"`
	Length  int           `json:"length"`
}

// stream answers with server-sent events. Until the first byte of the answer
// there may still be a plain problem with its own status.
func (s *Server) stream(ctx *fasthttp.RequestCtx, c *call) {
	f := &feed.Feed[walk.Result]{}
	gone := make(chan struct{})
	s.enter()
	go func() {
		defer s.leave()
		f.End(s.run(c, gone, f.Append))
	}()
	if _, end := await(f, 0); end != nil {
		s.answer(ctx, c, *end, nil)
		return
	}
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set("Cache-Control", "no-store")
	s.enter()
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer s.leave()
		s.follow(w, c, f, gone)
	})
}

const maxEventBytes = 16 << 10

func await(f *feed.Feed[walk.Result], offset int) ([]byte, *walk.Result) {
	for {
		data, end, more := f.Next(offset, maxEventBytes)
		if more == nil {
			return data, end
		}
		<-more
	}
}

// follow writes events until the end of the request. A failed write is the only
// sign of a caller who has gone.
func (s *Server) follow(w *bufio.Writer, c *call, f *feed.Feed[walk.Result], gone chan struct{}) {
	offset := 0
	for {
		data, end := await(f, offset)
		if end != nil {
			s.endStream(w, c, *end, offset)
			return
		}
		n := wholeRunes(data)
		if err := writeEvent(w, "", streamEvent{Offset: offset, Text: string(data[:n])}); err != nil {
			close(gone)
			return
		}
		offset += n
	}
}

func (s *Server) endStream(w *bufio.Writer, c *call, res walk.Result, length int) {
	var err error
	if res.End.Outcome == stage.OutcomeAnswered {
		err = writeEvent(w, "done", streamEnd{Request: c.req.ID, Outcome: res.End.Outcome, Length: length})
	} else {
		p := newProblem(c, res)
		p.RetryMS = p.RetryAfter.Milliseconds()
		err = writeEvent(w, "error", p)
	}
	if err != nil {
		s.Log.Debug().Err(err).Str("request", c.req.ID).Msg("end of stream")
	}
}

func writeEvent(w *bufio.Writer, name string, v any) error {
	raw, err := json.Marshal(v)
	if err != nil {
		return err
	}
	if name != "" {
		if _, err := w.WriteString("event: " + name + "\n"); err != nil {
			return err
		}
	}
	if _, err := w.WriteString("data: " + string(raw) + "\n\n"); err != nil {
		return err
	}
	return w.Flush()
}
