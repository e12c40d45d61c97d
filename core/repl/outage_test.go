package repl_test

import (
	"testing"
	"time"

	"wigeonplank.example/core/repl"
)

// TestOutages guards against processes that take a failure of one of them for an outage of
// the store, or its end for later than the first of them noticed.
func TestOutages(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	for name, c := range map[string]struct {
		contacts []repl.Contact
		ends     []float64
		want     float64 // s; -1: no outage since the start
	}{
		"no reads are known":             {ends: []float64{13}, want: 13},
		"one process fails":              {contacts: []repl.Contact{{Origin: "a", Since: at(-60), At: at(14)}}, ends: []float64{13}, want: -1},
		"not read since":                 {contacts: []repl.Contact{{Origin: "a", Since: at(-60), At: at(12)}}, ends: []float64{13}, want: 13},
		"all fail, one returns first":    {contacts: []repl.Contact{{Origin: "a", Since: at(-60), At: at(10)}, {Origin: "a", Since: at(13), At: at(15)}}, ends: []float64{13, 14.5}, want: 13},
		"reported late":                  {contacts: []repl.Contact{{Origin: "a", Since: at(13.2), At: at(14)}, {Origin: "a", Since: at(13), At: at(13.5)}}, ends: []float64{13.4}, want: 13},
		"older news last":                {contacts: []repl.Contact{{Origin: "a", Since: at(13), At: at(15)}, {Origin: "a", Since: at(-60), At: at(10)}}, ends: []float64{13}, want: 13},
		"one process fails, by hearsay":  {contacts: []repl.Contact{{Origin: "b", Since: at(13), At: at(14)}, {Origin: "a", Since: at(-60), At: at(14)}}, ends: []float64{13, 13.1}, want: -1},
		"reads from before an outage":    {contacts: []repl.Contact{{Origin: "a", Since: at(-60), At: at(10)}, {Origin: "b", Since: at(13), At: at(14)}}, ends: []float64{13}, want: 13},
		"a release that doesn't tell it": {contacts: []repl.Contact{{Origin: "a", At: at(14)}}, ends: []float64{13}, want: 13},
	} {
		t.Run(name, func(t *testing.T) {
			for _, endsFirst := range []bool{true, false} {
				var o repl.Outages
				end := func() {
					for _, s := range c.ends {
						o.RecordEnd(at(s))
					}
				}
				if endsFirst {
					end()
				}
				for _, contact := range c.contacts {
					o.RecordContact(contact)
				}
				if !endsFirst {
					end()
				}
				if got := o.End().Sub(start).Seconds(); got != c.want && (c.want >= 0 || got >= 0) {
					t.Errorf("an outage ended at %v s, want %v (ends first: %v)", got, c.want, endsFirst)
				}
			}
		})
	}
}

// TestOwnReads checks which reads of a process follow one another without a failure.
func TestOwnReads(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	f := repl.Follower{Self: "a", Started: now}
	read := func(when string, pause, want time.Duration) {
		t.Helper()
		now = now.Add(pause)
		if got := now.Sub(f.RecordOwn(now).Since); got != want {
			t.Errorf("%s: read without a failure for %s, want %s", when, got, want)
		}
	}
	read("first", 0, 0)
	read("second", 4*time.Second, 4*time.Second)
	f.Interrupt(now.Add(time.Second))
	read("after a failure", time.Second, 0)
	read("second after it", time.Second, time.Second)
	read("after a pause", 7*time.Second, 0)
}
