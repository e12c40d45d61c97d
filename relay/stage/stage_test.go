package stage

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"wigeonplank.example/core/batch"
	"wigeonplank.example/core/clock"
	"wigeonplank.example/core/fleet"
	"wigeonplank.example/core/pick"
	plat "wigeonplank.example/platform"
	"wigeonplank.example/relay/logs"
	"wigeonplank.example/relay/pool"
	"wigeonplank.example/relay/stats"
)

// testHealth admits all calls and reports their starts.
type testHealth struct {
	Health
	shares bool
	starts chan time.Time
}

func (h *testHealth) IsSuspect(*fleet.Endpoint) bool                  { return false }
func (h *testHealth) IsLeaving(*fleet.Endpoint) bool                  { return false }
func (h *testHealth) Admits(*fleet.Endpoint, bool) bool               { return true }
func (h *testHealth) OpensAt(*fleet.Endpoint, bool) (time.Time, bool) { return time.Time{}, true }
func (h *testHealth) RateLimit(*fleet.Endpoint) (r float64, b bool)   { return }
func (h *testHealth) End(*fleet.Endpoint, pick.Result)                {}
func (h *testHealth) MarkUnreachable(*fleet.Endpoint)                 {}
func (h *testHealth) SharesStage(*fleet.Config, string) bool          { return h.shares }
func (h *testHealth) Begin(*fleet.Service, *fleet.Endpoint, bool) bool {
	h.starts <- time.Now()
	return true
}

// RecordResponse does nothing.
func (h *testHealth) RecordResponse(*fleet.Endpoint, plat.Response, time.Time) {}

// testPeers has a relay that owns all pools and reports the same of each, if owned is
// set.
type testPeers struct {
	Peers
	owned  bool
	report batch.Report
}

func (p *testPeers) Owns(batch.Pool) bool                   { return !p.owned }
func (p *testPeers) Report(batch.Pool) (batch.Report, bool) { return p.report, p.owned }

// newTestRunner returns a runner with two endpoints that accept connections and don't
// answer.
func newTestRunner(t *testing.T, h *testHealth, p *testPeers) (*Runner, *fleet.Route) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	svc := &fleet.Service{Name: "encode", Batch: &fleet.Batch{Slots: 1, MaxItems: 4, CallOverhead: 150 * time.Millisecond, ItemTime: 10 * time.Millisecond}}
	route := &fleet.Route{Name: "r", Host: "h", Prefix: "/", Targets: []fleet.Target{{Service: "s"}}, Stages: []fleet.Stage{{Service: "encode"}}}
	cfg, err := fleet.NewConfig(1, 1, fleet.Limits{}, fleet.Parts{Routes: []*fleet.Route{route}, Services: []*fleet.Service{svc, {Name: "s"}}})
	if err != nil {
		t.Fatal(err)
	}
	v := (&fleet.View{Config: cfg}).WithChange(fleet.Change{Put: []*fleet.Endpoint{
		{ID: "e1", Service: "encode", Addr: ln.Addr().String(), State: fleet.StateReady},
		{ID: "e2", Service: "encode", Addr: ln.Addr().String(), State: fleet.StateReady},
	}})
	return &Runner{
		View: func() *fleet.View { return &v }, Health: h, Peers: p, Pool: &pool.Pool{}, Clock: clock.System{},
		Log: logs.New(io.Discard, clock.System{}, "i"), Meters: &stats.Meters{Registry: metrics.NewRegistry()}, Crashed: func(*fleet.Endpoint) bool { return false },
	}, route
}

// TestHeldCallStarts guards against a call that is held back and starts only at the next
// tick, of which this test has none.
func TestHeldCallStarts(t *testing.T) {
	for _, shares := range []bool{true, false} {
		h := &testHealth{shares: shares, starts: make(chan time.Time, 2)}
		r, _ := newTestRunner(t, h, &testPeers{})
		now := time.Now()
		items := make([]*batch.Item, 5)
		for i := range items {
			items[i] = &batch.Item{Request: "r", Index: i, EnqueuedAt: now, Due: now.Add(time.Minute), StartBy: now.Add(time.Minute), Deadline: now.Add(time.Minute)}
		}
		r.Accept(batch.Pool{Service: "encode"}, items, func(*batch.Item, plat.StageResult, batch.Report) {})
		first := <-h.starts
		select {
		case second := <-h.starts:
			if d := second.Sub(first); (d >= 90*time.Millisecond) != shares {
				t.Errorf("shared: %v: the second call started %v after the first", shares, d)
			}
		case <-time.After(10 * time.Second):
			t.Errorf("shared: %v: the second call did not start", shares)
		}
	}
}

// TestReported guards against teams over their share that admission doesn't learn of, in
// shared pools alone, and against estimates that the mean delay of other routes raises.
func TestReported(t *testing.T) {
	for _, shares := range []bool{true, false} {
		r, route := newTestRunner(t, &testHealth{shares: shares}, &testPeers{owned: true, report: batch.Report{Delay: 2 * time.Second, OverShare: []string{"a"}}})
		if over := r.OverShare(Job{Route: route, Items: []int{1}, Team: "a"}); over != shares {
			t.Errorf("shared: %v: team a is over its share: %v", shares, over)
		}
		if r.OverShare(Job{Route: route, Items: []int{1}, Team: "b"}) || r.OverShare(Job{Route: route, Items: []int{0}, Team: "a"}) {
			t.Error("a team that isn't told, or that doesn't use the pool, is over its share")
		}
		if e := r.Estimate(Job{Route: route, Items: []int{1}}); e.Now != e.Idle || e.Own != 0 {
			t.Errorf("shared: %v: estimate %v without queued items, want %v, and %v for its own", shares, e.Now, e.Idle, e.Own)
		}
	}
}

// outdatedPeers has another relay that owns all pools.
type outdatedPeers struct {
	Peers
	owner *Runner
	back  *Runner // that submits items
}

func (p *outdatedPeers) Owns(batch.Pool) bool                   { return false }
func (p *outdatedPeers) Report(batch.Pool) (batch.Report, bool) { return batch.Report{}, true }
func (p *outdatedPeers) Cancel(string)                          {}

func (p *outdatedPeers) Submit(pool batch.Pool, items []*batch.Item) bool {
	sent := make([]*batch.Item, len(items))
	pending := make(map[*batch.Item]*batch.Item, len(items))
	for i, it := range items {
		c := *it
		sent[i], pending[&c] = &c, it
	}
	p.owner.Accept(pool, sent, func(it *batch.Item, res plat.StageResult, _ batch.Report) { p.back.HandleResult(pending[it], res) })
	return true
}

// TestOwnerBehind guards against requests that fail because the owner of a pool has not yet
// got the configuration that adds a service, or the list with its endpoints.
func TestOwnerBehind(t *testing.T) {
	for name, outdated := range map[string]func(v fleet.View) fleet.View{
		"configuration": func(v fleet.View) fleet.View {
			cfg, err := fleet.NewConfig(0, 0, fleet.Limits{}, fleet.Parts{})
			if err != nil {
				t.Fatal(err)
			}
			return v.WithConfig(cfg)
		},
		"endpoints": func(v fleet.View) fleet.View { return v.WithChange(fleet.Change{Remove: []string{"e1", "e2"}}) },
	} {
		owner, _ := newTestRunner(t, &testHealth{starts: make(chan time.Time, 2)}, &testPeers{})
		v := outdated(*owner.View())
		owner.View = func() *fleet.View { return &v }
		h := &testHealth{starts: make(chan time.Time, 2)}
		r, route := newTestRunner(t, h, nil)
		r.Peers = &outdatedPeers{owner: owner, back: r}
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() {
			later := time.Now().Add(time.Minute)
			_, err := r.Run(ctx, Job{ID: "r", Route: route, Items: []int{1}, Due: later, StartBy: later, Deadline: later})
			ended <- err
		}()
		select {
		case <-h.starts:
		case err := <-ended:
			t.Errorf("%s: %v", name, err)
		case <-time.After(10 * time.Second):
			t.Errorf("%s: no call has started", name)
		}
		cancel()
	}
}

// TestEstimateOfManyItems guards against stages that are estimated as one call each although
// their items need several, one after another.
func TestEstimateOfManyItems(t *testing.T) {
	r, route := newTestRunner(t, &testHealth{}, &testPeers{})
	chain := *route
	chain.Stages = []fleet.Stage{{Service: "encode"}, {Service: "encode", DependsOn: []int{0}}}
	const full, one = 190 * time.Millisecond, 160 * time.Millisecond // of calls with four items and with one
	for _, c := range []struct {
		items    []int
		calls    time.Duration // one for each stage
		idle     time.Duration // without callOverhead
		own      time.Duration
		dueAhead time.Duration // of the first stage's items before the job, without callOverhead
	}{
		{[]int{1, 0}, 1, one, 0, 0},
		{[]int{8, 0}, 1, full, 0, 0}, // both endpoints
		{[]int{9, 0}, 1, full + one, one, 0},
		{[]int{1024, 0}, 1, 128 * full, 127 * full, 0},
		{[]int{16, 17}, 2, 4*full + one, 2*full + one, 2*full + one},
	} {
		idle := c.idle + c.calls*callOverhead
		job := Job{Route: &chain, Items: c.items, Due: time.Now().Add(time.Minute)}
		if got, want := r.Estimate(job), (Estimate{Now: idle, Idle: idle, Own: c.own}); got != want {
			t.Errorf("%v items: estimated %v, want %v", c.items, got, want)
		}
		v := r.View()
		r.mu.Lock()
		first := newJobRun(job).newItems(v.Config, 0, time.Now(), zoneFinder(v), func(svc *fleet.Service, n int) time.Duration { return r.idleLatency(v, svc, n) })[0]
		r.mu.Unlock()
		if got, want := job.Due.Sub(first.Due), c.dueAhead+(c.calls-1)*callOverhead; got != want {
			t.Errorf("%v items: those of the first stage are due %v before the job, want %v", c.items, got, want)
		}
	}
}
