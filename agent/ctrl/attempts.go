package ctrl

import (
	"time"

	"wigeonplank.example/core/gate"
	"wigeonplank.example/core/runs"
	"wigeonplank.example/core/ticket"
	"wigeonplank.example/core/wire"
)

// Resume returns the job of an attempt whose output an entry requests again, or
// nil if its output isn't retained.
func (c *Control) Resume(r *wire.Resume) *Job {
	var j *Job
	c.do(func() {
		if r.GetIncarnation() == c.cfg.Incarnation {
			j = c.jobs[attemptID(r.GetId())]
		}
	})
	return j
}

// Void prevents an attempt or a serial that hasn't started from ever starting.
// It returns its state after the call, a runs.State or a ticket.State.
func (c *Control) Void(v *wire.Void) string {
	var st string
	c.do(func() {
		if v.GetSerial() != nil {
			st = string(c.serials.Void(v.GetSerial()))
			return
		}
		st = string(c.voidAttempt(v))
	})
	return st
}

func (c *Control) voidAttempt(v *wire.Void) runs.State {
	if v.GetIncarnation() != c.cfg.Incarnation {
		return runs.StateOtherIncarnation
	}
	id := attemptID(v.GetId())
	c.gate.CancelQueued(id)
	st := c.table.Void(id)
	if j := c.jobs[id]; j != nil && st == runs.StateVoided {
		c.refuseQueued(gate.Refusal{ID: id, Decision: gate.Decision{Reason: wire.ReasonVoided}})
	}
	return st
}

// Cancel releases the result of an attempt that has ended and refuses one that
// is queued. For a running attempt it returns the job, which its caller must
// cancel at the endpoint; otherwise it returns nil. An attempt that hasn't ended
// goes on if the message only acknowledges a result, or if the attempt has a
// serial: its answer is recorded for the ticket.
func (c *Control) Cancel(m *wire.Cancel) *Job {
	var running *Job
	c.do(func() {
		id := attemptID(m.GetId())
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
			c.refuseQueued(gate.Refusal{ID: id, Decision: gate.Decision{Reason: wire.ReasonVoided}})
			return
		}
		running = j
	})
	return running
}

// RecordProgress records how many units of output a running job has produced so
// far. From it the gate detects an endpoint that has stalled or slowed down.
func (c *Control) RecordProgress(j *Job, units int) {
	c.do(func() { c.gate.RecordProgress(c.cfg.Clock.Now(), j.ID, units) })
}

// JobOutcome is how a job ended at the endpoint.
type JobOutcome struct {
	Failure    string // empty if the answer is complete
	NotStarted bool   // nothing ran: the call wasn't sent, or the endpoint's protocol guarantees it
	Rejected   bool   // the endpoint answered with a status from 300 to 499 that doesn't mean NotStarted
	Units      int    // tokens generated, or 1
}

// Finish records how a job ended, closes its output and starts queued work in
// its place.
func (c *Control) Finish(j *Job, out JobOutcome) {
	c.do(func() {
		now := c.cfg.Clock.Now()
		service := now.Sub(j.Started)
		fx := c.gate.Finish(now, j.ID, gate.Completion{
			ServiceTime: service,
			Units:       out.Units,
			OK:          out.Failure == "" || out.Rejected,
		})
		c.recordOutcome(j, out)
		j.Output.End(c.resultMessage(j, out, service))
		c.apply(now, fx)
	})
}

func (c *Control) recordOutcome(j *Job, out JobOutcome) {
	s := j.Dispatch.GetSerial()
	if out.NotStarted {
		c.table.MarkNotRun(j.ID)
		delete(c.jobs, j.ID)
		if s != nil {
			c.serials.MarkNotRun(s)
		}
		return
	}
	c.table.Finish(j.ID)
	if s != nil {
		c.serials.Finish(s, ticket.Answer{Body: j.Output.Bytes(), Failure: out.Failure})
	}
}

func (c *Control) resultMessage(j *Job, out JobOutcome, service time.Duration) *wire.Progress {
	return &wire.Progress{Kind: &wire.Progress_Result{Result: &wire.Result{
		Length:     uint64(j.Output.Len()),
		Failure:    out.Failure,
		NotStarted: out.NotStarted,
		Rejected:   out.Rejected,
		EngineUs:   service.Microseconds(),
		Tokens:     uint32(out.Units),
		Room:       c.capacity(),
	}}}
}

// IssueSerials issues serials for tickets. An agent that takes no new work
// issues none, because it would refuse the tickets.
func (c *Control) IssueSerials(r *wire.SerialRequest) []*wire.Serial {
	var out []*wire.Serial
	c.do(func() {
		closed := c.capacity().GetClosed() != ""
		if r.GetIncarnation() == c.cfg.Incarnation && !closed {
			out = c.serials.Issue(int(r.GetCount()))
		}
	})
	return out
}

// SettleSerial returns the state of a serial and its recorded answer, if any.
// A serial that wasn't used is voided: it never runs after the call.
func (c *Control) SettleSerial(q *wire.OutcomeQuery) *wire.OutcomeReply {
	out := &wire.OutcomeReply{State: string(ticket.StateUnknown)}
	c.do(func() {
		out.State = string(c.serials.Void(q.GetSerial()))
		if a, ok := c.serials.Answer(q.GetSerial()); ok {
			out.Body = a.Body
			out.Failure = a.Failure
		}
	})
	return out
}
