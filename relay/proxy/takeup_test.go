package proxy

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"wigeonplank.example/core/clock"
	"wigeonplank.example/core/fleet"
	"wigeonplank.example/core/origin"
	plat "wigeonplank.example/platform"
	"wigeonplank.example/relay/ctrl"
	"wigeonplank.example/relay/front"
	"wigeonplank.example/relay/life"
)

// foundOrigins finds the same for each stream, and counts the searches.
type foundOrigins struct {
	finding  origin.Finding
	searches int
}

func (*foundOrigins) RecordOrigin(string, origin.Origin) {}

func (o *foundOrigins) FindOrigin(context.Context, string, time.Duration) origin.Finding {
	o.searches++
	return o.finding
}

// TestTakeUpNeedsARecord guards against streams that go on at any version, as nobody has a
// record of where they began, although a single version is listed, and against callers that
// wait or come back for a stream that can't go on.
func TestTakeUpNeedsARecord(t *testing.T) {
	began := origin.Origin{Service: "s", Version: "v1"}
	for name, c := range map[string]struct {
		finding  origin.Finding
		resumes  string
		goesOn   bool
		comeBack bool
		searches int
	}{
		"own":            {origin.Finding{Result: origin.Own, Origin: began}, "a", true, false, 1},
		"found":          {origin.Finding{Result: origin.Found, Origin: began}, "a", true, false, 1},
		"unknown":        {origin.Finding{Result: origin.Unknown}, "a", false, false, 1},
		"unrecorded":     {origin.Finding{Result: origin.Unrecorded}, "a", false, false, 1},
		"forgotten":      {origin.Finding{Result: origin.Forgotten}, "a", false, false, 1},
		"unanswered":     {origin.Finding{Result: origin.Unanswered}, "a", false, true, 1},
		"not named":      {origin.Finding{Result: origin.Found, Origin: began}, "", false, false, 0},
		"of another one": {origin.Finding{Result: origin.Found, Origin: origin.Origin{Service: "s", Version: "v2"}}, "a", false, true, 1},
	} {
		t.Run(name, func(t *testing.T) {
			req := newPanicking(t, &fleet.Service{Name: "s"}, &fleet.Endpoint{ID: "e", Service: "s", Version: "v1", Slots: 1, State: fleet.StateReady})
			req.Balancer.Observe(req.View())
			req.route = &fleet.Route{Kind: fleet.KindStream, Resumable: true, Targets: []fleet.Target{{Service: "s"}}}
			origins := &foundOrigins{finding: c.finding}
			req.Origins, req.Refresh = origins, func(context.Context, time.Duration) bool { return true }
			req.Incarnations = &life.Ledger{Clock: clock.System{}}
			req.headers = plat.Request{ID: "b", Resumes: c.resumes, LastEventID: 3}
			exchangeWith(t, req, func(x *front.Exchange) {
				req.exchange = x
				goesOn := req.bindToOrigin(x.Context)
				if goesOn != c.goesOn || goesOn && (req.version == nil || *req.version != "v1") || origins.searches != c.searches {
					t.Errorf("goes on: %v at %v after %d searches, want %v after %d", goesOn, req.version, origins.searches, c.goesOn, c.searches)
				}
				if goesOn {
					x.Reject(fasthttp.StatusOK, 0)
				} else if x.Status() != fasthttp.StatusServiceUnavailable || req.retryAfter > 0 != c.comeBack {
					t.Errorf("status %d, retry after %v, to come back: %v", x.Status(), req.retryAfter, c.comeBack)
				}
			})
		})
	}
}

// TestTakeUpAfterLossOfEverything guards against streams that are refused although their service has only ever
// had one version, and against streams that go on where that isn't certain.
func TestTakeUpAfterLossOfEverything(t *testing.T) {
	listed := &fleet.Endpoint{ID: "e", Service: "s", Version: "v1", Slots: 1, State: fleet.StateReady, StartUnixMs: 2}
	former, other := *listed, *listed
	former.StartUnixMs, other.Version, other.StartUnixMs = 1, "v0", 1
	for name, c := range map[string]struct {
		result   origin.Result
		history  []*fleet.Endpoint
		err      error
		goesOn   bool
		comeBack bool
	}{
		"one version":                {origin.Forgotten, []*fleet.Endpoint{&former, listed}, nil, true, false},
		"somebody would know":        {origin.Unrecorded, []*fleet.Endpoint{&former, listed}, nil, false, false},
		"two versions":               {origin.Forgotten, []*fleet.Endpoint{&other, listed}, nil, false, false},
		"the listed one isn't in it": {origin.Forgotten, []*fleet.Endpoint{&former}, nil, false, false},
		"discarded":                  {origin.Forgotten, nil, ctrl.ErrNoHistory, false, false},
		"the store is away":          {origin.Forgotten, nil, context.DeadlineExceeded, false, true},
	} {
		t.Run(name, func(t *testing.T) {
			req := newPanicking(t, &fleet.Service{Name: "s"}, listed)
			req.Balancer.Observe(req.View())
			req.route = &fleet.Route{Kind: fleet.KindStream, Resumable: true, Targets: []fleet.Target{{Service: "s"}}}
			req.Origins = &foundOrigins{finding: origin.Finding{Result: c.result}}
			req.History = func(context.Context) (*origin.History, error) { return &origin.History{Endpoints: c.history}, c.err }
			req.Incarnations = &life.Ledger{Clock: clock.System{}}
			req.headers = plat.Request{ID: "b", Resumes: "a", LastEventID: 3}
			exchangeWith(t, req, func(x *front.Exchange) {
				req.exchange = x
				goesOn := req.bindToOrigin(x.Context)
				if goesOn != c.goesOn || goesOn && *req.version != "v1" || req.retryAfter > 0 != c.comeBack {
					t.Errorf("goes on: %v at %v, retry after %v; want %v, to come back: %v", goesOn, req.version, req.retryAfter, c.goesOn, c.comeBack)
				}
				if goesOn {
					x.Reject(fasthttp.StatusOK, 0)
				}
			})
		})
	}
}

// TestBeginsAtListedIncarnation guards against a stream that goes on at another version after a loss of
// everything: it began at an incarnation that the store has never listed.
func TestBeginsAtListedIncarnation(t *testing.T) {
	for name, c := range map[string]struct {
		told   int64
		others []*fleet.Endpoint // in the history
		err    error
		begins bool
	}{
		"listed":                   {1, nil, nil, true},
		"not listed":               {2, nil, nil, false},
		"not told":                 {0, nil, nil, false},
		"there were two versions":  {2, []*fleet.Endpoint{{ID: "f", Service: "s", Version: "v0", StartUnixMs: 1}}, nil, true},
		"nobody could conclude it": {2, nil, ctrl.ErrNoHistory, true},
		"the store is away":        {2, nil, context.DeadlineExceeded, false},
	} {
		t.Run(name, func(t *testing.T) {
			req, _, e, kept := newStream(t, 1, c.told)
			req.Pool.Put(kept, 0)
			req.History = func(context.Context) (*origin.History, error) {
				return &origin.History{Endpoints: append(c.others, e)}, c.err
			}
			if _, err := req.connect(t.Context(), e); (err == nil) != c.begins || err != nil && !errors.Is(err, errDoubted) {
				t.Errorf("error %v; begins: %v", err, c.begins)
			}
		})
	}
}

// TestStreamOfRouteThatWasResumable guards against a stream that holds events of two software
// versions: the caller takes it up where the route can't be resumed any more, or not yet by an
// older configuration, and it goes on at any version.
func TestStreamOfRouteThatWasResumable(t *testing.T) {
	req := newPanicking(t, &fleet.Service{Name: "s"}, &fleet.Endpoint{ID: "e", Service: "s", Version: "v1", Slots: 1, State: fleet.StateReady})
	req.route = &fleet.Route{Kind: fleet.KindStream, Targets: []fleet.Target{{Service: "s"}}}
	req.Origins = &foundOrigins{finding: origin.Finding{Result: origin.Unrecorded}}
	req.headers = plat.Request{ID: "b", Resumes: "a", LastEventID: 3}
	exchangeWith(t, req, func(x *front.Exchange) {
		req.exchange = x
		if !req.takesUpStream() || req.bindToOrigin(x.Context) {
			t.Error("a stream of unknown version goes on")
			x.Reject(fasthttp.StatusOK, 0)
		}
	})
}

// TestNewStreamsBeginAtTheChosenVersion guards against streams that begin at another version than
// relays of the former release compute for them.
func TestNewStreamsBeginAtTheChosenVersion(t *testing.T) {
	req := newPanicking(t, &fleet.Service{Name: "s"}, &fleet.Endpoint{ID: "e", Service: "s", Version: "v1", Slots: 1, State: fleet.StateReady})
	v := req.View().WithChange(fleet.Change{Put: []*fleet.Endpoint{{ID: "f", Service: "s", Version: "v2", Slots: 1, State: fleet.StateReady}}})
	req.Balancer.Observe(&v)
	req.route = &fleet.Route{Kind: fleet.KindStream, Resumable: true}
	began := make(map[string]bool)
	for i := range 20 {
		req.headers.ID = fmt.Sprint("stream-", i)
		want := req.Balancer.ChooseVersion("s", req.headers.ID)
		if c := req.criteria(); c.Version == nil || *c.Version != *want {
			t.Fatalf("stream %d begins at %v, want %s", i, c.Version, *want)
		}
		began[*want] = true
	}
	if len(began) != 2 {
		t.Errorf("streams begin at %v, want two versions", began)
	}
}
