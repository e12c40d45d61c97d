package carry

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"wigeonplank.example/core/fleet"
	"wigeonplank.example/core/pick"
	plat "wigeonplank.example/platform"
	"wigeonplank.example/relay/logs"
	"wigeonplank.example/relay/pool"
)

const attemptTimes = 3 // times its objective that an attempt at a repeatable call may take, if another may follow

// end says how an attempt at an endpoint came out.
type end string

const (
	endDone   end = "done"    // the caller has its answer
	endNotRun end = "not_run" // it did not run there and never will
	endInputs end = "inputs"  // not run, as the results of its stages are gone
	endFailed end = "failed"  // it may have run
	endGone   end = "gone"    // the caller went away
)

// choose returns the endpoint for the next attempt.
func (k *walk) choose() (*fleet.Service, pick.Choice) {
	v := k.View()
	svc := v.Config.Service(k.service)
	if svc == nil {
		return nil, pick.Choice{}
	}
	want := pick.Want{Zone: k.Zone, Affinity: k.affinity(), Exclude: k.tried}
	return svc, k.Nodes.Pick(svc, v.Endpoints(k.service), want)
}

// again reports whether one more attempt may be made after an end. lastEvent is
// where a stream goes on.
func (k *walk) again(e end, lastEvent int64) bool {
	b := k.budget(k.service)
	saved := b.Saved()
	why := ""
	switch {
	case e == endFailed && !k.route.Repeatable():
		why = "it may have run and must not run twice"
	case e == endFailed && k.attempts >= k.route.MaxAttempts:
		why = "as many attempts as the route allows"
	case !k.Clock.Now().Before(k.deadline):
		why = "no time left"
	case k.x.Gone():
		why = "caller gone"
	case !b.Spend(0):
		why = "retry budget is spent"
	}
	ev := k.Log.Event
	if why != "" {
		ev = k.Log.Failure
	}
	ev(logs.RetryDecided).Str("request", k.req.ID).Bool("retry", why == "").Str("reason", why).Float64("saved", saved).
		Int64("event_id", lastEvent).Msg("")
	return why == ""
}

// logBegin tells which endpoint was chosen and why.
func (k *walk) logBegin(c pick.Choice, lastEvent int64) {
	k.Log.Event(logs.AttemptBegun).Str("request", k.req.ID).Str("endpoint", c.Endpoint.ID).Str("zone", c.Endpoint.Zone).
		Int("attempt", len(k.tried)).Str("choice", string(c.Why)).Int("candidates", c.Candidates).Float64("load", c.Load).
		Str("affinity", strconv.FormatUint(k.affinity(), 16)).Int64("event_id", lastEvent).Dur("left_ms", k.deadline.Sub(k.Clock.Now())).Msg("")
}

// giveUp answers after the last attempt.
func (k *walk) giveUp(why string) {
	switch {
	case k.x.Gone():
		k.outcome = "caller gone"
	case !k.ran:
		k.refuse(fasthttp.StatusServiceUnavailable, comeBack, "not run: "+why)
	case !k.Clock.Now().Before(k.deadline):
		k.refuse(fasthttp.StatusGatewayTimeout, 0, "out of time: "+why)
	default:
		k.refuse(fasthttp.StatusBadGateway, 0, "outcome unknown: "+why)
	}
}

// plain carries a request whose answer comes as a whole.
func (k *walk) plain(ctx context.Context) {
	k.budget(k.service).Earn()
	for {
		svc, c := k.choose()
		e := c.Endpoint
		if e == nil {
			k.giveUp("no endpoint")
			return
		}
		k.tried[e.ID] = true
		k.logBegin(c, -1)
		came, why := k.attempt(ctx, svc, e)
		if came == endDone || came == endGone {
			return
		}
		if came == endInputs {
			delete(k.tried, e.ID) // it has nothing against the request
		}
		if !k.again(came, -1) || !k.restage(ctx, came) {
			k.giveUp(why)
			return
		}
	}
}

// attempt sends the request to an endpoint and answers the caller if a whole
// answer comes back.
func (k *walk) attempt(ctx context.Context, svc *fleet.Service, e *fleet.Endpoint) (end, string) {
	deadline := k.deadline
	if k.route.Repeatable() && k.attempts+1 < k.route.MaxAttempts {
		if t := k.Clock.Now().Add(attemptTimes * k.route.Objective); t.Before(deadline) {
			deadline = t
		}
	}
	call, came, err := k.send(ctx, svc, e, -1, deadline)
	if err != nil {
		return k.failed(e, came, err)
	}
	defer call.Finish(k.Pool)
	stop := context.AfterFunc(ctx, func() { _ = call.Conn.Close() })
	defer stop()
	if err := call.Receive(k.req.ID, deadline); err != nil {
		return k.failed(e, endFailed, err)
	}
	body, err := call.ReadAll()
	if err != nil {
		return k.failed(e, endFailed, err)
	}
	k.report(e, call.Answer)
	return k.judge(e, call, body)
}

// judge decides what a whole answer is worth.
func (k *walk) judge(e *fleet.Endpoint, call *pool.Call, body []byte) (end, string) {
	a := call.Answer
	switch {
	case a.NoInputs:
		k.attempts--
		k.ended(e, pick.ResultNone, endInputs, "results of stages are gone")
		return endInputs, "results of stages are gone"
	case a.Other:
		k.attempts--
		k.Nodes.Unreachable(e)
		k.ended(e, pick.ResultNone, endNotRun, "another endpoint has its address")
		return endNotRun, "another endpoint has its address"
	case a.NotRun:
		k.attempts--
		k.ended(e, pick.ResultFull, endNotRun, "endpoint did not run it")
		return endNotRun, "endpoint did not run it"
	case a.Encoded, a.Status < 300 && !a.Stamped, promises(a.Status):
		return k.failed(e, endFailed, errFalseAnswer)
	case a.Status >= 500 && k.route.Repeatable() && k.attempts < k.route.MaxAttempts && k.budget(k.service).Saved() >= 1:
		k.ran = true
		k.ended(e, pick.ResultGood, endFailed, "endpoint's own failure")
		return endFailed, "endpoint's own failure"
	}
	k.ended(e, pick.ResultGood, endDone, "")
	var h fasthttp.ResponseHeader
	plat.CopyAnswer(&h, &call.Head)
	k.outcome = answered
	k.x.Answer(&h, body)
	return endDone, ""
}

var errFalseAnswer = errors.New("not an endpoint's whole answer")

// promises reports whether a status tells a caller that its request did not run.
func promises(status int) bool {
	switch status {
	case fasthttp.StatusTooManyRequests, fasthttp.StatusServiceUnavailable, fasthttp.StatusRequestTimeout, fasthttp.StatusMisdirectedRequest:
		return true
	}
	return false
}

// send connects to an endpoint and writes the request. lastEvent is where a
// stream goes on; -1: at its beginning.
func (k *walk) send(ctx context.Context, svc *fleet.Service, e *fleet.Endpoint, lastEvent int64, deadline time.Time) (*pool.Call, end, error) {
	k.Nodes.Begin(svc, e)
	conn, err := k.Pool.Get(ctx, e.ID, e.Addr, false)
	if err != nil {
		return nil, endNotRun, err
	}
	call := &pool.Call{Conn: conn}
	head := plat.AppendRequest(nil, &k.x.Head, plat.Forward{
		Endpoint: e.ID, Left: k.deadline.Sub(k.Clock.Now()), Team: k.teamName(), LastEvent: lastEvent,
		Inputs: k.inputs, HasInputs: len(k.route.Stages) > 0,
	}, len(k.x.Body))
	k.attempts++
	wrote, err := call.Send(head, k.x.Body, deadline)
	if err != nil {
		_ = conn.Close() // it is of no use any more
		if !wrote {
			k.attempts--
			return nil, endNotRun, err
		}
		return nil, endFailed, err
	}
	return call, endDone, nil
}

// failed books an attempt that brought no answer.
func (k *walk) failed(e *fleet.Endpoint, came end, err error) (end, string) {
	if came == endFailed {
		k.ran = true
	}
	if k.x.Gone() {
		k.ended(e, pick.ResultNone, endGone, "caller gone")
		k.outcome = "caller gone"
		return endGone, "caller gone"
	}
	result := pick.ResultFailed
	if !k.Clock.Now().Before(k.deadline) {
		result = pick.ResultNone
	}
	if errors.Is(err, pool.ErrUnreachable) {
		k.Nodes.Unreachable(e)
	}
	k.ended(e, result, came, err.Error())
	return came, err.Error()
}

func (k *walk) ended(e *fleet.Endpoint, r pick.Result, came end, why string) {
	k.Nodes.End(e, r)
	k.Meters.Attempt(k.service, string(came))
	ev := k.Log.Event
	if came != endDone {
		ev = k.Log.Failure
	}
	ev(logs.AttemptDone).Str("request", k.req.ID).Str("endpoint", e.ID).Int("attempt", len(k.tried)).
		Str("result", string(r)).Str("end", string(came)).Str("reason", why).Dur("since_ms", k.Clock.Now().Sub(k.began)).Msg("")
}

func (k *walk) report(e *fleet.Endpoint, a plat.Answer) {
	if a.Load != nil {
		k.Nodes.Report(e, pick.Load(*a.Load))
	}
}
