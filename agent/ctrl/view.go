package ctrl

import (
	"wigeonplank.example/core/conf"
	"wigeonplank.example/core/wire"
)

// Reasons for which an agent refuses all new work, besides those of its gate.
const (
	reasonNoConfig         = "no_configuration"
	reasonViewNotConfirmed = "view_not_confirmed" // since the start or the last pause of the process
	reasonZoneDrained      = "zone_drained"
	reasonLeaving          = "leaving"
)

// view is what entries report to the agent in their pings. It is confirmed
// (fresh) by a ping that an entry sent in response to a recent pong; a ping that
// waited in a socket during a pause of the process confirms nothing.
type view struct {
	fresh    bool
	lastPong uint64 // number of the last pong sent, on any link
	minEcho  uint64 // lowest pong number whose echo confirms the view
	leaving  bool   // the instance list says that the instance leaves; never reset
	labels   map[string]string
	listed   bool // labels, poolSize and poolRank come from an instance list
	poolSize int
	poolRank int
}

// invalidate marks the view as not confirmed until an entry echoes a pong that
// is sent after the call.
func (v *view) invalidate() {
	v.fresh = false
	v.minEcho = v.lastPong + 1
}

// applyPing updates the view from a ping. revision is that of the agent's active
// configuration, 0 if there is none. The ping confirms the view only if the
// sender's own view is confirmed and its configuration isn't newer.
func (v *view) applyPing(p *wire.Ping, revision uint64) {
	if p.GetListed() {
		v.leaving = v.leaving || p.GetLeaving()
		v.labels = p.GetLabels()
		v.listed = true
		v.poolSize = int(p.GetPoolSize())
		v.poolRank = int(p.GetPoolRank())
	}
	echoed := p.GetEcho() >= max(v.minEcho, 1)
	if p.GetFresh() && echoed && revision > 0 && p.GetRevision() <= revision {
		v.fresh = true
	}
}

// closedReason returns the reason why the view forbids new work, or "".
func (v *view) closedReason(acc *conf.Accepted, zone string) string {
	switch {
	case acc == nil:
		return reasonNoConfig
	case v.leaving:
		return reasonLeaving
	case acc.Doc.ZoneState(zone) != conf.ZoneServing:
		return reasonZoneDrained
	case !v.fresh:
		return reasonViewNotConfirmed
	default:
		return ""
	}
}

// HandlePing applies an entry's ping and returns the pong to send.
func (c *Control) HandlePing(p *wire.Ping) *wire.Pong {
	var out *wire.Pong
	c.do(func() {
		c.view.applyPing(p, c.tracker.Current().Revision())
		c.view.lastPong++
		out = &wire.Pong{
			Seq:         p.GetSeq(),
			Incarnation: c.cfg.Incarnation,
			Room:        c.capacity(),
			Fresh:       c.view.fresh,
			Number:      c.view.lastPong,
		}
		if acc := c.tracker.Current(); acc != nil {
			out.Revision = acc.Revision()
			out.Digest = acc.Digest
		}
	})
	return out
}

// OfferDocument checks a published configuration document that an entry
// forwarded and makes it active if it supersedes the active one. The error says
// why the last invalid or conflicting document was rejected; it is nil if a
// document was accepted since.
func (c *Control) OfferDocument(raw []byte) (conf.Verdict, error) {
	var v conf.Verdict
	var err error
	c.do(func() {
		v = c.tracker.Offer(raw)
		err = c.tracker.LastError()
	})
	return v, err
}

// NewerThan returns the active configuration document if it supersedes one with
// this revision and digest, or nil.
func (c *Control) NewerThan(revision, digest uint64) []byte {
	var raw []byte
	c.do(func() { raw = c.tracker.NewerThan(revision, digest) })
	return raw
}

// EntryConnected records that an entry has opened a link.
func (c *Control) EntryConnected(h *wire.Hello) {
	c.do(func() {
		c.table.RegisterEntry(h.GetEntry(), h.GetLastSeq())
		delete(c.disconnected, h.GetEntry())
	})
}

// EntryDisconnected records that an entry's last link has ended. Its attempts
// stay known for entryRetention, so that it can resume them on a new link.
func (c *Control) EntryDisconnected(entry uint64) {
	c.do(func() { c.disconnected[entry] = c.cfg.Clock.Now() })
}
