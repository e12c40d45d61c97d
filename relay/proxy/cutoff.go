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

// Reasons why a stream doesn't begin at a relay.
const (
	reasonCutOff = "this relay reaches neither the store nor half of the others"
	reasonAlone  = "this relay reaches none of those that remember streams"
)

// cutOffReason returns why a stream that can be taken up elsewhere doesn't begin here, or "". Another
// relay can serve it: this one is cut off from the store and most other relays, or from all that
// would know where the stream began, once its caller takes it up.
func (req *request) cutOffReason() string {
	switch {
	case req.route.Kind != fleet.KindStream || !req.route.Resumable || req.takesUpStream():
	case req.IsAlone != nil && req.IsAlone():
		return reasonAlone
	case req.ViewAge() > cutOffViewAge && !req.ReachesHalf():
		return reasonCutOff
	}
	return ""
}

// rejectCutOff rejects a request that another relay can serve.
func (req *request) rejectCutOff(reason string) {
	req.reject(fasthttp.StatusServiceUnavailable, cutOffRetryAfter, "not run: "+reason)
}
