package fleet

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// View is a snapshot of the configuration, the endpoints and the drained zones.
// The zero value is empty.
type View struct {
	Config *Config // nil: none received yet

	endpoints map[string]*Endpoint   // by ID
	missing   map[string]time.Time   // by ID: endpoints that an outage may have removed from the store, and when they are overdue
	drained   map[string]bool        // zones drained by operators
	byService map[string][]*Endpoint // endpoints that accept new work, sorted by ID
}

// WithConfig returns a copy of the view whose configuration is c.
func (v View) WithConfig(c *Config) View {
	v.Config = c
	return v
}

// Change is a set of updates to a view.
type Change struct {
	Put     []*Endpoint          // added, or replaced by ID; the store lists them
	Update  []*Endpoint          // replaced by ID; those that are missing stay so
	Remove  []string             // IDs of removed endpoints
	Missing map[string]time.Time // by ID: endpoints missing from the store, and when they are overdue
	Drained map[string]bool      // all zones that are drained; nil: unchanged
}

// WithChange returns a copy of the view with c applied. A missing endpoint stays in
// the view until it is removed.
func (v View) WithChange(c Change) View {
	v.endpoints = cloneOrMake(v.endpoints)
	v.missing = cloneOrMake(v.missing)
	for _, e := range c.Put {
		v.endpoints[e.ID] = e
		delete(v.missing, e.ID)
	}
	for _, e := range c.Update {
		v.endpoints[e.ID] = e
	}
	for _, id := range c.Remove {
		delete(v.endpoints, id)
		delete(v.missing, id)
	}
	maps.Copy(v.missing, c.Missing)
	if c.Drained != nil {
		v.drained = c.Drained
	}
	return v.reindex()
}

// cloneOrMake returns a copy of m that can be written to, also if m is nil.
func cloneOrMake[V any](m map[string]V) map[string]V {
	if m == nil {
		return make(map[string]V)
	}
	return maps.Clone(m)
}

// reindex rebuilds byService.
func (v View) reindex() View {
	v.byService = make(map[string][]*Endpoint)
	for _, e := range v.endpoints {
		if v.Accepts(e) {
			v.byService[e.Service] = append(v.byService[e.Service], e)
		}
	}
	for _, list := range v.byService {
		slices.SortFunc(list, func(a, b *Endpoint) int { return strings.Compare(a.ID, b.ID) })
	}
	return v
}

// Endpoints returns the endpoints of a service that accept new work, sorted by
// ID. The caller must not modify the slice.
func (v *View) Endpoints(service string) []*Endpoint { return v.byService[service] }

// Accepts reports whether an endpoint of the view accepts new work.
func (v *View) Accepts(e *Endpoint) bool { return e.State == StateReady && !v.drained[e.Zone] }

// Endpoint returns the endpoint with the given ID, or nil.
func (v *View) Endpoint(id string) *Endpoint { return v.endpoints[id] }

// All returns all endpoints by ID. The caller must not modify the map.
func (v *View) All() map[string]*Endpoint { return v.endpoints }

// Drained reports whether operators drained the zone.
func (v *View) Drained(zone string) bool { return v.drained[zone] }

// DrainedZones returns the zones that operators drained. The caller must not
// modify the map.
func (v *View) DrainedZones() map[string]bool { return v.drained }

// HasMissing reports whether any endpoint is missing from the store.
func (v *View) HasMissing() bool { return len(v.missing) > 0 }

// Missing returns the IDs of the endpoints that are missing from the store, in no order.
func (v *View) Missing() []string { return slices.Collect(maps.Keys(v.missing)) }

// IsMissing reports whether an endpoint of the view is missing from the store.
func (v *View) IsMissing(id string) bool {
	_, ok := v.missing[id]
	return ok
}

// Overdue returns the IDs of the missing endpoints that are overdue at now.
func (v *View) Overdue(now time.Time) []string {
	var out []string
	for id, due := range v.missing {
		if !now.Before(due) {
			out = append(out, id)
		}
	}
	return out
}
