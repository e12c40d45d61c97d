// Package ctrl is an entry's control state: the configuration in force, the
// fleet, and the links to agents. One goroutine owns it and publishes immutable
// routing tables for the traffic goroutines.
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
	tickInterval  = 50 * time.Millisecond
	pauseLimit    = time.Second
	neighbourWait = 2 * time.Second // a new process waits so long for neighbours
	opsBacklog    = 256
)

// Config is what a Control is made from.
type Config struct {
	Instance   string
	Zone       string
	Entry      uint64 // incarnation
	Neighbours []string
	Platform   *fetch.Platform
	TLS        *tls.Config
	Clock      clock.Clock
	LastSeq    func() uint64
	Log        *log.Logger
}

// Control is the control state. Make it with New, then call Run.
type Control struct {
	cfg    Config
	ops    chan func()
	table  atomic.Pointer[route.Table]
	fresh  atomic.Bool
	ready  atomic.Bool
	loads  route.Loads
	pauses atomic.Uint64                    // of the process, so far
	peers  atomic.Pointer[map[string]*Peer] // by instance ID

	// What follows is owned by the goroutine in Run.
	keeper     conf.Tracker
	roster     roster.Roster
	gap        clock.PauseDetector
	began      time.Time
	asked      bool // the configuration service was read, or failed to be
	listed     bool // an instance list was read
	neighbours map[string]*Peer
}

// New returns a Control with nothing in force.
func New(cfg Config) *Control {
	c := &Control{
		cfg:        cfg,
		ops:        make(chan func(), opsBacklog),
		neighbours: make(map[string]*Peer),
	}
	c.peers.Store(&map[string]*Peer{})
	c.table.Store(route.NewTable(nil, nil, cfg.Zone, &c.loads))
	return c
}

// Run reads the platform and keeps the links until ctx ends. It blocks.
func (c *Control) Run(ctx context.Context) {
	c.began = c.cfg.Clock.Now()
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
			c.noticePause()
			op()
		case <-t.C:
			c.noticePause()
			c.judgeReady()
		}
		c.reconcile(ctx)
	}
}

// post hands f to the control goroutine and doesn't wait.
func (c *Control) post(ctx context.Context, f func()) {
	select {
	case c.ops <- f:
	case <-ctx.Done():
	}
}

func (c *Control) noticePause() {
	if !c.gap.Tick(c.cfg.Clock.Now(), pauseLimit) {
		return
	}
	c.fresh.Store(false)
	c.pauses.Add(1)
	c.asked = false
	c.began = c.cfg.Clock.Now()
	for _, p := range c.allPeers() {
		p.asked.Store(false)
		p.wakeSeq.Store(p.seq.Load() + 1)
	}
	c.cfg.Log.Warn().Msg("the process was paused: no new work until the view is confirmed")
}

// judgeReady decides whether the view may be trusted: the service and the
// neighbours were asked since the start or the last pause, or didn't answer in
// time, and there is a configuration and a fleet.
func (c *Control) judgeReady() {
	if c.fresh.Load() || !c.listed || c.keeper.Current() == nil {
		return
	}
	all := true
	some := false
	for _, p := range c.allPeers() {
		all = all && p.asked.Load()
		some = some || p.asked.Load()
	}
	waited := c.cfg.Clock.Now().Sub(c.began) >= neighbourWait
	if (c.asked && all) || (waited && (c.asked || some)) {
		c.fresh.Store(true)
		c.ready.Store(true)
	}
}

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

// Table returns the routing table in force. It never returns nil.
func (c *Control) Table() *route.Table { return c.table.Load() }

// Fresh reports whether the view was confirmed since the last pause.
func (c *Control) Fresh() bool { return c.fresh.Load() }

// Peer returns the link to an instance's agent, or nil.
func (c *Control) Peer(instance string) *Peer { return (*c.peers.Load())[instance] }

// offer considers a document from the service or from a neighbour.
func (c *Control) offer(raw []byte, from string) conf.Verdict {
	v := c.keeper.Offer(raw)
	switch v {
	case conf.VerdictAccepted:
		c.cfg.Log.Info().Uint64("revision", c.keeper.Current().Revision()).Str("from", from).Msg("configuration in force")
		c.rebuild()
	case conf.VerdictConflict:
		c.cfg.Log.Error().Err(c.keeper.LastError()).Str("from", from).Msg("configuration conflict")
		c.rebuild()
	case conf.VerdictInvalid:
		c.cfg.Log.Error().Err(c.keeper.LastError()).Str("from", from).Msg("configuration refused")
	}
	return v
}

func (c *Control) rebuild() {
	c.table.Store(route.NewTable(c.keeper.Current(), c.roster.Members(), c.cfg.Zone, &c.loads))
	c.tellPeers()
}

// reconcile opens links to new agents and ends those to agents that are gone.
func (c *Control) reconcile(ctx context.Context) {
	now := *c.peers.Load()
	members := c.roster.Members()
	next := make(map[string]*Peer, len(members))
	changed := len(members) != len(now)
	for _, m := range members {
		p := now[m.ID]
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
	for id, p := range now {
		if next[id] != p {
			p.stop()
			c.loads.Get(id).SetLink(false, 0)
		}
	}
	c.loads.Retain(func(id string) bool { return next[id] != nil })
	c.peers.Store(&next)
	c.rebuild()
}

// Status is what operators see of an entry's control state.
type Status struct {
	Instance   string           `json:"instance"`
	Zone       string           `json:"zone"`
	Revision   uint64           `json:"revision"`
	Fresh      bool             `json:"fresh"`
	ListError  string           `json:"list_error,omitempty"`
	Error      string           `json:"error,omitempty"`
	Zones      []conf.Zone      `json:"zones"`
	Endpoints  []EndpointStatus `json:"endpoints"`
	Neighbours int              `json:"neighbours"`
}

// EndpointStatus is one endpoint as the entry sees it.
type EndpointStatus struct {
	Instance    string            `json:"instance"`
	Zone        string            `json:"zone"`
	State       roster.State      `json:"state"`
	Labels      map[string]string `json:"labels"`
	Linked      bool              `json:"linked"`
	Limit       int               `json:"limit"`
	Busy        int               `json:"busy"`
	Outstanding int               `json:"outstanding"`
	Cold        bool              `json:"cold"`
	Closed      string            `json:"closed,omitempty"`
	Model       string            `json:"model,omitempty"`
	Waits       string            `json:"waits,omitempty"`
}

// Status returns the control state.
func (c *Control) Status() Status {
	t := c.Table()
	s := Status{
		Instance:   c.cfg.Instance,
		Zone:       c.cfg.Zone,
		Revision:   t.Accepted.Revision(),
		Fresh:      c.Fresh(),
		Neighbours: len(c.cfg.Neighbours),
	}
	if t.Accepted != nil {
		s.Zones = t.Accepted.Doc.Zones
	}
	reply := make(chan error, 1)
	c.ops <- func() { reply <- c.keeper.LastError() }
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
		Instance:    e.Instance.ID,
		Zone:        e.Instance.Zone,
		State:       e.Instance.State,
		Labels:      maps.Clone(e.Instance.Labels),
		Linked:      e.Load.Linked(),
		Limit:       last.Limit,
		Busy:        last.Busy,
		Outstanding: e.Load.Outstanding(),
		Cold:        last.Cold,
		Closed:      last.ClosedReason,
		Model:       last.Model,
		Waits:       last.PlacementWait,
	}
}
