package origin

import "wigeonplank.example/core/fleet"

// History is all that the store has ever held. Whatever the age of the view by which a stream began,
// the history has the entry of its endpoint.
type History struct {
	Endpoints []*fleet.Endpoint // as written, with each change
	Configs   []*fleet.Config
}

// SoleVersion returns the software version of all endpoints that a service has ever had, and false if
// it had several, or one that doesn't tell its incarnation: another incarnation may have run under its ID.
func (h *History) SoleVersion(service string) (string, bool) {
	version, found := "", false
	for _, e := range h.Endpoints {
		switch {
		case e.Service != service:
		case e.StartUnixMs == 0, found && e.Version != version:
			return "", false
		default:
			version, found = e.Version, true
		}
	}
	return version, found
}

// HasAll reports whether the history has all of the endpoints.
func (h *History) HasAll(list []*fleet.Endpoint) bool {
	known := make(map[Incarnation]bool)
	for _, e := range h.Endpoints {
		known[Incarnation{Endpoint: e.ID, StartUnixMs: e.StartUnixMs}] = true
	}
	for _, e := range list {
		if !known[Incarnation{Endpoint: e.ID, StartUnixMs: e.StartUnixMs}] {
			return false
		}
	}
	return true
}

// LeadsOnlyTo reports whether requests with a host and path were never routed to another service.
func (h *History) LeadsOnlyTo(service, host, path string) bool {
	for _, c := range h.Configs {
		r := c.Match(host, path)
		if r == nil {
			continue
		}
		for _, t := range r.Targets {
			if t.Service != service {
				return false
			}
		}
	}
	return true
}
