// Package ctrl maintains an entry's control state: the active configuration, the
// fleet, and the links to agents. One goroutine owns this state and publishes
// immutable routing tables for the goroutines that serve requests.
package ctrl

import (
	"context"
	"crypto/tls"
	"maps"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"wigeonplank.example/base/fetch"
	"wigeonplank.example/core/clock"
	"wigeonplank.example/core/conf"
	"wigeonplank.example/core/roster"
	"wigeonplank.example/core/route"
)

const (
	tickInterval    = 50 * time.Millisecond
	pauseThreshold  = time.Second     // a longer gap between ticks counts as a pause of the process
	responseTimeout = 2 * time.Second // wait for all peers to respond; see confirmView
	maxQueuedOps    = 256             // functions queued for the control goroutine
)

// Config holds the parameters and dependencies of a Control.
type Config struct {
	Instance    string
	Zone        string
	Incarnation uint64   // incarnation of this entry
	Neighbours  []string // IP:port of agents that are asked for the configuration only
	Platform    *fetch.Platform
	TLS         *tls.Config
	Clock       clock.Clock
	LastSeq     func() uint64 // highest attempt number used so far
	Log         *log.Logger
}

// Control is the control state of an entry. Create it with New, then call Run.
type Control struct {
	cfg           Config
	ops           chan func()
	table         atomic.Pointer[route.Table]
	viewConfirmed atomic.Bool // see ViewConfirmed
	ready         atomic.Bool
	loads         route.Loads
	pauseCount    atomic.Uint64                    // pauses of the process since its start
	peers         atomic.Pointer[map[string]*Peer] // by instance ID

	// The fields below are owned by the goroutine in Run.
	tracker       conf.Tracker
	roster        roster.Roster
	pauseDetector clock.PauseDetector
	waitStartedAt time.Time        // when Run began or the end of the last pause was detected
	serviceRead   bool             // a read of the configuration service has ended, even with an error, since the start or the last pause
	listRead      bool             // an instance list was read since the start
	neighbours    map[string]*Peer // by address
}

// New returns a Control without a configuration and without endpoints.
func New(cfg Config) *Control {
	c := &Control{
		cfg:        cfg,
		ops:        make(chan func(), maxQueuedOps),
		neighbours: make(map[string]*Peer),
	}
	c.peers.Store(&map[string]*Peer{})
	c.table.Store(route.NewTable(nil, nil, cfg.Zone, &c.loads))
	return c
}

// Run reads from the platform's services and maintains the links to agents until
// ctx ends. It blocks.
func (c *Control) Run(ctx context.Context) {
	c.waitStartedAt = c.cfg.Clock.Now()
	go c.watchConfig(ctx)
	go c.pollList(ctx)
	for _, addr := range c.cfg.Neighbours {
		p := c.newPeer("", addr)
		c.neighbours[addr] = p
		go p.link.Run(ctx)
	}
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case op := <-c.ops:
			c.detectPause()
			op()
		case <-t.C:
			c.detectPause()
			c.confirmView()
		}
		c.reconcilePeers(ctx)
	}
}

// post queues f for the control goroutine. It doesn't wait for f to run, but
// blocks while the queue is full.
func (c *Control) post(ctx context.Context, f func()) {
	select {
	case c.ops <- f:
	case <-ctx.Done():
	}
}

// detectPause withdraws the confirmation of the view after a pause of the process,
// because the view may be outdated by then.
func (c *Control) detectPause() {
	if !c.pauseDetector.Tick(c.cfg.Clock.Now(), pauseThreshold) {
		return
	}
	c.viewConfirmed.Store(false)
	c.pauseCount.Add(1)
	c.serviceRead = false
	c.waitStartedAt = c.cfg.Clock.Now()
	for _, p := range c.allPeers() {
		p.responded.Store(false)
		p.minPongSeq.Store(p.lastPingSeq.Load() + 1)
	}
	c.cfg.Log.Warn().Msg("process was paused; rejecting new requests until the view is confirmed again")
}

// confirmView marks the view as confirmed if there is a configuration and an
// instance list, and one of these holds since the start or the last pause:
//   - a read of the configuration service has ended, even with an error, and all
//     peers have responded;
//   - responseTimeout has passed, and such a read has ended or a peer has
//     responded.
func (c *Control) confirmView() {
	if c.viewConfirmed.Load() || !c.listRead || c.tracker.Current() == nil {
		return
	}
	allResponded := true
	anyResponded := false
	for _, p := range c.allPeers() {
		allResponded = allResponded && p.responded.Load()
		anyResponded = anyResponded || p.responded.Load()
	}
	timedOut := c.cfg.Clock.Now().Sub(c.waitStartedAt) >= responseTimeout
	if (c.serviceRead && allResponded) || (timedOut && (c.serviceRead || anyResponded)) {
		c.viewConfirmed.Store(true)
		c.ready.Store(true)
	}
}

// allPeers returns the peers of the fleet and the neighbours.
func (c *Control) allPeers() []*Peer {
	peers := *c.peers.Load()
	out := make([]*Peer, 0, len(peers)+len(c.neighbours))
	for _, p := range peers {
		out = append(out, p)
	}
	for _, p := range c.neighbours {
		out = append(out, p)
	}
	return out
}

// Table returns the current routing table. It never returns nil.
func (c *Control) Table() *route.Table { return c.table.Load() }

// ViewConfirmed reports whether the view was confirmed since the start or the last
// pause of the process.
func (c *Control) ViewConfirmed() bool { return c.viewConfirmed.Load() }

// Peer returns the link to an instance's agent, or nil.
func (c *Control) Peer(instance string) *Peer { return (*c.peers.Load())[instance] }

// offerDocument applies a document received from the configuration service or from
// a peer if it is valid and newer than the active one.
func (c *Control) offerDocument(raw []byte, from string) conf.Verdict {
	v := c.tracker.Offer(raw)
	switch v {
	case conf.VerdictAccepted:
		c.cfg.Log.Info().Uint64("revision", c.tracker.Current().Revision()).Str("from", from).Msg("configuration applied")
		c.rebuildTable()
	case conf.VerdictConflict:
		c.cfg.Log.Error().Err(c.tracker.LastError()).Str("from", from).Msg("two configurations have the same revision")
		c.rebuildTable()
	case conf.VerdictInvalid:
		c.cfg.Log.Error().Err(c.tracker.LastError()).Str("from", from).Msg("configuration rejected")
	}
	return v
}

// rebuildTable publishes a new routing table and updates what agents are sent
// about their instances.
func (c *Control) rebuildTable() {
	c.table.Store(route.NewTable(c.tracker.Current(), c.roster.Members(), c.cfg.Zone, &c.loads))
	c.updateListings()
}

// reconcilePeers opens links to new agents and closes those to agents that are no
// longer listed.
func (c *Control) reconcilePeers(ctx context.Context) {
	current := *c.peers.Load()
	members := c.roster.Members()
	next := make(map[string]*Peer, len(members))
	changed := len(members) != len(current)
	for _, m := range members {
		p := current[m.ID]
		if p == nil || p.addr != m.Agent {
			changed = true
			p = c.newPeer(m.ID, m.Agent)
			p.start(ctx)
		}
		next[m.ID] = p
	}
	if !changed {
		return
	}
	for id, p := range current {
		if next[id] != p {
			p.stop()
			c.loads.Get(id).SetLink(false, 0)
		}
	}
	c.loads.Retain(func(id string) bool { return next[id] != nil })
	c.peers.Store(&next)
	c.rebuildTable()
}

// Status is an entry's control state as shown to operators.
type Status struct {
	Instance      string           `json:"instance"`
	Zone          string           `json:"zone"`
	Revision      uint64           `json:"revision"`
	ViewConfirmed bool             `json:"fresh"`
	ListError     string           `json:"list_error,omitempty"`
	Error         string           `json:"error,omitempty"`
	Zones         []conf.Zone      `json:"zones"`
	Endpoints     []EndpointStatus `json:"endpoints"`
	Neighbours    int              `json:"neighbours"`
}

// EndpointStatus is the state of one endpoint as known to the entry.
type EndpointStatus struct {
	Instance      string            `json:"instance"`
	Zone          string            `json:"zone"`
	State         roster.State      `json:"state"`
	Labels        map[string]string `json:"labels"`
	Linked        bool              `json:"linked"`
	Limit         int               `json:"limit"`
	Busy          int               `json:"busy"`
	Outstanding   int               `json:"outstanding"`
	Cold          bool              `json:"cold"`
	ClosedReason  string            `json:"closed,omitempty"`
	Model         string            `json:"model,omitempty"`
	PlacementWait string            `json:"waits,omitempty"`
}

// Status returns the control state. It blocks until the control goroutine
// answers, so Run must be running.
func (c *Control) Status() Status {
	t := c.Table()
	s := Status{
		Instance:      c.cfg.Instance,
		Zone:          c.cfg.Zone,
		Revision:      t.Accepted.Revision(),
		ViewConfirmed: c.ViewConfirmed(),
		Neighbours:    len(c.cfg.Neighbours),
	}
	if t.Accepted != nil {
		s.Zones = t.Accepted.Doc.Zones
	}
	reply := make(chan error, 1)
	c.ops <- func() { reply <- c.tracker.LastError() }
	if err := <-reply; err != nil {
		s.Error = err.Error()
	}
	for _, e := range t.Endpoints {
		s.Endpoints = append(s.Endpoints, endpointStatus(e))
	}
	return s
}

func endpointStatus(e *route.Endpoint) EndpointStatus {
	last := e.Load.LastReport()
	return EndpointStatus{
		Instance:      e.Instance.ID,
		Zone:          e.Instance.Zone,
		State:         e.Instance.State,
		Labels:        maps.Clone(e.Instance.Labels),
		Linked:        e.Load.Linked(),
		Limit:         last.Limit,
		Busy:          last.Busy,
		Outstanding:   e.Load.Outstanding(),
		Cold:          last.Cold,
		ClosedReason:  last.ClosedReason,
		Model:         last.Model,
		PlacementWait: last.PlacementWait,
	}
}
