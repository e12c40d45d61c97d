package exec

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"wigeonplank.example/base/budget"
	"wigeonplank.example/base/link"
	"wigeonplank.example/core/meter"
	"wigeonplank.example/core/route"
	"wigeonplank.example/core/runs"
	"wigeonplank.example/core/stage"
	"wigeonplank.example/core/ticket"
	"wigeonplank.example/core/wire"
	"wigeonplank.example/entry/ctrl"
)

// Bounds on how long voiding a ticket may delay the answer to a caller.
const (
	voidTicketTimeout    = 500 * time.Millisecond // before the caller's deadline
	minVoidTicketTimeout = 80 * time.Millisecond  // near the deadline, or without one
)

// stageInput is the body of a dispatch: the request's input and the result of the
// previous stage. Agents decode it.
type stageInput struct {
	Input  string          `json:"input"`
	Result json.RawMessage `json:"result,omitempty"`
}

// wireID returns the ID of the attempt in messages. entry is the incarnation of
// this entry.
func (a *attempt) wireID(entry uint64) *wire.AttemptID {
	return &wire.AttemptID{Entry: entry, Seq: a.seq}
}

// sendDispatch sends the current attempt to its agent and starts to receive its
// progress. The returned event is empty if the dispatch was sent.
func (e *execution) sendDispatch(s *route.StageRoutes, budget time.Duration, serial *wire.Serial) stage.Event {
	body, err := json.Marshal(stageInput{Input: e.req.Input, Result: e.previousResultJSON()})
	if err != nil {
		e.err = fmt.Errorf("encode input of stage %s: %w", s.Stage.Name, err)
		return stage.Event{Kind: stage.EventUnsent}
	}
	d := &wire.Dispatch{
		Id:          e.current.wireID(e.executor.Incarnation),
		Incarnation: e.current.incarnation,
		Request:     e.req.ID,
		Pipeline:    e.req.Pipeline,
		Stage:       s.Stage.Name,
		Team:        e.req.Team,
		Class:       e.req.Class,
		Priority:    uint32(e.priority()),
		BudgetUs:    budget.Microseconds(),
		Revision:    e.executor.Control.Table().Accepted.Revision(),
		Body:        body,
		Serial:      serial,
		Digest:      e.req.Digest,
	}
	e.current.endpoint.Load.BeginDispatch()
	e.executor.Log.Debug().Str("request", e.req.ID).Str("stage", s.Stage.Name).Uint64("attempt", e.current.seq).
		Str("instance", e.current.endpoint.Instance.ID).Uint64("revision", d.GetRevision()).Msg("dispatch")
	if d.GetIncarnation() == 0 { // the link is being replaced; an agent refuses what names none
		e.err = fmt.Errorf("dispatch to %s: %w", e.current.endpoint.Instance.ID, link.ErrNoLink)
		return stage.Event{Kind: stage.EventUnsent}
	}
	st, err := e.current.peer.Call(&wire.Request{Kind: &wire.Request_Dispatch{Dispatch: d}})
	if errors.Is(err, link.ErrNoLink) {
		e.err = fmt.Errorf("dispatch to %s: %w", e.current.endpoint.Instance.ID, err)
		return stage.Event{Kind: stage.EventUnsent}
	}
	if err != nil {
		return stage.Event{Kind: stage.EventLinkLost}
	}
	e.receiveProgress(st)
	return stage.Event{}
}

// previousResultJSON returns the result of the previous stage as JSON: unchanged if
// it is valid JSON, otherwise as a JSON string.
func (e *execution) previousResultJSON() json.RawMessage {
	if e.previousResult == nil || json.Valid(e.previousResult) {
		return e.previousResult
	}
	// Encoding a string never fails.
	raw, _ := json.Marshal(string(e.previousResult))
	return raw
}

// priority returns the priority of the request's class, or 0 if the class is no
// longer declared.
func (e *execution) priority() int {
	if c := e.executor.Control.Table().Class(e.req.Class); c != nil {
		return c.Priority
	}
	return 0
}

// receiveProgress starts goroutines that post the progress messages on st and the
// loss of its link as events of the current attempt.
func (e *execution) receiveProgress(st *link.Stream) {
	e.current.stream = st
	e.current.streamGen++
	seq, gen := e.current.seq, e.current.streamGen
	go func() {
		for {
			m := &wire.Progress{}
			if err := st.Receive(m); err != nil {
				e.post(event{seq: seq, streamGen: gen, kind: stage.EventLinkLost, err: err})
				return
			}
			if !e.post(event{seq: seq, streamGen: gen, progress: m}) {
				return
			}
		}
	}()
	go func() {
		select {
		case <-st.Silent:
			e.post(event{seq: seq, streamGen: gen, kind: stage.EventLinkLost, err: errors.New("link is silent")})
		case <-e.done:
		}
	}()
}

// post sends an event to the goroutine that runs the request. It returns false if
// the request has ended.
func (e *execution) post(ev event) bool {
	select {
	case e.events <- ev:
		return true
	case <-e.done:
		return false
	}
}

// handleProgress converts an event of the current attempt to an event of the flow.
// The result is empty if the flow has nothing to decide.
func (e *execution) handleProgress(ev event) stage.Event {
	if ev.kind != "" {
		e.runningState = ""
		if ev.state == runs.StateRunning {
			e.runningState = string(ticket.StateRunning)
		}
		return stage.Event{Kind: ev.kind}
	}
	switch m := ev.progress.GetKind().(type) {
	case *wire.Progress_Chunk:
		return e.handleChunk(m.Chunk)
	case *wire.Progress_Refused:
		return e.handleRefusal(m.Refused)
	case *wire.Progress_Result:
		return e.handleResult(m.Result)
	default:
		return stage.Event{}
	}
}

// handleChunk adds output to the result and emits what is new and in order, if the
// stage is the last one.
func (e *execution) handleChunk(c *wire.Chunk) stage.Event {
	if end := c.GetOffset() + uint64(len(c.GetData())); end > uint64(e.assembler.Offset()) {
		if err := e.current.held.Grow(len(c.GetData())); err != nil {
			return e.handleInvalidOutput(err)
		}
	}
	newData, err := e.assembler.Add(int(c.GetOffset()), c.GetData())
	if err != nil {
		return e.handleInvalidOutput(err)
	}
	if len(newData) > 0 && e.isLastStage() {
		e.emit(newData)
	}
	return stage.Event{}
}

// handleInvalidOutput handles output that can't be part of the answer. Output that
// differs from what was already sent to the caller rejects the request, because
// a retry can't take back those bytes. Output that is too large counts as a failure of the
// endpoint, and other output errors as a lost attempt.
func (e *execution) handleInvalidOutput(err error) stage.Event {
	e.err = err
	var diverged *stage.DivergedError
	var tooLong *stage.TooLongError
	switch {
	case errors.As(err, &diverged):
		e.cancelAttempt(e.current)
		return stage.Event{Kind: stage.EventRejected}
	case errors.As(err, &tooLong), errors.Is(err, budget.ErrOver):
		e.cancelAttempt(e.current)
		return stage.Event{Kind: stage.EventFailed}
	}
	return stage.Event{Kind: stage.EventLinkLost}
}

// handleRefusal handles an agent's refusal of the current attempt.
func (e *execution) handleRefusal(r *wire.Refused) stage.Event {
	if room := r.GetRoom(); room != nil {
		e.current.endpoint.Load.Observe(ctrl.RouteReport(room))
	}
	retryAfter := time.Duration(r.GetRetryAfterUs()) * time.Microsecond
	e.err = fmt.Errorf("agent of %s refused stage %s: %s", e.current.endpoint.Instance.ID, e.routes.Stages[e.stageIndex].Stage.Name, r.GetReason())
	if st, ok := wire.TicketState(r.GetReason()); ok {
		e.ticketState = st
		if ticket.State(st) == ticket.StateVoided {
			return stage.Event{Kind: stage.EventRefused, RetryAfter: retryAfter}
		}
		return stage.Event{Kind: stage.EventTicketUnusable, RetryAfter: retryAfter}
	}
	switch r.GetReason() {
	case wire.ReasonExpired, wire.ReasonNotRetained:
		return stage.Event{Kind: stage.EventAttemptUnknown}
	default:
		return stage.Event{Kind: stage.EventRefused, RetryAfter: retryAfter}
	}
}

// handleResult handles the end of the current attempt.
func (e *execution) handleResult(r *wire.Result) stage.Event {
	if room := r.GetRoom(); room != nil {
		e.current.endpoint.Load.Observe(ctrl.RouteReport(room))
	}
	c := cost{stageIndex: e.stageIndex, engineTime: time.Duration(r.GetEngineUs()) * time.Microsecond, tokens: int(r.GetTokens())}
	if r.GetFailure() != "" {
		e.err = fmt.Errorf("endpoint %s failed in stage %s: %s", e.current.endpoint.Instance.ID, e.routes.Stages[e.stageIndex].Stage.Name, r.GetFailure())
		return e.handleFailure(r, c)
	}
	if err := e.assembler.CheckComplete(int(r.GetLength())); err != nil {
		return e.handleInvalidOutput(err)
	}
	e.acknowledge(e.current)
	if !r.GetReplay() { // a replayed result says nothing about the stage's latency
		e.executor.Stats.Window(e.req.Pipeline, e.routes.Stages[e.stageIndex].Stage.Name).Record(time.Since(e.current.sentAt))
	}
	c.resultUsed = true
	e.costs = append(e.costs, c)
	return stage.Event{Kind: stage.EventDone}
}

// handleFailure handles the end of the current attempt with a failure.
func (e *execution) handleFailure(r *wire.Result, c cost) stage.Event {
	e.acknowledge(e.current)
	if r.GetNotStarted() {
		return stage.Event{Kind: stage.EventRefused}
	}
	e.costs = append(e.costs, c)
	if r.GetRejected() {
		return stage.Event{Kind: stage.EventRejected}
	}
	return stage.Event{Kind: stage.EventFailed}
}

// acknowledge tells the agent that all output of the attempt was received, so
// that it can release the result.
func (e *execution) acknowledge(a *attempt) {
	if err := a.stream.Send(newCancelRequest(a.wireID(e.executor.Incarnation), true)); err != nil {
		e.executor.Log.Debug().Err(err).Uint64("attempt", a.seq).Msg("acknowledge")
	}
}

// cancelAttempt tells the agent that the attempt's output is no longer needed. It
// doesn't block, so that a silent link can't delay the answer to the caller. If
// the message is lost, the agent keeps the result until the deadline.
func (e *execution) cancelAttempt(a *attempt) {
	st := a.stream
	if st == nil {
		return
	}
	a.stream = nil
	go func() {
		defer st.Close()
		if err := st.Send(newCancelRequest(a.wireID(e.executor.Incarnation), false)); err != nil {
			e.executor.Log.Debug().Err(err).Uint64("attempt", a.seq).Msg("cancel")
		}
	}()
}

func newCancelRequest(id *wire.AttemptID, acknowledged bool) *wire.Request {
	return &wire.Request{Kind: &wire.Request_Cancel{Cancel: &wire.Cancel{Id: id, Acknowledged: acknowledged}}}
}

// detachAttempt abandons the current attempt. Its later messages are ignored.
func (e *execution) detachAttempt() {
	if e.current == nil {
		return
	}
	if e.current.stream != nil {
		e.current.stream.Close()
	}
	e.current.endpoint.Load.EndDispatch()
	e.current.held.Release()
	e.current = nil
}

// awaitLink waits for a link to the agent of the current attempt, for at most d, and
// posts the result as an event. The returned event is empty unless the agent is
// not known. It doesn't block.
func (e *execution) awaitLink(d time.Duration) stage.Event {
	if e.current == nil {
		return stage.Event{Kind: stage.EventNoLink}
	}
	a, gen := e.current, e.current.streamGen
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), d)
		defer cancel()
		kind := stage.EventLinkUp
		if err := a.peer.AwaitLink(ctx); err != nil {
			kind = stage.EventNoLink
		}
		e.post(event{seq: a.seq, streamGen: gen, kind: kind})
	}()
	return stage.Event{}
}

// requestVoid asks the agent to void the current attempt and posts the answer as
// an event. It doesn't block.
func (e *execution) requestVoid() {
	a, gen := e.current, e.current.streamGen
	wait := time.Until(e.deadline)
	if e.routes.Stages[e.stageIndex].Stage.Idempotent {
		wait = min(wait, idempotentVoidTimeout)
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), wait)
		defer cancel()
		v := &wire.Void{Id: a.wireID(e.executor.Incarnation), Incarnation: a.incarnation}
		kind, state := voidAttempt(ctx, a.peer, v)
		e.post(event{seq: a.seq, streamGen: gen, kind: kind, state: state})
	}()
}

// voidAttempt asks an agent to void an attempt and returns the event for its
// answer, and the state that the agent reports. It blocks until the answer arrives or
// ctx ends.
func voidAttempt(ctx context.Context, p *ctrl.Peer, v *wire.Void) (stage.EventKind, runs.State) {
	reply := &wire.VoidReply{}
	err := p.Query(ctx, &wire.Request{Kind: &wire.Request_Void{Void: v}}, func(st *link.Stream) error {
		return st.Receive(reply)
	})
	if err != nil {
		return stage.EventUnreachable, ""
	}
	state := runs.State(reply.GetState())
	switch state {
	case runs.StateVoided:
		return stage.EventVoided, state
	case runs.StateRunning, runs.StateDone, runs.StateQueued:
		return stage.EventRunning, state
	default:
		return stage.EventAttemptUnknown, state
	}
}

// resume requests the rest of the current attempt's output on a new stream.
func (e *execution) resume() stage.Event {
	if e.current.stream != nil {
		e.current.stream.Close()
	}
	st, err := e.current.peer.Call(&wire.Request{Kind: &wire.Request_Resume{Resume: &wire.Resume{
		Id:          e.current.wireID(e.executor.Incarnation),
		Incarnation: e.current.incarnation,
		Offset:      uint64(e.assembler.Offset()),
	}}})
	if err != nil {
		return stage.Event{Kind: stage.EventUnreachable}
	}
	e.receiveProgress(st)
	return stage.Event{}
}

// voidSerial voids the serial of one stage of a ticket and reports whether this
// proves that it has not run and never will.
func (x *Executor) voidSerial(ctx context.Context, ts *wire.TicketStage) bool {
	p := x.Control.Peer(ts.GetInstance())
	if p == nil {
		return false
	}
	reply := &wire.VoidReply{}
	err := p.Query(ctx, &wire.Request{Kind: &wire.Request_Void{Void: &wire.Void{Serial: ts.GetSerial()}}}, func(st *link.Stream) error {
		return st.Receive(reply)
	})
	return err == nil && ticket.State(reply.GetState()) == ticket.StateVoided
}

// recordCosts adds the engine work of an ended request to the cost statistics.
func (e *execution) recordCosts(end stage.End) {
	for _, c := range e.costs {
		key := meter.CostKey{Pipeline: e.req.Pipeline, Stage: e.routes.Stages[c.stageIndex].Stage.Name, Use: costUse(c, end)}
		e.executor.Stats.Costs.Add(key, c.engineTime, c.tokens)
	}
}

// costUse returns what the engine work of an attempt was used for.
func costUse(c cost, end stage.End) meter.Use {
	switch {
	case end.Cause == stage.CauseCallerGone:
		return meter.UseCancelled
	case !c.resultUsed:
		return meter.UseRetried
	case end.Outcome == stage.OutcomeAnswered:
		return meter.UseUseful
	default:
		return meter.UseLate
	}
}
