// Package repl replicates the entries of a store that can only be read among the
// processes that need them. A few processes read the store; the others are told of
// new revisions and request the changes that they lack. Nothing in a replica ever
// reverts to an earlier revision. The package does no I/O.
package repl

import (
	"bytes"
	"errors"
	"iter"
	"maps"
	"slices"
	"strings"
)

// maxTombstones is the number of removals that a Table remembers. A process that
// lacks older ones is sent all entries.
const maxTombstones = 1024

// ErrGap reports changes that begin after the revision that a Table has, so that
// changes between the two are missing.
var ErrGap = errors.New("changes begin after the revision of the replica")

// ErrFormerEra reports an update from before the store was restored from a copy.
var ErrFormerEra = errors.New("update of a former era of the store")

// Point is a point in the history of the store. A store that is restored from an
// older copy begins another era, in which it gives revisions out again.
type Point struct {
	Era      int64
	Revision int64 // -1: nothing was read
}

// Before reports whether p comes before q.
func (p Point) Before(q Point) bool {
	if p.Era != q.Era {
		return p.Era < q.Era
	}
	return p.Revision < q.Revision
}

// Entry is a key of the store with its value, or a change to it.
type Entry struct {
	Key      string
	Value    []byte
	Revision int64 // revision of the last change
	Created  int64 // revision at which the key was added; 0: not known
	Removed  bool  // the key was removed at Revision
}

// Update is a set of changes.
type Update struct {
	Entries []Entry
	Full    bool  // Entries are all entries of the store, rather than the changes after After
	After   int64 // revision after which the changes begin; ignored if Full is set
	To      int64 // revision up to which Entries are complete
	Era     int64 // of all revisions
}

// Table is a replica of the store's entries. The zero value is empty. It is not
// safe for concurrent use.
type Table struct {
	loaded   bool
	era      int64
	revision int64
	entries  map[string]Entry
	removals map[string]int64 // revisions of removed keys
	floor    int64            // removals up to this revision may be unknown
}

// Revision returns the revision up to which the replica is complete, or -1 if
// it has not applied any update.
func (t *Table) Revision() int64 {
	if !t.loaded {
		return -1
	}
	return t.revision
}

// Point returns the point up to which the replica is complete.
func (t *Table) Point() Point { return Point{Era: t.era, Revision: t.Revision()} }

// Apply applies an update and returns the changes to the replica, by revision,
// with one for each key. A full update that is older than the replica changes
// nothing that the replica knows to be newer. An update of a former era is
// rejected, and the first one of a new era has to be full.
func (t *Table) Apply(u Update) ([]Entry, error) {
	switch {
	case t.loaded && u.Era < t.era:
		return nil, ErrFormerEra
	case t.loaded && u.Era > t.era:
		return t.replace(u)
	case !u.Full && (!t.loaded || u.After > t.revision):
		return nil, ErrGap
	}
	t.era = u.Era
	if t.entries == nil {
		t.entries, t.removals = make(map[string]Entry), make(map[string]int64)
	}
	changes := make(map[string]Entry)
	for _, e := range u.Entries {
		if t.applyEntry(e) {
			changes[e.Key] = e
		}
	}
	if u.Full {
		t.removeUnlisted(u, changes)
		if u.To > t.revision {
			t.floor = u.To // the update doesn't list the keys that were added and removed since
		}
	}
	t.loaded, t.revision = true, max(t.revision, u.To)
	t.forgetRemovals()
	out := make([]Entry, 0, len(changes))
	for _, e := range changes {
		out = append(out, e)
	}
	slices.SortFunc(out, compareEntries)
	return out, nil
}

// replace replaces the replica by the first update of a new era.
func (t *Table) replace(u Update) ([]Entry, error) {
	if !u.Full {
		return nil, ErrGap
	}
	former := t.entries
	*t = Table{}
	changes, err := t.Apply(u)
	if err != nil {
		return nil, err
	}
	changes = slices.DeleteFunc(changes, func(e Entry) bool {
		old, exists := former[e.Key]
		return exists && bytes.Equal(old.Value, e.Value)
	})
	for key := range former {
		if _, exists := t.entries[key]; !exists {
			t.removals[key] = u.To
			changes = append(changes, Entry{Key: key, Revision: u.To, Removed: true})
		}
	}
	slices.SortFunc(changes, compareEntries)
	return changes, nil
}

// applyEntry applies one entry, unless the replica has it or a newer one.
func (t *Table) applyEntry(e Entry) bool {
	old, exists := t.entries[e.Key]
	removedAt, removed := t.removals[e.Key]
	switch {
	case exists && e.Revision <= old.Revision, removed && e.Revision <= removedAt:
		return false
	case !exists && t.loaded && e.Revision <= t.revision:
		return false // a later change, which the replica has, removed the key
	}
	if !e.Removed {
		t.entries[e.Key] = e
		delete(t.removals, e.Key)
		return true
	}
	delete(t.entries, e.Key)
	t.removals[e.Key] = e.Revision
	return true
}

// Override replaces an entry by one of the same revision, or removes it, because what
// the store lists is known to be outdated. Replicas that are filled from this one get
// the same.
func (t *Table) Override(e Entry) {
	if e.Removed {
		delete(t.entries, e.Key)
		t.removals[e.Key] = e.Revision
		return
	}
	t.entries[e.Key] = e
}

// removeUnlisted removes the entries that a full update doesn't list, except those
// that are newer than it, and adds the removals to changes.
func (t *Table) removeUnlisted(u Update, changes map[string]Entry) {
	listed := make(map[string]bool, len(u.Entries))
	for _, e := range u.Entries {
		listed[e.Key] = !e.Removed
	}
	for key, e := range t.entries {
		if !listed[key] && e.Revision <= u.To {
			removal := Entry{Key: key, Revision: u.To, Removed: true}
			delete(t.entries, key)
			t.removals[key] = u.To
			changes[key] = removal
		}
	}
}

// forgetRemovals drops the older half of the removals if there are too many.
func (t *Table) forgetRemovals() {
	if len(t.removals) <= maxTombstones {
		return
	}
	revisions := make([]int64, 0, len(t.removals))
	for _, r := range t.removals {
		revisions = append(revisions, r)
	}
	slices.Sort(revisions)
	t.floor = revisions[len(revisions)/2]
	for key, r := range t.removals {
		if r <= t.floor {
			delete(t.removals, key)
		}
	}
}

// Keys returns the keys that the replica lists, in no order.
func (t *Table) Keys() iter.Seq[string] { return maps.Keys(t.entries) }

// Since returns the update that brings a replica from a point to that of this one:
// the changes, or all entries if the replica is empty, has those of another era, or is
// so old that removals since are forgotten.
func (t *Table) Since(p Point) Update {
	revision := p.Revision
	u := Update{After: revision, To: t.revision, Era: t.era, Full: revision < 0 || revision < t.floor || p.Era != t.era}
	for _, e := range t.entries {
		if u.Full || e.Revision > revision {
			u.Entries = append(u.Entries, e)
		}
	}
	if !u.Full {
		for key, r := range t.removals {
			if r > revision {
				u.Entries = append(u.Entries, Entry{Key: key, Revision: r, Removed: true})
			}
		}
	}
	slices.SortFunc(u.Entries, compareEntries)
	return u
}

// compareEntries orders entries by revision, and by key within a revision.
func compareEntries(a, b Entry) int {
	if a.Revision != b.Revision {
		if a.Revision < b.Revision {
			return -1
		}
		return 1
	}
	return strings.Compare(a.Key, b.Key)
}
