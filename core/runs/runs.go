// Package runs records the attempts that entries have dispatched to an agent.
// It decides whether an attempt may start, and which state is reported for an
// attempt on a later query.
package runs

import (
	"time"
)

// DefaultMaxTombstones is the default of Table.MaxTombstones.
const DefaultMaxTombstones = 1 << 16

// ID identifies an attempt. Seq increases within an incarnation of an entry.
type ID struct {
	Entry uint64 // incarnation of the entry
	Seq   uint64
}

// State is the state of an attempt in a Table.
type State string

// States of an attempt.
const (
	StateNew              State = "new"     // not seen before
	StateQueued           State = "queued"  // admitted, not started
	StateRunning          State = "running" // started at the endpoint
	StateDone             State = "done"    // completed; the result is retained
	StateVoided           State = "voided"  // has not started and never will
	StateSpent            State = "spent"   // completed; the result has been released
	StateExpired          State = "expired" // the table has no record of it anymore; it may have run, and never starts from now on
	StateOtherIncarnation State = "gone"    // belongs to another incarnation of the agent
)

type attempt struct {
	state       State
	retainUntil time.Time
}

// Table records the attempts of all entries. An attempt whose record was evicted
// never starts: when a tombstone is evicted, all attempts of its entry up to its
// sequence number that have no record are expired. The zero value is ready to
// use. A Table is not safe for concurrent use.
type Table struct {
	// MaxTombstones is the maximum number of completed and voided attempts that are
	// recorded individually. 0 means DefaultMaxTombstones.
	MaxTombstones int

	live           map[ID]*attempt
	tombstones     map[ID]State
	tombstoneOrder []ID              // oldest first
	expiredUpTo    map[uint64]uint64 // by entry: attempts without a record are expired up to this sequence number
}

func (t *Table) initMaps() {
	if t.live != nil {
		return
	}
	if t.MaxTombstones == 0 {
		t.MaxTombstones = DefaultMaxTombstones
	}
	t.live = make(map[ID]*attempt)
	t.tombstones = make(map[ID]State)
	t.expiredUpTo = make(map[uint64]uint64)
}

// RegisterEntry records that an incarnation of an entry opened a link. lastSeq is
// the highest sequence number that the entry has used so far. If the entry is not
// registered, its earlier attempts without a record are expired, because the
// table can't tell whether they ran.
func (t *Table) RegisterEntry(entry, lastSeq uint64) {
	t.initMaps()
	if _, ok := t.expiredUpTo[entry]; !ok {
		t.expiredUpTo[entry] = lastSeq
	}
}

// RemoveEntry removes an entry that has no link, and its tombstones. All its
// attempts without a record are then expired, and stay so after a later call of
// RegisterEntry.
func (t *Table) RemoveEntry(entry uint64) {
	t.initMaps()
	delete(t.expiredUpTo, entry)
	for id := range t.tombstones {
		if id.Entry == entry {
			delete(t.tombstones, id)
		}
	}
}

// HasEntry reports whether the entry is registered.
func (t *Table) HasEntry(entry uint64) bool {
	_, ok := t.expiredUpTo[entry]
	return ok
}

// State returns the state of an attempt. Attempts of an entry that isn't
// registered are expired.
func (t *Table) State(id ID) State {
	t.initMaps()
	if a, ok := t.live[id]; ok {
		return a.state
	}
	if s, ok := t.tombstones[id]; ok {
		return s
	}
	if seq, ok := t.expiredUpTo[id.Entry]; !ok || id.Seq <= seq {
		return StateExpired
	}
	return StateNew
}

// Admit records a new attempt as queued and returns StateNew. Any other result
// is the state that prevents the attempt from starting. The result of the
// attempt is retained until retainUntil, or until it is released.
func (t *Table) Admit(id ID, retainUntil time.Time) State {
	s := t.State(id)
	if s == StateNew {
		t.live[id] = &attempt{state: StateQueued, retainUntil: retainUntil}
	}
	return s
}

// Start marks a queued attempt as running. It reports false, and the attempt
// must not start, if the attempt is not queued.
func (t *Table) Start(id ID) bool {
	a, ok := t.live[id]
	if !ok || a.state != StateQueued {
		return false
	}
	a.state = StateRunning
	return true
}

// Finish marks a running attempt as completed.
func (t *Table) Finish(id ID) {
	if a, ok := t.live[id]; ok && a.state == StateRunning {
		a.state = StateDone
	}
}

// MarkNotRun marks an attempt as voided, after the endpoint reported that it did
// not run it.
func (t *Table) MarkNotRun(id ID) {
	if _, ok := t.live[id]; ok {
		delete(t.live, id)
		t.addTombstone(id, StateVoided)
	}
}

// Void ensures that an attempt which has not started never starts, and returns
// the resulting state. Only StateVoided proves that the attempt did not run.
func (t *Table) Void(id ID) State {
	s := t.State(id)
	if s != StateNew && s != StateQueued {
		return s
	}
	delete(t.live, id)
	t.addTombstone(id, StateVoided)
	return StateVoided
}

// Release releases the retained result of a completed attempt and reports
// whether there was one. It has no effect on an attempt in any other state.
func (t *Table) Release(id ID) bool {
	a, ok := t.live[id]
	if !ok || a.state != StateDone {
		return false
	}
	delete(t.live, id)
	t.addTombstone(id, StateSpent)
	return true
}

// ReleaseExpired releases the results whose retention has ended by now and returns the
// IDs of their attempts.
func (t *Table) ReleaseExpired(now time.Time) []ID {
	var out []ID
	for id, a := range t.live {
		if a.state == StateDone && !now.Before(a.retainUntil) {
			out = append(out, id)
		}
	}
	for _, id := range out {
		t.Release(id)
	}
	return out
}

// NumInFlight returns the number of queued and running attempts.
func (t *Table) NumInFlight() int {
	n := 0
	for _, a := range t.live {
		if a.state == StateRunning || a.state == StateQueued {
			n++
		}
	}
	return n
}

// addTombstone records the final state of an attempt that is no longer live. It
// evicts the oldest tombstones above the maximum.
func (t *Table) addTombstone(id ID, s State) {
	t.tombstones[id] = s
	t.tombstoneOrder = append(t.tombstoneOrder, id)
	for len(t.tombstoneOrder) > t.MaxTombstones {
		old := t.tombstoneOrder[0]
		t.tombstoneOrder = t.tombstoneOrder[1:]
		delete(t.tombstones, old)
		if seq, ok := t.expiredUpTo[old.Entry]; ok {
			t.expiredUpTo[old.Entry] = max(seq, old.Seq)
		}
	}
}
