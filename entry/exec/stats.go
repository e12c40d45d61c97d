package exec

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"wigeonplank.example/base/admin"
	"wigeonplank.example/core/meter"
	"wigeonplank.example/core/stage"
)

// latencySampleSize is the number of latencies that the histogram of a class
// keeps.
const latencySampleSize = 512

type stageKey struct{ pipeline, stage string }

// Stats collects the measurements of an entry. The zero value is ready to use.
// It is safe for concurrent use.
type Stats struct {
	Teams meter.Teams
	Costs meter.Costs

	mu       sync.RWMutex
	windows  map[stageKey]*meter.Window
	registry metrics.Registry
}

// Window returns the recent latencies of a stage. It is empty until the first
// latency is recorded.
func (s *Stats) Window(pipeline, stageName string) *meter.Window {
	key := stageKey{pipeline, stageName}
	s.mu.RLock()
	w := s.windows[key]
	s.mu.RUnlock()
	if w != nil {
		return w
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.windows == nil {
		s.windows = make(map[stageKey]*meter.Window)
	}
	if s.windows[key] == nil {
		s.windows[key] = &meter.Window{}
	}
	return s.windows[key]
}

// Registry returns the metrics registry of the entry.
func (s *Stats) Registry() metrics.Registry {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.registry == nil {
		s.registry = metrics.NewRegistry()
	}
	return s.registry
}

// RecordRequest counts an ended request and records its latency. The pipeline,
// class and team must be declared in the configuration, which bounds the number
// of time series.
func (s *Stats) RecordRequest(r *Request, end stage.End, elapsed time.Duration) {
	reg := s.Registry()
	name := admin.WithLabel("wigeonplank_requests_total", "pipeline", r.Pipeline)
	name = admin.WithLabel(name, "class", r.Class)
	name = admin.WithLabel(name, "outcome", string(end.Outcome))
	name = admin.WithLabel(name, "cause", string(end.Cause))
	metrics.GetOrRegisterCounter(name, reg).Inc(1)
	hist := admin.WithLabel("wigeonplank_request_us", "class", r.Class)
	reg.GetOrRegister(hist, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewUniformSample(latencySampleSize))
	}).(metrics.Histogram).Update(elapsed.Microseconds())
	s.Teams.Record(r.Team, elapsed, end.Outcome == stage.OutcomeAnswered)
}

// Rotate starts a new interval in all latency windows.
func (s *Stats) Rotate() {
	s.mu.RLock()
	windows := make([]*meter.Window, 0, len(s.windows))
	for _, w := range s.windows {
		windows = append(windows, w)
	}
	s.mu.RUnlock()
	for _, w := range windows {
		w.Rotate()
	}
}
