// Package stage runs the stages that come before a request: it queues their
// items, calls endpoints with batches of them, and gives results back.
package stage

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/valyala/fasthttp"

	"wigeonplank.example/core/batch"
	"wigeonplank.example/core/clock"
	"wigeonplank.example/core/fleet"
	"wigeonplank.example/core/pick"
	plat "wigeonplank.example/platform"
	"wigeonplank.example/relay/pool"
)

const (
	callGrace   = 1500 * time.Millisecond // beyond the expected end of a call and of those before it
	maxTries    = 3                       // calls that one item may be part of
	freeTimeout = time.Second
)

// FailedError says that a stage of a request gave no result.
type FailedError struct {
	Stage  int
	Reason plat.Reason
}

// Error names the stage and the reason.
func (e *FailedError) Error() string { return fmt.Sprintf("stage %d: %s", e.Stage, e.Reason) }

// Health is what a Runner tells of endpoints, and asks.
type Health interface {
	Suspect(e *fleet.Endpoint) bool
	Begin(svc *fleet.Service, e *fleet.Endpoint)
	End(e *fleet.Endpoint, r pick.Result)
	Unreachable(e *fleet.Endpoint)
	Report(e *fleet.Endpoint, l pick.Load)
}

// Runner runs stages. Set the exported fields before use.
type Runner struct {
	Zone   string
	View   func() *fleet.View
	Health Health
	Pool   *pool.Pool
	Clock  clock.Clock
	Log    *log.Logger

	mu    sync.Mutex
	sched batch.Scheduler
}

// Job is the stages of one request.
type Job struct {
	ID       string // attempt of the caller
	Route    *fleet.Route
	Items    []int // by stage
	Key      string
	Due      time.Time
	Deadline time.Time
}

// flow is a job under way. Its fields are guarded by the runner's mu.
type flow struct {
	job   Job
	refs  [][]string // by stage and item; empty: not there yet
	left  []int      // items of each stage without a result
	begun []bool
	tries map[[2]int]int
	err   error
	done  chan struct{} // closed when all have results, or err is set
	over  bool
}

// Run runs the stages of a job. It returns the results that its request needs
// and blocks until they are there, ctx ends, or a stage fails with a
// *FailedError. The results have to be given back by Free.
func (r *Runner) Run(ctx context.Context, job Job) ([]string, error) {
	f := newFlow(job)
	r.mu.Lock()
	r.sched.Zone = r.Zone
	r.advance(f)
	r.mu.Unlock()
	r.pump()
	select {
	case <-f.done:
	case <-ctx.Done():
	}
	r.mu.Lock()
	f.over = true
	r.sched.Remove(job.ID)
	refs, err := f.results(), f.err
	all := f.all()
	r.mu.Unlock()
	if err == nil && ctx.Err() != nil {
		err = fmt.Errorf("stages: %w", context.Cause(ctx))
	}
	if err != nil {
		r.Free(all)
		return nil, err
	}
	r.Free(slices.DeleteFunc(all, func(ref string) bool { return slices.Contains(refs, ref) }))
	return refs, nil
}

func newFlow(job Job) *flow {
	n := len(job.Route.Stages)
	f := &flow{job: job, refs: make([][]string, n), left: make([]int, n), begun: make([]bool, n),
		tries: make(map[[2]int]int), done: make(chan struct{})}
	for i := range n {
		if i < len(job.Items) {
			f.refs[i] = make([]string, job.Items[i])
			f.left[i] = job.Items[i]
		}
	}
	return f
}

// results returns the results of the stages that no other stage follows.
func (f *flow) results() []string {
	followed := make([]bool, len(f.refs))
	for _, s := range f.job.Route.Stages {
		for _, a := range s.After {
			followed[a] = true
		}
	}
	var out []string
	for i, refs := range f.refs {
		if !followed[i] {
			out = append(out, refs...)
		}
	}
	return out
}

func (f *flow) all() []string {
	var out []string
	for _, refs := range f.refs {
		for _, ref := range refs {
			if ref != "" {
				out = append(out, ref)
			}
		}
	}
	return out
}

func (f *flow) finish(err error) {
	if f.over {
		return
	}
	f.over, f.err = true, err
	close(f.done)
}

// advance queues the items of stages that can start, and ends the flow when all
// have results.
func (r *Runner) advance(f *flow) {
	if f.over {
		return
	}
	left := 0
	for i, s := range f.job.Route.Stages {
		left += f.left[i]
		if f.begun[i] || f.left[i] == 0 || !f.ready(s) {
			continue
		}
		f.begun[i] = true
		r.sched.Add(s.Service, r.items(f, i, s)...)
	}
	if left == 0 {
		f.finish(nil)
	}
}

func (f *flow) ready(s fleet.Stage) bool {
	for _, a := range s.After {
		if f.left[a] > 0 {
			return false
		}
	}
	return true
}

func (r *Runner) items(f *flow, stage int, s fleet.Stage) []*batch.Item {
	now := r.Clock.Now()
	var inputs []string
	for _, a := range s.After {
		inputs = append(inputs, f.refs[a]...)
	}
	out := make([]*batch.Item, 0, len(f.refs[stage]))
	for i := range f.refs[stage] {
		out = append(out, &batch.Item{
			Request: f.job.ID, Stage: stage, Index: i, Key: f.job.Key, Inputs: inputs, Chain: len(s.After) > 0,
			Due: f.job.Due, Deadline: f.job.Deadline, Added: now, Flow: f,
		})
	}
	return out
}

// pump starts the calls that can start now.
func (r *Runner) pump() {
	v := r.View()
	if v.Config == nil {
		return
	}
	now := r.Clock.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, it := range r.sched.Expired(now) {
		if f, ok := it.Flow.(*flow); ok {
			f.finish(&FailedError{Stage: it.Stage, Reason: plat.ReasonLate})
		}
	}
	for _, name := range r.sched.Services() {
		svc := v.Config.Service(name)
		if svc == nil || svc.Batch == nil {
			continue
		}
		for {
			c := r.sched.Next(now, svc, r.usable(v, name, now))
			if c == nil {
				break
			}
			go r.call(c)
		}
	}
}

func (r *Runner) usable(v *fleet.View, service string, now time.Time) []*fleet.Endpoint {
	all := v.Endpoints(service, now)
	sound := make([]*fleet.Endpoint, 0, len(all))
	for _, e := range all {
		if !r.Health.Suspect(e) {
			sound = append(sound, e)
		}
	}
	if len(sound) == 0 {
		return all
	}
	return sound
}

// call runs one call and books its results.
func (r *Runner) call(c *batch.Call) {
	began := r.Clock.Now()
	r.Health.Begin(c.Service, c.Endpoint)
	results, result, full, err := r.exchange(c)
	now := r.Clock.Now()
	if errors.Is(err, pool.ErrUnreachable) {
		r.Health.Unreachable(c.Endpoint)
	}
	r.Health.End(c.Endpoint, result)
	ev := r.Log.Info()
	if err != nil {
		ev = r.Log.Warn().Err(err)
	}
	ev.Str("event", "stage_call").Str("endpoint", c.Endpoint.ID).Str("service", c.Service.Name).Int("items", len(c.Items)).
		Strs("requests", requests(c.Items)).Str("result", string(result)).Dur("took", now.Sub(began)).Msg("")
	var stale []string
	r.mu.Lock()
	r.sched.Done(now, c, full)
	for i, it := range c.Items {
		res := plat.StageResult{Reason: plat.ReasonError}
		if results != nil {
			res = results[i]
		}
		if ref := r.book(c.Service.Name, it, res); ref != "" {
			stale = append(stale, ref)
		}
	}
	r.mu.Unlock()
	r.Free(stale)
	r.pump()
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

// book records the result of one item. It returns a result that nobody needs.
func (r *Runner) book(service string, it *batch.Item, res plat.StageResult) string {
	f, ok := it.Flow.(*flow)
	if !ok || f.over || (res.Ref != "" && f.refs[it.Stage][it.Index] != "") {
		return res.Ref
	}
	if res.Ref != "" {
		f.refs[it.Stage][it.Index] = res.Ref
		f.left[it.Stage]--
		if f.left[it.Stage] == 0 {
			r.advance(f)
		}
		return ""
	}
	k := [2]int{it.Stage, it.Index}
	f.tries[k]++
	if res.Reason == plat.ReasonLate || res.Reason == plat.ReasonGone || f.tries[k] >= maxTries {
		f.finish(&FailedError{Stage: it.Stage, Reason: res.Reason})
		return ""
	}
	r.sched.Add(service, it)
	return ""
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
	conn, err := r.Pool.Get(context.Background(), c.Endpoint.ID, c.Endpoint.Addr, false)
	if err != nil {
		return nil, pick.ResultFailed, false, err
	}
	call := &pool.Call{Conn: conn}
	defer call.Finish(r.Pool)
	if _, err := call.Send(msg, nil, deadline); err != nil {
		return nil, pick.ResultFailed, false, err
	}
	if err := call.Receive("", deadline); err != nil {
		return nil, pick.ResultFailed, false, err
	}
	body, err := call.ReadAll()
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
	if len(refs) == 0 {
		return
	}
	byAddr := make(map[string][]string)
	for _, ref := range refs {
		a := plat.RefAddr(ref)
		byAddr[a] = append(byAddr[a], ref)
	}
	v := r.View()
	for _, e := range v.All() {
		if list, ok := byAddr[e.Addr]; ok {
			delete(byAddr, e.Addr)
			go r.free(e, list)
		}
	}
}

func (r *Runner) free(e *fleet.Endpoint, refs []string) {
	msg, err := plat.AppendFreeCall(nil, e.Addr, refs)
	if err == nil {
		err = r.freeCall(e, msg)
	}
	if err != nil {
		r.Log.Info().Str("event", "release_failed").Str("endpoint", e.ID).Int("results", len(refs)).Err(err).Msg("")
	}
}

func (r *Runner) freeCall(e *fleet.Endpoint, msg []byte) error {
	conn, err := r.Pool.Get(context.Background(), e.ID, e.Addr, false)
	if err != nil {
		return err
	}
	deadline := r.Clock.Now().Add(freeTimeout)
	call := &pool.Call{Conn: conn}
	defer call.Finish(r.Pool)
	if _, err := call.Send(msg, nil, deadline); err != nil {
		return err
	}
	if err := call.Receive("", deadline); err != nil {
		return err
	}
	_, err = call.ReadAll()
	return err
}

// Tick starts calls that had to wait. Call it often.
func (r *Runner) Tick() { r.pump() }

// Waiting returns the number of items that wait for a service.
func (r *Runner) Waiting(service string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sched.Waiting(service)
}
