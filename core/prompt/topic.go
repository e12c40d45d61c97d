package prompt

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"
)

// Timed returns the services that are known to be timed.
func (t *Speeds) Timed() []string {
	out := make([]string, 0, len(t.timed))
	for service := range t.timed {
		out = append(out, service)
	}
	return out
}

// SetTimed records that a service is timed.
func (t *Speeds) SetTimed(service string) {
	if t.timed == nil {
		t.timed = make(map[string]int)
	}
	if _, known := t.timed[service]; !known {
		t.version++
		t.timed[service] = t.version
	}
}

// Changes returns what has changed after a version, encoded for Merge, and the current
// version.
func (t *Speeds) Changes(after int) ([][]byte, int, error) {
	var list []*SpeedState
	for service, changed := range t.timed {
		if changed > after {
			list = append(list, &SpeedState{Service: service, Timed: true})
		}
	}
	for _, s := range t.engines {
		if s.changed > after {
			list = append(list, &SpeedState{
				Service: s.Service, Engine: s.Engine, Incarnation: s.Incarnation, ReadRate: s.ReadRate, Reads: uint32(s.Reads),
				EventTimeUs: s.EventTime.Microseconds(), Streams: uint32(s.Streams),
			})
		}
	}
	out := make([][]byte, 0, len(list))
	for _, w := range list {
		raw, err := proto.Marshal(w)
		if err != nil {
			return nil, after, fmt.Errorf("encode speed: %w", err)
		}
		out = append(out, raw)
	}
	return out, t.version, nil
}

var errInvalidSpeed = errors.New("speed out of range")

// Merge adds records of another relay. It skips invalid ones and returns an error for the
// last of them.
func (t *Speeds) Merge(records [][]byte) error {
	var failed error
	for _, raw := range records {
		var w SpeedState
		if err := proto.Unmarshal(raw, &w); err != nil {
			failed = fmt.Errorf("decode speed: %w", err)
			continue
		}
		if w.GetTimed() {
			t.SetTimed(w.GetService())
			continue
		}
		s := EngineSpeed{
			Engine: w.GetEngine(), Incarnation: w.GetIncarnation(), Service: w.GetService(), ReadRate: w.GetReadRate(), Reads: int(w.GetReads()),
			EventTime: time.Duration(w.GetEventTimeUs()) * time.Microsecond, Streams: int(w.GetStreams()),
		}
		if !s.valid() {
			failed = errInvalidSpeed
			continue
		}
		t.put(s)
	}
	return failed
}

// valid reports whether a record of another relay is within the ranges of samples.
func (s *EngineSpeed) valid() bool {
	readValid := s.Reads == 0 && s.ReadRate == 0 || !math.IsNaN(s.ReadRate) && s.ReadRate >= minReadRate && s.ReadRate <= maxReadRate
	return s.Engine != "" && readValid && s.EventTime >= 0 && s.EventTime <= maxEventTime
}

// put keeps the better of a record and the one in the table.
func (t *Speeds) put(s EngineSpeed) {
	if t.engines[s.Engine] == nil && len(t.engines) >= maxSpeeds {
		return
	}
	r := t.get(s.Service, Engine{ID: s.Engine, Incarnation: s.Incarnation})
	if s.compare(&r.EngineSpeed) > 0 {
		r.EngineSpeed = s
		t.learnMean(s.Service)
		t.update(r)
	}
}

// learnMean computes the mean of a service over the samples of its engines, unless this
// relay has samples enough of its own.
func (t *Speeds) learnMean(service string) {
	m := t.mean(service)
	if m.Reads >= meanSamples {
		return
	}
	rate, reads, event, streams := 0.0, 0, 0.0, 0
	for _, id := range slices.Sorted(maps.Keys(t.engines)) { // the order affects rounding
		if s := t.engines[id]; s.Service == service {
			rate, reads = rate+float64(s.Reads)*s.ReadRate, reads+s.Reads
			event, streams = event+float64(s.Streams)*float64(s.EventTime), streams+s.Streams
		}
	}
	if reads > 0 {
		m.ReadRate, m.Reads = rate/float64(reads), max(m.Reads, learnedSamples)
	}
	if streams > 0 {
		m.EventTime, m.Streams = time.Duration(event/float64(streams)), max(m.Streams, learnedSamples)
	}
}
