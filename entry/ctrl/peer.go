package ctrl

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"wigeonplank.example/base/link"
	"wigeonplank.example/core/place"
	"wigeonplank.example/core/roster"
	"wigeonplank.example/core/route"
	"wigeonplank.example/core/wire"
)

// Peer is the link to one agent, with the state exchanged in heartbeats.
type Peer struct {
	link *link.Peer
	addr string
	load *route.Load // nil for a neighbour, which is asked for the configuration only
	stop context.CancelFunc

	lastPingSeq    atomic.Uint64           // sequence number of the newest ping
	minPongSeq     atomic.Uint64           // lowest sequence number of a ping sent since the last pause
	lastPongNumber atomic.Uint64           // highest pong number received on the current link
	responded      atomic.Bool             // a pong since the start or the last pause reported a revision no newer than the active one
	listing        atomic.Pointer[listing] // newest listing, nil if there is none yet
	sentListing    atomic.Pointer[listing] // last listing sent on the current link
}

// listing is the state and labels of an agent's instance in the instance list, and
// its place in the pool of endpoints that should have the same model.
type listing struct {
	leaving  bool
	labels   map[string]string
	poolSize int
	poolRank int
}

// Call opens a stream to the agent and sends req; see link.Peer.Call.
func (p *Peer) Call(req *wire.Request) (*link.Stream, error) { return p.link.Call(req) }

// Query sends a request that may be repeated and reads its answer; see
// link.Peer.Query.
func (p *Peer) Query(ctx context.Context, req *wire.Request, read func(*link.Stream) error) error {
	return p.link.Query(ctx, req, read)
}

// AwaitLink waits for a link to the agent; see link.Peer.AwaitLink.
func (p *Peer) AwaitLink(ctx context.Context) error { return p.link.AwaitLink(ctx) }

// start runs the link until ctx ends or stop is called.
func (p *Peer) start(ctx context.Context) {
	ctx, p.stop = context.WithCancel(ctx)
	go p.link.Run(ctx)
}

// newPeer returns a Peer for the agent at addr. instance is empty for a neighbour.
func (c *Control) newPeer(instance, addr string) *Peer {
	p := &Peer{addr: addr}
	if instance != "" {
		p.load = c.loads.Get(instance)
	}
	p.link = &link.Peer{
		Addr:     addr,
		Entry:    c.cfg.Incarnation,
		Instance: c.cfg.Instance,
		TLS:      c.cfg.TLS,
		LastSeq:  c.cfg.LastSeq,
		NewPing:  func() *wire.Ping { return c.newPing(p) },
		NewerDocument: func(revision, digest uint64) []byte {
			return c.Table().Accepted.NewerThan(revision, digest)
		},
		OnUp: func(w *wire.Welcome) {
			p.sentListing.Store(nil)
			p.lastPongNumber.Store(0)
			if p.load != nil {
				p.load.SetLink(true, w.GetIncarnation())
			}
		},
		OnDown: func(err error) {
			if p.load != nil {
				p.load.SetLink(false, 0)
			}
			c.cfg.Log.Info().Err(err).Str("instance", instance).Str("addr", addr).Msg("link to agent down")
		},
		OnPong:      func(m *wire.Pong) { c.handlePong(p, m) },
		OnPublished: func(doc []byte) { c.ops <- func() { c.offerDocument(doc, addr) } },
	}
	return p
}

// newPing returns the next ping to a peer. The listing is included only if it has
// changed since it was last sent on this link.
func (c *Control) newPing(p *Peer) *wire.Ping {
	m := &wire.Ping{Seq: p.lastPingSeq.Add(1), Fresh: c.ViewConfirmed(), Echo: p.lastPongNumber.Load()}
	if acc := c.Table().Accepted; acc != nil {
		m.Revision = acc.Revision()
		m.Digest = acc.Digest
	}
	if l := p.listing.Load(); l != nil && l != p.sentListing.Load() {
		m.Listed = true
		m.Leaving = l.leaving
		m.Labels = l.labels
		m.PoolSize = uint32(l.poolSize)
		m.PoolRank = uint32(l.poolRank)
		p.sentListing.Store(l)
	}
	return m
}

// handlePong records the answer of an agent to a ping.
func (c *Control) handlePong(p *Peer, m *wire.Pong) {
	p.lastPongNumber.Store(max(p.lastPongNumber.Load(), m.GetNumber()))
	if m.GetSeq() >= p.minPongSeq.Load() && m.GetRevision() <= c.Table().Accepted.Revision() {
		p.responded.Store(true)
	}
	if p.load != nil {
		p.load.Observe(RouteReport(m.GetRoom()))
	}
}

// RouteReport converts an agent's capacity report to the router's type.
func RouteReport(r *wire.Room) route.Report {
	return route.Report{
		Limit:         int(r.GetLimit()),
		Busy:          int(r.GetBusy() + r.GetQueued()),
		ClosedReason:  r.GetClosed(),
		Model:         r.GetModel(),
		PlacementWait: r.GetWaits(),
		Cold:          r.GetCold(),
	}
}

// updateListings computes the listing of each agent's instance. Agents that should
// have the same model are ranked by a hash of the instance ID, so that all
// entries send the same ranks without coordination.
func (c *Control) updateListings() {
	members := c.roster.Members()
	pools := make(map[string][]roster.Instance)
	desired := make(map[string]string, len(members))
	if acc := c.tracker.Current(); acc != nil {
		for _, m := range members {
			if model, ok := place.Desired(acc.Doc, m.ID, m.Labels); ok {
				desired[m.ID] = model.String()
				pools[model.String()] = append(pools[model.String()], m)
			}
		}
	}
	ranks := make(map[string]int, len(members))
	for _, pool := range pools {
		slices.SortFunc(pool, func(a, b roster.Instance) int {
			return cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID))
		})
		for i, m := range pool {
			ranks[m.ID] = i
		}
	}
	peers := *c.peers.Load()
	for _, m := range members {
		if p := peers[m.ID]; p != nil {
			p.setListing(&listing{
				leaving:  m.State == roster.StateLeaving,
				labels:   m.Labels,
				poolSize: len(pools[desired[m.ID]]),
				poolRank: ranks[m.ID],
			})
		}
	}
}

// setListing sets the listing to send, unless it is unchanged.
func (p *Peer) setListing(l *listing) {
	old := p.listing.Load()
	if old != nil && old.leaving == l.leaving && old.poolSize == l.poolSize && old.poolRank == l.poolRank && maps.Equal(old.labels, l.labels) {
		return
	}
	p.listing.Store(l)
}
