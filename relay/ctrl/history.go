package ctrl

import (
	"errors"
	"fmt"
	"time"

	"wigeonplank.example/core/origin"
	"wigeonplank.example/core/repl"
	plat "wigeonplank.example/platform"
)

// historyTimeout bounds the reads of the history. Callers wait for them.
const historyTimeout = 1500 * time.Millisecond

// errForgotten reports that the store dropped history that it usually keeps.
var errForgotten = errors.New("the store has forgotten its history")

// History reads the changes to the list of endpoints since a time, or since the time for
// which the store keeps them. It blocks for the time of a few reads.
func (c *Control) History(since time.Time) (origin.History, error) {
	list, last, err := c.Store.Range(plat.EndpointPrefix, readTimeout)
	if err != nil {
		return origin.History{}, fmt.Errorf("list endpoints: %w", err)
	}
	h := origin.History{Since: since, Added: make(origin.Additions), Zones: make(map[string]bool)}
	for _, entry := range list {
		if change, ok := c.endpointChange(entry); ok {
			h.Added.Record(change)
		}
	}
	lost := h.Added.Before(since) // a revision that is older than the period
	changes, err := c.changesAfter(last, lost)
	if errors.Is(err, plat.ErrCompacted) {
		changes, lost, err = c.oldestChanges(last, lost)
		// What was lost during the reads is older than the history as of their end.
		if kept := c.Clock.Now().Add(-c.Retention()); since.Before(kept) {
			h.Since = kept
		}
		if err == nil && h.Added.Contradict(lost, h.Since) {
			err = errForgotten
		}
	}
	if err != nil {
		return origin.History{}, fmt.Errorf("read history: %w", err)
	}
	for _, entry := range changes {
		c.addToHistory(&h, entry)
	}
	return h, nil
}

// changesAfter reads the changes from a revision to a point. Configurations are left out: a
// slow link takes long for all of the last seconds.
func (c *Control) changesAfter(to repl.Point, revision int64) ([]plat.Entry, error) {
	var all []plat.Entry
	for _, prefix := range []string{plat.EndpointPrefix, plat.DrainPrefix} {
		at := repl.Point{Era: to.Era, Revision: revision}
		for at.Revision < to.Revision {
			list, next, err := c.Store.Watch(prefix, at, 0, readTimeout)
			if err != nil {
				return nil, err
			}
			if len(list) == 0 {
				break
			}
			if next.Revision <= at.Revision {
				return nil, errForgotten
			}
			all, at = append(all, list...), next
		}
	}
	return all, nil
}

// oldestChanges reads all changes that the store still has. lost is a revision of which
// it has no history any more. It returns the last such revision.
func (c *Control) oldestChanges(to repl.Point, lost int64) ([]plat.Entry, int64, error) {
	var changes []plat.Entry
	start := c.Clock.Now()
	for kept := to.Revision; kept-lost > 1; {
		if c.Clock.Now().Sub(start) > historyTimeout {
			return nil, 0, errors.New("the store takes too long to respond")
		}
		middle := lost + (kept-lost)/2
		list, err := c.changesAfter(to, middle)
		switch {
		case err == nil:
			changes, kept = list, middle
		case errors.Is(err, plat.ErrCompacted):
			lost = middle
		default:
			return nil, 0, err
		}
	}
	return changes, lost, nil
}

// addToHistory adds a change to a history.
func (c *Control) addToHistory(h *origin.History, entry plat.Entry) {
	if zone, ok := plat.DrainedZone(entry.Key); ok {
		h.Zones[zone] = true
	}
	if change, ok := c.endpointChange(entry); ok {
		h.Changes = append(h.Changes, change)
		h.Added.Record(change)
	}
}

// endpointChange returns the change to the list of endpoints that an entry stands for, and
// false if it isn't one.
func (c *Control) endpointChange(entry plat.Entry) (origin.Change, bool) {
	id, ok := plat.EndpointID(entry.Key)
	if !ok {
		return origin.Change{}, false
	}
	change := origin.Change{ID: id, Revision: entry.Revision, Created: entry.Created}
	if e, err := plat.DecodeEndpoint(entry, c.Clock.Now()); err == nil && !entry.Removed {
		change.Endpoint = e // none if it can't be read: it names no endpoint to use
	}
	return change, true
}
