// Package runs is an agent's memory of the attempts that entries sent to it. It
// decides whether an attempt may start, and what may be said of one that is
// asked for later.
package runs

import (
	"time"
)

// DefaultMarks is how many ended or voided attempts a Table remembers one by
// one.
const DefaultMarks = 1 << 16

// ID names an attempt. Seq rises within an Entry incarnation.
type ID struct {
	Entry uint64
	Seq   uint64
}

// State is what a Table knows of an attempt.
type State string

// States of an attempt.
const (
	StateNew     State = "new"     // never seen
	StateQueued  State = "queued"  // admitted, not started
	StateRunning State = "running" // started at the endpoint
	StateDone    State = "done"    // ended; the result is held
	StateVoided  State = "voided"  // not started, and never will be
	StateSpent   State = "spent"   // ended; the result is no longer held
	StateExpired State = "expired" // too old to be told apart; never starts
	StateGone    State = "gone"    // of another incarnation of the agent
)

type run struct {
	state State
	until time.Time
}

// Table holds the attempts of all entries. A forgotten attempt never starts:
// before a mark is dropped the floor of its entry is raised over it. The zero
// value is ready to use. It is not safe for concurrent use.
type Table struct {
	Marks int // 0: DefaultMarks

	live   map[ID]*run
	marks  map[ID]State
	order  []ID
	floors map[uint64]uint64
}

func (t *Table) prepare() {
	if t.live != nil {
		return
	}
	if t.Marks == 0 {
		t.Marks = DefaultMarks
	}
	t.live = make(map[ID]*run)
	t.marks = make(map[ID]State)
	t.floors = make(map[uint64]uint64)
}

// Meet records that an entry incarnation opened a link. lastSeq is the highest
// sequence number that it had used by then. If the table knows nothing of the
// entry, nothing can be said of its earlier attempts.
func (t *Table) Meet(entry, lastSeq uint64) {
	t.prepare()
	if _, ok := t.floors[entry]; !ok {
		t.floors[entry] = lastSeq
	}
}

// Forget drops what is known of an entry that has no link. A later Meet makes
// its earlier attempts expired.
func (t *Table) Forget(entry uint64) {
	t.prepare()
	delete(t.floors, entry)
	for id := range t.marks {
		if id.Entry == entry {
			delete(t.marks, id)
		}
	}
}

// Knows reports whether the entry has met the table and isn't forgotten.
func (t *Table) Knows(entry uint64) bool {
	_, ok := t.floors[entry]
	return ok
}

// State returns what is known of an attempt.
func (t *Table) State(id ID) State {
	t.prepare()
	if r, ok := t.live[id]; ok {
		return r.state
	}
	if s, ok := t.marks[id]; ok {
		return s
	}
	if floor, ok := t.floors[id.Entry]; !ok || id.Seq <= floor {
		return StateExpired
	}
	return StateNew
}

// Begin takes a new attempt in as queued and returns StateNew. Any other result
// is the state that forbids it to start. The result is held until the time
// given, unless it is acknowledged before.
func (t *Table) Begin(id ID, until time.Time) State {
	s := t.State(id)
	if s == StateNew {
		t.live[id] = &run{state: StateQueued, until: until}
	}
	return s
}

// Start marks a queued attempt as started and reports whether it may start.
func (t *Table) Start(id ID) bool {
	r, ok := t.live[id]
	if !ok || r.state != StateQueued {
		return false
	}
	r.state = StateRunning
	return true
}

// Finish marks a running attempt as ended.
func (t *Table) Finish(id ID) {
	if r, ok := t.live[id]; ok && r.state == StateRunning {
		r.state = StateDone
	}
}

// NotRun turns a running attempt into a voided one, on the word of the endpoint
// that nothing ran.
func (t *Table) NotRun(id ID) {
	if _, ok := t.live[id]; ok {
		delete(t.live, id)
		t.mark(id, StateVoided)
	}
}

// Void makes sure that an attempt that hasn't started never starts. It returns
// the state after the call: only StateVoided proves that nothing ran.
func (t *Table) Void(id ID) State {
	s := t.State(id)
	if s != StateNew && s != StateQueued {
		return s
	}
	delete(t.live, id)
	t.mark(id, StateVoided)
	return StateVoided
}

// Release drops a held result after its acknowledgement. A running attempt
// stays.
func (t *Table) Release(id ID) bool {
	r, ok := t.live[id]
	if !ok || r.state != StateDone {
		return false
	}
	delete(t.live, id)
	t.mark(id, StateSpent)
	return true
}

// Expire releases the results whose time has passed and returns their IDs.
func (t *Table) Expire(now time.Time) []ID {
	var out []ID
	for id, r := range t.live {
		if r.state == StateDone && !now.Before(r.until) {
			out = append(out, id)
		}
	}
	for _, id := range out {
		t.Release(id)
	}
	return out
}

// Running returns how many attempts are queued or running.
func (t *Table) Running() int {
	n := 0
	for _, r := range t.live {
		if r.state == StateRunning || r.state == StateQueued {
			n++
		}
	}
	return n
}

func (t *Table) mark(id ID, s State) {
	t.marks[id] = s
	t.order = append(t.order, id)
	for len(t.order) > t.Marks {
		old := t.order[0]
		t.order = t.order[1:]
		delete(t.marks, old)
		if floor, ok := t.floors[old.Entry]; ok {
			t.floors[old.Entry] = max(floor, old.Seq)
		}
	}
}
