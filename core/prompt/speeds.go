package prompt

import "time"

const (
	// minSampleWeight is the weight of the newest sample in an engine's speed. The first
	// samples weigh more, so that the speed is their mean.
	minSampleWeight = 0.1
	// priorSamples is the weight of the mean of a service, in samples, in the speed of
	// each of its engines.
	priorSamples = 2
	// maxEventTime bounds a sample of the time per event.
	maxEventTime = 10 * time.Second
)

// EngineSpeed is what was learned of one incarnation of an engine, at its usual pace.
type EngineSpeed struct {
	Engine      string // ID
	Incarnation int64
	Service     string
	ReadRate    float64       // prompt tokens read per millisecond
	Reads       int           // samples of ReadRate
	EventTime   time.Duration // between two events of a stream
	Streams     int           // samples of EventTime
}

// Speeds keeps the speeds of engines. They are not forgotten until Prune. The zero value
// is ready to use. It is not safe for concurrent use.
type Speeds struct {
	engines map[string]*EngineSpeed // by ID
	means   map[string]*EngineSpeed // of the engines of a service, by service
}

// get returns the record of an engine, which is new after a restart.
func (t *Speeds) get(service string, e Engine) *EngineSpeed {
	if t.engines == nil {
		t.engines, t.means = make(map[string]*EngineSpeed), make(map[string]*EngineSpeed)
	}
	s := t.engines[e.ID]
	if s == nil || s.Incarnation < e.Incarnation {
		s = &EngineSpeed{Engine: e.ID, Incarnation: e.Incarnation, Service: service}
		t.engines[e.ID] = s
	}
	return s
}

// mean returns the mean speed of the engines of a service.
func (t *Speeds) mean(service string) *EngineSpeed {
	m := t.means[service]
	if m == nil {
		m = &EngineSpeed{ReadRate: defaultReadRate}
		t.means[service] = m
	}
	return m
}

// estimate returns the tokens that an engine reads in a millisecond, and the time between
// two events of a stream.
func (t *Speeds) estimate(service string, e Engine) (float64, time.Duration) {
	s := t.get(service, e)
	m := t.mean(service)
	rate := shrink(s.ReadRate, s.Reads, m.ReadRate)
	return rate, time.Duration(shrink(float64(s.EventTime), s.Streams, float64(m.EventTime)))
}

// shrink returns the estimate from the mean of some samples and a prior.
func shrink(mean float64, samples int, prior float64) float64 {
	n := float64(samples)
	return (n*mean + priorSamples*prior) / (n + priorSamples)
}

// observeRead adds the rate of a read at an engine.
func (t *Speeds) observeRead(service string, e Engine, rate float64) {
	rate = min(maxReadRate, max(minReadRate, rate))
	s, m := t.get(service, e), t.mean(service)
	s.ReadRate = average(s.ReadRate, rate, &s.Reads)
	m.ReadRate = average(m.ReadRate, rate, &m.Reads)
}

// observeEvents adds the mean time between two events of a stream.
func (t *Speeds) observeEvents(service string, e Engine, perEvent time.Duration) {
	v := float64(min(maxEventTime, perEvent))
	s, m := t.get(service, e), t.mean(service)
	s.EventTime = time.Duration(average(float64(s.EventTime), v, &s.Streams))
	m.EventTime = time.Duration(average(float64(m.EventTime), v, &m.Streams))
}

// average adds a sample to a moving average of n samples.
func average(avg, sample float64, n *int) float64 {
	*n++
	return avg + max(minSampleWeight, 1/float64(*n))*(sample-avg)
}

// Prune drops the engines that are not in keep.
func (t *Speeds) Prune(keep func(id string) bool) {
	for id := range t.engines {
		if !keep(id) {
			delete(t.engines, id)
		}
	}
}
