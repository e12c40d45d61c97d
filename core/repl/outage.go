package repl

import "time"

// runMemory is the age at which the reads of a process are forgotten after the last of
// them. No outage that ended earlier matters any more.
const runMemory = 30 * time.Second

// maxTimeError is the difference between two reports of the same time that came by
// different ways.
const maxTimeError = time.Second

// Outages tells outages of the store from failures of single processes to read it: a
// process that has read the store without a failure since before the end of an outage
// shows that the outage had ended before its first read, or that there was none.
// The zero value knows of no outage. It is not safe for concurrent use.
type Outages struct {
	end  time.Time
	runs map[string]run // by process
}

// run is a series of reads of one process without a failure in between.
type run struct{ first, last time.Time }

// End returns the end of the last known outage of the store, or zero if none is known.
func (o *Outages) End() time.Time { return o.end }

// RecordEnd records that a process reads the store again after a failure.
func (o *Outages) RecordEnd(end time.Time) {
	o.end = later(o.end, end)
	o.correct()
}

// RecordContact records the reads that led to a contact.
func (o *Outages) RecordContact(c Contact) {
	if c.Since.IsZero() {
		return
	}
	r, known := o.runs[c.Origin]
	switch {
	case known && c.Since.Sub(r.first).Abs() < maxTimeError:
		r = run{first: earlier(r.first, c.Since), last: later(r.last, c.At)}
	case !known || c.At.After(r.last):
		r = run{first: c.Since, last: c.At}
	}
	if o.runs == nil {
		o.runs = make(map[string]run)
	}
	o.runs[c.Origin] = r
	for origin, old := range o.runs {
		if r.last.Sub(old.last) > runMemory {
			delete(o.runs, origin)
		}
	}
	o.correct()
}

// correct moves the end of the outage to the first of the reads during which it is
// supposed to have ended.
func (o *Outages) correct() {
	for corrected := true; corrected; {
		corrected = false
		for _, r := range o.runs {
			if r.first.Before(o.end) && !r.last.Before(o.end) {
				o.end, corrected = r.first, true
			}
		}
	}
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
