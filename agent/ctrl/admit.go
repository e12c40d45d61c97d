package ctrl

import (
	"time"

	"wigeonplank.example/core/conf"
	"wigeonplank.example/core/feed"
	"wigeonplank.example/core/gate"
	"wigeonplank.example/core/runs"
	"wigeonplank.example/core/ticket"
	"wigeonplank.example/core/wire"
)

// refusalRetryAfter is the retry delay of refusals that the gate didn't decide.
const refusalRetryAfter = time.Second

// attemptID converts an attempt's ID from its wire form.
func attemptID(id *wire.AttemptID) runs.ID {
	return runs.ID{Entry: id.GetEntry(), Seq: id.GetSeq()}
}

// DispatchReply is the response to a dispatch. Either Job is set and its output
// is to be streamed, or Final is the last message to send.
type DispatchReply struct {
	Job   *Job
	Final *wire.Progress
	// Body is the recorded answer of a ticket that was used before. It is sent
	// before Final, which is then its Result.
	Body []byte
}

// Dispatch admits, queues or refuses an attempt. An attempt that was admitted
// before is never started again: its existing job is returned.
func (c *Control) Dispatch(d *wire.Dispatch) DispatchReply {
	var r DispatchReply
	c.do(func() { r = c.admit(d) })
	return r
}

func (c *Control) admit(d *wire.Dispatch) DispatchReply {
	id := attemptID(d.GetId())
	if d.GetIncarnation() != c.cfg.Incarnation {
		return c.refuse(wire.ReasonIncarnation, refusalRetryAfter)
	}
	switch st := c.table.State(id); st {
	case runs.StateNew:
	case runs.StateQueued, runs.StateRunning, runs.StateDone:
		return DispatchReply{Job: c.jobs[id]}
	case runs.StateVoided:
		return c.refuse(wire.ReasonVoided, refusalRetryAfter)
	default:
		return c.refuse(wire.ReasonExpired, refusalRetryAfter)
	}
	if s := d.GetSerial(); s != nil {
		if st := c.ticketState(d); st != ticket.StateFresh {
			return c.replyToUsedTicket(s, st)
		}
	}
	return c.submit(id, d)
}

func (c *Control) ticketState(d *wire.Dispatch) ticket.State {
	return c.serials.Check(d.GetSerial(), d.GetDigest())
}

// replyToUsedTicket returns the recorded answer of a serial that is not fresh,
// or a refusal that names its state if there is no recorded answer.
func (c *Control) replyToUsedTicket(s *wire.Serial, st ticket.State) DispatchReply {
	a, ok := c.serials.Answer(s)
	if st != ticket.StateAnswered || !ok {
		return c.refuse(wire.TicketReason(string(st)), refusalRetryAfter)
	}
	return DispatchReply{Body: a.Body, Final: &wire.Progress{Kind: &wire.Progress_Result{Result: &wire.Result{
		Length:  uint64(len(a.Body)),
		Failure: a.Failure,
		Replay:  true,
		Room:    c.capacity(),
	}}}}
}

// submit passes an attempt that hasn't started before to the gate. A refused
// attempt and its serial are voided: the refusal tells the entry that the
// attempt never runs, so a later copy of the dispatch must not start it.
func (c *Control) submit(id runs.ID, d *wire.Dispatch) DispatchReply {
	now := c.cfg.Clock.Now()
	stage, reason := c.findStage(d)
	if reason != "" {
		return c.refuseAndVoid(id, d, reason, refusalRetryAfter)
	}
	budget := time.Duration(d.GetBudgetUs()) * time.Microsecond
	dec := c.gate.Submit(now, gate.Work{ID: id, Priority: int(d.GetPriority()), Budget: budget})
	if dec.Verdict == gate.VerdictRefuse {
		return c.refuseAndVoid(id, d, string(dec.Reason), dec.RetryAfter)
	}
	c.table.Admit(id, now.Add(budget+resultRetention))
	if s := d.GetSerial(); s != nil {
		c.serials.Begin(s, d.GetDigest())
	}
	j := &Job{ID: id, Dispatch: d, Stage: stage, Output: &feed.Feed[*wire.Progress]{}}
	c.jobs[id] = j
	if dec.Verdict == gate.VerdictStart {
		c.start(now, id)
	}
	return DispatchReply{Job: j}
}

// findStage returns the configured stage of a dispatch, or the reason why this
// endpoint may not run it now.
func (c *Control) findStage(d *wire.Dispatch) (*conf.Stage, string) {
	acc := c.tracker.Current()
	if reason := c.view.closedReason(acc, c.cfg.Zone); reason != "" {
		return nil, reason
	}
	p := acc.Doc.Pipeline(d.GetPipeline())
	if p == nil {
		return nil, wire.ReasonUnknownStage
	}
	for i := range p.Stages {
		s := &p.Stages[i]
		if s.Name == d.GetStage() {
			return s, c.stageRefusal(s, d)
		}
	}
	return nil, wire.ReasonUnknownStage
}

// stageRefusal returns the reason why this endpoint can't run a dispatch for
// the stage, or "".
func (c *Control) stageRefusal(s *conf.Stage, d *wire.Dispatch) string {
	switch {
	case c.view.listed && !s.SelectsFor(c.view.labels, d.GetTeam()):
		return wire.ReasonNotSelected
	case s.Model != nil && c.engine.Model != s.Model.String():
		return wire.ReasonModelMissing
	case !s.Idempotent && d.GetSerial() == nil:
		return wire.ReasonNoTicket
	default:
		return ""
	}
}

func (c *Control) refuse(reason string, retryAfter time.Duration) DispatchReply {
	return DispatchReply{Final: c.refusedMessage(reason, retryAfter)}
}

func (c *Control) refuseAndVoid(id runs.ID, d *wire.Dispatch, reason string, retryAfter time.Duration) DispatchReply {
	c.table.Void(id)
	if s := d.GetSerial(); s != nil {
		c.serials.Void(s)
	}
	return c.refuse(reason, retryAfter)
}
