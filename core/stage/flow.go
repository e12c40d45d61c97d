// Package stage runs one request through the stages of its pipeline. Flow
// decides which stage to dispatch next, whether an attempt may be retried, and
// which outcome may be reported at the end. Assembler puts the chunks of a
// stage's result in order.
package stage

import (
	"slices"
	"time"
)

// Spec describes one stage of a request.
type Spec struct {
	Name       string
	Idempotent bool
	Estimate   func() time.Duration // typical duration of the stage; nil if unknown
}

// Outcome states what is known to be true of a request that has ended.
type Outcome string

// Outcomes of a request.
const (
	OutcomeAnswered Outcome = "answered" // the whole answer was delivered
	OutcomeNotRun   Outcome = "not_run"  // no stage started, and none ever will
	OutcomePartial  Outcome = "partial"  // only idempotent stages may have run; the request can safely be sent again
	OutcomeUnknown  Outcome = "unknown"  // a non-idempotent stage may have run
	OutcomeFailed   Outcome = "failed"   // an endpoint returned an error
)

// Cause is the reason why a request ended without an answer.
type Cause string

// Causes of an end without an answer.
const (
	CauseNone           Cause = ""
	CauseLate           Cause = "late"        // the deadline has passed or can't be met
	CauseNoEndpoint     Cause = "no_endpoint" // no endpoint for a stage
	CauseRefused        Cause = "refused"     // the attempt was refused or voided, and not retried
	CauseLost           Cause = "lost"        // the agent is unreachable or was replaced by another incarnation
	CauseFailed         Cause = "failed"      // the endpoint failed or returned an error
	CauseCallerGone     Cause = "caller_gone" // the caller cancelled the request
	CauseTicketUnusable Cause = "ticket"      // the ticket was used before or is not valid
	CauseStopping       Cause = "stopping"    // the entry is stopping, or stopped before the deadline
)

// EventKind is the type of an Event.
type EventKind string

// Events of a request. Events about an attempt concern the newest attempt. Those
// marked "void reply" answer an ActionVoid.
const (
	EventStart          EventKind = "start"       // the request arrived
	EventNoEndpoint     EventKind = "no_endpoint" // the router found no endpoint; RetryAfter is set
	EventUnsent         EventKind = "unsent"      // the dispatch never left this process
	EventLinkUp         EventKind = "link_up"     // reply to ActionAwaitLink: there is a link to the agent again
	EventNoLink         EventKind = "no_link"     // reply to ActionAwaitLink: there was no link in time
	EventRefused        EventKind = "refused"     // the agent won't start the attempt; RetryAfter may be set
	EventDone           EventKind = "done"        // the whole result was received
	EventFailed         EventKind = "failed"      // the endpoint failed after the attempt started
	EventRejected       EventKind = "rejected"    // the endpoint answered with an error of its own, or repeated output diverged; not retried
	EventLinkLost       EventKind = "lost"        // the link to the agent failed
	EventVoided         EventKind = "voided"      // void reply: the attempt has not started and never will
	EventRunning        EventKind = "running"     // void reply: the attempt has started, or ended with its result retained
	EventAttemptUnknown EventKind = "vanished"    // the agent can't tell what became of the attempt
	EventUnreachable    EventKind = "unreachable" // the agent did not answer a void or a resume
	EventDeadlineNear   EventKind = "closing"     // less than DeadlineMargin is left until the deadline
	EventDeadline       EventKind = "deadline"    // the deadline passed
	EventCallerGone     EventKind = "caller_gone" // the caller cancelled the request
	EventTicketUnusable EventKind = "ticket"      // the agent has seen the ticket's serial before, or does not know it
)

// Event is an input of a Flow.
type Event struct {
	Kind       EventKind
	RetryAfter time.Duration // suggested delay before the caller sends the request again; 0 if none
}

// ActionKind is the type of an Action.
type ActionKind string

// Actions that a Flow requests.
const (
	ActionWait      ActionKind = "wait"       // wait for the next event
	ActionDispatch  ActionKind = "dispatch"   // send the stage to an endpoint that was not tried before; if there is none, the newest attempt stays
	ActionAwaitLink ActionKind = "await_link" // wait for a link to the agent of the attempt that was not sent
	ActionVoid      ActionKind = "void"       // ask the agent to void the attempt, over a new link if needed
	ActionResume    ActionKind = "resume"     // ask the agent for the rest of the result
	ActionFinish    ActionKind = "finish"     // report End to the caller
)

// Action is an output of a Flow.
type Action struct {
	Kind   ActionKind
	Stage  int           // index of the stage
	Budget time.Duration // time left for the stage, or for the wait of ActionAwaitLink
	Cancel bool          // cancel the newest attempt as well
	End    End           // for ActionFinish
}

// End is the final result of a request as reported to the caller. If Settle is
// set, the request has a ticket, and Outcome holds only once all serials of the
// ticket are voided. If one of them can't be voided, for instance because its
// stage has run, the outcome is OutcomeUnknown.
type End struct {
	Outcome    Outcome
	Settle     bool
	Cause      Cause
	Stage      string // name of the stage at which the request ended
	RetryAfter time.Duration
}

// DeadlineMargin is the time reserved before the deadline to find out what
// became of an attempt in flight.
const DeadlineMargin = 100 * time.Millisecond

// RelinkTimeout bounds how long a request waits in total for links to agents: those that
// alone can run its non-idempotent stages, and those that may be running an idempotent
// stage while no other attempt can follow.
const RelinkTimeout = 500 * time.Millisecond

// phase is the state of the newest attempt.
type phase string

const (
	phaseIdle       phase = ""           // no attempt in flight
	phaseDispatched phase = "dispatched" // an attempt is in flight
	phaseVoiding    phase = "asking"     // the agent was asked to void the attempt
	phaseEnded      phase = "ended"      // the request has ended
)

// Flow is the state machine of one request. Its methods do no I/O: the caller
// carries out the actions and reports their results as events. It is not safe
// for concurrent use.
type Flow struct {
	Stages          []Spec
	Deadline        time.Time
	WithdrawRetry   func(done int) bool // withdraws a retry from a budget after done retries of the request; nil allows none
	IgnoreEstimates bool                // baseline for comparison: dispatch stages even if their estimates exceed the deadline

	phase              phase
	current            int // index of the current stage
	retries            int
	mayHaveStarted     bool      // an attempt may have started
	mayHaveSideEffects bool      // a non-idempotent attempt may have run without a known result; for completed ones see End.Settle
	nearDeadline       bool      // EventDeadlineNear was received
	relinkUntil        time.Time // end of the wait for links; zero before the first wait
	replacing          bool      // the last action dispatches a stage whose previous attempt may still be running
	unusedRetry        bool      // a retry was withdrawn that found no endpoint
	retryAfter         time.Duration
}

// Retries returns how many times a stage of the request was retried.
func (f *Flow) Retries() int { return f.retries }

// Handle processes an event at time now and returns the next action. After the
// end of the request it always returns ActionWait.
func (f *Flow) Handle(now time.Time, ev Event) Action {
	if f.phase == phaseEnded {
		return Action{Kind: ActionWait}
	}
	if ev.RetryAfter > 0 {
		f.retryAfter = ev.RetryAfter
	}
	replacing := f.replacing
	f.replacing = false
	switch ev.Kind {
	case EventStart:
		return f.dispatch(now)
	case EventNoEndpoint:
		if replacing {
			f.unusedRetry = true
			return f.voidAgain(now, CauseNoEndpoint)
		}
		return f.finish(CauseNoEndpoint)
	case EventUnsent:
		return f.handleUnsent(now)
	case EventLinkUp:
		return f.dispatch(now)
	case EventNoLink:
		return f.finish(CauseLost)
	case EventRefused, EventVoided:
		return f.handleNotStarted(now)
	case EventDone:
		return f.handleDone(now)
	case EventFailed:
		return f.handleFailed(now)
	case EventRejected:
		f.mayHaveStarted = true
		return f.finishWith(OutcomeFailed, CauseFailed)
	case EventLinkLost:
		return f.voidAttempt()
	case EventRunning:
		return f.handleRunning(now)
	case EventAttemptUnknown:
		return f.handleLost(now)
	case EventUnreachable:
		return f.handleUnreachable(now)
	case EventDeadlineNear:
		return f.handleDeadlineNear()
	case EventDeadline:
		return f.handleDeadline()
	case EventTicketUnusable:
		return f.finishWith(OutcomeUnknown, CauseTicketUnusable)
	case EventCallerGone:
		return f.handleCallerGone()
	}
	return Action{Kind: ActionWait}
}

// currentStage returns the current stage.
func (f *Flow) currentStage() Spec { return f.Stages[f.current] }

// needsTicket reports whether the request has a stage that is not idempotent.
func (f *Flow) needsTicket() bool {
	return slices.ContainsFunc(f.Stages, func(s Spec) bool { return !s.Idempotent })
}

// dispatch requests an attempt of the current stage, or ends the request if the
// remaining stages can't be done before the deadline.
func (f *Flow) dispatch(now time.Time) Action {
	budget := f.Deadline.Sub(now) - DeadlineMargin
	if !f.inTime(budget) {
		return f.finish(CauseLate)
	}
	f.phase = phaseDispatched
	return Action{Kind: ActionDispatch, Stage: f.current, Budget: budget}
}

// inTime reports whether the remaining stages can be done within a budget.
func (f *Flow) inTime(budget time.Duration) bool {
	return !f.nearDeadline && budget > 0 && (f.IgnoreEstimates || budget >= f.remainingEstimate())
}

// remainingEstimate returns the sum of the estimates of the current and all later
// stages. Stages without an estimate count as zero.
func (f *Flow) remainingEstimate() time.Duration {
	var sum time.Duration
	for _, s := range f.Stages[f.current:] {
		if s.Estimate != nil {
			sum += s.Estimate()
		}
	}
	return sum
}

// retry dispatches the current stage again if the retry budget allows it.
// Otherwise the request ends with cause c.
func (f *Flow) retry(now time.Time, c Cause) Action {
	f.phase = phaseIdle
	if f.nearDeadline {
		return f.finish(CauseLate)
	}
	if !f.withdrawRetry() {
		return f.finish(c)
	}
	return f.dispatch(now)
}

// withdrawRetry reports whether the retry budget allows another attempt.
func (f *Flow) withdrawRetry() bool {
	if f.unusedRetry {
		f.unusedRetry = false
		return true
	}
	if f.WithdrawRetry == nil || !f.WithdrawRetry(f.retries) {
		return false
	}
	f.retries++
	return true
}

// handleUnsent handles a dispatch that never left this process. At a
// non-idempotent stage the request waits for a new link: only the agent that
// issued the serial can run the stage, so a retry at another agent is impossible.
func (f *Flow) handleUnsent(now time.Time) Action {
	if f.currentStage().Idempotent {
		return f.retry(now, CauseLost)
	}
	f.phase = phaseIdle
	if f.relinkUntil.IsZero() {
		f.relinkUntil = now.Add(RelinkTimeout)
	}
	wait := min(f.relinkUntil.Sub(now), f.Deadline.Sub(now)-DeadlineMargin)
	if wait <= 0 {
		return f.finish(CauseLost)
	}
	return Action{Kind: ActionAwaitLink, Stage: f.current, Budget: wait}
}

// handleNotStarted handles proof that the attempt never starts. At a
// non-idempotent stage the request ends, as in handleUnsent; the caller can send
// it again with a new ticket.
func (f *Flow) handleNotStarted(now time.Time) Action {
	if !f.currentStage().Idempotent {
		return f.finish(CauseRefused)
	}
	return f.retry(now, CauseRefused)
}

// handleDone moves on to the next stage, or ends the request after the last one.
func (f *Flow) handleDone(now time.Time) Action {
	f.mayHaveStarted = true
	f.phase = phaseIdle
	if f.current == len(f.Stages)-1 {
		return f.finishWith(OutcomeAnswered, CauseNone)
	}
	f.current++
	return f.dispatch(now)
}

// handleFailed retries an idempotent stage whose attempt failed after its start.
func (f *Flow) handleFailed(now time.Time) Action {
	f.mayHaveStarted = true
	if !f.currentStage().Idempotent {
		f.mayHaveSideEffects = true
		return f.finish(CauseFailed)
	}
	return f.retry(now, CauseFailed)
}

// voidAttempt requests that the agent voids the attempt in flight, if there is
// one that it has not been asked to void.
func (f *Flow) voidAttempt() Action {
	if f.phase != phaseDispatched {
		return Action{Kind: ActionWait}
	}
	f.phase = phaseVoiding
	return Action{Kind: ActionVoid, Stage: f.current}
}

// handleRunning handles a report of the agent that the attempt has started. It
// fetches the rest of the result, unless the deadline is near.
func (f *Flow) handleRunning(now time.Time) Action {
	f.mayHaveStarted = true
	if f.nearDeadline {
		f.mayHaveSideEffects = f.mayHaveSideEffects || !f.currentStage().Idempotent
		return f.finishAndCancel(CauseLate)
	}
	f.phase = phaseDispatched
	return Action{Kind: ActionResume, Stage: f.current, Budget: f.Deadline.Sub(now) - DeadlineMargin}
}

// handleUnreachable handles an agent that did not reply. The attempt of an idempotent stage
// may still be running: it is given up only for another attempt, or after RelinkTimeout.
func (f *Flow) handleUnreachable(now time.Time) Action {
	if !f.currentStage().Idempotent || f.nearDeadline {
		return f.handleLost(now)
	}
	f.mayHaveStarted = true
	if f.inTime(f.Deadline.Sub(now)-DeadlineMargin) && f.withdrawRetry() {
		f.replacing = true
		return f.dispatch(now)
	}
	return f.voidAgain(now, CauseLost)
}

// voidAgain requests once more that the agent voids the attempt, or ends the request with
// cause c if the wait for links is over.
func (f *Flow) voidAgain(now time.Time, c Cause) Action {
	if f.relinkUntil.IsZero() {
		f.relinkUntil = now.Add(RelinkTimeout)
	}
	if !now.Before(f.relinkUntil) {
		return f.finish(c)
	}
	f.phase = phaseVoiding
	return Action{Kind: ActionVoid, Stage: f.current}
}

// handleLost handles an attempt whose state the agent doesn't know: it may have run.
func (f *Flow) handleLost(now time.Time) Action {
	f.mayHaveStarted = true
	if !f.currentStage().Idempotent {
		f.mayHaveSideEffects = true
		return f.finish(CauseLost)
	}
	return f.retry(now, CauseLost)
}

// handleDeadlineNear voids the attempt in flight, so that the outcome is known by
// the deadline. If no attempt is in flight, the request ends.
func (f *Flow) handleDeadlineNear() Action {
	f.nearDeadline = true
	switch f.phase {
	case phaseDispatched:
		return f.voidAttempt()
	case phaseVoiding:
		return Action{Kind: ActionWait}
	default:
		return f.finish(CauseLate)
	}
}

// handleDeadline ends the request. An attempt in flight may have started.
func (f *Flow) handleDeadline() Action {
	if f.phase != phaseIdle {
		f.mayHaveStarted = true
		f.mayHaveSideEffects = f.mayHaveSideEffects || !f.currentStage().Idempotent
	}
	return f.finishAndCancel(CauseLate)
}

// handleCallerGone ends the request. An attempt in flight may have started.
func (f *Flow) handleCallerGone() Action {
	if f.phase != phaseIdle {
		f.mayHaveStarted = true
		f.mayHaveSideEffects = f.mayHaveSideEffects || !f.currentStage().Idempotent
	}
	return f.finishAndCancel(CauseCallerGone)
}

// finish ends the request without an answer. The outcome follows from what may
// have run.
func (f *Flow) finish(c Cause) Action {
	switch {
	case f.mayHaveSideEffects:
		return f.finishWith(OutcomeUnknown, c)
	case f.mayHaveStarted:
		return f.finishWith(OutcomePartial, c)
	default:
		return f.finishWith(OutcomeNotRun, c)
	}
}

// finishAndCancel ends the request and cancels an idempotent attempt. A
// non-idempotent attempt keeps running, and its result can be fetched with the
// ticket.
func (f *Flow) finishAndCancel(c Cause) Action {
	a := f.finish(c)
	a.Cancel = f.currentStage().Idempotent
	return a
}

// finishWith ends the request with the given outcome and cause.
func (f *Flow) finishWith(o Outcome, c Cause) Action {
	f.phase = phaseEnded
	return Action{Kind: ActionFinish, Stage: f.current, End: End{
		Outcome:    o,
		Settle:     f.needsTicket() && (o == OutcomeNotRun || o == OutcomePartial),
		Cause:      c,
		Stage:      f.currentStage().Name,
		RetryAfter: f.retryAfter,
	}}
}
