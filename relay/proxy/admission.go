package proxy

import (
	"context"
	"errors"
	"slices"
	"time"

	"wigeonplank.example/core/fleet"
	"wigeonplank.example/core/share"
	plat "wigeonplank.example/platform"
	"wigeonplank.example/relay/logs"
	"wigeonplank.example/relay/stage"
)

// admission holds what is needed to admit requests of one configuration.
type admission struct {
	config    *fleet.Config
	limits    *share.Limits
	histories map[string]*share.History // by route
}

// admissionFor returns what is needed to admit requests of a configuration. The histories of
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
	a := &admission{config: cfg, limits: share.NewLimits(routes), histories: make(map[string]*share.History, len(routes))}
	for _, r := range routes {
		if old != nil && old.histories[r.Name] != nil {
			a.histories[r.Name] = old.histories[r.Name]
			continue
		}
		a.histories[r.Name] = &share.History{}
	}
	f.admission.Store(a)
	return a
}

// history returns the history of a route, which is empty if the route is not in the
// configuration.
func (a *admission) history(r *fleet.Route) *share.History {
	if h := a.histories[r.Name]; h != nil {
		return h
	}
	return &share.History{}
}

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
// noticeably. It then also returns the time after which
// the caller may retry.
func (req *request) admitToStages(job stage.Job) (time.Duration, bool) {
	estimate, idle := req.Stages.Estimate(job)
	req.stagesBeganAt, req.stagesEstimate = req.Clock.Now(), estimate
	// The time for reading the prompt is left out: it would make large requests
	// more likely to be rejected than small ones, although they load the stages
	// no more.
	left := req.due.Add(-emptyPromptLatency).Sub(req.Clock.Now())
	a := share.Admission{Estimate: estimate, Idle: idle, Slack: left, Limit: left}
	limitedBy := req.route.Name
	if req.shared {
		a, limitedBy = req.sharedAdmission(estimate, idle)
	}
	admitted, reason := a.Decide()
	if req.Policy().NoAdmission {
		admitted, reason = true, share.ReasonUnlimited
	}
	ev := req.Log.Event
	if !admitted {
		ev = req.Log.Failure
	}
	ev(logs.StagesEstimated).Str("request", req.headers.ID).Dur("now_ms", estimate).Dur("idle_ms", idle).Dur("slack_ms", a.Slack).
		Dur("margin_ms", a.Margin).Dur("limit_ms", a.Bound()).Str("limited_by", limitedBy).Str("decided_by", string(reason)).Bool("admitted", admitted).Msg("")
	if admitted {
		return 0, true
	}
	return max(minRetryAfter, estimate-max(a.Bound(), idle)), false
}

// sharedAdmission returns what decides whether the request is admitted to stages that are
// scheduled by shares and by urgency, and the name of the route that limits it.
func (req *request) sharedAdmission(estimate, idle time.Duration) (share.Admission, string) {
	now := req.Clock.Now()
	state := req.admissionFor(req.config)
	slack := func(r *fleet.Route) time.Duration {
		tail := state.history(r).Tail(now, share.TailForLimit, r.LatencyObjective, emptyPromptLatency)
		return r.LatencyObjective - tail - now.Sub(req.startedAt)
	}
	a := share.Admission{Estimate: estimate, Idle: idle, Slack: req.deadline.Sub(now)}
	if req.route.LatencyObjective > 0 {
		a.Slack = slack(req.route)
	}
	a.Margin = state.history(req.route).Margin(now, a.Slack)
	a.Limit = a.Slack - a.Margin
	limit, by, ok := state.limits.Limit(req.route, req.urgency(), func(r *fleet.Route) time.Duration {
		s := slack(r)
		return s - state.history(r).Margin(now, s)
	})
	if !ok {
		return a, ""
	}
	a.Limit = limit
	return a, by.Name
}

// recordStages records how long the stages of the request took that were estimated when it
// was admitted. Those that failed for another reason than their time are left out.
func (req *request) recordStages(err error) {
	var failed *stage.FailedError
	switch {
	case err == nil, errors.Is(err, context.DeadlineExceeded), errors.As(err, &failed) && failed.Reason == plat.ReasonExpired:
		now := req.Clock.Now()
		req.stagesEndedAt = now
		req.admissionFor(req.config).history(req.route).RecordStages(now, req.stagesEstimate, now.Sub(req.stagesBeganAt))
	}
}

// recordTail records the time from the end of the stages to the first event or the response.
// It has an effect only once.
func (req *request) recordTail() {
	if req.stagesEndedAt.IsZero() {
		return
	}
	now := req.Clock.Now()
	req.admissionFor(req.config).history(req.route).RecordTail(now, now.Sub(req.stagesEndedAt))
	req.stagesEndedAt = time.Time{}
}
