package origin

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"wigeonplank.example/core/fleet"
)

// viewLag is how much older than the listing a view may be from which a relay chose the
// version of a stream.
const viewLag = 3 * time.Second

// Versions decides at which software version of a service a stream begins, and computes
// this again for a stream whose origin no relay remembers. The choice is a weighted
// rendezvous hash of the stream over the versions, weighted by the endpoints that accept
// work. What varied while a stream may have begun makes weights uncertain: a version
// counts as the origin only if every weight within the bounds gives it. The zero value is
// ready to use. It is not safe for concurrent use.
type Versions struct {
	firstAt time.Time // of the first observation; zero: none
	present map[incarnation]*presence
	past    []presence                // that ended within Lifetime
	counts  map[string]map[string]int // endpoints that accept work now, by service and version
	history History                   // of the time before firstAt
}

// incarnation is an endpoint between two starts.
type incarnation struct {
	id          string
	startUnixMs int64
	version     string
}

func incarnationOf(e *fleet.Endpoint) incarnation {
	return incarnation{id: e.ID, startUnixMs: e.StartUnixMs, version: e.Version}
}

// presence is a period in which an endpoint accepted work.
type presence struct {
	incarnation
	service  string
	zone     string
	since    time.Time
	until    time.Time // zero: it still does
	observed time.Time // last observation
}

// Observe records the endpoints that accept work from now on.
func (v *Versions) Observe(now time.Time, view *fleet.View) {
	if v.present == nil {
		v.present, v.firstAt = make(map[incarnation]*presence), now
	}
	v.counts = make(map[string]map[string]int)
	for _, e := range view.All() {
		if !view.Accepts(e) {
			continue
		}
		if v.counts[e.Service] == nil {
			v.counts[e.Service] = make(map[string]int)
		}
		v.counts[e.Service][e.Version]++
		in := incarnationOf(e)
		p := v.present[in]
		if p == nil {
			p = &presence{incarnation: in, service: e.Service, zone: e.Zone, since: now}
			v.present[in] = p
		}
		p.observed = now
	}
	for in, p := range v.present {
		if p.observed.Before(now) {
			delete(v.present, in)
			p.until = now
			v.past = append(v.past, *p)
		}
	}
	v.past = slices.DeleteFunc(v.past, func(p presence) bool { return now.Sub(p.until) > Lifetime })
}

// Recall sets what the change log of the list tells of the time before this process
// observed it.
func (v *Versions) Recall(h History) { v.history = h }

// bounds are the least and the greatest number of endpoints at any moment of a period.
type bounds struct{ least, most int }

// weights returns the bounds of each version of a service between from and now. An
// endpoint that vanished from the list without being written in that period may have had
// any of the versions.
func (v *Versions) weights(from time.Time, service string) map[string]bounds {
	var before variation
	if from.Before(v.firstAt) {
		before = v.history.after(from)
	}
	out := make(map[string]bounds)
	add := func(version string, least, most int) {
		b := out[version]
		out[version] = bounds{least: b.least + least, most: b.most + most}
	}
	for in, p := range v.present {
		delete(before.gone, in)
		if p.service != service {
			continue
		}
		always := !p.since.After(from) || p.since.Equal(v.firstAt) && !before.partly[in] && !v.history.Zones[p.zone]
		if always {
			add(p.version, 1, 1)
		} else {
			add(p.version, 0, 1)
		}
	}
	for _, p := range v.past {
		delete(before.gone, p.incarnation)
		if p.service == service && !p.until.Before(from) {
			add(p.version, 0, 1)
		}
	}
	for _, e := range before.gone {
		if e.Service == service {
			add(e.Version, 0, 1)
		}
	}
	for version := range out {
		add(version, 0, before.vanished)
	}
	return out
}

// Choose returns the version at which a new stream begins, and false if no endpoint of the
// service accepts work.
func (v *Versions) Choose(service, stream string) (string, bool) {
	best, least, found := "", 0.0, false
	for version, n := range v.counts[service] {
		if s := score(stream, version, n); !found || s < least {
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
	return v.present != nil && (!v.firstAt.After(from) || !v.history.Since.IsZero() && !v.history.Since.After(from))
}

// Began returns the version at which a stream began that is no older than age, and false
// if more than one is possible. An empty stream stands for an unknown one.
func (v *Versions) Began(now time.Time, service, stream string, age time.Duration) (string, bool) {
	if !v.Covers(now, age) {
		return "", false
	}
	weights := v.weights(Window(now, age), service)
	for version, b := range weights {
		if len(weights) == 1 {
			return version, true
		}
		if stream == "" || b.least == 0 {
			continue
		}
		certain := true
		for other, o := range weights {
			if other != version && score(stream, other, o.most) <= score(stream, version, b.least) {
				certain = false
			}
		}
		if certain {
			return version, true
		}
	}
	return "", false
}

// score returns the score of a version in the weighted rendezvous hash of a stream. The
// least score wins.
func score(stream, version string, weight int) float64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(stream) // never fails
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(version)
	const bits = 53 // of a float64's precision
	u := (float64(d.Sum64()>>(64-bits)) + 0.5) / (1 << bits)
	return -math.Log(u) / float64(weight)
}
