package front

import (
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	defaultBodyBudget = 64 << 20
	// minTrackedBody is the size from which on a body counts. Most are smaller.
	minTrackedBody  = 64 << 10
	bodiesRetryTime = 500 * time.Millisecond // retry delay of callers whose bodies have no room
)

var errNoRoomForBody = &RequestError{
	Status: fasthttp.StatusServiceUnavailable, Reason: "no room for another large body", RetryAfter: bodiesRetryTime,
}

// bodyBudget bounds the memory that the large bodies of requests in flight take together. The
// zero value is ready to use. It is safe for concurrent use.
type bodyBudget struct{ used atomic.Int64 }

// reserve adds n bytes to the held ones of a body and reports whether there is room within limit. A
// body has room if there is no other, so that each that the configuration allows can be sent.
func (b *bodyBudget) reserve(n, held, limit int64) bool {
	if used := b.used.Add(n); used <= limit || used == held+n {
		return true
	}
	b.used.Add(-n)
	return false
}

// reserveBody reserves memory for the first n bytes of the body until releaseBody, and reports
// whether there is room.
func (x *Exchange) reserveBody(n int) bool {
	more := int64(n) - x.reserved
	if n < minTrackedBody || more <= 0 {
		return true
	}
	limit := int64(defaultBodyBudget)
	if f := x.server.BodyBudget; f != nil {
		limit = f()
	}
	if !x.server.bodies.reserve(more, x.reserved, limit) {
		return false
	}
	x.reserved += more
	return true
}

func (x *Exchange) releaseBody() { x.server.bodies.used.Add(-x.reserved) }
