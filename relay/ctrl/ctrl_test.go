package ctrl

import (
	"fmt"
	"io"
	"testing"
	"time"

	"wigeonplank.example/core/clock"
	plat "wigeonplank.example/platform"
	"wigeonplank.example/relay/logs"
)

// Changes have to take effect this soon after the store is stable again, which
// it counts as after three seconds.
const applyLimit = 2 * time.Second

// TestSilentOutageEnds: what is sent just before a silent outage ends is never
// answered, so the read after it is the first that can bring a change.
func TestSilentOutageEnds(t *testing.T) {
	for failures := 1; failures < 20; failures++ {
		changes, limit := patience(failures)
		worst := changes + limit + backoffMost
		if worst > applyLimit {
			t.Errorf("after %d failures a change may wait for %s, want %s at most", failures, worst, applyLimit)
		}
	}
}

// fixture is a Control that is fed by hand.
type fixture struct {
	*Control
	clock    *clock.Fake
	revision int64
}

func newFixture() *fixture {
	clk := clock.NewFake(time.Unix(0, 0))
	c := New(nil, clk, logs.New(io.Discard, clk, "a"))
	c.state = newState()
	return &fixture{Control: c, clock: clk, revision: 1}
}

func (f *fixture) entry(id string) plat.Item {
	f.revision++
	return plat.Item{
		Key: plat.EndpointPrefix + id, Revision: f.revision,
		Value: fmt.Appendf(nil, `{"service":"s","address":"127.0.0.1:9","zone":"z","state":"ready","slots":1}`),
	}
}

func (f *fixture) removal(id string) plat.Item {
	f.revision++
	return plat.Item{Key: plat.EndpointPrefix + id, Revision: f.revision, Removed: true}
}

func (f *fixture) read(outage bool, items ...plat.Item) {
	f.apply(news{items: items, outage: outage})
}

func (f *fixture) check(t *testing.T, when string, want int) {
	t.Helper()
	if got := len(f.View().Endpoints("s")); got != want {
		t.Errorf("%s: %d endpoints, want %d", when, got, want)
	}
}

// TestLapseAndReturnInOneRead: an outage makes entries lapse and come back before
// a relay reads again, and it then reads both changes at once.
func TestLapseAndReturnInOneRead(t *testing.T) {
	f := newFixture()
	f.read(false, f.entry("a"), f.entry("b"))
	f.read(true, f.removal("a"), f.removal("b"), f.entry("a"), f.entry("b"))
	f.check(t, "after the read", 2)
	f.clock.Advance(2 * lapseGrace)
	f.read(false)
	f.check(t, "later", 2)
}

// TestSecondOutage: entries that lapsed in an outage are missing while the next
// one goes on; nothing says that their endpoints are gone.
func TestSecondOutage(t *testing.T) {
	f := newFixture()
	f.read(false, f.entry("a"), f.entry("b"))
	f.read(true, f.removal("a"), f.removal("b"))
	f.check(t, "after the first outage", 2)
	f.clock.Advance(2 * lapseGrace)
	f.check(t, "in the second outage", 2)
	f.read(true, f.entry("a"))
	f.check(t, "once the store, back, still misses one", 1)
}

// TestRemovalWithoutOutage takes effect at once.
func TestRemovalWithoutOutage(t *testing.T) {
	f := newFixture()
	f.read(false, f.entry("a"), f.entry("b"))
	f.read(false, f.removal("a"))
	f.check(t, "after the removal", 1)
}

// TestOlderNewsChangesNothing: pages of a list may be older than what a watch
// brought.
func TestOlderNewsChangesNothing(t *testing.T) {
	f := newFixture()
	old := f.entry("a")
	f.read(false, f.entry("a"))
	f.read(false, f.removal("a"))
	f.read(false, old)
	f.check(t, "after an old entry", 0)
}
