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

const entryID = 7

// dispatched is a dispatch on its way, perhaps for long.
type dispatched struct {
	id          runs.ID
	incarnation uint64
	stage       int
	serial      *wire.Serial // nil for an idempotent stage
}

// sim is one agent behind a network that loses and delays, and one request.
type sim struct {
	t           *rapid.T
	now         time.Time
	flow        *stage.Flow
	steps       []stage.Step
	incarnation uint64
	table       *runs.Table
	book        *ticket.Book
	serials     map[int]*wire.Serial // of the request's ticket, by stage
	seq         uint64
	cur         dispatched
	delayed     []dispatched
	starts      map[int]int // how often each stage started
	done        bool        // the newest attempt has started
}

func newSim(t *rapid.T) *sim {
	s := &sim{
		t:       t,
		now:     time.Unix(1000, 0),
		serials: make(map[int]*wire.Serial),
		starts:  make(map[int]int),
	}
	s.restart()
	for i := range rapid.IntRange(1, 4).Draw(t, "stages") {
		idempotent := rapid.Bool().Draw(t, "idempotent")
		s.steps = append(s.steps, stage.Step{Name: "s", Idempotent: idempotent})
		if !idempotent {
			s.serials[i] = s.book.Issue(1)[0]
		}
	}
	budget := rapid.IntRange(0, 3).Draw(t, "retries")
	s.flow = &stage.Flow{
		Steps:    s.steps,
		Deadline: s.now.Add(time.Second),
		Retry:    func(done int) bool { return done < budget },
	}
	return s
}

// restart replaces the agent by a new incarnation that knows nothing.
func (s *sim) restart() {
	s.incarnation++
	s.table = &runs.Table{Marks: 3}
	s.table.Meet(entryID, s.seq)
	s.book = ticket.NewBook(s.incarnation, []byte{byte(s.incarnation)}, 64, 0)
}

func (s *sim) draw(what string, of ...string) string {
	return rapid.SampledFrom(of).Draw(s.t, what)
}

// arrive gives a dispatch to the agent and reports whether it started.
func (s *sim) arrive(d dispatched) bool {
	if d.incarnation != s.incarnation || s.table.Begin(d.id, s.now) != runs.StateNew {
		return false
	}
	if d.serial != nil && s.book.Begin(d.serial, nil) != ticket.StateFresh {
		s.table.Void(d.id)
		return false
	}
	s.table.Start(d.id)
	s.starts[d.stage]++
	return true
}

// meddle lets the world change between two events of the request.
func (s *sim) meddle() {
	s.now = s.now.Add(time.Duration(rapid.IntRange(0, 300).Draw(s.t, "ms")) * time.Millisecond)
	switch s.draw("world", "calm", "calm", "late", "restart", "twin") {
	case "late":
		s.deliverDelayed()
	case "restart":
		s.restart()
	case "twin":
		// Another entry uses the same ticket.
		for i, serial := range s.serials {
			s.seq++
			s.arrive(dispatched{id: runs.ID{Entry: entryID, Seq: s.seq}, incarnation: s.incarnation, stage: i, serial: serial})
			return
		}
	}
}

func (s *sim) deliverDelayed() {
	for _, d := range s.delayed {
		s.arrive(d)
	}
	s.delayed = nil
}

func (s *sim) dispatch(i int) stage.Event {
	s.seq++
	s.cur = dispatched{id: runs.ID{Entry: entryID, Seq: s.seq}, incarnation: s.incarnation, stage: i, serial: s.serials[i]}
	s.done = false
	switch s.draw("network", "delivered", "delivered", "delayed", "unsent", "none") {
	case "unsent":
		return stage.Event{Kind: stage.EventUnsent}
	case "none":
		return stage.Event{Kind: stage.EventNoEndpoint}
	case "delayed":
		s.delayed = append(s.delayed, s.cur)
		return stage.Event{Kind: stage.EventLost}
	}
	if !s.arrive(s.cur) {
		return s.refusal()
	}
	s.done = true
	return s.progress()
}

// refusal is what the agent says of a dispatch that it did not start.
func (s *sim) refusal() stage.Event {
	if s.cur.serial != nil {
		switch s.book.State(s.cur.serial) {
		case ticket.StateVoided, ticket.StateFresh:
			s.book.Void(s.cur.serial)
		default:
			return stage.Event{Kind: stage.EventTicket}
		}
	}
	return stage.Event{Kind: stage.EventRefused}
}

func (s *sim) progress() stage.Event {
	kinds := map[string]stage.EventKind{
		"done":    stage.EventDone,
		"failed":  stage.EventFailed,
		"lost":    stage.EventLost,
		"closing": stage.EventClosing,
		"over":    stage.EventDeadline,
	}
	k := kinds[s.draw("progress", "done", "done", "failed", "lost", "closing", "over")]
	if k == stage.EventDone && s.now.After(s.flow.Deadline) {
		k = stage.EventDeadline
	}
	return stage.Event{Kind: k}
}

func (s *sim) void() stage.Event {
	switch s.draw("ask", "answer", "answer", "silence", "over") {
	case "silence":
		return stage.Event{Kind: stage.EventUnreachable}
	case "over":
		return stage.Event{Kind: stage.EventDeadline}
	}
	if s.cur.incarnation != s.incarnation {
		return stage.Event{Kind: stage.EventVanished}
	}
	switch s.table.Void(s.cur.id) {
	case runs.StateVoided:
		return stage.Event{Kind: stage.EventVoided}
	case runs.StateRunning, runs.StateDone:
		return stage.Event{Kind: stage.EventRunning}
	default:
		return stage.Event{Kind: stage.EventVanished}
	}
}

// end applies what the entry does at the end, and returns what it says.
func (s *sim) end(e stage.End) stage.Outcome {
	if !e.Settle {
		return e.Outcome
	}
	for _, serial := range s.serials {
		silent := s.draw("settle", "answer", "silence") == "silence"
		if silent || s.book.Void(serial) != ticket.StateVoided {
			return stage.OutcomeUnknown
		}
	}
	return e.Outcome
}

// run drives the request to its end.
func (s *sim) run() stage.Outcome {
	ev := stage.Event{Kind: stage.EventStart}
	for range 100 {
		a := s.flow.Step(s.now, ev)
		s.meddle()
		switch a.Kind {
		case stage.ActionDispatch:
			ev = s.dispatch(a.Stage)
		case stage.ActionVoid:
			ev = s.void()
		case stage.ActionResume:
			ev = s.progress()
		case stage.ActionFinish:
			return s.end(a.End)
		case stage.ActionWait:
			ev = stage.Event{Kind: stage.EventDeadline}
		}
	}
	s.t.Fatalf("request has no end")
	return ""
}

// TestOutcomesAreTrue checks, over delays, losses, restarts and a second use of
// the same ticket, that what the caller is told stays true after everything
// that is still on its way has arrived.
func TestOutcomesAreTrue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim(t)
		out := s.run()
		s.deliverDelayed()
		for i, step := range s.steps {
			if !step.Idempotent && s.starts[i] > 1 {
				t.Fatalf("stage %d isn't idempotent and started %d times", i, s.starts[i])
			}
			if out == stage.OutcomeNotRun && s.starts[i] > 0 {
				t.Fatalf("outcome is not_run, but stage %d started", i)
			}
			if out == stage.OutcomePartial && !step.Idempotent && s.starts[i] > 0 {
				t.Fatalf("outcome is partial, but stage %d started, which isn't idempotent", i)
			}
			if out == stage.OutcomeAnswered && s.starts[i] == 0 {
				t.Fatalf("outcome is answered, but stage %d never started", i)
			}
		}
	})
}

func TestNoStageStartsThatCannotBeInTime(t *testing.T) {
	now := time.Unix(1000, 0)
	slow := func() time.Duration { return 600 * time.Millisecond }
	f := &stage.Flow{
		Steps:    []stage.Step{{Name: "a", Idempotent: true, Estimate: slow}, {Name: "b", Idempotent: true, Estimate: slow}},
		Deadline: now.Add(time.Second),
	}
	a := f.Step(now, stage.Event{Kind: stage.EventStart})
	if a.Kind != stage.ActionFinish || a.End.Outcome != stage.OutcomeNotRun || a.End.Cause != stage.CauseLate {
		t.Fatalf("got %+v, expected an immediate not_run for lateness", a)
	}
}
