package ctrl

import (
	"io"
	"testing"
	"time"

	"wigeonplank.example/core/clock"
	"wigeonplank.example/core/repl"
	"wigeonplank.example/fakes/site"
	plat "wigeonplank.example/platform"
	"wigeonplank.example/relay/logs"
)

// maxApplyDelay is the longest time in which a change has to take effect once the
// store counts as stable again, which is 3 s after the end of an outage.
const maxApplyDelay = 2 * time.Second

// TestSilentOutageEnds guards against slow reads after an outage in which the
// store doesn't respond. A request sent just before the end of the outage is
// never answered, so a change can arrive only with the read after it.
func TestSilentOutageEnds(t *testing.T) {
	for failures := 1; failures < 20; failures++ {
		maxWait, timeout := readTiming(aloneWatchWait, failures)
		worst := maxWait + timeout + maxBackoff
		if worst > maxApplyDelay {
			t.Errorf("after %d failures a change may be delayed by %s, want at most %s", failures, worst, maxApplyDelay)
		}
	}
}

// limits are the users' shortest ones.
var limits = Limits{Drain: 2 * time.Second, Stable: 3 * time.Second, Return: 2 * time.Second}

// worstRead is the longest time between two reads while entries are missing.
const worstRead = missingCoalesceDelay + missingWatchWait + 100*time.Millisecond

// TestMissingEndpointIsDroppedInTime guards against requests to an endpoint later than
// the users' shortest drain time after its removal was read, or was confirmed by a stable
// store, because reads were half a second apart, or because a relay that doesn't read the
// store waited for the next heartbeat. It checks all moments at which a removal is read.
func TestMissingEndpointIsDroppedInTime(t *testing.T) {
	const (
		step        = 50 * time.Millisecond
		heartbeat   = 1500 * time.Millisecond // between two heartbeats of an idle link
		lastRequest = 100 * time.Millisecond  // on its way when the endpoint is dropped
	)
	for read := time.Duration(0); read < 6*time.Second; read += step {
		reader, follower := newFixture(), newFixture()
		follower.follow(reader)
		reader.read(false, reader.entry("a"), reader.entry("b"))
		reader.clock.Advance(2 * time.Second)
		reader.read(true)
		reader.clock.Advance(read)
		reader.read(false, reader.removal("a"))
		first, lag := time.Duration(-1), time.Duration(0)
		for next := worstRead; ; lag += step {
			if lag == next {
				reader.read(false)
				next += worstRead
			}
			if lag%heartbeat == heartbeat-step {
				reader.Announce()
			}
			if lag%turnInterval == 0 {
				follower.apply(update{recheck: true})
			}
			using := len(reader.View().Endpoints("s")) + len(follower.View().Endpoints("s")) - 2
			if using < 2 && first < 0 {
				first = lag
			}
			if using == 0 {
				break
			}
			reader.clock.Advance(step)
		}
		if longest := limits.Drain - lastRequest; lag > longest {
			t.Errorf("removal read %s after an outage: used for %s more, want at most %s", read, lag, longest)
		}
		if shortest := min(limits.Return-read, limits.Drain-dropDelay) - maxContactError; first < shortest {
			t.Errorf("removal read %s after an outage: dropped %s later, but an entry may take %s to return", read, first, shortest)
		}
		if read >= limits.Return && lag > 0 {
			t.Errorf("removal read %s after an outage: used for %s more, want 0", read, lag)
		}
	}
	// The relay that reads may notice the end of an outage late, but not so late that the
	// drain time of a removal that a stable store has confirmed is over.
	lateEnd := longProbeTimeout + maxBackoff
	if worst := lateEnd + limits.Return + worstRead + turnInterval + lastRequest; worst > limits.Stable+limits.Drain {
		t.Errorf("an endpoint may be used until %s after an outage, want at most %s", worst, limits.Stable+limits.Drain)
	}
	f := newFixture()
	if got := f.readDelay(); got != coalesceDelay {
		t.Errorf("delay %s while no entry is missing, want %s", got, coalesceDelay)
	}
	f.read(false, f.entry("a"))
	f.read(true, f.removal("a"))
	if got := f.readDelay(); got != missingCoalesceDelay {
		t.Errorf("delay %s while an entry is missing, want %s", got, missingCoalesceDelay)
	}
}

// fixture is a Control without a store. Tests apply the updates themselves.
type fixture struct {
	*Control
	clock    *clock.Fake
	revision int64 // revision of the last entry created
}

func newFixture() *fixture {
	clk := clock.NewFake(time.Unix(0, 0))
	c := New("a", nil, clk, logs.New(io.Discard, clk, "a"))
	c.state = newState()
	c.Limits = func() Limits { return limits }
	return &fixture{Control: c, clock: clk, revision: 1}
}

// follow makes f learn from reader's announcements what that relay has read.
func (f *fixture) follow(reader *fixture) {
	f.Clock, f.clock = reader.clock, reader.clock
	f.follower.Self, reader.follower.Self = "b", "a"
	reader.Announce = func() {
		p := reader.Position()
		// Changes arrive later than a heartbeat, and with them the grace period begins.
		p.Contact.At = p.Contact.At.Add(-maxContactError / 2)
		if f.Announced(p) {
			after := f.Position().Point
			u := reader.state.table.Since(after)
			f.apply(update{Update: u, transfer: repl.Transfer{From: "a"}, position: p})
		}
	}
}

// entry returns an entry that lists a ready endpoint of service s.
func (f *fixture) entry(id string) plat.Entry {
	f.revision++
	return plat.Entry{Key: plat.EndpointPrefix + id, Revision: f.revision, Value: site.Entry("z", "ready", 0, 1)}
}

// removal returns a change that removes the entry of an endpoint.
func (f *fixture) removal(id string) plat.Entry {
	f.revision++
	return plat.Entry{Key: plat.EndpointPrefix + id, Revision: f.revision, Removed: true}
}

// read applies entries as one read from the store. The first one is of the whole
// store. outage means that the previous read failed.
func (f *fixture) read(outage bool, entries ...plat.Entry) {
	f.apply(update{failed: outage, outage: outage, Update: repl.Update{
		Entries: entries, Full: f.Position().Revision < 0, After: f.Position().Revision, To: f.revision,
	}})
}

// check expects a number of usable endpoints of service s.
func (f *fixture) check(t *testing.T, when string, want int) {
	t.Helper()
	if got := len(f.View().Endpoints("s")); got != want {
		t.Errorf("%s: %d endpoints, want %d", when, got, want)
	}
}

// TestLapseAndReturnInOneRead guards against dropping endpoints whose entries
// the store removed and added again before the relay's next read, which then
// returns both changes.
func TestLapseAndReturnInOneRead(t *testing.T) {
	f := newFixture()
	f.read(false, f.entry("a"), f.entry("b"))
	f.read(true, f.removal("a"), f.removal("b"), f.entry("a"), f.entry("b"))
	f.check(t, "after the read", 2)
	f.clock.Advance(2 * limits.Return)
	f.read(false)
	f.check(t, "after the grace period", 2)
}

// TestSecondOutage guards against dropping missing endpoints during an outage that
// begins before their entries have returned after the previous one: while the
// store is unreachable, nothing shows that these endpoints have stopped.
func TestSecondOutage(t *testing.T) {
	f := newFixture()
	f.read(false, f.entry("a"), f.entry("b"))
	f.read(true, f.removal("a"), f.removal("b"))
	f.check(t, "after the first outage", 2)
	f.clock.Advance(2 * limits.Return)
	f.check(t, "during the second outage", 2)
	f.read(true, f.entry("a"))
	f.check(t, "after the second outage, with one entry missing", 1)
}

// TestFailureOfOneRelay guards against endpoints that are used after the store has
// confirmed their removal, because one relay could not read the store for a while.
func TestFailureOfOneRelay(t *testing.T) {
	reader, follower := newFixture(), newFixture()
	follower.follow(reader)
	reader.read(false, reader.entry("a"), reader.entry("b"), reader.entry("c"))
	regained := func() {
		for _, f := range []*fixture{reader, follower} {
			now := f.clock.Now()
			f.Announced(repl.Position{Point: f.Position().Point, Contact: repl.Contact{At: now, Origin: "x", Since: now}, OutageEnd: now})
		}
	}
	reader.clock.Advance(time.Second)
	regained()
	reader.clock.Advance(time.Second)
	reader.read(false, reader.removal("a"))
	reader.check(t, "at the reader, after the removal", 2)
	follower.check(t, "at the follower, after the removal", 2)

	regained()
	follower.apply(update{Update: repl.Update{
		Entries: []plat.Entry{reader.removal("b")}, After: follower.Position().Revision, To: reader.revision,
	}, transfer: repl.Transfer{From: "x"}})
	follower.check(t, "while the follower knows of a failure alone", 2)
	reader.clock.Advance(200 * time.Millisecond)
	reader.read(false, plat.Entry{Key: plat.EndpointPrefix + "b", Revision: reader.revision, Removed: true})
	follower.apply(update{recheck: true})
	follower.check(t, "after it has learned of the reads of another relay", 1)
}

// TestFailureLongAgo guards against a relay that takes its read for the first one after an
// outage, as its last read failed, though another relay has read the store long since. A
// relay that reads right after an outage may not know of it, as it didn't read before.
func TestFailureLongAgo(t *testing.T) {
	f := newFixture()
	f.read(false, f.entry("a"))
	failedAt := f.clock.Now()
	if !f.endsOutage(failedAt) {
		t.Error("no outage after a failed read, though no other relay has read the store")
	}
	for _, c := range []struct {
		after time.Duration
		want  bool
	}{{time.Second, true}, {5 * time.Second, false}} {
		f.clock.Advance(c.after)
		f.Announced(repl.Position{Point: f.Position().Point, Contact: repl.Contact{At: f.clock.Now(), Origin: "b"}})
		if got := f.endsOutage(failedAt); got != c.want {
			t.Errorf("another relay has read the store %s after the failed read: outage %v, want %v", c.after, got, c.want)
		}
	}
}

// TestRemovalWithoutOutage checks that an endpoint is dropped at once if its entry
// is removed and there was no outage.
func TestRemovalWithoutOutage(t *testing.T) {
	f := newFixture()
	f.read(false, f.entry("a"), f.entry("b"))
	f.read(false, f.removal("a"))
	f.check(t, "after the removal", 1)
}

// TestOlderNewsChangesNothing guards against adding a removed endpoint again: a
// page of a range read may be older than a change that a watch returned before.
func TestOlderNewsChangesNothing(t *testing.T) {
	f := newFixture()
	old := f.entry("a")
	f.read(false, f.entry("a"))
	f.read(false, f.removal("a"))
	f.read(false, old)
	f.check(t, "after the older entry", 0)
}

// TestOldViewDeniesNothing guards against a relay that tells callers that a route or
// key doesn't exist by a view from before a stall of the process or an outage of the
// store.
func TestOldViewDeniesNothing(t *testing.T) {
	f := newFixture()
	check := func(when string, want bool) {
		t.Helper()
		if got := f.Confirmed(); got != want {
			t.Errorf("%s: confirmed is %v, want %v", when, got, want)
		}
	}
	check("before the first read", false)
	f.read(false, f.entry("a"))
	check("after a read", true)
	f.clock.Advance(4 * time.Second)
	check("within a watch", true)
	f.clock.Advance(2 * time.Second)
	check("6 s after the last contact", false)
	f.Announced(repl.Position{Point: repl.Point{Revision: f.Position().Revision}, Contact: repl.Contact{At: f.clock.Now(), Origin: "b"}})
	check("after another relay's contact", true)
}

// endpointEntry returns an entry of an endpoint at a revision.
func endpointEntry(id, state string, born, seq, revision int64) plat.Entry {
	return plat.Entry{Key: plat.EndpointPrefix + id, Revision: revision, Value: site.Entry("z-"+id, state, born, seq)}
}

// restore applies a read of the whole store in another era.
func (f *fixture) restore(era, to int64, entries ...plat.Entry) {
	f.revision = to
	f.apply(update{Update: repl.Update{Entries: entries, Full: true, To: to, Era: era}})
}

// watch applies changes within an era.
func (f *fixture) watch(era int64, entries ...plat.Entry) {
	for _, e := range entries {
		f.revision = max(f.revision, e.Revision)
	}
	f.apply(update{Update: repl.Update{Entries: entries, After: f.Position().Revision, To: f.revision, Era: era}})
}

// TestRestoredStore checks what is believed of endpoints after the store came back from
// a copy that is older than the last changes.
func TestRestoredStore(t *testing.T) {
	for name, c := range map[string]struct {
		before, copied, again []plat.Entry // before the restore; in the copy; written again
		afterCopy, afterAgain int          // endpoints in use
	}{
		"unchanged": {
			before: []plat.Entry{endpointEntry("a", "ready", 1, 5, 10)}, copied: []plat.Entry{endpointEntry("a", "ready", 1, 5, 10)},
			afterCopy: 1, afterAgain: 1,
		},
		"draining": {
			before: []plat.Entry{endpointEntry("a", "draining", 1, 6, 20)}, copied: []plat.Entry{endpointEntry("a", "ready", 1, 5, 10)},
			again: []plat.Entry{endpointEntry("a", "draining", 1, 7, 12)},
		},
		"draining without numbers": {
			before: []plat.Entry{endpointEntry("a", "draining", 0, 0, 20)}, copied: []plat.Entry{endpointEntry("a", "ready", 0, 0, 10)},
		},
		"gone, and written again": {
			before: []plat.Entry{endpointEntry("a", "ready", 1, 5, 10), {Key: plat.EndpointPrefix + "a", Revision: 20, Removed: true}},
			copied: []plat.Entry{endpointEntry("a", "ready", 1, 5, 10)}, again: []plat.Entry{endpointEntry("a", "ready", 1, 6, 12)}, afterAgain: 1,
		},
		"next incarnation": {
			before: []plat.Entry{endpointEntry("a", "draining", 1, 6, 20)}, copied: []plat.Entry{endpointEntry("a", "ready", 2, 1, 11)},
			afterCopy: 1, afterAgain: 1,
		},
		"not in the copy": {
			before: []plat.Entry{endpointEntry("a", "ready", 1, 5, 20)}, copied: nil, again: []plat.Entry{endpointEntry("a", "ready", 1, 6, 12)},
			afterCopy: 1, afterAgain: 1,
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture()
			f.read(false)
			for _, e := range c.before {
				f.watch(0, e)
			}
			f.restore(1, 11, c.copied...)
			f.check(t, "after the restore", c.afterCopy)
			f.clock.Advance(time.Second)
			f.watch(1, c.again...)
			f.check(t, "after it was written again", c.afterAgain)
			f.clock.Advance(5 * time.Second)
			f.watch(1)
			f.check(t, "later", c.afterAgain)
		})
	}
}

// TestNotWrittenAgain checks that an endpoint which a restored store lacks is gone 2 s
// later.
func TestNotWrittenAgain(t *testing.T) {
	f := newFixture()
	f.read(false, endpointEntry("a", "ready", 1, 5, 10))
	f.clock.Advance(time.Second)
	f.restore(1, 5)
	f.clock.Advance(1900 * time.Millisecond)
	f.watch(1)
	f.check(t, "1.9 s after the restore", 1)
	f.clock.Advance(200 * time.Millisecond)
	f.watch(1)
	f.check(t, "2.1 s after the restore", 0)
}

// TestRemovalAfterRestore guards against an endpoint that is used for the whole drain time
// after a restored store, which is stable again, has confirmed that it is gone.
func TestRemovalAfterRestore(t *testing.T) {
	f := newFixture()
	f.read(false, endpointEntry("a", "ready", 1, 5, 10))
	f.restore(1, 5, endpointEntry("a", "ready", 1, 5, 5))
	f.clock.Advance(limits.Stable)
	f.watch(1, f.removal("a"))
	f.check(t, "removed 3 s after the restore", 0)
}

// TestDrainedZoneOfRestoredStore checks that zones stay drained, or in use, until
// operators had the time to say so again.
func TestDrainedZoneOfRestoredStore(t *testing.T) {
	zone := func(name string, revision int64, removed bool) plat.Entry {
		return plat.Entry{Key: plat.DrainPrefix + name, Revision: revision, Removed: removed, Value: []byte("{}")}
	}
	f := newFixture()
	a, b := endpointEntry("a", "ready", 1, 5, 2), endpointEntry("b", "ready", 1, 5, 3)
	f.read(false, a, b, zone("z-b", 4, false))
	f.check(t, "zone of b drained", 1)
	f.watch(0, zone("z-b", 10, true), zone("z-a", 11, false))
	f.check(t, "zone of a drained, that of b in use", 1)
	f.restore(1, 6, a, b, zone("z-b", 4, false))
	if v := f.View(); !v.Drained("z-a") || v.Drained("z-b") {
		t.Errorf("drained zones %v right after the restore", v.DrainedZones())
	}
	f.clock.Advance(time.Second)
	f.watch(1, zone("z-a", 7, false))
	f.clock.Advance(4 * time.Second)
	f.watch(1)
	if v := f.View(); !v.Drained("z-a") || !v.Drained("z-b") {
		t.Errorf("drained zones %v, want those that the store lists", v.DrainedZones())
	}
}

// TestReturnedZoneKeepsMissing guards against a removed endpoint that is used for good, as its
// zone returns to use while the endpoint only counts as missing after an outage.
func TestReturnedZoneKeepsMissing(t *testing.T) {
	f := newFixture()
	zone := func(removed bool) plat.Entry {
		f.revision++
		return plat.Entry{Key: plat.DrainPrefix + "z", Revision: f.revision, Removed: removed, Value: []byte("{}")}
	}
	f.read(false, f.entry("a"), f.entry("b"), zone(false))
	f.read(true, f.removal("a"))
	f.clock.Advance(100 * time.Millisecond)
	f.read(false, zone(true))
	f.check(t, "zone in use again, entry awaited", 2)
	f.clock.Advance(limits.Stable)
	f.read(false)
	f.check(t, "once the store counts as stable", 1)
}

// TestDrainedZoneWrittenAfterRestore guards against a zone that is used for 4 s more,
// because operators drained it between the return of a restored store and its first read.
func TestDrainedZoneWrittenAfterRestore(t *testing.T) {
	f := newFixture()
	a, b := endpointEntry("a", "ready", 1, 5, 2), endpointEntry("b", "ready", 1, 5, 3)
	f.read(false, a, b)
	f.restore(1, 4, a, b, plat.Entry{Key: plat.DrainPrefix + "z-a", Revision: 4, Value: []byte("{}")})
	f.check(t, "after the first read", 1)
}

// TestFormerEraChangesNothing checks that neither a late answer nor another relay
// brings a former era back.
func TestFormerEraChangesNothing(t *testing.T) {
	f := newFixture()
	f.read(false, endpointEntry("a", "ready", 1, 5, 10))
	f.restore(2, 5)
	at := f.Position().Point
	f.restore(1, 100, endpointEntry("a", "ready", 1, 9, 90), endpointEntry("b", "ready", 1, 9, 91))
	if got := f.Position().Point; got != at {
		t.Errorf("at %v, want %v", got, at)
	}
	if f.Announced(repl.Position{Point: repl.Point{Era: 1, Revision: 1000}}) {
		t.Error("a relay of a former era has changes")
	}
	if !f.Announced(repl.Position{Point: repl.Point{Era: 3, Revision: 1}}) {
		t.Error("a relay of a later era has no changes")
	}
}
