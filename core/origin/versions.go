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
const viewLag = 4 * time.Second

// Versions decides at which software version of a service a stream begins, and computes
// this again for a stream whose origin no relay remembers. The choice is a weighted
// rendezvous hash of the stream over the versions, weighted by the endpoints that the
// store lists as accepting work. A version counts as the origin only if it is the choice
// at every moment at which the stream may have begun. The zero value is ready to use. It
// is not safe for concurrent use.
type Versions struct {
	first   *fleet.View // of the first observation; nil: none
	firstAt time.Time
	seen    map[string][]observation // by service, in the order of time
	history History                  // of the time before firstAt
}

// observation is the number of endpoints by version since a time.
type observation struct {
	at     time.Time
	counts map[string]int
}

// Observe records the endpoints that accept work from now on. Those that are missing from
// the store don't count, as its change log has them as removed.
func (v *Versions) Observe(now time.Time, view *fleet.View) {
	if v.first == nil {
		v.first, v.firstAt, v.seen = view, now, make(map[string][]observation)
	}
	counts := make(map[string]map[string]int)
	for service := range v.seen {
		counts[service] = make(map[string]int)
	}
	for _, e := range view.All() {
		if !view.Accepts(e) || view.IsMissing(e.ID) {
			continue
		}
		if counts[e.Service] == nil {
			counts[e.Service] = make(map[string]int)
		}
		counts[e.Service][e.Version]++
	}
	for service, c := range counts {
		list := v.seen[service]
		for len(list) > 1 && list[1].at.Before(Window(now, Lifetime)) {
			list = list[1:]
		}
		if n := len(list); n == 0 || !maps.Equal(list[n-1].counts, c) {
			list = append(list, observation{at: now, counts: c})
		}
		v.seen[service] = list
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
			out = append(out, moment{least: o.counts}, between(o.counts, list[i+1].counts))
		}
	}
	return out
}

// between returns what other relays may have observed between two observations of this
// one.
func between(a, b map[string]int) moment {
	m := moment{least: make(map[string]int), doubtful: make(map[string]int)}
	for _, counts := range []map[string]int{a, b} {
		for version := range counts {
			m.least[version] = min(a[version], b[version])
			m.doubtful[version] = max(a[version], b[version]) - m.least[version]
		}
	}
	return m
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

// Window returns the time from which on a view may have been in use at the beginning of a
// stream that is no older than age.
func Window(now time.Time, age time.Duration) time.Time { return now.Add(-age - viewLag) }

// Covers reports whether it is known what was listed at each moment at which a stream can
// have begun that is no older than age.
func (v *Versions) Covers(now time.Time, age time.Duration) bool {
	from := Window(now, age)
	return v.first != nil && (!v.firstAt.After(from) || !v.history.Since.IsZero() && !v.history.Since.After(from))
}

// since returns the time from which on a view may have been in use at the beginning of a
// stream that no relay remembers and that is no older than age. If this relay observed the
// list before the stream began, relays that remember it haven't all been lost since: the
// relay at which it began reached none, and its view may be as old as that.
func (v *Versions) since(now time.Time, age time.Duration) time.Time {
	if from := Window(now, age); v.firstAt.After(from) {
		return from
	}
	return Window(now, Lifetime)
}

// Began returns the version at which a stream began that is no older than age, and false
// if more than one is possible. An empty stream stands for an unknown one.
func (v *Versions) Began(now time.Time, service, stream string, age time.Duration) (string, bool) {
	if !v.Covers(now, age) {
		return "", false
	}
	moments := v.moments(v.since(now, age), service)
	draws := make(map[string]float64) // of the versions that are possible
	for _, m := range moments {
		for _, counts := range []map[string]int{m.least, m.doubtful} {
			for version := range counts {
				draws[version] = draw(stream, version)
			}
		}
	}
	for version := range draws {
		if len(draws) == 1 {
			return version, true
		}
	}
	if stream == "" {
		return "", false
	}
	began := ""
	for _, m := range moments {
		version, ok := m.choice(draws)
		if !ok || began != "" && version != began {
			return "", false
		}
		began = version
	}
	return began, began != ""
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
