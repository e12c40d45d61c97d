package ctrl

import (
	"time"

	"wigeonplank.example/core/origin"
	"wigeonplank.example/core/repl"
)

// showing tells which contact with the store the current view stands for. Control.mu
// guards it.
type showing struct {
	applying bool         // the replica has changes that the view lacks
	before   repl.Contact // before these changes
	heardAt  time.Time    // last contact that another relay has reported, also of changes that the replica lacks
}

// recordHeardLocked records the contact with the store that another relay reported. The
// caller holds c.mu.
func (c *Control) recordHeardLocked(at time.Time) {
	if at.After(c.showing.heardAt) {
		c.showing.heardAt = at
	}
}

// ViewAge returns the time since the last contact with the store up to which View is
// complete.
func (c *Control) ViewAge() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Clock.Now().Sub(c.shownContactLocked().At)
}

// shownContactLocked returns the last contact with the store up to which View is complete.
// The caller holds c.mu.
func (c *Control) shownContactLocked() repl.Contact {
	if c.showing.applying {
		return c.showing.before
	}
	return c.follower.Last()
}

// Unread reports whether no relay, as far as this one knows, has read the store since the
// view became too old to begin streams. A relay that stood still meanwhile doesn't know.
func (c *Control) Unread() bool {
	now := c.Clock.Now()
	if !c.contacts.ranFor(now, origin.MaxViewLag) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.follower.Last().At) > origin.MaxViewLag && now.Sub(c.showing.heardAt) > origin.MaxViewLag
}
