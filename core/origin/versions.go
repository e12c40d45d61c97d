package origin

import (
	"maps"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"wigeonplank.example/core/fleet"
)

// viewLag is how much older than the listing a view may be from which a relay chose the
// version of a stream.
const viewLag = 3 * time.Second

// Versions decides at which software version of a service a stream begins, and computes
// this again for a stream whose origin no relay remembers. The choice is a weighted
// rendezvous hash of the stream over the versions, weighted by the endpoints that the
// store lists as accepting work. A version counts as the origin only if it is the choice
// at every moment at which the stream may have begun. The zero value is ready to use. It
// is not safe for concurrent use.
type Versions struct {
	first   *fleet.View // of the first observation; nil: none
	last    *fleet.View // of the last one
	firstAt time.Time
	seen    map[string][]observation // by service, in the order of time
	history History                  // of the time before firstAt
}

// observation is the number of endpoints by version since a time.
type observation struct {
	at     time.Time
	counts map[string]int
	step   moment // what other relays may have observed since the observation before
}

// Observe records the endpoints that accept work from now on. Those that are missing from
// the store don't count, as its change log has them as removed.
func (v *Versions) Observe(now time.Time, view *fleet.View) {
	if v.first == nil {
		v.first, v.firstAt, v.last, v.seen = view, now, view, make(map[string][]observation)
	}
	counts := make(map[string]map[string]int)
	for service := range v.seen {
		counts[service] = make(map[string]int)
	}
	for _, e := range view.All() {
		if counts[e.Service] == nil {
			counts[e.Service] = make(map[string]int)
		}
		if counted(view, e.ID) != nil {
			counts[e.Service][e.Version]++
		}
	}
	steps := stepsBetween(v.last, view)
	v.last = view
	for service, c := range counts {
		list, step := v.seen[service], steps[service]
		for len(list) > 1 && list[1].at.Before(Window(now.Add(-Lifetime))) {
			list = list[1:]
		}
		if len(list) == 0 || len(step.doubtful) > 0 {
			list = append(list, observation{at: now, counts: c, step: step})
		}
		v.seen[service] = list
	}
}

// counted returns the endpoint with an ID if it counts for the choice of a version, or nil.
func counted(view *fleet.View, id string) *fleet.Endpoint {
	if e := view.Endpoint(id); e != nil && view.Accepts(e) && !view.IsMissing(id) {
		return e
	}
	return nil
}

// stepsBetween returns what may have been listed between two views, by service. doubtful
// is empty if nothing has changed.
func stepsBetween(a, b *fleet.View) map[string]moment {
	steps := make(map[string]moment)
	count := func(e *fleet.Endpoint, always bool) {
		m, ok := steps[e.Service]
		if !ok {
			m = moment{least: make(map[string]int), doubtful: make(map[string]int)}
			steps[e.Service] = m
		}
		if m.least[e.Version] += 0; always {
			m.least[e.Version]++
		} else {
			m.doubtful[e.Version]++
		}
	}
	for id := range b.All() {
		if e := counted(b, id); e != nil {
			count(e, staysListed(counted(a, id), e))
		}
	}
	for id := range a.All() {
		old, e := counted(a, id), counted(b, id)
		if old != nil && (e == nil || e.Service != old.Service || e.Version != old.Version) {
			count(old, false)
		}
	}
	return steps
}

// staysListed reports whether an endpoint was certainly listed between two of its entries.
// One that lapsed and came back has missed heartbeats.
func staysListed(a, b *fleet.Endpoint) bool {
	switch {
	case a == nil || a.Service != b.Service || a.Version != b.Version:
		return false
	case a.Revision == b.Revision:
		return true
	default:
		return a.StartUnixMs == b.StartUnixMs && b.Seq == a.Seq+1
	}
}

// Mixed reports whether endpoints of more than one version of a service are listed.
func Mixed(view *fleet.View) bool {
	versions := make(map[string]string) // by service
	for _, e := range view.All() {
		if version, ok := versions[e.Service]; ok && version != e.Version {
			return true
		}
		versions[e.Service] = e.Version
	}
	return false
}

// Recall sets what the change log of the list tells of the time before this process
// observed it.
func (v *Versions) Recall(h History) { v.history = h }

// moment is what may have been listed of a service at some time, in endpoints that accept
// work.
type moment struct {
	least    map[string]int // by version; 0: listed, but not as accepting work
	doubtful map[string]int // by version: in addition, those that may have been listed
	unknown  int            // in addition, endpoints of any version
}

func (m moment) clone() moment {
	m.least, m.doubtful = maps.Clone(m.least), maps.Clone(m.doubtful)
	return m
}

// choice returns the version at which a stream began at that moment, and false if more
// than one is possible. draws are by version.
func (m moment) choice(draws map[string]float64) (string, bool) {
	for version, draw := range draws {
		won := m.least[version] > 0
		for other, d := range draws {
			most := m.least[other] + m.doubtful[other] + m.unknown
			won = won && (other == version || score(d, most) > score(draw, m.least[version]))
		}
		if won {
			return version, true
		}
	}
	return "", false
}

// moments returns what may have been listed of a service from a time on.
func (v *Versions) moments(from time.Time, service string) []moment {
	var out []moment
	if from.Before(v.firstAt) {
		out = v.history.moments(from, service, v.first)
	}
	list := v.seen[service]
	for i, o := range list {
		switch {
		case i == len(list)-1:
			out = append(out, moment{least: o.counts})
		case list[i+1].at.After(from):
			out = append(out, moment{least: o.counts}, list[i+1].step)
		}
	}
	return out
}

// Choose returns the version at which a new stream begins, and false if the store lists no
// endpoint of the service that accepts work.
func (v *Versions) Choose(service, stream string) (string, bool) {
	list := v.seen[service]
	if len(list) == 0 {
		return "", false
	}
	best, least, found := "", 0.0, false
	for version, n := range list[len(list)-1].counts {
		if s := score(draw(stream, version), n); !found || s < least {
			best, least, found = version, s, true
		}
	}
	return best, found
}

// Stream is a stream that a caller takes up and that no relay remembers.
type Stream struct {
	Service string
	ID      string    // of the attempt that began it; empty: not known
	Since   time.Time // it began no earlier
	// Unrecorded tells that some relay has remembered streams since before this one began
	// and doesn't know it.
	Unrecorded bool
}

// Window returns the time from which on a view may have been in use at the beginning of a
// stream that began no earlier than a time.
func Window(began time.Time) time.Time { return began.Add(-viewLag) }

// Covers reports whether it is known what was listed at each moment at which a stream can
// have begun.
func (v *Versions) Covers(s Stream) bool {
	return v.first != nil && !v.knownSince().After(Window(s.Since))
}

// knownSince returns the time since which it is known what was listed.
func (v *Versions) knownSince() time.Time {
	if !v.history.Since.IsZero() && v.history.Since.Before(v.firstAt) {
		return v.history.Since
	}
	return v.firstAt
}

// since returns the time from which on a view may have been in use at the beginning of a
// stream. If this relay or another one has remembered streams since before, it wasn't lost
// with all that remembered the stream: the relay at which it began reached none. Its view
// may be older than others, in an outage of the store or at a relay of the former release,
// so that all that is known counts.
func (v *Versions) since(now time.Time, s Stream) time.Time {
	from := Window(s.Since)
	if !s.Unrecorded && v.firstAt.After(from) {
		return from
	}
	oldest := Window(now.Add(-Lifetime))
	if known := v.knownSince(); known.After(oldest) {
		oldest = known
	}
	if from.Before(oldest) {
		return from
	}
	return oldest
}

// Reason tells why the version at which a stream began isn't known.
type Reason string

// Reasons for which a version isn't known.
const (
	ReasonNoHistory  Reason = "no_history"  // nothing is known of the time before this relay observed the list
	ReasonNotCovered Reason = "not_covered" // what is known begins too late
	ReasonSeveral    Reason = "several"     // more than one version is possible
	ReasonNone       Reason = "none"        // no endpoint of the service was listed
)

// Conclusion is what was concluded of the version at which a stream began.
type Conclusion struct {
	Version string
	Reason  Reason        // why the version isn't known; empty: it is
	Moments int           // states of the list in which the stream may have begun
	Window  time.Duration // until now, in which it may have begun by one of them
}

// Known reports whether the version is known.
func (c Conclusion) Known() bool { return c.Reason == "" }

// Began returns the version at which a stream began. It isn't known if more than one is
// possible.
func (v *Versions) Began(now time.Time, s Stream) Conclusion {
	from := v.since(now, s)
	c := Conclusion{Window: now.Sub(from)}
	switch {
	case v.Covers(s):
		moments := v.moments(from, s.Service)
		c.Moments = len(moments)
		c.Version, c.Reason = choice(moments, s.ID)
	case v.history.Since.IsZero():
		c.Reason = ReasonNoHistory
	default:
		c.Reason = ReasonNotCovered
	}
	return c
}

// choice returns the version that is the choice for a stream in all moments, or why there
// is none.
func choice(moments []moment, stream string) (string, Reason) {
	draws := make(map[string]float64) // of the versions that are possible
	for _, m := range moments {
		for _, counts := range []map[string]int{m.least, m.doubtful} {
			for version := range counts {
				draws[version] = draw(stream, version)
			}
		}
	}
	switch {
	case len(draws) == 0:
		return "", ReasonNone
	case len(draws) == 1:
		for version := range draws {
			return version, ""
		}
	case stream == "":
		return "", ReasonSeveral
	}
	began := ""
	for i, m := range moments {
		version, ok := m.choice(draws)
		if !ok || i > 0 && version != began {
			return "", ReasonSeveral
		}
		began = version
	}
	return began, ""
}

// draw returns the exponentially distributed number that a stream draws for a version.
func draw(stream, version string) float64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(stream) // never fails
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(version)
	const bits = 53 // of a float64's precision
	u := (float64(d.Sum64()>>(64-bits)) + 0.5) / (1 << bits)
	return -math.Log(u)
}

// score returns the score of a version in the weighted rendezvous hash. The least score
// wins.
func score(draw float64, weight int) float64 { return draw / float64(weight) }
