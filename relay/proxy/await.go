package proxy

import (
	"context"
	"time"

	"wigeonplank.example/base/wait"
	"wigeonplank.example/core/pick"
	"wigeonplank.example/relay/assign"
)

const (
	maxEndpointWait      = 3 * time.Second       // for an endpoint
	endpointWaitInterval = 25 * time.Millisecond // between two looks for an endpoint
)

// awaitEndpoint acquires the endpoint for the next attempt as acquireEndpoint does. If there is
// none yet, and the request may have run, so that its caller can't be asked to return, it
// waits for a short time until what one has announced ends.
func (req *request) awaitEndpoint(ctx context.Context) (pick.Choice, *assign.Assignment) {
	c, a := req.acquireEndpoint(ctx)
	if c.Endpoint != nil || !req.mayHaveRun {
		return c, a
	}
	until := earlier(req.Clock.Now().Add(maxEndpointWait), req.deadline.Add(-req.firstEventLatency()))
	for c.Endpoint == nil && req.Clock.Now().Before(until) && !c.OpensAt.IsZero() && c.OpensAt.Before(until) && wait.For(ctx, endpointWaitInterval) {
		c, a = req.acquireEndpoint(ctx)
	}
	return c, a
}
