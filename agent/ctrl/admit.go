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

const refusedRetry = time.Second

// AttemptID returns the core's form of an attempt's ID.
func AttemptID(id *wire.AttemptID) runs.ID {
	return runs.ID{Entry: id.GetEntry(), Seq: id.GetSeq()}
}

// Answer is the agent's word on a dispatch: a job to follow, or a last message.
type Answer struct {
	Job *Job
	End *wire.Progress
	// Body is the recorded answer of a ticket that was used before; End is then
	// its Result.
	Body []byte
}

// Dispatch decides on an attempt.
func (c *Control) Dispatch(d *wire.Dispatch) Answer {
	var a Answer
	c.do(func() { a = c.admit(d) })
	return a
}

func (c *Control) admit(d *wire.Dispatch) Answer {
	id := AttemptID(d.GetId())
	if d.GetIncarnation() != c.cfg.Incarnation {
		return c.refuse(wire.ReasonIncarnation, refusedRetry)
	}
	switch st := c.table.State(id); st {
	case runs.StateNew:
	case runs.StateQueued, runs.StateRunning, runs.StateDone:
		return Answer{Job: c.jobs[id]}
	case runs.StateVoided:
		return c.refuse(wire.ReasonVoided, refusedRetry)
	default:
		return c.refuse(wire.ReasonExpired, refusedRetry)
	}
	if s := d.GetSerial(); s != nil {
		if st := c.ticketState(d); st != ticket.StateFresh {
			return c.usedTicket(s, st)
		}
	}
	return c.offer(id, d)
}

func (c *Control) ticketState(d *wire.Dispatch) ticket.State {
	return c.book.Check(d.GetSerial(), d.GetDigest())
}

func (c *Control) usedTicket(s *wire.Serial, st ticket.State) Answer {
	a, ok := c.book.Answer(s)
	if st != ticket.StateAnswered || !ok {
		return c.refuse(wire.TicketReason(string(st)), refusedRetry)
	}
	return Answer{Body: a.Body, End: &wire.Progress{Kind: &wire.Progress_Result{Result: &wire.Result{
		Length:  uint64(len(a.Body)),
		Failure: a.Failure,
		Replay:  true,
		Room:    c.room(),
	}}}}
}

// offer puts an attempt that may start to the gate. A refused attempt and its
// serial are voided, so that the refusal stays true.
func (c *Control) offer(id runs.ID, d *wire.Dispatch) Answer {
	now := c.cfg.Clock.Now()
	stage, obstacle := c.stageOf(d)
	if obstacle != "" {
		return c.refuseForGood(id, d, obstacle, refusedRetry)
	}
	budget := time.Duration(d.GetBudgetUs()) * time.Microsecond
	dec := c.gate.Submit(now, gate.Work{ID: id, Priority: int(d.GetPriority()), Budget: budget})
	if dec.Verdict == gate.VerdictRefuse {
		return c.refuseForGood(id, d, string(dec.Reason), dec.RetryAfter)
	}
	c.table.Admit(id, now.Add(budget+resultGrace))
	if s := d.GetSerial(); s != nil {
		c.book.Begin(s, d.GetDigest())
	}
	j := &Job{ID: id, Dispatch: d, Stage: stage, Output: &feed.Feed[*wire.Progress]{}}
	c.jobs[id] = j
	if dec.Verdict == gate.VerdictStart {
		c.start(now, id)
	}
	return Answer{Job: j}
}

// stageOf returns the stage that a dispatch is for, or why this endpoint may
// not carry it now.
func (c *Control) stageOf(d *wire.Dispatch) (*conf.Stage, string) {
	acc := c.keeper.Current()
	if why := c.view.closed(acc, c.cfg.Zone); why != "" {
		return nil, why
	}
	p := acc.Doc.Pipeline(d.GetPipeline())
	if p == nil {
		return nil, wire.ReasonUnknownStage
	}
	for i := range p.Stages {
		s := &p.Stages[i]
		if s.Name == d.GetStage() {
			return s, c.unfit(s, d)
		}
	}
	return nil, wire.ReasonUnknownStage
}

func (c *Control) unfit(s *conf.Stage, d *wire.Dispatch) string {
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

func (c *Control) refuse(reason string, after time.Duration) Answer {
	return Answer{End: c.refusal(reason, after)}
}

func (c *Control) refuseForGood(id runs.ID, d *wire.Dispatch, reason string, after time.Duration) Answer {
	c.table.Void(id)
	if s := d.GetSerial(); s != nil {
		c.book.Void(s)
	}
	return c.refuse(reason, after)
}
