package carry

import (
	"sync"

	"wigeonplank.example/core/clock"
	"wigeonplank.example/core/fleet"
	"wigeonplank.example/core/pick"
)

// Nodes shares one pick.Picker between requests. Set the exported fields before
// use. It is safe for concurrent use.
type Nodes struct {
	Clock  clock.Clock
	Picker pick.Picker

	mu sync.Mutex
}

// Pick chooses the endpoint for a request.
func (n *Nodes) Pick(svc *fleet.Service, list []*fleet.Endpoint, w pick.Want) pick.Choice {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.Picker.Pick(n.Clock.Now(), svc, list, w)
}

// Suspect reports whether an endpoint should get no work for now.
func (n *Nodes) Suspect(e *fleet.Endpoint) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.Picker.Suspect(e, n.Clock.Now())
}

// Begin records that a request is sent to an endpoint.
func (n *Nodes) Begin(svc *fleet.Service, e *fleet.Endpoint) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.Picker.Begin(n.Clock.Now(), svc, e)
}

// End records how a use that Begin announced came out.
func (n *Nodes) End(e *fleet.Endpoint, r pick.Result) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.Picker.End(n.Clock.Now(), e, r)
}

// Unreachable records that no connection to an endpoint could be made.
func (n *Nodes) Unreachable(e *fleet.Endpoint) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.Picker.Unreachable(n.Clock.Now(), e)
}

// Report records what an endpoint said of its load.
func (n *Nodes) Report(e *fleet.Endpoint, l pick.Load) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.Picker.Report(n.Clock.Now(), e, l)
}

// Forget drops what is known of endpoints that are gone.
func (n *Nodes) Forget(v *fleet.View) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.Picker.Forget(v.All())
}
