package proxy

import "github.com/valyala/fasthttp"

// Quantiles of the durations of a route's requests, by which it is decided during a stop
// whether a request is likely to end before the relay does.
const (
	repeatableDuration = 0.5 // the caller of a request that is cut off can send it again or take it up
	onceDuration       = 0.9 // it can't, so that a cut costs more than a needless rejection
)

// rejectOutlasting rejects the request and returns true if the relay stops before the request
// is likely to end. Another relay can serve it from the start.
func (req *request) rejectOutlasting() bool {
	end, stopping := req.exchange.MustEndBy()
	if !stopping || req.deadline.Before(end) || req.takesUpStream() {
		return false
	}
	q := onceDuration
	if req.route.Repeatable() {
		q = repeatableDuration
	}
	d, known := req.routeState().Duration(req.Clock.Now(), q)
	if !known || req.exchange.ReceivedAt.Add(d).Before(end) {
		return false
	}
	req.reject(fasthttp.StatusServiceUnavailable, 0, "not run: the relay stops before the request is likely to end")
	return true
}

// recordDuration records how long the request took, if it succeeded. Streams that were taken up
// are left out, as they are only a part of one.
func (req *request) recordDuration() {
	x := req.exchange
	if req.route == nil || req.outcome != outcomeAnswered || !x.Complete() || x.Status() >= fasthttp.StatusMultipleChoices || req.takesUpStream() {
		return
	}
	now := req.Clock.Now()
	req.routeState().RecordDuration(now, now.Sub(x.ReceivedAt))
}
