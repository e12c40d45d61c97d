// Package stage runs the stages that precede a request. It queues their items, at
// this relay or at the relay that owns the items' pool, sends them to endpoints
// in batches, and releases results that are no longer needed.
package stage

import (
	"context"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"wigeonplank.example/core/batch"
	"wigeonplank.example/core/clock"
	"wigeonplank.example/core/fleet"
	"wigeonplank.example/core/pick"
	plat "wigeonplank.example/platform"
	"wigeonplank.example/relay/logs"
	"wigeonplank.example/relay/pool"
	"wigeonplank.example/relay/stats"
)

const (
	maxItemAttempts = 3           // failed attempts at one item after which its job fails
	maxOpeningWait  = time.Minute // longer than items wait
)

// FailedError reports that a stage of a request failed.
type FailedError struct {
	Stage  int
	Reason plat.Reason
}

// Error returns the stage and the reason.
func (e *FailedError) Error() string { return fmt.Sprintf("stage %d: %s", e.Stage, e.Reason) }

// ReasonCrashed says that items of one request, alone in their call, crashed the endpoint
// after they had been in a call that crashed another one.
const ReasonCrashed plat.Reason = "crashed"

// reasonUnplaced tells the relay that submitted an item that this one, which owns the pool,
// knows no endpoint for it.
const reasonUnplaced plat.Reason = "unplaced"

// Health tracks the health and load of endpoints.
type Health interface {
	// IsSuspect reports whether an endpoint should get no work now.
	IsSuspect(e *fleet.Endpoint) bool
	// IsLeaving reports whether an endpoint has told this relay that it leaves.
	IsLeaving(e *fleet.Endpoint) bool
	// Admits reports whether what an endpoint has announced allows this relay a call
	// now. sole tells that no other relay sends calls to the endpoint.
	Admits(e *fleet.Endpoint, sole bool) bool
	// OpensAt returns the time from which what an endpoint has announced allows this
	// relay a call, and false if there is none.
	OpensAt(e *fleet.Endpoint, sole bool) (time.Time, bool)
	// RateLimit returns the calls per second that all relays together may send to an
	// endpoint, which is positive, and false if it names no limit.
	RateLimit(e *fleet.Endpoint) (float64, bool)
	// Begin records that a call is about to be sent to an endpoint, unless what it has
	// announced doesn't allow it, in which case it returns false.
	Begin(svc *fleet.Service, e *fleet.Endpoint, sole bool) bool
	// End records the result of a call that Begin recorded.
	End(e *fleet.Endpoint, r pick.Result)
	// MarkUnreachable records that no connection to an endpoint could be made.
	MarkUnreachable(e *fleet.Endpoint)
	// RecordResponse records what an endpoint says of itself in a response to a
	// request that was sent at sentAt.
	RecordResponse(e *fleet.Endpoint, resp plat.Response, sentAt time.Time)
	// SharesStage reports whether a stage service is scheduled by shares.
	SharesStage(cfg *fleet.Config, service string) bool
}

// Peers are the other relays. None of its methods blocks.
type Peers interface {
	// Submit sends items to the relay that owns a pool. It returns false if this
	// relay has to queue them.
	Submit(p batch.Pool, items []*batch.Item) bool
	// Report returns what the relay that owns a pool has reported of it, or false if
	// this relay schedules the pool's items itself.
	Report(p batch.Pool) (batch.Report, bool)
	// Owns reports whether this relay alone schedules the items of a pool.
	Owns(p batch.Pool) bool
	// Cancel cancels the items of a request that are pending at other relays.
	Cancel(request string)
	// Release asks the relay that owns a pool to release results. It returns
	// false if this relay has to release them.
	Release(p batch.Pool, refs []string) bool
}

// Runner runs stages. Set the exported fields before use. It is safe for
// concurrent use.
type Runner struct {
	View   func() *fleet.View // returns the current view of the deployment
	Health Health
	Peers  Peers
	Pool   *pool.Pool
	Clock  clock.Clock
	Log    *logs.Logger
	Meters *stats.Meters
	// Crashed reports whether an endpoint that broke a call off has crashed. It may block
	// for a fraction of a second.
	Crashed func(e *fleet.Endpoint) bool

	mu              sync.Mutex
	sched           batch.Scheduler
	pendingReleases map[string][]string // results to release by endpoint ID
	wake            *time.Timer         // dispatches when a call that is held back may start; nil: none is
	wakeAt          time.Time
}

// remoteOrigin is the Data of an item that another relay submitted.
type remoteOrigin struct {
	pool  batch.Pool
	reply func(it *batch.Item, res plat.StageResult, r batch.Report)
}

// effects collects the actions that follow from a change of the runner's state.
// They are carried out after Runner.mu is released.
type effects struct {
	releases    []string
	submissions []submission
	replies     []reply
}

// submission is a set of items to be queued for a pool, at the pool's owner if possible.
type submission struct {
	pool  batch.Pool
	items []*batch.Item
	here  bool // this relay schedules the items, whoever owns the pool
}

// reply is the result of an item for the relay that submitted it.
type reply struct {
	to     *remoteOrigin
	it     *batch.Item
	res    plat.StageResult
	report batch.Report // of the pool
}

// Run runs the stages of a job and returns references to the results that its
// request needs. The caller must release them with ReleaseResults. Run blocks
// until the results exist, a stage fails, or ctx is done. The error is a
// *FailedError if a stage failed, and otherwise wraps the cause of ctx. Two runs of one
// request must not overlap, as the end of one removes the queued items of both.
func (r *Runner) Run(ctx context.Context, job Job) ([]string, error) {
	j := newJobRun(job)
	r.update(func(fx *effects) { r.startStages(j, fx) })
	select {
	case <-j.done:
	case <-ctx.Done():
	}
	r.mu.Lock()
	j.finished = true
	r.sched.RemoveRequest(job.ID)
	refs, err := j.finalResults(), j.err
	if err == nil && ctx.Err() != nil {
		err = fmt.Errorf("stages: %w", context.Cause(ctx))
	}
	if err != nil {
		refs = nil
	}
	unneeded := j.unreleased(refs)
	r.mu.Unlock()
	if err != nil {
		r.Peers.Cancel(job.ID)
	}
	r.ReleaseResults(unneeded)
	return refs, err
}

// update calls change with mu held, carries out the effects that change adds to
// fx, and dispatches calls. It must be called without holding mu.
func (r *Runner) update(change func(fx *effects)) {
	var fx effects
	r.mu.Lock()
	change(&fx)
	r.mu.Unlock()
	for _, s := range fx.submissions {
		if s.here || !r.Peers.Submit(s.pool, s.items) {
			r.mu.Lock()
			r.sched.Add(s.pool, s.items...)
			r.mu.Unlock()
		}
	}
	for _, rep := range fx.replies {
		rep.to.reply(rep.it, rep.res, rep.report)
	}
	r.ReleaseResults(fx.releases)
	r.dispatch()
}

// startStages submits the items of all stages that have their inputs and were
// not started. It finishes the job if all items have results. mu must be held.
func (r *Runner) startStages(j *jobRun, fx *effects) {
	if j.finished {
		return
	}
	v := r.View()
	remaining := 0
	for i, s := range j.job.Route.Stages {
		remaining += j.remaining[i]
		if j.started[i] || j.remaining[i] == 0 || !j.hasInputs(s) {
			continue
		}
		j.started[i] = true
		idleLatency := func(svc *fleet.Service, n int) time.Duration { return r.idleLatency(v, svc, n) }
		r.submit(j, s.Service, j.newItems(v.Config, i, r.Clock.Now(), zoneFinder(v), idleLatency), false, fx)
	}
	if remaining == 0 {
		j.finish(nil)
	}
}

// zoneFinder returns a function that returns the zone in which a result lies, or
// "" if its endpoint is not listed. The index of endpoints by address is built
// at the first call, as only stages with inputs need it.
func zoneFinder(v *fleet.View) func(ref string) string {
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

// submit chooses a pool for items of one stage and adds them to fx. It fails the
// job if no pool can run them. here keeps the items at this relay. mu must be held.
func (r *Runner) submit(j *jobRun, service string, items []*batch.Item, here bool, fx *effects) {
	v := r.View()
	svc := v.Config.Service(service)
	if svc == nil || svc.Batch == nil {
		j.finish(&FailedError{Stage: items[0].Stage, Reason: plat.ReasonError})
		return
	}
	zone, ok := batch.ChooseZone(svc.Batch, r.poolChoices(v, service), items[0].Zone, len(items), items[0].CrossZoneBytes)
	if !ok {
		j.finish(&FailedError{Stage: items[0].Stage, Reason: plat.ReasonError})
		return
	}
	fx.submissions = append(fx.submissions, submission{pool: batch.Pool{Service: service, Zone: zone}, items: items, here: here})
}

// poolChoices returns the pools of a service with their current loads. mu must
// be held.
func (r *Runner) poolChoices(v *fleet.View, service string) []batch.Candidate {
	usable := r.usableEndpoints(v, service)
	capacity := make(map[string]float64) // in endpoints without a limit, by zone
	for _, e := range usable {
		capacity[e.Zone] += r.relativeCapacity(v.Config.Service(service), e)
	}
	if !batch.HasZonePools(len(usable), len(capacity)) {
		sum := 0.0
		for _, c := range capacity {
			sum += c
		}
		capacity = map[string]float64{"": sum}
	}
	out := make([]batch.Candidate, 0, len(capacity))
	for zone, c := range capacity {
		p := batch.Pool{Service: service, Zone: zone}
		load := batch.Load{Endpoints: int(math.Round(c)), Items: r.report(p).Items}
		if c > 0 {
			load.Endpoints = max(1, load.Endpoints)
		}
		out = append(out, batch.Candidate{Zone: zone, Load: load})
	}
	return out
}

// report returns what is known of a pool. mu must be held.
func (r *Runner) report(p batch.Pool) batch.Report {
	if report, ok := r.Peers.Report(p); ok {
		return report
	}
	return r.sched.Report(r.Clock.Now(), p)
}

// relativeCapacity returns the calls that an endpoint takes in some time, as a share
// of those that it could run if it had announced nothing.
func (r *Runner) relativeCapacity(svc *fleet.Service, e *fleet.Endpoint) float64 {
	if r.Health.IsLeaving(e) {
		return 0
	}
	rate, limited := r.Health.RateLimit(e)
	if !limited || svc == nil || svc.Batch == nil {
		return 1
	}
	return min(1, rate*batch.FullCallTime(svc.Batch).Seconds()/float64(max(1, svc.Batch.Slots)))
}

// Estimate is the estimated time that the stages of a job take.
type Estimate struct {
	Now  time.Duration // with the items that are queued now
	Idle time.Duration // with nothing queued before them
	Own  time.Duration // part of Idle in which items wait for earlier calls of their own stage
}

// Estimate estimates the time that the stages of a job would take.
func (r *Runner) Estimate(job Job) Estimate {
	v := r.View()
	j := newJobRun(job)
	r.mu.Lock()
	defer r.mu.Unlock()
	ends := make([]stageEnd, len(j.refs)) // by stage
	known := make([]bool, len(j.refs))
	// A stage may be listed before those that it depends on. Each pass makes the
	// end of at least one more stage known.
	for range j.refs {
		for i, s := range job.Route.Stages {
			if known[i] {
				continue
			}
			start, ok := latestEnd(ends, known, s.DependsOn)
			if !ok {
				continue
			}
			known[i] = true
			ends[i] = start
			svc := v.Config.Service(s.Service)
			if j.remaining[i] == 0 || svc == nil || svc.Batch == nil {
				continue
			}
			n := j.remaining[i]
			ends[i].now += batch.MinLatency(svc.Batch, r.poolChoices(v, s.Service), n) + callOverhead
			ends[i].idle += r.idleLatency(v, svc, n) + callOverhead
			ends[i].oneCall += batch.EstimateLatency(svc.Batch, batch.Load{}, n) + callOverhead
		}
	}
	var last stageEnd
	for _, e := range ends {
		last = last.later(e)
	}
	return Estimate{Now: last.now, Idle: last.idle, Own: last.idle - last.oneCall}
}

// idleLatency returns the estimated latency of n items of a stage service with nothing
// queued before them. mu must be held.
func (r *Runner) idleLatency(v *fleet.View, svc *fleet.Service, n int) time.Duration {
	oneCall := batch.EstimateLatency(svc.Batch, batch.Load{}, n)
	if n <= svc.Batch.MaxItems {
		return oneCall
	}
	idle := r.poolChoices(v, svc.Name)
	for i := range idle {
		idle[i].Load.Items = 0
	}
	return max(oneCall, batch.MinLatency(svc.Batch, idle, n))
}

// OverShare reports whether the team of a job uses more than its share of a crowded
// pool that the job would use, as far as the pools' owners have told. Of the pools of a
// stage's service, it is the one with the lowest estimated latency.
func (r *Runner) OverShare(job Job) bool {
	v := r.View()
	if job.Team == "" || v.Config == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for i, s := range job.Route.Stages {
		svc := v.Config.Service(s.Service)
		if i >= len(job.Items) || job.Items[i] == 0 || svc == nil || svc.Batch == nil || !r.Health.SharesStage(v.Config, s.Service) {
			continue
		}
		zone, ok := batch.ChooseZone(svc.Batch, r.poolChoices(v, s.Service), job.Zone, job.Items[i], 0)
		if ok && slices.Contains(r.report(batch.Pool{Service: s.Service, Zone: zone}).OverShare, job.Team) {
			return true
		}
	}
	return false
}

// stageEnd is the estimated time until a stage ends.
type stageEnd struct {
	now     time.Duration // with the items that are queued now
	idle    time.Duration // with nothing queued before its items
	oneCall time.Duration // the same, if a call to one more endpoint could start whenever one is full
}

// later returns the later one of two ends.
func (e stageEnd) later(o stageEnd) stageEnd {
	return stageEnd{now: max(e.now, o.now), idle: max(e.idle, o.idle), oneCall: max(e.oneCall, o.oneCall)}
}

// latestEnd returns when the last of a set of stages ends, or false if the end
// of one of them is not known.
func latestEnd(ends []stageEnd, known []bool, stages []int) (out stageEnd, ok bool) {
	for _, a := range stages {
		if !known[a] {
			return out, false
		}
		out = out.later(ends[a])
	}
	return out, true
}

// dispatch fails expired items and starts the calls that endpoints have capacity
// for.
func (r *Runner) dispatch() {
	v := r.View()
	if v.Config == nil {
		return
	}
	now := r.Clock.Now()
	var fx effects
	r.mu.Lock()
	for _, it := range r.sched.RemoveExpired(now) {
		r.recordResult(it, plat.StageResult{Reason: plat.ReasonExpired}, &fx)
	}
	for _, p := range r.sched.Pools() {
		r.dispatchPool(v, p, now, &fx)
	}
	r.setWake(now)
	r.mu.Unlock()
	if len(fx.releases)+len(fx.submissions)+len(fx.replies) > 0 {
		r.update(func(out *effects) { *out = fx })
	}
}

// setWake sets the timer for the next call that is held back. mu must be held.
func (r *Runner) setWake(now time.Time) {
	at := r.sched.NextStart()
	switch {
	case at.IsZero() || (r.wake != nil && at.Equal(r.wakeAt)):
		return // a timer that is no longer needed does no harm
	case r.wake != nil:
		r.wake.Stop()
	}
	r.wakeAt = at
	r.wake = time.AfterFunc(at.Sub(now), func() {
		r.mu.Lock()
		if r.wakeAt.Equal(at) {
			r.wake = nil
		}
		r.mu.Unlock()
		r.dispatch()
	})
}

// dispatchPool starts the calls of one pool, or fails its items if it has no
// endpoint. mu must be held.
func (r *Runner) dispatchPool(v *fleet.View, p batch.Pool, now time.Time, fx *effects) {
	svc := v.Config.Service(p.Service)
	var usable []*fleet.Endpoint
	if svc != nil && svc.Batch != nil {
		for _, e := range r.usableEndpoints(v, p.Service) {
			if p.Contains(e) && !r.Health.IsLeaving(e) {
				usable = append(usable, e)
			}
		}
	}
	if len(usable) == 0 {
		for _, it := range r.sched.RemovePool(p) {
			r.recordResult(it, plat.StageResult{Reason: reasonUnplaced}, fx)
		}
		return
	}
	sole := r.Peers.Owns(p)
	r.sched.Share(p, r.Health.SharesStage(v.Config, p.Service))
	for _, it := range r.sched.RemoveUnstartable(p, r.firstOpening(now, usable, sole)) {
		r.recordResult(it, plat.StageResult{Reason: plat.ReasonExpired}, fx)
	}
	for {
		usable = slices.DeleteFunc(usable, func(e *fleet.Endpoint) bool { return !r.Health.Admits(e, sole) })
		c := r.sched.Next(now, svc, p, usable)
		if c == nil {
			return
		}
		if !r.Health.Begin(svc, c.Endpoint, sole) {
			// A response that arrived since has named a limit.
			r.sched.Finish(now, c, batch.Outcome{})
			r.sched.Add(p, c.Items...)
			continue
		}
		go r.runCall(c)
	}
}

// firstOpening returns the time from which what the first of some endpoints has
// announced allows a call.
func (r *Runner) firstOpening(now time.Time, endpoints []*fleet.Endpoint, sole bool) time.Time {
	first := now.Add(maxOpeningWait)
	for _, e := range endpoints {
		if t, ok := r.Health.OpensAt(e, sole); ok && t.Before(first) {
			first = t
		}
	}
	if first.Before(now) {
		return now
	}
	return first
}

// usableEndpoints returns the endpoints of a service that are not suspect, or
// all of them if all are suspect.
func (r *Runner) usableEndpoints(v *fleet.View, service string) []*fleet.Endpoint {
	all := v.Endpoints(service)
	healthy := make([]*fleet.Endpoint, 0, len(all))
	for _, e := range all {
		if !r.Health.IsSuspect(e) {
			healthy = append(healthy, e)
		}
	}
	if len(healthy) == 0 {
		return all
	}
	return healthy
}

// recordResult records the result of one item. An item that failed is submitted
// again, unless it has expired, crashed an endpoint, lacks an input or has failed maxItemAttempts
// times, in which case its job fails. mu must be held.
func (r *Runner) recordResult(it *batch.Item, res plat.StageResult, fx *effects) {
	if origin, ok := it.Data.(*remoteOrigin); ok {
		fx.replies = append(fx.replies, reply{to: origin, it: it, res: res, report: r.sched.Report(r.Clock.Now(), origin.pool)})
		return
	}
	j, ok := it.Data.(*jobRun)
	if !ok || j.finished || (res.Ref != "" && j.refs[it.Stage][it.Index] != "") {
		// The job is over, or the item was run twice.
		if res.Ref != "" {
			fx.releases = append(fx.releases, res.Ref)
		}
		return
	}
	if res.Ref != "" {
		j.refs[it.Stage][it.Index] = res.Ref
		j.remaining[it.Stage]--
		if j.remaining[it.Stage] == 0 {
			fx.releases = append(fx.releases, j.takeUnneeded(it.Stage)...)
			r.startStages(j, fx)
		}
		return
	}
	if res.Reason == reasonUnplaced {
		res.Reason = plat.ReasonError
	}
	key := [2]int{it.Stage, it.Index}
	// An item for whose result an endpoint had no free memory was not run.
	if res.Reason != plat.ReasonOutOfMemory {
		j.attempts[key]++
	}
	if res.Reason == ReasonCrashed || res.Reason == plat.ReasonExpired || res.Reason == plat.ReasonInputMissing || j.attempts[key] >= maxItemAttempts {
		j.finish(&FailedError{Stage: it.Stage, Reason: res.Reason})
		return
	}
	r.submit(j, j.job.Route.Stages[it.Stage].Service, []*batch.Item{it}, false, fx)
}

// Accept queues items that another relay submitted. reply is called with the
// result of each item and a report of the pool.
func (r *Runner) Accept(p batch.Pool, items []*batch.Item, reply func(it *batch.Item, res plat.StageResult, r batch.Report)) {
	o := &remoteOrigin{pool: p, reply: reply}
	for _, it := range items {
		it.Data = o
	}
	r.mu.Lock()
	r.sched.Add(p, items...)
	r.mu.Unlock()
	r.dispatch()
}

// RemoveQueued removes the queued items of a request that another relay
// cancelled. Items in flight are not stopped.
func (r *Runner) RemoveQueued(request string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sched.RemoveRequest(request)
}

// HandleResult records the result of an item that this relay submitted to another
// one. An item for which that one knows no endpoint stays here: a new configuration or
// endpoint reaches relays one after another.
func (r *Runner) HandleResult(it *batch.Item, res plat.StageResult) {
	r.update(func(fx *effects) {
		if j, ok := it.Data.(*jobRun); ok && !j.finished && res.Reason == reasonUnplaced {
			r.submit(j, j.job.Route.Stages[it.Stage].Service, []*batch.Item{it}, true, fx)
			return
		}
		r.recordResult(it, res, fx)
	})
}

// Resubmit submits items again that were pending at another relay when the link
// to it was lost. This doesn't count as an attempt.
func (r *Runner) Resubmit(items []*batch.Item) {
	r.update(func(fx *effects) {
		for _, it := range items {
			if j, ok := it.Data.(*jobRun); ok && !j.finished {
				r.submit(j, j.job.Route.Stages[it.Stage].Service, []*batch.Item{it}, false, fx)
			}
		}
	})
}

// Reports returns reports of the pools with items that are queued or in flight at this
// relay.
func (r *Runner) Reports() map[batch.Pool]batch.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sched.Reports(r.Clock.Now())
}

// Tick fails expired items and starts calls that had to wait. Call it every few
// tens of milliseconds: no other event occurs when an item expires, or when it is
// time to try an endpoint again that rejected a call.
func (r *Runner) Tick() { r.dispatch() }
