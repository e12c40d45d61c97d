package stage_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"wigeonplank.example/core/runs"
	"wigeonplank.example/core/stage"
	"wigeonplank.example/core/ticket"
	"wigeonplank.example/core/wire"
)

const entryID = 7 // incarnation of the simulated entry

// simDispatch is a dispatch in flight, which the network may delay.
type simDispatch struct {
	id          runs.ID
	incarnation uint64
	stage       int
	serial      *wire.Serial // nil for an idempotent stage
}

// simulation runs one request against one agent over a network that loses and
// delays messages. The agent may restart, and its attempt table and serial table
// are the real ones.
type simulation struct {
	t           *rapid.T
	now         time.Time
	flow        *stage.Flow
	stages      []stage.Spec
	incarnation uint64
	table       *runs.Table
	serialTable *ticket.SerialTable
	serials     map[int]*wire.Serial // serials of the request's ticket, by stage index
	seq         uint64               // sequence number of the newest attempt
	newest      simDispatch
	delayed     []simDispatch // dispatches that have not arrived
	starts      map[int]int   // number of starts, by stage index
	started     bool          // the newest attempt has started
}

// newSimulation draws the stages and the retry budget of a request and issues a
// serial for each non-idempotent stage.
func newSimulation(t *rapid.T) *simulation {
	s := &simulation{
		t:       t,
		now:     time.Unix(1000, 0),
		serials: make(map[int]*wire.Serial),
		starts:  make(map[int]int),
	}
	s.restart()
	for i := range rapid.IntRange(1, 4).Draw(t, "stages") {
		idempotent := rapid.Bool().Draw(t, "idempotent")
		s.stages = append(s.stages, stage.Spec{Name: "s", Idempotent: idempotent})
		if !idempotent {
			s.serials[i] = s.serialTable.Issue(1)[0]
		}
	}
	budget := rapid.IntRange(0, 3).Draw(t, "retries")
	s.flow = &stage.Flow{
		Stages:        s.stages,
		Deadline:      s.now.Add(time.Second),
		WithdrawRetry: func(done int) bool { return done < budget },
	}
	return s
}

// restart replaces the agent by a new incarnation with empty state.
func (s *simulation) restart() {
	s.incarnation++
	s.table = &runs.Table{MaxTombstones: 3}
	s.table.RegisterEntry(entryID, s.seq)
	s.serialTable = ticket.NewSerialTable(s.incarnation, []byte{byte(s.incarnation)}, 64, 0)
}

// draw returns one of the choices. A choice given twice is twice as likely.
func (s *simulation) draw(label string, choices ...string) string {
	return rapid.SampledFrom(choices).Draw(s.t, label)
}

// deliver hands a dispatch to the agent and reports whether the attempt started.
func (s *simulation) deliver(d simDispatch) bool {
	if d.incarnation != s.incarnation || s.table.Admit(d.id, s.now) != runs.StateNew {
		return false
	}
	if d.serial != nil && s.serialTable.Begin(d.serial, nil) != ticket.StateFresh {
		s.table.Void(d.id)
		return false
	}
	s.table.Start(d.id)
	s.starts[d.stage]++
	return true
}

// changeEnvironment lets time pass between two events of the request. It may also
// deliver the delayed dispatches, restart the agent, or use the same ticket for
// another attempt.
func (s *simulation) changeEnvironment() {
	s.now = s.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(s.t, "ms")) * time.Millisecond)
	switch s.draw("environment", "unchanged", "unchanged", "late", "restart", "ticket reused") {
	case "late":
		s.deliverDelayed()
	case "restart":
		s.restart()
	case "ticket reused":
		for i, serial := range s.serials {
			s.seq++
			s.deliver(simDispatch{id: runs.ID{Entry: entryID, Seq: s.seq}, incarnation: s.incarnation, stage: i, serial: serial})
			return
		}
	}
}

// deliverDelayed delivers all dispatches that the network delayed.
func (s *simulation) deliverDelayed() {
	for _, d := range s.delayed {
		s.deliver(d)
	}
	s.delayed = nil
}

// dispatchEvent sends stage i as a new attempt and returns the event that follows.
func (s *simulation) dispatchEvent(i int) stage.Event {
	s.seq++
	s.newest = simDispatch{id: runs.ID{Entry: entryID, Seq: s.seq}, incarnation: s.incarnation, stage: i, serial: s.serials[i]}
	s.started = false
	switch s.draw("network", "delivered", "delivered", "delayed", "unsent", "none") {
	case "unsent":
		return stage.Event{Kind: stage.EventUnsent}
	case "none":
		return stage.Event{Kind: stage.EventNoEndpoint}
	case "delayed":
		s.delayed = append(s.delayed, s.newest)
		return stage.Event{Kind: stage.EventLinkLost}
	}
	if !s.deliver(s.newest) {
		return s.refusalEvent()
	}
	s.started = true
	return s.progressEvent()
}

// linkEvent returns what follows the wait for a link.
func (s *simulation) linkEvent() stage.Event {
	kinds := map[string]stage.EventKind{
		"up":      stage.EventLinkUp,
		"none":    stage.EventNoLink,
		"closing": stage.EventDeadlineNear,
		"over":    stage.EventDeadline,
	}
	return stage.Event{Kind: kinds[s.draw("link", "up", "up", "none", "closing", "over")]}
}

// refusalEvent returns the event for a dispatch that the agent did not start. A
// serial that was not used yet is voided, as the agent does on a refusal.
func (s *simulation) refusalEvent() stage.Event {
	if s.newest.serial != nil {
		switch s.serialTable.State(s.newest.serial) {
		case ticket.StateVoided, ticket.StateFresh:
			s.serialTable.Void(s.newest.serial)
		default:
			return stage.Event{Kind: stage.EventTicketUnusable}
		}
	}
	return stage.Event{Kind: stage.EventRefused}
}

// progressEvent returns what follows the start of the newest attempt. A result
// after the deadline is reported as EventDeadline.
func (s *simulation) progressEvent() stage.Event {
	kinds := map[string]stage.EventKind{
		"done":    stage.EventDone,
		"failed":  stage.EventFailed,
		"lost":    stage.EventLinkLost,
		"closing": stage.EventDeadlineNear,
		"over":    stage.EventDeadline,
	}
	k := kinds[s.draw("progress", "done", "done", "failed", "lost", "closing", "over")]
	if k == stage.EventDone && s.now.After(s.flow.Deadline) {
		k = stage.EventDeadline
	}
	return stage.Event{Kind: k}
}

// voidEvent asks the agent to void the newest attempt and returns its reply, or
// that there is none.
func (s *simulation) voidEvent() stage.Event {
	switch s.draw("void", "answer", "answer", "no reply", "over") {
	case "no reply":
		return stage.Event{Kind: stage.EventUnreachable}
	case "over":
		return stage.Event{Kind: stage.EventDeadline}
	}
	if s.newest.incarnation != s.incarnation {
		return stage.Event{Kind: stage.EventAttemptUnknown}
	}
	switch s.table.Void(s.newest.id) {
	case runs.StateVoided:
		return stage.Event{Kind: stage.EventVoided}
	case runs.StateRunning, runs.StateDone:
		return stage.Event{Kind: stage.EventRunning}
	default:
		return stage.Event{Kind: stage.EventAttemptUnknown}
	}
}

// settledOutcome returns the outcome that the entry reports, after voiding the
// ticket's serials if the end asks for it.
func (s *simulation) settledOutcome(e stage.End) stage.Outcome {
	if !e.Settle {
		return e.Outcome
	}
	for _, serial := range s.serials {
		noReply := s.draw("settle", "answer", "no reply") == "no reply"
		if noReply || s.serialTable.Void(serial) != ticket.StateVoided {
			return stage.OutcomeUnknown
		}
	}
	return e.Outcome
}

// run carries out the flow's actions until the request ends and returns the
// outcome that the entry reports. It fails after 100 steps.
func (s *simulation) run() stage.Outcome {
	ev := stage.Event{Kind: stage.EventStart}
	for range 100 {
		a := s.flow.Handle(s.now, ev)
		s.changeEnvironment()
		switch a.Kind {
		case stage.ActionDispatch:
			ev = s.dispatchEvent(a.Stage)
		case stage.ActionAwaitLink:
			ev = s.linkEvent()
		case stage.ActionVoid:
			ev = s.voidEvent()
		case stage.ActionResume:
			ev = s.progressEvent()
		case stage.ActionFinish:
			return s.settledOutcome(a.End)
		case stage.ActionWait:
			ev = stage.Event{Kind: stage.EventDeadline}
		}
	}
	s.t.Fatalf("the request did not end within 100 steps")
	return ""
}

// TestOutcomesAreTrue checks that the reported outcome still holds after all
// delayed dispatches have arrived. The drawn runs include delays, losses, agent
// restarts and a second use of the same ticket.
func TestOutcomesAreTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		out := s.run()
		s.deliverDelayed()
		for i, spec := range s.stages {
			if !spec.Idempotent && s.starts[i] > 1 {
				t.Fatalf("non-idempotent stage %d started %d times", i, s.starts[i])
			}
			if out == stage.OutcomeNotRun && s.starts[i] > 0 {
				t.Fatalf("outcome is not_run, but stage %d started", i)
			}
			if out == stage.OutcomePartial && !spec.Idempotent && s.starts[i] > 0 {
				t.Fatalf("outcome is partial, but non-idempotent stage %d started", i)
			}
			if out == stage.OutcomeAnswered && s.starts[i] == 0 {
				t.Fatalf("outcome is answered, but stage %d never started", i)
			}
		}
	})
}

// TestNoStageStartsThatCannotBeInTime checks that a request whose estimates add
// up to more than its time limit ends without any dispatch.
func TestNoStageStartsThatCannotBeInTime(t *testing.T) {
	now := time.Unix(1000, 0)
	slow := func() time.Duration { return 600 * time.Millisecond }
	f := &stage.Flow{
		Stages:   []stage.Spec{{Name: "a", Idempotent: true, Estimate: slow}, {Name: "b", Idempotent: true, Estimate: slow}},
		Deadline: now.Add(time.Second),
	}
	a := f.Handle(now, stage.Event{Kind: stage.EventStart})
	if a.Kind != stage.ActionFinish || a.End.Outcome != stage.OutcomeNotRun || a.End.Cause != stage.CauseLate {
		t.Fatalf("got %+v, want an immediate end with outcome not_run and cause late", a)
	}
}

// TestUnsentWaitsForLink guards against charges whose outcome is reported as unknown
// because the link to their agent was replaced between the issue of a ticket and
// its use.
func TestUnsentWaitsForLink(t *testing.T) {
	start := time.Unix(1000, 0)
	tests := map[string]struct {
		left  time.Duration // until the deadline
		reply stage.EventKind
		at    time.Duration // of the reply
		want  stage.Action
	}{
		"link returns": {
			left: 3 * time.Second, reply: stage.EventLinkUp, at: 200 * time.Millisecond,
			want: stage.Action{Kind: stage.ActionDispatch, Budget: 2700 * time.Millisecond},
		},
		"no link in time": {
			left: 3 * time.Second, reply: stage.EventNoLink, at: stage.RelinkTimeout,
			want: stage.Action{Kind: stage.ActionFinish, End: stage.End{Outcome: stage.OutcomeNotRun, Settle: true, Cause: stage.CauseLost, Stage: "charge"}},
		},
		"deadline near": {
			left: 300 * time.Millisecond, reply: stage.EventDeadlineNear, at: 200 * time.Millisecond,
			want: stage.Action{Kind: stage.ActionFinish, End: stage.End{Outcome: stage.OutcomeNotRun, Settle: true, Cause: stage.CauseLate, Stage: "charge"}},
		},
		"caller gone": {
			left: 3 * time.Second, reply: stage.EventCallerGone, at: 200 * time.Millisecond,
			want: stage.Action{Kind: stage.ActionFinish, End: stage.End{Outcome: stage.OutcomeNotRun, Settle: true, Cause: stage.CauseCallerGone, Stage: "charge"}},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := &stage.Flow{Stages: []stage.Spec{{Name: "charge"}}, Deadline: start.Add(test.left)}
			f.Handle(start, stage.Event{Kind: stage.EventStart})
			a := f.Handle(start, stage.Event{Kind: stage.EventUnsent})
			wantWait := min(stage.RelinkTimeout, test.left-stage.DeadlineMargin)
			if a.Kind != stage.ActionAwaitLink || a.Budget != wantWait {
				t.Fatalf("got %+v, want a wait for a link of %v", a, wantWait)
			}
			if a := f.Handle(start.Add(test.at), stage.Event{Kind: test.reply}); a != test.want {
				t.Fatalf("got %+v, want %+v", a, test.want)
			}
		})
	}
}

// TestWaitForLinksIsBounded guards against a request that is held until its deadline
// by a link that breaks again and again.
func TestWaitForLinksIsBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	f := &stage.Flow{Stages: []stage.Spec{{Name: "charge"}}, Deadline: now.Add(time.Minute)}
	a := f.Handle(now, stage.Event{Kind: stage.EventStart})
	until := now.Add(stage.RelinkTimeout)
	for a.Kind == stage.ActionDispatch {
		if now.After(until) {
			t.Fatalf("the stage is still dispatched %v after the first wait", now.Sub(until))
		}
		a = f.Handle(now, stage.Event{Kind: stage.EventUnsent})
		if a.Kind == stage.ActionAwaitLink {
			now = now.Add(min(a.Budget, 60*time.Millisecond))
			a = f.Handle(now, stage.Event{Kind: stage.EventLinkUp})
		}
	}
	if a.Kind != stage.ActionFinish || a.End.Cause != stage.CauseLost {
		t.Fatalf("got %+v, want the end with cause %s", a, stage.CauseLost)
	}
}

// TestUnreachedAttemptGoesOn guards against an idempotent attempt that is given up because
// its agent didn't reply, although it runs and no other attempt can follow.
func TestUnreachedAttemptGoesOn(t *testing.T) {
	start := time.Unix(1000, 0)
	fast := func() time.Duration { return 100 * time.Millisecond }
	slow := func() time.Duration { return 900 * time.Millisecond }
	tests := map[string]struct {
		retries  int
		estimate func() time.Duration
		replies  []stage.EventKind // from the loss of the link on
	}{
		"retry budget is spent": {
			estimate: fast,
			replies:  []stage.EventKind{stage.EventLinkLost, stage.EventUnreachable, stage.EventRunning},
		},
		"no other endpoint": {
			retries: 1, estimate: fast,
			replies: []stage.EventKind{stage.EventLinkLost, stage.EventUnreachable, stage.EventNoEndpoint, stage.EventRunning},
		},
		"no other endpoint, twice": {
			retries: 1, estimate: fast,
			replies: []stage.EventKind{stage.EventLinkLost, stage.EventUnreachable, stage.EventNoEndpoint, stage.EventUnreachable, stage.EventNoEndpoint, stage.EventRunning},
		},
		"no time for another attempt": {
			retries: 1, estimate: slow,
			replies: []stage.EventKind{stage.EventLinkLost, stage.EventUnreachable, stage.EventRunning},
		},
		"no reply to a resume": {
			estimate: fast,
			replies:  []stage.EventKind{stage.EventLinkLost, stage.EventRunning, stage.EventUnreachable, stage.EventRunning},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			f := &stage.Flow{
				Stages: []stage.Spec{{Name: "encode", Idempotent: true, Estimate: test.estimate}}, Deadline: start.Add(1100 * time.Millisecond),
				WithdrawRetry: func(done int) bool { return done < test.retries },
			}
			now := start
			f.Handle(now, stage.Event{Kind: stage.EventStart})
			var a stage.Action
			for _, k := range test.replies {
				if k == stage.EventUnreachable {
					now = now.Add(150 * time.Millisecond)
				}
				a = f.Handle(now, stage.Event{Kind: k})
			}
			if a.Kind != stage.ActionResume {
				t.Fatalf("got %+v, want a resume", a)
			}
			if a := f.Handle(now, stage.Event{Kind: stage.EventDone}); a.End.Outcome != stage.OutcomeAnswered {
				t.Fatalf("got %+v, want an answer", a)
			}
		})
	}
}

// TestUnreachedAttemptEnds guards against a request that is held until its deadline by an
// agent that is gone.
func TestUnreachedAttemptEnds(t *testing.T) {
	start := time.Unix(1000, 0)
	f := &stage.Flow{Stages: []stage.Spec{{Name: "encode", Idempotent: true}}, Deadline: start.Add(time.Minute)}
	f.Handle(start, stage.Event{Kind: stage.EventStart})
	now := start
	a := f.Handle(now, stage.Event{Kind: stage.EventLinkLost})
	for a.Kind == stage.ActionVoid {
		if now.Sub(start) > 2*stage.RelinkTimeout {
			t.Fatalf("the agent is still asked after %v", now.Sub(start))
		}
		now = now.Add(150 * time.Millisecond)
		a = f.Handle(now, stage.Event{Kind: stage.EventUnreachable})
	}
	want := stage.End{Outcome: stage.OutcomePartial, Cause: stage.CauseLost, Stage: "encode"}
	if a.Kind != stage.ActionFinish || a.End != want {
		t.Fatalf("got %+v, want %+v", a, want)
	}
}
