package proxy

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/valyala/fasthttp"

	"wigeonplank.example/core/fleet"
	"wigeonplank.example/core/share"
	plat "wigeonplank.example/platform"
	"wigeonplank.example/relay/logs"
	"wigeonplank.example/relay/stage"
)

// admission holds what is needed to admit requests of one configuration.
type admission struct {
	config *fleet.Config
	rivals *share.Rivals
	routes map[string]*routeState // by name
}

// routeState is what is known of the recent requests of one route.
type routeState struct {
	share.History
	share.Returns
}

// admissionFor returns what is needed to admit requests of a configuration. The states of
// routes are kept when the configuration changes.
func (f *Forwarder) admissionFor(cfg *fleet.Config) *admission {
	if a := f.admission.Load(); a != nil && a.config == cfg {
		return a
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.admission.Load()
	if old != nil && (old.config == cfg || old.config.Version > cfg.Version) {
		return old // by a request that was resolved before the configuration changed
	}
	routes := cfg.Routes()
	a := &admission{config: cfg, rivals: share.NewRivals(routes), routes: make(map[string]*routeState, len(routes))}
	for _, r := range routes {
		a.routes[r.Name] = &routeState{}
		if old != nil && old.routes[r.Name] != nil {
			a.routes[r.Name] = old.routes[r.Name]
		}
	}
	f.admission.Store(a)
	return a
}

// route returns the state of a route, which is empty if the route is not in the
// configuration.
func (a *admission) route(r *fleet.Route) *routeState {
	if s := a.routes[r.Name]; s != nil {
		return s
	}
	return &routeState{}
}

// routeState returns the state of the request's route.
func (req *request) routeState() *routeState { return req.admissionFor(req.config).route(req.route) }

// sharesStages reports whether one of the request's stage services is scheduled by shares
// and by urgency.
func (req *request) sharesStages() bool {
	return slices.ContainsFunc(req.route.Stages, func(s fleet.Stage) bool { return req.Balancer.SharesStage(req.config, s.Service) })
}

// urgency returns the urgency of the request's team, or else of its route.
func (req *request) urgency() int {
	if req.team != nil && req.team.Priority != nil {
		return *req.team.Priority
	}
	return req.route.Priority
}

// admitToStages reports whether to start the stages of a job. It returns false
// only if the stages can't end in time, for this request or for more urgent ones that use
// the same stage services, and the items queued before them delay them
// noticeably. It then rejects the request.
func (req *request) admitToStages(job stage.Job) bool {
	estimate := req.Stages.Estimate(job)
	req.stagesBeganAt, req.stagesEstimate = req.Clock.Now(), estimate
	// The time for reading the prompt is left out: it would make large requests
	// more likely to be rejected than small ones, although they load the stages
	// no more.
	left := req.latestStart().Add(-emptyPromptLatency).Sub(req.Clock.Now())
	a := share.Admission{Estimate: estimate.Now, Idle: estimate.Idle, Slack: left}
	limitedBy := req.route.Name
	if req.shared {
		a, limitedBy = req.sharedAdmission(job, estimate)
	}
	a.Own, a.Left = estimate.Own, req.deadline.Sub(req.stagesBeganAt)
	admitted, reason := a.Decide()
	if req.Policy().NoAdmission {
		admitted, reason = true, share.ReasonUnlimited
	}
	ev := req.Log.Event
	if !admitted {
		ev = req.Log.Failure
	}
	ev(logs.StagesEstimated).Str("request", req.headers.ID).Dur("now_ms", estimate.Now).Dur("idle_ms", estimate.Idle).Dur("slack_ms", a.Slack).
		Dur("expected_ms", a.Estimate).Dur("limit_ms", a.Bound()).Str("limited_by", limitedBy).Str("decided_by", string(reason)).Bool("admitted", admitted).Msg("")
	if admitted {
		req.routeState().RecordAdmitted(req.Clock.Now())
		return true
	}
	req.Meters.RecordRejected(string(reason), req.route.Name, req.teamName())
	req.rejectCrowded(a.Excess(), "stages are overloaded")
	return false
}

// rejectCrowded rejects a request whose stages are overloaded, before its endpoint has it.
// excess is the time in which the backlog will have fallen to the level at which the
// request would be admitted.
func (req *request) rejectCrowded(excess time.Duration, reason string) {
	now := req.Clock.Now()
	req.rejectUntil(fasthttp.StatusServiceUnavailable, req.routeState().RetryAfter(now, excess, req.deadline.Sub(now), rand.Float64()), reason)
}

// sharedAdmission returns what decides whether the request is admitted to stages that are
// scheduled by shares and by urgency, and the name of the route that limits it.
func (req *request) sharedAdmission(job stage.Job, estimate stage.Estimate) (share.Admission, string) {
	state := req.admissionFor(req.config)
	state.route(req.route).RecordItems(job.Items)
	a := req.expected(state, req.route, estimate)
	a.OverShare = req.OverShare != nil && req.OverShare(job)
	limitedBy := req.route.Name
	for _, r := range state.rivals.Of(req.route, req.urgency()) {
		estimate := req.Stages.Estimate(stage.Job{Route: r, Items: state.route(r).Items(len(r.Stages))})
		if a.LimitBy(req.expected(state, r, estimate)) {
			limitedBy = r.Name
		}
	}
	return a, limitedBy
}

// expected returns what decides whether a request of a route that began with this one is
// admitted, apart from its team and its rivals.
func (req *request) expected(state *admission, r *fleet.Route, estimate stage.Estimate) share.Admission {
	now := req.Clock.Now()
	h := state.route(r)
	a := share.Admission{Estimate: h.Correct(now, estimate.Now, estimate.Idle), Idle: estimate.Idle, Slack: req.deadline.Sub(now)}
	if r.LatencyObjective > 0 && (r != req.route || !req.takesUpStream()) {
		a.Slack = r.LatencyObjective - h.Tail(now, share.TailForLimit, r.LatencyObjective, emptyPromptLatency) - now.Sub(req.startedAt)
	}
	return a
}

// recordStages records how long the stages of the request took that were estimated when it
// was admitted. Those that failed for another reason than their time are left out.
func (req *request) recordStages(err error) {
	var failed *stage.FailedError
	switch {
	case err == nil, errors.Is(err, context.DeadlineExceeded), errors.As(err, &failed) && failed.Reason == plat.ReasonExpired:
		now := req.Clock.Now()
		req.stagesEndedAt = now
		req.routeState().RecordStages(now, req.stagesEstimate.Now, req.stagesEstimate.Idle, now.Sub(req.stagesBeganAt))
	}
}

// recordTail records the time from the end of the stages to the first event or the response.
// It has an effect only once.
func (req *request) recordTail() {
	if req.stagesEndedAt.IsZero() {
		return
	}
	now := req.Clock.Now()
	req.routeState().RecordTail(now, now.Sub(req.stagesEndedAt))
	req.stagesEndedAt = time.Time{}
}
