package proxy

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"wigeonplank.example/core/fleet"
	"wigeonplank.example/core/pick"
	"wigeonplank.example/core/prompt"
	plat "wigeonplank.example/platform"
	"wigeonplank.example/relay/assign"
	"wigeonplank.example/relay/logs"
	"wigeonplank.example/relay/pool"
)

// attemptTimeoutFactor is the time after which another endpoint is sought for an attempt
// that may be repeated, in multiples of the route's latency objective.
const attemptTimeoutFactor = 3

// Reasons why no attempt follows.
const (
	reasonBudgetSpent    = "retry budget is spent"
	reasonNoEndpoint     = "no endpoint"
	reasonUnknownVersion = "version at which the stream began is unknown"
)

// maxLoggedParts bounds the prompt parts in a log line.
const maxLoggedParts = 8

// attemptEnd is how an attempt at an endpoint ended. The values are labels of
// a metric and fields of log lines.
type attemptEnd string

const (
	attemptDone       attemptEnd = "done"    // the caller has its response
	attemptNotRun     attemptEnd = "not_run" // the endpoint did not run the request and never will
	attemptNoInputs   attemptEnd = "inputs"  // not run, as results of its stages are no longer available
	attemptFailed     attemptEnd = "failed"  // the endpoint may have run the request
	attemptCallerGone attemptEnd = "gone"    // the caller disconnected
)

// criteria describes the endpoint for the next attempt.
func (req *request) criteria() pick.Criteria {
	c := pick.Criteria{Zone: req.Zone, Affinity: req.promptAffinity(), Exclude: req.excluded(), Version: req.version}
	if c.Version == nil && req.route.Kind == fleet.KindStream && req.route.Resumable {
		c.Version = req.Balancer.ChooseVersion(req.service, req.headers.ID)
	}
	if id := req.Guard.Confinement(req.suspects); id != 0 {
		c.Affinity = id
	}
	return c
}

// acquireEndpoint chooses the endpoint for the next attempt and records that the
// request is about to be sent there. A model engine is chosen by the prompts that all
// relays have sent, if possible; the assignment is nil otherwise. The endpoint of the
// choice is nil if none can take the request; otherwise the caller must end the attempt
// with recordEnd and endAssignment.
func (req *request) acquireEndpoint(ctx context.Context) (pick.Choice, *assign.Assignment) {
	svc, list := req.candidates()
	if svc == nil {
		return pick.Choice{}, nil
	}
	if !req.assignable(svc) {
		return req.Balancer.Acquire(svc, list, req.criteria()), nil
	}
	a, ok := req.Engines.Assign(ctx, svc, req.promptRequest(), req.criteria())
	if !ok {
		return req.Balancer.Acquire(svc, list, req.criteria()), nil
	}
	if !req.Balancer.Begin(svc, a.Endpoint, false) { // another request has used up the limit
		a.Ended(0, 0)
		return req.Balancer.Acquire(svc, list, req.criteria()), nil
	}
	return pick.Choice{Endpoint: a.Endpoint, Reason: pick.ReasonPrompt, Candidates: a.Candidates, Load: req.Balancer.Load(a.Endpoint), Predicted: a.FirstEvent, Cached: a.Cached}, &a
}

// candidates returns the request's service and its endpoints. A service that the newest
// configuration has dropped is that of the configuration that the request is served with.
func (req *request) candidates() (*fleet.Service, []*fleet.Endpoint) {
	v := req.View()
	svc := v.Config.Service(req.service)
	if svc == nil {
		svc = req.config.Service(req.service)
	}
	return svc, v.Endpoints(req.service)
}

// nextEndpoint returns the endpoint for the next attempt: the successor of a silent one,
// or another one that can take the request, for which it may wait; see awaitEndpoint. If
// there is none, it ends the request and returns false.
func (req *request) nextEndpoint(ctx context.Context, next *successor) (pick.Choice, bool) {
	if next != nil {
		req.assignment, req.conn = next.assignment, next.conn
		return next.choice, true
	}
	if !req.passGuard() {
		return pick.Choice{}, false
	}
	c, a := req.awaitEndpoint(ctx)
	req.assignment = a
	switch {
	case c.Endpoint != nil:
		return c, true
	case req.exchange.ResponseStarted():
		req.abortStream(reasonNoEndpoint)
	default:
		req.rejectUnplaced(c)
	}
	return c, false
}

// forward makes attempts at endpoints until one is done or no other may follow. attempt
// makes one of them. lastEvent is the ID of the last event that the caller has; -1: none.
func (req *request) forward(ctx context.Context, attempt func(c pick.Choice) (attemptEnd, string), lastEvent *int64) {
	req.budget(req.service).Deposit()
	defer req.releaseAcquired()
	var next *successor
	silent := "" // ID of the endpoint that the current attempt replaces
	for {
		c, ok := req.nextEndpoint(ctx, next)
		if !ok {
			return
		}
		req.acquired = c.Endpoint
		req.tried[c.Endpoint.ID] = true
		req.logAttemptStarted(c, *lastEvent)
		end, reason := attempt(c)
		req.endAssignment()
		next = req.takeSuccessor()
		switch end {
		case attemptDone, attemptCallerGone:
			req.dropRerun()
			if next != nil {
				req.abandon(next)
				req.budget(req.service).Return()
			}
			return
		case attemptNoInputs:
			delete(req.tried, c.Endpoint.ID) // it can run the request once the stages have run again
		case attemptNotRun:
			delete(req.tried, silent) // it may go on after all
		}
		if next == nil && (!req.allowRetry(ctx, end, *lastEvent) || !req.rerunStages(ctx, end)) {
			req.dropRerun()
			req.abortStream(reason)
			return
		}
		silent = ""
		if next != nil {
			silent = c.Endpoint.ID
		}
	}
}

// releaseAcquired gives back what a panic has left acquired, so that no endpoint counts as busy
// for good. After a request that ended without one, there is nothing left.
func (req *request) releaseAcquired() {
	if req.acquired != nil {
		req.recordEnd(req.acquired, pick.ResultNone, attemptFailed, "panic")
	}
	req.endAssignment()
	if s := req.takeSuccessor(); s != nil {
		req.abandon(s)
		req.budget(req.service).Return()
	}
	req.dropRerun()
}

// assignable reports whether an engine of a service is chosen by prompts.
func (req *request) assignable(svc *fleet.Service) bool {
	p := req.Policy()
	return svc.Engine != nil && req.route.Sticky && req.Guard.Confinement(req.suspects) == 0 && len(req.headers.Prompt) > 0 && !p.NoAffinity && !p.LocalPlacement
}

// promptRequest describes the request's prompt. A resumed stream has the rest of its
// output to generate.
func (req *request) promptRequest() prompt.Request {
	r := prompt.Request{
		ID: req.headers.ID, PromptTokens: req.headers.PromptTokens, OutputTokens: req.headers.OutputTokens, MaxGap: req.route.MaxEventGap,
	}
	if !req.exchange.ResponseStarted() {
		r.Slack = max(0, req.due.Sub(req.Clock.Now()))
	}
	for _, p := range req.headers.Prompt {
		r.Parts = append(r.Parts, prompt.Part{ID: xxhash.Sum64String(p.ID), Tokens: p.Tokens})
	}
	return r
}

// startAssignment reports the first event of an attempt to the owner of its pool,
// and records how far off the prediction of its time was.
func (req *request) startAssignment(pace float64) {
	if a := req.assignment; a != nil {
		a.Started(pace)
		req.Meters.RecordPrediction(req.route.Name, a.FirstEvent, req.Clock.Now().Sub(req.attemptAt))
	}
}

// endAssignment reports the end of an attempt to the owner of its pool. The events of a
// stream that was resumed or broke off are not reported, as their number says nothing
// about the tokens in an event.
func (req *request) endAssignment() {
	if req.assignment != nil {
		events := req.events
		if req.outcome != outcomeAnswered || len(req.tried) > 1 || req.headers.LastEventID >= 0 {
			events = 0
		}
		req.assignment.Ended(events, req.lastEventAt.Sub(req.firstEventAt))
		req.assignment = nil
	}
}

// allowRetry reports whether another attempt may follow one that ended with end,
// and withdraws it from the retry budget if so. lastEvent is the ID of the last
// event that the caller has; -1: none.
func (req *request) allowRetry(ctx context.Context, end attemptEnd, lastEvent int64) bool {
	b := req.budget(req.service)
	balance := b.Balance()
	reason := req.retryObstacle(end)
	if reason == "" && !req.confirmBeginning(ctx) {
		reason = reasonUnknownVersion
	}
	if reason == "" && !b.Withdraw(0) {
		reason = reasonBudgetSpent
	}
	ev := req.Log.Event
	if reason != "" {
		ev = req.Log.Failure
	}
	ev(logs.RetryDecided).Str("request", req.headers.ID).Bool("retry", reason == "").Str("reason", reason).Float64("saved", balance).
		Int64("event_id", lastEvent).Msg("")
	return reason == ""
}

// retryObstacle returns why no other attempt may follow one that ended with end, or "". The
// retry budget is left aside.
func (req *request) retryObstacle(end attemptEnd) string {
	switch {
	case req.unsure:
		return reasonUnknownVersion
	case req.unnumbered:
		return "events without an id have been passed on"
	case end == attemptFailed && !req.route.Repeatable():
		return "it may have run and must not run twice"
	case end == attemptFailed && req.attempts >= req.route.MaxAttempts:
		return "as many attempts as the route allows"
	case !req.Clock.Now().Before(req.deadline):
		return "no time left"
	case end == attemptFailed && req.Guard.Suspected(req.suspects):
		return "endpoints crash under such requests"
	case req.exchange.CallerGone():
		return "caller gone"
	}
	return ""
}

// logAttemptStarted logs the choice of an endpoint and the reason for it.
func (req *request) logAttemptStarted(c pick.Choice, lastEvent int64) {
	req.attemptAt, req.firstEventAt, req.events, req.vouched = req.Clock.Now(), time.Time{}, 0, false
	req.Log.Event(logs.AttemptStarted).Str("request", req.headers.ID).Str("endpoint", c.Endpoint.ID).Str("zone", c.Endpoint.Zone).
		Str("endpoint_version", c.Endpoint.Version).Str("resumes", req.headers.Resumes).
		Int("attempt", len(req.tried)).Str("choice", string(c.Reason)).Int("candidates", c.Candidates).Float64("load", c.Load).
		Str("affinity", strconv.FormatUint(req.promptAffinity(), 16)).
		Str("content", strconv.FormatUint(req.contentHash(), 16)).Str("parts", req.promptParts()).Int64("event_id", lastEvent).
		Str("held", req.held()).Dur("left_ms", req.deadline.Sub(req.Clock.Now())).
		Dur("view_age_ms", req.ViewAge()).Int("prompt_tokens", req.headers.PromptTokens).Int("cached_tokens", c.Cached).Dur("predicted_ms", c.Predicted).Float64("ahead", c.Ahead).Float64("speed", c.Estimate.Speed).Float64("pace", c.Estimate.Pace).
		Dur("pace_age_ms", c.Estimate.PaceAge).Msg("")
}

// contentHash returns the same hash for all requests with which a caller asks for the
// same work.
func (req *request) contentHash() uint64 {
	if req.content == 0 {
		h := &req.exchange.Header
		var d xxhash.Digest
		d.Reset()
		for _, field := range [][]byte{[]byte(req.teamName()), h.Method(), h.Host(), h.RequestURI(), req.exchange.Body} {
			_, _ = d.Write(field)
			_, _ = d.Write([]byte{0}) // Write never fails
		}
		req.content = d.Sum64()
	}
	return req.content
}

// promptParts returns the hashes of the parts of the prompt that other requests may
// share, the first maxLoggedParts of them, separated by commas.
func (req *request) promptParts() string {
	var b []byte
	for i, p := range req.headers.SharedPrompt() {
		if i == maxLoggedParts {
			break
		}
		if i > 0 {
			b = append(b, ',')
		}
		b = strconv.AppendUint(b, xxhash.Sum64String(p.ID), 16)
	}
	return string(b)
}

// held tells which endpoints of the service get no request now because of what they
// have announced; see Balancer.Held.
func (req *request) held() string {
	return req.Balancer.Held(req.View().Endpoints(req.service))
}

// rejectUnplaced rejects the request if no endpoint can take it. If only what endpoints
// have announced stands against it, the caller is asked to retry once the first of
// them wants requests.
func (req *request) rejectUnplaced(c pick.Choice) {
	held := req.held()
	if c.OpensAt.IsZero() || req.mayHaveRun || req.exchange.CallerGone() {
		reason := reasonNoEndpoint
		if held != "" {
			reason += " (" + held + ")"
		}
		req.rejectFinal(reason)
		return
	}
	retryAfter := max(minRetryAfter, c.OpensAt.Sub(req.Clock.Now()))
	req.reject(fasthttp.StatusServiceUnavailable, retryAfter, "not run: endpoints want no requests yet ("+held+")")
}

// rejectFinal rejects the request when no further attempt is made, unless an endpoint has
// answered with a failure of its own. The status tells the caller whether the request may
// have run.
func (req *request) rejectFinal(reason string) {
	switch {
	case req.exchange.CallerGone():
		req.outcome = "caller gone"
	case req.failure != nil:
		req.outcome = outcomeAnswered
		req.exchange.Respond(&req.failure.header, req.failure.body)
	case !req.mayHaveRun:
		req.reject(fasthttp.StatusServiceUnavailable, minRetryAfter, "not run: "+reason)
	case !req.Clock.Now().Before(req.deadline):
		req.reject(fasthttp.StatusGatewayTimeout, 0, "out of time: "+reason)
	default:
		req.reject(fasthttp.StatusBadGateway, 0, "outcome unknown: "+reason)
	}
}

// forwardUnary forwards a request that has a single, complete response.
func (req *request) forwardUnary(ctx context.Context) {
	noEvent := int64(-1)
	req.forward(ctx, func(c pick.Choice) (attemptEnd, string) { return req.attemptUnary(ctx, c) }, &noEvent)
}

// attemptUnary sends the request to the endpoint of a choice and passes its response to
// the caller. It returns how the attempt ended, and the reason unless it is done.
func (req *request) attemptUnary(ctx context.Context, c pick.Choice) (attemptEnd, string) {
	e := c.Endpoint
	call, end, err := req.send(ctx, e, -1, req.deadline)
	if err != nil {
		return req.recordFailure(e, end, err)
	}
	defer call.Finish(req.Pool)
	stop := context.AfterFunc(ctx, func() { _ = call.Conn.Close() })
	defer stop()
	deadline := req.deadline
	if req.route.Repeatable() && req.attempts < req.route.MaxAttempts {
		if t := req.attemptAt.Add(attemptTimeoutFactor * req.route.LatencyObjective); t.Before(deadline) {
			deadline = t
		}
	}
	call.OnOverdue(func() (time.Time, bool) {
		if t := call.Conn.LastRead().Add(silenceInterval); req.Clock.Now().Before(t) {
			return earlier(t, req.deadline), true // the body is on its way
		}
		return req.handleSilence(ctx, e)
	})
	if err := call.Receive(req.headers.ID, deadline); err != nil {
		return req.recordFailure(e, attemptFailed, err)
	}
	req.recordResponse(e, call)
	body, err := req.readAnswer(ctx, e, call)
	if err != nil {
		return req.recordFailure(e, attemptFailed, err)
	}
	if r := call.Response; r.Status < 300 && r.Stamped && !r.Encoded && !r.NotRun {
		req.recordAnswerTime(c, r)
	}
	return req.handleResponse(e, call, body)
}

// recordResponse records what the header of a response tells of an endpoint.
func (req *request) recordResponse(e *fleet.Endpoint, call *pool.Call) {
	req.Balancer.RecordResponse(e, call.Response, req.attemptAt)
	if !call.Response.Misdirected && leadsTo(call.Conn, e) {
		req.Incarnations.Lived(e, req.attemptAt)
	}
}

// recordAnswerTime records the time that a complete answer took, and the predicted one.
func (req *request) recordAnswerTime(c pick.Choice, r plat.Response) {
	took := req.Clock.Now().Sub(req.attemptAt)
	req.Balancer.RecordAnswer(c, r, took)
	if c.Predicted > 0 {
		req.Meters.RecordAnswerTime(req.service, c.Predicted, took)
	}
}

// handleResponse passes a complete response to the caller, unless the endpoint
// did not run the request, the response is invalid, or a server error can be
// retried.
func (req *request) handleResponse(e *fleet.Endpoint, call *pool.Call, body []byte) (attemptEnd, string) {
	a := call.Response
	switch {
	case a.InputsMissing:
		req.attempts--
		req.recordEnd(e, pick.ResultNone, attemptNoInputs, "results of stages are gone")
		return attemptNoInputs, "results of stages are gone"
	case a.Misdirected:
		req.attempts--
		req.Balancer.MarkUnreachable(e)
		req.Incarnations.Ended(e)
		req.recordEnd(e, pick.ResultNone, attemptNotRun, "another endpoint has its address")
		return attemptNotRun, "another endpoint has its address"
	case a.NotRun:
		req.attempts--
		req.recordEnd(e, pick.ResultFull, attemptNotRun, "endpoint did not run it")
		return attemptNotRun, "endpoint did not run it"
	case a.Encoded, a.Status < 300 && !a.Stamped, impliesNotRun(a.Status):
		return req.recordFailure(e, attemptFailed, errInvalidResponse)
	case a.Status >= 500 && req.route.Repeatable() && req.attempts < req.route.MaxAttempts && req.budget(req.service).Balance() >= 1:
		req.mayHaveRun = true
		req.failure = &ownFailure{body: body}
		plat.CopyResponseHeaders(&req.failure.header, &call.Header)
		call.Accept()
		// An endpoint that responds is healthy, even if with a server error.
		req.recordEnd(e, pick.ResultGood, attemptFailed, "endpoint's own failure")
		return attemptFailed, "endpoint's own failure"
	}
	call.Accept()
	req.recordEnd(e, pick.ResultGood, attemptDone, "")
	if a.Status < 300 {
		req.recordTail()
		req.Guard.Completed(req.suspects)
	}
	var h fasthttp.ResponseHeader
	plat.CopyResponseHeaders(&h, &call.Header)
	req.outcome = outcomeAnswered
	req.exchange.Respond(&h, body)
	return attemptDone, ""
}

// ownFailure is an endpoint's response that reports a failure of its own. It is passed to the
// caller if no other attempt answers the request.
type ownFailure struct {
	header fasthttp.ResponseHeader
	body   []byte
}

// errInvalidResponse reports a response that was not made by an endpoint of the
// platform, was changed on the way, or has a status that can't be passed to the
// caller.
var errInvalidResponse = errors.New("not an endpoint's whole answer")

// errOutOfTime reports an attempt that this relay ended at the deadline of its request.
var errOutOfTime = errors.New("no time left for the answer")

// errCallerLeft reports that a request was not sent because its caller had left.
var errCallerLeft = errors.New("caller gone before the request was sent")

// impliesNotRun reports whether a status tells a caller that its request did not
// run. An endpoint that did not run a request reports it in a header of its
// response; without that header, these statuses can't be trusted.
func impliesNotRun(status int) bool {
	switch status {
	case fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable, fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest:
		return true
	}
	return false
}

// send connects to an endpoint and writes the request. lastEvent is the ID of
// the event after which a stream resumes; -1: from its start. On an error, it
// returns attemptNotRun if the endpoint can't have run the request, and
// attemptFailed if it may have.
func (req *request) send(ctx context.Context, e *fleet.Endpoint, lastEvent int64, deadline time.Time) (*pool.Call, attemptEnd, error) {
	if req.exchange.CallerLeft() {
		if req.conn != nil {
			_ = req.conn.Close() // nothing was sent on it
		}
		return nil, attemptCallerGone, errCallerLeft
	}
	conn := req.conn
	if req.conn = nil; conn == nil {
		var err error
		if conn, err = req.connect(ctx, e); err != nil {
			return nil, attemptNotRun, err
		}
	}
	call := &pool.Call{Conn: conn}
	head := plat.AppendRequest(nil, &req.exchange.Header, plat.RelayHeaders{
		Endpoint: e.ID, Remaining: req.deadline.Sub(req.Clock.Now()), Team: req.teamName(), LastEventID: lastEvent,
		Inputs: req.inputs, HasInputs: len(req.route.Stages) > 0,
	}, len(req.exchange.Body))
	req.attempts++
	wrote, err := call.Send(head, req.exchange.Body, deadline)
	if err != nil {
		_ = conn.Close() // unusable after a failed write
		if !wrote {
			req.attempts--
			return nil, attemptNotRun, err
		}
		return nil, attemptFailed, err
	}
	return call, attemptDone, nil
}

// recordFailure records an attempt that returned no valid response. It returns end
// and the reason, or attemptCallerGone if the caller has disconnected.
func (req *request) recordFailure(e *fleet.Endpoint, end attemptEnd, err error) (attemptEnd, string) {
	if end == attemptFailed {
		req.mayHaveRun = true
	}
	if req.silence.err != nil {
		err = req.silence.err
	}
	if end == attemptCallerGone || req.exchange.CallerGone() {
		req.recordEnd(e, pick.ResultNone, attemptCallerGone, "caller gone")
		req.outcome = "caller gone"
		return attemptCallerGone, "caller gone"
	}
	result := pick.ResultFailed
	late := !req.Clock.Now().Before(req.deadline)
	// An endpoint that knows the deadline may close the connection at the same moment.
	if late && (errors.Is(err, net.ErrClosed) || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, fasthttp.ErrTimeout) || errors.Is(err, io.EOF)) {
		err = errOutOfTime
	}
	switch {
	case late:
		result = pick.ResultNone // the request's deadline says nothing about the endpoint's health
	case req.isUnreached(e, err):
		req.Balancer.MarkUnreachable(e)
		result = pick.ResultNone // it is suspect already
	case errors.Is(err, errDoubted):
		result = pick.ResultNone // the request was not sent
	case end == attemptFailed && pool.IsBrokenOff(err):
		req.awaitProbe(e)
	}
	req.recordEnd(e, result, end, err.Error())
	return end, err.Error()
}

// recordEnd reports the end of an attempt to the balancer, the metrics and the
// log.
func (req *request) recordEnd(e *fleet.Endpoint, r pick.Result, end attemptEnd, reason string) {
	req.acquired = nil
	req.Balancer.End(e, r)
	req.Meters.RecordAttempt(req.service, string(end))
	ev := req.Log.Event
	if end != attemptDone {
		ev = req.Log.Failure
	}
	ev(logs.AttemptDone).Str("request", req.headers.ID).Str("endpoint", e.ID).Int("attempt", len(req.tried)).
		Str("result", string(r)).Str("end", string(end)).Str("reason", reason).Dur("since_ms", req.Clock.Now().Sub(req.startedAt)).Msg("")
}
