package proxy

import (
	"bufio"
	"context"
	"errors"
	"io"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"wigeonplank.example/core/event"
	"wigeonplank.example/core/fleet"
	"wigeonplank.example/core/origin"
	"wigeonplank.example/core/pick"
	plat "wigeonplank.example/platform"
	"wigeonplank.example/relay/logs"
	"wigeonplank.example/relay/pool"
	"wigeonplank.example/relay/stats"
)

const (
	eventGapTimeoutFactor = 4 // another endpoint is sought for a resumable stream after a gap of this multiple of the route's maximum
	eventBufferBytes      = 4 << 10
	defaultMaxEventGap    = time.Second // for routes that set none
)

// forwardStream forwards a request whose response is a stream of events.
func (req *request) forwardStream(ctx context.Context) {
	lastEvent := req.headers.LastEventID
	req.exchange.StreamUntil = req.deadline
	req.forward(ctx, func(c pick.Choice) (attemptEnd, string) { return req.attemptStream(ctx, c.Endpoint, &lastEvent) }, &lastEvent)
}

// takesUpStream reports whether the caller has events of an earlier attempt, after
// which the stream goes on. Another configuration may have allowed that.
func (req *request) takesUpStream() bool {
	return req.route.Kind == fleet.KindStream && req.headers.LastEventID >= 0
}

// bindToOrigin binds the request to the service and the software version at which the
// stream that the caller takes up began. If the version isn't known, or no endpoint is
// certainly of that version, it rejects the request and returns false. A service that the
// route no longer has doesn't bind: its versions mean nothing to another service.
func (req *request) bindToOrigin(ctx context.Context) bool {
	o, result := req.findOrigin(ctx)
	if o.Service != "" && !slices.ContainsFunc(req.route.Targets, func(t fleet.Target) bool { return t.Service == o.Service }) {
		req.moved = true
		if o, result = req.findOrigin(ctx); result == origin.Unrecorded || result == origin.Forgotten {
			return true // it hasn't gone on at this service yet
		}
	}
	if result == origin.Forgotten {
		o, result = req.concludeOrigin(ctx)
	}
	switch result {
	case origin.Unknown, origin.Unrecorded:
		req.reject(fasthttp.StatusServiceUnavailable, 0, reasonUnknownVersion)
		return false
	case origin.Unanswered:
		req.reject(fasthttp.StatusServiceUnavailable, minRetryAfter, "not run: those that may remember the stream don't answer")
		return false
	}
	o, known := req.resolveOrigin(ctx, o)
	if !known {
		req.reject(fasthttp.StatusServiceUnavailable, minRetryAfter, "not run: the incarnation at which the stream began isn't listed")
		return false
	}
	req.service, req.version = o.Service, &o.Version
	if !req.canGoOn() {
		req.reject(fasthttp.StatusServiceUnavailable, minRetryAfter, "no endpoint is certainly of the stream's version")
		return false
	}
	return true
}

// findOrigin returns where the stream began that the caller takes up, if this relay, another one
// or a keeper has a record of it. A caller that doesn't name the stream can't be told.
func (req *request) findOrigin(ctx context.Context) (origin.Origin, origin.Result) {
	if req.headers.Resumes == "" {
		return origin.Origin{}, origin.Unrecorded
	}
	f := req.seekOrigin(ctx)
	return f.Origin, f.Result
}

// seekOrigin asks the relays and the keepers that may remember where the stream began.
func (req *request) seekOrigin(ctx context.Context) origin.Finding {
	begun := req.Clock.Now()
	f := req.Origins.FindOrigin(ctx, req.streamID(), begun.Sub(req.earliestBegin()))
	req.Log.Event(logs.OriginSought).Str("request", req.headers.ID).Str("stream", req.headers.Resumes).Str("result", string(f.Result)).
		Int("asked", f.Asked).Int("answered", f.Answered).Dur("took_ms", req.Clock.Now().Sub(begun)).Msg("")
	return f
}

// earliestBegin returns the time before which the stream that the caller takes up can't have
// begun. Callers of a route wait no longer than the longest that any has named.
func (req *request) earliestBegin() time.Time {
	return req.startedAt.Add(-max(0, req.longestWait(req.route)-req.headers.Deadline))
}

// recordOrigin remembers where the stream began for callers that take it up.
func (req *request) recordOrigin(o origin.Origin) {
	if !req.route.Resumable {
		return
	}
	if stream := req.streamID(); stream != "" {
		req.Origins.RecordOrigin(stream, o)
	}
}

// streamID returns the ID under which it is remembered where the stream began: that of the
// attempt that began it. Once its route has moved to another service, where it went on at that
// service has a record of its own.
func (req *request) streamID() string {
	id := req.headers.ID
	if req.takesUpStream() {
		id = req.headers.Resumes
	}
	if req.moved {
		id += "\x00" + req.service
	}
	return id
}

// abortStream ends a stream that can't be resumed. If the response has started,
// the connection closes without the terminating chunk, so that the caller sees
// that the stream is incomplete.
func (req *request) abortStream(reason string) {
	if req.exchange.ResponseStarted() {
		req.outcome = "broken off: " + reason
		return
	}
	req.rejectFinal(reason)
}

// attemptStream sends the request to an endpoint and forwards the events after
// *lastEvent, the ID of the last event that the caller has. It advances
// *lastEvent with each event that it forwards.
func (req *request) attemptStream(ctx context.Context, e *fleet.Endpoint, lastEvent *int64) (attemptEnd, string) {
	call, end, err := req.send(ctx, e, *lastEvent, req.deadline)
	if err != nil {
		return req.recordFailure(e, end, err)
	}
	defer call.Finish(req.Pool)
	stop := context.AfterFunc(ctx, func() { _ = call.Conn.Close() })
	defer stop()
	call.OnOverdue(func() (time.Time, bool) { return req.handleSilence(ctx, e) })
	kept := req.releaseInputsEarly()
	err = call.Receive(req.headers.ID, req.deadline)
	kept()
	if err != nil {
		return req.recordFailure(e, attemptFailed, err)
	}
	req.recordResponse(e, call)
	if a := call.Response; a.NotRun || a.Status != fasthttp.StatusOK {
		body, err := req.readAnswer(ctx, e, call)
		if err != nil {
			return req.recordFailure(e, attemptFailed, err)
		}
		if !a.NotRun && req.exchange.ResponseStarted() {
			return req.recordFailure(e, attemptFailed, errInvalidResponse)
		}
		return req.handleResponse(e, call, body)
	}
	if !call.Response.Stamped || call.Response.Encoded {
		return req.recordFailure(e, attemptFailed, errInvalidResponse)
	}
	req.mayHaveRun = true
	return req.forwardEvents(ctx, e, call, lastEvent)
}

// releaseInputsEarly releases the inputs of an attempt once the endpoint has most likely
// fetched them. The returned function must be called before the inputs are used again.
func (req *request) releaseInputsEarly() (settle func()) {
	if req.inputsReleased || len(req.inputs) == 0 {
		return func() {}
	}
	inputs := req.inputs
	t := time.AfterFunc(req.hold(req.service).Time(), func() { req.Stages.ReleaseResults(inputs) })
	return func() { req.inputsReleased = !t.Stop() }
}

// forwardEvents forwards events to the caller until the stream ends or fails, or another
// endpoint was acquired for a resumable stream after a gap that is too long.
func (req *request) forwardEvents(ctx context.Context, e *fleet.Endpoint, call *pool.Call, lastEvent *int64) (attemptEnd, string) {
	maxGap := req.route.MaxEventGap
	if maxGap == 0 {
		maxGap = defaultMaxEventGap
	}
	var pace pacer
	first, progress := true, true
	events := event.Reader{R: bufio.NewReaderSize(call, eventBufferBytes), LastID: *lastEvent, Grow: call.Grow}
	for {
		if progress && req.route.Resumable && req.exchange.ResponseStarted() {
			t := earlier(req.Clock.Now().Add(eventGapTimeoutFactor*maxGap), req.deadline)
			_ = call.Conn.SetReadDeadline(t) // fails only on a closed connection
		}
		raw, id, err := events.Next()
		if first && err == nil {
			req.firstEventAt = req.Clock.Now()
			reported := 0.0
			if l := call.Response.Load; l != nil {
				reported = l.Pace
			}
			req.startAssignment(reported)
			req.recordVersion(e, call.Conn)
			first = false
		}
		if errors.Is(err, io.EOF) {
			if lost := req.checkEnd(ctx, e, call); lost != nil {
				err = lost
			}
		}
		if errors.Is(err, io.EOF) && (req.events > 0 || call.IsFramed()) {
			return req.endStream(e, call)
		}
		if err != nil {
			return req.recordFailure(e, attemptFailed, err)
		}
		if err := req.forwardEvent(call, raw); err != nil {
			req.recordEnd(e, pick.ResultNone, attemptCallerGone, err.Error())
			req.outcome = "caller gone in stream"
			return attemptCallerGone, err.Error()
		}
		pace.wait(ctx, req.lastEventAt)
		if id >= 0 {
			*lastEvent = id
		}
		req.unnumbered = req.unnumbered || id < 0 && event.HasData(raw)
		req.vouchForAnswer()
		progress = !event.IsComment(raw)
		if progress {
			req.events++
			req.settleBeginning()
			req.endSilence()
		}
	}
}

// forwardEvent writes one event to the caller. The first event is written with
// the header of the response, and releases the results of the stages.
func (req *request) forwardEvent(call *pool.Call, raw []byte) error {
	now := req.Clock.Now()
	previous := req.lastEventAt
	req.lastEventAt = now
	if req.exchange.ResponseStarted() {
		gap := now.Sub(previous)
		req.longestGap = max(req.longestGap, gap)
		req.Meters.RecordPhase(stats.PhaseEventGap, req.route.Name, gap)
		return req.exchange.SendEvents(raw)
	}
	req.firstEventIn = now.Sub(req.startedAt)
	req.recordTail()
	req.Meters.RecordPhase(stats.PhaseFirstEvent, req.route.Name, req.firstEventIn)
	var h fasthttp.ResponseHeader
	plat.CopyResponseHeaders(&h, &call.Header)
	// An engine that has sent its first event has read all of its inputs.
	if len(req.inputs) > 0 {
		req.hold(req.service).RecordFound()
	}
	req.releaseInputs()
	return req.exchange.BeginStream(&h, raw)
}

// endStream completes the response to the caller after the last event.
func (req *request) endStream(e *fleet.Endpoint, call *pool.Call) (attemptEnd, string) {
	call.Accept()
	req.recordEnd(e, pick.ResultGood, attemptDone, "")
	req.Guard.Completed(req.suspects)
	req.outcome = outcomeAnswered
	if !req.exchange.ResponseStarted() {
		var h fasthttp.ResponseHeader
		plat.CopyResponseHeaders(&h, &call.Header)
		if err := req.exchange.BeginStream(&h, nil); err != nil {
			req.outcome = "caller gone at the end"
			return attemptCallerGone, err.Error()
		}
	}
	req.exchange.EndStream()
	return attemptDone, ""
}
