// Package route chooses the endpoint for each stage of a request. A Table is an
// immutable snapshot of the configuration and the instances, built by the control
// goroutine; a Router reads it from any number of request goroutines.
package route

import (
	"sync"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"
)

// Load is one entry's view of an endpoint's load. The link to the endpoint's agent
// and the requests of this entry update it, and it outlives the tables that point
// to it. The zero value is an endpoint without a link. It is safe for concurrent
// use.
type Load struct {
	linked          atomic.Bool
	closed          atomic.Bool   // the agent accepts no new work
	cold            atomic.Bool   // the agent reports the endpoint as cold
	limit           atomic.Int32  // concurrent requests that the endpoint accepts
	busy            atomic.Int32  // running and queued requests of all entries, by the newest report
	sentSinceReport atomic.Int32  // dispatches of this entry since that report
	outstanding     atomic.Int32  // dispatches of this entry in flight
	modelHash       atomic.Uint64 // of the endpoint's model, by the newest report
	incarnation     atomic.Uint64
	lastReport      atomic.Pointer[Report]
}

// Report is the state of an endpoint as reported by its agent.
type Report struct {
	Limit         int    // concurrent requests that the endpoint accepts
	Busy          int    // requests running and queued
	ClosedReason  string // why the agent accepts no new work; empty if it does
	Model         string // the endpoint's model, as confirmed by the endpoint
	PlacementWait string // what placement waits for; empty if for nothing
	Cold          bool
}

// Observe applies a report. From then on dispatches sent before it count as part
// of Busy.
func (l *Load) Observe(r Report) {
	l.limit.Store(int32(r.Limit))
	l.busy.Store(int32(r.Busy))
	l.closed.Store(r.ClosedReason != "")
	l.cold.Store(r.Cold)
	l.modelHash.Store(xxhash.Sum64String(r.Model))
	l.sentSinceReport.Store(0)
	l.lastReport.Store(&r)
}

// SetLink records whether the link to the agent is up, and the agent's incarnation.
func (l *Load) SetLink(up bool, incarnation uint64) {
	l.incarnation.Store(incarnation)
	l.linked.Store(up)
}

// Linked reports whether the link to the agent is up.
func (l *Load) Linked() bool { return l.linked.Load() }

// Incarnation returns the agent's incarnation as recorded by the last SetLink.
func (l *Load) Incarnation() uint64 { return l.incarnation.Load() }

// LastReport returns the newest report, or a zero Report if there is none.
func (l *Load) LastReport() Report {
	if r := l.lastReport.Load(); r != nil {
		return *r
	}
	return Report{}
}

// Outstanding returns how many dispatches of this entry are in flight at the
// endpoint.
func (l *Load) Outstanding() int { return int(l.outstanding.Load()) }

// BeginDispatch counts a dispatch as in flight. Each call must be paired with one
// call of EndDispatch.
func (l *Load) BeginDispatch() {
	l.outstanding.Add(1)
	l.sentSinceReport.Add(1)
}

// EndDispatch counts the end of a dispatch.
func (l *Load) EndDispatch() { l.outstanding.Add(-1) }

// score returns the running and queued work as a share of the endpoint's limit,
// or unusableScore if the limit is 0. Work that this entry sent since the last
// report is included.
func (l *Load) score() float64 {
	limit := l.limit.Load()
	if limit <= 0 {
		return unusableScore
	}
	busy := max(l.busy.Load()+l.sentSinceReport.Load(), l.outstanding.Load())
	return float64(busy) / float64(limit)
}

// Loads holds one Load for each instance ID. The zero value is empty and ready to
// use. It is safe for concurrent use.
type Loads struct {
	mu   sync.Mutex
	byID map[string]*Load
}

// Get returns the Load of an instance, which it creates on the first call.
func (s *Loads) Get(id string) *Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	if l, ok := s.byID[id]; ok {
		return l
	}
	if s.byID == nil {
		s.byID = make(map[string]*Load)
	}
	l := &Load{}
	s.byID[id] = l
	return l
}

// Retain removes all instances except those for which keep returns true.
func (s *Loads) Retain(keep func(id string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.byID {
		if !keep(id) {
			delete(s.byID, id)
		}
	}
}
