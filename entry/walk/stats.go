package walk

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"wigeonplank.example/base/admin"
	"wigeonplank.example/core/meter"
	"wigeonplank.example/core/stage"
)

const classSamples = 512

type windowKey struct{ pipeline, stage string }

// Stats is what an entry measures. The zero value is ready to use. It is safe
// for concurrent use.
type Stats struct {
	Teams meter.Teams
	Costs meter.Costs

	mu       sync.RWMutex
	windows  map[windowKey]*meter.Window
	registry metrics.Registry
}

// Window returns the latencies of a stage.
func (s *Stats) Window(pipeline, stageName string) *meter.Window {
	k := windowKey{pipeline, stageName}
	s.mu.RLock()
	w := s.windows[k]
	s.mu.RUnlock()
	if w != nil {
		return w
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.windows == nil {
		s.windows = make(map[windowKey]*meter.Window)
	}
	if s.windows[k] == nil {
		s.windows[k] = &meter.Window{}
	}
	return s.windows[k]
}

// Registry returns the metrics of the entry.
func (s *Stats) Registry() metrics.Registry {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.registry == nil {
		s.registry = metrics.NewRegistry()
	}
	return s.registry
}

// Ended counts an ended request. Its pipeline, class and team are declared
// ones, which bounds the number of series.
func (s *Stats) Ended(r *Request, end stage.End, took time.Duration) {
	reg := s.Registry()
	name := admin.WithLabel("wigeonplank_requests_total", "pipeline", r.Pipeline)
	name = admin.WithLabel(name, "class", r.Class)
	name = admin.WithLabel(name, "outcome", string(end.Outcome))
	name = admin.WithLabel(name, "cause", string(end.Cause))
	metrics.GetOrRegisterCounter(name, reg).Inc(1)
	hist := admin.WithLabel("wigeonplank_request_us", "class", r.Class)
	reg.GetOrRegister(hist, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewUniformSample(classSamples))
	}).(metrics.Histogram).Update(took.Microseconds())
	s.Teams.Record(r.Team, took, end.Outcome == stage.OutcomeAnswered)
}

// Rotate starts a new interval of the sliding statistics.
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
