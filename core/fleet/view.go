package fleet

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// View is what a process believes at one moment. The zero value knows nothing.
type View struct {
	Config *Config // nil: none yet

	endpoints map[string]*Endpoint // by ID
	fallback  map[string]time.Time // IDs that were removed around an outage, until when they may serve
	drained   map[string]bool      // zones that operators took out
	byService map[string][]*Endpoint
}

// WithConfig returns a view with c in force.
func (v View) WithConfig(c *Config) View {
	v.Config = c
	return v
}

// Change is a set of news about endpoints.
type Change struct {
	Put      []*Endpoint          // in place of any of the same ID
	Drop     []string             // IDs
	Fallback map[string]time.Time // IDs whose entry is missing; until when they serve if no other can
	Drained  map[string]bool      // nil: as before; else exactly these zones are taken out
}

// With returns a view after a change.
func (v View) With(c Change) View {
	v.endpoints = grown(v.endpoints)
	v.fallback = grown(v.fallback)
	for _, e := range c.Put {
		v.endpoints[e.ID] = e
		delete(v.fallback, e.ID)
	}
	for _, id := range c.Drop {
		delete(v.endpoints, id)
		delete(v.fallback, id)
	}
	maps.Copy(v.fallback, c.Fallback)
	if c.Drained != nil {
		v.drained = c.Drained
	}
	return v.index()
}

func grown[V any](m map[string]V) map[string]V {
	if m == nil {
		return make(map[string]V)
	}
	return maps.Clone(m)
}

// index lists by service the endpoints that may be given new work.
func (v View) index() View {
	v.byService = make(map[string][]*Endpoint)
	for _, e := range v.endpoints {
		if e.State == StateReady && !v.drained[e.Zone] {
			v.byService[e.Service] = append(v.byService[e.Service], e)
		}
	}
	for _, l := range v.byService {
		slices.SortFunc(l, func(a, b *Endpoint) int { return strings.Compare(a.ID, b.ID) })
	}
	return v
}

// Endpoints returns the endpoints of a service that may be given new work, by
// ID. Those whose entry went missing around an outage of the store come only
// where there is no other. The slice must not be changed.
func (v *View) Endpoints(service string, now time.Time) []*Endpoint {
	all := v.byService[service]
	if len(v.fallback) == 0 {
		return all
	}
	sound := make([]*Endpoint, 0, len(all))
	spare := make([]*Endpoint, 0, len(v.fallback))
	for _, e := range all {
		until, missing := v.fallback[e.ID]
		switch {
		case !missing:
			sound = append(sound, e)
		case now.Before(until):
			spare = append(spare, e)
		}
	}
	if len(sound) > 0 {
		return sound
	}
	return spare
}

// Endpoint returns the endpoint of an ID, or nil.
func (v *View) Endpoint(id string) *Endpoint { return v.endpoints[id] }

// All returns every endpoint, in no order.
func (v *View) All() map[string]*Endpoint { return v.endpoints }

// Usable reports whether an endpoint may still be given new work.
func (v *View) Usable(id string, now time.Time) bool {
	e := v.endpoints[id]
	if e == nil || e.State != StateReady || v.drained[e.Zone] {
		return false
	}
	until, missing := v.fallback[id]
	return !missing || now.Before(until)
}

// Drained reports whether operators took a zone out.
func (v *View) Drained(zone string) bool { return v.drained[zone] }

// DrainedZones returns the zones that operators took out. It must not be changed.
func (v *View) DrainedZones() map[string]bool { return v.drained }

// Missing returns the IDs of endpoints whose entry is missing and whose time to
// serve without one is over.
func (v *View) Missing(now time.Time) []string {
	var out []string
	for id, until := range v.fallback {
		if !now.Before(until) {
			out = append(out, id)
		}
	}
	return out
}
