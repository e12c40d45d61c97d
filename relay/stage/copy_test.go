package stage

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"wigeonplank.example/core/batch"
	"wigeonplank.example/core/fleet"
	"wigeonplank.example/fakes/site"
	plat "wigeonplank.example/platform"
)

// TestLateCopies guards against the response to a stage call that is taken for that of
// another one, since its endpoint has sent a response on the connection twice, and
// against connections that are dialed without need. Each letter of a script is a call:
// (r)un, (f)ree results, run without (g)one inputs, run at a (b)usy endpoint. A second
// copy of the response to a capital letter comes before the next one on its connection.
// The number of connections isn't checked if it depends on when a response arrives (0).
func TestLateCopies(t *testing.T) {
	for script, dials := range map[string]int64{
		"rrrr":     1,
		"ffff":     1,
		"rfrfrf":   1,
		"grgr":     3, // a response without results ends its connection
		"brbr":     3, // a rejection as well
		"Frrr":     2,
		"rfFrrfrr": 2,
		"Rrrr":     2, // so does a copy that was recognized
		"rRRfrrr":  2,
		"RfFfrrFr": 0,
		"frFFRrfr": 0,
		"Grrr":     2,
		"Brrr":     2,
	} {
		t.Run(script, func(t *testing.T) { runLateCopies(t, script, dials) })
	}
}

// startEndpoint starts an endpoint of the stage.
func startEndpoint(t *testing.T) (*site.Endpoint, *fleet.Endpoint) {
	t.Helper()
	s, err := site.New()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := s.Close(); err != nil {
			t.Error(err)
		}
	})
	e, err := s.StartEndpoint(site.Spec{ID: "e1", Service: "encode", Kind: site.KindStage, MaxItems: 4, WorkTime: 5 * time.Millisecond})
	if err != nil {
		t.Fatal(err)
	}
	return e, &fleet.Endpoint{ID: e.ID, Addr: e.Addr, Service: "encode"}
}

func runLateCopies(t *testing.T, script string, dials int64) {
	e, to := startEndpoint(t)
	r, _ := newTestRunner(t, &testHealth{}, &testPeers{})
	for i, call := range script {
		kind := strings.ToLower(string(call))
		if string(call) != kind {
			e.InjectFault(site.FaultLateCopy, 1)
		}
		if kind == "f" {
			r.mu.Lock()
			r.pendingReleases = map[string][]string{e.ID: {"unknown"}}
			r.mu.Unlock()
			r.sendRelease(to)
			continue
		}
		it := &batch.Item{Request: fmt.Sprintf("q%d", i), Deadline: time.Now().Add(time.Minute)}
		if kind == "g" {
			it.Chain, it.Inputs = true, []string{e.Addr + "/" + it.Request + "-unknown"}
		}
		if kind == "b" {
			e.CloseFor("0", 1)
		}
		results, _, _, err := r.sendCall(&batch.Call{Service: r.View().Config.Service("encode"), Endpoint: to, Items: []*batch.Item{it}})
		switch {
		case kind == "b" && err == nil:
			t.Errorf("call %d of %s was answered, want a rejection", i, script)
		case kind == "b":
		case err != nil:
			t.Errorf("call %d of %s: %v", i, script, err)
		case kind == "g" && results[0].Reason != "gone", kind == "r" && !strings.HasPrefix(results[0].Ref, e.Addr+"/"+it.Request+"-"):
			t.Errorf("call %d of %s got %+v", i, script, results[0])
		}
	}
	if n := r.Pool.Dials(); n != dials && dials > 0 {
		t.Errorf("%d connections for %s, want %d", n, script, dials)
	}
}

// TestRejectedRelease guards against results that count as released although their endpoint
// has rejected the release, so that it is sent work for which it has no memory.
func TestRejectedRelease(t *testing.T) {
	e, to := startEndpoint(t)
	r, _ := newTestRunner(t, &testHealth{}, &testPeers{})
	msg, err := plat.AppendReleaseCall(nil, e.Addr, []string{e.Addr + "/q-0-0-1"})
	if err != nil {
		t.Fatal(err)
	}
	if err := r.release(to, msg); err != nil {
		t.Errorf("release: %v", err)
	}
	e.CloseFor("0", 1)
	if err := r.release(to, msg); err == nil {
		t.Error("a rejected release counts as done")
	}
}
