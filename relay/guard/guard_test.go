package guard_test

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"wigeonplank.example/core/clock"
	"wigeonplank.example/core/fleet"
	"wigeonplank.example/core/poison"
	"wigeonplank.example/relay/guard"
	"wigeonplank.example/relay/logs"
	"wigeonplank.example/relay/pool"
	"wigeonplank.example/relay/stats"
)

// newGuard returns a guard whose view lists the endpoints.
func newGuard(endpoints ...*fleet.Endpoint) *guard.Guard {
	view := fleet.View{}.WithChange(fleet.Change{Put: endpoints})
	return &guard.Guard{
		View: func() *fleet.View { return &view }, Rank: func(string) int { return 0 }, Announce: func() {}, OnCrash: func(*fleet.Endpoint) {}, Clock: clock.System{},
		Log: logs.New(io.Discard, clock.System{}, "a"), Meters: &stats.Meters{Registry: metrics.NewRegistry()}, Pool: &pool.Pool{},
	}
}

// listen returns an address on loopback at which connections are accepted until the test
// ends.
func listen(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	return ln.Addr().String()
}

// refusing returns an address on loopback that refuses connections.
func refusing(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

func suspects(id uint64) []poison.Suspect {
	return []poison.Suspect{{Subject: poison.Subject{Kind: poison.KindRequest, ID: id}, Depth: poison.RequestDepth}}
}

// TestBrokenConnection checks which broken connections count as a crash of the endpoint.
func TestBrokenConnection(t *testing.T) {
	ready := func(addr string) *fleet.Endpoint {
		return &fleet.Endpoint{ID: "e", Service: "s", Addr: addr, State: fleet.StateReady, StartUnixMs: 1}
	}
	for name, c := range map[string]struct {
		sentTo, listed *fleet.Endpoint
		want           int64
	}{
		"refuses":         {ready(refusing(t)), ready("unused"), 1},
		"accepts":         {ready(listen(t)), ready("unused"), 0},
		"no longer there": {ready(refusing(t)), nil, 0},
		"draining":        {ready(refusing(t)), &fleet.Endpoint{ID: "e", State: fleet.StateDraining, StartUnixMs: 1}, 0},
		"restarted":       {ready(refusing(t)), &fleet.Endpoint{ID: "e", State: fleet.StateReady, StartUnixMs: 2}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			var listed []*fleet.Endpoint
			if c.listed != nil {
				listed = append(listed, c.listed)
			}
			g := newGuard(listed...)
			<-g.Broken(guard.Run{Endpoint: c.sentTo, Suspects: suspects(7), BeganAt: time.Now()})
			if n := g.NumSuspects(); n != c.want {
				t.Errorf("%d suspects, want %d", n, c.want)
			}
		})
	}
}

// TestQuarantineIsShared checks that a relay which learns of crashes from another one
// rejects the request, and that a good end at one frees it at both.
func TestQuarantineIsShared(t *testing.T) {
	a, b := newGuard(), newGuard()
	share := func(from, to *guard.Guard) {
		records, _ := from.Changes(0)
		to.Merge("from", records)
	}
	for i := range 3 {
		e := &fleet.Endpoint{ID: string('x' + rune(i)), Service: "s", Addr: refusing(t), State: fleet.StateReady}
		view := fleet.View{}.WithChange(fleet.Change{Put: []*fleet.Endpoint{e}})
		a.View = func() *fleet.View { return &view }
		<-a.Broken(guard.Run{Endpoint: e, Suspects: suspects(7), BeganAt: time.Now()})
	}
	share(a, b)
	for name, g := range map[string]*guard.Guard{"a": a, "b": b} {
		if d := g.Admit(suspects(7)); !d.Rejected || d.RetryAfter <= 0 || d.Reason == "" {
			t.Errorf("%s: decided %+v", name, d)
		}
		if d := g.Admit(suspects(8)); d.Rejected {
			t.Errorf("%s: rejected another request: %+v", name, d)
		}
	}
	b.Completed(suspects(7)) // it was sent before the verdict
	share(b, a)
	if d := a.Admit(suspects(7)); d.Rejected {
		t.Errorf("rejected after a good end: %+v", d)
	}
	a.Merge("from", [][]byte{{0xff}}) // logged, and harmless
}

// crashAtOnce ends endpoints at the same time, each of them under the runs with the given subjects.
func crashAtOnce(t *testing.T, g *guard.Guard, endpoints int, runs func(endpoint int) [][]poison.Suspect) {
	t.Helper()
	list := make([]*fleet.Endpoint, endpoints)
	for i := range list {
		list[i] = &fleet.Endpoint{ID: fmt.Sprint("e", i), Service: "s", Addr: refusing(t), State: fleet.StateReady, StartUnixMs: 1}
	}
	view := fleet.View{}.WithChange(fleet.Change{Put: list})
	g.View = func() *fleet.View { return &view }
	var done []<-chan struct{}
	beganAt := time.Now()
	for i, e := range list {
		for _, s := range runs(i) {
			done = append(done, g.Broken(guard.Run{Endpoint: e, Suspects: s, BeganAt: beganAt}))
		}
	}
	for _, d := range done {
		<-d
	}
}

// TestCrashesAtOnce guards against a request that is never learnt as those like it come together and crash
// many endpoints at once, and against blaming what ran at endpoints that have lost power.
func TestCrashesAtOnce(t *testing.T) {
	const bad = 7
	g := newGuard()
	crashAtOnce(t, g, 6, func(i int) [][]poison.Suspect { return [][]poison.Suspect{suspects(bad), suspects(uint64(100 + i))} })
	if n := g.NumSuspects(); n != 1 {
		t.Errorf("%d suspects of many crashes, want 1", n)
	}
	if d := g.Admit(suspects(bad)); !d.Trial {
		t.Errorf("the first request on probation: %+v", d)
	}
	if d := g.Admit(suspects(bad)); !d.Rejected || d.RetryAfter <= 0 {
		t.Errorf("the second request on probation: %+v", d)
	}
	if !g.Suspected(suspects(bad)) || g.NumQuarantined() != 0 {
		t.Error("it may be sent again, or is quarantined already")
	}
	g.Completed(suspects(bad))
	if d := g.Admit(suspects(bad)); d.Rejected {
		t.Errorf("rejected after a good end: %+v", d)
	}

	lost := newGuard() // power
	crashAtOnce(t, lost, 8, func(i int) [][]poison.Suspect {
		return [][]poison.Suspect{suspects(uint64(i / 2)), suspects(uint64(100 + i))}
	})
	if n := lost.NumSuspects(); n != 0 {
		t.Errorf("%d suspects after a loss of power", n)
	}
}

// BenchmarkAdmit measures the check of a request while another one is quarantined.
func BenchmarkAdmit(b *testing.B) {
	g := newGuard()
	var table poison.Table
	now := time.Now()
	for i := range 3 {
		at := now.Add(time.Duration(i-3) * time.Second)
		table.RecordCrash(at, poison.Evidence{Suspects: suspects(7), Crash: poison.Crash{Endpoint: string('x' + rune(i)), BeganAt: at, At: at}})
	}
	records, _, err := table.Changes(now, 0)
	if err != nil {
		b.Fatal(err)
	}
	g.Merge("from", records)
	if g.NumQuarantined() != 1 {
		b.Fatal("nothing is quarantined")
	}
	list := append(suspects(8), suspects(9)[0], suspects(10)[0], suspects(11)[0])
	b.ReportAllocs()
	for b.Loop() {
		if g.Admit(list).Rejected {
			b.Fatal("rejected")
		}
	}
}
