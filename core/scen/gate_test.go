package scen_test

import (
	"fmt"
	"strings"
	"time"

	"wigeonplank.example/core/gate"
	"wigeonplank.example/core/runs"
)

// parseAttemptID returns the ID of an attempt. A name such as e1:7 is attempt 7
// of entry 1; any other name gets entry 0 and a number made of its characters.
func parseAttemptID(name string) runs.ID {
	var id runs.ID
	if n, _ := fmt.Sscanf(name, "e%d:%d", &id.Entry, &id.Seq); n == 2 {
		return id
	}
	for _, c := range name {
		id.Seq = id.Seq*256 + uint64(c)
	}
	return id
}

// runGate implements the command gate:
//
//	gate new max=N cold=N                              creates a gate with its limits
//	gate offer ID DECISION priority=N budget=DURATION  submits work and checks the decision: start, queue or refuse:REASON
//	gate finish ID service=DURATION units=N ok=no      records the completion of work
//	gate progress ID units=N                           records the output of work so far
//	gate report cold|warm running=N age=DURATION       applies a load report of the endpoint
//	gate tick                                          checks for stalled work and expires queued work
//	gate close                                         refuses all new work from now on
//	gate limit is=N                                    checks how much work may run at a time
//	gate started ID...                                 checks the queued work that the latest finish, report or tick started
//	gate refused ID...                                 checks the queued work that the same command refused
func runGate(st *scriptState, a *args) error {
	now := st.clock.Now()
	switch a.arg(0) {
	case "new":
		st.gate = gate.New(gate.Settings{WarmLimit: a.intOption("max", 8), ColdLimit: a.intOption("cold", 1)}, now)
	case "offer":
		return st.checkOffer(a)
	case "finish":
		service := a.durationOption("service", 10*time.Millisecond)
		completion := gate.Completion{ServiceTime: service, Units: a.intOption("units", 1), OK: a.options["ok"] != "no"}
		st.effects = st.gate.Finish(now, parseAttemptID(a.arg(1)), completion)
	case "progress":
		st.gate.RecordProgress(now, parseAttemptID(a.arg(1)), a.intOption("units", 1))
	case "report":
		at := now.Add(-a.durationOption("age", 0))
		st.effects = st.gate.Observe(now, gate.LoadReport{Running: a.intOption("running", 0), Cold: a.arg(1) == "cold", At: at})
	case "tick":
		st.effects = st.gate.Tick(now)
	case "close":
		st.gate.Close()
	case "limit":
		return checkEqual("limit", st.gate.Limit(), a.intOption("is", 0))
	case "started":
		return checkEqual("started", formatIDs(st.effects.Started), normalizeIDs(a.positional[1:]))
	case "refused":
		return st.checkRefused(a)
	default:
		return fmt.Errorf("gate: unknown subcommand %q", a.arg(0))
	}
	return nil
}

// checkOffer submits work and checks the decision. A refusal must have a retry
// delay.
func (st *scriptState) checkOffer(a *args) error {
	d := st.gate.Submit(st.clock.Now(), gate.Work{
		ID:       parseAttemptID(a.arg(1)),
		Priority: a.intOption("priority", 0),
		Budget:   a.durationOption("budget", time.Second),
	})
	got := string(d.Verdict)
	if d.Verdict == gate.VerdictRefuse {
		got += ":" + string(d.Reason)
		if d.RetryAfter <= 0 {
			return fmt.Errorf("refusal has no retry delay")
		}
	}
	return checkEqual("decision on "+a.arg(1), got, a.arg(2))
}

func (st *scriptState) checkRefused(a *args) error {
	got := make([]runs.ID, 0, len(st.effects.Refused))
	for _, r := range st.effects.Refused {
		got = append(got, r.ID)
	}
	return checkEqual("refused", formatIDs(got), normalizeIDs(a.positional[1:]))
}

// normalizeIDs returns attempt names of a script in the format of formatIDs.
func normalizeIDs(names []string) string {
	out := make([]runs.ID, 0, len(names))
	for _, n := range names {
		out = append(out, parseAttemptID(n))
	}
	return formatIDs(out)
}

func formatIDs(list []runs.ID) string {
	var b strings.Builder
	for _, id := range list {
		fmt.Fprintf(&b, "%d:%d ", id.Entry, id.Seq)
	}
	return b.String()
}
