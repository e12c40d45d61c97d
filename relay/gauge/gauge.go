// Package gauge counts what a relay does, by route and by team, for its metrics
// page. The number of names is bounded: routes and teams beyond it share one.
package gauge

import (
	"strconv"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"wigeonplank.example/base/admin"
)

const (
	mostRoutes = 64  // routes, and services, with a name of their own; a deployment has a few dozen
	mostTeams  = 128 // with a name of their own
	samples    = 256 // of each histogram; gives a 99th percentile within a few hundredths
	otherName  = "other"
	unit       = "_us"
	decay      = 0.015 // of a sample's weight a second: the last five minutes count
	namePrefix = "wigeonplank_relay_"
	missing    = "none" // requests without a route, or a team
)

// Part is a part of a request's time.
type Part string

// Parts of the time.
const (
	PartTotal  Part = "total"  // until the end of the answer
	PartFirst  Part = "first"  // until the first event of a stream
	PartStages Part = "stages" // until the results of its stages were there
	PartPause  Part = "pause"  // between two events of a stream
)

// Meters holds the counters and histograms. Set Registry before use. It is safe
// for concurrent use.
type Meters struct {
	Registry metrics.Registry

	mu       sync.Mutex
	routes   map[string]bool
	services map[string]bool
	teams    map[string]bool
}

// Ended counts a request by what became of it, and records how long it took.
func (m *Meters) Ended(route, team string, status int, took time.Duration) {
	route, team = m.route(route), m.team(team)
	code := strconv.Itoa(status)
	m.counter("requests_total", "route", route, "status", code).Inc(1)
	m.counter("team_requests_total", "team", team, "status", code).Inc(1)
	m.record("team"+unit, "team", team, took)
	m.record(string(PartTotal)+unit, "route", route, took)
}

// Record records a part of a request's time.
func (m *Meters) Record(p Part, route string, took time.Duration) {
	m.record(string(p)+unit, "route", m.route(route), took)
}

// Attempt counts an attempt at an endpoint by how it ended.
func (m *Meters) Attempt(service, end string) {
	m.counter("attempts_total", "service", m.service(service), "end", end).Inc(1)
}

// StageCall counts a call of a stage, and its items.
func (m *Meters) StageCall(service, result string, items int) {
	service = m.service(service)
	m.counter("stage_calls_total", "service", service, "result", result).Inc(1)
	m.counter("stage_items_total", "service", service, "result", result).Inc(int64(items))
}

func (m *Meters) counter(name, key, value, key2, value2 string) metrics.Counter {
	return metrics.GetOrRegisterCounter(admin.WithLabel(admin.WithLabel(namePrefix+name, key, value), key2, value2), m.Registry)
}

func (m *Meters) record(name, key, value string, d time.Duration) {
	h := m.Registry.GetOrRegister(admin.WithLabel(namePrefix+name, key, value), func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(samples, decay))
	})
	if h, ok := h.(metrics.Histogram); ok {
		h.Update(d.Microseconds())
	}
}

func (m *Meters) route(name string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return known(&m.routes, name, mostRoutes)
}

func (m *Meters) service(name string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return known(&m.services, name, mostRoutes)
}

func (m *Meters) team(name string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return known(&m.teams, name, mostTeams)
}

// known returns a name, or a common one if there are too many.
func known(names *map[string]bool, name string, most int) string {
	if name == "" {
		return missing
	}
	if *names == nil {
		*names = make(map[string]bool)
	}
	if !(*names)[name] {
		if len(*names) == most {
			return otherName
		}
		(*names)[name] = true
	}
	return name
}
