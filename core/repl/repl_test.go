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

// modelStore is the store that the replicas of a test copy. It keeps all changes of
// all eras.
type modelStore struct {
	era      int64
	revision int64
	floor    int64                  // changes up to this revision are discarded
	eras     map[int64][]repl.Entry // changes by era
}

func (s *modelStore) write(key string, removed bool) {
	s.revision++
	s.eras[s.era] = append(s.eras[s.era], repl.Entry{
		Key: key, Value: fmt.Appendf(nil, "%d/%d", s.era, s.revision), Revision: s.revision, Removed: removed,
	})
}

// restore begins another era with the changes up to a revision.
func (s *modelStore) restore(revision int64) {
	var kept []repl.Entry
	for _, e := range s.eras[s.era] {
		if e.Revision <= revision {
			kept = append(kept, e)
		}
	}
	s.era++
	s.eras[s.era], s.revision, s.floor = kept, revision, min(s.floor, revision)
}

// at returns the entries of the store at a point, by key.
func (s *modelStore) at(p repl.Point) map[string]repl.Entry {
	out := make(map[string]repl.Entry)
	for _, e := range s.eras[p.Era] {
		switch {
		case e.Revision > p.Revision:
		case e.Removed:
			delete(out, e.Key)
		default:
			out[e.Key] = e
		}
	}
	return out
}

func (s *modelStore) point() repl.Point { return repl.Point{Era: s.era, Revision: s.revision} }

// all returns a read of the whole store.
func (s *modelStore) all() repl.Update {
	u := repl.Update{Full: true, To: s.revision, Era: s.era}
	for _, e := range s.at(s.point()) {
		u.Entries = append(u.Entries, e)
	}
	return u
}

// since returns a read of the changes after a point, or of the whole store if they
// are discarded or of another era.
func (s *modelStore) since(after repl.Point) repl.Update {
	if after.Revision < s.floor || after.Era != s.era {
		return s.all()
	}
	u := repl.Update{After: after.Revision, To: s.revision, Era: s.era}
	for _, e := range s.eras[s.era] {
		if e.Revision > after.Revision {
			u.Entries = append(u.Entries, e)
		}
	}
	return u
}

// modelReplica is a replica, and what its user knows from the changes that it
// returned.
type modelReplica struct {
	repl.Table
	view map[string]repl.Entry // listed entries by key
	last map[string]repl.Point // of the last change, by key
}

func (r *modelReplica) apply(t *rapid.T, u repl.Update) {
	before := r.Point()
	changes, err := r.Apply(u)
	switch {
	case errors.Is(err, repl.ErrFormerEra):
		if u.Era >= before.Era {
			t.Fatalf("an update of era %d is rejected in era %d", u.Era, before.Era)
		}
		return
	case errors.Is(err, repl.ErrGap):
		if u.Full || (before.Revision >= 0 && u.Era == before.Era && u.After <= before.Revision) {
			t.Fatalf("changes after %d of era %d are rejected at %v", u.After, u.Era, before)
		}
		return
	}
	if u.Era != before.Era {
		for key, e := range r.view { // what isn't reported is the same in the new era
			r.last[key] = repl.Point{Era: u.Era, Revision: min(e.Revision, u.To)}
		}
	}
	for _, e := range changes {
		p := repl.Point{Era: u.Era, Revision: e.Revision}
		if u.Era == before.Era && !r.last[e.Key].Before(p) {
			t.Fatalf("key %s reverts from %v to %v", e.Key, r.last[e.Key], p)
		}
		r.last[e.Key] = p
		if e.Removed {
			delete(r.view, e.Key)
		} else {
			r.view[e.Key] = e
		}
	}
	if r.Point().Before(before) {
		t.Fatalf("the replica reverts from %v to %v", before, r.Point())
	}
}

// check compares what the user of a replica knows with the store at the replica's
// point. Entries may be newer than that.
func (r *modelReplica) check(t *rapid.T, s *modelStore) {
	p := r.Point()
	if p.Revision < 0 {
		return
	}
	want := s.at(p)
	for key, e := range want {
		got, listed := r.view[key]
		if r.last[key].Before(repl.Point{Era: p.Era, Revision: e.Revision}) || (listed && got.Revision == e.Revision && string(got.Value) != string(e.Value)) {
			t.Fatalf("at %v, key %s is %s of %v, want %s", p, key, got.Value, r.last[key], e.Value)
		}
	}
	for key, e := range r.view {
		if _, ok := want[key]; !ok && e.Revision <= p.Revision {
			t.Fatalf("at %v, key %s is listed with revision %d, but was removed", p, key, e.Revision)
		}
	}
}

// TestReplicasNeverRevert reads the store and exchanges changes between replicas in
// random order, with messages that are delayed, repeated and lost, and a store that
// discards its history and is restored from older copies. No key may revert or keep an entry that was removed, and all
// replicas must agree once they have the same revision.
func TestReplicasNeverRevert(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := modelStore{eras: make(map[int64][]repl.Entry)}
		replicas := make([]*modelReplica, 4)
		for i := range replicas {
			replicas[i] = &modelReplica{view: make(map[string]repl.Entry), last: make(map[string]repl.Point)}
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
				_, exists := store.at(store.point())[key]
				store.write(key, exists && rapid.Bool().Draw(t, "removed"))
			},
			"restore": func(t *rapid.T) {
				store.restore(rapid.Int64Range(max(0, store.revision-4), store.revision).Draw(t, "copy"))
			},
			"compact": func(*rapid.T) { store.floor = store.revision },
			"read": func(t *rapid.T) {
				r := pick(t)
				inFlight = append(inFlight, store.since(r.Point()))
			},
			"ask": func(t *rapid.T) {
				from, to := pick(t), pick(t)
				if from.Revision() >= 0 {
					inFlight = append(inFlight, from.Since(to.Point()))
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
			if got := r.Point(); got != store.point() {
				t.Fatalf("after a read of all entries, the replica is at %v, the store at %v", got, store.point())
			}
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
	if got := r.Since(repl.Point{Revision: n}); !got.Full {
		t.Errorf("a replica at revision %d is sent the changes only, want all entries", n)
	}
	if got := r.Since(repl.Point{Revision: n + 1}); got.Full || len(got.Entries) != 1 {
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

// TestReaderStartsAtOnce guards against relays that all start together and wait for
// one another's replica before any of them reads the store.
func TestReaderStartsAtOnce(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	for _, jitter := range []float64{0, 0.5, 1} {
		f := repl.Follower{Self: "a", Started: start, Jitter: jitter}
		if f.ShouldRead(start.Add(5*time.Millisecond), true, 4, 0) {
			t.Errorf("jitter %v: the reader doesn't wait to learn of others", jitter)
		}
		if !f.ShouldRead(start.Add(50*time.Millisecond), true, 4, 0) {
			t.Errorf("jitter %v: the reader waits for a replica of another one", jitter)
		}
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

// TestTransferDefersRead guards against processes that read the store while another one
// sends them the same changes over the same slow network link, so that neither ends.
func TestTransferDefersRead(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	f := repl.Follower{Self: "a", Started: start}
	at := func(d time.Duration) time.Time { return start.Add(d) }
	for d := 100 * time.Millisecond; d <= 5*time.Second; d += 100 * time.Millisecond {
		f.RecordTransfer(at(d))
		if f.ShouldRead(at(d), false, 4, 0) {
			t.Fatalf("reads the store after %v, while changes arrive", d)
		}
	}
	if !f.ShouldRead(at(5*time.Second), true, 4, 0) {
		t.Error("a reader doesn't read the store")
	}
	if !f.ShouldRead(at(6*time.Second), false, 4, 0) {
		t.Error("doesn't read the store a second after the last part of the changes")
	}
}
