package prompt

import (
	"cmp"
	"math"
	"time"
)

const (
	// minSampleWeight is the weight of the newest sample in an engine's speed. The first
	// samples weigh more, so that the speed is their mean.
	minSampleWeight = 0.1
	// priorSamples is the weight of the mean of a service, in samples, in the speed of
	// each of its engines.
	priorSamples = 2
	// meanSamples is the number of own samples from which on the mean of a service depends
	// on these alone.
	meanSamples = 20
	// learnedSamples is the weight of what other relays have learned in such a mean.
	learnedSamples = 10
	// maxEventTime bounds a sample of the time per event.
	maxEventTime = 10 * time.Second
	// unlistedLifetime is how long the speed of an engine that isn't listed is kept. An
	// engine may be missing from the list for a moment, and another relay may list it first.
	unlistedLifetime = time.Minute
	// maxSpeeds bounds the engines whose speeds are kept.
	maxSpeeds = 4096
	// minNews is the change of a speed, as a share, from which on other relays are told.
	minNews = 0.1
)

// EngineSpeed is what was learned of one incarnation of an engine, at its usual pace.
type EngineSpeed struct {
	Engine      string // ID
	Incarnation int64
	Service     string
	ReadRate    float64       // prompt tokens read per millisecond
	Reads       int           // samples of ReadRate
	EventTime   time.Duration // between two events of a stream, in whole microseconds
	Streams     int           // samples of EventTime
}

// compare orders records of an engine by the one to keep: the newer incarnation, then
// the one with more samples. The other fields make the order total, so that merging is
// commutative.
func (s *EngineSpeed) compare(o *EngineSpeed) int {
	return cmp.Or(
		cmp.Compare(s.Incarnation, o.Incarnation), cmp.Compare(s.Reads+s.Streams, o.Reads+o.Streams), cmp.Compare(s.Reads, o.Reads),
		cmp.Compare(s.ReadRate, o.ReadRate), cmp.Compare(s.EventTime, o.EventTime),
	)
}

// readRate returns the tokens that an engine reads in a millisecond, where mean is the mean
// of its service.
func (s *EngineSpeed) readRate(mean *EngineSpeed) float64 {
	return shrink(s.ReadRate, s.Reads, mean.ReadRate)
}

// eventTime returns the time between two events of a stream.
func (s *EngineSpeed) eventTime(mean *EngineSpeed) time.Duration {
	return time.Duration(shrink(float64(s.EventTime), s.Streams, float64(mean.EventTime)))
}

// shrink returns the estimate from the mean of some samples and a prior.
func shrink(mean float64, samples int, prior float64) float64 {
	n := float64(samples)
	return (n*mean + priorSamples*prior) / (n + priorSamples)
}

// speedRecord is the speed of an engine in a table.
type speedRecord struct {
	EngineSpeed
	told          EngineSpeed // what other relays were told last
	changed       int         // version of the table at which told changed
	unlistedSince time.Time   // zero: the engine is listed
}

// Speeds keeps the speeds of engines, and which services are timed, for all relays. The
// zero value is ready to use. It is not safe for concurrent use.
type Speeds struct {
	engines map[string]*speedRecord // by ID
	means   map[string]*EngineSpeed // moving averages over the engines of a service, by service
	timed   map[string]int          // version of the table at which a service was known to be timed
	version int
}

// get returns the record of an engine, which is new after a restart. It stays valid for
// this incarnation until the engine is pruned.
func (t *Speeds) get(service string, e Engine) *speedRecord {
	if t.engines == nil {
		t.engines = make(map[string]*speedRecord)
	}
	s := t.engines[e.ID]
	if s == nil || s.Incarnation < e.Incarnation {
		s = &speedRecord{EngineSpeed: EngineSpeed{Engine: e.ID, Incarnation: e.Incarnation, Service: service}}
		t.engines[e.ID] = s
	}
	return s
}

// mean returns the mean speed of the engines of a service. It is updated in place.
func (t *Speeds) mean(service string) *EngineSpeed {
	if t.means == nil {
		t.means = make(map[string]*EngineSpeed)
	}
	m := t.means[service]
	if m == nil {
		m = &EngineSpeed{ReadRate: defaultReadRate}
		t.means[service] = m
	}
	return m
}

// update marks a record as changed if other relays need to know.
func (t *Speeds) update(s *speedRecord) {
	if differs(s.ReadRate, s.told.ReadRate) || differs(float64(s.EventTime), float64(s.told.EventTime)) {
		t.version++
		s.told, s.changed = s.EngineSpeed, t.version
	}
}

func differs(a, b float64) bool { return math.Abs(a-b) > minNews*b }

// observeRead adds the rate of a read at an engine.
func (t *Speeds) observeRead(s *speedRecord, rate float64) {
	rate = min(maxReadRate, max(minReadRate, rate))
	s.ReadRate = average(s.ReadRate, rate, &s.Reads)
	m := t.mean(s.Service)
	m.ReadRate = average(m.ReadRate, rate, &m.Reads)
	t.update(s)
}

// observeEvents adds the mean time between two events of a stream.
func (t *Speeds) observeEvents(s *speedRecord, perEvent time.Duration) {
	perEvent = min(maxEventTime, perEvent)
	s.EventTime = averageTime(s.EventTime, perEvent, &s.Streams)
	m := t.mean(s.Service)
	m.EventTime = averageTime(m.EventTime, perEvent, &m.Streams)
	t.update(s)
}

func averageTime(avg, sample time.Duration, n *int) time.Duration {
	return time.Duration(average(float64(avg), float64(sample), n)).Truncate(time.Microsecond)
}

// average adds a sample to a moving average of n samples.
func average(avg, sample float64, n *int) float64 {
	*n++
	return avg + max(minSampleWeight, 1/float64(*n))*(sample-avg)
}

// Prune drops the engines that have not been in keep for unlistedLifetime.
func (t *Speeds) Prune(now time.Time, keep func(id string) bool) {
	for id, s := range t.engines {
		switch {
		case keep(id):
			s.unlistedSince = time.Time{}
		case s.unlistedSince.IsZero():
			s.unlistedSince = now
		case now.Sub(s.unlistedSince) > unlistedLifetime:
			delete(t.engines, id)
		}
	}
}
