package stage

import (
	"context"
	"errors"
	"fmt"
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
	callGrace   = 1500 * time.Millisecond // beyond the expected end of a call and of those before it
	freeTimeout = time.Second
	freePause   = 15 * time.Millisecond // results that are given up together go in one call
)

// call runs one call and books its results.
func (r *Runner) call(c *batch.Call) {
	r.Health.Begin(c.Service, c.Endpoint)
	results, result, full, err := r.exchange(c)
	now := r.Clock.Now()
	if errors.Is(err, pool.ErrUnreachable) {
		r.Health.Unreachable(c.Endpoint)
	}
	r.Health.End(c.Endpoint, result)
	r.Meters.StageCall(c.Service.Name, string(result), len(c.Items))
	ev := r.Log.Event
	if err != nil {
		ev = r.Log.Failure
	}
	ev(logs.StageCall).Str("endpoint", c.Endpoint.ID).Str("service", c.Service.Name).Int("items", len(c.Items)).
		Strs("requests", requests(c.Items)).Str("result", string(result)).Dur("took_ms", now.Sub(c.Began)).Err(err).Msg("")
	r.do(func(fx *effects) {
		r.sched.Done(now, c, outcome(results, full))
		for i, it := range c.Items {
			res := plat.StageResult{Reason: plat.ReasonError}
			if results != nil {
				res = results[i]
			}
			r.book(it, res, fx)
		}
	})
}

func outcome(results []plat.StageResult, full bool) batch.Outcome {
	o := batch.Outcome{Full: full}
	for _, res := range results {
		o.Refs = append(o.Refs, res.Ref)
		o.NoRoom = o.NoRoom || res.Reason == plat.ReasonRoom
	}
	return o
}

func requests(items []*batch.Item) []string {
	var out []string
	for _, it := range items {
		if len(out) == 0 || out[len(out)-1] != it.Request {
			out = append(out, it.Request)
		}
	}
	return out
}

// exchange makes a call at an endpoint.
func (r *Runner) exchange(c *batch.Call) (results []plat.StageResult, result pick.Result, full bool, err error) {
	now := r.Clock.Now()
	expected := c.Service.Batch.Call + time.Duration(len(c.Items))*c.Service.Batch.Item
	deadline := now.Add(time.Duration(c.Service.Batch.Queue+1)*expected + callGrace)
	msg, err := plat.AppendStageCall(nil, c.Endpoint.Addr, c.Endpoint.ID, wireItems(c.Items, now))
	if err != nil {
		return nil, pick.ResultNone, false, err
	}
	call, body, err := r.roundTrip(c.Endpoint, msg, deadline)
	if err != nil {
		return nil, pick.ResultFailed, false, err
	}
	if l := call.Answer.Load; l != nil {
		r.Health.Report(c.Endpoint, pick.Load(*l))
	}
	if call.Answer.Status != fasthttp.StatusOK {
		result = pick.ResultFailed
		if call.Answer.NotRun {
			result = pick.ResultFull
		}
		return nil, result, true, fmt.Errorf("endpoint answered with status %d", call.Answer.Status)
	}
	results, err = plat.DecodeStageResults(body, len(c.Items))
	if err != nil {
		return nil, pick.ResultFailed, false, err
	}
	return results, pick.ResultGood, false, nil
}

// roundTrip sends a message to an endpoint and reads the whole answer.
func (r *Runner) roundTrip(e *fleet.Endpoint, msg []byte, deadline time.Time) (*pool.Call, []byte, error) {
	conn, err := r.Pool.Get(context.Background(), e.ID, e.Addr, false)
	if err != nil {
		return nil, nil, err
	}
	call := &pool.Call{Conn: conn}
	defer call.Finish(r.Pool)
	if _, err := call.Send(msg, nil, deadline); err != nil {
		return nil, nil, err
	}
	if err := call.Receive("", deadline); err != nil {
		return nil, nil, err
	}
	body, err := call.ReadAll()
	return call, body, err
}

func wireItems(items []*batch.Item, now time.Time) []plat.StageItem {
	out := make([]plat.StageItem, len(items))
	for i, it := range items {
		out[i] = plat.StageItem{
			ID: it.Request, Stage: it.Stage, Index: it.Index, Left: it.Deadline.Sub(now),
			Key: it.Key, Inputs: it.Inputs, Chain: it.Chain,
		}
	}
	return out
}

// Free gives results up, so that their endpoints have room again. It doesn't
// block; a result whose release fails goes away by itself after a few seconds.
func (r *Runner) Free(refs []string) {
	for e, list := range r.byEndpoint(refs) {
		if !r.Peers.Release(r.poolOf(e), list) {
			r.release(e, list)
		}
	}
}

// poolOf returns the pool that an endpoint belongs to.
func (r *Runner) poolOf(e *fleet.Endpoint) batch.Pool {
	p := batch.Pool{Service: e.Service}
	all := r.usable(r.View(), e.Service)
	zones := make(map[string]bool)
	for _, o := range all {
		zones[o.Zone] = true
	}
	if batch.Zoned(len(all), len(zones)) {
		p.Zone = e.Zone
	}
	return p
}

// Release gives up results for another relay.
func (r *Runner) Release(refs []string) {
	for e, list := range r.byEndpoint(refs) {
		r.release(e, list)
	}
}

func (r *Runner) byEndpoint(refs []string) map[*fleet.Endpoint][]string {
	if len(refs) == 0 {
		return nil
	}
	byAddr := make(map[string][]string)
	for _, ref := range refs {
		a := plat.RefAddr(ref)
		byAddr[a] = append(byAddr[a], ref)
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

// release gathers results of an endpoint for a short while and gives them up in
// one call.
func (r *Runner) release(e *fleet.Endpoint, list []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.releases == nil {
		r.releases = make(map[string][]string)
	}
	first := len(r.releases[e.ID]) == 0
	r.releases[e.ID] = append(r.releases[e.ID], list...)
	if first {
		time.AfterFunc(freePause, func() { r.flush(e) })
	}
}

func (r *Runner) flush(e *fleet.Endpoint) {
	r.mu.Lock()
	list := r.releases[e.ID]
	delete(r.releases, e.ID)
	r.mu.Unlock()
	msg, err := plat.AppendFreeCall(nil, e.Addr, list)
	if err == nil {
		_, _, err = r.roundTrip(e, msg, r.Clock.Now().Add(freeTimeout))
	}
	if err != nil {
		r.Log.Failure(logs.ReleaseFailed).Str("endpoint", e.ID).Int("results", len(list)).Err(err).Msg("")
		return
	}
	r.mu.Lock()
	r.sched.Freed(e.ID, list)
	r.mu.Unlock()
	r.pump()
}
