package proxy

import (
	"time"

	"github.com/valyala/fasthttp"

	"wigeonplank.example/core/fleet"
)

const (
	// cutOffViewAge is the age of a view from which on a relay that has lost most others counts as
	// cut off.
	cutOffViewAge = 3 * time.Second
	// cutOffRetryAfter is the retry delay, before jitter, for callers that another relay can
	// serve at once.
	cutOffRetryAfter = 50 * time.Millisecond
)

// reasonCutOff is the reason why a stream doesn't begin at a relay that is cut off.
const reasonCutOff = "this relay reaches neither the store nor half of the others"

// isCutOff reports whether the request is a stream that can be taken up elsewhere, and this relay is
// cut off from the store and most other relays, which remember streams and can serve it.
func (req *request) isCutOff() bool {
	return req.route.Kind == fleet.KindStream && req.route.Resumable && !req.takesUpStream() && req.ViewAge() > cutOffViewAge && !req.ReachesHalf()
}

// rejectCutOff rejects a request that another relay can serve.
func (req *request) rejectCutOff() {
	req.reject(fasthttp.StatusServiceUnavailable, cutOffRetryAfter, "not run: "+reasonCutOff)
}
