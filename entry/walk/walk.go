// Package walk carries requests through their pipelines. The decisions are the
// core's; this package sends, receives and keeps time. One goroutine owns a
// request.
package walk

import (
	"context"
	"encoding/json"
	"errors"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/phuslu/log"

	"wigeonplank.example/base/link"
	"wigeonplank.example/core/admit"
	"wigeonplank.example/core/conf"
	"wigeonplank.example/core/retry"
	"wigeonplank.example/core/route"
	"wigeonplank.example/core/stage"
	"wigeonplank.example/core/wire"
	"wigeonplank.example/entry/ctrl"
)

const (
	prefixBytes   = 256                    // of the input decide on prompt affinity
	askIdempotent = 300 * time.Millisecond // wait for the word on a lost attempt before another is made
)

// Request is one call of a pipeline.
type Request struct {
	ID       string
	Pipeline string
	Team     string
	Class    string
	Input    string
	Deadline time.Time
	Ticket   *wire.TicketBody // nil if all stages are idempotent
	Digest   []byte           // of the caller's request, with a ticket
}

// Result is how a request ended.
type Result struct {
	End    stage.End
	Kind   conf.StageKind // of the last stage
	Ticket string         // state of the ticket, if that is why nothing ran
	Err    error          // of the endpoint
}

// Walker walks requests. Set the exported fields before use. It is safe for
// concurrent use.
type Walker struct {
	Control  *ctrl.Control
	Router   *route.Router
	Retry    *retry.Budget
	Stats    *Stats
	Entry    uint64 // incarnation
	NoPlan   bool   // baseline: stages start that can't be in time
	NoPrefix bool   // baseline: prompt prefixes don't matter
	Log      *log.Logger

	seq atomic.Uint64
}

// LastSeq returns the highest attempt number that was used.
func (w *Walker) LastSeq() uint64 { return w.seq.Load() }

// Run carries a request to its end. Bytes of the last stage's result are passed
// to emit in order as they arrive; on OutcomeAnswered they are the whole
// answer. emit may be called for a request that ends otherwise. Closing gone
// cancels the request. It blocks until the end, which is at the deadline at the
// latest, or as long after it as a ticket takes to settle (80 ms at most).
func (w *Walker) Run(r *Request, fair *admit.Limiter, gone <-chan struct{}, emit func([]byte)) Result {
	t := w.Control.Table()
	p := t.Pipeline(r.Pipeline)
	k := &walk{
		w:     w,
		r:     r,
		p:     p,
		fair:  fair,
		emit:  emit,
		steps: make(chan event, 1),
		rest:  make(chan struct{}),
	}
	k.flow = &stage.Flow{Stages: w.plan(p), Deadline: r.Deadline, WithdrawRetry: w.Retry.Withdraw, IgnoreEstimates: w.NoPlan}
	defer close(k.rest)
	w.Retry.Deposit()
	return k.run(gone)
}

func (w *Walker) plan(p *route.PipelineRoutes) []stage.Spec {
	out := make([]stage.Spec, len(p.Stages))
	for i, s := range p.Stages {
		win := w.Stats.Window(p.Pipeline.Name, s.Stage.Name)
		out[i] = stage.Spec{Name: s.Stage.Name, Idempotent: s.Stage.Idempotent, Estimate: win.Median}
	}
	return out
}

// event is a message from an attempt's goroutines to the owner of the request.
type event struct {
	seq  uint64 // of the attempt that it is about
	gen  int    // of the stream that it came on
	kind stage.EventKind
	msg  *wire.Progress
	err  error
}

// walk is the state of one request.
type walk struct {
	w    *Walker
	r    *Request
	p    *route.PipelineRoutes
	fair *admit.Limiter
	emit func([]byte)
	flow *stage.Flow

	steps chan event
	rest  chan struct{} // closed at the end: nobody reads steps any more

	cur    *attempt
	tried  []*route.Endpoint
	stage  int
	asm    *stage.Assembler
	result json.RawMessage // of the stage before
	costs  []cost
	ticket string
	err    error
}

// attempt is one dispatch of one stage.
type attempt struct {
	seq         uint64
	ep          *route.Endpoint
	peer        *ctrl.Peer
	incarnation uint64
	stream      *link.Stream
	gen         int // counts the streams that the attempt had
	sentAt      time.Time
}

type cost struct {
	stage  int
	engine time.Duration
	tokens int
	used   bool
}

func (k *walk) run(gone <-chan struct{}) Result {
	closing := time.NewTimer(time.Until(k.r.Deadline.Add(-stage.DeadlineMargin)))
	defer closing.Stop()
	deadline := time.NewTimer(time.Until(k.r.Deadline))
	defer deadline.Stop()
	a := k.flow.Handle(time.Now(), stage.Event{Kind: stage.EventStart})
	for {
		ev, end := k.act(a)
		if end != nil {
			return k.finish(*end)
		}
		if ev.Kind == "" {
			ev = k.next(closing.C, deadline.C, gone)
		}
		a = k.flow.Handle(time.Now(), ev)
	}
}

// next waits for something that the flow has to know.
func (k *walk) next(closing, deadline <-chan time.Time, gone <-chan struct{}) stage.Event {
	for {
		select {
		case ev := <-k.steps:
			if k.cur == nil || ev.seq != k.cur.seq || ev.gen != k.cur.gen {
				continue // of an attempt or a stream that was given up
			}
			if out := k.take(ev); out.Kind != "" {
				return out
			}
		case <-closing:
			return stage.Event{Kind: stage.EventDeadlineNear}
		case <-deadline:
			return stage.Event{Kind: stage.EventDeadline}
		case <-gone:
			return stage.Event{Kind: stage.EventCallerGone}
		}
	}
}

// act carries out an action. It returns an event if the action had one at once,
// and the end of the request if this is it.
func (k *walk) act(a stage.Action) (stage.Event, *stage.End) {
	switch a.Kind {
	case stage.ActionDispatch:
		return k.dispatch(a), nil
	case stage.ActionVoid:
		k.ask()
	case stage.ActionResume:
		return k.resume(), nil
	case stage.ActionFinish:
		if a.Cancel && k.cur != nil {
			k.cancel(k.cur)
		}
		return stage.Event{}, &a.End
	}
	return stage.Event{}, nil
}

func (k *walk) dispatch(a stage.Action) stage.Event {
	k.drop()
	if a.Stage != k.stage || k.asm == nil {
		k.enter(a.Stage)
	} else {
		k.restart()
	}
	s := k.p.Stages[a.Stage]
	ep, serial, err := k.target(s)
	if err != nil {
		return k.noTarget(err)
	}
	k.tried = append(k.tried, ep)
	k.cur = &attempt{
		seq:         k.w.seq.Add(1),
		ep:          ep,
		peer:        k.w.Control.Peer(ep.Instance.ID),
		incarnation: ep.Load.Incarnation(),
		sentAt:      time.Now(),
	}
	return k.send(s, a.Budget, serial)
}

// enter prepares for a stage that has not been tried yet.
func (k *walk) enter(i int) {
	if k.asm != nil {
		k.result = k.asm.Bytes()
	}
	k.stage = i
	k.tried = k.tried[:0]
	k.asm = &stage.Assembler{}
}

// restart prepares for another try. Only bytes that the caller has seen bind
// the next try.
func (k *walk) restart() {
	if k.last() {
		k.asm.Restart()
		return
	}
	k.asm = &stage.Assembler{}
}

func (k *walk) last() bool { return k.stage == len(k.p.Stages)-1 }

// target returns the endpoint for a stage: the one that its ticket names, or
// the router's choice.
func (k *walk) target(s *route.StageRoutes) (*route.Endpoint, *wire.Serial, error) {
	if s.Stage.Idempotent {
		ep, err := k.w.Router.Pick(s, route.PickOptions{Team: k.r.Team, Affinity: k.affinity(s), Exclude: k.tried})
		return ep, nil, err
	}
	for _, ts := range k.r.Ticket.GetStages() {
		if ts.GetStage() != s.Stage.Name {
			continue
		}
		if ep := k.w.Control.Table().Endpoint(ts.GetInstance()); ep != nil && k.w.Control.Peer(ts.GetInstance()) != nil {
			return ep, ts.GetSerial(), nil
		}
	}
	return nil, nil, link.ErrNoLink
}

func (k *walk) affinity(s *route.StageRoutes) uint64 {
	if k.w.NoPrefix || s.Stage.Kind != conf.KindGeneration || len(k.r.Input) < prefixBytes {
		return 0
	}
	return xxhash.Sum64String(k.r.Input[:prefixBytes])
}

func (k *walk) noTarget(err error) stage.Event {
	var none *route.NoEndpointError
	if !errors.As(err, &none) {
		return stage.Event{Kind: stage.EventUnsent}
	}
	k.err = err
	if none.Reason == route.ReasonNoCapacity {
		k.fair.ReportOverload(time.Now())
	}
	return stage.Event{Kind: stage.EventNoEndpoint, RetryAfter: none.RetryAfter}
}

func (k *walk) finish(end stage.End) Result {
	k.drop()
	if end.Settle && !k.w.Settle(k.r.Ticket) {
		end.Outcome = stage.OutcomeUnknown
	}
	k.account(end)
	return Result{End: end, Kind: k.p.Stages[len(k.p.Stages)-1].Stage.Kind, Ticket: k.ticket, Err: k.err}
}

// Settle voids all serials of a ticket and reports whether that proves that
// none of them ran or ever will.
func (w *Walker) Settle(b *wire.TicketBody) bool {
	ctx, cancel := context.WithTimeout(context.Background(), settleTimeout)
	defer cancel()
	all := true
	for _, ts := range b.GetStages() {
		all = w.voidSerial(ctx, ts) && all
	}
	return all
}
