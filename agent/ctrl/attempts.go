package ctrl

import (
	"time"

	"wigeonplank.example/core/gate"
	"wigeonplank.example/core/runs"
	"wigeonplank.example/core/ticket"
	"wigeonplank.example/core/wire"
)

// Resume returns the job of an attempt, or nil if its output isn't held.
func (c *Control) Resume(r *wire.Resume) *Job {
	var j *Job
	c.do(func() {
		if r.GetIncarnation() == c.cfg.Incarnation {
			j = c.jobs[AttemptID(r.GetId())]
		}
	})
	return j
}

// Void makes sure that an attempt or a serial never starts, if it hasn't, and
// returns the state that it has after the call.
func (c *Control) Void(v *wire.Void) string {
	var st string
	c.do(func() {
		if v.GetSerial() != nil {
			st = string(c.book.Void(v.GetSerial()))
			return
		}
		st = string(c.voidAttempt(v))
	})
	return st
}

func (c *Control) voidAttempt(v *wire.Void) runs.State {
	if v.GetIncarnation() != c.cfg.Incarnation {
		return runs.StateGone
	}
	id := AttemptID(v.GetId())
	c.gate.CancelQueued(id)
	st := c.table.Void(id)
	if j := c.jobs[id]; j != nil && st == runs.StateVoided {
		c.dropQueued(gate.Refusal{ID: id, Decision: gate.Decision{Reason: wire.ReasonVoided}})
	}
	return st
}

// Cancel drops what is held of an attempt that its entry has, or needs no more.
// It reports whether the attempt runs and should be ended at the endpoint. A
// run with a serial goes on: its answer is recorded for the ticket.
func (c *Control) Cancel(m *wire.Cancel) *Job {
	var running *Job
	c.do(func() {
		id := AttemptID(m.GetId())
		j := c.jobs[id]
		if j == nil {
			return
		}
		if c.table.Release(id) {
			delete(c.jobs, id)
			return
		}
		if m.GetAcknowledged() || j.Dispatch.GetSerial() != nil {
			return
		}
		if j.Started.IsZero() {
			c.gate.CancelQueued(id)
			c.dropQueued(gate.Refusal{ID: id, Decision: gate.Decision{Reason: wire.ReasonVoided}})
			return
		}
		running = j
	})
	return running
}

// Progress records that a job has given so many units of output.
func (c *Control) Progress(j *Job, units int) {
	c.do(func() { c.gate.RecordProgress(c.cfg.Clock.Now(), j.ID, units) })
}

// End is how a job ended at the endpoint.
type End struct {
	Failure    string
	NotStarted bool
	Rejected   bool
	Units      int
}

// Finish records the end of a job and closes its output.
func (c *Control) Finish(j *Job, e End) {
	c.do(func() {
		now := c.cfg.Clock.Now()
		service := now.Sub(j.Started)
		fx := c.gate.Finish(now, j.ID, gate.Completion{
			ServiceTime: service,
			Units:       e.Units,
			OK:          e.Failure == "" || e.Rejected,
		})
		c.record(j, e)
		j.Output.End(c.result(j, e, service))
		c.apply(now, fx)
	})
}

func (c *Control) record(j *Job, e End) {
	s := j.Dispatch.GetSerial()
	if e.NotStarted {
		c.table.MarkNotRun(j.ID)
		delete(c.jobs, j.ID)
		if s != nil {
			c.book.MarkNotRun(s)
		}
		return
	}
	c.table.Finish(j.ID)
	if s != nil {
		c.book.Finish(s, ticket.Answer{Body: j.Output.Bytes(), Failure: e.Failure})
	}
}

func (c *Control) result(j *Job, e End, service time.Duration) *wire.Progress {
	return &wire.Progress{Kind: &wire.Progress_Result{Result: &wire.Result{
		Length:     uint64(j.Output.Len()),
		Failure:    e.Failure,
		NotStarted: e.NotStarted,
		Rejected:   e.Rejected,
		EngineUs:   service.Microseconds(),
		Tokens:     uint32(e.Units),
		Room:       c.room(),
	}}}
}

// Serials hands out serials for tickets. A closed agent hands out none: a
// ticket for it would be refused.
func (c *Control) Serials(r *wire.SerialRequest) []*wire.Serial {
	var out []*wire.Serial
	c.do(func() {
		closed := c.room().GetClosed() != ""
		if r.GetIncarnation() == c.cfg.Incarnation && !closed {
			out = c.book.Issue(int(r.GetCount()))
		}
	})
	return out
}

// Outcome settles a serial: one that wasn't used never runs after the call.
func (c *Control) Outcome(q *wire.OutcomeQuery) *wire.OutcomeReply {
	out := &wire.OutcomeReply{State: string(ticket.StateUnknown)}
	c.do(func() {
		out.State = string(c.book.Void(q.GetSerial()))
		if a, ok := c.book.Answer(q.GetSerial()); ok {
			out.Body = a.Body
			out.Failure = a.Failure
		}
	})
	return out
}
