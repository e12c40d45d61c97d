package pick

import "wigeonplank.example/core/fleet"

// InFlight returns the number of requests of this process at an endpoint, for the
// baseline of least requests in flight.
func (p *Picker) InFlight(e *fleet.Endpoint) int { return p.state(e).inFlight }
