// Package stage walks one request through its pipeline: which stage is next,
// whether a try may be repeated, and what may be said at the end.
package stage

import (
	"slices"
	"time"
)

// Step is one stage of a plan.
type Step struct {
	Name       string
	Idempotent bool
	Estimate   func() time.Duration // what the stage usually takes; nil: unknown
}

// Outcome is what is true of a request that has ended.
type Outcome string

// Outcomes of a request.
const (
	OutcomeAnswered Outcome = "answered" // the whole answer was given
	OutcomeNotRun   Outcome = "not_run"  // no stage started, and none ever will
	OutcomePartial  Outcome = "partial"  // only idempotent stages may have run; safe to send again
	OutcomeUnknown  Outcome = "unknown"  // a stage that is not idempotent may have run
	OutcomeFailed   Outcome = "failed"   // an endpoint answered with an error
)

// Cause says why a request ended without its answer.
type Cause string

// Causes of an end without an answer.
const (
	CauseNone       Cause = ""
	CauseLate       Cause = "late"        // it can't, or didn't, meet its deadline
	CauseNoEndpoint Cause = "no_endpoint" // no endpoint for a stage
	CauseRefused    Cause = "refused"     // an agent refused it and no retry was left
	CauseLost       Cause = "lost"        // the agent can't be reached, or is another incarnation
	CauseFailed     Cause = "failed"      // the endpoint failed
	CauseGone       Cause = "caller_gone"
	CauseTicket     Cause = "ticket" // its ticket was used before, or isn't one
)

// EventKind names what happened.
type EventKind string

// Events of a request. Those of an attempt concern the newest one.
const (
	EventStart       EventKind = "start"       // the request arrived
	EventNoEndpoint  EventKind = "no_endpoint" // the router has none; RetryAfter
	EventUnsent      EventKind = "unsent"      // the dispatch never left this process
	EventRefused     EventKind = "refused"     // the agent won't start it; RetryAfter
	EventDone        EventKind = "done"        // the whole result is here
	EventFailed      EventKind = "failed"      // the endpoint failed after a start
	EventRejected    EventKind = "rejected"    // the endpoint answered with an error of its own
	EventLost        EventKind = "lost"        // the link broke
	EventVoided      EventKind = "voided"      // not started, and never will be
	EventRunning     EventKind = "running"     // asked: it has started, or ended with its result held
	EventVanished    EventKind = "vanished"    // asked: nothing can be said of it any more
	EventUnreachable EventKind = "unreachable" // asked: no answer
	EventClosing     EventKind = "closing"     // the margin before the deadline begins
	EventDeadline    EventKind = "deadline"    // the deadline passed
	EventCallerGone  EventKind = "caller_gone"
	EventTicket      EventKind = "ticket" // the agent knows the serial as used, or not at all
)

// Event is an input of a Flow.
type Event struct {
	Kind       EventKind
	RetryAfter time.Duration
}

// ActionKind names what to do next.
type ActionKind string

// Actions that a Flow asks for.
const (
	ActionWait     ActionKind = "wait"     // for the next event
	ActionDispatch ActionKind = "dispatch" // send Stage to an endpoint not tried before
	ActionVoid     ActionKind = "void"     // ask the agent to void the attempt, over a new link if need be
	ActionResume   ActionKind = "resume"   // ask the agent for the rest of the result
	ActionFinish   ActionKind = "finish"   // give the final answer
)

// Action is an output of a Flow. Cancel asks to cancel the newest attempt too.
type Action struct {
	Kind   ActionKind
	Stage  int
	Budget time.Duration
	Cancel bool
	End    End
}

// End is what the caller is told. If Settle is set, the request has a ticket
// whose serials must all be voided before Outcome is true; if one can't be, the
// outcome is OutcomeUnknown.
type End struct {
	Outcome    Outcome
	Settle     bool
	Cause      Cause
	Stage      string
	RetryAfter time.Duration
}

// Margin is kept before the deadline to ask what became of an attempt.
const Margin = 100 * time.Millisecond

type phase string

const (
	phaseIdle       phase = ""
	phaseDispatched phase = "dispatched"
	phaseAsking     phase = "asking" // a void is on its way
	phaseEnded      phase = "ended"
)

// Flow is the state of one request. One goroutine owns it.
type Flow struct {
	Steps    []Step
	Deadline time.Time
	Retry    func(done int) bool // takes one retry out of a budget; nil: never
	NoPlan   bool                // baseline: start stages that can't be in time

	phase   phase
	stage   int
	retries int
	began   bool // some attempt may have started
	doubt   bool // a stage that is not idempotent may have run
	closing bool // the margin before the deadline has begun
	after   time.Duration
}

// Retries returns how often the request was dispatched again.
func (f *Flow) Retries() int { return f.retries }

// Step takes an event at now and returns what to do. Events after the end ask
// for nothing.
func (f *Flow) Step(now time.Time, ev Event) Action {
	if f.phase == phaseEnded {
		return Action{Kind: ActionWait}
	}
	if ev.RetryAfter > 0 {
		f.after = ev.RetryAfter
	}
	switch ev.Kind {
	case EventStart:
		return f.dispatch(now)
	case EventNoEndpoint:
		return f.finish(CauseNoEndpoint)
	case EventUnsent:
		return f.unsent(now)
	case EventRefused, EventVoided:
		return f.notStarted(now)
	case EventDone:
		return f.done(now)
	case EventFailed:
		return f.failed(now)
	case EventRejected:
		f.began = true
		return f.end(OutcomeFailed, CauseFailed)
	case EventLost:
		return f.ask()
	case EventRunning:
		return f.running(now)
	case EventVanished, EventUnreachable:
		return f.lost(now)
	case EventClosing:
		return f.close()
	case EventDeadline:
		return f.deadline()
	case EventTicket:
		return f.end(OutcomeUnknown, CauseTicket)
	case EventCallerGone:
		return f.callerGone()
	}
	return Action{Kind: ActionWait}
}

func (f *Flow) step() Step { return f.Steps[f.stage] }

func (f *Flow) ticketed() bool {
	return slices.ContainsFunc(f.Steps, func(s Step) bool { return !s.Idempotent })
}

func (f *Flow) dispatch(now time.Time) Action {
	budget := f.Deadline.Sub(now) - Margin
	if f.closing || budget <= 0 || (!f.NoPlan && budget < f.ahead()) {
		return f.finish(CauseLate)
	}
	f.phase = phaseDispatched
	return Action{Kind: ActionDispatch, Stage: f.stage, Budget: budget}
}

// ahead is what the stages from the current one on usually take.
func (f *Flow) ahead() time.Duration {
	var sum time.Duration
	for _, s := range f.Steps[f.stage:] {
		if s.Estimate != nil {
			sum += s.Estimate()
		}
	}
	return sum
}

// again dispatches the stage once more if the budget allows it.
func (f *Flow) again(now time.Time, c Cause) Action {
	f.phase = phaseIdle
	if f.closing {
		return f.finish(CauseLate)
	}
	if f.Retry == nil || !f.Retry(f.retries) {
		return f.finish(c)
	}
	f.retries++
	return f.dispatch(now)
}

func (f *Flow) unsent(now time.Time) Action {
	if !f.step().Idempotent {
		return f.finish(CauseLost)
	}
	return f.again(now, CauseLost)
}

// notStarted follows a proof that the attempt never starts. A stage with a
// ticket stays with its agent, so only the caller can go on, with a new ticket.
func (f *Flow) notStarted(now time.Time) Action {
	if !f.step().Idempotent {
		return f.finish(CauseRefused)
	}
	return f.again(now, CauseRefused)
}

func (f *Flow) done(now time.Time) Action {
	f.began = true
	f.phase = phaseIdle
	if f.stage == len(f.Steps)-1 {
		return f.end(OutcomeAnswered, CauseNone)
	}
	f.stage++
	return f.dispatch(now)
}

func (f *Flow) failed(now time.Time) Action {
	f.began = true
	if !f.step().Idempotent {
		f.doubt = true
		return f.finish(CauseFailed)
	}
	return f.again(now, CauseFailed)
}

func (f *Flow) ask() Action {
	if f.phase != phaseDispatched {
		return Action{Kind: ActionWait}
	}
	f.phase = phaseAsking
	return Action{Kind: ActionVoid, Stage: f.stage}
}

// running follows the agent's word that the attempt has started.
func (f *Flow) running(now time.Time) Action {
	f.began = true
	if f.closing {
		f.doubt = f.doubt || !f.step().Idempotent
		return f.finishCancel(CauseLate)
	}
	f.phase = phaseDispatched
	return Action{Kind: ActionResume, Stage: f.stage, Budget: f.Deadline.Sub(now) - Margin}
}

func (f *Flow) lost(now time.Time) Action {
	f.began = true
	if !f.step().Idempotent {
		f.doubt = true
		return f.finish(CauseLost)
	}
	return f.again(now, CauseLost)
}

// close asks for the truth about an attempt that won't be in time.
func (f *Flow) close() Action {
	f.closing = true
	switch f.phase {
	case phaseDispatched:
		return f.ask()
	case phaseAsking:
		return Action{Kind: ActionWait}
	default:
		return f.finish(CauseLate)
	}
}

func (f *Flow) deadline() Action {
	if f.phase != phaseIdle {
		f.began = true
		f.doubt = f.doubt || !f.step().Idempotent
	}
	return f.finishCancel(CauseLate)
}

func (f *Flow) callerGone() Action {
	if f.phase != phaseIdle {
		f.began = true
		f.doubt = f.doubt || !f.step().Idempotent
	}
	return f.finishCancel(CauseGone)
}

func (f *Flow) finish(c Cause) Action {
	switch {
	case f.doubt:
		return f.end(OutcomeUnknown, c)
	case f.began:
		return f.end(OutcomePartial, c)
	default:
		return f.end(OutcomeNotRun, c)
	}
}

// finishCancel ends the request and cancels its attempt, unless the attempt is
// not idempotent: that runs on, and its answer waits for its ticket.
func (f *Flow) finishCancel(c Cause) Action {
	a := f.finish(c)
	a.Cancel = f.step().Idempotent
	return a
}

func (f *Flow) end(o Outcome, c Cause) Action {
	f.phase = phaseEnded
	return Action{Kind: ActionFinish, Stage: f.stage, End: End{
		Outcome:    o,
		Settle:     f.ticketed() && (o == OutcomeNotRun || o == OutcomePartial),
		Cause:      c,
		Stage:      f.step().Name,
		RetryAfter: f.after,
	}}
}
