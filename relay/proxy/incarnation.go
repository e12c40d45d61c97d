package proxy

import (
	"context"
	"errors"
	"maps"
	"slices"
	"syscall"
	"time"

	"wigeonplank.example/core/fleet"
	"wigeonplank.example/core/origin"
	"wigeonplank.example/relay/life"
	"wigeonplank.example/relay/pool"
)

// Incarnations tells whether endpoints are still the incarnations that the view lists. The
// software version of an endpoint is known only then.
type Incarnations struct {
	*life.Ledger
	// ListedUntil returns the latest time for which the view lists each incarnation that
	// lived then and still does.
	ListedUntil func() time.Time
	// Current reports whether the view lists the incarnations that live now, as far as this
	// relay can tell.
	Current func() bool
	// Since returns a time since which what responds on a connection has lived.
	Since func(c *pool.Conn) time.Time
}

// errDoubted reports that the incarnation of an endpoint, and thus its version, isn't known.
var errDoubted = errors.New("not known to be the incarnation that is listed")

// beginning is where a stream began.
type beginning struct {
	endpoint  *fleet.Endpoint
	conn      *pool.Conn
	checkedAt time.Time
}

const (
	// maxRefreshAge is the age of a view at which streams go on over new connections.
	maxRefreshAge = 500 * time.Millisecond
	// beginningInterval is the time between two checks of where a stream began.
	beginningInterval = 500 * time.Millisecond
)

// presumed reports whether a new connection to an endpoint leads to its listed incarnation,
// as far as this relay can tell.
func (in *Incarnations) presumed(e *fleet.Endpoint) bool { return in.Current() && !in.Doubted(e) }

// isListed reports whether what responds on a connection is certainly the incarnation that
// the view lists.
func (in *Incarnations) isListed(c *pool.Conn) bool { return !in.Since(c).After(in.ListedUntil()) }

// recordLife records that an endpoint has responded on a connection to a request that was
// sent at a time.
func (in *Incarnations) recordLife(e *fleet.Endpoint, c *pool.Conn, sentAt time.Time) {
	if in.Doubted(e) && in.isListed(c) {
		in.Lived(e, sentAt)
	}
}

// refresh brings the view up to date before an attempt at which a stream goes on.
func (req *request) refresh(ctx context.Context) { req.fresh = req.Refresh(ctx, maxRefreshAge) }

// checkBeginning finds out from time to time whether the stream certainly began at its
// version.
func (req *request) checkBeginning() {
	if b := req.beginning; b != nil && req.lastEventAt.Sub(b.checkedAt) >= beginningInterval {
		b.checkedAt = req.lastEventAt
		if req.prove(req.Incarnations.presumedAt(b)) == proofFound {
			req.settleBeginning()
		}
	}
}

// settleBeginning records that the stream certainly began at its version.
func (req *request) settleBeginning() {
	e := req.beginning.endpoint
	req.beginning = nil
	req.recordOrigin(origin.Origin{Service: e.Service, Version: e.Version})
}

// confirmBeginning reports whether the stream began at its version, before it goes on
// elsewhere. If that can't be known, no other relay lets it go on either. It waits for a
// proof for a short time.
func (req *request) confirmBeginning(ctx context.Context) bool {
	b := req.beginning
	if b == nil {
		return !req.unsure
	}
	if req.awaitProof(ctx, req.Incarnations.presumedAt(b)) {
		req.settleBeginning()
		return true
	}
	req.setUnsure()
	return false
}

// presumeBeginning is confirmBeginning for a silent endpoint, whose successor can't wait: a
// version for which a proof is only pending counts.
func (req *request) presumeBeginning(ctx context.Context) bool {
	b := req.beginning
	if b == nil {
		return !req.unsure
	}
	req.refresh(ctx)
	p := req.prove(req.Incarnations.presumedAt(b))
	switch {
	case p == proofFound:
		req.settleBeginning()
		return true
	case p == proofPending && req.fresh && req.Incarnations.Current():
		return true
	}
	req.setUnsure()
	return false
}

// setUnsure records that the version at which the stream began can't be known.
func (req *request) setUnsure() {
	req.beginning, req.unsure = nil, true
	req.recordOrigin(origin.Origin{})
}

// mayGoOnAt reports whether a stream may go on at an endpoint, as its version is known.
func (req *request) mayGoOnAt(e *fleet.Endpoint) bool {
	return req.fresh && req.Incarnations.presumed(e) || req.isProven(e)
}

// isProven reports whether a kept connection leads to the incarnation of an endpoint that
// the view lists.
func (req *request) isProven(e *fleet.Endpoint) bool {
	return req.Pool.HasKept(e.ID, e.Addr, req.Incarnations.ListedUntil())
}

// canGoOn reports whether there is an endpoint at which the stream may go on.
func (req *request) canGoOn() bool {
	for _, e := range req.View().Endpoints(req.service) {
		if e.Version == *req.version && req.mayGoOnAt(e) {
			return true
		}
	}
	return false
}

// excluded returns the IDs of the endpoints to which the request must not be sent: those
// that were tried, and those whose version isn't known if a stream goes on.
func (req *request) excluded() map[string]bool {
	if req.version == nil {
		return req.tried
	}
	list := req.View().Endpoints(req.service)
	// Over a connection that proves the incarnation, a stream goes on at once and with certainty.
	proven := slices.ContainsFunc(list, func(e *fleet.Endpoint) bool {
		return e.Version == *req.version && !req.tried[e.ID] && req.isProven(e)
	})
	var out map[string]bool
	for _, e := range list {
		if e.Version != *req.version || req.tried[e.ID] || req.isProven(e) || !proven && req.mayGoOnAt(e) {
			continue
		}
		if out == nil {
			out = maps.Clone(req.tried)
		}
		out[e.ID] = true
	}
	if out == nil {
		return req.tried
	}
	return out
}

// connect returns a connection to an endpoint. If a stream goes on, it leads to the listed
// incarnation. If only a new connection does, connect waits until the view proves that,
// unless mayWait is false.
func (req *request) connect(ctx context.Context, e *fleet.Endpoint, mayWait bool) (*pool.Conn, error) {
	if req.version == nil {
		return req.Pool.Get(ctx, pool.KindRequest, e.ID, e.Addr, false)
	}
	if c := req.Pool.GetKept(e.ID, e.Addr, req.Incarnations.ListedUntil()); c != nil {
		return c, nil
	}
	if !req.fresh || !req.Incarnations.presumed(e) {
		return nil, errDoubted
	}
	c, err := req.Pool.Get(ctx, pool.KindRequest, e.ID, e.Addr, false)
	if err != nil {
		return nil, err
	}
	p := origin.Incarnation{Endpoint: e.ID, StartUnixMs: e.StartUnixMs, At: req.Incarnations.Since(c)}
	switch {
	case c.Replaced, !req.Incarnations.presumed(e):
		req.Incarnations.Doubt(e)
	case !mayWait, req.awaitProof(ctx, p) && req.Incarnations.presumed(e):
		return c, nil
	}
	req.Pool.Put(c, 0)
	return nil, errDoubted
}

// recordUnreached records what an error of a connection tells of the incarnation of an
// endpoint.
func (req *request) recordUnreached(ctx context.Context, e *fleet.Endpoint, err error) {
	switch {
	case errors.Is(err, syscall.ECONNREFUSED):
		req.Incarnations.Ended(e)
	case ctx.Err() == nil:
		req.Incarnations.Doubt(e)
	}
}
