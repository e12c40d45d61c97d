package route

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"sync/atomic"
	"time"
)

// Policy is a rule for choosing among the endpoints that may serve a stage.
type Policy string

// Routing policies. PolicyCapacity is the default; the others are baselines for
// comparison. Outstanding work is what this entry has in flight at an endpoint.
const (
	PolicyCapacity         Policy = "room"              // by reported load, availability zone and prompt prefix
	PolicyRoundRobin       Policy = "round_robin"       // each endpoint in turn
	PolicyRandomTwo        Policy = "random_two"        // of two random endpoints, the one with less outstanding work
	PolicyLeastOutstanding Policy = "least_outstanding" // the endpoint with the least outstanding work
)

// Scores compare endpoints: work in progress as a share of the endpoint's limit
// (see Load.score). A lower score is better.
const (
	unusableScore    = math.MaxFloat64 // not ready, excluded, or with a limit of 0
	fullScore        = 1.0             // no free slot
	fullQueueScore   = 1.5             // the agent's queue, which holds half of its limit, is full as well
	maxAffinityScore = 0.75            // at or above this score prompt affinity is ignored, for balance
	otherZoneCost    = 0.25            // added to the score of an endpoint in another availability zone
)

const (
	maxScannedEndpoints  = 64 // limits a scan, which follows when two random endpoints are full
	maxFullScanSize      = 8  // pools up to this size are always scanned whole
	noCapacityRetryDelay = 250 * time.Millisecond
	noEndpointRetryDelay = time.Second
)

// Reason is the reason why a stage has no endpoint.
type Reason string

// Reasons for having no endpoint.
const (
	ReasonNoneSelected Reason = "no_endpoint_selected" // no live instance in a serving zone matches the selectors
	ReasonNoneReady    Reason = "no_endpoint_ready"    // each lacks a link or the model, is closed to new work, or was tried already
	ReasonNoCapacity   Reason = "no_room"              // all slots and queues are full
)

// NoEndpointError reports that a stage currently has no endpoint. RetryAfter is
// the suggested delay before the next try.
type NoEndpointError struct {
	Stage      string
	Reason     Reason
	RetryAfter time.Duration
}

// Error returns the message with the stage and the reason.
func (e *NoEndpointError) Error() string {
	return fmt.Sprintf("stage %s: %s", e.Stage, e.Reason)
}

// PickOptions holds the properties of a request that Pick depends on.
type PickOptions struct {
	Team     string
	Affinity uint64      // hash of the prompt prefix; 0 if there is none
	Exclude  []*Endpoint // endpoints that were tried already
}

// Router chooses the endpoint for each stage. The zero value uses PolicyCapacity
// and math/rand/v2. It is safe for concurrent use if Rand is.
type Router struct {
	Policy Policy
	Rand   func() uint64 // nil: math/rand/v2.Uint64

	rotation atomic.Uint64 // counts the picks of PolicyRoundRobin
}

// Pick returns an endpoint for a stage, or *NoEndpointError if there is none at
// the moment. It doesn't block. The caller counts the work with
// Load.BeginDispatch.
func (r *Router) Pick(s *StageRoutes, opts PickOptions) (*Endpoint, error) {
	p := s.pool(opts.Team)
	if len(p.all) == 0 {
		return nil, &NoEndpointError{Stage: s.Stage.Name, Reason: ReasonNoneSelected, RetryAfter: noEndpointRetryDelay}
	}
	e, score := r.choose(s, p, opts)
	switch {
	case e == nil:
		return nil, &NoEndpointError{Stage: s.Stage.Name, Reason: ReasonNoneReady, RetryAfter: noEndpointRetryDelay}
	case score >= fullQueueScore:
		return nil, &NoEndpointError{Stage: s.Stage.Name, Reason: ReasonNoCapacity, RetryAfter: noCapacityRetryDelay}
	default:
		return e, nil
	}
}

// choose applies the policy and returns an endpoint with its score, or nil if no
// endpoint is ready. The baselines return score 0: they ignore the capacity of
// endpoints.
func (r *Router) choose(s *StageRoutes, p *pool, opts PickOptions) (*Endpoint, float64) {
	switch r.Policy {
	case PolicyRoundRobin:
		return r.roundRobin(s, p.all, opts), 0
	case PolicyRandomTwo:
		return r.randomTwo(s, p.all, opts), 0
	case PolicyLeastOutstanding:
		return leastOutstanding(s, p.all, opts), 0
	default:
		return r.chooseByCapacity(s, p, opts)
	}
}

// chooseByCapacity prefers, in this order, the endpoint that the prompt prefix
// hashes to, an endpoint in the entry's own availability zone, and the endpoint
// with the lower load. Another zone costs only otherZoneCost, because its network
// adds less than a millisecond and an overloaded endpoint adds far more.
func (r *Router) chooseByCapacity(s *StageRoutes, p *pool, opts PickOptions) (*Endpoint, float64) {
	if opts.Affinity != 0 {
		if e := p.affinityOwner(opts.Affinity); scoreFor(s, e, opts) < maxAffinityScore {
			return e, 0
		}
	}
	if len(p.all) <= maxFullScanSize {
		return r.scanPool(s, p, opts)
	}
	local, localScore := r.lessLoadedOfTwo(s, p.local, opts)
	if localScore < otherZoneCost { // no endpoint of another zone can be better
		return local, localScore
	}
	e, score := r.lessLoadedOfTwo(s, p.all, opts)
	if localScore <= score+otherZoneCost {
		e, score = local, localScore
	}
	if score < fullScore {
		return e, score
	}
	return r.scanPool(s, p, opts)
}

// affinityOwner returns the endpoint that a prefix hash maps to by consistent
// hashing. The pool must not be empty.
func (p *pool) affinityOwner(h uint64) *Endpoint {
	i := sort.Search(len(p.ring), func(i int) bool { return p.ring[i].ringHash >= h })
	if i == len(p.ring) {
		i = 0
	}
	return p.ring[i]
}

// lessLoadedOfTwo draws two endpoints at random and returns the one with the lower
// score. If the list is empty it returns nil and unusableScore.
func (r *Router) lessLoadedOfTwo(s *StageRoutes, list []*Endpoint, opts PickOptions) (*Endpoint, float64) {
	n := uint64(len(list))
	if n == 0 {
		return nil, unusableScore
	}
	v := r.random()
	a := list[(v>>32)%n]
	b := list[(v&math.MaxUint32)%n]
	sa, sb := scoreFor(s, a, opts), scoreFor(s, b, opts)
	if sb < sa {
		return b, sb
	}
	return a, sa
}

// scanPool examines up to maxScannedEndpoints endpoints from a random position on
// and returns the one with the lowest score plus zone cost, together with its
// score. It returns nil if none of them is ready.
func (r *Router) scanPool(s *StageRoutes, p *pool, opts PickOptions) (*Endpoint, float64) {
	n := len(p.all)
	start := int(r.random() % uint64(n))
	var best *Endpoint
	bestScore, bestCost := unusableScore, unusableScore
	for i := range min(n, maxScannedEndpoints) {
		e := p.all[(start+i)%n]
		score := scoreFor(s, e, opts)
		if score == unusableScore {
			continue
		}
		if cost := score + e.zoneCost; cost < bestCost {
			best, bestScore, bestCost = e, score, cost
		}
	}
	return best, bestScore
}

func (r *Router) random() uint64 {
	if r.Rand != nil {
		return r.Rand()
	}
	return rand.Uint64()
}

// scoreFor returns the load score of an endpoint, or unusableScore if it can't be
// chosen for the stage.
func scoreFor(s *StageRoutes, e *Endpoint, opts PickOptions) float64 {
	if !isReady(s, e) || isExcluded(e, opts) {
		return unusableScore
	}
	return e.Load.score()
}

// isReady reports whether an endpoint has a link, accepts work and has the stage's
// model.
func isReady(s *StageRoutes, e *Endpoint) bool {
	return e.Load.linked.Load() && !e.Load.closed.Load() && s.hasModel(e)
}

// isExcluded reports whether the request already tried the endpoint's instance.
func isExcluded(e *Endpoint, opts PickOptions) bool {
	for _, x := range opts.Exclude {
		if x.Instance.ID == e.Instance.ID {
			return true
		}
	}
	return false
}
