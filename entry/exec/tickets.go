package exec

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
	serialsPerRequest = 16                     // serials requested from an agent at a time
	serialTimeout     = 500 * time.Millisecond // limit for one stage, over all endpoints tried
	maxEndpointsTried = 3                      // endpoints asked for a serial of one stage
)

// Tickets issues and settles tickets. Set the exported fields before use. It is
// safe for concurrent use.
type Tickets struct {
	Control *ctrl.Control
	Router  *route.Router

	mu     sync.Mutex
	cached map[string]*cachedSerials // by instance ID
}

// cachedSerials holds unused serials of one agent incarnation.
type cachedSerials struct {
	incarnation uint64
	serials     []*wire.Serial
}

// Issue returns the encoded ticket for one request of a team.
func (t *Tickets) Issue(ctx context.Context, p *route.PipelineRoutes, team string) (string, error) {
	body := &wire.TicketBody{Pipeline: p.Pipeline.Name}
	for _, s := range p.Stages {
		if s.Stage.Idempotent {
			continue
		}
		ts, err := t.reserveStage(ctx, s, team)
		if err != nil {
			return "", fmt.Errorf("ticket for stage %s: %w", s.Stage.Name, err)
		}
		body.Stages = append(body.Stages, ts)
	}
	return ticket.Encode(body)
}

// reserveStage picks an endpoint for a stage and reserves a serial of its agent.
func (t *Tickets) reserveStage(ctx context.Context, s *route.StageRoutes, team string) (*wire.TicketStage, error) {
	ctx, cancel := context.WithTimeout(ctx, serialTimeout)
	defer cancel()
	var tried []*route.Endpoint
	for range maxEndpointsTried {
		ep, err := t.Router.Pick(s, route.PickOptions{Team: team, Exclude: tried})
		if err != nil {
			return nil, fmt.Errorf("pick endpoint: %w", err)
		}
		if serial := t.takeSerial(ctx, ep); serial != nil {
			return &wire.TicketStage{Stage: s.Stage.Name, Instance: ep.Instance.ID, Serial: serial}, nil
		}
		tried = append(tried, ep)
	}
	return nil, &route.NoEndpointError{Stage: s.Stage.Name, Reason: route.ReasonNoneReady, RetryAfter: time.Second}
}

// takeSerial returns an unused serial of the agent's current incarnation, from the
// cache or else from the agent. It returns nil if the agent can't be reached or
// issues none.
func (t *Tickets) takeSerial(ctx context.Context, ep *route.Endpoint) *wire.Serial {
	id, inc := ep.Instance.ID, ep.Load.Incarnation()
	if s := t.takeCached(id, inc); s != nil {
		return s
	}
	p := t.Control.Peer(id)
	if p == nil {
		return nil
	}
	reply := &wire.SerialBlock{}
	req := &wire.Request{Kind: &wire.Request_Serials{Serials: &wire.SerialRequest{Incarnation: inc, Count: serialsPerRequest}}}
	err := p.Query(ctx, req, func(st *link.Stream) error { return st.Receive(reply) })
	if err != nil || len(reply.GetSerials()) == 0 {
		return nil
	}
	t.addCached(id, inc, reply.GetSerials())
	return t.takeCached(id, inc)
}

// takeCached removes and returns a cached serial of an incarnation, or returns nil.
func (t *Tickets) takeCached(id string, incarnation uint64) *wire.Serial {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.cached[id]
	if c == nil || c.incarnation != incarnation || len(c.serials) == 0 {
		return nil
	}
	s := c.serials[0]
	c.serials = c.serials[1:]
	return s
}

// addCached caches serials of an incarnation and drops those of earlier ones.
func (t *Tickets) addCached(id string, incarnation uint64, serials []*wire.Serial) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.cached == nil {
		t.cached = make(map[string]*cachedSerials)
	}
	c := t.cached[id]
	if c == nil || c.incarnation != incarnation {
		c = &cachedSerials{incarnation: incarnation}
		t.cached[id] = c
	}
	c.serials = append(c.serials, serials...)
}

// SettledStage is the state of one stage of a ticket, with the result or the
// failure if the agent still retains it.
type SettledStage struct {
	Stage   string
	State   ticket.State
	Body    []byte
	Failure string
}

// UnreachableError reports that the agent named by a ticket can't be reached.
type UnreachableError struct{ Instance string }

// Error returns a message with the instance.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("the agent of instance %s can't be reached", e.Instance)
}

// Settle returns the state of each stage of a ticket. Serials that were not used
// before the call are voided, so they never run after it. The error wraps
// *UnreachableError if an agent can't be reached.
func (t *Tickets) Settle(ctx context.Context, body *wire.TicketBody) ([]SettledStage, error) {
	out := make([]SettledStage, 0, len(body.GetStages()))
	for _, ts := range body.GetStages() {
		s, err := t.settleStage(ctx, ts)
		if err != nil {
			return nil, fmt.Errorf("settle stage %s: %w", ts.GetStage(), err)
		}
		out = append(out, s)
	}
	return out, nil
}

// settleStage asks the agent named by a ticket for the state of one stage.
func (t *Tickets) settleStage(ctx context.Context, ts *wire.TicketStage) (SettledStage, error) {
	p := t.Control.Peer(ts.GetInstance())
	if p == nil {
		return SettledStage{}, &UnreachableError{Instance: ts.GetInstance()}
	}
	reply := &wire.OutcomeReply{}
	req := &wire.Request{Kind: &wire.Request_Outcome{Outcome: &wire.OutcomeQuery{Serial: ts.GetSerial()}}}
	if err := p.Query(ctx, req, func(st *link.Stream) error { return st.Receive(reply) }); err != nil {
		return SettledStage{}, errors.Join(&UnreachableError{Instance: ts.GetInstance()}, err)
	}
	return SettledStage{Stage: ts.GetStage(), State: ticket.State(reply.GetState()), Body: reply.GetBody(), Failure: reply.GetFailure()}, nil
}
