package scen_test

import (
	"fmt"
	"strings"
	"time"

	"wigeonplank.example/core/gate"
	"wigeonplank.example/core/runs"
)

// attemptID makes an ID of a name such as e1:7, entry 1 and number 7.
func attemptID(name string) runs.ID {
	var id runs.ID
	if n, _ := fmt.Sscanf(name, "e%d:%d", &id.Entry, &id.Seq); n == 2 {
		return id
	}
	for _, c := range name {
		id.Seq = id.Seq*256 + uint64(c)
	}
	return id
}

func gateCmd(w *world, a *args) error {
	now := w.clock.Now()
	switch a.word(0) {
	case "new":
		w.gate = gate.New(gate.Settings{WarmLimit: a.int("max", 8), ColdLimit: a.int("cold", 1)}, now)
	case "offer":
		return w.offer(a)
	case "finish":
		service := a.duration("service", 10*time.Millisecond)
		s := gate.Completion{ServiceTime: service, Units: a.int("units", 1), OK: a.opts["ok"] != "no"}
		w.fx = w.gate.Finish(now, attemptID(a.word(1)), s)
	case "progress":
		w.gate.RecordProgress(now, attemptID(a.word(1)), a.int("units", 1))
	case "report":
		at := now.Add(-a.duration("age", 0))
		w.fx = w.gate.Observe(now, gate.LoadReport{Running: a.int("running", 0), Cold: a.word(1) == "cold", At: at})
	case "tick":
		w.fx = w.gate.Tick(now)
	case "close":
		w.gate.Close()
	case "limit":
		return want("limit", w.gate.Limit(), a.int("is", 0))
	case "started":
		return want("started", names(w.fx.Started), ids(a.words[1:]))
	case "refused":
		return w.refused(a)
	default:
		return fmt.Errorf("gate: unknown word %q", a.word(0))
	}
	return nil
}

func (w *world) offer(a *args) error {
	d := w.gate.Submit(w.clock.Now(), gate.Work{
		ID:       attemptID(a.word(1)),
		Priority: a.int("priority", 0),
		Budget:   a.duration("budget", time.Second),
	})
	got := string(d.Verdict)
	if d.Verdict == gate.VerdictRefuse {
		got += ":" + string(d.Reason)
		if d.RetryAfter <= 0 {
			return fmt.Errorf("a refusal without a time to come back")
		}
	}
	return want("decision on "+a.word(1), got, a.word(2))
}

func (w *world) refused(a *args) error {
	got := make([]runs.ID, 0, len(w.fx.Refused))
	for _, r := range w.fx.Refused {
		got = append(got, r.ID)
	}
	return want("refused", names(got), ids(a.words[1:]))
}

func ids(list []string) string {
	out := make([]runs.ID, 0, len(list))
	for _, n := range list {
		out = append(out, attemptID(n))
	}
	return names(out)
}

func names(list []runs.ID) string {
	var b strings.Builder
	for _, id := range list {
		fmt.Fprintf(&b, "%d:%d ", id.Entry, id.Seq)
	}
	return b.String()
}
