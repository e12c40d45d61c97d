package batch_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"wigeonplank.example/core/batch"
	"wigeonplank.example/core/fleet"
)

var (
	simService = &fleet.Service{Name: "encode", Batch: &fleet.Batch{Slots: 1, MaxItems: 8, CallOverhead: 150 * time.Millisecond, ItemTime: 10 * time.Millisecond}}
	simPool    = batch.Pool{Service: simService.Name}
	simStart   = time.UnixMilli(1_700_000_000_000)
)

// sim plays the load of one pool in steps of a millisecond.
type sim struct {
	sched     batch.Scheduler
	share     bool
	endpoints []*fleet.Endpoint
	now       time.Time
	rand      *rand.Rand
	running   []*batch.Call
	items     int // queued so far
	calls     int
	small     int           // calls with a quarter of the items or fewer
	done      int           // items with results
	waited    time.Duration // of all items with results, from being queued
}

func newSim(endpoints int, share bool) *sim {
	s := &sim{
		share: share, now: simStart, rand: rand.New(rand.NewPCG(1, 2)),
	}
	for i := range endpoints {
		s.endpoints = append(s.endpoints, &fleet.Endpoint{ID: fmt.Sprint("e", i), Service: simService.Name, State: fleet.StateReady})
	}
	return s
}

// room returns the items per second that the endpoints run in full calls.
func (s *sim) room() float64 {
	return float64(len(s.endpoints)*simService.Batch.MaxItems) / batch.FullCallTime(simService.Batch).Seconds()
}

func (s *sim) add(n int, due time.Duration) {
	for range n {
		s.items++
		s.sched.Add(simPool, &batch.Item{
			Request: fmt.Sprint(s.items), EnqueuedAt: s.now, Due: s.now.Add(due), StartBy: s.now.Add(due), Deadline: s.now.Add(due),
		})
	}
}

// run plays a time, with items per second that arrive at random.
func (s *sim) run(d time.Duration, rate float64) {
	for end := s.now.Add(d); s.now.Before(end); s.now = s.now.Add(time.Millisecond) {
		s.running = slices.DeleteFunc(s.running, func(c *batch.Call) bool {
			took := simService.Batch.CallOverhead + time.Duration(len(c.Items))*simService.Batch.ItemTime
			if s.now.Sub(c.StartedAt) < took {
				return false
			}
			for _, it := range c.Items {
				s.done++
				s.waited += s.now.Sub(it.EnqueuedAt)
			}
			s.sched.Finish(s.now, c, batch.Outcome{Refs: make([]string, len(c.Items))})
			return true
		})
		if s.rand.Float64() < rate/1000 {
			s.add(1, 2*time.Second)
		}
		s.sched.RemoveExpired(s.now)
		s.sched.Share(simPool, s.share)
		for c := s.sched.Next(s.now, simService, simPool, s.endpoints); c != nil; c = s.sched.Next(s.now, simService, simPool, s.endpoints) {
			s.calls++
			if len(c.Items) <= simService.Batch.MaxItems/4 {
				s.small++
			}
			s.running = append(s.running, c)
		}
	}
}

// TestCallsEndTogether guards against calls that stay bunched: all endpoints of a
// pool become free at once, the first takes all queued items, and the others run
// almost empty calls.
func TestCallsEndTogether(t *testing.T) {
	played := func(share bool) *sim {
		s := newSim(8, share)
		s.add(8*len(s.endpoints), 2*time.Second)
		s.run(20*time.Second, 0.9*s.room())
		return s
	}
	spaced, bunched := played(true), played(false)
	wait := func(s *sim) time.Duration { return s.waited / time.Duration(s.done) }
	if spaced.small*4 > bunched.small || wait(spaced) > wait(bunched)*9/10 {
		t.Errorf("%d small calls and a wait of %v, want at most a quarter of %d and 90%% of %v", spaced.small, wait(spaced), bunched.small, wait(bunched))
	}
}

// TestHeldCall guards against a call that is held back although an item would miss
// its due time, or that nobody starts afterwards.
func TestHeldCall(t *testing.T) {
	s := newSim(4, true)
	s.add(8*3, time.Second)
	s.run(time.Millisecond, 0)
	s.add(1, time.Second)
	s.run(time.Millisecond, 0)
	if want := simStart.Add(batch.FullCallTime(simService.Batch) / 4); s.calls != 3 || !s.sched.NextStart().Equal(want) {
		t.Errorf("%d calls, next start %v, want 3 and %v", s.calls, s.sched.NextStart(), want)
	}
	s.add(1, 180*time.Millisecond)
	s.run(time.Millisecond, 0)
	if s.calls != 4 || !s.sched.NextStart().IsZero() {
		t.Errorf("%d calls, next start %v, want 4 and none", s.calls, s.sched.NextStart())
	}
}
