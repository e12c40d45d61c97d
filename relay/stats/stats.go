// Package stats collects a relay's request metrics by route, service and team.
// The number of label values is bounded: values beyond the maximum share one
// label.
package stats

import (
	"strconv"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"wigeonplank.example/base/admin"
)

const (
	maxRoutes  = 64  // labels for routes, and the same number for services; a deployment has a few dozen
	maxTeams   = 128 // labels for teams
	sampleSize = 256 // values per histogram; the 99th percentile is accurate to a few hundredths
	otherLabel = "other"
	unitSuffix = "_us"
	decayAlpha = 0.015 // per second: a histogram mostly covers the last five minutes
	namePrefix = "wigeonplank_relay_"
	noneLabel  = "none" // for requests without a route or team
)

// Phase is a measured part of a request's duration.
type Phase string

// Phases of a request.
const (
	PhaseTotal      Phase = "total"  // from the start of the request to the end of the response
	PhaseFirstEvent Phase = "first"  // from the start of the request to the first event of a stream
	PhaseStages     Phase = "stages" // from the start of the request to the results of its stages
	PhaseEventGap   Phase = "pause"  // between two events of a stream
)

// Meters holds the counters and histograms. Set Registry before use. It is safe
// for concurrent use.
type Meters struct {
	Registry metrics.Registry

	mu       sync.Mutex
	routes   map[string]bool // values that have a label of their own
	services map[string]bool
	teams    map[string]bool
}

// RecordRequest counts a finished request by the status of its response, and
// records its duration. route and team are empty if the request has none.
func (m *Meters) RecordRequest(route, team string, status int, d time.Duration) {
	route, team = m.routeLabel(route), m.teamLabel(team)
	code := strconv.Itoa(status)
	m.counter("requests_total", "route", route, "status", code).Inc(1)
	m.counter("team_requests_total", "team", team, "status", code).Inc(1)
	m.record("team"+unitSuffix, "team", team, d)
	m.record(string(PhaseTotal)+unitSuffix, "route", route, d)
}

// RecordRejected counts a request that was not admitted to its stages, by what decided.
func (m *Meters) RecordRejected(reason, route, team string) {
	m.counter("rejected_total", "route", m.routeLabel(route), "reason", reason).Inc(1)
	m.counter("team_rejected_total", "team", m.teamLabel(team), "reason", reason).Inc(1)
}

// RecordPrediction records how far the predicted time from sending a request to its
// first event was from the actual one. Times that were predicted too short and too
// long are counted apart.
func (m *Meters) RecordPrediction(route string, predicted, actual time.Duration) {
	route = m.routeLabel(route)
	if actual > predicted {
		m.record("first_late"+unitSuffix, "route", route, actual-predicted)
	} else {
		m.record("first_early"+unitSuffix, "route", route, predicted-actual)
	}
}

// RecordAnswerTime records the predicted and the actual time of a complete answer of a
// service.
func (m *Meters) RecordAnswerTime(service string, predicted, actual time.Duration) {
	service = m.serviceLabel(service)
	m.record("answer_predicted"+unitSuffix, "service", service, predicted)
	m.record("answer_actual"+unitSuffix, "service", service, actual)
}

// RecordPhase records the duration of a phase of a request.
func (m *Meters) RecordPhase(p Phase, route string, d time.Duration) {
	m.record(string(p)+unitSuffix, "route", m.routeLabel(route), d)
}

// Notice is something that an endpoint announces.
type Notice string

// Notices.
const (
	NoticeLimited Notice = "limited" // it names a limit
	NoticeLeaving Notice = "leaving" // it leaves
	NoticeClosed  Notice = "closed"  // it wants no requests for a while
)

// RecordStored records how long the first acknowledgement of the record of a stream has
// taken.
func (m *Meters) RecordStored(d time.Duration) {
	m.record("origin"+unitSuffix, "kind", "first_stored", d)
}

// RecordNotice counts what an endpoint of a service has announced. service is empty if
// it is unknown.
func (m *Meters) RecordNotice(service string, n Notice) {
	m.counter("notices_total", "service", m.serviceLabel(service), "kind", string(n)).Inc(1)
}

// RecordQuarantined counts a request that was rejected because what it has in common
// with others crashes endpoints. kind says what that is.
func (m *Meters) RecordQuarantined(kind string) {
	metrics.GetOrRegisterCounter(admin.WithLabel(namePrefix+"quarantined_total", "kind", kind), m.Registry).Inc(1)
}

// RecordCrash counts a crash of an endpoint of a service that ran requests of this relay.
func (m *Meters) RecordCrash(service string) {
	metrics.GetOrRegisterCounter(admin.WithLabel(namePrefix+"crashes_total", "service", m.serviceLabel(service)), m.Registry).Inc(1)
}

// RecordSilence counts what was decided about an endpoint of a service that was silent for
// longer than expected.
func (m *Meters) RecordSilence(service, decision string) {
	m.counter("silent_total", "service", m.serviceLabel(service), "decision", decision).Inc(1)
}

// RecordAttempt counts a request's attempt at an endpoint by how it ended.
func (m *Meters) RecordAttempt(service, end string) {
	m.counter("attempts_total", "service", m.serviceLabel(service), "end", end).Inc(1)
}

// RecordStageCall counts a call to a stage's endpoint, and the items in it, by the
// result of the call.
func (m *Meters) RecordStageCall(service, result string, items int) {
	service = m.serviceLabel(service)
	m.counter("stage_calls_total", "service", service, "result", result).Inc(1)
	m.counter("stage_items_total", "service", service, "result", result).Inc(int64(items))
}

func (m *Meters) counter(name, key, value, key2, value2 string) metrics.Counter {
	return metrics.GetOrRegisterCounter(admin.WithLabel(admin.WithLabel(namePrefix+name, key, value), key2, value2), m.Registry)
}

// record adds d, in microseconds, to the histogram of a name and label.
func (m *Meters) record(name, key, value string, d time.Duration) {
	h := m.Registry.GetOrRegister(admin.WithLabel(namePrefix+name, key, value), func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, decayAlpha))
	})
	if h, ok := h.(metrics.Histogram); ok {
		h.Update(d.Microseconds())
	}
}

func (m *Meters) routeLabel(name string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return boundedLabel(&m.routes, name, maxRoutes)
}

func (m *Meters) serviceLabel(name string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return boundedLabel(&m.services, name, maxRoutes)
}

func (m *Meters) teamLabel(name string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return boundedLabel(&m.teams, name, maxTeams)
}

// boundedLabel returns the label for name, and adds name to labels. It returns
// otherLabel if name is new and labels already has maxLabels entries, and noneLabel
// if name is empty.
func boundedLabel(labels *map[string]bool, name string, maxLabels int) string {
	if name == "" {
		return noneLabel
	}
	if *labels == nil {
		*labels = make(map[string]bool)
	}
	if !(*labels)[name] {
		if len(*labels) == maxLabels {
			return otherLabel
		}
		(*labels)[name] = true
	}
	return name
}
