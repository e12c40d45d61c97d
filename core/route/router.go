package route

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"sync/atomic"
	"time"
)

// Policy names a way to choose among the endpoints that may carry a stage.
type Policy string

// Policies. PolicyRoom is the default; the others are baselines.
const (
	PolicyRoom             Policy = "room"              // by room, own zone and prefix first
	PolicyRoundRobin       Policy = "round_robin"       // in turn
	PolicyRandomTwo        Policy = "random_two"        // the lesser of two by own outstanding work
	PolicyLeastOutstanding Policy = "least_outstanding" // the least own outstanding work
)

const (
	blocked       = math.MaxFloat64
	fullScore     = 1.0  // no free slot
	queueScore    = 1.5  // the agent's queue is full too
	affinityBound = 0.75 // load up to which prefix affinity outweighs balance
	scanLimit     = 64   // endpoints looked at when two random ones have no room
	smallPool     = 8    // up to so many endpoints are all looked at
	awayCost      = 0.25 // load by which an endpoint of another zone must be better
	noRoomRetry   = 250 * time.Millisecond
	noTargetRetry = time.Second
)

// Reason says why a stage has no endpoint.
type Reason string

// Reasons for having no endpoint.
const (
	ReasonNoneSelected Reason = "no_endpoint_selected" // selectors, zones and leaving instances leave none
	ReasonNoneReady    Reason = "no_endpoint_ready"    // no link, closed, or the model isn't loaded
	ReasonNoRoom       Reason = "no_room"              // all are full
)

// NoEndpointError says that a stage has no endpoint now, and when to ask again.
type NoEndpointError struct {
	Stage      string
	Reason     Reason
	RetryAfter time.Duration
}

// Error names the stage and the reason.
func (e *NoEndpointError) Error() string {
	return fmt.Sprintf("stage %s: %s", e.Stage, e.Reason)
}

// Choice is what a pick depends on.
type Choice struct {
	Team     string
	Affinity uint64      // hash of the prompt prefix; 0 for none
	Exclude  []*Endpoint // tried already
}

// Router makes every routing decision. The zero value uses PolicyRoom and a
// random source of the runtime. It is safe for concurrent use if Rand is.
type Router struct {
	Policy Policy
	Rand   func() uint64 // nil: math/rand/v2.Uint64

	turn atomic.Uint64
}

// Pick returns the endpoint for a stage. It returns *NoEndpointError if there is
// none now. It neither blocks nor counts the work: the caller does so with
// Load.Begin.
func (r *Router) Pick(s *StageRoutes, c Choice) (*Endpoint, error) {
	p := s.pool(c.Team)
	if len(p.all) == 0 {
		return nil, &NoEndpointError{Stage: s.Stage.Name, Reason: ReasonNoneSelected, RetryAfter: noTargetRetry}
	}
	e, score := r.choose(s, p, c)
	switch {
	case e == nil:
		return nil, &NoEndpointError{Stage: s.Stage.Name, Reason: ReasonNoneReady, RetryAfter: noTargetRetry}
	case score >= queueScore:
		return nil, &NoEndpointError{Stage: s.Stage.Name, Reason: ReasonNoRoom, RetryAfter: noRoomRetry}
	default:
		return e, nil
	}
}

func (r *Router) choose(s *StageRoutes, p *pool, c Choice) (*Endpoint, float64) {
	switch r.Policy {
	case PolicyRoundRobin:
		return r.roundRobin(s, p.all, c), 0
	case PolicyRandomTwo:
		return r.randomTwo(s, p.all, c), 0
	case PolicyLeastOutstanding:
		return leastOutstanding(s, p.all, c), 0
	default:
		return r.byRoom(s, p, c)
	}
}

// byRoom prefers, in this order, the endpoint that holds the prompt prefix, the
// own zone, and the lesser load. The own zone is worth only a little load: a
// zone further costs less than a millisecond, a crowded endpoint far more.
func (r *Router) byRoom(s *StageRoutes, p *pool, c Choice) (*Endpoint, float64) {
	if c.Affinity != 0 {
		if e := p.owner(c.Affinity); scoreFor(s, e, c) < affinityBound {
			return e, 0
		}
	}
	if len(p.all) <= smallPool {
		return r.scan(s, p, c)
	}
	near, nearScore := r.lesserOfTwo(s, p.local, c)
	if nearScore < awayCost {
		return near, nearScore
	}
	e, score := r.lesserOfTwo(s, p.all, c)
	if nearScore <= score+awayCost {
		e, score = near, nearScore
	}
	if score < fullScore {
		return e, score
	}
	return r.scan(s, p, c)
}

func (p *pool) owner(h uint64) *Endpoint {
	i := sort.Search(len(p.ring), func(i int) bool { return p.ring[i].hash >= h })
	if i == len(p.ring) {
		i = 0
	}
	return p.ring[i]
}

func (r *Router) lesserOfTwo(s *StageRoutes, list []*Endpoint, c Choice) (*Endpoint, float64) {
	n := uint64(len(list))
	if n == 0 {
		return nil, blocked
	}
	v := r.random()
	a := list[(v>>32)%n]
	b := list[(v&math.MaxUint32)%n]
	sa, sb := scoreFor(s, a, c), scoreFor(s, b, c)
	if sb < sa {
		return b, sb
	}
	return a, sa
}

// scan looks at up to scanLimit endpoints from a random place and returns the
// best by load and zone, or nil if none of them is ready.
func (r *Router) scan(s *StageRoutes, p *pool, c Choice) (*Endpoint, float64) {
	n := len(p.all)
	start := int(r.random() % uint64(n))
	var best *Endpoint
	least, cost := blocked, blocked
	for i := range min(n, scanLimit) {
		e := p.all[(start+i)%n]
		v := scoreFor(s, e, c)
		if v == blocked {
			continue
		}
		if with := v + e.away; with < cost {
			best, least, cost = e, v, with
		}
	}
	return best, least
}

func (r *Router) random() uint64 {
	if r.Rand != nil {
		return r.Rand()
	}
	return rand.Uint64()
}

func scoreFor(s *StageRoutes, e *Endpoint, c Choice) float64 {
	if !ready(s, e) || excluded(e, c) {
		return blocked
	}
	return e.Load.score()
}

func ready(s *StageRoutes, e *Endpoint) bool {
	return e.Load.linked.Load() && !e.Load.closed.Load() && s.hasModel(e)
}

func excluded(e *Endpoint, c Choice) bool {
	for _, x := range c.Exclude {
		if x.Instance.ID == e.Instance.ID {
			return true
		}
	}
	return false
}
