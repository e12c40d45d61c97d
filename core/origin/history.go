package origin

import (
	"time"

	"wigeonplank.example/core/fleet"
)

// clockSlack is how far the times of day of a relay and of endpoints may differ.
const clockSlack = 3 * time.Second

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
	Changes []Change        // in the order of revisions
	Added   Additions       // of the listed endpoints
	Zones   map[string]bool // zones that were drained or returned in the period
}

// Additions are the times at which endpoints started, by the revisions at which they were
// listed first. Revisions up to one of them are about that old, or older.
type Additions map[int64]time.Time

// Before returns the last revision that is known to be from before a time, or 0.
func (a Additions) Before(t time.Time) int64 {
	var out int64
	for revision, at := range a {
		if at.Before(t.Add(-clockSlack)) {
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

// variation is what a period shows beside the endpoints that are listed at its end.
type variation struct {
	partly   map[incarnation]bool            // accepted work, but maybe not all the time
	gone     map[incarnation]*fleet.Endpoint // may have accepted work, and isn't listed as doing so any more
	vanished int                             // endpoints of unknown services and versions that were removed
}

// after returns how the list varied since a time.
func (h History) after(from time.Time) variation {
	first := h.Added.Before(from)
	out := variation{partly: make(map[incarnation]bool), gone: make(map[incarnation]*fleet.Endpoint)}
	newest := make(map[string]*fleet.Endpoint) // by ID, as last written
	for _, c := range h.Changes {
		before := newest[c.ID]
		if c.Endpoint != nil {
			newest[c.ID] = c.Endpoint
		}
		switch {
		case c.Revision <= first:
		case c.Endpoint == nil && before == nil:
			out.vanished++
		case c.Endpoint == nil && before.State != fleet.StateReady:
		case c.Endpoint == nil:
			out.partly[incarnationOf(before)] = true
			out.gone[incarnationOf(before)] = before
		default:
			in := incarnationOf(c.Endpoint)
			if c.Endpoint.State != fleet.StateReady || before == nil && c.Created > first || before != nil && incarnationOf(before) != in {
				out.partly[in] = true
			}
			out.gone[in] = c.Endpoint
			if before != nil {
				out.gone[incarnationOf(before)] = before
			}
		}
	}
	return out
}
