package origin

import (
	"maps"
	"math"
	"slices"
	"time"

	"wigeonplank.example/core/fleet"
)

const (
	// clockSlack is how far the times of day of a relay and of endpoints may differ.
	clockSlack = 3 * time.Second
	// registrationTime is how long after the start of an endpoint the store lists it.
	registrationTime = 2 * time.Second
)

// Change is a past write to the list of endpoints, or a removal from it.
type Change struct {
	ID       string
	Endpoint *fleet.Endpoint // nil: removed
	Revision int64
	Created  int64 // revision at which the entry was added
}

// History is what the list's change log tells of a period.
type History struct {
	Since   time.Time
	Changes []Change // in the order of revisions
	Added   Additions
	Zones   map[string]bool // zones that were drained or returned in the period
}

// Additions are the times at which endpoints started, by the revisions at which they were
// listed first. Revisions up to one of them are about that old, or older.
type Additions map[int64]time.Time

// Record records a write to the list if it added an endpoint that had just started. An
// entry that lapsed is added again long after the start of its endpoint, and so is that of
// an endpoint which started while the store was away.
func (a Additions) Record(c Change) {
	if c.Endpoint != nil && c.Revision == c.Created && isFirstWrite(c.Endpoint) {
		a[c.Revision] = time.UnixMilli(c.Endpoint.StartUnixMs)
	}
}

// isFirstWrite reports whether an incarnation had written nothing to the store before.
func isFirstWrite(e *fleet.Endpoint) bool { return e.Seq <= 1 }

// Before returns the last revision that is known to be from before a time, or 0. A revision
// that follows one which may be younger dates nothing: its endpoint registered late.
func (a Additions) Before(t time.Time) int64 {
	young := int64(math.MaxInt64) // first revision that may be from after t
	for revision, at := range a {
		if !at.Before(t.Add(-clockSlack - registrationTime)) {
			young = min(young, revision)
		}
	}
	var out int64
	for revision := range a {
		if revision < young {
			out = max(out, revision)
		}
	}
	return out
}

// Contradict reports whether an endpoint that was listed by a revision has certainly
// started after a time.
func (a Additions) Contradict(revision int64, t time.Time) bool {
	for added, at := range a {
		if added <= revision && at.After(t.Add(clockSlack)) {
			return true
		}
	}
	return false
}

// unknown stands for what was listed under an ID before a period if the period doesn't
// show it: an endpoint of any service and version, ready or not.
var unknown = &fleet.Endpoint{}

// maybeReady is the state of an endpoint that may have drained before a period.
const maybeReady fleet.State = "maybe_ready"

// before returns what was listed by ID before the period. view is a later one.
func (h History) before(view *fleet.View) map[string]*fleet.Endpoint {
	out := maps.Clone(view.All())
	maps.DeleteFunc(out, func(id string, _ *fleet.Endpoint) bool { return view.IsMissing(id) })
	for _, c := range slices.Backward(h.Changes) {
		later := view.Endpoint(c.ID)
		switch {
		case c.Endpoint == nil && later != nil && later.Revision < c.Revision:
			out[c.ID] = later
		case c.Endpoint == nil:
			out[c.ID] = unknown
		case c.Created == c.Revision:
			delete(out, c.ID)
		case h.mayHaveReplaced(c.Endpoint):
			out[c.ID] = unknown // maybe another incarnation
		default: // incarnations are ready until they drain
			ready := *c.Endpoint
			if ready.State = fleet.StateReady; c.Endpoint.State != fleet.StateReady && !c.Endpoint.ColdUntil.IsZero() {
				ready.State = maybeReady // cold ones write again, maybe after they drained
			}
			out[c.ID] = &ready
		}
	}
	return out
}

// mayHaveReplaced reports whether a write to an entry from before the period may have been
// the first one of its incarnation that reached the store: it started in the period, or
// has written nothing before and started not long before.
func (h History) mayHaveReplaced(e *fleet.Endpoint) bool {
	start := time.UnixMilli(e.StartUnixMs)
	return start.After(h.Since.Add(clockSlack)) || isFirstWrite(e) && start.After(h.Since.Add(-clockSlack-registrationTime))
}

// moments returns what was listed of a service at each moment from a time to the end of
// the period. view is a later one. A view is always complete up to some revision, so
// that changes without a time still bound what was listed together.
func (h History) moments(from time.Time, service string, view *fleet.View) []moment {
	listed := h.before(view)
	m := moment{least: make(map[string]int), doubtful: make(map[string]int)}
	count := func(e *fleet.Endpoint, n int) {
		switch {
		case e == unknown:
			m.unknown += n
		case e == nil || e.Service != service:
		case h.Zones[e.Zone] && e.State == fleet.StateReady || e.State == maybeReady:
			m.doubtful[e.Version] += n
		case e.State != fleet.StateReady:
			m.least[e.Version] += 0 // one of the versions that were listed
		case !view.Drained(e.Zone):
			m.least[e.Version] += n
		}
	}
	for _, e := range listed {
		count(e, 1)
	}
	apply := func(c Change) {
		count(listed[c.ID], -1)
		count(c.Endpoint, 1)
		listed[c.ID] = c.Endpoint
	}
	first := h.Added.Before(from)
	changes := h.Changes
	for ; len(changes) > 0 && changes[0].Revision <= first; changes = changes[1:] {
		apply(changes[0])
	}
	maps.DeleteFunc(m.least, func(_ string, n int) bool { return n == 0 })
	out := append(make([]moment, 0, 1+len(changes)), m.clone())
	for _, c := range changes {
		apply(c)
		out = append(out, m.clone())
	}
	return out
}
