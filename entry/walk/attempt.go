package walk

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"wigeonplank.example/base/link"
	"wigeonplank.example/core/meter"
	"wigeonplank.example/core/route"
	"wigeonplank.example/core/runs"
	"wigeonplank.example/core/stage"
	"wigeonplank.example/core/ticket"
	"wigeonplank.example/core/wire"
	"wigeonplank.example/entry/ctrl"
)

const settleTimeout = 80 * time.Millisecond

// envelope is what a stage is given; agents decode it.
type envelope struct {
	Input  string          `json:"input"`
	Result json.RawMessage `json:"result,omitempty"`
}

func (a *attempt) id(entry uint64) *wire.AttemptID {
	return &wire.AttemptID{Entry: entry, Seq: a.seq}
}

func (k *walk) send(s *route.StageRoutes, budget time.Duration, serial *wire.Serial) stage.Event {
	body, err := json.Marshal(envelope{Input: k.r.Input, Result: k.handedOn()})
	if err != nil {
		k.err = fmt.Errorf("encode input of stage %s: %w", s.Stage.Name, err)
		return stage.Event{Kind: stage.EventUnsent}
	}
	d := &wire.Dispatch{
		Id:          k.cur.id(k.w.Entry),
		Incarnation: k.cur.incarnation,
		Request:     k.r.ID,
		Pipeline:    k.r.Pipeline,
		Stage:       s.Stage.Name,
		Team:        k.r.Team,
		Class:       k.r.Class,
		Priority:    uint32(k.priority()),
		BudgetUs:    budget.Microseconds(),
		Revision:    k.w.Control.Table().Accepted.Revision(),
		Body:        body,
		Serial:      serial,
		Digest:      k.r.Digest,
	}
	k.cur.ep.Load.BeginDispatch()
	k.w.Log.Debug().Str("request", k.r.ID).Str("stage", s.Stage.Name).Uint64("attempt", k.cur.seq).
		Str("instance", k.cur.ep.Instance.ID).Uint64("revision", d.GetRevision()).Msg("dispatch")
	st, err := k.cur.peer.Call(&wire.Request{Kind: &wire.Request_Dispatch{Dispatch: d}})
	if errors.Is(err, link.ErrNoLink) {
		return stage.Event{Kind: stage.EventUnsent}
	}
	if err != nil {
		return stage.Event{Kind: stage.EventLinkLost}
	}
	k.follow(st)
	return stage.Event{}
}

// handedOn returns the result of the stage before as JSON: as it is, or as a
// string if it is text.
func (k *walk) handedOn() json.RawMessage {
	if k.result == nil || json.Valid(k.result) {
		return k.result
	}
	// A string can always be encoded.
	raw, _ := json.Marshal(string(k.result))
	return raw
}

func (k *walk) priority() int {
	if c := k.w.Control.Table().Class(k.r.Class); c != nil {
		return c.Priority
	}
	return 0
}

// follow reads an attempt's progress in a goroutine of its own.
func (k *walk) follow(st *link.Stream) {
	k.cur.stream = st
	k.cur.gen++
	seq, gen := k.cur.seq, k.cur.gen
	go func() {
		for {
			m := &wire.Progress{}
			if err := st.Receive(m); err != nil {
				k.post(event{seq: seq, gen: gen, kind: stage.EventLinkLost, err: err})
				return
			}
			if !k.post(event{seq: seq, gen: gen, msg: m}) {
				return
			}
		}
	}()
	go func() {
		select {
		case <-st.Silent:
			k.post(event{seq: seq, gen: gen, kind: stage.EventLinkLost, err: errors.New("link is silent")})
		case <-k.rest:
		}
	}()
}

func (k *walk) post(ev event) bool {
	select {
	case k.steps <- ev:
		return true
	case <-k.rest:
		return false
	}
}

// take turns a message of the newest attempt into an event of the flow, if it
// is one.
func (k *walk) take(ev event) stage.Event {
	if ev.kind != "" {
		return stage.Event{Kind: ev.kind}
	}
	switch m := ev.msg.GetKind().(type) {
	case *wire.Progress_Chunk:
		return k.chunk(m.Chunk)
	case *wire.Progress_Refused:
		return k.refused(m.Refused)
	case *wire.Progress_Result:
		return k.ended(m.Result)
	default:
		return stage.Event{}
	}
}

func (k *walk) chunk(c *wire.Chunk) stage.Event {
	fresh, err := k.asm.Add(int(c.GetOffset()), c.GetData())
	if err != nil {
		return k.spoiled(err)
	}
	if len(fresh) > 0 && k.last() {
		k.emit(fresh)
	}
	return stage.Event{}
}

// spoiled follows bytes that can't be part of the answer. A repeated answer
// that differs from what the caller has seen can't be mended by another try.
func (k *walk) spoiled(err error) stage.Event {
	k.err = err
	var diverged *stage.DivergedError
	if errors.As(err, &diverged) {
		k.cancel(k.cur)
		return stage.Event{Kind: stage.EventRejected}
	}
	return stage.Event{Kind: stage.EventLinkLost}
}

func (k *walk) refused(r *wire.Refused) stage.Event {
	if room := r.GetRoom(); room != nil {
		k.cur.ep.Load.Observe(ctrl.Report(room))
	}
	after := time.Duration(r.GetRetryAfterUs()) * time.Microsecond
	k.err = fmt.Errorf("agent of %s refused stage %s: %s", k.cur.ep.Instance.ID, k.p.Stages[k.stage].Stage.Name, r.GetReason())
	if st, ok := wire.TicketState(r.GetReason()); ok {
		k.ticket = st
		if ticket.State(st) == ticket.StateVoided {
			return stage.Event{Kind: stage.EventRefused, RetryAfter: after}
		}
		return stage.Event{Kind: stage.EventTicketUnusable, RetryAfter: after}
	}
	switch r.GetReason() {
	case wire.ReasonExpired, wire.ReasonNotRetained:
		return stage.Event{Kind: stage.EventAttemptUnknown}
	default:
		return stage.Event{Kind: stage.EventRefused, RetryAfter: after}
	}
}

func (k *walk) ended(r *wire.Result) stage.Event {
	if room := r.GetRoom(); room != nil {
		k.cur.ep.Load.Observe(ctrl.Report(room))
	}
	c := cost{stage: k.stage, engine: time.Duration(r.GetEngineUs()) * time.Microsecond, tokens: int(r.GetTokens())}
	if r.GetFailure() != "" {
		k.err = fmt.Errorf("endpoint %s failed in stage %s: %s", k.cur.ep.Instance.ID, k.p.Stages[k.stage].Stage.Name, r.GetFailure())
		return k.failure(r, c)
	}
	if err := k.asm.CheckComplete(int(r.GetLength())); err != nil {
		return k.spoiled(err)
	}
	k.acknowledge(k.cur)
	if !r.GetReplay() {
		k.w.Stats.Window(k.r.Pipeline, k.p.Stages[k.stage].Stage.Name).Record(time.Since(k.cur.sentAt))
	}
	c.used = true
	k.costs = append(k.costs, c)
	return stage.Event{Kind: stage.EventDone}
}

func (k *walk) failure(r *wire.Result, c cost) stage.Event {
	k.acknowledge(k.cur)
	if r.GetNotStarted() {
		return stage.Event{Kind: stage.EventRefused}
	}
	k.costs = append(k.costs, c)
	if r.GetRejected() {
		return stage.Event{Kind: stage.EventRejected}
	}
	return stage.Event{Kind: stage.EventFailed}
}

// acknowledge tells the agent that the attempt's output was received.
func (k *walk) acknowledge(a *attempt) {
	if err := a.stream.Send(cancelRequest(a.id(k.w.Entry), true)); err != nil {
		k.w.Log.Debug().Err(err).Uint64("attempt", a.seq).Msg("acknowledge")
	}
}

// cancel tells the agent that the attempt's output isn't needed any more. It
// doesn't wait: a lost message costs the agent memory until the deadline, and
// the caller's answer must not be held up by a silent link.
func (k *walk) cancel(a *attempt) {
	st := a.stream
	if st == nil {
		return
	}
	a.stream = nil
	go func() {
		defer st.Close()
		if err := st.Send(cancelRequest(a.id(k.w.Entry), false)); err != nil {
			k.w.Log.Debug().Err(err).Uint64("attempt", a.seq).Msg("cancel")
		}
	}()
}

func cancelRequest(id *wire.AttemptID, acknowledged bool) *wire.Request {
	return &wire.Request{Kind: &wire.Request_Cancel{Cancel: &wire.Cancel{Id: id, Acknowledged: acknowledged}}}
}

// drop leaves the newest attempt behind. What still arrives of it is ignored.
func (k *walk) drop() {
	if k.cur == nil {
		return
	}
	if k.cur.stream != nil {
		k.cur.stream.Close()
	}
	k.cur.ep.Load.EndDispatch()
	k.cur = nil
}

// ask has the agent void the newest attempt, in a goroutine of its own.
func (k *walk) ask() {
	a, gen := k.cur, k.cur.gen
	wait := time.Until(k.r.Deadline)
	if k.p.Stages[k.stage].Stage.Idempotent {
		wait = min(wait, askIdempotent)
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), wait)
		defer cancel()
		v := &wire.Void{Id: a.id(k.w.Entry), Incarnation: a.incarnation}
		k.post(event{seq: a.seq, gen: gen, kind: askVoid(ctx, a.peer, v)})
	}()
}

func askVoid(ctx context.Context, p *ctrl.Peer, v *wire.Void) stage.EventKind {
	reply := &wire.VoidReply{}
	err := p.Ask(ctx, &wire.Request{Kind: &wire.Request_Void{Void: v}}, func(st *link.Stream) error {
		return st.Receive(reply)
	})
	if err != nil {
		return stage.EventUnreachable
	}
	switch runs.State(reply.GetState()) {
	case runs.StateVoided:
		return stage.EventVoided
	case runs.StateRunning, runs.StateDone, runs.StateQueued:
		return stage.EventRunning
	default:
		return stage.EventAttemptUnknown
	}
}

// resume follows the rest of an attempt's output on a new stream.
func (k *walk) resume() stage.Event {
	if k.cur.stream != nil {
		k.cur.stream.Close()
	}
	st, err := k.cur.peer.Call(&wire.Request{Kind: &wire.Request_Resume{Resume: &wire.Resume{
		Id:          k.cur.id(k.w.Entry),
		Incarnation: k.cur.incarnation,
		Offset:      uint64(k.asm.Offset()),
	}}})
	if err != nil {
		return stage.Event{Kind: stage.EventUnreachable}
	}
	k.follow(st)
	return stage.Event{}
}

// voidSerial reports whether a ticket's serial has not run and never will.
func (w *Walker) voidSerial(ctx context.Context, ts *wire.TicketStage) bool {
	p := w.Control.Peer(ts.GetInstance())
	if p == nil {
		return false
	}
	reply := &wire.VoidReply{}
	err := p.Ask(ctx, &wire.Request{Kind: &wire.Request_Void{Void: &wire.Void{Serial: ts.GetSerial()}}}, func(st *link.Stream) error {
		return st.Receive(reply)
	})
	return err == nil && ticket.State(reply.GetState()) == ticket.StateVoided
}

// account files the engine work of an ended request under its use.
func (k *walk) account(end stage.End) {
	for _, c := range k.costs {
		key := meter.CostKey{Pipeline: k.r.Pipeline, Stage: k.p.Stages[c.stage].Stage.Name, Use: useOf(c, end)}
		k.w.Stats.Costs.Add(key, c.engine, c.tokens)
	}
}

func useOf(c cost, end stage.End) meter.Use {
	switch {
	case end.Cause == stage.CauseCallerGone:
		return meter.UseCancelled
	case !c.used:
		return meter.UseRetried
	case end.Outcome == stage.OutcomeAnswered:
		return meter.UseUseful
	default:
		return meter.UseLate
	}
}
