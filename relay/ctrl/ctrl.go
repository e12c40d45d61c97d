// Package ctrl maintains a relay's control state: a view of the configuration,
// the endpoints and the drained zones in the platform's store. A single goroutine
// owns the state; request handlers read the current view without blocking.
package ctrl

import (
	"context"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"wigeonplank.example/base/wait"
	"wigeonplank.example/core/clock"
	"wigeonplank.example/core/fleet"
	"wigeonplank.example/core/retry"
	plat "wigeonplank.example/platform"
	"wigeonplank.example/relay/logs"
)

// Timing of reads from the store and of missing endpoints.
const (
	watchWait         = 4 * time.Second        // a watch whose response is lost fails after this and readTimeout, by the time the store counts as stable again
	coalesceDelay     = 250 * time.Millisecond // before the next read, so that one read returns several changes
	backoffBase       = 100 * time.Millisecond
	maxBackoff        = 500 * time.Millisecond
	readTimeout       = time.Second             // a store under load takes 200 ms to respond
	probeTimeout      = 700 * time.Millisecond  // for reads after a failed one: requests sent during an outage may never be answered
	longProbeTimeout  = 1500 * time.Millisecond // instead of probeTimeout after every longProbeEvery-th failed read, in case the store is slower than that
	longProbeEvery    = 4
	recoveryWindow    = 4 * time.Second         // after an outage; the store may lack entries of healthy endpoints during this period
	missingGrace      = 1500 * time.Millisecond // a live endpoint is listed again by then; one that shuts down still serves for 2 s
	controlTimeout    = time.Second             // to hand a query or an update to the control goroutine
	missingWatchWait  = 250 * time.Millisecond  // instead of watchWait while endpoints are missing
	defaultColdPeriod = 3 * time.Second         // for endpoints of a returned zone whose service isn't configured
)

// Control reads the platform's store and publishes a view of it. Create it with
// New. Its exported methods, except Run, are safe for concurrent use.
type Control struct {
	Store *plat.Store
	Clock clock.Clock
	Log   *logs.Logger
	// OnViewChange is called from the control goroutine with each new view.
	OnViewChange func(v *fleet.View)

	view        atomic.Pointer[fleet.View]
	loaded      atomic.Bool               // the first update was applied
	lastContact atomic.Pointer[time.Time] // last update read from the store; nil if there was none
	updates     chan update
	queries     chan chan<- []plat.Entry // requests for the values of state.entries
	state       state
}

// state is owned by the control goroutine.
type state struct {
	view       fleet.View
	returnedAt map[string]time.Time  // end of the last drain, by zone
	outageEnd  time.Time             // end of the last outage of the store; zero if there was none
	revisions  map[string]int64      // newest revision seen, by key
	entries    map[string]plat.Entry // current store entries, by key, for snapshots
}

func newState() state {
	return state{returnedAt: make(map[string]time.Time), revisions: make(map[string]int64), entries: make(map[string]plat.Entry)}
}

// update is the result of one read from the store, or a snapshot from another
// relay.
type update struct {
	entries []plat.Entry
	full    bool          // entries are the whole content of the store
	outage  bool          // the previous read failed
	from    string        // relay that sent the snapshot; empty if read from the store
	age     time.Duration // time since that relay's last contact with the store
}

// View returns the current view, which is empty before the first update. It
// never blocks. The view must not be modified.
func (c *Control) View() *fleet.View {
	if v := c.view.Load(); v != nil {
		return v
	}
	return &fleet.View{}
}

// Ready reports whether requests can be served, and the reason if they can't.
func (c *Control) Ready() (bool, string) {
	switch {
	case c.View().Config == nil:
		return false, "no configuration yet"
	case !c.loaded.Load():
		return false, "no list of endpoints yet"
	}
	return true, "ok"
}

// Run follows the store and applies updates until ctx is done. It blocks, and
// must be called once.
func (c *Control) Run(ctx context.Context) {
	c.state = newState()
	go c.followStore(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case u := <-c.updates:
			c.apply(u)
		case reply := <-c.queries:
			reply <- slices.Collect(maps.Values(c.state.entries))
		}
	}
}

// New returns a Control that reads from store. Set OnViewChange before Run.
func New(store *plat.Store, clk clock.Clock, l *logs.Logger) *Control {
	return &Control{Store: store, Clock: clk, Log: l, updates: make(chan update), queries: make(chan chan<- []plat.Entry)}
}

// Snapshot returns the current store entries and the time since the last contact
// with the store, which is 0 if there was none. It blocks until the control
// goroutine responds, and returns no entries if that takes longer than a second.
func (c *Control) Snapshot() ([]plat.Entry, time.Duration) {
	reply := make(chan []plat.Entry, 1)
	t := time.NewTimer(controlTimeout)
	defer t.Stop()
	select {
	case c.queries <- reply:
	case <-t.C:
		return nil, 0
	}
	at := c.lastContact.Load()
	if at == nil {
		return <-reply, 0
	}
	return <-reply, c.Clock.Now().Sub(*at)
}

// ApplySnapshot applies a store snapshot from another relay, unless this one is
// ready by then. age is the time since the other relay's last contact with the
// store. ApplySnapshot doesn't block; the snapshot is dropped if the control
// goroutine doesn't take it within a second.
func (c *Control) ApplySnapshot(from string, entries []plat.Entry, age time.Duration) {
	if len(entries) == 0 {
		return // the other relay hasn't read the store either
	}
	go func() {
		t := time.NewTimer(controlTimeout)
		defer t.Stop()
		select {
		case c.updates <- update{entries: entries, from: from, age: age}:
		case <-t.C:
		}
	}()
}

// followStore reads the whole store, then watches it for changes, and sends both
// to the control goroutine. A single watch covers all keys, as one for operators'
// keys and one for endpoints would double the calls to the store.
func (c *Control) followStore(ctx context.Context) {
	after, failures, lostAt := int64(-1), 0, time.Time{}
	for ctx.Err() == nil {
		u, err := c.readStore(&after, failures)
		switch {
		case errors.Is(err, plat.ErrCompacted):
			c.Log.Event(logs.HistoryCompacted).Int64("after", after).Msg("")
			after = -1
			continue
		case err != nil:
			failures++
			if failures == 1 {
				lostAt = c.Clock.Now()
				c.Log.Event(logs.StoreLost).Err(err).Msg("")
			}
			wait.For(ctx, retry.Backoff{Base: backoffBase, Max: maxBackoff}.Delay(failures, rand.Float64()))
			continue
		}
		if failures > 0 {
			c.Log.Event(logs.StoreRegained).Int("failures", failures).Dur("lost_ms", c.Clock.Now().Sub(lostAt)).Msg("")
		}
		u.outage = failures > 0
		failures = 0
		// While endpoints are missing, an update without changes still lets the
		// control goroutine drop those whose grace period is over.
		if u.full || u.outage || len(u.entries) > 0 || c.View().HasMissing() {
			select {
			case <-ctx.Done():
				return
			case c.updates <- u:
			}
			wait.For(ctx, coalesceDelay)
		}
	}
}

// readTiming returns how long the next read may wait for changes, and the timeout
// for the response beyond that wait, given the number of failed reads in a row.
// After a failure, reads don't wait for changes, so that the end of an outage is
// noticed soon.
func readTiming(failures int) (maxWait, timeout time.Duration) {
	switch {
	case failures == 0:
		return watchWait, readTimeout
	case failures%longProbeEvery == 0:
		return 0, longProbeTimeout
	}
	return 0, probeTimeout
}

// readStore returns the changes after revision *after, or the whole store if
// *after is negative. It sets *after to the revision to continue from.
func (c *Control) readStore(after *int64, failures int) (update, error) {
	maxWait, timeout := readTiming(failures)
	if c.View().HasMissing() {
		maxWait = min(maxWait, missingWatchWait)
	}
	if *after < 0 {
		entries, revision, err := c.Store.Range(plat.AllPrefix, timeout)
		if err != nil {
			return update{}, err
		}
		*after = revision
		return update{entries: entries, full: true}, nil
	}
	entries, revision, err := c.Store.Watch(plat.AllPrefix, *after, maxWait, timeout)
	if err != nil {
		return update{}, err
	}
	*after = revision
	return update{entries: entries}, nil
}

// apply applies an update to the state and publishes the resulting view. A
// snapshot from another relay is ignored once this relay is ready.
func (c *Control) apply(u update) {
	now := c.Clock.Now()
	if u.outage {
		c.state.outageEnd = now
	}
	if u.from != "" {
		if ready, _ := c.Ready(); ready {
			return
		}
		c.Log.Event(logs.ViewReceived).Str("from", u.from).Int("entries", len(u.entries)).Dur("age_ms", u.age).Msg("")
	} else {
		c.lastContact.Store(&now)
	}
	u.entries = latestByKey(u.entries)
	c.storeEntries(u)
	var operator, endpoints []plat.Entry
	for _, entry := range u.entries {
		if _, ok := plat.EndpointID(entry.Key); ok {
			endpoints = append(endpoints, entry)
		} else {
			operator = append(operator, entry)
		}
	}
	c.applyOperatorEntries(operator, u.full, now)
	c.applyEndpoints(endpoints, u.full, now)
	if u.from == "" {
		c.dropOverdue(now)
	}
	c.loaded.Store(true)
	v := c.state.view
	c.view.Store(&v)
	if c.OnViewChange != nil {
		c.OnViewChange(&v)
	}
}

// storeEntries updates the store entries that Snapshot returns.
func (c *Control) storeEntries(u update) {
	if u.full {
		clear(c.state.entries)
	}
	for _, entry := range u.entries {
		if entry.Removed {
			delete(c.state.entries, entry.Key)
		} else {
			c.state.entries[entry.Key] = entry
		}
	}
}

// latestByKey returns the entry with the highest revision of each key. Of entries
// with equal revisions it returns the last.
func latestByKey(entries []plat.Entry) []plat.Entry {
	latest := make(map[string]int, len(entries)) // index by key
	for i, entry := range entries {
		if at, ok := latest[entry.Key]; !ok || entry.Revision >= entries[at].Revision {
			latest[entry.Key] = i
		}
	}
	out := make([]plat.Entry, 0, len(latest))
	for i, entry := range entries {
		if latest[entry.Key] == i {
			out = append(out, entry)
		}
	}
	return out
}

// recordRevision records the revision of an entry. It reports false if a higher
// revision of the key was recorded before; the entry must then be ignored.
func (c *Control) recordRevision(entry plat.Entry) bool {
	if entry.Revision < c.state.revisions[entry.Key] {
		return false
	}
	c.state.revisions[entry.Key] = entry.Revision
	return true
}

// applyOperatorEntries applies the entries that operators write: the configuration
// and the drained zones.
func (c *Control) applyOperatorEntries(entries []plat.Entry, full bool, now time.Time) {
	zones := make(map[string]bool)
	if !full {
		for z := range c.state.view.DrainedZones() {
			zones[z] = true
		}
	}
	for _, entry := range entries {
		if !c.recordRevision(entry) {
			continue
		}
		if plat.IsConfig(entry.Key) && !entry.Removed {
			c.applyConfig(entry)
			continue
		}
		if zone, ok := plat.DrainedZone(entry.Key); ok {
			if entry.Removed {
				delete(zones, zone)
			} else {
				zones[zone] = true
			}
		}
	}
	c.applyDrainedZones(zones, now)
}

// applyConfig replaces the active configuration, unless the new one is invalid or
// its version isn't higher.
func (c *Control) applyConfig(entry plat.Entry) {
	cfg, err := plat.DecodeConfig(entry)
	if err != nil {
		c.Log.Event(logs.ConfigRejected).Int64("revision", entry.Revision).Err(err).Msg("")
		return
	}
	if old := c.state.view.Config; old != nil && cfg.Version <= old.Version {
		return
	}
	c.state.view = c.state.view.WithConfig(cfg)
	c.Log.Event(logs.ConfigApplied).Int64("version", cfg.Version).Int64("revision", entry.Revision).Int("routes", cfg.NumRoutes()).Msg("")
}

// applyDrainedZones replaces the set of drained zones. Endpoints of a zone that
// is no longer drained count as cold, because they may have been started during
// the drain.
func (c *Control) applyDrainedZones(zones map[string]bool, now time.Time) {
	before := c.state.view.DrainedZones()
	change := fleet.Change{Drained: zones}
	for z := range zones {
		if !before[z] {
			c.Log.Event(logs.ZoneDrained).Str("zone", z).Msg("")
		}
	}
	for z := range before {
		if zones[z] {
			continue
		}
		c.Log.Event(logs.ZoneReturned).Str("zone", z).Msg("")
		c.state.returnedAt[z] = now
		for _, e := range c.state.view.All() {
			if e.Zone == z {
				change.Put = append(change.Put, c.withZoneColdPeriod(e, now))
			}
		}
	}
	c.state.view = c.state.view.WithChange(change)
}

// withZoneColdPeriod returns e, or a copy that is cold for longer if the drain of
// its zone ended less than the service's cold period ago.
func (c *Control) withZoneColdPeriod(e *fleet.Endpoint, now time.Time) *fleet.Endpoint {
	returnedAt, ok := c.state.returnedAt[e.Zone]
	if !ok {
		return e
	}
	period := defaultColdPeriod
	if cfg := c.state.view.Config; cfg != nil && cfg.Service(e.Service) != nil {
		period = cfg.Service(e.Service).ColdPeriod
	}
	if until := returnedAt.Add(period); now.Before(until) && until.After(e.ColdUntil) {
		cp := *e
		cp.ColdUntil = until
		return &cp
	}
	return e
}

// applyEndpoints applies the entries of endpoints. If full is true, endpoints
// without an entry are removed.
func (c *Control) applyEndpoints(entries []plat.Entry, full bool, now time.Time) {
	change := fleet.Change{Missing: make(map[string]time.Time)}
	listed := make(map[string]bool)
	for _, entry := range entries {
		id, ok := plat.EndpointID(entry.Key)
		if !ok || !c.recordRevision(entry) {
			continue
		}
		if entry.Removed {
			c.removeEndpoint(&change, id, now)
			continue
		}
		e, err := plat.DecodeEndpoint(entry, now)
		if err != nil {
			c.Log.Event(logs.EndpointRejected).Str("endpoint", id).Int64("revision", entry.Revision).Err(err).Msg("")
			change.Remove = append(change.Remove, id)
			continue
		}
		listed[id] = true
		c.logEndpoint(e, now)
		change.Put = append(change.Put, c.withZoneColdPeriod(e, now))
	}
	if full {
		for id := range c.state.view.All() {
			if !listed[id] {
				c.removeEndpoint(&change, id, now)
			}
		}
	}
	c.state.view = c.state.view.WithChange(change)
}

// dropOverdue drops missing endpoints whose grace period is over. It must only be
// called after a successful read from the store: while the store is unreachable,
// nothing shows that missing endpoints have stopped, so they are kept.
func (c *Control) dropOverdue(now time.Time) {
	overdue := c.state.view.Overdue(now)
	for _, id := range overdue {
		c.Log.Event(logs.EndpointRemoved).Str("endpoint", id).Msg("")
	}
	if len(overdue) > 0 {
		c.state.view = c.state.view.WithChange(fleet.Change{Remove: overdue})
	}
}

// removeEndpoint adds the removal of an endpoint to change. Shortly after an
// outage the endpoint only counts as missing, because the store loses the entries
// of healthy endpoints during an outage.
func (c *Control) removeEndpoint(change *fleet.Change, id string, now time.Time) {
	if c.state.view.Endpoint(id) == nil {
		return
	}
	if !c.state.outageEnd.IsZero() && now.Sub(c.state.outageEnd) < recoveryWindow {
		change.Missing[id] = now.Add(missingGrace)
		c.Log.Event(logs.EndpointMissing).Str("endpoint", id).Dur("grace_ms", missingGrace).Msg("")
		return
	}
	change.Remove = append(change.Remove, id)
	c.Log.Event(logs.EndpointRemoved).Str("endpoint", id).Msg("")
}

// logEndpoint logs an endpoint that is new, was restarted, or whose state or
// coldness changed.
func (c *Control) logEndpoint(e *fleet.Endpoint, now time.Time) {
	old := c.state.view.Endpoint(e.ID)
	if old != nil && old.State == e.State && old.StartUnixMs == e.StartUnixMs && old.ColdAt(now) == e.ColdAt(now) {
		return
	}
	c.Log.Event(logs.EndpointSeen).Str("endpoint", e.ID).Str("service", e.Service).Str("zone", e.Zone).
		Str("addr", e.Addr).Str("state", string(e.State)).Bool("cold", e.ColdAt(now)).Int64("revision", e.Revision).Msg("")
}
