package route

import "math"

// The baselines see whether an endpoint is ready, but not how much it bears.

func (r *Router) roundRobin(s *StageRoutes, list []*Endpoint, c Choice) *Endpoint {
	n := uint64(len(list))
	start := r.turn.Add(1)
	for i := range n {
		e := list[(start+i)%n]
		if ready(s, e) && !excluded(e, c) {
			return e
		}
	}
	return nil
}

func (r *Router) randomTwo(s *StageRoutes, list []*Endpoint, c Choice) *Endpoint {
	n := uint64(len(list))
	v := r.random()
	a := list[(v>>32)%n]
	b := list[(v&math.MaxUint32)%n]
	aOK := ready(s, a) && !excluded(a, c)
	bOK := ready(s, b) && !excluded(b, c)
	switch {
	case aOK && bOK && b.Load.Outstanding() < a.Load.Outstanding():
		return b
	case aOK:
		return a
	case bOK:
		return b
	default:
		return leastOutstanding(s, list, c)
	}
}

func leastOutstanding(s *StageRoutes, list []*Endpoint, c Choice) *Endpoint {
	var best *Endpoint
	for _, e := range list {
		if !ready(s, e) || excluded(e, c) {
			continue
		}
		if best == nil || e.Load.Outstanding() < best.Load.Outstanding() {
			best = e
		}
	}
	return best
}
