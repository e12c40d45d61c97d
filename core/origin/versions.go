package origin

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"wigeonplank.example/core/fleet"
)

// Versions chooses at which software version of a service a new stream begins: a weighted
// rendezvous hash of the stream over the versions, weighted by the endpoints that the store
// lists as accepting work. Relays of the former release, which run beside this one during a
// roll, compute the version of a stream again by this choice. The zero value is ready to use.
// It is not safe for concurrent use.
type Versions struct {
	counts map[string]map[string]int // endpoints by service and version
}

// Observe records the endpoints that accept work from now on. Those that are missing from
// the store don't count.
func (v *Versions) Observe(view *fleet.View) {
	v.counts = make(map[string]map[string]int)
	for _, e := range view.All() {
		if !view.Accepts(e) || view.IsMissing(e.ID) {
			continue
		}
		if v.counts[e.Service] == nil {
			v.counts[e.Service] = make(map[string]int)
		}
		v.counts[e.Service][e.Version]++
	}
}

// Choose returns the version at which a new stream begins, and false if the store lists no
// endpoint of the service that accepts work.
func (v *Versions) Choose(service, stream string) (string, bool) {
	best, least, found := "", 0.0, false
	for version, n := range v.counts[service] {
		if s := draw(stream, version) / float64(n); !found || s < least {
			best, least, found = version, s, true
		}
	}
	return best, found
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
