package ctrl

import (
	"slices"
	"time"

	"wigeonplank.example/core/fleet"
	plat "wigeonplank.example/platform"
)

// goneEntry is a removed endpoint.
type goneEntry struct {
	endpoint  *fleet.Endpoint
	removedAt time.Time
}

// keepBelieved returns the changes to apply of those that a store which was restored
// from a copy makes. What is known of an endpoint stays if the copy is older, until
// the endpoint writes again. Zones that are in use or drained as far as is known stay so
// until settleZones, but for those that haven't been drained lately: these are drained
// since the copy. A configuration never goes back by its version.
func (c *Control) keepBelieved(changes []plat.Entry, now time.Time) []plat.Entry {
	c.state.settleAt = now.Add(settlePeriod)
	c.restored.Store(true)
	return slices.DeleteFunc(changes, func(entry plat.Entry) bool {
		if zone, ok := plat.DrainedZone(entry.Key); ok {
			returned := now.Sub(c.state.returnedAt[zone]) < goneMemory
			return entry.Removed || returned
		}
		id, ok := plat.EndpointID(entry.Key)
		if !ok || entry.Removed {
			return false
		}
		e, err := plat.DecodeEndpoint(entry, now)
		if err != nil {
			return false
		}
		old := c.state.view.Endpoint(id)
		if gone, ok := c.state.gone[id]; ok && old == nil {
			if !e.NewerThan(gone.endpoint) {
				c.state.table.Override(plat.Entry{Key: entry.Key, Revision: entry.Revision, Removed: true})
				return true
			}
			return false
		}
		return old != nil && old.NewerThan(e)
	})
}

// settleZones makes the drained zones those that a restored store lists, once their
// operators had the time to write them again.
func (c *Control) settleZones(now time.Time) {
	if c.state.settleAt.IsZero() || now.Before(c.state.settleAt) {
		return
	}
	c.state.settleAt = time.Time{}
	c.restored.Store(false)
	zones := make(map[string]bool)
	for key := range c.state.table.Keys() {
		if zone, ok := plat.DrainedZone(key); ok {
			zones[zone] = true
		}
	}
	c.applyDrainedZones(zones, now)
}

// rememberGone remembers a removed endpoint for goneMemory.
func (c *Control) rememberGone(e *fleet.Endpoint, now time.Time) {
	for id, g := range c.state.gone {
		if now.Sub(g.removedAt) > goneMemory {
			delete(c.state.gone, id)
		}
	}
	c.state.gone[e.ID] = goneEntry{endpoint: e, removedAt: now}
}
