package ctrl

import (
	"wigeonplank.example/core/conf"
	"wigeonplank.example/core/wire"
)

// Reasons for which an agent takes no work, beside those of its gate.
const (
	reasonNoConfig  = "no_configuration"
	reasonStaleView = "view_not_confirmed" // since the start or the last pause
	reasonDrained   = "zone_drained"
	reasonLeaving   = "leaving"
)

// view is what entries told the agent of the world around it.
type view struct {
	fresh   bool
	pongs   uint64 // newest number given out
	confirm uint64 // the view is fresh once an entry echoes this pong or a later one
	leaving bool
	labels  map[string]string
	listed  bool
	size    int
	rank    int
}

// doubt makes the view count as old until an entry answers to a pong that is
// yet to be sent.
func (v *view) doubt() {
	v.fresh = false
	v.confirm = v.pongs + 1
}

// hear takes a ping into account. revision is what the agent has in force.
func (v *view) hear(p *wire.Ping, revision uint64) {
	if p.GetListed() {
		v.leaving = v.leaving || p.GetLeaving()
		v.labels = p.GetLabels()
		v.listed = true
		v.size = int(p.GetPoolSize())
		v.rank = int(p.GetPoolRank())
	}
	confirmed := p.GetEcho() >= max(v.confirm, 1)
	if p.GetFresh() && confirmed && revision > 0 && p.GetRevision() <= revision {
		v.fresh = true
	}
}

// closed returns why the view forbids new work, or "".
func (v *view) closed(acc *conf.Accepted, zone string) string {
	switch {
	case acc == nil:
		return reasonNoConfig
	case v.leaving:
		return reasonLeaving
	case acc.Doc.ZoneState(zone) != conf.ZoneServing:
		return reasonDrained
	case !v.fresh:
		return reasonStaleView
	default:
		return ""
	}
}

// Ping takes an entry's ping into account and returns the answer.
func (c *Control) Ping(p *wire.Ping) *wire.Pong {
	var out *wire.Pong
	c.do(func() {
		c.view.hear(p, c.keeper.Current().Revision())
		c.view.pongs++
		out = &wire.Pong{
			Seq:         p.GetSeq(),
			Incarnation: c.cfg.Incarnation,
			Room:        c.room(),
			Fresh:       c.view.fresh,
			Number:      c.view.pongs,
		}
		if acc := c.keeper.Current(); acc != nil {
			out.Revision = acc.Revision()
			out.Digest = acc.Digest
		}
	})
	return out
}

// Offer considers a published document that an entry passed on.
func (c *Control) Offer(raw []byte) (conf.Verdict, error) {
	var v conf.Verdict
	var err error
	c.do(func() {
		v = c.keeper.Offer(raw)
		err = c.keeper.LastError()
	})
	return v, err
}

// Newer returns the document in force if it goes before one of that revision
// and digest, or nil.
func (c *Control) Newer(revision, digest uint64) []byte {
	var raw []byte
	c.do(func() { raw = c.keeper.NewerThan(revision, digest) })
	return raw
}

// Meet records that an entry has opened a link.
func (c *Control) Meet(h *wire.Hello) {
	c.do(func() {
		c.table.RegisterEntry(h.GetEntry(), h.GetLastSeq())
		delete(c.gone, h.GetEntry())
	})
}

// Gone records that an entry has no link any more.
func (c *Control) Gone(entry uint64) {
	c.do(func() { c.gone[entry] = c.cfg.Clock.Now() })
}
