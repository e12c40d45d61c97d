// Package ctrl is a relay's control state: what the platform's store says, as a
// view that traffic reads without asking. One goroutine owns it.
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

// Timing of the reads from the store.
const (
	watchWait      = 4 * time.Second        // an answer that is lost is noticed when the store counts as stable again
	gatherPause    = 250 * time.Millisecond // changes that come together are read together
	backoffBase    = 100 * time.Millisecond
	backoffMost    = 500 * time.Millisecond
	answerLimit    = time.Second             // of a read; a store under load takes 200 ms
	probeLimit     = 700 * time.Millisecond  // of a read after a failed one: what was sent during an outage is never answered
	longProbe      = 1500 * time.Millisecond // of each fourth of these, for a store that is slower than that
	longProbeEvery = 4
	returnWindow   = 4 * time.Second         // so long after an outage entries may be missing for no reason
	lapseGrace     = 1500 * time.Millisecond // by then the entry of a living endpoint is back; endpoints that leave serve for two seconds
	askLimit       = time.Second             // for the control goroutine to answer
	lapseWait      = 250 * time.Millisecond  // of a watch while entries are missing
	defaultColdFor = 3 * time.Second         // for zones that come back, where the service doesn't say
)

// Control reads the store and publishes views. Make it with New.
type Control struct {
	Store *plat.Store
	Clock clock.Clock
	Log   *logs.Logger
	// OnView is called from the control goroutine after each change.
	OnView func(v *fleet.View)

	view   atomic.Pointer[fleet.View]
	loaded atomic.Bool // a list of endpoints is known
	heard  atomic.Pointer[time.Time]
	news   chan news
	asks   chan chan<- []plat.Item
	state  state
}

// state is owned by the control goroutine.
type state struct {
	view      fleet.View
	coldUntil map[string]time.Time // zones that came back
	regained  time.Time            // end of the last outage
	seen      map[string]int64     // newest revision by key
	items     map[string]plat.Item // as read, by key, to be handed to other relays
}

func newState() state {
	return state{coldUntil: make(map[string]time.Time), seen: make(map[string]int64), items: make(map[string]plat.Item)}
}

// news is what one read of the store brought.
type news struct {
	items  []plat.Item
	full   bool   // items are all there are
	outage bool   // the read before failed
	from   string // relay that told; empty: read from the store
	age    time.Duration
}

// View returns what is believed now. It never blocks.
func (c *Control) View() *fleet.View {
	if v := c.view.Load(); v != nil {
		return v
	}
	return &fleet.View{}
}

// Ready reports whether requests can be served, and what is missing if not.
func (c *Control) Ready() (bool, string) {
	switch {
	case c.View().Config == nil:
		return false, "no configuration yet"
	case !c.loaded.Load():
		return false, "no list of endpoints yet"
	}
	return true, "ok"
}

// Run reads the store until ctx ends. It blocks.
func (c *Control) Run(ctx context.Context) {
	c.state = newState()
	go c.follow(ctx)
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-c.news:
			c.apply(n)
		case reply := <-c.asks:
			reply <- slices.Collect(maps.Values(c.state.items))
		}
	}
}

// New returns a Control that reads from store. Set OnView before Run.
func New(store *plat.Store, clk clock.Clock, l *logs.Logger) *Control {
	return &Control{Store: store, Clock: clk, Log: l, news: make(chan news), asks: make(chan chan<- []plat.Item)}
}

// Learnt returns what is known of the store's items, and how long ago the store
// was heard. It blocks until the control goroutine answers, or returns nothing
// if that has ended or is busy for long.
func (c *Control) Learnt() ([]plat.Item, time.Duration) {
	reply := make(chan []plat.Item, 1)
	t := time.NewTimer(askLimit)
	defer t.Stop()
	select {
	case c.asks <- reply:
	case <-t.C:
		return nil, 0
	}
	at := c.heard.Load()
	if at == nil {
		return <-reply, 0
	}
	return <-reply, c.Clock.Now().Sub(*at)
}

// Learn takes what another relay has learnt, for as long as nothing is known.
// It doesn't block.
func (c *Control) Learn(from string, items []plat.Item, age time.Duration) {
	if len(items) == 0 {
		return // the other relay knows nothing either
	}
	go func() {
		t := time.NewTimer(askLimit)
		defer t.Stop()
		select {
		case c.news <- news{items: items, from: from, age: age}:
		case <-t.C:
		}
	}()
}

// follow reads all that the store holds and then its changes. One watch for all
// costs half the calls of two.
func (c *Control) follow(ctx context.Context) {
	after, failures, lost := int64(-1), 0, time.Time{}
	for ctx.Err() == nil {
		n, err := c.read(&after, failures)
		switch {
		case errors.Is(err, plat.ErrCompacted):
			c.Log.Event(logs.HistoryGone).Int64("after", after).Msg("")
			after = -1
			continue
		case err != nil:
			failures++
			if failures == 1 {
				lost = c.Clock.Now()
				c.Log.Event(logs.StoreLost).Err(err).Msg("")
			}
			wait.For(ctx, retry.Backoff{Base: backoffBase, Max: backoffMost}.Delay(failures, rand.Float64()))
			continue
		}
		if failures > 0 {
			c.Log.Event(logs.StoreRegained).Int("failures", failures).Dur("lost_ms", c.Clock.Now().Sub(lost)).Msg("")
		}
		n.outage = failures > 0
		failures = 0
		if n.full || n.outage || len(n.items) > 0 || c.View().HasMissing() {
			select {
			case <-ctx.Done():
				return
			case c.news <- n:
			}
			wait.For(ctx, gatherPause)
		}
	}
}

// patience returns how long a read may wait for changes, and how long for its
// answer beyond that, after so many failures in a row. After a failure it asks
// at short intervals, so that the end of an outage is noticed soon.
func patience(failures int) (changes, limit time.Duration) {
	switch {
	case failures == 0:
		return watchWait, answerLimit
	case failures%longProbeEvery == 0:
		return 0, longProbe
	}
	return 0, probeLimit
}

func (c *Control) read(after *int64, failures int) (news, error) {
	changes, limit := patience(failures)
	if c.View().HasMissing() {
		changes = min(changes, lapseWait)
	}
	if *after < 0 {
		items, from, err := c.Store.Range(plat.AllPrefix, limit)
		if err != nil {
			return news{}, err
		}
		*after = from
		return news{items: items, full: true}, nil
	}
	items, next, err := c.Store.Watch(plat.AllPrefix, *after, changes, limit)
	if err != nil {
		return news{}, err
	}
	*after = next
	return news{items: items}, nil
}

func (c *Control) apply(n news) {
	now := c.Clock.Now()
	if n.outage {
		c.state.regained = now
	}
	if n.from != "" {
		if ready, _ := c.Ready(); ready {
			return
		}
		c.Log.Event(logs.ViewLearnt).Str("from", n.from).Int("entries", len(n.items)).Dur("age_ms", n.age).Msg("")
	} else {
		c.heard.Store(&now)
	}
	n.items = newest(n.items)
	c.keep(n)
	var operator, endpoints []plat.Item
	for _, it := range n.items {
		if _, ok := plat.EndpointID(it.Key); ok {
			endpoints = append(endpoints, it)
		} else {
			operator = append(operator, it)
		}
	}
	c.applyOperator(operator, n.full, now)
	c.applyEndpoints(endpoints, n.full, now)
	if n.from == "" {
		c.confirm(now)
	}
	c.loaded.Store(true)
	v := c.state.view
	c.view.Store(&v)
	if c.OnView != nil {
		c.OnView(&v)
	}
}

// keep holds on to items for other relays.
func (c *Control) keep(n news) {
	if n.full {
		clear(c.state.items)
	}
	for _, it := range n.items {
		if it.Removed {
			delete(c.state.items, it.Key)
		} else {
			c.state.items[it.Key] = it
		}
	}
}

// newest keeps the last item of each key.
func newest(items []plat.Item) []plat.Item {
	last := make(map[string]int, len(items))
	for i, it := range items {
		if at, ok := last[it.Key]; !ok || it.Revision >= items[at].Revision {
			last[it.Key] = i
		}
	}
	out := make([]plat.Item, 0, len(last))
	for i, it := range items {
		if last[it.Key] == i {
			out = append(out, it)
		}
	}
	return out
}

// newer records an item and reports whether it is news.
func (c *Control) newer(it plat.Item) bool {
	if it.Revision < c.state.seen[it.Key] {
		return false
	}
	c.state.seen[it.Key] = it.Revision
	return true
}

func (c *Control) applyOperator(items []plat.Item, full bool, now time.Time) {
	zones := make(map[string]bool)
	if !full {
		for z := range c.state.view.DrainedZones() {
			zones[z] = true
		}
	}
	for _, it := range items {
		if !c.newer(it) {
			continue
		}
		if plat.IsConfig(it.Key) && !it.Removed {
			c.applyConfig(it)
			continue
		}
		if zone, ok := plat.DrainedZone(it.Key); ok {
			if it.Removed {
				delete(zones, zone)
			} else {
				zones[zone] = true
			}
		}
	}
	c.applyZones(zones, now)
}

func (c *Control) applyConfig(it plat.Item) {
	cfg, err := plat.DecodeConfig(it)
	if err != nil {
		c.Log.Event(logs.ConfigRejected).Int64("revision", it.Revision).Err(err).Msg("")
		return
	}
	if old := c.state.view.Config; old != nil && cfg.Version <= old.Version {
		return
	}
	c.state.view = c.state.view.WithConfig(cfg)
	c.Log.Event(logs.ConfigApplied).Int64("version", cfg.Version).Int64("revision", it.Revision).Int("routes", cfg.NumRoutes()).Msg("")
}

// applyZones puts the drained zones in force. The endpoints of a zone that comes
// back count as cold: they may have been started meanwhile.
func (c *Control) applyZones(zones map[string]bool, now time.Time) {
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
		c.state.coldUntil[z] = now
		for _, e := range c.state.view.All() {
			if e.Zone == z {
				change.Put = append(change.Put, c.chill(e, now))
			}
		}
	}
	c.state.view = c.state.view.WithChange(change)
}

// chill returns the endpoint as cold, if its zone has just come back.
func (c *Control) chill(e *fleet.Endpoint, now time.Time) *fleet.Endpoint {
	back, ok := c.state.coldUntil[e.Zone]
	if !ok {
		return e
	}
	cold := defaultColdFor
	if cfg := c.state.view.Config; cfg != nil && cfg.Service(e.Service) != nil {
		cold = cfg.Service(e.Service).ColdPeriod
	}
	if ends := back.Add(cold); now.Before(ends) && ends.After(e.ColdUntil) {
		cp := *e
		cp.ColdUntil = ends
		return &cp
	}
	return e
}

func (c *Control) applyEndpoints(items []plat.Item, full bool, now time.Time) {
	change := fleet.Change{Missing: make(map[string]time.Time)}
	listed := make(map[string]bool)
	for _, it := range items {
		id, ok := plat.EndpointID(it.Key)
		if !ok || !c.newer(it) {
			continue
		}
		if it.Removed {
			c.remove(&change, id, now)
			continue
		}
		e, err := plat.DecodeEndpoint(it, now)
		if err != nil {
			c.Log.Event(logs.EndpointRejected).Str("endpoint", id).Int64("revision", it.Revision).Err(err).Msg("")
			change.Remove = append(change.Remove, id)
			continue
		}
		listed[id] = true
		c.logEndpoint(e, now)
		change.Put = append(change.Put, c.chill(e, now))
	}
	if full {
		for id := range c.state.view.All() {
			if !listed[id] {
				c.remove(&change, id, now)
			}
		}
	}
	c.state.view = c.state.view.WithChange(change)
}

// confirm drops endpoints whose entries should have come back: the store has just
// answered, and still misses them. While it is away they are left alone.
func (c *Control) confirm(now time.Time) {
	gone := c.state.view.Overdue(now)
	for _, id := range gone {
		c.Log.Event(logs.EndpointGone).Str("endpoint", id).Msg("")
	}
	if len(gone) > 0 {
		c.state.view = c.state.view.WithChange(fleet.Change{Remove: gone})
	}
}

func (c *Control) remove(change *fleet.Change, id string, now time.Time) {
	if c.state.view.Endpoint(id) == nil {
		return
	}
	// An outage makes entries lapse whose endpoints are well.
	if !c.state.regained.IsZero() && now.Sub(c.state.regained) < returnWindow {
		change.Missing[id] = now.Add(lapseGrace)
		c.Log.Event(logs.EndpointMissing).Str("endpoint", id).Dur("grace_ms", lapseGrace).Msg("")
		return
	}
	change.Remove = append(change.Remove, id)
	c.Log.Event(logs.EndpointGone).Str("endpoint", id).Msg("")
}

func (c *Control) logEndpoint(e *fleet.Endpoint, now time.Time) {
	old := c.state.view.Endpoint(e.ID)
	if old != nil && old.State == e.State && old.StartUnixMs == e.StartUnixMs && old.ColdAt(now) == e.ColdAt(now) {
		return
	}
	c.Log.Event(logs.EndpointSeen).Str("endpoint", e.ID).Str("service", e.Service).Str("zone", e.Zone).
		Str("addr", e.Addr).Str("state", string(e.State)).Bool("cold", e.ColdAt(now)).Int64("revision", e.Revision).Msg("")
}
