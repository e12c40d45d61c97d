package batch_test

import (
	"fmt"
	"testing"
	"time"

	"wigeonplank.example/core/batch"
	"wigeonplank.example/core/fleet"
	"wigeonplank.example/core/share"
)

// runItems returns the time from queueing n items for an idle pool to the last result.
func runItems(b *fleet.Batch, endpoints, n int) time.Duration {
	svc := &fleet.Service{Name: simPool.Service, Batch: b}
	es := make([]*fleet.Endpoint, 0, endpoints)
	for i := range endpoints {
		es = append(es, &fleet.Endpoint{ID: fmt.Sprint("e", i), Service: svc.Name, State: fleet.StateReady})
	}
	var (
		sched   batch.Scheduler
		running []*batch.Call
	)
	late := simStart.Add(time.Hour)
	for i := range n {
		sched.Add(simPool, &batch.Item{Request: "r", Index: i, EnqueuedAt: simStart, Due: late, StartBy: late, Deadline: late})
	}
	for now := simStart; ; now = now.Add(waveStep) {
		kept := running[:0]
		for _, c := range running {
			if now.Sub(c.StartedAt) < b.CallOverhead+time.Duration(len(c.Items))*b.ItemTime {
				kept = append(kept, c)
				continue
			}
			sched.Finish(now, c, batch.Outcome{Refs: make([]string, len(c.Items))})
		}
		running = kept
		for c := sched.Next(now, svc, simPool, es); c != nil; c = sched.Next(now, svc, simPool, es) {
			running = append(running, c)
		}
		if len(running) == 0 {
			return now.Sub(simStart)
		}
	}
}

// TestRequestOfManyItems guards against requests of up to 1,024 items that are admitted as
// though all of their items ran in one call, and against other estimates for items that fit
// into one call.
func TestRequestOfManyItems(t *testing.T) {
	const ms = time.Millisecond
	b := &fleet.Batch{Slots: 1, MaxItems: 8, CallOverhead: 150 * ms, ItemTime: 16 * ms}
	twice := *b
	twice.Slots = 2
	for _, c := range []struct {
		b            *fleet.Batch
		endpoints, n int
	}{{b, 1, 1}, {b, 4, 8}, {b, 1, 9}, {b, 4, 9}, {b, 4, 32}, {b, 4, 33}, {b, 1, 1024}, {b, 4, 1024}, {&twice, 3, 100}, {&twice, 12, 1024}} {
		load := batch.Load{Endpoints: c.endpoints}
		got, took := batch.EstimateLatency(c.b, load, c.n), runItems(c.b, c.endpoints, c.n)
		if d := got - took; d < -10*ms || d > 10*ms {
			t.Errorf("%d items at %d endpoints with %d slots: estimated %v, took %v", c.n, c.endpoints, c.b.Slots, got, took)
		}
		load.Items = 40
		perItem := batch.FullCallTime(c.b) / time.Duration(c.b.MaxItems)
		queued := 40 * perItem / time.Duration(c.endpoints*c.b.Slots)
		if behind := batch.EstimateLatency(c.b, load, c.n); behind != got+queued {
			t.Errorf("%d items at %d endpoints behind 40 others: estimated %v, want %v", c.n, c.endpoints, behind, got+queued)
		}
	}
	// A request that takes 9 s in an idle pool doesn't end within 5 s.
	idle := batch.EstimateLatency(b, batch.Load{Endpoints: 4}, 1024)
	own := idle - batch.EstimateLatency(b, batch.Load{}, 1024)
	for _, c := range []struct {
		own, left, excess time.Duration
		reason            share.Reason
	}{
		{own, 5 * time.Second, idle - 5*time.Second, share.ReasonDeadline},
		{own, 10 * time.Second, 0, share.ReasonShortQueue}, // late, but served
		{0, 5 * time.Second, 0, share.ReasonShortQueue},    // a single call
	} {
		a := share.Admission{Estimate: idle, Idle: idle, Own: c.own, Slack: time.Second, Left: c.left}
		if ok, reason := a.Decide(); ok != (c.reason == share.ReasonShortQueue) || reason != c.reason || a.Excess() != c.excess {
			t.Errorf("%v of %v for its own calls, %v left: admitted %v, %s, excess %v", c.own, idle, c.left, ok, reason, a.Excess())
		}
	}
}
