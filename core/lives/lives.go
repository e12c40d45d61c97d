// Package lives remembers which incarnations of endpoints have ended, or may have. What
// answers at the address of such an endpoint may be its next incarnation, of another
// software version, while the store still lists the former one.
package lives

import (
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"wigeonplank.example/core/fleet"
	"wigeonplank.example/core/poison"
)

const (
	memory   = time.Minute // for which the marks of incarnations that aren't listed are kept
	maxMarks = 4096
)

// errTooMany reports that a mark was dropped.
var errTooMany = errors.New("too many incarnations have ended")

// Incarnation identifies an endpoint between two starts.
type Incarnation struct {
	ID          string
	StartUnixMs int64
}

// Of returns the incarnation of an endpoint.
func Of(e *fleet.Endpoint) Incarnation { return Incarnation{ID: e.ID, StartUnixMs: e.StartUnixMs} }

// mark is what is known of an incarnation.
type mark struct {
	doubtedAt time.Time // last sign of its end
	livedAt   time.Time // last sign of its life that came after one of its end
	ended     bool      // the sign of its end was certain, so that other processes are told
	changed   int       // version of the table at which ended was set
}

func (m mark) doubted() bool { return !m.doubtedAt.IsZero() && !m.livedAt.After(m.doubtedAt) }

// Table holds the marks of incarnations. The zero value is empty. It is not safe for
// concurrent use.
type Table struct {
	marks   map[Incarnation]mark
	version int
}

// Doubt records a sign that an incarnation may have ended. ended tells that it has for
// certain. It reports whether the incarnation wasn't doubted before, and an error if there
// is no room for the mark.
func (t *Table) Doubt(at time.Time, in Incarnation, ended bool) (bool, error) {
	m, ok := t.marks[in]
	if !ok && len(t.marks) >= maxMarks {
		return false, errTooMany
	}
	if t.marks == nil {
		t.marks = make(map[Incarnation]mark)
	}
	before := m.doubted()
	if at.After(m.doubtedAt) {
		m.doubtedAt = at
	}
	if m.doubted() && ended && (!before || !m.ended) {
		t.version++
		m.ended, m.changed = true, t.version
	}
	t.marks[in] = m
	return m.doubted() && !before, nil
}

// Lived records that a doubted incarnation lived at a time.
func (t *Table) Lived(at time.Time, in Incarnation) {
	if m, ok := t.marks[in]; ok && at.After(m.livedAt) {
		m.livedAt = at
		t.marks[in] = m
	}
}

// Doubted reports whether an incarnation has ended or may have.
func (t *Table) Doubted(in Incarnation) bool { return t.marks[in].doubted() }

// Len returns the number of marks.
func (t *Table) Len() int { return len(t.marks) }

// Prune drops the marks of incarnations that aren't listed and have ended some time ago.
func (t *Table) Prune(now time.Time, listed func(in Incarnation) bool) {
	for in, m := range t.marks {
		if now.Sub(m.doubtedAt) > memory && !listed(in) {
			delete(t.marks, in)
		}
	}
}

// Changes returns the incarnations that have ended for certain since a version, encoded for
// Merge, and the current version.
func (t *Table) Changes(now time.Time, after int) ([][]byte, int, error) {
	var out [][]byte
	for in, m := range t.marks {
		if m.changed <= after || !m.ended || !m.doubted() {
			continue
		}
		raw, err := proto.Marshal(&poison.CrashState{Endpoint: in.ID, Incarnation: in.StartUnixMs, AgeUs: now.Sub(m.doubtedAt).Microseconds()})
		if err != nil {
			return nil, after, fmt.Errorf("encode end of %s: %w", in.ID, err)
		}
		out = append(out, raw)
	}
	return out, t.version, nil
}

// Merge adds records of another process. It returns the incarnations that weren't doubted
// before, and an error for the last invalid record.
func (t *Table) Merge(now time.Time, records [][]byte) ([]Incarnation, error) {
	var added []Incarnation
	var failed error
	for _, raw := range records {
		var w poison.CrashState
		if err := proto.Unmarshal(raw, &w); err != nil {
			failed = fmt.Errorf("decode end of an endpoint: %w", err)
			continue
		}
		in := Incarnation{ID: w.GetEndpoint(), StartUnixMs: w.GetIncarnation()}
		isNew, err := t.Doubt(now.Add(-max(0, time.Duration(w.GetAgeUs())*time.Microsecond)), in, true)
		if err != nil {
			failed = err
		}
		if isNew {
			added = append(added, in)
		}
	}
	return added, failed
}
