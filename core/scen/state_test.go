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

func get[T any](m map[string]*T, name string) *T {
	if m[name] == nil {
		m[name] = new(T)
	}
	return m[name]
}

// keeper NAME offer FILE VERDICT | keeper NAME revision is=N |
// keeper NAME from OTHER: pass on what goes before.
func keeperCmd(w *world, a *args) error {
	k := get(w.keepers, a.word(0))
	switch a.word(1) {
	case "offer":
		return want("verdict", string(k.Offer([]byte(a.ts.ReadFile(a.word(2))))), a.word(3))
	case "revision":
		return want("revision", int(k.Current().Revision()), a.int("is", 0))
	case "error":
		if k.LastError() == nil {
			return fmt.Errorf("keeper reports no error")
		}
	case "zone":
		return want("zone", string(k.Current().Doc.ZoneState(a.word(2))), a.word(3))
	case "from":
		var digest uint64
		if cur := k.Current(); cur != nil {
			digest = cur.Digest
		}
		if raw := get(w.keepers, a.word(2)).NewerThan(k.Current().Revision(), digest); raw != nil {
			k.Offer(raw)
		}
	default:
		return fmt.Errorf("keeper: unknown word %q", a.word(1))
	}
	return nil
}

// roster NAME list FILE | roster NAME state INSTANCE STATE.
func rosterCmd(w *world, a *args) error {
	r := get(w.rosters, a.word(0))
	switch a.word(1) {
	case "list":
		l, err := roster.Parse([]byte(a.ts.ReadFile(a.word(2))))
		if err != nil {
			return err
		}
		r.Apply(w.clock.Now(), l)
	case "state":
		state := "absent"
		for _, m := range r.Members() {
			if m.ID == a.word(2) {
				state = string(m.State)
			}
		}
		return want("state of "+a.word(2), state, a.word(3))
	default:
		return fmt.Errorf("roster: unknown word %q", a.word(1))
	}
	return nil
}

// book NAME new | issue SERIAL... | begin SERIAL DIGEST STATE |
// finish SERIAL | void SERIAL STATE | state SERIAL STATE | forge SERIAL OF.
func bookCmd(w *world, a *args) error {
	b := w.books[a.word(0)]
	switch a.word(1) {
	case "new":
		w.books[a.word(0)] = ticket.NewSerialTable(uint64(a.int("incarnation", 1)), []byte(a.word(0)), a.int("window", 64), a.int("answers", 0))
	case "issue":
		for _, n := range a.words[2:] {
			w.serials[n] = b.Issue(1)[0]
		}
	case "spend":
		for range a.int("n", 1) {
			b.Issue(1)
		}
	case "begin":
		return want("state", string(b.Begin(w.serials[a.word(2)], []byte(a.word(3)))), a.word(4))
	case "finish":
		b.Finish(w.serials[a.word(2)], ticket.Answer{Body: []byte(a.word(3))})
	case "not_run":
		b.MarkNotRun(w.serials[a.word(2)])
	case "void":
		return want("state", string(b.Void(w.serials[a.word(2)])), a.word(3))
	case "state":
		return want("state", string(b.State(w.serials[a.word(2)])), a.word(3))
	case "answer":
		got, _ := b.Answer(w.serials[a.word(2)])
		return want("answer", string(got.Body), a.word(3))
	case "forge":
		of := w.serials[a.word(3)]
		w.serials[a.word(2)] = &wire.Serial{Incarnation: of.Incarnation, Number: of.Number + 1, Mac: of.Mac}
	default:
		return fmt.Errorf("book: unknown word %q", a.word(1))
	}
	return nil
}

// table NAME meet ENTRY last=N | begin ID STATE | start ID yes|no | void ID
// STATE | state ID STATE | finish ID | release ID | forget ENTRY.
func tableCmd(w *world, a *args) error {
	t := get(w.tables, a.word(0))
	if a.word(1) == "new" {
		t.MaxTombstones = a.int("marks", 0)
		return nil
	}
	id := attemptID(a.word(2))
	switch a.word(1) {
	case "meet":
		t.RegisterEntry(attemptID(a.word(2)+":0").Entry, uint64(a.int("last", 0)))
	case "forget":
		t.RemoveEntry(attemptID(a.word(2) + ":0").Entry)
	case "begin":
		return want("state", string(t.Admit(id, w.clock.Now().Add(time.Second))), a.word(3))
	case "start":
		return want("start", t.Start(id), a.word(3) == "yes")
	case "void":
		return want("state", string(t.Void(id)), a.word(3))
	case "state":
		return want("state", string(t.State(id)), a.word(3))
	case "finish":
		t.Finish(id)
	case "release":
		t.Release(id)
	case "expire":
		t.ReleaseExpired(w.clock.Now())
	default:
		return fmt.Errorf("table: unknown word %q", a.word(1))
	}
	return nil
}

// plan new doc=FILE size=N rank=N label=KEY:VALUE | engine model=M loading=M
// fence=N | step ACTION | stale | fresh | refused.
func planCmd(w *world, a *args) error {
	now := w.clock.Now()
	switch a.word(0) {
	case "new":
		d, err := conf.Parse([]byte(a.ts.ReadFile(a.opts["doc"])))
		if err != nil {
			return err
		}
		w.planner = &planner{in: place.Input{
			Instance: "i",
			Doc:      d,
			Labels:   map[string]string{"role": a.opts["role"]},
			PoolSize: a.int("size", 1),
			PoolRank: a.int("rank", 0),
			Fresh:    true,
		}}
	case "doc":
		d, err := conf.Parse([]byte(a.ts.ReadFile(a.word(1))))
		if err != nil {
			return err
		}
		w.planner.in.Doc = d
	case "role":
		w.planner.in.Labels = map[string]string{"role": a.word(1)}
	case "engine":
		w.planner.in.Engine = place.EngineStatus{Model: a.opts["model"], Loading: a.opts["loading"], Fence: uint64(a.int("fence", 0))}
	case "view":
		w.planner.in.Fresh = a.word(1) == "fresh"
	case "refused":
		w.planner.RecordRefusal(now, a.duration("after", 0), 0.5)
	case "step":
		act := w.planner.Step(now, w.planner.in, 0.5)
		got := string(act.Kind)
		if act.Kind == place.ActionOrder {
			got += ":" + act.Model.String()
			if act.Fence <= w.planner.in.Engine.Fence {
				return fmt.Errorf("fence %d isn't above the engine's %d", act.Fence, w.planner.in.Engine.Fence)
			}
		}
		return want("action ("+act.Reason+")", got, a.word(1))
	default:
		return fmt.Errorf("plan: unknown word %q", a.word(0))
	}
	return nil
}
