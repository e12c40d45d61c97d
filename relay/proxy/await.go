package proxy

import (
	"context"
	"time"

	"wigeonplank.example/base/wait"
	"wigeonplank.example/core/pick"
	"wigeonplank.example/relay/assign"
)

const (
	// maxEndpointWait bounds the time for which a request waits for an endpoint. Two seconds
	// after the end of an outage of the store, the incarnations of all endpoints are known again.
	maxEndpointWait      = 3 * time.Second
	endpointWaitInterval = 25 * time.Millisecond // between two looks for an endpoint
)

// awaitEndpoint acquires the endpoint for the next attempt as acquireEndpoint does. If there is
// none yet, and the request may have run, so that its caller can't be asked to return, it
// waits for a short time as long as one may become usable.
func (req *request) awaitEndpoint(ctx context.Context) (pick.Choice, *assign.Assignment) {
	c, a := req.acquireEndpoint(ctx)
	if c.Endpoint != nil || !req.mayHaveRun {
		return c, a
	}
	until := earlier(req.Clock.Now().Add(maxEndpointWait), req.deadline.Add(-req.firstEventLatency()))
	for c.Endpoint == nil && req.Clock.Now().Before(until) && req.mayBecomeUsable(c, until) && wait.For(ctx, endpointWaitInterval) {
		c, a = req.acquireEndpoint(ctx)
	}
	return c, a
}

// mayBecomeUsable reports whether an endpoint may become usable until a time: what it has
// announced ends, or it is of the stream's version if it is still the incarnation that the
// view lists, which isn't known yet. c is the choice without an endpoint.
func (req *request) mayBecomeUsable(c pick.Choice, until time.Time) bool {
	if !c.OpensAt.IsZero() && c.OpensAt.Before(until) {
		return true
	}
	if req.version == nil {
		return false
	}
	for _, e := range req.View().Endpoints(req.service) {
		if e.Version == *req.version && !req.tried[e.ID] && !req.Incarnations.Doubted(e) && !req.mayGoOnAt(e) {
			return true
		}
	}
	return false
}
