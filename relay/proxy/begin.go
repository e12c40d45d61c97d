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

// earlyRead is the time before a view becomes too old at which a relay that is cut off from
// others tries to read the store.
const earlyRead = time.Second

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
	age := req.ViewAge()
	if origin.MayBegin(age+earlyRead, false) {
		return true
	}
	if !req.ReachesHalf() { // most likely cut off from the store as well
		req.refreshBeside()
		return origin.MayBegin(age, false)
	}
	return origin.MayBegin(age, false) || req.Refresh(ctx, origin.MaxViewLag) || origin.MayBegin(req.ViewAge(), req.Unread())
}

// refreshBeside reads the store without keeping requests waiting.
func (f *Forwarder) refreshBeside() {
	if !f.refreshing.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer f.refreshing.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), origin.MaxViewLag)
		defer cancel()
		f.Refresh(ctx, origin.MaxViewLag-earlyRead)
	}()
}
