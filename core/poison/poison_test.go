package poison_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"wigeonplank.example/core/poison"
)

var start = time.UnixMilli(1_700_000_000_000)

func part(id uint64) poison.Subject { return poison.Subject{Kind: poison.KindPromptPart, ID: id} }

// prompt returns the suspects of a request whose prompt has the given parts.
func prompt(ids ...uint64) []poison.Suspect {
	out := make([]poison.Suspect, 0, len(ids))
	for i, id := range ids {
		out = append(out, poison.Suspect{Subject: part(id), Depth: i})
	}
	return out
}

// crash records that endpoint number n crashed at a time, some 300 ms after a request was
// sent to it.
func crash(t *poison.Table, n int, at time.Time, suspects []poison.Suspect) {
	t.RecordCrash(at, poison.Evidence{Suspects: suspects, Crash: poison.Crash{Endpoint: fmt.Sprint("e", n), Incarnation: 1, BeganAt: at.Add(-300 * time.Millisecond), At: at}})
}

// beginTrial reports whether a request with a subject may be sent now, and records it as a trial.
func beginTrial(t *poison.Table, now time.Time, s poison.Subject) bool {
	return t.BeginTrial(now, []poison.Quarantine{{Subject: s}})
}

func quarantined(t *poison.Table) []uint64 {
	out := make([]uint64, 0, len(t.Quarantines()))
	for s := range t.Quarantines() {
		out = append(out, s.ID)
	}
	slices.Sort(out)
	return out
}

// TestQuarantine checks which parts are to blame after crashes (prompts of the requests
// that ran at each endpoint, a second apart) and good runs before and between them.
func TestQuarantine(t *testing.T) {
	const shared, bad, bad2 = 1, 66, 67
	type event struct {
		after   time.Duration
		crashed [][]uint64 // prompts at one endpoint
		sound   []uint64
	}
	one := func(prompts ...[]uint64) event { return event{after: time.Second, crashed: prompts} }
	good := func(parts ...uint64) event { return event{after: 100 * time.Millisecond, sound: parts} }
	for name, c := range map[string]struct {
		events []event
		want   []uint64
	}{
		"two crashes":   {[]event{one([]uint64{shared, bad}), one([]uint64{shared, bad})}, nil},
		"three crashes": {[]event{one([]uint64{shared, bad}), one([]uint64{shared, bad}), one([]uint64{shared, bad})}, []uint64{bad}},
		"shared part known good": {
			[]event{good(shared), one([]uint64{shared, bad}), one([]uint64{shared, bad}), one([]uint64{shared, bad})},
			[]uint64{bad},
		},
		"others in the room": {
			[]event{
				good(shared), one([]uint64{shared, bad}, []uint64{shared, 2}), one([]uint64{shared, bad}, []uint64{shared, 3}),
				one([]uint64{shared, bad}, []uint64{shared, 2}),
			}, []uint64{bad},
		},
		"good run between": {
			[]event{
				one([]uint64{shared, 2}), one([]uint64{shared, 2}), good(shared, 2), one([]uint64{shared, 2}), one([]uint64{shared, 2}),
				good(shared, 2), one([]uint64{shared, 2}), one([]uint64{shared, 2}),
			}, nil,
		},
		"known part turns bad": {
			[]event{good(shared, bad), one([]uint64{bad}), one([]uint64{bad}), one([]uint64{bad}), one([]uint64{bad}), one([]uint64{bad})},
			[]uint64{bad},
		},
		"two bad parts": {
			[]event{
				good(shared), one([]uint64{shared, bad}), one([]uint64{shared, bad2}), one([]uint64{shared, bad}), one([]uint64{shared, bad2}),
				one([]uint64{shared, bad}), one([]uint64{shared, bad2}), one([]uint64{shared, bad}), one([]uint64{shared, bad2}),
			}, []uint64{bad, bad2},
		},
		"two bad parts, not enough of either": {
			[]event{
				good(shared), one([]uint64{shared, bad}), one([]uint64{shared, bad2}), one([]uint64{shared, bad}), one([]uint64{shared, bad2}),
				one([]uint64{shared, bad}), one([]uint64{shared, bad2}),
			}, nil,
		},
		"at three of seven crashes": {
			[]event{
				one([]uint64{9}), one([]uint64{20}), one([]uint64{21}), one([]uint64{9}), one([]uint64{22}), one([]uint64{23}), one([]uint64{9}),
			}, nil,
		},
		"shared part is bad": {
			[]event{one([]uint64{shared, 2}), one([]uint64{shared, 3}), one([]uint64{shared, 4})}, []uint64{shared},
		},
		"once a minute": {
			[]event{one([]uint64{shared, bad}), {after: time.Minute, crashed: [][]uint64{{shared, bad}}}, {after: time.Minute, crashed: [][]uint64{{shared, bad}}}},
			[]uint64{bad},
		},
	} {
		t.Run(name, func(t *testing.T) {
			var table poison.Table
			now := start
			for i, e := range c.events {
				now = now.Add(e.after)
				for _, p := range e.crashed {
					crash(&table, i, now, prompt(p...))
				}
				if e.sound != nil {
					table.RecordSound(now, prompt(e.sound...))
				}
			}
			if got := quarantined(&table); !slices.Equal(got, c.want) {
				t.Errorf("quarantined %v, want %v", got, c.want)
			}
		})
	}
}

// check reports whether a relay of rank 0 may send a request now.
func check(t *poison.Table, now time.Time, suspects []poison.Suspect) bool {
	held, sendAt := t.Verdicts().Check(suspects, func(poison.Subject) int { return 0 })
	return len(held) == 0 || !now.Before(sendAt)
}

// TestInseparableParts guards against blaming a part that sound requests share with bad ones, as the
// same crashes speak against it: what has always been together is rejected together only.
func TestInseparableParts(t *testing.T) {
	const sound, bad, document, other = 1, 66, 2, 3
	convict := func(parts ...uint64) (*poison.Table, time.Time) {
		var table poison.Table
		now := start
		table.RecordSound(now, prompt(sound))
		for i := range 3 {
			now = now.Add(time.Second)
			crash(&table, i, now, prompt(parts...))
			if i == 0 { // a sound request has run beside
				crash(&table, i, now, prompt(sound, document))
				if v := table.Verdicts(); v.Confinement(prompt(parts...)) == v.Confinement(prompt(sound, document)) {
					t.Error("sound requests go where bad ones go")
				}
			}
		}
		return &table, now
	}
	for name, parts := range map[string][]uint64{"bad part first": {bad, document}, "bad part last": {document, bad}} {
		t.Run(name, func(t *testing.T) {
			table, now := convict(parts...)
			if check(table, now, prompt(parts...)) {
				t.Error("a request with all parts is sent")
			}
			if !check(table, now, prompt(sound, document)) {
				t.Error("a request without the bad part is rejected")
			}
			if table.Suspected(prompt(sound, document)) || !table.Suspected(prompt(parts...)) {
				t.Error("it isn't sent again, or one with all parts is")
			}
			table.RecordSound(now, prompt(sound, document))
			if got := quarantined(table); !slices.Equal(got, []uint64{bad}) || check(table, now, prompt(bad, 9)) {
				t.Errorf("quarantined %v after a good run without the bad part", got)
			}
		})
	}
	t.Run("the shared part is bad", func(t *testing.T) {
		table, now := convict(other, document)
		crash(table, 9, now.Add(time.Second), prompt(sound, document))
		if got := quarantined(table); !slices.Equal(got, []uint64{document}) || check(table, now, prompt(sound, document)) {
			t.Errorf("quarantined %v", got)
		}
	})
}

// TestSharedPartOfTwoBadOnes guards against waiting for the trial of a part that is only in the room: two bad
// ones come with it by turns, and a request without them shows at once whether it is to blame.
func TestSharedPartOfTwoBadOnes(t *testing.T) {
	const bad, bad2, document = 66, 67, 2
	var table poison.Table
	now := start
	for i, part := range []uint64{bad, bad2, bad} {
		now = now.Add(time.Second)
		crash(&table, i, now, prompt(part, document))
	}
	if check(&table, now, prompt(bad, document)) {
		t.Error("a bad request is the trial")
	}
	if !check(&table, now, prompt(1, document)) {
		t.Error("a request without bad parts has to wait")
	}
	table.RecordSound(now.Add(time.Second), prompt(1, document))
	if got := quarantined(&table); len(got) != 0 {
		t.Errorf("quarantined %v after a good run", got)
	}
}

// TestRequestSentAgainIsNoOtherCause guards against a bad request that is sent at once as the trial of its parts, since
// one like it had crashed two endpoints by its retry.
func TestRequestSentAgainIsNoOtherCause(t *testing.T) {
	var table poison.Table
	now := start
	for i, request := range []uint64{7, 7, 8} {
		now = now.Add(time.Second)
		crash(&table, i, now, append([]poison.Suspect{{Subject: poison.Subject{Kind: poison.KindRequest, ID: request}, Depth: poison.RequestDepth}}, prompt(66, 2)...))
	}
	if check(&table, now.Add(5*time.Second), prompt(66, 2)) {
		t.Error("a bad request is sent before the time of the trial")
	}
}

// TestCrashesOfFormerRelease checks that crashes of which a relay of the former release tells no more than
// the endpoint convict as they did.
func TestCrashesOfFormerRelease(t *testing.T) {
	var former, table poison.Table
	for i := range 3 {
		crash(&former, i, start.Add(time.Duration(i)*time.Second), prompt(1, 66))
	}
	records, _, err := former.Changes(start, 0)
	if err != nil {
		t.Fatal(err)
	}
	for i, raw := range records {
		var w poison.SubjectState
		if err := proto.Unmarshal(raw, &w); err != nil {
			t.Fatal(err)
		}
		for _, c := range w.GetCrashes() {
			c.Common, c.CommonTold = nil, false
		}
		if records[i], err = proto.Marshal(&w); err != nil {
			t.Fatal(err)
		}
	}
	if err := table.Merge(start, records); err != nil {
		t.Fatal(err)
	}
	if got := quarantined(&table); !slices.Equal(got, []uint64{66}) || check(&table, start, prompt(66, 9)) {
		t.Errorf("quarantined %v", got)
	}
}

// TestSimultaneousCrashes guards against blaming what ran at many endpoints that lost
// power together.
func TestSimultaneousCrashes(t *testing.T) {
	var table poison.Table
	for i := range 10 {
		crash(&table, i, start.Add(time.Duration(i)*10*time.Millisecond), prompt(1, 2))
	}
	if got := quarantined(&table); len(got) != 0 {
		t.Errorf("quarantined %v", got)
	}
}

// TestRetriedRun checks that crashes of endpoints count each if the request was sent to
// one after the other.
func TestRetriedRun(t *testing.T) {
	var table poison.Table
	at := start
	for i := range 3 {
		table.RecordCrash(at, poison.Evidence{Suspects: prompt(7), Crash: poison.Crash{Endpoint: fmt.Sprint(i), BeganAt: at.Add(-30 * time.Millisecond), At: at}})
		at = at.Add(40 * time.Millisecond)
	}
	if got := quarantined(&table); !slices.Equal(got, []uint64{7}) {
		t.Errorf("quarantined %v", got)
	}
}

// TestRequest checks that a request that crashes endpoints is to blame rather than the
// parts of its prompt, and that a good run of it acquits it.
func TestRequest(t *testing.T) {
	request := poison.Suspect{Subject: poison.Subject{Kind: poison.KindRequest, ID: 7}, Depth: poison.RequestDepth}
	var table poison.Table
	for i := range 3 {
		crash(&table, i, start.Add(time.Duration(i)*time.Second), append(prompt(1, 2), request))
	}
	if _, ok := table.Quarantines()[request.Subject]; !ok || len(table.Quarantines()) != 1 {
		t.Errorf("quarantined %v", table.Quarantines())
	}
	table.RecordSound(start.Add(time.Minute), append(prompt(1, 2), request))
	if n := len(table.Quarantines()); n != 0 {
		t.Errorf("quarantined %v after a good run", table.Quarantines())
	}
}

// TestTrials checks when a quarantined part is tried again, and that a good run ends its
// quarantine.
func TestTrials(t *testing.T) {
	var table poison.Table
	now := start
	for i := range 3 {
		now = start.Add(time.Duration(i) * time.Second)
		crash(&table, i, now, prompt(1, 9))
	}
	wait := 10 * time.Second
	for i := range 4 {
		if beginTrial(&table, now.Add(wait-time.Millisecond), part(9)) {
			t.Fatalf("trial %d before its time", i)
		}
		now = now.Add(wait)
		if !beginTrial(&table, now, part(9)) {
			t.Fatalf("no trial %d after %s", i, wait)
		}
		if beginTrial(&table, now, part(9)) {
			t.Fatal("two trials at once")
		}
		crash(&table, 10+i, now.Add(time.Second), prompt(1, 9))
		now = now.Add(time.Second)
		wait *= 2
	}
	table.RecordSound(now.Add(wait), prompt(1, 9))
	if got := quarantined(&table); len(got) != 0 {
		t.Errorf("quarantined %v after a good run", got)
	}
	if !beginTrial(&table, now, part(9)) {
		t.Error("a request after the quarantine was not allowed")
	}
}

// TestMergeCommutes checks that relays agree on what is quarantined, in whatever order
// and however often they learn of crashes, good runs and trials.
func TestMergeCommutes(t *testing.T) {
	for seed := range uint64(200) {
		r := rand.New(rand.NewPCG(seed, 1))
		tables := make([]poison.Table, 3)
		now := start
		for i := range 40 {
			now = now.Add(time.Duration(r.IntN(800)) * time.Millisecond)
			at := &tables[r.IntN(len(tables))]
			parts := prompt(1, uint64(2+r.IntN(3)))
			switch r.IntN(5) {
			case 0, 1, 2:
				crash(at, i, now, parts)
			case 3:
				at.RecordSound(now, parts)
			case 4:
				beginTrial(at, now, parts[1].Subject)
			}
			if r.IntN(4) == 0 {
				exchange(t, now, &tables[r.IntN(len(tables))], at)
			}
		}
		for range 2 {
			for i := range tables {
				for j := range tables {
					exchange(t, now, &tables[i], &tables[j])
				}
			}
		}
		want := tables[0].Quarantines()
		for i := range tables {
			if got := tables[i].Quarantines(); !maps.EqualFunc(got, want, sameQuarantine) {
				t.Fatalf("seed %d: table %d has %v, table 0 has %v", seed, i, got, want)
			}
		}
	}
}

// exchange merges all that one table holds into another one.
func exchange(t *testing.T, now time.Time, from, to *poison.Table) {
	t.Helper()
	records, _, err := from.Changes(now, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := to.Merge(now, records); err != nil {
		t.Fatal(err)
	}
}

func sameQuarantine(a, b poison.Quarantine) bool {
	return a.TrialAt.Equal(b.TrialAt) && slices.Equal(a.With, b.With) && slices.Equal(a.Crashes, b.Crashes)
}

// TestChanges checks that a relay that has learned something passes it on once, and that
// what changes no conclusion is not passed on.
func TestChanges(t *testing.T) {
	var a, b poison.Table
	crash(&a, 1, start, prompt(5))
	records, version, err := a.Changes(start, 0)
	if err != nil || len(records) != 1 {
		t.Fatal(records, err)
	}
	if records, _, _ := a.Changes(start, version); len(records) != 0 {
		t.Errorf("%d records are told twice", len(records))
	}
	for range 2 {
		if err := b.Merge(start, records); err != nil {
			t.Fatal(err)
		}
		if b.Version() != 1 {
			t.Errorf("version %d after a record that was or wasn't known", b.Version())
		}
	}
	b.RecordSound(start.Add(time.Second), prompt(5))
	v := b.Version()
	b.RecordSound(start.Add(2*time.Second), prompt(5))
	if b.Version() != v {
		t.Error("a second good run is passed on")
	}
	if err := b.Merge(start, [][]byte{{0xff}}); err == nil {
		t.Error("no error for a record that can't be decoded")
	}
}

// TestTableIsBounded checks that made-up parts don't displace a quarantine, and that
// memory is bounded.
func TestTableIsBounded(t *testing.T) {
	var table poison.Table
	now := start
	for i := range 3 {
		now = now.Add(time.Second)
		crash(&table, i, now, prompt(9))
	}
	for i := range uint64(3000) {
		now = now.Add(time.Millisecond)
		table.RecordSound(now, prompt(1_000_000+i))
		crash(&table, int(i), now, prompt(1000+i))
	}
	if n := table.Len(); n > 512 {
		t.Errorf("%d subjects", n)
	}
	if got := quarantined(&table); !slices.Contains(got, 9) {
		t.Errorf("quarantined %v", got)
	}
}

// TestTableMemory checks the memory of a full table, whatever callers send.
func TestTableMemory(t *testing.T) {
	const maxBytes = 1 << 20
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var table poison.Table
	now := start
	for i := range uint64(20_000) {
		now = now.Add(time.Millisecond)
		table.RecordSound(now, prompt(1<<40+i))
	}
	suspects := make([]uint64, 1100) // more than are kept, with as many crashes as are kept
	for i := range suspects {
		suspects[i] = uint64(i)
	}
	for n := range 16 {
		now = now.Add(time.Second)
		crash(&table, n, now, prompt(suspects...))
	}
	runtime.GC()
	runtime.ReadMemStats(&after)
	if got := int64(after.HeapAlloc) - int64(before.HeapAlloc); got > maxBytes {
		t.Errorf("a table with %d subjects takes %d KB", table.Len(), got>>10)
	}
	runtime.KeepAlive(&table)
}
