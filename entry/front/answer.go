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
	"wigeonplank.example/entry/exec"
)

// panicProblem is the answer to a request whose handling has panicked: a stage may have run.
var panicProblem = problem{Status: fasthttp.StatusGatewayTimeout, Title: "whether the request ran is not known", Outcome: stage.OutcomeUnknown}

// problem is the answer to a request that has no result: an RFC 9457 problem
// document with additional members.
type problem struct {
	Status      int           `json:"status"`
	Title       string        `json:"title"`
	Detail      string        `json:"detail,omitempty"`
	Field       string        `json:"field,omitempty"`
	Outcome     stage.Outcome `json:"outcome,omitempty"`
	Cause       string        `json:"cause,omitempty"`
	Stage       string        `json:"stage,omitempty"`
	Request     string        `json:"request,omitempty"`
	Ticket      string        `json:"ticket,omitempty"`
	TicketState string        `json:"ticket_state,omitempty"`
	RetryMS     int64         `json:"retry_after_ms,omitempty"`
	RetryAfter  time.Duration `json:"-"` // sets the Retry-After header and RetryMS

	routes *route.PipelineRoutes // routes of the request's pipeline; nil if it was rejected earlier
	team   string
}

// write writes the problem as the response, with Retry-After if RetryAfter is set.
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

// callAnswer is the answer to a request that isn't streamed. Result is set if the
// last stage is not a generation stage and its result is valid JSON, otherwise
// Text is.
type callAnswer struct {
	Request  string          `json:"request"`
	Pipeline string          `json:"pipeline"`
	Outcome  stage.Outcome   `json:"outcome"`
	Text     *string         `json:"text,omitempty"`
	Result   json.RawMessage `json:"result,omitempty"`
}

// ticketAnswer is the answer to a request for a ticket.
type ticketAnswer struct {
	Ticket string `json:"ticket"`
}

// outcomeAnswer is the answer to a query for the outcome of a ticket.
type outcomeAnswer struct {
	Pipeline string         `json:"pipeline"`
	Outcome  string         `json:"outcome"`
	Stages   []stageOutcome `json:"stages"`
}

// stageOutcome is the outcome of one stage of a ticket.
type stageOutcome struct {
	Stage   string          `json:"stage"`
	State   ticket.State    `json:"state"`
	Result  json.RawMessage `json:"result,omitempty"`
	Failure string          `json:"failure,omitempty"`
}

// newOutcomeAnswer returns the outcome of a ticket. The least certain state of its
// stages determines the overall outcome.
func newOutcomeAnswer(pipeline string, settled []exec.SettledStage) outcomeAnswer {
	out := outcomeAnswer{Pipeline: pipeline, Outcome: string(stage.OutcomeNotRun)}
	maxUncertainty := -1
	for _, s := range settled {
		o := stageOutcome{Stage: s.Stage, State: s.State, Failure: s.Failure}
		if s.State == ticket.StateAnswered && json.Valid(s.Body) {
			o.Result = s.Body
		}
		out.Stages = append(out.Stages, o)
		if uncertainty, name := classifyState(s.State); uncertainty > maxUncertainty {
			maxUncertainty, out.Outcome = uncertainty, name
		}
	}
	return out
}

// classifyState returns how uncertain it is whether a stage in this state has run,
// from 0 for certainly not, and the outcome reported for it.
func classifyState(s ticket.State) (int, string) {
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

// writeResult writes the end of a request that isn't streamed.
func (s *Server) writeResult(ctx *fasthttp.RequestCtx, c *call, res exec.Result, body []byte) {
	if res.End.Outcome != stage.OutcomeAnswered {
		s.resultProblem(c, res).write(ctx)
		return
	}
	writeJSON(ctx, fasthttp.StatusOK, newCallAnswer(c, res, body))
}

func newCallAnswer(c *call, res exec.Result, body []byte) callAnswer {
	a := callAnswer{Request: c.req.ID, Pipeline: c.req.Pipeline, Outcome: res.End.Outcome}
	if res.Kind != conf.KindGeneration && json.Valid(body) {
		a.Result = body
		return a
	}
	text := string(body)
	a.Text = &text
	return a
}

// resultProblem returns the problem for a request that ended without an answer. If
// its ticket was voided, the problem has a new one, if one can be issued.
func (s *Server) resultProblem(c *call, res exec.Result) problem {
	p := newProblem(c, res)
	p.TicketState = res.TicketState
	if res.Err != nil {
		p.Detail = res.Err.Error()
	}
	if p.RetryAfter == 0 && p.Status >= fasthttp.StatusTooManyRequests && res.End.Outcome != stage.OutcomeFailed {
		p.RetryAfter = stoppingRetryAfter
	}
	if res.End.Settle && res.End.Outcome != stage.OutcomeUnknown {
		if text, err := s.Tickets.Issue(s.queries.get(), c.routes, c.req.Team); err == nil {
			p.Ticket = text
		}
	}
	return p
}

func newProblem(c *call, res exec.Result) problem {
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

func statusFor(res exec.Result) int {
	switch {
	case res.End.Cause == stage.CauseTicketUnusable && ticket.State(res.TicketState) == ticket.StateForged:
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

// streamEvent is the data of an event with a part of the result.
type streamEvent struct {
	Offset int    `json:"offset"` // bytes of the result before Text
	Text   string `json:"text"`
}

// streamEnd is the data of the last event of an answered stream.
type streamEnd struct {
	Request string        `json:"request"`
	Outcome stage.Outcome `json:"outcome"`
	Length  int           `json:"length"` // bytes of the whole result
}

// handleStream executes a request and answers with server-sent events. If the
// request ends before the first byte of its result, the answer is written as
// without streaming, so that a problem has its own status code.
func (s *Server) handleStream(ctx *fasthttp.RequestCtx, c *call) {
	f := &feed.Feed[exec.Result]{}
	callerGone := make(chan struct{})
	s.beginWork()
	go func() {
		defer s.endWork()
		defer func() {
			if v := recover(); v != nil {
				s.logPanic(v)
				f.End(exec.Result{End: stage.End{Outcome: stage.OutcomeUnknown}})
			}
		}()
		f.End(s.execute(c, callerGone, f.Append))
	}()
	if _, end := awaitData(f, 0); end != nil {
		s.writeResult(ctx, c, *end, nil)
		return
	}
	ctx.SetContentType("text/event-stream")
	ctx.Response.Header.Set("Cache-Control", "no-store")
	s.beginWork()
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer s.endWork()
		s.writeEvents(w, c, f, callerGone)
	})
}

// maxEventBytes limits the data of one server-sent event.
const maxEventBytes = 16 << 10

// awaitData waits until the feed has data from offset on or has ended there.
func awaitData(f *feed.Feed[exec.Result], offset int) ([]byte, *exec.Result) {
	for {
		data, end, changed := f.Next(offset, maxEventBytes)
		if changed == nil {
			return data, end
		}
		<-changed
	}
}

// writeEvents writes the answer as events until the request has ended. It closes
// callerGone if a write fails, which is the only way to detect that the caller
// has disconnected, or if writing panics.
func (s *Server) writeEvents(w *bufio.Writer, c *call, f *feed.Feed[exec.Result], callerGone chan struct{}) {
	defer func() {
		if v := recover(); v != nil {
			s.logPanic(v)
			close(callerGone)
			_ = writeEvent(w, "error", panicProblem) // fails only if the caller has disconnected
		}
	}()
	offset := 0
	for {
		data, end := awaitData(f, offset)
		if end != nil {
			s.writeStreamEnd(w, c, *end, offset)
			return
		}
		n := completeRunes(data)
		if n == 0 {
			// Only the start of a character has arrived.
			if _, end := awaitData(f, offset+len(data)); end == nil {
				continue
			}
			n = len(data)
		}
		if err := writeEvent(w, "", streamEvent{Offset: offset, Text: string(data[:n])}); err != nil {
			close(callerGone)
			return
		}
		offset += n
	}
}

// writeStreamEnd writes the last event of a stream.
func (s *Server) writeStreamEnd(w *bufio.Writer, c *call, res exec.Result, length int) {
	var err error
	if res.End.Outcome == stage.OutcomeAnswered {
		err = writeEvent(w, "done", streamEnd{Request: c.req.ID, Outcome: res.End.Outcome, Length: length})
	} else {
		p := newProblem(c, res)
		p.TicketState = res.TicketState
		p.RetryMS = p.RetryAfter.Milliseconds()
		err = writeEvent(w, "error", p)
	}
	if err != nil {
		s.Log.Debug().Err(err).Str("request", c.req.ID).Msg("writing the last event of a stream failed")
	}
}

// writeEvent writes and flushes one server-sent event. An empty name omits the
// event field.
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
