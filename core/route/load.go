// Package route chooses the endpoint for each stage of a request. A Table is
// an immutable snapshot built by the control goroutine; a Router reads it from
// any number of traffic goroutines.
package route

import (
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// Load is what one entry knows of an endpoint's load. Its fields are written by
// the link to the endpoint's agent and by the requests of this entry, and it
// outlives the tables that point to it. The zero value is an endpoint with no
// link. It is safe for concurrent use.
type Load struct {
	linked      atomic.Bool
	closed      atomic.Bool
	cold        atomic.Bool
	limit       atomic.Int32
	busy        atomic.Int32 // by the agent's newest report, all entries together
	sent        atomic.Int32 // by this entry since that report
	outstanding atomic.Int32 // of this entry
	model       atomic.Uint64
	incarnation atomic.Uint64
	detail      atomic.Pointer[Report]
}

// Report is an agent's word on its endpoint.
type Report struct {
	Limit  int
	Busy   int // running and queued
	Closed string
	Model  string
	Waits  string
	Cold   bool
}

// Observe takes a report into account. Work sent before it is part of Busy.
func (l *Load) Observe(r Report) {
	l.limit.Store(int32(r.Limit))
	l.busy.Store(int32(r.Busy))
	l.closed.Store(r.Closed != "")
	l.cold.Store(r.Cold)
	l.model.Store(xxhash.Sum64String(r.Model))
	l.sent.Store(0)
	l.detail.Store(&r)
}

// Link records whether a link to the agent works, and to which incarnation.
func (l *Load) Link(up bool, incarnation uint64) {
	l.incarnation.Store(incarnation)
	l.linked.Store(up)
}

// Linked reports whether a link to the agent works.
func (l *Load) Linked() bool { return l.linked.Load() }

// Incarnation returns the incarnation of the agent as of the newest link.
func (l *Load) Incarnation() uint64 { return l.incarnation.Load() }

// Last returns the newest report, or a zero Report before the first.
func (l *Load) Last() Report {
	if r := l.detail.Load(); r != nil {
		return *r
	}
	return Report{}
}

// Outstanding returns the work of this entry that the endpoint holds.
func (l *Load) Outstanding() int { return int(l.outstanding.Load()) }

// Begin counts one dispatch. Each Begin is paired with one End.
func (l *Load) Begin() {
	l.outstanding.Add(1)
	l.sent.Add(1)
}

// End counts the end of one dispatch.
func (l *Load) End() { l.outstanding.Add(-1) }

// score is the endpoint's load as a share of what it bears, counting on what
// this entry sent since the last report.
func (l *Load) score() float64 {
	limit := l.limit.Load()
	if limit <= 0 {
		return blocked
	}
	busy := max(l.busy.Load()+l.sent.Load(), l.outstanding.Load())
	return float64(busy) / float64(limit)
}

// Loads hands out one Load for each instance ID. The zero value is empty. It is
// safe for concurrent use.
type Loads struct {
	mu sync.Mutex
	m  map[string]*Load
}

// Of returns the Load of an instance, made at the first call.
func (s *Loads) Of(id string) *Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l, ok := s.m[id]; ok {
		return l
	}
	if s.m == nil {
		s.m = make(map[string]*Load)
	}
	l := &Load{}
	s.m[id] = l
	return l
}

// Keep forgets all instances but those for which keep returns true.
func (s *Loads) Keep(keep func(id string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.m {
		if !keep(id) {
			delete(s.m, id)
		}
	}
}
