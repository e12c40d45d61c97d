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
	lapsed    map[string]time.Time // IDs whose entries an outage may have removed; when they should be back
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
	Put     []*Endpoint          // in place of any of the same ID
	Drop    []string             // IDs
	Lapse   map[string]time.Time // IDs whose entry is missing for now; when it should be back
	Drained map[string]bool      // nil: as before; else exactly these zones are taken out
}

// With returns a view after a change.
func (v View) With(c Change) View {
	v.endpoints = grown(v.endpoints)
	v.lapsed = grown(v.lapsed)
	for _, e := range c.Put {
		v.endpoints[e.ID] = e
		delete(v.lapsed, e.ID)
	}
	for _, id := range c.Drop {
		delete(v.endpoints, id)
		delete(v.lapsed, id)
	}
	maps.Copy(v.lapsed, c.Lapse)
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
// ID. The slice must not be changed.
func (v *View) Endpoints(service string) []*Endpoint { return v.byService[service] }

// Endpoint returns the endpoint of an ID, or nil.
func (v *View) Endpoint(id string) *Endpoint { return v.endpoints[id] }

// All returns every endpoint, in no order.
func (v *View) All() map[string]*Endpoint { return v.endpoints }

// Drained reports whether operators took a zone out.
func (v *View) Drained(zone string) bool { return v.drained[zone] }

// DrainedZones returns the zones that operators took out. It must not be changed.
func (v *View) DrainedZones() map[string]bool { return v.drained }

// Lapsing reports whether the entry of any endpoint is missing.
func (v *View) Lapsing() bool { return len(v.lapsed) > 0 }

// Lapsed returns the IDs of endpoints whose entry is missing and should have come
// back by now.
func (v *View) Lapsed(now time.Time) []string {
	var out []string
	for id, until := range v.lapsed {
		if !now.Before(until) {
			out = append(out, id)
		}
	}
	return out
}
