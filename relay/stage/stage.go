// Package stage runs the stages that come before a request: it queues their
// items, here or at the relay that looks after a pool, calls endpoints with
// batches of them, and gives results up.
package stage

import (
	"context"
	"fmt"
	"sync"
	"time"

	"wigeonplank.example/core/batch"
	"wigeonplank.example/core/clock"
	"wigeonplank.example/core/fleet"
	"wigeonplank.example/core/pick"
	plat "wigeonplank.example/platform"
	"wigeonplank.example/relay/gauge"
	"wigeonplank.example/relay/logs"
	"wigeonplank.example/relay/pool"
)

const maxTries = 3 // calls that one item may be part of

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

// Peers are the other relays. None of its methods blocks.
type Peers interface {
	// Submit hands items to the relay that looks after a pool; false: to be run here.
	Submit(p batch.Pool, items []*batch.Item) bool
	// Items returns what waits for a pool elsewhere; -1: it is looked after here.
	Items(p batch.Pool) int
	// Cancel drops what waits of a request.
	Cancel(request string)
	// Release has results given up; false: to be done here.
	Release(p batch.Pool, refs []string) bool
}

// Runner runs stages. Set the exported fields before use. It is safe for
// concurrent use.
type Runner struct {
	View   func() *fleet.View
	Health Health
	Peers  Peers
	Pool   *pool.Pool
	Clock  clock.Clock
	Log    *logs.Logger
	Meters *gauge.Meters

	mu       sync.Mutex
	sched    batch.Scheduler
	releases map[string][]string // results to give up by endpoint ID
}

// guest is the flow of an item of another relay.
type guest struct {
	reply func(it *batch.Item, res plat.StageResult)
}

// effects is what has to happen once the runner's mu is free.
type effects struct {
	free    []string
	submits []submit
	replies []reply
}

type submit struct {
	pool  batch.Pool
	items []*batch.Item
}

type reply struct {
	to  *guest
	it  *batch.Item
	res plat.StageResult
}

// Run runs the stages of a job. It returns the results that its request needs
// and blocks until they are there, ctx ends, or a stage fails with a
// *FailedError. The results have to be given up by Free.
func (r *Runner) Run(ctx context.Context, job Job) ([]string, error) {
	f := newFlow(job)
	r.do(func(fx *effects) { r.advance(f, fx) })
	select {
	case <-f.done:
	case <-ctx.Done():
	}
	r.mu.Lock()
	f.over = true
	r.sched.Remove(job.ID)
	refs, err := f.results(), f.err
	if err == nil && ctx.Err() != nil {
		err = fmt.Errorf("stages: %w", context.Cause(ctx))
	}
	if err != nil {
		refs = nil
	}
	rest := f.rest(refs)
	r.mu.Unlock()
	if err != nil {
		r.Peers.Cancel(job.ID)
	}
	r.Free(rest)
	return refs, err
}

// do changes the runner's state, then does what follows from it.
func (r *Runner) do(change func(fx *effects)) {
	var fx effects
	r.mu.Lock()
	change(&fx)
	r.mu.Unlock()
	for _, s := range fx.submits {
		if !r.Peers.Submit(s.pool, s.items) {
			r.mu.Lock()
			r.sched.Add(s.pool, s.items...)
			r.mu.Unlock()
		}
	}
	for _, p := range fx.replies {
		p.to.reply(p.it, p.res)
	}
	r.Free(fx.free)
	r.pump()
}

// advance queues the items of stages that can start, and ends the flow when all
// have results.
func (r *Runner) advance(f *flow, fx *effects) {
	if f.over {
		return
	}
	v := r.View()
	left := 0
	for i, s := range f.job.Route.Stages {
		left += f.left[i]
		if f.begun[i] || f.left[i] == 0 || !f.ready(s) {
			continue
		}
		f.begun[i] = true
		r.place(f, s.Service, f.items(v.Config, i, r.Clock.Now(), zones(v)), fx)
	}
	if left == 0 {
		f.finish(nil)
	}
}

// zones returns what finds the zone in which a result lies.
func zones(v *fleet.View) func(ref string) string {
	var byAddr map[string]string
	return func(ref string) string {
		if byAddr == nil {
			byAddr = make(map[string]string)
			for _, e := range v.All() {
				byAddr[e.Addr] = e.Zone
			}
		}
		return byAddr[plat.RefAddr(ref)]
	}
}

// place chooses the pool for items of one stage.
func (r *Runner) place(f *flow, service string, items []*batch.Item, fx *effects) {
	v := r.View()
	svc := v.Config.Service(service)
	if svc == nil || svc.Batch == nil {
		f.finish(&FailedError{Stage: items[0].Stage, Reason: plat.ReasonError})
		return
	}
	zone, ok := batch.Place(svc.Batch, r.choices(v, service), items[0].Zone, len(items), items[0].Cross)
	if !ok {
		f.finish(&FailedError{Stage: items[0].Stage, Reason: plat.ReasonError})
		return
	}
	fx.submits = append(fx.submits, submit{pool: batch.Pool{Service: service, Zone: zone}, items: items})
}

// choices returns the pools of a service with what waits for them.
func (r *Runner) choices(v *fleet.View, service string) []batch.Choice {
	usable := r.usable(v, service)
	servers := make(map[string]int)
	for _, e := range usable {
		servers[e.Zone]++
	}
	if !batch.Zoned(len(usable), len(servers)) {
		servers = map[string]int{"": len(usable)}
	}
	out := make([]batch.Choice, 0, len(servers))
	for zone, n := range servers {
		p := batch.Pool{Service: service, Zone: zone}
		waiting := r.Peers.Items(p)
		if waiting < 0 {
			waiting = r.sched.Items(p)
		}
		out = append(out, batch.Choice{Zone: zone, Load: batch.Load{Servers: n, Items: waiting}})
	}
	return out
}

// Estimate returns how long the stages of a job would take now, and how long if
// nothing waited before them.
func (r *Runner) Estimate(job Job) (now, idle time.Duration) {
	v := r.View()
	f := newFlow(job)
	r.mu.Lock()
	defer r.mu.Unlock()
	ends := make([][2]time.Duration, len(f.refs))
	done := make([]bool, len(f.refs))
	for range f.refs {
		for i, s := range job.Route.Stages {
			if done[i] {
				continue
			}
			start, ok := latest(ends, done, s.After)
			if !ok {
				continue
			}
			done[i] = true
			ends[i] = start
			svc := v.Config.Service(s.Service)
			if f.left[i] == 0 || svc == nil || svc.Batch == nil {
				continue
			}
			n := f.left[i]
			ends[i][0] += batch.Best(svc.Batch, r.choices(v, s.Service), n) + turnSlack
			ends[i][1] += batch.Wait(svc.Batch, batch.Load{}, n) + turnSlack
		}
	}
	for _, e := range ends {
		now, idle = max(now, e[0]), max(idle, e[1])
	}
	return now, idle
}

// latest returns when the last of some stages ends; false if one isn't known.
func latest(ends [][2]time.Duration, done []bool, stages []int) (out [2]time.Duration, ok bool) {
	for _, a := range stages {
		if !done[a] {
			return out, false
		}
		out[0], out[1] = max(out[0], ends[a][0]), max(out[1], ends[a][1])
	}
	return out, true
}

// pump starts the calls that can start now.
func (r *Runner) pump() {
	v := r.View()
	if v.Config == nil {
		return
	}
	now := r.Clock.Now()
	var fx effects
	r.mu.Lock()
	for _, it := range r.sched.Expired(now) {
		r.book(it, plat.StageResult{Reason: plat.ReasonLate}, &fx)
	}
	for _, p := range r.sched.Pools() {
		r.start(v, p, now, &fx)
	}
	r.mu.Unlock()
	if len(fx.free)+len(fx.submits)+len(fx.replies) > 0 {
		r.do(func(out *effects) { *out = fx })
	}
}

// start starts the calls of one pool.
func (r *Runner) start(v *fleet.View, p batch.Pool, now time.Time, fx *effects) {
	svc := v.Config.Service(p.Service)
	var usable []*fleet.Endpoint
	if svc != nil && svc.Batch != nil {
		for _, e := range r.usable(v, p.Service) {
			if p.Holds(e) {
				usable = append(usable, e)
			}
		}
	}
	if len(usable) == 0 {
		for _, it := range r.sched.TakeAll(p) {
			r.book(it, plat.StageResult{Reason: plat.ReasonError}, fx)
		}
		return
	}
	for {
		c := r.sched.Next(now, svc, p, usable)
		if c == nil {
			return
		}
		go r.call(c)
	}
}

func (r *Runner) usable(v *fleet.View, service string) []*fleet.Endpoint {
	all := v.Endpoints(service)
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

// book records the result of one item.
func (r *Runner) book(it *batch.Item, res plat.StageResult, fx *effects) {
	if g, ok := it.Flow.(*guest); ok {
		fx.replies = append(fx.replies, reply{to: g, it: it, res: res})
		return
	}
	f, ok := it.Flow.(*flow)
	if !ok || f.over || (res.Ref != "" && f.refs[it.Stage][it.Index] != "") {
		if res.Ref != "" {
			fx.free = append(fx.free, res.Ref)
		}
		return
	}
	if res.Ref != "" {
		f.refs[it.Stage][it.Index] = res.Ref
		f.left[it.Stage]--
		if f.left[it.Stage] == 0 {
			fx.free = append(fx.free, f.used(it.Stage)...)
			r.advance(f, fx)
		}
		return
	}
	k := [2]int{it.Stage, it.Index}
	if res.Reason != plat.ReasonRoom {
		f.tries[k]++
	}
	if res.Reason == plat.ReasonLate || res.Reason == plat.ReasonGone || f.tries[k] >= maxTries {
		f.finish(&FailedError{Stage: it.Stage, Reason: res.Reason})
		return
	}
	r.place(f, f.job.Route.Stages[it.Stage].Service, []*batch.Item{it}, fx)
}

// Accept queues items of another relay. reply tells what became of each.
func (r *Runner) Accept(p batch.Pool, items []*batch.Item, reply func(it *batch.Item, res plat.StageResult)) {
	g := &guest{reply: reply}
	for _, it := range items {
		it.Flow = g
	}
	r.mu.Lock()
	r.sched.Add(p, items...)
	r.mu.Unlock()
	r.pump()
}

// Drop forgets what waits of a request of another relay.
func (r *Runner) Drop(request string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sched.Remove(request)
}

// Result books what became of an own item that another relay ran.
func (r *Runner) Result(it *batch.Item, res plat.StageResult) {
	r.do(func(fx *effects) { r.book(it, res, fx) })
}

// Lost takes back own items whose link broke. They are not counted as tried.
func (r *Runner) Lost(items []*batch.Item) {
	r.do(func(fx *effects) {
		for _, it := range items {
			if f, ok := it.Flow.(*flow); ok && !f.over {
				r.place(f, f.job.Route.Stages[it.Stage].Service, []*batch.Item{it}, fx)
			}
		}
	})
}

// Loads returns what waits for the pools that this relay serves.
func (r *Runner) Loads() map[batch.Pool]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sched.Loads()
}

// Tick starts calls that had to wait, and gives up results. Call it often.
func (r *Runner) Tick() { r.pump() }
