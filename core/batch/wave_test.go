package batch_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"wigeonplank.example/core/batch"
	"wigeonplank.example/core/fleet"
	"wigeonplank.example/core/share"
)

const (
	waveStep   = time.Millisecond
	imageBytes = 3_000_000 // of a large result
)

// waveKind is a kind of request that uses the pool of a wave.
type waveKind struct {
	name      string
	rate      float64 // requests per second
	objective time.Duration
	after     time.Duration // from the end of the stage to the response, as it is
	expected  time.Duration // the same, as the due time has it
	large     bool          // the result is an image
}

// wave plays requests of several kinds at a pool of four endpoints that have memory for
// 14 images each. A result is released some time after its request has it.
type wave struct {
	kinds    []waveKind
	held     time.Duration // by which a result outlives its call
	foreign  int           // images of processes that have ended, at each endpoint, at the start
	duration time.Duration

	asked, inTime map[string]int
}

// play runs the wave.
func (w *wave) play() {
	b := &fleet.Batch{
		Slots: 1, MaxItems: 8, CallOverhead: 150 * time.Millisecond, ItemTime: 16 * time.Millisecond,
		MemoryBytes: 14 * imageBytes, Retention: 4 * time.Second,
	}
	svc := &fleet.Service{Name: "encode", Batch: b}
	endpoints := make([]*fleet.Endpoint, 0, 4)
	for i := range 4 {
		endpoints = append(endpoints, &fleet.Endpoint{ID: fmt.Sprint("e", i), Service: svc.Name, State: fleet.StateReady})
	}
	type release struct {
		endpoint, ref string
		at            time.Time
	}
	var (
		sched    batch.Scheduler
		running  []*batch.Call
		releases []release
		stored   = make(map[string]int) // images of this process, by endpoint
		rng      = rand.New(rand.NewPCG(5, 6))
		refs     int
	)
	w.asked, w.inTime = make(map[string]int), make(map[string]int)
	for now := simStart; now.Before(simStart.Add(w.duration)); now = now.Add(waveStep) {
		foreign := w.foreign
		if now.Sub(simStart) >= b.Retention {
			foreign = 0
		}
		kept := running[:0]
		for _, c := range running {
			if now.Sub(c.StartedAt) < b.CallOverhead+time.Duration(len(c.Items))*b.ItemTime {
				kept = append(kept, c)
				continue
			}
			var o batch.Outcome
			for _, it := range c.Items {
				k := it.Data.(waveKind)
				if k.large && (stored[c.Endpoint.ID]+foreign)*imageBytes >= int(b.MemoryBytes) {
					o.Refs, o.OutOfMemory = append(o.Refs, ""), true
					continue
				}
				refs++
				ref := fmt.Sprint(refs)
				o.Refs = append(o.Refs, ref)
				if k.large {
					stored[c.Endpoint.ID]++
					releases = append(releases, release{c.Endpoint.ID, ref, now.Add(w.held)})
				}
				if !now.Add(k.after).After(it.EnqueuedAt.Add(k.objective)) {
					w.inTime[k.name]++
				}
			}
			sched.Finish(now, c, o)
		}
		running = kept
		for len(releases) > 0 && !releases[0].at.After(now) {
			sched.Released(releases[0].endpoint, []string{releases[0].ref})
			stored[releases[0].endpoint]--
			releases = releases[1:]
		}
		for _, k := range w.kinds {
			if rng.Float64() >= k.rate*waveStep.Seconds() {
				continue
			}
			w.asked[k.name]++
			it := &batch.Item{
				Request: fmt.Sprint(k.name, w.asked[k.name]), EnqueuedAt: now, Due: now.Add(k.objective - k.expected),
				StartBy: now.Add(k.objective), Deadline: now.Add(4 * k.objective), Data: k,
			}
			if k.large {
				it.ResultBytes = imageBytes
			}
			sched.Add(batch.Pool{Service: svc.Name}, it)
		}
		sched.RemoveExpired(now)
		for c := sched.Next(now, svc, batch.Pool{Service: svc.Name}, endpoints); c != nil; c = sched.Next(now, svc, batch.Pool{Service: svc.Name}, endpoints) {
			running = append(running, c)
		}
	}
}

// part returns the part of the requests of a kind that were in time.
func (w *wave) part(kind string) float64 { return float64(w.inTime[kind]) / float64(w.asked[kind]) }

// TestLargePromptsCountAsLate guards requests with a large prompt against items that count
// as late from the start, because the time that the engine needs for the prompt is taken
// for longer than it is. All others pass them until they expire.
func TestLargePromptsCountAsLate(t *testing.T) {
	const guess = 900 * time.Millisecond // by the tokens of the prompt
	var h share.History
	for i := range 40 {
		h.RecordTail(simStart, time.Duration(100+10*i)*time.Millisecond)
	}
	w := wave{duration: 20 * time.Second, held: 60 * time.Millisecond, kinds: []waveKind{
		{name: "large", rate: 6, objective: time.Second, after: 500 * time.Millisecond, expected: h.Tail(simStart, share.TailForDue, time.Second, guess)},
		{name: "medium", rate: 20, objective: time.Second, after: 250 * time.Millisecond, expected: h.Tail(simStart, share.TailForDue, time.Second, guess)},
		{name: "long chain", rate: 84, objective: 1500 * time.Millisecond, after: 550 * time.Millisecond, expected: 550 * time.Millisecond},
	}}
	w.play()
	if w.part("large") < 0.9 {
		t.Errorf("%.3f of the requests with a large prompt are in time, %.3f of the others, and %.3f with a long chain",
			w.part("large"), w.part("medium"), w.part("long chain"))
	}
}

// TestMemoryAfterOwnersLost guards against calls that stay small long after the results of
// processes that were killed have expired.
func TestMemoryAfterOwnersLost(t *testing.T) {
	w := wave{duration: 10 * time.Second, held: 300 * time.Millisecond, foreign: 12, kinds: []waveKind{
		{name: "image", rate: 60, objective: time.Second, large: true},
	}}
	w.play()
	// Nothing fits for the four seconds in which the foreign results are kept.
	if w.part("image") < 0.55 {
		t.Errorf("%.3f of the requests are in time, want nearly all after four of ten seconds", w.part("image"))
	}
}

// TestLateItemsDelayNoOthers guards against requests that are rejected because of queued
// items that they would pass.
func TestLateItemsDelayNoOthers(t *testing.T) {
	var s batch.Scheduler
	add := func(n int, due time.Duration, freesMemory bool) {
		for range n {
			s.Add(simPool, &batch.Item{Due: simStart.Add(due), StartBy: simStart.Add(time.Second), Deadline: simStart.Add(time.Minute), FreesMemory: freesMemory})
		}
	}
	add(5, 100*time.Millisecond, false)
	add(3, 100*time.Millisecond, true) // these go first
	add(7, 800*time.Millisecond, false)
	for _, c := range []struct {
		at   time.Duration
		want int
	}{{0, 15}, {200 * time.Millisecond, 10}, {900 * time.Millisecond, 3}} {
		if got := s.Report(simStart.Add(c.at), simPool).Items; got != c.want {
			t.Errorf("after %v: %d items delay others, want %d", c.at, got, c.want)
		}
	}
}

// TestResultsHeldWhileEnginesRead guards against stages that run small calls, as the memory
// for their results is full of inputs that engines have fetched long ago.
func TestResultsHeldWhileEnginesRead(t *testing.T) {
	var h batch.Hold
	w := wave{duration: 20 * time.Second, held: h.Time(), kinds: []waveKind{
		{name: "image", rate: 90, objective: time.Second, after: 300 * time.Millisecond, expected: 300 * time.Millisecond, large: true},
	}}
	w.play()
	if w.part("image") < 0.95 {
		t.Errorf("%.3f of the requests are in time", w.part("image"))
	}
}

// TestHold checks that inputs are kept for longer soon after endpoints didn't find them, and
// for less time only slowly.
func TestHold(t *testing.T) {
	var h batch.Hold
	first := h.Time()
	for range 3 {
		h.RecordMissing()
	}
	if got := h.Time(); got < 8*first {
		t.Errorf("kept for %v after three requests without inputs, %v before", got, first)
	}
	for range 20 {
		h.RecordFound()
	}
	if got := h.Time(); got < 4*first {
		t.Errorf("kept for %v after 20 requests with inputs, %v before", got, first)
	}
	for range 1000 {
		h.RecordFound()
	}
	if got := h.Time(); got != first {
		t.Errorf("kept for %v after 1000 requests with inputs, want %v", got, first)
	}
	for range 100 {
		h.RecordMissing()
	}
	if got := h.Time(); got > 4*time.Second {
		t.Errorf("kept for %v", got)
	}
}

// TestZonePoolsAreLargeEnough guards chains of stages against waiting at each pool for one
// of few endpoints, while others in the next zone become free.
func TestZonePoolsAreLargeEnough(t *testing.T) {
	const zones = 4
	perZone := 1
	for !batch.HasZonePools(perZone*zones, zones) {
		perZone++
	}
	wait := func(endpoints int) time.Duration {
		s := newSim(endpoints, false)
		s.group = 6 // items of one request
		s.run(60*time.Second, map[string]float64{"": 0.8})
		return s.waited / time.Duration(s.done)
	}
	zone, all := wait(perZone), wait(perZone*zones)
	// A chain of three stages shall lose at most a tenth of an objective of 1.5 s.
	if lost := zone - all; lost > 50*time.Millisecond {
		t.Errorf("with %d endpoints, items wait %v in the pool of a zone and %v in that of all zones", perZone, zone, all)
	}
}
