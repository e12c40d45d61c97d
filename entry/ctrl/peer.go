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

// Peer is the link to one agent with what is told and heard over it.
type Peer struct {
	link *link.Peer
	addr string
	load *route.Load // nil for a neighbour that is asked for its configuration only
	stop context.CancelFunc

	seq     atomic.Uint64 // of the newest ping
	wakeSeq atomic.Uint64 // pongs to older pings say nothing of now
	echo    atomic.Uint64
	asked   atomic.Bool // it has said which revision it has, since start or pause
	told    atomic.Pointer[told]
	sent    atomic.Pointer[told]
}

// told is what an agent hears of the list about its own instance.
type told struct {
	leaving bool
	labels  map[string]string
	size    int
	rank    int
}

// Call opens a stream to the agent; see link.Peer.Call.
func (p *Peer) Call(req *wire.Request) (*link.Stream, error) { return p.link.Call(req) }

// Ask makes a call that may be repeated; see link.Peer.Ask.
func (p *Peer) Ask(ctx context.Context, req *wire.Request, read func(*link.Stream) error) error {
	return p.link.Ask(ctx, req, read)
}

func (p *Peer) start(ctx context.Context) {
	ctx, p.stop = context.WithCancel(ctx)
	go p.link.Run(ctx)
}

func (c *Control) newPeer(instance, addr string) *Peer {
	p := &Peer{addr: addr}
	if instance != "" {
		p.load = c.loads.Get(instance)
	}
	p.link = &link.Peer{
		Addr:     addr,
		Entry:    c.cfg.Entry,
		Instance: c.cfg.Instance,
		TLS:      c.cfg.TLS,
		LastSeq:  c.cfg.LastSeq,
		Ping:     func() *wire.Ping { return c.ping(p) },
		Newer: func(revision, digest uint64) []byte {
			return c.Table().Accepted.NewerThan(revision, digest)
		},
		OnUp: func(w *wire.Welcome) {
			p.sent.Store(nil)
			p.echo.Store(0)
			if p.load != nil {
				p.load.SetLink(true, w.GetIncarnation())
			}
		},
		OnDown: func(err error) {
			if p.load != nil {
				p.load.SetLink(false, 0)
			}
			c.cfg.Log.Info().Err(err).Str("instance", instance).Str("addr", addr).Msg("link down")
		},
		OnPong:      func(m *wire.Pong) { c.pong(p, m) },
		OnPublished: func(doc []byte) { c.ops <- func() { c.offer(doc, addr) } },
	}
	return p
}

func (c *Control) ping(p *Peer) *wire.Ping {
	m := &wire.Ping{Seq: p.seq.Add(1), Fresh: c.Fresh(), Echo: p.echo.Load()}
	if acc := c.Table().Accepted; acc != nil {
		m.Revision = acc.Revision()
		m.Digest = acc.Digest
	}
	if t := p.told.Load(); t != nil && t != p.sent.Load() {
		m.Listed = true
		m.Leaving = t.leaving
		m.Labels = t.labels
		m.PoolSize = uint32(t.size)
		m.PoolRank = uint32(t.rank)
		p.sent.Store(t)
	}
	return m
}

func (c *Control) pong(p *Peer, m *wire.Pong) {
	p.echo.Store(max(p.echo.Load(), m.GetNumber()))
	if m.GetSeq() >= p.wakeSeq.Load() && m.GetRevision() <= c.Table().Accepted.Revision() {
		p.asked.Store(true)
	}
	if p.load != nil {
		p.load.Observe(Report(m.GetRoom()))
	}
}

// Report returns the router's form of an agent's room.
func Report(r *wire.Room) route.Report {
	return route.Report{
		Limit:         int(r.GetLimit()),
		Busy:          int(r.GetBusy() + r.GetQueued()),
		ClosedReason:  r.GetClosed(),
		Model:         r.GetModel(),
		PlacementWait: r.GetWaits(),
		Cold:          r.GetCold(),
	}
}

// tellPeers computes what each agent should hear of its instance. Agents that
// desire the same model are ranked by a hash, so that every entry tells the
// same ranks without talking to the others.
func (c *Control) tellPeers() {
	members := c.roster.Members()
	pools := make(map[string][]roster.Instance)
	desired := make(map[string]string, len(members))
	if acc := c.keeper.Current(); acc != nil {
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
			p.tell(&told{
				leaving: m.State == roster.StateLeaving,
				labels:  m.Labels,
				size:    len(pools[desired[m.ID]]),
				rank:    ranks[m.ID],
			})
		}
	}
}

func (p *Peer) tell(t *told) {
	old := p.told.Load()
	if old != nil && old.leaving == t.leaving && old.size == t.size && old.rank == t.rank && maps.Equal(old.labels, t.labels) {
		return
	}
	p.told.Store(t)
}
