// Package proxy forwards callers' requests to endpoints. For each request it
// runs the stages that precede it, chooses an endpoint, retries at another one
// where that is safe, and passes the response to the caller.
package proxy

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"wigeonplank.example/core/batch"
	"wigeonplank.example/core/clock"
	"wigeonplank.example/core/fleet"
	"wigeonplank.example/core/origin"
	"wigeonplank.example/core/poison"
	"wigeonplank.example/core/retry"
	"wigeonplank.example/core/share"
	plat "wigeonplank.example/platform"
	"wigeonplank.example/relay/assign"
	"wigeonplank.example/relay/front"
	"wigeonplank.example/relay/guard"
	"wigeonplank.example/relay/life"
	"wigeonplank.example/relay/logs"
	"wigeonplank.example/relay/pool"
	"wigeonplank.example/relay/sets"
	"wigeonplank.example/relay/stage"
	"wigeonplank.example/relay/stats"
)

const (
	defaultTimeout     = 30 * time.Second       // for requests that name no deadline
	minRetryAfter      = 300 * time.Millisecond // shortest retry delay for rejected callers, before jitter
	notReadyRetryAfter = time.Second            // retry delay, before jitter, while the relay is not ready
	deadlineMargin     = 20 * time.Millisecond  // time between the relay's final response and the caller's deadline
	emptyPromptLatency = 60 * time.Millisecond  // from sending a request with an empty prompt to its first event
	maxStageReruns     = 2                      // per request
	promptTokenTime    = 30 * time.Microsecond  // approximate time that an engine takes to read one prompt token
)

// Origins remembers where streams began, by the ID of the caller's attempt that
// brought the first event.
type Origins interface {
	// RecordOrigin remembers the origin of a stream. It doesn't block.
	RecordOrigin(stream string, o origin.Origin)
	// FindOrigin finds out where a stream began that is of at most a certain age. It blocks
	// for a second at most.
	FindOrigin(ctx context.Context, stream string, maxAge time.Duration) origin.Finding
}

// Forwarder forwards requests to endpoints. Set the exported fields before use. It
// is safe for concurrent use.
type Forwarder struct {
	Zone  string                // availability zone of this relay
	View  func() *fleet.View    // returns the current view of the deployment
	Ready func() (bool, string) // reports whether View can be served from, and the reason if not
	// Confirmed reports whether View is recent enough to conclude from what it doesn't
	// list that a route or key doesn't exist.
	Confirmed func() bool
	// Refresh brings View up to date as of a time that is at most maxAge before the call, and
	// reports false if that isn't possible. It blocks for a read from the store.
	Refresh func(ctx context.Context, maxAge time.Duration) bool
	// History returns all that the store has ever held. The error is final if it wraps ctrl.ErrNoHistory.
	History func(ctx context.Context) (*origin.History, error)
	// ViewAge returns the time since the contact with the store up to which View is complete.
	ViewAge func() time.Duration
	// ReachesHalf reports whether this relay reaches at least half of the others.
	ReachesHalf func() bool
	// IsAlone reports whether nobody else remembers the streams that begin here. nil: somebody does.
	IsAlone  func() bool
	Balancer *Balancer
	Pool     *pool.Pool
	Stages   *stage.Runner
	Engines  *assign.Assigner
	Origins  Origins
	Guard    *guard.Guard
	// Incarnations tells which incarnations of endpoints have ended.
	Incarnations *life.Ledger
	Clock        clock.Clock
	Log          *logs.Logger
	Meters       *stats.Meters
	// OverShare reports whether the team of a job uses more than its share of a crowded pool.
	// nil: no team ever does.
	OverShare func(job stage.Job) bool
	// NewBudget returns a new retry budget for one service.
	NewBudget func() *retry.Budget
	// Policy returns the active policy.
	Policy func() sets.Policy

	mu      sync.Mutex
	budgets map[string]*retry.Budget // by service; guarded by mu
	holds   map[string]*batch.Hold   // by service; guarded by mu
	waits   map[string]time.Duration // longest timeout that a caller has named, by route; guarded by mu
	reach   reachability
	// admission is what is needed to admit requests to stages. mu is held while it changes.
	admission atomic.Pointer[admission]
}

// request is the state of one request in flight. One goroutine owns it.
type request struct {
	*Forwarder
	exchange       *front.Exchange
	headers        plat.Request
	route          *fleet.Route
	team           *fleet.Team // nil for public routes and where no keys are configured
	service        string
	config         *fleet.Config // that the request is served with
	startedAt      time.Time
	deadline       time.Time          // for the final response
	due            time.Time          // when the response, or its first event, must be sent to meet the route's objective
	attempts       int                // number of attempts in which an endpoint may have run the request
	tried          map[string]bool    // IDs of endpoints that are not tried again
	attemptAt      time.Time          // start of the current attempt
	acquired       *fleet.Endpoint    // of the current attempt; nil: it has ended
	firstEventAt   time.Time          // first event of the current attempt; zero: none yet
	events         int                // of the current attempt
	assignment     *assign.Assignment // of the current attempt; nil if its endpoint was not chosen by prompts
	shared         bool               // one of the stage services is scheduled by shares and by urgency
	stagesBeganAt  time.Time          // when the stages were estimated
	stagesEstimate stage.Estimate     // estimated time of the stages
	stagesEndedAt  time.Time          // zero: not ended, or the first event was recorded
	inputs         []string           // references to the stage results that the request needs
	inputsReleased bool               // the results in inputs were released
	firstEventIn   time.Duration      // from the start of the request to the first event that was forwarded; 0: none yet
	lastEventAt    time.Time          // when the last event was forwarded
	longestGap     time.Duration      // between two events that were forwarded
	version        *string            // software version at which the stream began; nil: it has not begun
	beginning      *origin.Origin     // of the stream, if version isn't known yet; nil: it is, or is unsure
	moved          bool               // the route has moved to another service since the stream began
	unsure         bool               // the version at which the stream began can't be known; it can't go on elsewhere
	unnumbered     bool               // the caller has events without an ID, which another run would repeat
	stageReruns    int                // number of times that the stages were run again
	mayHaveRun     bool               // some endpoint may have run the request
	outcome        string
	configVersion  int64            // version of the configuration that the request is served with
	retryAfter     time.Duration    // retry delay sent to the caller; 0: none
	content        uint64           // see contentHash; 0: not computed yet
	suspects       []poison.Suspect // what the request has in common with others that could crash endpoints
	vouched        bool             // the current attempt has shown that they don't
	trial          bool             // sent to one endpoint although a suspect is quarantined
	silence        silence          // of the current attempt's endpoint
	conn           *pool.Conn       // to the endpoint of the next attempt; nil: none yet
	failure        *ownFailure      // of an endpoint that was followed by other attempts; nil: none
}

// outcomeAnswered is the logged outcome of a request whose response came from an
// endpoint.
const outcomeAnswered = "answered"

// Serve handles one request. It blocks until the response is written.
func (f *Forwarder) Serve(x *front.Exchange) {
	req := &request{Forwarder: f, exchange: x, startedAt: x.StartedAt, tried: make(map[string]bool)}
	req.headers.ID = plat.AttemptID(&x.Header)
	req.serve()
	if x.Stopped() && !x.Complete() {
		req.outcome = "out of time for a stop"
		if !x.ResponseStarted() {
			req.answerCancelled()
		}
	}
	req.recordDone()
	req.recordDuration()
	if !x.ResponseStarted() {
		req.answerCancelled() // the caller may have closed only its sending side
	}
}

// answerCancelled responds to the caller of a request that was cancelled.
func (req *request) answerCancelled() {
	status := fasthttp.StatusServiceUnavailable
	if req.mayHaveRun {
		status = fasthttp.StatusBadGateway
	}
	req.exchange.Reject(status, 0)
}

// recordDone logs the end of the request and counts it in the metrics.
func (req *request) recordDone() {
	now := req.Clock.Now()
	ev := req.Log.Event
	if req.outcome != outcomeAnswered {
		ev = req.Log.Failure
	}
	line := ev(logs.RequestDone).Str("request", req.headers.ID).Str("outcome", req.outcome).Int("status", req.exchange.Status()).
		Int("attempts", req.attempts).Dur("took_ms", now.Sub(req.startedAt)).Int64("version", req.configVersion)
	if req.route != nil {
		line.Str("route", req.route.Name).Str("service", req.service).Str("team", req.teamName())
	}
	if req.headers.Resumes != "" {
		line.Str("resumes", req.headers.Resumes)
	}
	if !req.deadline.IsZero() {
		line.Dur("left_ms", req.deadline.Sub(now))
	}
	if req.retryAfter > 0 {
		line.Dur("retry_after_ms", req.retryAfter)
	}
	if d := req.exchange.ReceivedAt.Sub(req.startedAt); d >= time.Millisecond {
		line.Dur("read_ms", d)
	}
	if req.firstEventIn > 0 {
		line.Dur("first_event_ms", req.firstEventIn).Dur("longest_gap_ms", req.longestGap)
	}
	line.Msg("")
	if req.route != nil {
		req.Meters.RecordRequest(req.route.Name, req.teamName(), req.exchange.Status(), now.Sub(req.startedAt))
	} else {
		req.Meters.RecordRequest("", "", req.exchange.Status(), now.Sub(req.startedAt))
	}
}

// reject responds to the caller with a status of the relay's own. A positive
// retryAfter asks the caller to retry after that time plus jitter. Statuses for
// which impliesNotRun is true may only be used if no endpoint can have run the
// request.
func (req *request) reject(status int, retryAfter time.Duration, reason string) {
	if retryAfter > 0 {
		// Jitter of up to the same time spreads the retries of callers that were
		// rejected together.
		retryAfter += time.Duration(rand.Int64N(int64(retryAfter)))
	}
	req.rejectUntil(status, retryAfter, reason)
}

// rejectUntil is reject without jitter.
func (req *request) rejectUntil(status int, retryAfter time.Duration, reason string) {
	req.outcome, req.retryAfter = reason, retryAfter
	req.exchange.Reject(status, retryAfter)
}

func (req *request) serve() {
	if ok, reason := req.Ready(); !ok {
		req.reject(fasthttp.StatusServiceUnavailable, notReadyRetryAfter, reason)
		return
	}
	v := req.View()
	req.config, req.configVersion = v.Config, v.Config.Version
	var err error
	if req.headers, err = plat.ReadRequest(&req.exchange.Header); err != nil {
		req.reject(fasthttp.StatusBadRequest, 0, err.Error())
		return
	}
	if !req.resolve(v.Config) {
		return
	}
	req.setDeadline()
	if req.rejectOutlasting() {
		return
	}
	req.suspects = req.findSuspects()
	if !req.passGuard() {
		return
	}
	ctx, cancel := context.WithDeadline(req.exchange.Context, req.deadline)
	defer cancel()
	if reason := req.cutOffReason(); reason != "" {
		req.rejectCutOff(reason)
		return
	}
	if req.takesUpStream() && !req.bindToOrigin(ctx) {
		return
	}
	if len(req.route.Stages) > 0 && !req.runStages(ctx) {
		return
	}
	if req.route.Kind == fleet.KindStream {
		req.forwardStream(ctx)
	} else {
		req.forwardUnary(ctx)
	}
	req.releaseInputs()
}

// releaseInputs releases the results of the stages, unless that was done before.
func (req *request) releaseInputs() {
	if !req.inputsReleased {
		req.inputsReleased = true
		req.Stages.ReleaseResults(req.inputs)
	}
}

// hostAndPath returns by what the request is routed.
func (req *request) hostAndPath() (host, path string) {
	path = string(req.exchange.Header.RequestURI())
	if i := strings.IndexAny(path, "?#"); i >= 0 {
		path = path[:i]
	}
	return string(req.exchange.Header.Host()), path
}

// resolve finds the route, team and service of the request. If there is no
// route or the key is unknown, it rejects the request and returns false.
func (req *request) resolve(cfg *fleet.Config) bool {
	req.route = cfg.Match(req.hostAndPath())
	if req.route == nil {
		req.deny(fasthttp.StatusNotFound, "no route")
		return false
	}
	if cfg.RequiresKey() && !req.route.Public {
		team, ok := cfg.TeamByKey(req.headers.APIKey)
		if !ok {
			req.deny(fasthttp.StatusUnauthorized, "unknown key")
			return false
		}
		req.team = team
	}
	req.service = pickService(req.route)
	return true
}

// deny rejects a request that the configuration doesn't allow. If the view is so old
// that a newer configuration may allow it, the caller is asked to retry instead.
func (req *request) deny(status int, reason string) {
	if !req.Confirmed() {
		req.reject(fasthttp.StatusServiceUnavailable, minRetryAfter, "view is too old: "+reason)
		return
	}
	req.reject(status, 0, reason)
}

// pickService picks one of the services of a route at random, by their weights.
func pickService(r *fleet.Route) string {
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

// setDeadline sets the deadline from the caller's timeout, bounded by that of
// the route, and the due time from the route's objective.
func (req *request) setDeadline() {
	timeout := req.headers.Deadline
	if timeout == 0 {
		timeout = defaultTimeout
	}
	if req.route.Resumable {
		req.recordWait(req.route, timeout)
	}
	if req.route.Timeout > 0 {
		timeout = min(timeout, req.route.Timeout)
	}
	req.deadline = req.startedAt.Add(timeout - deadlineMargin)
	req.due = req.startedAt.Add(req.route.LatencyObjective)
}

// recordWait records how long a caller waits for a stream of a route.
func (f *Forwarder) recordWait(r *fleet.Route, timeout time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.waits == nil {
		f.waits = make(map[string]time.Duration)
	}
	f.waits[r.Name] = min(origin.Lifetime, max(f.waits[r.Name], r.Timeout, timeout))
}

// longestWait returns how long callers of a route wait for a stream at most.
func (f *Forwarder) longestWait(r *fleet.Route) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return cmp.Or(f.waits[r.Name], r.Timeout, origin.Lifetime)
}

// runStages runs the stages of the request and stores references to their
// results in req.inputs. If the stages are overloaded or one fails, it rejects
// the request and returns false.
func (req *request) runStages(ctx context.Context) bool {
	req.shared = req.sharesStages()
	job := stage.Job{
		ID: req.headers.ID, Route: req.route, Items: req.headers.ItemCounts, Key: req.headers.ItemKey, Zone: req.Zone,
		Team: req.teamName(),
		Due:  req.due.Add(-req.firstEventLatency()), StartBy: req.latestStart(), Deadline: req.deadline,
	}
	if !req.admitToStages(job) {
		return false
	}
	// The results should lie in the zone of the endpoint that the request will
	// most likely be sent to.
	if zone := req.likelyZone(); zone != "" {
		job.Zone = zone
	}
	inputs, err := req.Stages.Run(ctx, job)
	req.logStages(inputs, err)
	req.recordStages(err)
	req.Meters.RecordPhase(stats.PhaseStages, req.route.Name, req.Clock.Now().Sub(req.startedAt))
	if err == nil {
		req.inputs = inputs
		return true
	}
	if req.exchange.CallerGone() {
		req.outcome = "caller gone in stages"
		return false
	}
	req.reportItemCrash(err)
	if errors.Is(err, context.DeadlineExceeded) {
		req.reject(fasthttp.StatusServiceUnavailable, 0, err.Error())
	} else {
		req.rejectCrowded(0, err.Error())
	}
	return false
}

// latestStart returns until when items of the stages are worth starting. A stream that its
// caller takes up has met its objective with the first event, or never will.
func (req *request) latestStart() time.Time {
	if req.takesUpStream() {
		return req.deadline
	}
	return req.due
}

// likelyZone returns the zone of the endpoint that the request will most likely be
// sent to, or "".
func (req *request) likelyZone() string {
	v := req.View()
	svc := v.Config.Service(req.service)
	if svc == nil {
		return ""
	}
	if req.assignable(svc) {
		if zone := req.Engines.Zone(svc, req.promptRequest(), req.criteria()); zone != "" {
			return zone
		}
	}
	if c := req.Balancer.Pick(svc, v.Endpoints(req.service), req.criteria()); c.Endpoint != nil {
		return c.Endpoint.Zone
	}
	return ""
}

// rerunStages runs the stages again if their results are no longer available to
// the next attempt. It reports whether the next attempt can be made. end is how
// the last attempt ended.
func (req *request) rerunStages(ctx context.Context, end attemptEnd) bool {
	if len(req.route.Stages) == 0 || (!req.inputsReleased && end != attemptNoInputs) {
		return true
	}
	if req.silence.rerun != nil {
		return req.takeRerun() == nil
	}
	if req.stageReruns == maxStageReruns {
		return false
	}
	req.stageReruns++
	req.releaseInputs()
	req.inputs = nil
	req.stagesEndedAt = time.Time{} // the time to the first event would include the stages
	// In both reasons, "they" and "them" refer to the results of the stages.
	reason := reasonReleased
	if end == attemptNoInputs {
		reason = "the endpoint did not find them"
		req.hold(req.service).RecordMissing()
	}
	req.Log.Event(logs.StagesRepeated).Str("request", req.headers.ID).Str("reason", reason).Msg("")
	inputs, err := req.Stages.Run(ctx, req.rerunJob())
	req.logStages(inputs, err)
	if err != nil {
		return false
	}
	req.inputs, req.inputsReleased = inputs, false
	return true
}

const reasonReleased = "they were given up when the stream began"

// rerunJob returns the job that runs the stages of the request again.
func (req *request) rerunJob() stage.Job {
	return stage.Job{
		ID: req.headers.ID, Route: req.route, Items: req.headers.ItemCounts, Key: req.headers.ItemKey, Zone: req.Zone,
		Team: req.teamName(),
		Due:  req.Clock.Now().Add(req.route.LatencyObjective), StartBy: req.deadline, Deadline: req.deadline,
	}
}

func (req *request) logStages(inputs []string, err error) {
	ev := req.Log.Event
	if err != nil {
		ev = req.Log.Failure
	}
	ev(logs.StagesDone).Str("request", req.headers.ID).Dur("took_ms", req.Clock.Now().Sub(req.startedAt)).Int("results", len(inputs)).
		Err(err).Msg("")
}

// firstEventLatency estimates the time from sending the request to an engine to
// its first event.
func (req *request) firstEventLatency() time.Duration {
	fallback := emptyPromptLatency + time.Duration(req.headers.PromptTokens)*promptTokenTime
	return req.routeState().Tail(req.Clock.Now(), share.TailForDue, req.route.LatencyObjective, fallback)
}

// ResizeBudgets applies the current settings to the retry budgets of all services, which
// keep their balance.
func (f *Forwarder) ResizeBudgets() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, b := range f.budgets {
		b.Resize(f.NewBudget())
	}
}

// budget returns the retry budget of a service.
func (f *Forwarder) budget(service string) *retry.Budget {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.budgets == nil {
		f.budgets = make(map[string]*retry.Budget)
	}
	b := f.budgets[service]
	if b == nil {
		b = f.NewBudget()
		f.budgets[service] = b
	}
	return b
}

// hold returns how long the inputs of requests to a service are kept.
func (f *Forwarder) hold(service string) *batch.Hold {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.holds == nil {
		f.holds = make(map[string]*batch.Hold)
	}
	h := f.holds[service]
	if h == nil {
		h = &batch.Hold{}
		f.holds[service] = h
	}
	return h
}

// promptAffinity returns the hash of the longest prompt prefix that other
// requests may share, or 0 if the request has no affinity. The last part of a
// prompt is left out, as it mostly belongs to this request alone.
func (req *request) promptAffinity() uint64 {
	if !req.route.Sticky || len(req.headers.Prompt) == 0 || req.Policy().NoAffinity {
		return 0
	}
	return xxhash.Sum64String(req.headers.Prompt[max(0, len(req.headers.Prompt)-2)].ID)
}

func (req *request) teamName() string {
	if req.team == nil {
		return ""
	}
	return req.team.Name
}
