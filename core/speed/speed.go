// Package speed estimates how fast endpoints are, and predicts the time that work
// takes at them, from the times of their answers and the pace that they report.
package speed

import (
	"math"
	"slices"
	"time"

	"wigeonplank.example/core/fleet"
)

const (
	// MaxReportAge is the age at which a reported pace or load has no weight any more:
	// periods in which an endpoint is slow last about as long.
	MaxReportAge = 600 * time.Millisecond

	priorSamples   = 4.0 // weight of the service's median, in samples
	maxSamples     = 48  // weight of the past, in samples, so that a lasting change is learned
	priorVariance  = 0.2 // of the logarithm of the pace; weight of the assumption that a pace is right
	maxStep        = 1.5 // bound of a sample's distance from the estimate, as a logarithm
	minPaceFactor  = 0.5 // a pace shortens the expected time at most to this part, so that a false one attracts little
	medianInterval = 4   // the median is computed after one sample for this many endpoints

	// defaultTime is assumed for a service of which no answer was timed yet.
	defaultTime = 100 * time.Millisecond
)

// Sample is a piece of work that an endpoint completed.
type Sample struct {
	Took  time.Duration // from sending the request to the end of the answer
	Ahead float64       // requests ahead of it when it was sent
	Pace  float64       // that the answer reported; 0: none
}

// Estimate is what is known of an endpoint.
type Estimate struct {
	Speed   float64       // in multiples of the median of its service
	Pace    float64       // last reported; 0: none
	PaceAge time.Duration // time since Pace was reported
	Trust   float64       // weight of the pace by how well it agrees with the times of answers, 0 to 1
	Samples int           // up to the number that is remembered
}

// endpoint holds the estimate of one incarnation of an endpoint. Times and paces are
// logarithms, because a slow endpoint or a slow period multiplies the time of work.
type endpoint struct {
	incarnation int64
	service     *service
	samples     float64
	time        float64 // mean, in ms, without waiting
	meanPace    float64 // mean of the paces of the samples
	variance    float64 // of the pace
	covariance  float64 // of time and pace
	pace        float64
	pacedAt     time.Time // zero: no pace was reported
}

// service holds the median of a service.
type service struct {
	median    float64 // logarithm of ms
	known     bool
	endpoints int
	added     int // samples since median was computed
}

// Table keeps the estimates of endpoints. The zero value is ready to use. It is not safe
// for concurrent use.
type Table struct {
	endpoints map[string]*endpoint // by ID
	services  map[string]*service  // by name
	scratch   []float64
}

// get returns the estimate of an endpoint. A new incarnation starts at the median of
// its service.
func (t *Table) get(e *fleet.Endpoint) *endpoint {
	st := t.endpoints[e.ID]
	if st != nil && st.incarnation == e.StartUnixMs {
		return st
	}
	if t.endpoints == nil {
		t.endpoints, t.services = make(map[string]*endpoint), make(map[string]*service)
	}
	svc := t.services[e.Service]
	if svc == nil {
		svc = &service{median: math.Log(ms(defaultTime))}
		t.services[e.Service] = svc
	}
	if st != nil {
		st.service.endpoints--
	}
	svc.endpoints++
	st = &endpoint{incarnation: e.StartUnixMs, service: svc}
	t.endpoints[e.ID] = st
	return st
}

// RecordPace records the pace that an endpoint reported.
func (t *Table) RecordPace(now time.Time, e *fleet.Endpoint, pace float64) {
	if pace > 0 && !t.outdated(e) {
		st := t.get(e)
		st.pace, st.pacedAt = math.Log(pace), now
	}
}

// outdated reports whether a newer incarnation of an endpoint is tracked.
func (t *Table) outdated(e *fleet.Endpoint) bool {
	st := t.endpoints[e.ID]
	return st != nil && st.incarnation > e.StartUnixMs
}

// Record learns from work that an endpoint completed.
func (t *Table) Record(e *fleet.Endpoint, s Sample) {
	if s.Took <= 0 || t.outdated(e) {
		return
	}
	st := t.get(e)
	wait := waitFactor(e, s.Ahead)
	weight := 1 / (1 + wait) // the estimate of the work ahead is less exact than the work's own time
	took := math.Log(ms(s.Took) / (1 + wait))
	if st.service.known {
		near := st.slow()
		took = min(max(took, near-maxStep), near+maxStep)
	}
	pace := st.meanPace
	if s.Pace > 0 {
		pace = math.Log(s.Pace)
	}
	st.samples = min(maxSamples, st.samples+weight)
	rate := weight / st.samples
	dTime, dPace := took-st.time, pace-st.meanPace
	st.time += rate * dTime
	st.meanPace += rate * dPace
	st.variance = (1 - rate) * (st.variance + rate*dPace*dPace)
	st.covariance = (1 - rate) * (st.covariance + rate*dPace*dTime)
	svc := st.service
	if svc.added++; !svc.known || svc.added*medianInterval >= svc.endpoints {
		t.computeMedian(svc)
	}
}

func (t *Table) computeMedian(svc *service) {
	list := t.scratch[:0]
	for _, st := range t.endpoints {
		if st.service == svc && st.samples > 0 {
			list = append(list, st.time)
		}
	}
	t.scratch = list
	slices.Sort(list)
	svc.median, svc.known, svc.added = list[len(list)/2], true, 0
}

// slow returns the logarithm of the time that work takes at the endpoint's mean pace,
// shrunk towards the median of the service.
func (st *endpoint) slow() float64 {
	return (st.samples*st.time + priorSamples*st.service.median) / (st.samples + priorSamples)
}

// trust returns how much of a change of the pace is found in the times of answers
// (linear regression of the logarithms). It is 1 until the pace has varied.
func (st *endpoint) trust() float64 {
	n := st.samples / (st.samples + priorSamples)
	return min(1, max(0, (priorVariance+n*st.covariance)/(priorVariance+n*st.variance)))
}

// paceFactor returns by how much the time of work now differs from that at the mean
// pace. The weight of a reported pace falls to a quarter at half of MaxReportAge.
func (st *endpoint) paceFactor(now time.Time) float64 {
	age := now.Sub(st.pacedAt)
	if st.pacedAt.IsZero() || age >= MaxReportAge {
		return 1
	}
	weight := 1 - float64(max(0, age))/float64(MaxReportAge)
	usual := st.meanPace * st.samples / (st.samples + priorSamples)
	return max(minPaceFactor, math.Exp(weight*weight*st.trust()*(st.pace-usual)))
}

// Predict returns the time that a request takes at an endpoint, from being sent to the
// end of its answer, if the endpoint has this many requests ahead of it.
func (t *Table) Predict(now time.Time, e *fleet.Endpoint, ahead float64) time.Duration {
	st := t.get(e)
	work := math.Exp(st.slow()) * st.paceFactor(now)
	return time.Duration(work * (1 + waitFactor(e, ahead)) * float64(time.Millisecond))
}

// Known reports whether an answer of a service was timed.
func (t *Table) Known(name string) bool {
	svc := t.services[name]
	return svc != nil && svc.known
}

// Median returns the median time of work at the endpoints of a service.
func (t *Table) Median(name string) time.Duration {
	if svc := t.services[name]; svc != nil {
		return time.Duration(math.Exp(svc.median) * float64(time.Millisecond))
	}
	return defaultTime
}

// Get returns the estimate of an endpoint.
func (t *Table) Get(now time.Time, e *fleet.Endpoint) Estimate {
	st := t.get(e)
	out := Estimate{Speed: math.Exp(st.service.median - st.slow()), Trust: st.trust(), Samples: int(st.samples)}
	if !st.pacedAt.IsZero() {
		out.Pace, out.PaceAge = math.Exp(st.pace), now.Sub(st.pacedAt)
	}
	return out
}

// Prune drops the estimates of endpoints that are not in keep.
func (t *Table) Prune(keep map[string]*fleet.Endpoint) {
	for id, st := range t.endpoints {
		if keep[id] == nil {
			st.service.endpoints--
			delete(t.endpoints, id)
		}
	}
	for name, svc := range t.services {
		if svc.endpoints == 0 {
			delete(t.services, name)
		}
	}
}

// waitFactor returns the time that a request waits for a slot, in multiples of the time
// of work.
func waitFactor(e *fleet.Endpoint, ahead float64) float64 {
	slots := float64(max(1, e.Slots))
	return max(0, ahead+1-slots) / slots
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
