// Package assign chooses the model engine of a request. The engines of a service in
// one availability zone form a pool; the relay that owns the pool chooses among
// them, as it alone knows the prompts that all relays have sent there.
package assign

import (
	"context"
	"slices"
	"sync"
	"time"

	"wigeonplank.example/core/batch"
	"wigeonplank.example/core/clock"
	"wigeonplank.example/core/fleet"
	"wigeonplank.example/core/pick"
	"wigeonplank.example/core/prompt"
	"wigeonplank.example/relay/logs"
	"wigeonplank.example/relay/peers"
)

const (
	// answerTimeout bounds the wait for the owner of a pool. The answer takes some
	// milliseconds; without it, the request is placed by what this relay knows.
	answerTimeout = 80 * time.Millisecond
	// zoneMargin is the backlog of a zone's engines, in prompt tokens for each, above
	// that of the least loaded zone up to which requests stay with their prompt's
	// zone.
	zoneMargin = 10000
	// minPoolEngines is the number of warm engines in a zone, on average, from which on
	// they are chosen by their owner. In smaller pools the prompts of a zone spread
	// less evenly than by hash over all engines.
	minPoolEngines = 6
)

// Health tells which endpoints are fit for requests.
type Health interface {
	// Warm returns the endpoints that criteria allow and that are neither cold nor
	// suspect. It reports false if cold ones are needed as well.
	Warm(svc *fleet.Service, list []*fleet.Endpoint, criteria pick.Criteria) ([]*fleet.Endpoint, bool)
	// Admits reports whether what an endpoint has announced allows this relay a request
	// now.
	Admits(e *fleet.Endpoint, sole bool) bool
}

// Timing tells which services are timed.
type Timing interface {
	// IsTimed reports whether the endpoints of a service are chosen by expected completion
	// time.
	IsTimed(service string) bool
	// Timed returns the services of which an endpoint has reported its pace.
	Timed() []string
	// SetTimed records that another relay knows a service as timed.
	SetTimed(service string)
}

// Peers are the other relays.
type Peers interface {
	// Placer returns the link to the owner of a pool, or false if this relay chooses
	// the engines itself.
	Placer(p batch.Pool) (peers.Placer, bool)
	// ItemCount returns the backlog that the owner of a pool last reported, or -1 if
	// this relay is the owner.
	ItemCount(p batch.Pool) int
}

// Assigner chooses engines. Set the exported fields before use. It is safe for
// concurrent use.
type Assigner struct {
	View   func() *fleet.View // returns the current view of the deployment
	Health Health
	Timing Timing
	Peers  Peers
	Clock  clock.Clock
	Log    *logs.Logger

	mu     sync.Mutex
	speeds prompt.Speeds // of the engines of all boards
	boards map[batch.Pool]*prompt.Board
}

// Assignment is an engine that was chosen for a request. Its methods report the
// progress of the request there.
type Assignment struct {
	Endpoint   *fleet.Endpoint
	Candidates int           // number of usable engines in the pool
	Cached     int           // tokens of the prompt that it has cached, as far as known
	FirstEvent time.Duration // predicted time to the first event

	report func(r prompt.Report)
}

// Started records that the first event has arrived, in a response with a pace; 0: none.
func (a *Assignment) Started(pace float64) { a.report(prompt.Report{Pace: pace}) }

// Ended records that the request has ended at the engine. events is the number of events
// if it was streamed, and streaming the time between the first and the last of them.
func (a *Assignment) Ended(events int, streaming time.Duration) {
	a.report(prompt.Report{Ended: true, Events: events, Streaming: streaming})
}

// Assign chooses an engine of a service for a request, which criteria allow. It
// reports false if none can be chosen this way: all are cold, suspect or gone, or
// the owner of the pool doesn't answer.
func (a *Assigner) Assign(ctx context.Context, svc *fleet.Service, r prompt.Request, criteria pick.Criteria) (Assignment, bool) {
	pool, warm, unfit := a.choosePool(svc, r, criteria)
	if len(warm) == 0 {
		return Assignment{}, false
	}
	out := Assignment{Candidates: len(warm)}
	placer, remote := a.Peers.Placer(pool)
	var placement peers.Placement
	if remote {
		var ok bool
		if placement, ok = a.ask(ctx, placer, r, unfit); !ok {
			return Assignment{}, false
		}
		out.report = func(rep prompt.Report) { placer.Progress(r.ID, rep) }
	} else {
		placement = a.Place(pool, r, unfit)
		out.report = func(rep prompt.Report) { a.Progress(pool, r.ID, rep) }
	}
	out.Cached, out.FirstEvent = placement.Cached, placement.FirstEvent
	for _, e := range warm {
		if e.ID == placement.Endpoint {
			out.Endpoint = e
			return out, true
		}
	}
	out.Ended(0, 0) // the views of the two relays differ
	return Assignment{}, false
}

// ask asks the owner of a pool for an engine. It reports false if there is no answer
// in time.
func (a *Assigner) ask(ctx context.Context, placer peers.Placer, r prompt.Request, unfit []string) (peers.Placement, bool) {
	reply, ok := placer.Place(r, unfit)
	if !ok {
		return peers.Placement{}, false
	}
	t := time.NewTimer(answerTimeout)
	defer t.Stop()
	select {
	case p, ok := <-reply:
		return p, ok
	case <-t.C:
	case <-ctx.Done():
	}
	placer.Abandon(r.ID)
	return peers.Placement{}, false
}

// Zone returns the zone whose engines will most likely get a request, or "" if
// that is unknown.
func (a *Assigner) Zone(svc *fleet.Service, r prompt.Request, criteria pick.Criteria) string {
	pool, _, _ := a.choosePool(svc, r, criteria)
	return pool.Zone
}

// choosePool returns the pool for a request, its warm engines that criteria allow,
// and the IDs of its other engines. No engines are returned if cold ones are needed,
// or if the zones have few engines. Requests that share a prompt go to the same zone,
// unless its engines have much more to read than those of another one.
func (a *Assigner) choosePool(svc *fleet.Service, r prompt.Request, criteria pick.Criteria) (batch.Pool, []*fleet.Endpoint, []string) {
	all := a.View().Endpoints(svc.Name)
	warm, ok := a.Health.Warm(svc, all, criteria)
	warm = slices.DeleteFunc(warm, func(e *fleet.Endpoint) bool { return !a.Health.Admits(e, false) })
	if !ok || len(warm) == 0 {
		return batch.Pool{Service: svc.Name}, nil, nil
	}
	byZone := make(map[string]int)
	for _, e := range warm {
		byZone[e.Zone]++
	}
	if len(warm) < minPoolEngines*len(byZone) {
		return batch.Pool{Service: svc.Name}, nil, nil
	}
	pool := batch.Pool{Service: svc.Name, Zone: a.chooseZone(svc.Name, byZone, r)}
	inPool := make([]*fleet.Endpoint, 0, len(warm))
	fit := make(map[string]bool, len(warm))
	for _, e := range warm {
		if pool.Contains(e) {
			inPool = append(inPool, e)
			fit[e.ID] = true
		}
	}
	var unfit []string
	for _, e := range all {
		if pool.Contains(e) && !fit[e.ID] {
			unfit = append(unfit, e.ID)
		}
	}
	return pool, inPool, unfit
}

// chooseZone returns the zone that a request's prompt hashes to among those whose
// engines have not much more to read than others. Zones are weighted by their number
// of engines.
func (a *Assigner) chooseZone(service string, engines map[string]int, r prompt.Request) string {
	backlogs := make(map[string]int, len(engines)) // for each engine, by zone
	lowest := -1
	for zone, n := range engines {
		backlog := a.backlog(batch.Pool{Service: service, Zone: zone}) / n
		backlogs[zone] = backlog
		if lowest < 0 || backlog < lowest {
			lowest = backlog
		}
	}
	best, bestScore := "", -1.0
	for zone, n := range engines {
		if backlogs[zone] > lowest+zoneMargin {
			continue
		}
		if s := prompt.WeightedScore(r.Affinity(), zone, float64(n)); s > bestScore || (s == bestScore && zone < best) {
			best, bestScore = zone, s
		}
	}
	return best
}

// backlog returns the prompt tokens yet to be read by the engines of a pool.
func (a *Assigner) backlog(p batch.Pool) int {
	if n := a.Peers.ItemCount(p); n >= 0 {
		return n
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if b := a.boards[p]; b != nil {
		return b.Backlog(a.Clock.Now())
	}
	return 0
}

// Place chooses an engine of a pool that this relay owns.
func (a *Assigner) Place(p batch.Pool, r prompt.Request, exclude []string) peers.Placement {
	v := a.View()
	if v.Config == nil || v.Config.Service(p.Service) == nil {
		return peers.Placement{}
	}
	svc := v.Config.Service(p.Service)
	excluded := make(map[string]bool, len(exclude))
	for _, id := range exclude {
		excluded[id] = true
	}
	warm, _ := a.Health.Warm(svc, v.Endpoints(p.Service), pick.Criteria{Exclude: excluded})
	timed := a.Timing.IsTimed(p.Service)
	now := a.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	b := a.board(p)
	b.Timed = timed
	b.Expire(now)
	var engines []prompt.Engine
	for _, e := range warm {
		if p.Contains(e) {
			engines = append(engines, newEngine(svc, e))
		}
	}
	c, ok := b.Place(now, engines, r)
	if !ok {
		return peers.Placement{Backlog: b.Backlog(now)}
	}
	return peers.Placement{Endpoint: c.Engine.ID, Cached: c.Cached, FirstEvent: c.FirstEvent, Backlog: b.Backlog(now)}
}

func newEngine(svc *fleet.Service, e *fleet.Endpoint) prompt.Engine {
	out := prompt.Engine{ID: e.ID, Incarnation: e.StartUnixMs, Slots: e.Slots}
	if svc.Engine != nil {
		out.CacheTokens = svc.Engine.CacheTokens
	}
	return out
}

// board returns the board of a pool. The caller holds a.mu.
func (a *Assigner) board(p batch.Pool) *prompt.Board {
	if a.boards == nil {
		a.boards = make(map[batch.Pool]*prompt.Board)
	}
	b := a.boards[p]
	if b == nil {
		b = &prompt.Board{Service: p.Service, Speeds: &a.speeds}
		a.boards[p] = b
	}
	return b
}

// Progress records that a request of a pool that this relay owns has its first
// event, or has ended.
func (a *Assigner) Progress(p batch.Pool, request string, r prompt.Report) {
	if r.Pace > 0 {
		a.Timing.SetTimed(p.Service)
	}
	now := a.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	if b := a.boards[p]; b != nil {
		b.Record(now, request, r)
	}
}

// Backlogs returns the prompt tokens yet to be read in the pools that this relay
// owns.
func (a *Assigner) Backlogs() map[batch.Pool]int {
	now := a.Clock.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make(map[batch.Pool]int, len(a.boards))
	for p, b := range a.boards {
		if n := b.Backlog(now); n > 0 {
			out[p] = n
		}
	}
	return out
}

// Prune drops what is known of engines that v no longer lists.
func (a *Assigner) Prune(v *fleet.View) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, b := range a.boards {
		b.Prune(func(id string) bool { return v.Endpoint(id) != nil })
	}
	a.speeds.Prune(a.Clock.Now(), func(id string) bool { return v.Endpoint(id) != nil })
}
