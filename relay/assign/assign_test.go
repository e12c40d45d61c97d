package assign

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"wigeonplank.example/core/batch"
	"wigeonplank.example/core/clock"
	"wigeonplank.example/core/fleet"
	"wigeonplank.example/core/pick"
	"wigeonplank.example/core/prompt"
)

// services are the timed services that a relay knows. All endpoints are warm.
type services map[string]bool

func (s services) IsTimed(service string) bool { return s[service] }
func (s services) Timed() []string             { return slices.Collect(maps.Keys(s)) }
func (s services) SetTimed(service string)     { s[service] = true }

func (s services) Warm(_ *fleet.Service, list []*fleet.Endpoint, c pick.Criteria) ([]*fleet.Endpoint, bool) {
	return slices.DeleteFunc(slices.Clone(list), func(e *fleet.Endpoint) bool { return !c.Allows(e) }), true
}
func (s services) Admits(*fleet.Endpoint, bool) bool { return true }

// TestSpeedsOfFormerOwner guards against owners that place the requests of a service by
// load although another relay knows that it is timed, or that begin without its speeds.
func TestSpeedsOfFormerOwner(t *testing.T) {
	cfg, err := fleet.NewConfig(1, 1, fleet.Limits{}, fleet.Parts{Services: []*fleet.Service{{Name: "s"}}})
	if err != nil {
		t.Fatal(err)
	}
	var change fleet.Change
	for i := range 3 {
		change.Put = append(change.Put, &fleet.Endpoint{ID: fmt.Sprint(i), Service: "s", Zone: "a", Slots: 8, StartUnixMs: 1, State: fleet.StateReady})
	}
	v := fleet.View{}.WithConfig(cfg).WithChange(change)
	clk := clock.NewFake(time.UnixMilli(1_700_000_000_000))
	newRelay := func() *Assigner {
		s := services{}
		return &Assigner{View: func() *fleet.View { return &v }, Health: s, Timing: s, Clock: clk}
	}
	pool := batch.Pool{Service: "s", Zone: "a"}
	owner, next := newRelay(), newRelay()
	perEngine := []time.Duration{400 * time.Millisecond, 100 * time.Millisecond, 400 * time.Millisecond}
	for i := range 30 {
		r := prompt.Request{ID: fmt.Sprint(i), PromptTokens: 4000}
		exclude := []string{fmt.Sprint((i + 1) % 3), fmt.Sprint((i + 2) % 3)}
		if p := owner.Place(pool, r, exclude); p.Endpoint != fmt.Sprint(i%3) {
			t.Fatalf("placed at %q", p.Endpoint)
		}
		clk.Advance(perEngine[i%3])
		owner.Progress(pool, r.ID, prompt.Report{Pace: 1})
		owner.Progress(pool, r.ID, prompt.Report{Ended: true})
	}
	records, version := owner.Changes(0)
	next.Merge("owner", records)
	if !next.Timing.IsTimed("s") {
		t.Error("the next owner doesn't know that the service is timed")
	}
	for i := range 5 {
		id := fmt.Sprint("long", i)
		if p := next.Place(pool, prompt.Request{ID: id, PromptTokens: 8000}, nil); p.Endpoint != "1" {
			t.Errorf("%s is placed at %q, which is slower than engine 1", id, p.Endpoint)
		}
		next.Progress(pool, id, prompt.Report{Ended: true})
	}
	if again, _ := owner.Changes(version); len(again) > 0 {
		t.Errorf("%d records are sent again", len(again))
	}
}
