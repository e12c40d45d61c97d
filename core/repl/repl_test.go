package repl_test

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"wigeonplank.example/core/repl"
)

// modelStore is the store that the replicas of a test copy. It keeps all changes.
type modelStore struct {
	revision int64
	floor    int64 // changes up to this revision are discarded
	changes  []repl.Entry
}

func (s *modelStore) write(key string, removed bool) {
	s.revision++
	s.changes = append(s.changes, repl.Entry{Key: key, Value: fmt.Append(nil, s.revision), Revision: s.revision, Removed: removed})
}

// at returns the entries of the store at a revision, by key.
func (s *modelStore) at(revision int64) map[string]int64 {
	out := make(map[string]int64)
	for _, e := range s.changes {
		switch {
		case e.Revision > revision:
		case e.Removed:
			delete(out, e.Key)
		default:
			out[e.Key] = e.Revision
		}
	}
	return out
}

// all returns a read of the whole store.
func (s *modelStore) all() repl.Update {
	u := repl.Update{Full: true, To: s.revision}
	for key, revision := range s.at(s.revision) {
		u.Entries = append(u.Entries, repl.Entry{Key: key, Revision: revision})
	}
	return u
}

// since returns a read of the changes after a revision, or of the whole store if
// they are discarded.
func (s *modelStore) since(after int64) repl.Update {
	if after < s.floor {
		return s.all()
	}
	u := repl.Update{After: after, To: s.revision}
	for _, e := range s.changes {
		if e.Revision > after {
			u.Entries = append(u.Entries, e)
		}
	}
	return u
}

// modelReplica is a replica, and what its user knows from the changes that it
// returned.
type modelReplica struct {
	repl.Table
	view map[string]int64 // revisions by key
	last map[string]int64 // highest revision ever seen, by key
}

func (r *modelReplica) apply(t *rapid.T, u repl.Update) {
	before := r.Revision()
	changes, err := r.Apply(u)
	if errors.Is(err, repl.ErrGap) {
		if u.Full || (before >= 0 && u.After <= before) {
			t.Fatalf("changes after %d are rejected at %d", u.After, before)
		}
		return
	}
	for _, e := range changes {
		if e.Revision <= r.last[e.Key] {
			t.Fatalf("key %s reverts from revision %d to %d", e.Key, r.last[e.Key], e.Revision)
		}
		r.last[e.Key] = e.Revision
		if e.Removed {
			delete(r.view, e.Key)
		} else {
			r.view[e.Key] = e.Revision
		}
	}
	if r.Revision() < before {
		t.Fatalf("the revision reverts from %d to %d", before, r.Revision())
	}
}

// check compares what the user of a replica knows with the store at the replica's
// revision. Entries may be newer than that.
func (r *modelReplica) check(t *rapid.T, s *modelStore) {
	if r.Revision() < 0 {
		return
	}
	want := s.at(r.Revision())
	for key, revision := range want {
		if r.last[key] < revision {
			t.Fatalf("at revision %d, key %s is at %d, want %d", r.Revision(), key, r.view[key], revision)
		}
	}
	for key, revision := range r.view {
		if _, ok := want[key]; !ok && revision <= r.Revision() {
			t.Fatalf("at revision %d, key %s is listed with revision %d, but was removed", r.Revision(), key, revision)
		}
	}
}

// TestReplicasNeverRevert reads the store and exchanges changes between replicas in
// random order, with messages that are delayed, repeated and lost, and a store that
// discards its history. No key may revert or keep an entry that was removed, and all
// replicas must agree once they have the same revision.
func TestReplicasNeverRevert(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var store modelStore
		replicas := make([]*modelReplica, 4)
		for i := range replicas {
			replicas[i] = &modelReplica{view: make(map[string]int64), last: make(map[string]int64)}
		}
		pick := func(t *rapid.T) *modelReplica { return rapid.SampledFrom(replicas).Draw(t, "replica") }
		var inFlight []repl.Update
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) {
				for _, r := range replicas {
					r.check(t, &store)
				}
			},
			"write": func(t *rapid.T) {
				key := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "key")
				_, exists := store.at(store.revision)[key]
				store.write(key, exists && rapid.Bool().Draw(t, "removed"))
			},
			"compact": func(*rapid.T) { store.floor = store.revision },
			"read": func(t *rapid.T) {
				r := pick(t)
				inFlight = append(inFlight, store.since(r.Revision()))
			},
			"ask": func(t *rapid.T) {
				from, to := pick(t), pick(t)
				if from.Revision() >= 0 {
					inFlight = append(inFlight, from.Since(to.Revision()))
				}
			},
			"deliver": func(t *rapid.T) {
				if len(inFlight) == 0 {
					return
				}
				i := rapid.IntRange(0, len(inFlight)-1).Draw(t, "message")
				pick(t).apply(t, inFlight[i])
				if rapid.Bool().Draw(t, "consumed") {
					inFlight = slices.Delete(inFlight, i, i+1)
				}
			},
		})
		for _, r := range replicas {
			r.apply(t, store.all())
			r.check(t, &store)
		}
	})
}

// TestForgottenRemovals checks that a replica that lacks removals which are
// forgotten is sent all entries.
func TestForgottenRemovals(t *testing.T) {
	var r repl.Table
	const n = 3000
	u := repl.Update{Full: true, To: n}
	for i := range n {
		u.Entries = append(u.Entries, repl.Entry{Key: fmt.Sprint(i), Revision: int64(i + 1)})
	}
	if _, err := r.Apply(u); err != nil {
		t.Fatal(err)
	}
	if _, err := r.Apply(repl.Update{Full: true, To: n + 1}); err != nil {
		t.Fatal(err)
	}
	if _, err := r.Apply(repl.Update{After: n + 1, To: n + 2, Entries: []repl.Entry{{Key: "x", Revision: n + 2}}}); err != nil {
		t.Fatal(err)
	}
	if got := r.Since(n); !got.Full {
		t.Errorf("a replica at revision %d is sent the changes only, want all entries", n)
	}
	if got := r.Since(n + 1); got.Full || len(got.Entries) != 1 {
		t.Errorf("a replica at revision %d is sent %d entries, want 1", n+1, len(got.Entries))
	}
}

// TestOneReaderIsEnough checks that processes without the duty to read leave the
// store alone while they learn of contacts, read it soon after these end, and don't
// all probe it while it doesn't respond.
func TestOneReaderIsEnough(t *testing.T) {
	const size = 64
	start := time.Unix(1_000_000, 0)
	followers := make([]repl.Follower, size)
	for i := range followers {
		followers[i] = repl.Follower{Self: fmt.Sprint("r", i), Started: start, Jitter: float64(i) / size}
	}
	reads := make([]int, size)
	run := func(from, to time.Duration, contact bool, failures int) (total int) {
		for at := from; at < to; at += 100 * time.Millisecond {
			now := start.Add(at)
			for i := range followers {
				if contact && i > 0 {
					followers[i].RecordOther(repl.Contact{At: now.Add(-2 * time.Second), Origin: "r0"})
				}
				if followers[i].ShouldRead(now, false, size, failures) {
					reads[i]++
					total++
				}
			}
		}
		return total
	}
	if n := run(0, 400*time.Millisecond, false, 0); n > 0 {
		t.Errorf("%d reads right after the start, want 0", n)
	}
	clear(reads)
	run(2*time.Second, 10*time.Second, true, 0)
	for i, n := range reads[1:] {
		if n > 0 {
			t.Errorf("process %d reads the store %d times while it learns of contacts", i+1, n)
		}
	}
	clear(reads)
	run(10*time.Second, 14*time.Second, false, 0)
	for i, n := range reads[1:] {
		if n == 0 {
			t.Errorf("process %d doesn't read the store 4 s after the last contact", i+1)
		}
	}
	const seconds = 40
	if n := run(20*time.Second, (20+seconds)*time.Second, false, 1); n > 2*8*seconds {
		t.Errorf("%d probes in %d s of an outage, want at most %d", n, seconds, 2*8*seconds)
	}
}

// TestOwnContactIsNotAnothers guards against processes that take a contact of their
// own, which comes back to them through another process, for one of that process.
func TestOwnContactIsNotAnothers(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	f := repl.Follower{Self: "a", Started: now.Add(-time.Minute)}
	f.RecordOwn(now)
	f.RecordOther(repl.Contact{At: now, Origin: "a"})
	if !f.ShouldRead(now, false, 2, 0) {
		t.Error("the process doesn't read the store, though no other one does")
	}
}
