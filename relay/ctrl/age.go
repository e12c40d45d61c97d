package ctrl

import (
	"time"

	"wigeonplank.example/core/repl"
)

// showing tells which contact with the store the current view stands for. Control.mu
// guards it.
type showing struct {
	applying bool         // the replica has changes that the view lacks
	before   repl.Contact // before these changes
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
