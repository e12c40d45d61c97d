package proxy

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"wigeonplank.example/core/clock"
	"wigeonplank.example/core/fleet"
	"wigeonplank.example/core/origin"
	"wigeonplank.example/core/pick"
	"wigeonplank.example/core/retry"
	"wigeonplank.example/relay/ctrl"
	"wigeonplank.example/relay/front"
	"wigeonplank.example/relay/guard"
	"wigeonplank.example/relay/logs"
	"wigeonplank.example/relay/sets"
	"wigeonplank.example/relay/stats"
)

// newPanicking returns a request to a service with the endpoint e.
func newPanicking(t *testing.T, svc *fleet.Service, e *fleet.Endpoint) *request {
	t.Helper()
	cfg, err := fleet.NewConfig(1, 1, fleet.Limits{}, fleet.Parts{Services: []*fleet.Service{svc}})
	if err != nil {
		t.Fatal(err)
	}
	v := fleet.View{}.WithConfig(cfg).WithChange(fleet.Change{Put: []*fleet.Endpoint{e}})
	f := &Forwarder{
		View: func() *fleet.View { return &v }, Balancer: &Balancer{Clock: clock.System{}}, Guard: &guard.Guard{}, Clock: clock.System{},
		Log: logs.New(io.Discard, clock.System{}, "a"), Meters: &stats.Meters{Registry: metrics.NewRegistry()},
		History: func(context.Context) (*origin.History, error) { return nil, ctrl.ErrNoHistory },
		ViewAge: func() time.Duration { return 0 }, NewBudget: func() *retry.Budget { return &retry.Budget{} }, Policy: func() sets.Policy { return sets.Policy{} },
	}
	return &request{
		Forwarder: f, exchange: &front.Exchange{}, route: &fleet.Route{}, service: svc.Name, config: cfg, tried: make(map[string]bool),
		deadline: time.Now().Add(time.Minute),
	}
}

// forwardPanicking forwards a request whose first attempt panics after attempt.
func (req *request) forwardPanicking(attempt func(c pick.Choice)) {
	defer func() { _ = recover() }() // the panic below
	noEvent := int64(-1)
	req.forward(context.Background(), func(c pick.Choice) (attemptEnd, string) {
		attempt(c)
		panic("attempt")
	}, &noEvent)
}

// TestPanicReleasesEndpoint guards against an endpoint that counts as busy for good after the
// code that handles a request at it has panicked.
func TestPanicReleasesEndpoint(t *testing.T) {
	e := &fleet.Endpoint{ID: "i-1", Service: "s", Zone: "z", Slots: 1, State: fleet.StateReady}
	req := newPanicking(t, &fleet.Service{Name: "s"}, e)
	req.forwardPanicking(func(pick.Choice) {
		if req.Balancer.Load(e) == 0 {
			t.Error("the endpoint doesn't count as busy in an attempt")
		}
	})
	if load := req.Balancer.Load(e); load != 0 {
		t.Errorf("load %v is left", load)
	}
}

// TestPanicReleasesSuccessor guards against an endpoint that was acquired to follow a silent one
// and counts as busy for good after a panic between the end of the attempt and the next one.
func TestPanicReleasesSuccessor(t *testing.T) {
	e := &fleet.Endpoint{ID: "i-1", Service: "s", Zone: "z", Slots: 1, State: fleet.StateReady}
	follower := &fleet.Endpoint{ID: "i-2", Service: "s", Zone: "z", Slots: 1, State: fleet.StateReady}
	svc := &fleet.Service{Name: "s"}
	req := newPanicking(t, svc, e)
	req.forwardPanicking(func(c pick.Choice) {
		if !req.Balancer.Begin(svc, follower, false) {
			t.Error("the follower isn't acquired")
		}
		req.silence.successor = &successor{choice: pick.Choice{Endpoint: follower}}
		req.recordEnd(c.Endpoint, pick.ResultFailed, attemptFailed, "silent")
	})
	if load := req.Balancer.Load(follower); load != 0 {
		t.Errorf("load %v is left", load)
	}
}
