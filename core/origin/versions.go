package origin

import (
	"time"

	"wigeonplank.example/core/fleet"
)

// Versions tells whether all streams of a service that callers may still take up
// began at the same software version. The zero value is ready to use. It is not safe
// for concurrent use.
type Versions struct {
	services map[string]serviceVersions // by service name
}

// serviceVersions are the versions of one service.
type serviceVersions struct {
	version string    // of all listed endpoints, if sole
	sole    bool      // all listed endpoints have the same version
	mixedAt time.Time // when another version was listed last, at the latest; zero: never
}

// Observe records the endpoints that are listed from now on, draining ones included.
// What was listed before a service is first seen is not known. The service counts as
// mixed then, unless all of its endpoints started more than Lifetime ago.
func (v *Versions) Observe(now time.Time, endpoints map[string]*fleet.Endpoint) {
	if v.services == nil {
		v.services = make(map[string]serviceVersions)
	}
	listed := make(map[string]serviceVersions)
	recent := make(map[string]bool) // services with an endpoint that started within Lifetime
	for _, e := range endpoints {
		s, known := listed[e.Service]
		if !known {
			s = serviceVersions{version: e.Version, sole: true}
		}
		s.sole = s.sole && s.version == e.Version
		listed[e.Service] = s
		recent[e.Service] = recent[e.Service] || now.Sub(time.UnixMilli(e.StartUnixMs)) < Lifetime
	}
	for name, s := range listed {
		before, known := v.services[name]
		s.mixedAt = before.mixedAt
		switch {
		case !s.sole, known && (!before.sole || before.version != s.version), !known && recent[name]:
			s.mixedAt = now
		}
		v.services[name] = s
	}
}

// Sole reports whether all streams of a service that callers may still take up
// began at the version of its present endpoints.
func (v *Versions) Sole(now time.Time, service string) bool {
	s, known := v.services[service]
	return known && s.sole && (s.mixedAt.IsZero() || now.Sub(s.mixedAt) > Lifetime)
}
