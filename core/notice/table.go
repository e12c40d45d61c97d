package notice

import (
	"slices"
	"strings"
	"time"
)

// Entry is the notice of one incarnation of an endpoint.
type Entry struct {
	Endpoint    string // ID
	Incarnation int64  // start of the endpoint's incarnation, ms since 1970
	Notice      Notice
}

// unlistedRetention is how long the notice of an endpoint is kept that the store no
// longer lists, as it may list the same incarnation again.
const unlistedRetention = time.Minute

// Table holds the latest notice of each endpoint. The zero value is empty. It is
// not safe for concurrent use.
type Table struct {
	entries map[string]tableEntry // by endpoint ID
	version int                   // counts the changes to pass on
}

type tableEntry struct {
	Entry
	changed  int       // version of the table at which it became news
	passedOn time.Time // of the notice that became news
	unlisted time.Time // when the endpoint was first found unlisted; zero: it is listed
}

// Put records a notice, as far as no later one is known. It returns the notices in
// force before and after. That of a former incarnation changes nothing.
func (t *Table) Put(e Entry) (before, after Notice) {
	cur, known := t.entries[e.Endpoint]
	if known && e.Incarnation < cur.Incarnation {
		return cur.Notice, cur.Notice
	}
	if !known || cur.Incarnation != e.Incarnation {
		cur = tableEntry{}
	}
	before = cur.Notice
	after = e.Notice.after(before)
	changed := !after.Says(before)
	// What another relay reports is passed on if it is later than what was passed on
	// last, and the answer to it if that relay doesn't know the limit in force.
	news := e.Notice.source != "" && (e.Notice.at.After(cur.passedOn) || !e.Notice.SameLimit(after))
	if !known && !changed && !news && after.closedUntil.IsZero() {
		return before, after // the endpoint has announced nothing yet
	}
	e.Notice = after
	cur.Entry = e
	if changed || news {
		t.version++
		cur.changed, cur.passedOn = t.version, after.at
	}
	if t.entries == nil {
		t.entries = make(map[string]tableEntry)
	}
	t.entries[e.Endpoint] = cur
	return before, after
}

// Len returns the number of endpoints that have announced something.
func (t *Table) Len() int { return len(t.entries) }

// Get returns the notice of an incarnation of an endpoint.
func (t *Table) Get(endpoint string, incarnation int64) Notice {
	e := t.entries[endpoint]
	if e.Incarnation != incarnation {
		return Notice{}
	}
	return e.Notice
}

// News returns the entries that changed after a version, sorted by endpoint, and the
// current version.
func (t *Table) News(after int) ([]Entry, int) {
	var out []Entry
	for _, e := range t.entries {
		if e.changed > after {
			out = append(out, e.Entry)
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return strings.Compare(a.Endpoint, b.Endpoint) })
	return out, t.version
}

// Prune drops the entries of endpoints that have not been listed for
// unlistedRetention.
func (t *Table) Prune(now time.Time, listed func(endpoint string) bool) {
	for id, e := range t.entries {
		switch {
		case listed(id):
			e.unlisted = time.Time{}
		case e.unlisted.IsZero():
			e.unlisted = now
		case now.Sub(e.unlisted) > unlistedRetention:
			delete(t.entries, id)
			continue
		}
		t.entries[id] = e
	}
}
