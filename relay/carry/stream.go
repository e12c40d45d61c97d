package carry

import (
	"bufio"
	"context"
	"errors"
	"io"
	"time"

	"github.com/valyala/fasthttp"

	"wigeonplank.example/core/event"
	"wigeonplank.example/core/fleet"
	"wigeonplank.example/core/pick"
	plat "wigeonplank.example/platform"
	"wigeonplank.example/relay/gauge"
	"wigeonplank.example/relay/pool"
)

const (
	pauseTimes   = 4 // times the longest pause that is in time, after which a stream that can be resumed goes on elsewhere
	eventBuffer  = 4 << 10
	defaultPause = time.Second
)

// stream carries a request whose answer is a growing list of events.
func (k *walk) stream(ctx context.Context) {
	k.budget(k.service).Earn()
	last := k.req.LastEvent
	for {
		svc, c := k.choose()
		e := c.Endpoint
		if e == nil {
			k.breakOff("no endpoint")
			return
		}
		k.tried[e.ID] = true
		k.logBegin(c, last)
		came, why := k.attemptStream(ctx, svc, e, &last)
		if came == endDone || came == endGone {
			return
		}
		if came == endInputs {
			delete(k.tried, e.ID) // it has nothing against the request
		}
		if !k.again(came, last) || !k.restage(ctx, came) {
			k.breakOff(why)
			return
		}
	}
}

// breakOff ends a stream that can't go on. If events were sent, the connection
// closes without the end of the answer, so that it doesn't look complete.
func (k *walk) breakOff(why string) {
	if k.x.Begun() {
		k.outcome = "broken off: " + why
		return
	}
	k.giveUp(why)
}

// attemptStream sends the request to an endpoint and passes on the events after
// *last, which it keeps up to date.
func (k *walk) attemptStream(ctx context.Context, svc *fleet.Service, e *fleet.Endpoint, last *int64) (end, string) {
	call, came, err := k.send(ctx, svc, e, *last, k.deadline)
	if err != nil {
		return k.failed(e, came, err)
	}
	defer call.Finish(k.Pool)
	stop := context.AfterFunc(ctx, func() { _ = call.Conn.Close() })
	defer stop()
	if err := call.Receive(k.req.ID, k.deadline); err != nil {
		return k.failed(e, endFailed, err)
	}
	k.report(e, call.Answer)
	if a := call.Answer; a.NotRun || a.Status != fasthttp.StatusOK {
		body, err := call.ReadAll()
		if err != nil {
			return k.failed(e, endFailed, err)
		}
		if !a.NotRun && k.x.Begun() {
			return k.failed(e, endFailed, errFalseAnswer)
		}
		return k.judge(e, call, body)
	}
	if !call.Answer.Stamped || call.Answer.Encoded {
		return k.failed(e, endFailed, errFalseAnswer)
	}
	k.ran = true
	return k.passOn(e, call, last)
}

func (k *walk) passOn(e *fleet.Endpoint, call *pool.Call, last *int64) (end, string) {
	pause := k.route.MaxPause
	if pause == 0 {
		pause = defaultPause
	}
	events := event.Reader{R: bufio.NewReaderSize(call, eventBuffer), Last: *last}
	for {
		if limit := k.Clock.Now().Add(pauseTimes * pause); k.route.Resumable && k.x.Begun() && limit.Before(k.deadline) {
			_ = call.Conn.SetReadDeadline(limit) // fails only on a closed connection
		}
		raw, id, err := events.Next()
		if errors.Is(err, io.EOF) {
			return k.endStream(e, call)
		}
		if err != nil {
			return k.failed(e, endFailed, err)
		}
		if err := k.pass(call, raw); err != nil {
			k.ended(e, pick.ResultNone, endGone, err.Error())
			k.outcome = "caller gone in stream"
			return endGone, err.Error()
		}
		if id >= 0 {
			*last = id
		}
	}
}

func (k *walk) pass(call *pool.Call, raw []byte) error {
	now := k.Clock.Now()
	before := k.passed
	k.passed = now
	if k.x.Begun() {
		k.Meters.Record(gauge.PartPause, k.route.Name, now.Sub(before))
		return k.x.Send(raw)
	}
	k.Meters.Record(gauge.PartFirst, k.route.Name, now.Sub(k.began))
	var h fasthttp.ResponseHeader
	plat.CopyAnswer(&h, &call.Head)
	// The model has read its inputs once its first event is there.
	k.Stages.Free(k.inputs)
	k.freed = true
	return k.x.Begin(&h, raw)
}

func (k *walk) endStream(e *fleet.Endpoint, call *pool.Call) (end, string) {
	k.ended(e, pick.ResultGood, endDone, "")
	k.outcome = answered
	if !k.x.Begun() {
		var h fasthttp.ResponseHeader
		plat.CopyAnswer(&h, &call.Head)
		if err := k.x.Begin(&h, nil); err != nil {
			k.outcome = "caller gone at the end"
			return endGone, err.Error()
		}
	}
	k.x.End()
	return endDone, ""
}
