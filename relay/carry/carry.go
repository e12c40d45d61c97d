// Package carry takes a caller's request through its stages to an endpoint, and
// brings the answer back.
package carry

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"wigeonplank.example/core/clock"
	"wigeonplank.example/core/fleet"
	"wigeonplank.example/core/retry"
	plat "wigeonplank.example/platform"
	"wigeonplank.example/relay/front"
	"wigeonplank.example/relay/gauge"
	"wigeonplank.example/relay/logs"
	"wigeonplank.example/relay/pool"
	"wigeonplank.example/relay/sets"
	"wigeonplank.example/relay/stage"
)

const (
	defaultDeadline = 30 * time.Second       // of requests that name none
	comeBack        = 300 * time.Millisecond // a refused caller may return after this
	notReadyWait    = time.Second            // a caller may return after this to a relay that knows nothing yet
	finishMargin    = 20 * time.Millisecond  // the final answer leaves so long before the deadline
	overloadSlack   = 100 * time.Millisecond // a request is only refused if others delay it by more
	engineStart     = 60 * time.Millisecond  // from the send to the first event of an empty prompt
	maxRestages     = 2                      // times that the stages of a request are run again
	promptToken     = 30 * time.Microsecond  // an engine takes about so long to read a token of a prompt
)

// Walker carries requests. Set the exported fields before use.
type Walker struct {
	Zone   string
	View   func() *fleet.View
	Ready  func() (bool, string)
	Nodes  *Nodes
	Pool   *pool.Pool
	Stages *stage.Runner
	Clock  clock.Clock
	Log    *logs.Logger
	Meters *gauge.Meters
	// NewBudget returns the retry budget of a service.
	NewBudget func() *retry.Budget
	// Policy returns the policy in force.
	Policy func() sets.Policy

	mu      sync.Mutex
	budgets map[string]*retry.Budget
}

// walk is one request under way.
type walk struct {
	*Walker
	x        *front.Exchange
	req      plat.Request
	route    *fleet.Route
	team     *fleet.Team
	service  string
	began    time.Time
	deadline time.Time // of the final answer
	due      time.Time // when the answer, or its first event, is in time
	attempts int       // endpoints that may have run it
	tried    map[string]bool
	inputs   []string
	freed    bool      // inputs were given up
	passed   time.Time // when the last event was passed on
	restaged int       // times that the stages ran again
	ran      bool      // some endpoint may have run it
	outcome  string
	version  int64         // of the configuration that decides
	after    time.Duration // when the caller may come back; 0: not said
}

// answered is the outcome of a request that an endpoint answered.
const answered = "answered"

// Serve answers a request. It blocks until the answer is written.
func (w *Walker) Serve(x *front.Exchange) {
	k := &walk{Walker: w, x: x, began: x.Began, tried: make(map[string]bool)}
	k.req.ID = plat.AttemptID(&x.Head)
	k.serve()
	k.logDone()
}

func (k *walk) logDone() {
	now := k.Clock.Now()
	ev := k.Log.Event
	if k.outcome != answered {
		ev = k.Log.Failure
	}
	line := ev(logs.RequestDone).Str("request", k.req.ID).Str("outcome", k.outcome).Int("status", k.x.Status()).
		Int("attempts", k.attempts).Dur("took_ms", now.Sub(k.began)).Int64("version", k.version)
	if k.route != nil {
		line.Str("route", k.route.Name).Str("service", k.service).Str("team", k.teamName())
	}
	if !k.deadline.IsZero() {
		line.Dur("left_ms", k.deadline.Sub(now))
	}
	if k.after > 0 {
		line.Dur("retry_after_ms", k.after)
	}
	line.Msg("")
	if k.route != nil {
		k.Meters.Ended(k.route.Name, k.teamName(), k.x.Status(), now.Sub(k.began))
	} else {
		k.Meters.Ended("", "", k.x.Status(), now.Sub(k.began))
	}
}

// refuse answers for the system itself. A status that promises "not run" is
// only used if nothing may have run.
func (k *walk) refuse(status int, after time.Duration, why string) {
	k.outcome = why
	if after > 0 {
		after += time.Duration(rand.Int64N(int64(after))) // callers don't come back together
	}
	k.after = after
	k.x.Refuse(status, after)
}

func (k *walk) serve() {
	if ok, why := k.Ready(); !ok {
		k.refuse(fasthttp.StatusServiceUnavailable, notReadyWait, why)
		return
	}
	v := k.View()
	k.version = v.Config.Version
	var err error
	if k.req, err = plat.ReadRequest(&k.x.Head); err != nil {
		k.refuse(fasthttp.StatusBadRequest, 0, err.Error())
		return
	}
	if !k.admit(v.Config) {
		return
	}
	k.setDeadline()
	ctx, cancel := context.WithDeadline(k.x.Context, k.deadline)
	defer cancel()
	if len(k.route.Stages) > 0 && !k.runStages(ctx) {
		return
	}
	if k.route.Kind == fleet.KindStream {
		k.stream(ctx)
	} else {
		k.plain(ctx)
	}
	k.Stages.Free(k.inputs)
}

// admit finds route and team.
func (k *walk) admit(cfg *fleet.Config) bool {
	path := k.x.Head.RequestURI()
	for i, b := range path {
		if b == '?' || b == '#' {
			path = path[:i]
			break
		}
	}
	k.route = cfg.Match(string(k.x.Head.Host()), string(path))
	if k.route == nil {
		k.refuse(fasthttp.StatusNotFound, 0, "no route")
		return false
	}
	if cfg.Keyed() && !k.route.Public {
		team, ok := cfg.Team(k.req.Key)
		if !ok {
			k.refuse(fasthttp.StatusUnauthorized, 0, "unknown key")
			return false
		}
		k.team = team
	}
	k.service = target(k.route)
	return true
}

// target draws the service of a request by the weights of its route.
func target(r *fleet.Route) string {
	if len(r.Targets) == 1 {
		return r.Targets[0].Service
	}
	sum := 0.0
	for _, t := range r.Targets {
		sum += t.Weight
	}
	at := rand.Float64() * sum
	for _, t := range r.Targets {
		if at -= t.Weight; at < 0 {
			return t.Service
		}
	}
	return r.Targets[0].Service
}

func (k *walk) setDeadline() {
	limit := k.req.Deadline
	if limit == 0 {
		limit = defaultDeadline
	}
	if k.route.Timeout > 0 {
		limit = min(limit, k.route.Timeout)
	}
	k.deadline = k.began.Add(limit - finishMargin)
	k.due = k.began.Add(k.route.Objective)
}

// runStages brings the results that the request needs. It answers the caller
// and reports false if there are none.
func (k *walk) runStages(ctx context.Context) bool {
	job := stage.Job{
		ID: k.req.ID, Route: k.route, Items: k.req.Items, Key: k.req.ItemKey, Zone: k.Zone,
		Due: k.due.Add(-k.firstEvent()), GiveUp: k.due, Deadline: k.deadline,
	}
	if after, ok := k.inTime(job); !ok {
		k.refuse(fasthttp.StatusServiceUnavailable, after, "stages are overloaded")
		return false
	}
	// The results should be near the endpoint that the request will most likely
	// go to.
	if _, c := k.choose(); c.Endpoint != nil {
		job.Zone = c.Endpoint.Zone
	}
	inputs, err := k.Stages.Run(ctx, job)
	k.logStages(inputs, err)
	k.Meters.Record(gauge.PartStages, k.route.Name, k.Clock.Now().Sub(k.began))
	if err == nil {
		k.inputs = inputs
		return true
	}
	if k.x.Gone() {
		k.outcome = "caller gone in stages"
		return false
	}
	after := comeBack
	if errors.Is(err, context.DeadlineExceeded) {
		after = 0
	}
	k.refuse(fasthttp.StatusServiceUnavailable, after, err.Error())
	return false
}

// restage runs the stages again if an attempt needs them and their results are
// gone. It reports whether the next attempt can be made.
func (k *walk) restage(ctx context.Context, came end) bool {
	if len(k.route.Stages) == 0 || (!k.freed && came != endInputs) {
		return true
	}
	if k.restaged == maxRestages {
		return false
	}
	k.restaged++
	k.Stages.Free(k.inputs)
	k.inputs = nil
	why := "they were given up when the stream began"
	if came == endInputs {
		why = "the endpoint did not find them"
	}
	k.Log.Event(logs.StagesAgain).Str("request", k.req.ID).Str("reason", why).Msg("")
	now := k.Clock.Now()
	inputs, err := k.Stages.Run(ctx, stage.Job{
		ID: k.req.ID, Route: k.route, Items: k.req.Items, Key: k.req.ItemKey, Zone: k.Zone,
		Due: now, GiveUp: k.deadline, Deadline: k.deadline,
	})
	k.logStages(inputs, err)
	if err != nil {
		return false
	}
	k.inputs, k.freed = inputs, false
	return true
}

func (k *walk) logStages(inputs []string, err error) {
	ev := k.Log.Event
	if err != nil {
		ev = k.Log.Failure
	}
	ev(logs.StagesDone).Str("request", k.req.ID).Dur("took_ms", k.Clock.Now().Sub(k.began)).Int("results", len(inputs)).Err(err).Msg("")
}

// inTime reports whether a job can be through its stages when it is due. If not,
// and only others before it are the reason, it returns after what time it could.
func (k *walk) inTime(job stage.Job) (time.Duration, bool) {
	est, idle := k.Stages.Estimate(job)
	// The size of a prompt doesn't count here: large requests would be refused
	// more often than small ones, though the stages work no longer for them.
	left := k.due.Add(-engineStart).Sub(k.Clock.Now())
	admitted := k.Policy().NoAdmission || est <= left || est-idle < overloadSlack
	ev := k.Log.Event
	if !admitted {
		ev = k.Log.Failure
	}
	ev(logs.StagesEstimated).Str("request", k.req.ID).Dur("now_ms", est).Dur("idle_ms", idle).Dur("slack_ms", left).
		Bool("admitted", admitted).Msg("")
	if admitted {
		return 0, true
	}
	return max(comeBack, est-max(left, idle)), false
}

// firstEvent estimates how long an engine takes to the first event.
func (k *walk) firstEvent() time.Duration {
	return engineStart + time.Duration(k.req.PromptTokens)*promptToken
}

// ResetBudgets starts the retry budgets anew, with the settings in force.
func (w *Walker) ResetBudgets() {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.budgets)
}

// budget returns the retry budget of a service.
func (w *Walker) budget(service string) *retry.Budget {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.budgets == nil {
		w.budgets = make(map[string]*retry.Budget)
	}
	b := w.budgets[service]
	if b == nil {
		b = w.NewBudget()
		w.budgets[service] = b
	}
	return b
}

// affinity hashes the longest beginning of the prompt that other requests may
// share: all but the last part, which mostly is the request's own.
func (k *walk) affinity() uint64 {
	if !k.route.Sticky || len(k.req.Prompt) == 0 || k.Policy().NoAffinity {
		return 0
	}
	return xxhash.Sum64String(k.req.Prompt[max(0, len(k.req.Prompt)-2)].ID)
}

func (k *walk) teamName() string {
	if k.team == nil {
		return ""
	}
	return k.team.Name
}
