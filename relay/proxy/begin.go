package proxy

import (
	"context"

	"wigeonplank.example/core/fleet"
	"wigeonplank.example/core/origin"
)

// reasonOldView is the reason why a stream doesn't begin at a relay that is cut off.
const reasonOldView = "view is too old to begin a stream, and this relay reaches neither the store nor half of the others"

// mayBegin reports whether the request may begin by the current view. Another relay may
// have to conclude the version of a stream that can be resumed from what was listed. While
// the store is away for all relays, the list doesn't change.
func (req *request) mayBegin(ctx context.Context) bool {
	if req.version != nil || req.route.Kind != fleet.KindStream || !req.route.Resumable {
		return true
	}
	return origin.MayBegin(req.ViewAge(), false) || req.Refresh(ctx, origin.MaxViewLag) || origin.MayBegin(req.ViewAge(), req.StoreAway())
}
