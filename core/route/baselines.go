package route

import "math"

// The baseline policies check whether an endpoint is ready, but ignore its reported
// capacity. Each returns nil if no endpoint is ready.

// roundRobin returns the next ready endpoint in the order of the list.
func (r *Router) roundRobin(s *StageRoutes, list []*Endpoint, opts PickOptions) *Endpoint {
	n := uint64(len(list))
	start := r.rotation.Add(1)
	for i := range n {
		e := list[(start+i)%n]
		if isReady(s, e) && !isExcluded(e, opts) {
			return e
		}
	}
	return nil
}

// randomTwo draws two endpoints at random and returns the ready one with less
// outstanding work. If neither is ready, it falls back to leastOutstanding.
func (r *Router) randomTwo(s *StageRoutes, list []*Endpoint, opts PickOptions) *Endpoint {
	n := uint64(len(list))
	v := r.random()
	a := list[(v>>32)%n]
	b := list[(v&math.MaxUint32)%n]
	aOK := isReady(s, a) && !isExcluded(a, opts)
	bOK := isReady(s, b) && !isExcluded(b, opts)
	switch {
	case aOK && bOK && b.Load.Outstanding() < a.Load.Outstanding():
		return b
	case aOK:
		return a
	case bOK:
		return b
	default:
		return leastOutstanding(s, list, opts)
	}
}

// leastOutstanding returns the ready endpoint with the least outstanding work of
// this entry.
func leastOutstanding(s *StageRoutes, list []*Endpoint, opts PickOptions) *Endpoint {
	var best *Endpoint
	for _, e := range list {
		if !isReady(s, e) || isExcluded(e, opts) {
			continue
		}
		if best == nil || e.Load.Outstanding() < best.Load.Outstanding() {
			best = e
		}
	}
	return best
}
