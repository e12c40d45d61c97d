// Package exec executes requests stage by stage. Package core/stage decides what
// to do next; this package exchanges messages with agents and runs the timers.
// Each request is owned by one goroutine.
package exec

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/phuslu/log"

	"wigeonplank.example/base/budget"
	"wigeonplank.example/base/link"
	"wigeonplank.example/base/stall"
	"wigeonplank.example/core/admit"
	"wigeonplank.example/core/conf"
	"wigeonplank.example/core/retry"
	"wigeonplank.example/core/route"
	"wigeonplank.example/core/runs"
	"wigeonplank.example/core/stage"
	"wigeonplank.example/core/ticket"
	"wigeonplank.example/core/wire"
	"wigeonplank.example/entry/ctrl"
)

const (
	affinityPrefixBytes = 256 // bytes at the start of the input that prompt affinity hashes

	// MaxResultsBytes limits what an entry holds of the results of all requests in flight:
	// 8 kB for each of front.DefaultMaxConns requests. Copies for callers come on top.
	MaxResultsBytes = 64 << 20

	// idempotentVoidTimeout bounds the wait for the agent's answer about a lost
	// attempt of an idempotent stage, which may be retried without that answer.
	idempotentVoidTimeout = 300 * time.Millisecond
)

// Request is one validated request to a pipeline.
type Request struct {
	ID       string
	Pipeline string
	Team     string
	Class    string
	Input    string
	Deadline time.Time
	Ticket   *wire.TicketBody // nil if all stages are idempotent
	Digest   []byte           // digest of the caller's request; set if Ticket is
}

// Result describes how a request ended.
type Result struct {
	End         stage.End
	Kind        conf.StageKind // kind of the last stage
	TicketState string         // state of the ticket, if an agent reported it
	Err         error          // last error of an endpoint, agent or the router
}

// Executor executes requests. Set the exported fields before use. It is safe for
// concurrent use.
type Executor struct {
	Control         *ctrl.Control
	Router          *route.Router
	Retry           *retry.Budget
	Stats           *Stats
	Incarnation     uint64 // incarnation of this entry
	IgnoreEstimates bool   // baseline for measurements: start stages that can't meet the deadline
	NoAffinity      bool   // baseline for measurements: ignore prompt prefixes
	Log             *log.Logger
	Results         budget.Budget // for the results of all requests in flight, by instance

	lastSeq atomic.Uint64

	mu      sync.Mutex
	stopBy  time.Time     // zero before StopBy
	stopped chan struct{} // closed by StopBy; created when first needed
}

// LastSeq returns the highest attempt number used so far.
func (x *Executor) LastSeq() uint64 { return x.lastSeq.Load() }

// StopBy brings the deadlines of all requests forward to t, also of those in flight. It
// has an effect only once.
func (x *Executor) StopBy(t time.Time) {
	_, stopped := x.stop()
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.stopBy.IsZero() {
		x.stopBy = t
		close(stopped)
	}
}

// stop returns the time set by StopBy, or zero, and the channel that StopBy closes.
func (x *Executor) stop() (time.Time, chan struct{}) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.stopped == nil {
		x.stopped = make(chan struct{})
	}
	return x.stopBy, x.stopped
}

// Run executes a request and returns how it ended. Bytes of the last stage's
// result are passed to emit in order as they arrive; on OutcomeAnswered they
// are the whole answer. emit may also be called for a request that ends with
// another outcome. limiter is notified if no endpoint has capacity. Closing
// callerGone cancels the request. Run blocks until the deadline at the latest,
// plus the time it takes to void the request's ticket (minVoidTicketTimeout at most).
func (x *Executor) Run(req *Request, limiter *admit.Limiter, callerGone <-chan struct{}, emit func([]byte)) Result {
	t := x.Control.Table()
	routes := t.Pipeline(req.Pipeline)
	e := &execution{
		executor: x,
		req:      req,
		routes:   routes,
		limiter:  limiter,
		emit:     emit,
		deadline: req.Deadline,
		events:   make(chan event, 1),
		done:     make(chan struct{}),
	}
	e.flow = &stage.Flow{Stages: x.stageSpecs(routes), Deadline: req.Deadline, WithdrawRetry: x.Retry.Withdraw, IgnoreEstimates: x.IgnoreEstimates}
	defer close(e.done)
	defer e.detachAttempt()
	x.Retry.Deposit()
	return e.run(callerGone)
}

// stageSpecs returns the stages of a pipeline with the median of their recent
// latencies as the estimate.
func (x *Executor) stageSpecs(p *route.PipelineRoutes) []stage.Spec {
	out := make([]stage.Spec, len(p.Stages))
	for i, s := range p.Stages {
		win := x.Stats.Window(p.Pipeline.Name, s.Stage.Name)
		out[i] = stage.Spec{Name: s.Stage.Name, Idempotent: s.Stage.Idempotent, Estimate: win.Median}
	}
	return out
}

// event is sent by an attempt's goroutines to the goroutine that owns the
// request.
type event struct {
	seq       uint64 // sequence number of the attempt
	streamGen int    // generation of the stream it was received on
	kind      stage.EventKind
	state     runs.State // for a reply to a void
	progress  *wire.Progress
	err       error
}

// execution is the state of one request in flight. It is owned by the goroutine in
// run; other goroutines use only events, done and the fields that never change.
type execution struct {
	executor *Executor
	req      *Request
	routes   *route.PipelineRoutes
	limiter  *admit.Limiter
	emit     func([]byte)
	flow     *stage.Flow
	deadline time.Time // the request's, or that of StopBy if it is earlier

	events chan event
	done   chan struct{} // closed when the request has ended and events is no longer read

	current        *attempt
	tried          []*route.Endpoint // endpoints tried for the current stage
	stageIndex     int               // index of the current stage
	assembler      *stage.Assembler  // output of the current stage; nil before the first one
	previousResult json.RawMessage   // result of the previous stage, which may be text instead of JSON
	costs          []cost
	ticketState    string
	runningState   string // state of the ticket's serial by the last reply to a void: running, or empty if it isn't known to be
	err            error
}

// attempt is one dispatch of one stage to one endpoint.
type attempt struct {
	seq         uint64
	endpoint    *route.Endpoint
	peer        *ctrl.Peer
	incarnation uint64 // incarnation of the agent
	stream      *link.Stream
	streamGen   int // number of streams opened for the attempt
	sentAt      time.Time
	held        *budget.Reservation // for what was received of the result
	evicted     chan struct{}       // closed when the result has to be given up in favour of others
}

// cost is the engine work of one attempt.
type cost struct {
	stageIndex int
	engineTime time.Duration
	tokens     int
	resultUsed bool // the result became part of the answer or the input of the next stage
}

// run drives the request to its end.
func (e *execution) run(callerGone <-chan struct{}) Result {
	stopBy, stopped := e.executor.stop()
	if !stopBy.IsZero() {
		e.limitDeadline(stopBy)
	}
	t := &interrupts{
		deadlineNear: time.NewTimer(time.Until(e.deadline.Add(-stage.DeadlineMargin))),
		deadline:     time.NewTimer(time.Until(e.deadline)),
		stopped:      stopped,
		callerGone:   callerGone,
	}
	defer t.deadlineNear.Stop()
	defer t.deadline.Stop()
	a := e.flow.Handle(time.Now(), stage.Event{Kind: stage.EventStart})
	for {
		ev, end := e.perform(a)
		if end != nil {
			return e.finish(*end)
		}
		if ev.Kind == "" {
			ev = e.nextEvent(t)
		}
		a = e.flow.Handle(time.Now(), ev)
		if ev.Kind == stage.EventRunning && a.Kind == stage.ActionFinish && !e.routes.Stages[e.stageIndex].Stage.Idempotent {
			e.ticketState = e.runningState
		}
	}
}

// interrupts are the sources of events that no attempt sends.
type interrupts struct {
	deadlineNear *time.Timer // stage.DeadlineMargin before the deadline
	deadline     *time.Timer
	stopped      <-chan struct{} // closed by StopBy; nil once that was handled
	callerGone   <-chan struct{}
	extended     bool // by outlastStall
}

// limitDeadline brings the deadline forward to t if it is later.
func (e *execution) limitDeadline(t time.Time) {
	if t.Before(e.deadline) {
		e.deadline = t
		e.flow.Deadline = t
	}
}

// outlastStall sets both timers anew if one that was due at a time was noticed so late that this
// process stood still: what arrived meanwhile is still on its way through the link. It does so only
// once.
func (t *interrupts) outlastStall(due time.Time) bool {
	if t.extended || !stall.Late(due) {
		return false
	}
	t.extended = true
	t.deadlineNear.Reset(stall.Grace)
	t.deadline.Reset(stall.Grace + stage.DeadlineMargin)
	return true
}

// handleEvent converts an event of an attempt to an event of the flow. The result is empty if the
// flow has nothing to decide.
func (e *execution) handleEvent(ev event) stage.Event {
	if e.current == nil || ev.seq != e.current.seq || ev.streamGen != e.current.streamGen {
		return stage.Event{} // belongs to an abandoned attempt or stream
	}
	return e.handleProgress(ev)
}

// arrivedOr returns the event that has arrived when a timer fires, which then fires again, or else
// one of the given kind.
func (e *execution) arrivedOr(fired *time.Timer, kind stage.EventKind) stage.Event {
	select {
	case ev := <-e.events:
		if out := e.handleEvent(ev); out.Kind != "" {
			fired.Reset(0)
			return out
		}
	default:
	}
	return stage.Event{Kind: kind}
}

// nextEvent waits for the next event that concerns the flow.
func (e *execution) nextEvent(t *interrupts) stage.Event {
	var evicted <-chan struct{}
	if e.current != nil {
		evicted = e.current.evicted
	}
	for {
		select {
		case ev := <-e.events:
			if out := e.handleEvent(ev); out.Kind != "" {
				return out
			}
		case <-evicted:
			return e.handleInvalidOutput(budget.ErrOver)
		case <-t.stopped:
			t.stopped = nil
			stopBy, _ := e.executor.stop()
			e.limitDeadline(stopBy)
			t.deadlineNear.Reset(time.Until(e.deadline.Add(-stage.DeadlineMargin)))
			t.deadline.Reset(time.Until(e.deadline))
		case <-t.deadlineNear.C:
			if t.outlastStall(e.deadline.Add(-stage.DeadlineMargin)) {
				continue
			}
			return e.arrivedOr(t.deadlineNear, stage.EventDeadlineNear)
		case <-t.deadline.C:
			if t.outlastStall(e.deadline) {
				continue
			}
			return e.arrivedOr(t.deadline, stage.EventDeadline)
		case <-t.callerGone:
			return stage.Event{Kind: stage.EventCallerGone}
		}
	}
}

// perform carries out an action. It returns an event if the action produces one
// immediately, and the end of the request if the action finishes it.
func (e *execution) perform(a stage.Action) (stage.Event, *stage.End) {
	switch a.Kind {
	case stage.ActionDispatch:
		return e.dispatch(a), nil
	case stage.ActionAwaitLink:
		return e.awaitLink(a.Budget), nil
	case stage.ActionVoid:
		e.requestVoid()
	case stage.ActionResume:
		return e.resume(), nil
	case stage.ActionFinish:
		if a.Cancel && e.current != nil {
			e.cancelAttempt(e.current)
		}
		return stage.Event{}, &a.End
	}
	return stage.Event{}, nil
}

// dispatch starts a new attempt of a stage. If there is no endpoint for it, the current
// attempt of the stage stays.
func (e *execution) dispatch(a stage.Action) stage.Event {
	retry := a.Stage == e.stageIndex && e.assembler != nil
	if !retry {
		e.detachAttempt()
		e.beginStage(a.Stage)
	}
	s := e.routes.Stages[a.Stage]
	ep, serial, err := e.selectTarget(s)
	if err != nil {
		return e.handleNoTarget(err)
	}
	if retry {
		e.detachAttempt()
		e.beginRetry()
	}
	e.beginAttempt(ep)
	e.current.peer = e.executor.Control.Peer(ep.Instance.ID)
	return e.sendDispatch(s, a.Budget, serial)
}

// beginAttempt makes an attempt at ep the current one.
func (e *execution) beginAttempt(ep *route.Endpoint) {
	evicted := make(chan struct{})
	e.tried = append(e.tried, ep)
	e.current = &attempt{
		seq:         e.executor.lastSeq.Add(1),
		endpoint:    ep,
		incarnation: ep.Load.Incarnation(),
		sentAt:      time.Now(),
		held:        e.executor.Results.Reserve(ep.Instance.ID, func() { close(evicted) }),
		evicted:     evicted,
	}
}

// beginStage prepares for the first attempt of a stage.
func (e *execution) beginStage(i int) {
	if e.assembler != nil {
		e.previousResult = e.assembler.Bytes()
	}
	e.stageIndex = i
	e.tried = e.tried[:0]
	e.assembler = &stage.Assembler{}
}

// beginRetry prepares for another attempt of the current stage. The output of the
// last stage may already have been sent to the caller, so a retry must repeat
// it; partial output of other stages is discarded.
func (e *execution) beginRetry() {
	if e.isLastStage() {
		e.assembler.Restart()
		return
	}
	e.assembler = &stage.Assembler{}
}

func (e *execution) isLastStage() bool { return e.stageIndex == len(e.routes.Stages)-1 }

// selectTarget returns the endpoint for a stage. For a stage that is not
// idempotent it is the one named by the ticket, with the serial to use; for
// others the router picks it.
func (e *execution) selectTarget(s *route.StageRoutes) (*route.Endpoint, *wire.Serial, error) {
	if s.Stage.Idempotent {
		ep, err := e.executor.Router.Pick(s, route.PickOptions{Team: e.req.Team, Affinity: e.affinityKey(s), Exclude: e.tried})
		return ep, nil, err
	}
	for _, ts := range e.req.Ticket.GetStages() {
		if ts.GetStage() != s.Stage.Name {
			continue
		}
		if ep := e.executor.Control.Table().Endpoint(ts.GetInstance()); ep != nil && e.executor.Control.Peer(ts.GetInstance()) != nil {
			return ep, ts.GetSerial(), nil
		}
	}
	return nil, nil, link.ErrNoLink
}

// affinityKey returns a hash of the prompt's prefix that sends similar prompts
// to the same endpoint, or 0 if the stage has no prompt affinity.
func (e *execution) affinityKey(s *route.StageRoutes) uint64 {
	if e.executor.NoAffinity || s.Stage.Kind != conf.KindGeneration || len(e.req.Input) < affinityPrefixBytes {
		return 0
	}
	return xxhash.Sum64String(e.req.Input[:affinityPrefixBytes])
}

// handleNoTarget handles the failure to select an endpoint.
func (e *execution) handleNoTarget(err error) stage.Event {
	var noEndpoint *route.NoEndpointError
	e.err = err
	if !errors.As(err, &noEndpoint) {
		return stage.Event{Kind: stage.EventUnsent}
	}
	if noEndpoint.Reason == route.ReasonNoCapacity {
		e.limiter.ReportOverload(time.Now())
	}
	return stage.Event{Kind: stage.EventNoEndpoint, RetryAfter: noEndpoint.RetryAfter}
}

// finish ends the request. If the outcome depends on its ticket being void, it
// voids the ticket first.
func (e *execution) finish(end stage.End) Result {
	e.detachAttempt()
	if end.Settle {
		if e.executor.VoidTicket(e.req.Ticket, e.deadline) {
			e.ticketState = string(ticket.StateVoided)
		} else {
			end.Outcome = stage.OutcomeUnknown
		}
	}
	if end.Cause == stage.CauseLate && e.deadline.Before(e.req.Deadline) {
		end.Cause = stage.CauseStopping
	}
	e.recordCosts(end)
	return Result{End: end, Kind: e.routes.Stages[len(e.routes.Stages)-1].Stage.Kind, TicketState: e.ticketState, Err: e.err}
}

// VoidTicket voids all serials of a ticket and reports whether this proves that
// none of them has run or will run. It blocks for voidTicketTimeout at most, and
// beyond the deadline, or the time of StopBy, for minVoidTicketTimeout at most.
func (x *Executor) VoidTicket(body *wire.TicketBody, deadline time.Time) bool {
	if stopBy, _ := x.stop(); !stopBy.IsZero() && stopBy.Before(deadline) {
		deadline = stopBy
	}
	timeout := max(minVoidTicketTimeout, min(voidTicketTimeout, time.Until(deadline)))
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	allVoided := true
	for _, ts := range body.GetStages() {
		allVoided = x.voidSerial(ctx, ts) && allVoided
	}
	return allVoided
}
