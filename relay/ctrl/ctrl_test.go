package ctrl

import (
	"fmt"
	"io"
	"testing"
	"time"

	"wigeonplank.example/core/clock"
	"wigeonplank.example/core/repl"
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
	return &fixture{Control: c, clock: clk, revision: 1}
}

// entry returns an entry that lists a ready endpoint of service s.
func (f *fixture) entry(id string) plat.Entry {
	f.revision++
	return plat.Entry{
		Key: plat.EndpointPrefix + id, Revision: f.revision,
		Value: fmt.Appendf(nil, `{"service":"s","address":"127.0.0.1:9","zone":"z","state":"ready","slots":1}`),
	}
}

// removal returns a change that removes the entry of an endpoint.
func (f *fixture) removal(id string) plat.Entry {
	f.revision++
	return plat.Entry{Key: plat.EndpointPrefix + id, Revision: f.revision, Removed: true}
}

// read applies entries as one read from the store. The first one is of the whole
// store. outage means that the previous read failed.
func (f *fixture) read(outage bool, entries ...plat.Entry) {
	f.apply(update{outage: outage, Update: repl.Update{
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
	f.clock.Advance(2 * missingGrace)
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
	f.clock.Advance(2 * missingGrace)
	f.check(t, "during the second outage", 2)
	f.read(true, f.entry("a"))
	f.check(t, "after the second outage, with one entry missing", 1)
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
	f.Announced(repl.Position{Revision: f.Position().Revision, Contact: repl.Contact{At: f.clock.Now(), Origin: "b"}})
	check("after another relay's contact", true)
}
