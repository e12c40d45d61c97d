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

// supersededBy reports whether other is in force rather than e.
func (e Entry) supersededBy(other Entry) bool {
	if e.Incarnation != other.Incarnation {
		return e.Incarnation < other.Incarnation
	}
	if !e.Notice.at.Equal(other.Notice.at) {
		return e.Notice.at.Before(other.Notice.at)
	}
	return !e.Notice.stricterThan(other.Notice)
}

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
}

// Put records a notice, unless that of a later time or of a later incarnation is
// known. It reports whether the endpoint announces something else than before.
func (t *Table) Put(e Entry) bool {
	cur, known := t.entries[e.Endpoint]
	if known && e.supersededBy(cur.Entry) {
		// The relay that sent e may not know the later notice, or others may not.
		if e.Incarnation == cur.Incarnation && (!e.Notice.Says(cur.Notice) || cur.isNews(e)) {
			t.passOn(cur)
		}
		return false
	}
	if !known || cur.Incarnation != e.Incarnation {
		cur = tableEntry{}
	}
	changed, news := !e.Notice.Says(cur.Notice), cur.isNews(e)
	if !known && !changed && !news {
		return false // the endpoint has announced nothing yet
	}
	cur.Entry = e
	if changed || news {
		t.passOn(cur)
	} else {
		t.entries[e.Endpoint] = cur
	}
	return changed
}

// isNews reports whether another relay reported a notice that is later than the one
// that was last passed on.
func (cur tableEntry) isNews(e Entry) bool {
	return e.Notice.source != "" && e.Notice.at.After(cur.passedOn)
}

// passOn stores an entry and adds it to the news.
func (t *Table) passOn(e tableEntry) {
	if t.entries == nil {
		t.entries = make(map[string]tableEntry)
	}
	t.version++
	e.changed, e.passedOn = t.version, e.Notice.at
	t.entries[e.Endpoint] = e
}

// Get returns the notice of an incarnation of an endpoint.
func (t *Table) Get(endpoint string, incarnation int64) Notice {
	e := t.entries[endpoint]
	if e.Incarnation != incarnation {
		return Notice{}
	}
	return e.Notice
}

// News returns the entries that changed after a version, except those that were
// learned from the relay named to, sorted by endpoint, and the current version.
func (t *Table) News(after int, to string) ([]Entry, int) {
	var out []Entry
	for _, e := range t.entries {
		if e.changed > after && (e.Notice.Source() == "" || e.Notice.Source() != to) {
			out = append(out, e.Entry)
		}
	}
	slices.SortFunc(out, func(a, b Entry) int { return strings.Compare(a.Endpoint, b.Endpoint) })
	return out, t.version
}

// Prune drops the entries of endpoints that keep doesn't want.
func (t *Table) Prune(keep func(endpoint string) bool) {
	for id := range t.entries {
		if !keep(id) {
			delete(t.entries, id)
		}
	}
}
