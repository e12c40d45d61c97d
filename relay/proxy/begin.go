package proxy

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"wigeonplank.example/core/fleet"
	"wigeonplank.example/core/origin"
)

// reasonOldView is the reason why a stream doesn't begin at a relay that is cut off.
const reasonOldView = "view is too old to begin a stream, and this relay reaches neither the store nor half of the others"

// oldViewRetryAfter is the retry delay, before jitter, for callers that another relay can
// serve at once.
const oldViewRetryAfter = 50 * time.Millisecond

// rejectOldView rejects a stream that can't begin at this relay.
func (req *request) rejectOldView() {
	if req.mayHaveRun || req.exchange.CallerGone() {
		req.rejectFinal(reasonOldView)
		return
	}
	req.reject(fasthttp.StatusServiceUnavailable, oldViewRetryAfter, "not run: "+reasonOldView)
}

// mayBegin reports whether the request may begin by the current view. Another relay may
// have to conclude the version of a stream that can be resumed from what was listed. While
// the store is away for all relays, the list doesn't change.
func (req *request) mayBegin(ctx context.Context) bool {
	if req.version != nil || req.route.Kind != fleet.KindStream || !req.route.Resumable {
		return true
	}
	return origin.MayBegin(req.ViewAge(), false) || req.Refresh(ctx, origin.MaxViewLag) || origin.MayBegin(req.ViewAge(), req.StoreAway())
}
