package origin_test

import (
	"slices"
	"testing"
	"time"

	"wigeonplank.example/core/origin"
)

var (
	recorded = origin.Origin{Service: "s", Version: "v1"}
	presumed = origin.Origin{Service: "s", Version: "v1", Presumed: origin.Incarnation{Endpoint: "e", StartUnixMs: 1}}
	other    = origin.Origin{Service: "s", Version: "v2"}
	unknown  = origin.Origin{}
	keepers  = []origin.Keeper{{Instance: "a"}, {Instance: "b"}, {Instance: "c"}, {Instance: "d"}}
)

// copyTest lets a relay send the records of one stream.
type copyTest struct {
	t      *testing.T
	now    time.Time
	copies origin.Copies
}

// next expects that the record is sent to keepers now, of those that can be reached.
func (c *copyTest) next(when string, reached []origin.Keeper, o origin.Origin, want ...origin.Keeper) {
	c.t.Helper()
	got, to := c.copies.Next(c.now, "a", reached, 2)
	if got != o || !slices.Equal(to, want) {
		c.t.Errorf("%s: %v to %v, want %v to %v", when, got, to, o, want)
	}
	for _, k := range to {
		c.copies.Sent(c.now, "a", k)
	}
}

func (c *copyTest) stored(o origin.Origin, by ...origin.Keeper) {
	for _, k := range by {
		c.copies.Stored(c.now, "a", k, o)
	}
}

func (c *copyTest) expectDue(when string, want int) {
	c.t.Helper()
	if n := len(c.copies.Due(c.now)); n != want {
		c.t.Errorf("%s: %d streams are due, want %d", when, n, want)
	}
}

// TestRecordIsSentOverANewLink guards against records that a keeper never gets because those
// sent over a link that has failed count.
func TestRecordIsSentOverANewLink(t *testing.T) {
	c := &copyTest{t: t, now: start}
	c.copies.Put(c.now, "a", recorded)
	c.next("begun", keepers[:2], recorded, keepers[0], keepers[1])
	c.stored(recorded, keepers[0])
	c.now = c.now.Add(time.Second)
	c.next("not acknowledged", keepers[:2], recorded, keepers[1])
	c.now = c.now.Add(time.Second)
	c.next("twice", keepers[:2], recorded)
	c.copies.Relinked(c.now, keepers[0])
	c.copies.Relinked(c.now, keepers[1])
	c.expectDue("new links", 1)
	c.next("new links", keepers[:2], recorded, keepers[1])
}

// TestRecordIsHandedOn guards against records that are lost with their keepers, one after
// the other, while their own relay has them.
func TestRecordIsHandedOn(t *testing.T) {
	c := &copyTest{t: t, now: start}
	c.copies.Put(c.now, "a", recorded)
	c.next("begun", keepers, recorded, keepers[0], keepers[1])
	c.stored(recorded, keepers[0], keepers[1])
	c.next("stored", keepers, recorded)
	c.expectDue("stored", 0)
	c.now = c.now.Add(5 * time.Second)
	c.copies.Reconsider(c.now)
	c.expectDue("a keeper lost", 1)
	c.next("a keeper lost", keepers[1:], recorded, keepers[2])
	c.stored(recorded, keepers[2])
	restarted := slices.Clone(keepers)
	restarted[0].Incarnation++
	c.copies.Reconsider(c.now)
	c.next("it is back", restarted, recorded, restarted[0])
	c.now = c.now.Add(time.Minute)
	c.copies.Reconsider(c.now)
	c.expectDue("a minute later", 0)
}

// TestRecordIsSentAgain guards against records that no keeper has, as the first ones are
// starved or the link was lost, and against sending them without end.
func TestRecordIsSentAgain(t *testing.T) {
	c := &copyTest{t: t, now: start}
	c.copies.Put(c.now, "a", recorded)
	c.next("begun", keepers, recorded, keepers[0], keepers[1])
	c.stored(recorded, keepers[0])
	c.now = c.now.Add(50 * time.Millisecond)
	c.next("too early", keepers, recorded)
	c.expectDue("too early", 1)
	c.now = c.now.Add(50 * time.Millisecond)
	c.next("overdue", keepers, recorded, keepers[1], keepers[2])
	c.stored(recorded, keepers[2])
	c.now = c.now.Add(time.Second)
	c.next("overdue again", keepers, recorded)
	c.expectDue("sent often enough", 0)
}

// TestCorrectionReachesAll guards against a record of a version that can't be known after
// all which stays at a keeper.
func TestCorrectionReachesAll(t *testing.T) {
	c := &copyTest{t: t, now: start}
	c.copies.Put(c.now, "a", presumed)
	c.next("begun", keepers, presumed, keepers[0], keepers[1])
	c.stored(presumed, keepers[0], keepers[1])
	c.copies.Put(c.now, "a", unknown)
	c.copies.Stored(c.now, "a", keepers[0], presumed) // late, of the former record
	reordered := []origin.Keeper{keepers[2], keepers[3], keepers[0], keepers[1]}
	c.next("corrected", reordered, unknown, reordered...)
	c.stored(unknown, keepers[1], keepers[2], keepers[3])
	c.now = c.now.Add(100 * time.Millisecond)
	c.next("one is overdue", reordered, unknown, keepers[0])
}
