package peers

import (
	"time"

	"wigeonplank.example/core/batch"
	"wigeonplank.example/core/prompt"
)

// Placement is the engine that the owner of a pool chose for a request.
type Placement struct {
	Endpoint   string        // ID; empty: none
	Cached     int           // tokens of the prompt that it has cached
	FirstEvent time.Duration // predicted time to the first event
	Backlog    int           // prompt tokens yet to be read by the pool's engines
}

// Engines chooses engines for the requests of other relays, for the pools that this
// relay owns. Its methods are called concurrently.
type Engines interface {
	// Place chooses an engine of a pool that isn't in exclude.
	Place(p batch.Pool, r prompt.Request, exclude []string) Placement
	// Progress records that a request has its first event, or has ended.
	Progress(p batch.Pool, request string, r prompt.Report)
	// Backlogs returns the prompt tokens yet to be read, by pool.
	Backlogs() map[batch.Pool]int
}

// Placer is a link to the owner of a pool of engines.
type Placer struct {
	s    *session
	pool batch.Pool
}

// Placer returns the link to the owner of a pool, or false if this relay chooses the
// engines itself.
func (m *Mesh) Placer(p batch.Pool) (Placer, bool) {
	s := m.ownerSession(p)
	return Placer{s: s, pool: p}, s != nil
}

// Place asks the owner for an engine. The channel delivers the answer, or is closed
// if the link fails. It reports false if the question can't be sent.
func (p Placer) Place(r prompt.Request, exclude []string) (<-chan Placement, bool) {
	msg := &Place{
		Request: r.ID, Service: p.pool.Service, Zone: p.pool.Zone, PromptTokens: int64(r.PromptTokens), OutputTokens: int64(r.OutputTokens),
		Exclude: exclude, SlackUs: r.Slack.Microseconds(), MaxGapUs: r.MaxGap.Microseconds(),
	}
	for _, part := range r.Parts {
		msg.Parts = append(msg.Parts, &PromptPart{Id: part.ID, Tokens: int64(part.Tokens)})
	}
	reply := make(chan Placement, 1)
	p.s.mu.Lock()
	defer p.s.mu.Unlock()
	if p.s.closed || !p.s.send(&Work{Kind: &Work_Place{Place: msg}}) {
		return nil, false
	}
	if p.s.placing == nil {
		p.s.placing = make(map[string]chan Placement)
	}
	p.s.placing[r.ID] = reply
	return reply, true
}

// Abandon stops waiting for an answer, and releases the engine that it may name.
func (p Placer) Abandon(request string) {
	p.s.mu.Lock()
	delete(p.s.placing, request)
	p.s.mu.Unlock()
	p.Progress(request, prompt.Report{Ended: true})
}

// Progress reports to the owner that a placed request has its first event, or has
// ended. A lost report only makes the owner count the request for longer.
func (p Placer) Progress(request string, r prompt.Report) {
	p.s.send(&Work{Kind: &Work_Progress{Progress: &Progress{
		Request: request, Service: p.pool.Service, Zone: p.pool.Zone, Ended: r.Ended, Pace: r.Pace, Events: uint32(r.Events),
		StreamUs: r.Streaming.Microseconds(),
	}}})
}

// handlePlace answers a question for an engine.
func (s *session) handlePlace(msg *Place) {
	r := prompt.Request{
		ID: msg.GetRequest(), PromptTokens: int(msg.GetPromptTokens()), OutputTokens: int(msg.GetOutputTokens()),
		Slack: time.Duration(msg.GetSlackUs()) * time.Microsecond, MaxGap: time.Duration(msg.GetMaxGapUs()) * time.Microsecond,
	}
	for _, part := range msg.GetParts() {
		r.Parts = append(r.Parts, prompt.Part{ID: part.GetId(), Tokens: int(part.GetTokens())})
	}
	pool := batch.Pool{Service: msg.GetService(), Zone: msg.GetZone()}
	res := s.mesh.Engines.Place(pool, r, msg.GetExclude())
	s.send(&Work{Kind: &Work_Placed{Placed: &Placed{
		Request: r.ID, Endpoint: res.Endpoint, Cached: int64(res.Cached), FirstEventUs: res.FirstEvent.Microseconds(),
		Load: &PoolLoad{Service: pool.Service, Zone: pool.Zone, Items: int64(res.Backlog)},
	}}})
}

// handlePlaced hands an answer to the request that waits for it.
func (s *session) handlePlaced(msg *Placed) {
	s.recordLoad(msg.GetLoad())
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := s.placing[msg.GetRequest()]
	if reply == nil {
		return
	}
	delete(s.placing, msg.GetRequest())
	reply <- Placement{
		Endpoint: msg.GetEndpoint(), Cached: int(msg.GetCached()), FirstEvent: time.Duration(msg.GetFirstEventUs()) * time.Microsecond,
		Backlog: int(msg.GetLoad().GetItems()),
	}
}
