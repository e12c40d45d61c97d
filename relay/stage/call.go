package stage

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"wigeonplank.example/core/batch"
	"wigeonplank.example/core/fleet"
	"wigeonplank.example/core/pick"
	plat "wigeonplank.example/platform"
	"wigeonplank.example/relay/logs"
	"wigeonplank.example/relay/pool"
)

const (
	callTimeoutMargin = 1500 * time.Millisecond // added to the expected duration of a call and of the calls queued before it
	releaseTimeout    = time.Second
	releaseDelay      = 15 * time.Millisecond // releases at one endpoint are collected for this long and sent in one call
)

// runCall sends a call, which Health.Begin has admitted, to its endpoint and records the results of its items.
func (r *Runner) runCall(c *batch.Call) {
	results, health, rejected, err := r.sendCall(c)
	now := r.Clock.Now()
	if errors.Is(err, pool.ErrUnreachable) {
		r.Health.MarkUnreachable(c.Endpoint)
		health = pick.ResultNone // it is suspect already
	}
	r.Health.End(c.Endpoint, health)
	r.Meters.RecordStageCall(c.Service.Name, string(health), len(c.Items))
	ev := r.Log.Event
	if err != nil {
		ev = r.Log.Failure
	}
	ev(logs.StageCall).Str("endpoint", c.Endpoint.ID).Str("service", c.Service.Name).Int("items", len(c.Items)).
		Strs("requests", requestIDs(c.Items)).Str("result", string(health)).Dur("took_ms", now.Sub(c.StartedAt)).Err(err).Msg("")
	crashed := pool.IsBrokenOff(err) && r.Crashed(c.Endpoint)
	r.update(func(fx *effects) {
		r.sched.Finish(now, c, callOutcome(results, rejected))
		if crashed && !c.IsAlone() {
			r.sched.AddApart(c.Pool, slices.DeleteFunc(c.Items, isUnneeded))
			return
		}
		for i, it := range c.Items {
			res := plat.StageResult{Reason: plat.ReasonError}
			if crashed {
				res.Reason = ReasonCrashed
			}
			if results != nil {
				res = results[i]
			}
			r.recordResult(it, res, fx)
		}
	})
}

// isUnneeded reports whether the job of an item of this relay is over.
func isUnneeded(it *batch.Item) bool {
	j, ok := it.Data.(*jobRun)
	return ok && j.finished
}

// callOutcome returns the outcome of a call for the scheduler. rejected reports
// whether the endpoint did not accept the call.
func callOutcome(results []plat.StageResult, rejected bool) batch.Outcome {
	o := batch.Outcome{Rejected: rejected}
	for _, res := range results {
		o.Refs = append(o.Refs, res.Ref)
		o.OutOfMemory = o.OutOfMemory || res.Reason == plat.ReasonOutOfMemory
	}
	return o
}

// requestIDs returns the IDs of the requests of items, each once if the items of
// a request are adjacent.
func requestIDs(items []*batch.Item) []string {
	var out []string
	for _, it := range items {
		if len(out) == 0 || out[len(out)-1] != it.Request {
			out = append(out, it.Request)
		}
	}
	return out
}

// sendCall sends a call to its endpoint and returns the results by item, or nil
// if the call failed. health is the effect of the call on the endpoint's health.
// rejected reports whether the endpoint responded with a status other than 200.
func (r *Runner) sendCall(c *batch.Call) (results []plat.StageResult, health pick.Result, rejected bool, err error) {
	now := r.Clock.Now()
	expected := c.Service.Batch.CallOverhead + time.Duration(len(c.Items))*c.Service.Batch.ItemTime
	deadline := now.Add(time.Duration(c.Service.Batch.MaxQueued+1)*expected + callTimeoutMargin)
	msg, err := plat.AppendStageCall(nil, c.Endpoint.Addr, c.Endpoint.ID, toStageItems(c.Items, now))
	if err != nil {
		return nil, pick.ResultNone, false, err
	}
	call, body, err := r.roundTrip(c.Endpoint, msg, true, deadline)
	if err != nil {
		return nil, pick.ResultFailed, false, err
	}
	defer call.Finish(r.Pool)
	if call.Response.Status != fasthttp.StatusOK {
		health = pick.ResultFailed
		if call.Response.NotRun {
			health = pick.ResultFull
		}
		return nil, health, true, statusError(call)
	}
	results, err = plat.DecodeStageResults(body, len(c.Items))
	if err != nil {
		return nil, pick.ResultFailed, false, err
	}
	// Without any result, a second copy of the response could be taken for the next one.
	if slices.ContainsFunc(results, func(res plat.StageResult) bool { return res.Ref != "" }) {
		call.Accept()
	}
	return results, pick.ResultGood, false, nil
}

// roundTrip sends an HTTP request to an endpoint and reads the complete response.
// It blocks until deadline at the latest. unique is that of pool.Call.ReceiveUnnamed.
// Unless roundTrip returns an error, the caller must judge the response and finish the
// call.
func (r *Runner) roundTrip(e *fleet.Endpoint, msg []byte, unique bool, deadline time.Time) (*pool.Call, []byte, error) {
	conn, err := r.Pool.Get(context.Background(), pool.KindStage, e.ID, e.Addr, false)
	if err != nil {
		return nil, nil, err
	}
	call := &pool.Call{Conn: conn}
	sentAt := r.Clock.Now()
	_, err = call.Send(msg, nil, deadline)
	var body []byte
	if err == nil {
		body, err = call.ReceiveUnnamed(unique, deadline)
	}
	if err != nil {
		call.Finish(r.Pool)
		return nil, nil, err
	}
	r.Health.RecordResponse(e, call.Response, sentAt)
	return call, body, nil
}

// toStageItems converts items to those of a platform call that is sent at now.
func toStageItems(items []*batch.Item, now time.Time) []plat.StageItem {
	out := make([]plat.StageItem, len(items))
	for i, it := range items {
		out[i] = plat.StageItem{
			ID: it.Request, Stage: it.Stage, Index: it.Index, Remaining: it.Deadline.Sub(now),
			Key: it.Key, Inputs: it.Inputs, HasInputs: it.Chain,
		}
	}
	return out
}

// ReleaseResults releases results, so that their endpoints can reuse the memory.
// The owner of each result's pool sends the release, as it accounts for the
// memory. ReleaseResults doesn't block. A failed release is not retried: the
// endpoint drops the result when its retention time ends, a few seconds later.
func (r *Runner) ReleaseResults(refs []string) {
	for e, list := range r.refsByEndpoint(refs) {
		if !r.Peers.Release(r.poolOf(e), list) {
			r.queueRelease(e, list)
		}
	}
}

// poolOf returns the pool that an endpoint belongs to.
func (r *Runner) poolOf(e *fleet.Endpoint) batch.Pool {
	p := batch.Pool{Service: e.Service}
	usable := r.usableEndpoints(r.View(), e.Service)
	zones := make(map[string]bool)
	for _, other := range usable {
		zones[other.Zone] = true
	}
	if batch.HasZonePools(len(usable), len(zones)) {
		p.Zone = e.Zone
	}
	return p
}

// ReleaseDirectly releases results at their endpoints, without asking the owner
// of their pool. It doesn't block.
func (r *Runner) ReleaseDirectly(refs []string) {
	for e, list := range r.refsByEndpoint(refs) {
		r.queueRelease(e, list)
	}
}

// refsByEndpoint groups references by the endpoint that retains the result.
// Those of endpoints that are no longer listed are left out.
func (r *Runner) refsByEndpoint(refs []string) map[*fleet.Endpoint][]string {
	if len(refs) == 0 {
		return nil
	}
	byAddr := make(map[string][]string)
	for _, ref := range refs {
		addr := plat.RefAddr(ref)
		byAddr[addr] = append(byAddr[addr], ref)
	}
	out := make(map[*fleet.Endpoint][]string, len(byAddr))
	for _, e := range r.View().All() {
		if list, ok := byAddr[e.Addr]; ok {
			out[e] = list
			delete(byAddr, e.Addr)
		}
	}
	return out
}

// queueRelease adds references to the next release call to an endpoint, which is
// sent releaseDelay after the first of them is added. An endpoint that limits its
// requests or wants none gets none: it drops results by itself when their retention
// time ends.
func (r *Runner) queueRelease(e *fleet.Endpoint, refs []string) {
	if _, limited := r.Health.RateLimit(e); limited || !r.Health.Admits(e, false) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pendingReleases == nil {
		r.pendingReleases = make(map[string][]string)
	}
	first := len(r.pendingReleases[e.ID]) == 0
	r.pendingReleases[e.ID] = append(r.pendingReleases[e.ID], refs...)
	if first {
		time.AfterFunc(releaseDelay, func() { r.sendRelease(e) })
	}
}

// sendRelease sends the pending releases of an endpoint in one call.
func (r *Runner) sendRelease(e *fleet.Endpoint) {
	r.mu.Lock()
	refs := r.pendingReleases[e.ID]
	delete(r.pendingReleases, e.ID)
	r.mu.Unlock()
	msg, err := plat.AppendReleaseCall(nil, e.Addr, refs)
	if err == nil {
		err = r.release(e, msg)
	}
	if err != nil {
		r.Log.Failure(logs.ReleaseFailed).Str("endpoint", e.ID).Int("results", len(refs)).Err(err).Msg("")
		return
	}
	r.mu.Lock()
	r.sched.Released(e.ID, refs)
	r.mu.Unlock()
	r.dispatch()
}

// release sends a release call to an endpoint.
func (r *Runner) release(e *fleet.Endpoint, msg []byte) error {
	call, _, err := r.roundTrip(e, msg, false, r.Clock.Now().Add(releaseTimeout))
	if err != nil {
		return err
	}
	defer call.Finish(r.Pool)
	if call.Response.Status != fasthttp.StatusOK {
		return statusError(call)
	}
	call.Accept()
	return nil
}

// statusError reports a response with another status than 200.
func statusError(call *pool.Call) error {
	return fmt.Errorf("endpoint answered with status %d", call.Response.Status)
}
