package scen_test

import (
	"fmt"
	"time"

	"wigeonplank.example/core/conf"
	"wigeonplank.example/core/place"
	"wigeonplank.example/core/roster"
	"wigeonplank.example/core/ticket"
	"wigeonplank.example/core/wire"
)

// getOrCreate returns the value of name in m and creates a zero value if there is
// none.
func getOrCreate[T any](m map[string]*T, name string) *T {
	if m[name] == nil {
		m[name] = new(T)
	}
	return m[name]
}

// runKeeper implements the command keeper. Each NAME is a process that tracks
// the configuration:
//
//	keeper NAME offer FILE VERDICT     offers a document and checks the verdict
//	keeper NAME revision is=N          checks the current revision
//	keeper NAME error                  checks that the tracker has an error
//	keeper NAME zone ZONE STATE        checks the state of a zone in the current document
//	keeper NAME from OTHER             offers the document of OTHER if it takes precedence
func runKeeper(st *scriptState, a *args) error {
	tracker := getOrCreate(st.trackers, a.arg(0))
	switch a.arg(1) {
	case "offer":
		return checkEqual("verdict", string(tracker.Offer([]byte(a.ts.ReadFile(a.arg(2))))), a.arg(3))
	case "revision":
		return checkEqual("revision", int(tracker.Current().Revision()), a.intOption("is", 0))
	case "error":
		if tracker.LastError() == nil {
			return fmt.Errorf("configuration tracker has no error")
		}
	case "zone":
		return checkEqual("zone", string(tracker.Current().Doc.ZoneState(a.arg(2))), a.arg(3))
	case "from":
		var digest uint64
		if current := tracker.Current(); current != nil {
			digest = current.Digest
		}
		if raw := getOrCreate(st.trackers, a.arg(2)).NewerThan(tracker.Current().Revision(), digest); raw != nil {
			tracker.Offer(raw)
		}
	default:
		return fmt.Errorf("keeper: unknown subcommand %q", a.arg(1))
	}
	return nil
}

// runRoster implements the command roster. Each NAME is a process with a roster:
//
//	roster NAME list FILE                applies an instance list
//	roster NAME state INSTANCE STATE     checks the state of an instance, or absent
func runRoster(st *scriptState, a *args) error {
	r := getOrCreate(st.rosters, a.arg(0))
	switch a.arg(1) {
	case "list":
		list, err := roster.Parse([]byte(a.ts.ReadFile(a.arg(2))))
		if err != nil {
			return err
		}
		r.Apply(st.clock.Now(), list)
	case "state":
		state := "absent"
		for _, m := range r.Members() {
			if m.ID == a.arg(2) {
				state = string(m.State)
			}
		}
		return checkEqual("state of "+a.arg(2), state, a.arg(3))
	default:
		return fmt.Errorf("roster: unknown subcommand %q", a.arg(1))
	}
	return nil
}

// runBook implements the command book, which drives the serial table of an
// agent. SERIAL is a name that the script gives to a serial:
//
//	book NAME new incarnation=N window=N answers=BYTES
//	book NAME issue SERIAL...              issues named serials
//	book NAME spend n=N                    issues serials without names
//	book NAME begin SERIAL DIGEST STATE    begins a run and checks the returned state
//	book NAME finish SERIAL ANSWER         records the answer of a run
//	book NAME not_run SERIAL               records that the endpoint ran nothing
//	book NAME void SERIAL STATE            voids a serial and checks the returned state
//	book NAME state SERIAL STATE           checks the state of a serial
//	book NAME answer SERIAL ANSWER         checks the recorded answer
//	book NAME forge SERIAL OTHER           makes a serial of the number after OTHER with the MAC of OTHER
func runBook(st *scriptState, a *args) error {
	table := st.serialTables[a.arg(0)]
	switch a.arg(1) {
	case "new":
		st.serialTables[a.arg(0)] = ticket.NewSerialTable(
			uint64(a.intOption("incarnation", 1)), []byte(a.arg(0)), a.intOption("window", 64), a.intOption("answers", 0))
	case "issue":
		for _, name := range a.positional[2:] {
			st.serials[name] = table.Issue(1)[0]
		}
	case "spend":
		for range a.intOption("n", 1) {
			table.Issue(1)
		}
	case "begin":
		return checkEqual("state", string(table.Begin(st.serials[a.arg(2)], []byte(a.arg(3)))), a.arg(4))
	case "finish":
		table.Finish(st.serials[a.arg(2)], ticket.Answer{Body: []byte(a.arg(3))})
	case "not_run":
		table.MarkNotRun(st.serials[a.arg(2)])
	case "void":
		return checkEqual("state", string(table.Void(st.serials[a.arg(2)])), a.arg(3))
	case "state":
		return checkEqual("state", string(table.State(st.serials[a.arg(2)])), a.arg(3))
	case "answer":
		got, _ := table.Answer(st.serials[a.arg(2)])
		return checkEqual("answer", string(got.Body), a.arg(3))
	case "forge":
		other := st.serials[a.arg(3)]
		st.serials[a.arg(2)] = &wire.Serial{Incarnation: other.Incarnation, Number: other.Number + 1, Mac: other.Mac}
	default:
		return fmt.Errorf("book: unknown subcommand %q", a.arg(1))
	}
	return nil
}

// runTable implements the command table, which drives the attempt table of an
// agent. ENTRY is e1, e2 and so on, and ID an attempt such as e1:7:
//
//	table NAME new marks=N              sets the maximum number of tombstones of the table
//	table NAME meet ENTRY last=N        registers an entry with its last sequence number
//	table NAME forget ENTRY             removes an entry
//	table NAME begin ID STATE           admits an attempt and checks the returned state
//	table NAME start ID yes|no          starts an attempt and checks whether it may start
//	table NAME void ID STATE            voids an attempt and checks the returned state
//	table NAME state ID STATE           checks the state of an attempt
//	table NAME finish ID                marks a running attempt as completed
//	table NAME release ID               releases the retained result of an attempt
//	table NAME expire ID                releases all results that have expired; ID is ignored
func runTable(st *scriptState, a *args) error {
	table := getOrCreate(st.attemptTables, a.arg(0))
	if a.arg(1) == "new" {
		table.MaxTombstones = a.intOption("marks", 0)
		return nil
	}
	id := parseAttemptID(a.arg(2))
	switch a.arg(1) {
	case "meet":
		table.RegisterEntry(parseAttemptID(a.arg(2)+":0").Entry, uint64(a.intOption("last", 0)))
	case "forget":
		table.RemoveEntry(parseAttemptID(a.arg(2) + ":0").Entry)
	case "begin":
		return checkEqual("state", string(table.Admit(id, st.clock.Now().Add(time.Second))), a.arg(3))
	case "start":
		return checkEqual("start", table.Start(id), a.arg(3) == "yes")
	case "void":
		return checkEqual("state", string(table.Void(id)), a.arg(3))
	case "state":
		return checkEqual("state", string(table.State(id)), a.arg(3))
	case "finish":
		table.Finish(id)
	case "release":
		table.Release(id)
	case "expire":
		table.ReleaseExpired(st.clock.Now())
	default:
		return fmt.Errorf("table: unknown subcommand %q", a.arg(1))
	}
	return nil
}

// runPlan implements the command plan, which drives the placement planner of an
// agent:
//
//	plan new doc=FILE role=ROLE size=N rank=N    creates the planner of an endpoint in a pool
//	plan doc FILE                                sets the configuration
//	plan role ROLE                               sets the label role of the instance
//	plan engine model=M loading=M fence=N        sets what the engine reports
//	plan view fresh|stale                        sets whether the configuration was confirmed since a pause
//	plan refused after=DURATION                  records that the newest order was refused
//	plan step ACTION                             makes a step and checks its action: none, wait or order:MODEL
func runPlan(st *scriptState, a *args) error {
	now := st.clock.Now()
	switch a.arg(0) {
	case "new":
		doc, err := conf.Parse([]byte(a.ts.ReadFile(a.options["doc"])))
		if err != nil {
			return err
		}
		st.planner = &plannerState{input: place.Input{
			Instance: "i",
			Doc:      doc,
			Labels:   map[string]string{"role": a.options["role"]},
			PoolSize: a.intOption("size", 1),
			PoolRank: a.intOption("rank", 0),
			Fresh:    true,
		}}
	case "doc":
		doc, err := conf.Parse([]byte(a.ts.ReadFile(a.arg(1))))
		if err != nil {
			return err
		}
		st.planner.input.Doc = doc
	case "role":
		st.planner.input.Labels = map[string]string{"role": a.arg(1)}
	case "engine":
		st.planner.input.Engine = place.EngineStatus{
			Model: a.options["model"], Loading: a.options["loading"], Fence: uint64(a.intOption("fence", 0)),
		}
	case "view":
		st.planner.input.Fresh = a.arg(1) == "fresh"
	case "refused":
		st.planner.RecordRefusal(now, a.durationOption("after", 0), 0.5)
	case "step":
		action := st.planner.Step(now, st.planner.input, 0.5)
		got := string(action.Kind)
		if action.Kind == place.ActionOrder {
			got += ":" + action.Model.String()
			if action.Fence <= st.planner.input.Engine.Fence {
				return fmt.Errorf("fence %d of the order isn't above the engine's fence %d", action.Fence, st.planner.input.Engine.Fence)
			}
		}
		return checkEqual("action ("+action.Reason+")", got, a.arg(1))
	default:
		return fmt.Errorf("plan: unknown subcommand %q", a.arg(0))
	}
	return nil
}
