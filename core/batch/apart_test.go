package batch_test

import (
	"fmt"
	"testing"
	"time"

	"wigeonplank.example/core/batch"
	"wigeonplank.example/core/fleet"
)

// TestItemsApart checks how many endpoints a request costs whose items crash them, among
// others in a batch, and that the items of the others run.
func TestItemsApart(t *testing.T) {
	const maxItems, maxCrashes = 8, 4
	svc := &fleet.Service{Name: "encode", Batch: &fleet.Batch{Slots: 1, MaxItems: maxItems}}
	pool := batch.Pool{Service: svc.Name}
	for requests := 1; requests <= maxItems; requests++ {
		for bad := range requests {
			var s batch.Scheduler
			endpoints := make([]*fleet.Endpoint, 0, maxItems)
			for i := range maxItems {
				endpoints = append(endpoints, &fleet.Endpoint{ID: fmt.Sprint("e", i), Service: svc.Name, State: fleet.StateReady})
			}
			now := time.UnixMilli(1_700_000_000_000)
			for i := range maxItems {
				s.Add(pool, &batch.Item{Request: fmt.Sprint(i % requests), Index: i, EnqueuedAt: now, Due: now.Add(time.Second), StartBy: now.Add(time.Minute), Deadline: now.Add(time.Minute)})
			}
			crashes, ran, failed := 0, 0, 0
			for c := s.Next(now, svc, pool, endpoints[crashes:]); c != nil; c = s.Next(now, svc, pool, endpoints[crashes:]) {
				s.Finish(now, c, batch.Outcome{})
				hasBad := false
				for _, it := range c.Items {
					hasBad = hasBad || it.Request == fmt.Sprint(bad)
				}
				switch {
				case !hasBad:
					ran += len(c.Items)
					continue
				case c.IsAlone():
					failed += len(c.Items)
				default:
					s.AddApart(pool, c.Items)
				}
				crashes++
			}
			if crashes > maxCrashes || ran+failed != maxItems {
				t.Errorf("request %d of %d: %d endpoints crashed, want at most %d; %d items ran, %d failed", bad, requests, crashes, maxCrashes, ran, failed)
			}
		}
	}
}

// TestResultAboveMemory guards against an item that waits for its deadline in vain, because
// a configuration has lowered the memory for results below the size of its own.
func TestResultAboveMemory(t *testing.T) {
	var s batch.Scheduler
	now := time.Unix(0, 0)
	svc := &fleet.Service{Name: "s", Batch: &fleet.Batch{Slots: 2, MaxItems: 4, MemoryBytes: 1000, Retention: time.Second}}
	p, e := batch.Pool{Service: "s"}, []*fleet.Endpoint{{ID: "e", Service: "s"}}
	for i := range 2 {
		s.Add(p, &batch.Item{Request: "r", Index: i, ResultBytes: 5000, EnqueuedAt: now, Due: now.Add(time.Minute), StartBy: now.Add(time.Minute), Deadline: now.Add(time.Minute)})
	}
	c := s.Next(now, svc, p, e)
	if c == nil || len(c.Items) != 1 {
		t.Fatalf("first call: %+v, want one item", c)
	}
	if other := s.Next(now, svc, p, e); other != nil {
		t.Errorf("%d items are in a call while another takes all memory", len(other.Items))
	}
	s.Finish(now, c, batch.Outcome{Refs: []string{"a"}})
	s.Released("e", []string{"a"})
	if c = s.Next(now, svc, p, e); c == nil {
		t.Error("no second call after the first result was released")
	}
}
