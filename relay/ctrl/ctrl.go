// Package ctrl maintains a relay's control state: a view of the configuration,
// the endpoints and the drained zones in the platform's store. A single goroutine
// owns the state; request handlers read the current view without blocking.
package ctrl

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"wigeonplank.example/core/clock"
	"wigeonplank.example/core/fleet"
	"wigeonplank.example/core/repl"
	plat "wigeonplank.example/platform"
	"wigeonplank.example/relay/logs"
)

// Timing of the control state.
const (
	settlePeriod      = 4 * time.Second        // after the store was restored from a copy, in which operators drain zones again
	goneMemory        = time.Minute            // for which removed endpoints and returned zones are remembered, as a restored store may list them again
	controlTimeout    = time.Second            // to hand a query or an update to the control goroutine
	defaultColdPeriod = 3 * time.Second        // for endpoints of a returned zone whose service isn't configured
	maxViewAge        = 5 * time.Second        // since the last known contact with the store; a watch without changes takes up to 4 s
	maxContactError   = 200 * time.Millisecond // of the time of a contact that another relay reported

	// dropDelay is the longest time between the end of an endpoint's grace period and the
	// last request to it: a read, and the news of it at other relays, on a busy machine.
	dropDelay = missingCoalesceDelay + missingWatchWait + turnInterval + maxContactError
)

// Control maintains a replica of the platform's store and publishes a view of it.
// Create it with New and set the fields before Run. Its exported methods, except
// Run, are safe for concurrent use.
type Control struct {
	Store *plat.Store
	Clock clock.Clock
	Log   *logs.Logger
	// OnViewChange is called from the control goroutine with each new view.
	OnViewChange func(v *fleet.View)
	// Announce is called from the control goroutine when the replica has reached a
	// higher revision of the store, or when a contact with the store has shown that
	// missing endpoints are gone. It tells other relays the position.
	Announce func()
	// Reads reports whether this relay reads the store for others, and whether no
	// relay depends on others for that.
	Reads func() (reads, alone bool)
	// Size returns the number of relays.
	Size func() int
	// Limits returns the time limits of removals.
	Limits func() Limits

	view     atomic.Pointer[fleet.View]
	loaded   atomic.Bool // the first update was applied
	restored atomic.Bool // drained zones may be missing, as the store was restored from a copy
	updates  chan update
	queries  chan query
	state    state
	contacts contacts
	history  wholeHistory

	mu        sync.Mutex // guards the fields below
	point     repl.Point // of the replica
	follower  repl.Follower
	outages   repl.Outages
	showing   showing
	announced repl.Point // highest point that another relay has announced
	behindAt  time.Time  // since when the replica lacks changes up to announced; zero: it has them
}

// Limits are the time limits of removals from the store.
type Limits struct {
	Drain  time.Duration // from the confirmation of a removal to the last request to the endpoint
	Stable time.Duration // from the end of an outage until the store counts as stable
	Return time.Duration // from the end of an outage until the entries that lapsed during it are back
}

// state is owned by the control goroutine.
type state struct {
	view       fleet.View
	returnedAt map[string]time.Time // end of the last drain, by zone
	table      repl.Table
	config     []byte               // value of the entry that holds the active configuration
	settleAt   time.Time            // when the drained zones are those of the restored store; zero: they are
	gone       map[string]goneEntry // removed endpoints, by ID
}

func newState() state {
	return state{returnedAt: make(map[string]time.Time), gone: make(map[string]goneEntry)}
}

// update is the result of one read from the store, or changes from another relay.
type update struct {
	repl.Update
	failed   bool          // the previous read failed
	outage   bool          // the read may be the first one after an outage
	transfer repl.Transfer // from another relay; zero if the changes were read from the store
	position repl.Position // of that relay
	begun    time.Time     // when the read from the store began; zero: now
	recheck  bool          // there are no changes; only drop the endpoints that are overdue
}

// query asks the control goroutine for the changes after a point.
type query struct {
	after repl.Point
	reply chan<- repl.Update
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

// Confirmed reports whether the view is recent enough to tell callers that a route or
// key doesn't exist. After a long outage of the store, or a stall of this process,
// operators may have added it.
func (c *Control) Confirmed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Clock.Now().Sub(c.follower.Last().At) <= maxViewAge
}

// Run follows the store and applies updates until ctx is done. It blocks, and
// must be called once.
func (c *Control) Run(ctx context.Context) {
	c.state = newState()
	go c.followStore(ctx)
	go c.followHistory(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case u := <-c.updates:
			c.apply(u)
		case q := <-c.queries:
			q.reply <- c.state.table.Since(q.after)
		}
	}
}

// New returns the Control of the relay with an instance ID, which reads from store.
func New(instance string, store *plat.Store, clk clock.Clock, l *logs.Logger) *Control {
	c := &Control{
		Store: store, Clock: clk, Log: l, updates: make(chan update), queries: make(chan query),
		follower: repl.Follower{Self: instance, Started: clk.Now(), Jitter: rand.Float64()},
	}
	c.point.Revision = -1
	c.contacts.tickedAt = clk.Now()
	return c
}

// Position returns how much of the store this relay has read.
func (c *Control) Position() repl.Position {
	c.mu.Lock()
	defer c.mu.Unlock()
	return repl.Position{Point: c.point, Contact: c.follower.Last(), OutageEnd: c.outages.End()}
}

// Announced records the position of another relay, and reports whether it has
// changes that this relay lacks. Its contact with the store counts once this
// relay has these changes, unless the message may be from before a standstill.
func (c *Control) Announced(p repl.Position) bool {
	if !c.contacts.isNews(c.Clock.Now()) {
		p.Contact = repl.Contact{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.point.Before(p.Point) {
		if c.announced.Before(p.Point) {
			c.announced = p.Point
		}
		if c.behindAt.IsZero() {
			c.behindAt = c.Clock.Now()
		}
		if p.Era == c.point.Era {
			c.recordReadsLocked(p.Contact)
		}
		return true
	}
	if p.Era == c.point.Era {
		c.recordPositionLocked(p)
	}
	return false
}

// Receiving records that another relay is sending changes.
func (c *Control) Receiving() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.follower.RecordTransfer(c.Clock.Now())
}

// Behind returns for how long this relay has known of changes to the store that it
// lacks.
func (c *Control) Behind() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.behindAt.IsZero() {
		return 0
	}
	return c.Clock.Now().Sub(c.behindAt)
}

// recordPositionLocked records the contact with the store and the end of an outage
// that another relay reported. The caller holds c.mu.
func (c *Control) recordPositionLocked(p repl.Position) {
	c.follower.RecordOther(p.Contact)
	c.recordReadsLocked(p.Contact)
	c.outages.RecordEnd(p.OutageEnd)
}

// recordReadsLocked records what another relay reported of reads of the store. The
// caller holds c.mu.
func (c *Control) recordReadsLocked(contact repl.Contact) {
	if contact.Origin != c.follower.Self {
		c.outages.RecordContact(contact)
	}
}

// recordContact records that a read of the store that began at a time has ended, without changes.
func (c *Control) recordContact(begun time.Time) {
	at := c.contactTime(begun, c.Clock.Now())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outages.RecordContact(c.follower.RecordOwn(at))
}

// recordUpdate records the contact with the store that an applied update stands
// for, and the revision that the replica has reached. It reports whether that is a
// higher one. Others must never see the contact without the revision. restored tells
// whether the store was restored from a copy.
func (c *Control) recordUpdate(u update, restored bool, now time.Time) bool {
	at := c.contactTime(u.begun, now)
	if !c.contacts.isNews(now) {
		u.position.Contact = repl.Contact{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.showing.applying, c.showing.before = true, c.follower.Last()
	if restored || u.failed {
		c.follower.Interrupt(now)
	}
	if restored || u.outage {
		c.outages.RecordEnd(now)
	}
	if u.transfer.From != "" {
		c.recordPositionLocked(u.position)
	} else {
		c.outages.RecordContact(c.follower.RecordOwn(at))
	}
	before := c.point
	c.point = c.state.table.Point()
	if !c.point.Before(c.announced) {
		c.behindAt = time.Time{}
	}
	return before.Before(c.point)
}

// Changes returns the changes after a point, or all entries if its revision is
// negative, and the position that they lead to. It blocks until the control goroutine
// responds; the revision of the position is -1 if that takes longer than a second.
func (c *Control) Changes(after repl.Point) (repl.Update, repl.Position) {
	reply := make(chan repl.Update, 1)
	t := time.NewTimer(controlTimeout)
	defer t.Stop()
	// The position is read first: its contact may be older than the changes, but
	// must not be newer.
	p := c.Position()
	select {
	case c.queries <- query{after: after, reply: reply}:
		return <-reply, p
	case <-t.C:
		return repl.Update{}, repl.Position{Point: repl.Point{Revision: -1}}
	}
}

// Apply applies changes that another relay sent, and its position. It doesn't
// block; the changes are dropped if the control goroutine doesn't take them within
// a second.
func (c *Control) Apply(tr repl.Transfer, u repl.Update, p repl.Position) {
	go func() {
		t := time.NewTimer(controlTimeout)
		defer t.Stop()
		select {
		case c.updates <- update{Update: u, transfer: tr, position: p}:
		case <-t.C:
		}
	}()
}

// apply applies an update to the state and publishes the resulting view.
func (c *Control) apply(u update) {
	now := c.Clock.Now()
	if u.recheck {
		c.dropOverdue()
		c.settleZones(now)
		c.publish()
		return
	}
	before := c.state.table.Point()
	changes, err := c.state.table.Apply(u.Update)
	if err != nil {
		return // changes in between are missing, and are requested with the next heartbeat; or the update is of a former era
	}
	restored := before.Revision >= 0 && before.Era != u.Era
	if restored {
		c.Log.Event(logs.StoreRestored).Int64("era", u.Era).Int64("after", before.Revision).Int64("revision", u.To).Str("from", u.transfer.From).Msg("")
		changes = c.keepBelieved(changes, now)
	}
	advanced := c.recordUpdate(u, restored, now)
	if u.transfer.From != "" {
		c.Log.Event(logs.ViewReceived).Str("from", u.transfer.From).Int("entries", len(u.Entries)).Dur("age_ms", now.Sub(u.position.Contact.At)).
			Int("bytes", u.transfer.Bytes).Dur("took_ms", u.transfer.Took).Msg("")
	}
	var operator, endpoints []plat.Entry
	for _, entry := range changes {
		if _, ok := plat.EndpointID(entry.Key); ok {
			endpoints = append(endpoints, entry)
		} else {
			operator = append(operator, entry)
		}
	}
	c.applyOperatorEntries(operator, now)
	c.applyEndpoints(endpoints, now)
	dropped := c.dropOverdue()
	c.settleZones(now)
	c.loaded.Store(true)
	c.publish()
	if (advanced || dropped && u.transfer.From == "") && c.Announce != nil {
		c.Announce()
	}
}

// awaitsReturn reports whether entries that are missing from the store may return
// within their grace period.
func (c *Control) awaitsReturn() bool { return c.View().HasMissing() || c.restored.Load() }

// publish makes the view of the state the current one.
func (c *Control) publish() {
	v := c.state.view
	c.view.Store(&v)
	if c.OnViewChange != nil {
		c.OnViewChange(&v)
	}
	c.mu.Lock()
	c.showing.applying = false
	c.mu.Unlock()
}

// applyOperatorEntries applies the entries that operators write: the configuration
// and the drained zones.
func (c *Control) applyOperatorEntries(entries []plat.Entry, now time.Time) {
	if len(entries) == 0 {
		return
	}
	zones := make(map[string]bool)
	for z := range c.state.view.DrainedZones() {
		zones[z] = true
	}
	for _, entry := range entries {
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
	begun := c.Clock.Now()
	cfg, err := plat.DecodeConfig(entry)
	old := c.state.view.Config
	if old != nil && (err != nil || cfg.Version <= old.Version) {
		// Relays that start later must not go back to it either.
		entry.Value = c.state.config
		c.state.table.Override(entry)
	}
	if err != nil {
		c.Log.Event(logs.ConfigRejected).Int64("revision", entry.Revision).Err(err).Msg("")
		return
	}
	if old != nil && cfg.Version <= old.Version {
		return
	}
	c.state.config = entry.Value
	c.state.view = c.state.view.WithConfig(cfg)
	c.Log.Event(logs.ConfigApplied).Int64("version", cfg.Version).Int64("revision", entry.Revision).Int("routes", cfg.NumRoutes()).
		Dur("took_ms", c.Clock.Now().Sub(begun)).Msg("")
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
				change.Update = append(change.Update, c.withZoneColdPeriod(e, now))
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

// applyEndpoints applies changed entries of endpoints.
func (c *Control) applyEndpoints(entries []plat.Entry, now time.Time) {
	if len(entries) == 0 {
		return
	}
	change := fleet.Change{Missing: make(map[string]time.Time)}
	for _, entry := range entries {
		id, ok := plat.EndpointID(entry.Key)
		if !ok {
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
		c.logEndpoint(e, now)
		change.Put = append(change.Put, c.withZoneColdPeriod(e, now))
	}
	c.state.view = c.state.view.WithChange(change)
}

// dropOverdue drops the missing endpoints whose grace period was over at the last
// known contact with the store, and reports whether there were any. While the store is
// unreachable, nothing shows that missing endpoints have stopped, so they are kept.
func (c *Control) dropOverdue() bool {
	if !c.state.view.HasMissing() {
		return false
	}
	contact := c.Position().Contact
	if contact.Origin != c.follower.Self {
		// The relay that read the store drops the endpoint at the same contact. The next
		// one may be known here only after the drain time.
		contact.At = contact.At.Add(maxContactError)
	}
	overdue := c.state.view.Overdue(contact.At)
	if !contact.At.Before(c.returnDeadline()) {
		overdue = c.state.view.Missing() // also if the outage has turned out to be a failure of one relay
	}
	for _, id := range overdue {
		c.rememberGone(c.state.view.Endpoint(id), c.Clock.Now())
		c.Log.Event(logs.EndpointRemoved).Str("endpoint", id).Msg("")
	}
	if len(overdue) > 0 {
		c.state.view = c.state.view.WithChange(fleet.Change{Remove: overdue})
	}
	return len(overdue) > 0
}

// returnDeadline returns the time until which entries that lapsed in the last outage may
// be listed again. The store counts as stable by then.
func (c *Control) returnDeadline() time.Time {
	l := c.Limits()
	return c.Position().OutageEnd.Add(min(l.Return, l.Stable))
}

// awaitedUntil returns until when an endpoint whose removal was read at now may be
// listed again, because its entry may have lapsed in an outage. A removal that the store
// confirms while it is stable is never awaited. One from before may be that of an
// endpoint which shuts down, so that it is awaited for no longer than such an endpoint
// serves.
func (c *Control) awaitedUntil(now time.Time) time.Time {
	until := c.returnDeadline()
	if latest := now.Add(c.Limits().Drain - dropDelay); latest.Before(until) && c.state.settleAt.IsZero() {
		return latest
	}
	return until
}

// removeEndpoint adds the removal of an endpoint to change. Shortly after an
// outage the endpoint only counts as missing, because the store loses the entries
// of healthy endpoints during an outage.
func (c *Control) removeEndpoint(change *fleet.Change, id string, now time.Time) {
	e := c.state.view.Endpoint(id)
	if e == nil {
		return
	}
	if until := c.awaitedUntil(now); now.Before(until) {
		change.Missing[id] = until
		c.Log.Event(logs.EndpointMissing).Str("endpoint", id).Dur("grace_ms", until.Sub(now)).Msg("")
		return
	}
	c.rememberGone(e, now)
	change.Remove = append(change.Remove, id)
	c.Log.Event(logs.EndpointRemoved).Str("endpoint", id).Msg("")
}

// logEndpoint logs an endpoint that is new, was restarted, or whose state or
// coldness changed.
func (c *Control) logEndpoint(e *fleet.Endpoint, now time.Time) {
	old := c.state.view.Endpoint(e.ID)
	if old != nil && old.State == e.State && old.StartUnixMs == e.StartUnixMs && old.Version == e.Version && old.ColdAt(now) == e.ColdAt(now) {
		return
	}
	c.Log.Event(logs.EndpointSeen).Str("endpoint", e.ID).Str("service", e.Service).Str("zone", e.Zone).Str("endpoint_version", e.Version).
		Str("addr", e.Addr).Str("state", string(e.State)).Bool("cold", e.ColdAt(now)).Int64("revision", e.Revision).
		Int64("seq", e.Seq).Dur("up_ms", now.Sub(time.UnixMilli(e.StartUnixMs))).Msg("")
}
