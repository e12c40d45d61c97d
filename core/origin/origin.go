// Package origin remembers at which software version streams began. What two
// versions generate doesn't fit together, so a stream goes on only at its version.
package origin

import "time"

// Lifetime is how long the origin of a stream is remembered. Callers give a stream
// up well before.
const Lifetime = 45 * time.Second

// maxStreams bounds the memory of a Table to a few megabytes. The oldest streams are
// dropped first.
const maxStreams = 50_000

// Origin is where a stream began. The zero Origin is that of a stream whose version can't
// be known.
type Origin struct {
	Service string
	Version string // of the software of the endpoint; empty if it was not known yet
	// Presumed is the incarnation whose version is that of the stream. It is zero if the version
	// is known.
	Presumed Incarnation
}

// confirms reports whether an origin names the version that a presumed one lacks.
func (o Origin) confirms(presumed Origin) bool {
	return o.Service == presumed.Service && o.Presumed == (Incarnation{}) && presumed.Presumed != (Incarnation{}) &&
		(presumed.Version == "" || presumed.Version == o.Version)
}

// Incarnation is the incarnation of an endpoint that has sent the first event of a stream.
type Incarnation struct {
	Endpoint    string // ID
	StartUnixMs int64
}

// Table holds the origins of streams by the ID of the caller's attempt that
// began them. The zero value is empty. It is not safe for concurrent use.
type Table struct {
	records map[string]record
	order   []string // IDs in the order of their records; the first skipped ones were dropped
	skipped int
}

type record struct {
	origin Origin
	at     time.Time
}

// Put records the origin of a stream. The first record of a stream stays, unless it turns
// out that the version can't be known, or which one it is.
func (t *Table) Put(now time.Time, stream string, o Origin) {
	t.expire(now)
	if r, ok := t.records[stream]; ok {
		if o == (Origin{}) || o.confirms(r.origin) {
			r.origin = o
			t.records[stream] = r
		}
		return
	}
	if t.records == nil {
		t.records = make(map[string]record)
	}
	t.records[stream] = record{origin: o, at: now}
	t.order = append(t.order, stream)
}

// Get returns the origin of a stream, and false if it is not known.
func (t *Table) Get(now time.Time, stream string) (Origin, bool) {
	t.expire(now)
	r, ok := t.records[stream]
	return r.origin, ok
}

// Len returns the number of streams.
func (t *Table) Len() int { return len(t.records) }

// expire drops the streams that are older than Lifetime or too many.
func (t *Table) expire(now time.Time) {
	for t.skipped < len(t.order) {
		id := t.order[t.skipped]
		if now.Sub(t.records[id].at) <= Lifetime && len(t.records) < maxStreams {
			break
		}
		delete(t.records, id)
		t.skipped++
	}
	if t.skipped > len(t.order)/2 {
		t.order = append([]string(nil), t.order[t.skipped:]...)
		t.skipped = 0
	}
}
