package walk

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"wigeonplank.example/base/link"
	"wigeonplank.example/core/route"
	"wigeonplank.example/core/ticket"
	"wigeonplank.example/core/wire"
	"wigeonplank.example/entry/ctrl"
)

const (
	serialBlock   = 16
	serialTimeout = 500 * time.Millisecond
	maxPicks      = 3 // endpoints asked for a serial before giving up
)

// Tickets hands out tickets and settles them. Set the exported fields before
// use. It is safe for concurrent use.
type Tickets struct {
	Control *ctrl.Control
	Router  *route.Router

	mu     sync.Mutex
	blocks map[string]*block
}

// block is a stock of serials of one agent incarnation.
type block struct {
	incarnation uint64
	serials     []*wire.Serial
}

// New returns the text of a ticket for one request of a team.
func (t *Tickets) New(ctx context.Context, p *route.PipelineRoutes, team string) (string, error) {
	body := &wire.TicketBody{Pipeline: p.Pipeline.Name}
	for _, s := range p.Stages {
		if s.Stage.Idempotent {
			continue
		}
		ts, err := t.stage(ctx, s, team)
		if err != nil {
			return "", fmt.Errorf("ticket for stage %s: %w", s.Stage.Name, err)
		}
		body.Stages = append(body.Stages, ts)
	}
	return ticket.Encode(body)
}

func (t *Tickets) stage(ctx context.Context, s *route.StageRoutes, team string) (*wire.TicketStage, error) {
	ctx, cancel := context.WithTimeout(ctx, serialTimeout)
	defer cancel()
	var tried []*route.Endpoint
	for range maxPicks {
		ep, err := t.Router.Pick(s, route.PickOptions{Team: team, Exclude: tried})
		if err != nil {
			return nil, fmt.Errorf("pick endpoint: %w", err)
		}
		if serial := t.take(ctx, ep); serial != nil {
			return &wire.TicketStage{Stage: s.Stage.Name, Instance: ep.Instance.ID, Serial: serial}, nil
		}
		tried = append(tried, ep)
	}
	return nil, &route.NoEndpointError{Stage: s.Stage.Name, Reason: route.ReasonNoneReady, RetryAfter: time.Second}
}

// take returns a serial of the agent's present incarnation, or nil.
func (t *Tickets) take(ctx context.Context, ep *route.Endpoint) *wire.Serial {
	id, inc := ep.Instance.ID, ep.Load.Incarnation()
	if s := t.fromStock(id, inc); s != nil {
		return s
	}
	p := t.Control.Peer(id)
	if p == nil {
		return nil
	}
	reply := &wire.SerialBlock{}
	req := &wire.Request{Kind: &wire.Request_Serials{Serials: &wire.SerialRequest{Incarnation: inc, Count: serialBlock}}}
	err := p.Ask(ctx, req, func(st *link.Stream) error { return st.Receive(reply) })
	if err != nil || len(reply.GetSerials()) == 0 {
		return nil
	}
	t.stock(id, inc, reply.GetSerials())
	return t.fromStock(id, inc)
}

func (t *Tickets) fromStock(id string, incarnation uint64) *wire.Serial {
	t.mu.Lock()
	defer t.mu.Unlock()
	b := t.blocks[id]
	if b == nil || b.incarnation != incarnation || len(b.serials) == 0 {
		return nil
	}
	s := b.serials[0]
	b.serials = b.serials[1:]
	return s
}

func (t *Tickets) stock(id string, incarnation uint64, serials []*wire.Serial) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.blocks == nil {
		t.blocks = make(map[string]*block)
	}
	b := t.blocks[id]
	if b == nil || b.incarnation != incarnation {
		b = &block{incarnation: incarnation}
		t.blocks[id] = b
	}
	b.serials = append(b.serials, serials...)
}

// Settled is what became of one stage of a ticket.
type Settled struct {
	Stage   string
	State   ticket.State
	Body    []byte
	Failure string
}

// UnreachableError says that the agent that a ticket names can't be asked now.
type UnreachableError struct{ Instance string }

// Error names the instance.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("the agent of instance %s can't be reached", e.Instance)
}

// Settle tells what became of a ticket. A ticket that was not used never runs
// after the call.
func (t *Tickets) Settle(ctx context.Context, b *wire.TicketBody) ([]Settled, error) {
	out := make([]Settled, 0, len(b.GetStages()))
	for _, ts := range b.GetStages() {
		s, err := t.settle(ctx, ts)
		if err != nil {
			return nil, fmt.Errorf("settle stage %s: %w", ts.GetStage(), err)
		}
		out = append(out, s)
	}
	return out, nil
}

func (t *Tickets) settle(ctx context.Context, ts *wire.TicketStage) (Settled, error) {
	p := t.Control.Peer(ts.GetInstance())
	if p == nil {
		return Settled{}, &UnreachableError{Instance: ts.GetInstance()}
	}
	reply := &wire.OutcomeReply{}
	req := &wire.Request{Kind: &wire.Request_Outcome{Outcome: &wire.OutcomeQuery{Serial: ts.GetSerial()}}}
	if err := p.Ask(ctx, req, func(st *link.Stream) error { return st.Receive(reply) }); err != nil {
		return Settled{}, errors.Join(&UnreachableError{Instance: ts.GetInstance()}, err)
	}
	return Settled{Stage: ts.GetStage(), State: ticket.State(reply.GetState()), Body: reply.GetBody(), Failure: reply.GetFailure()}, nil
}
