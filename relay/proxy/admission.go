package proxy

import (
	"slices"
	"time"

	"wigeonplank.example/core/fleet"
	"wigeonplank.example/core/share"
	"wigeonplank.example/relay/logs"
	"wigeonplank.example/relay/stage"
)

// configLimits caches the limits of one configuration.
type configLimits struct {
	config *fleet.Config
	limits *share.Limits
}

// limitsFor returns the limits of the routes of a configuration.
func (f *Forwarder) limitsFor(cfg *fleet.Config) *share.Limits {
	if c := f.limits.Load(); c != nil && c.config == cfg {
		return c.limits
	}
	c := &configLimits{config: cfg, limits: share.NewLimits(cfg.Routes())}
	f.limits.Store(c)
	return c.limits
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
	// The time for reading the prompt is left out: it would make large requests
	// more likely to be rejected than small ones, although they load the stages
	// no more.
	left := req.due.Add(-emptyPromptLatency).Sub(req.Clock.Now())
	a := share.Admission{Estimate: estimate, Idle: idle, Slack: left, Limit: left}
	limitedBy := req.route.Name
	if req.sharesStages() {
		passed := req.Clock.Now().Sub(req.startedAt) + emptyPromptLatency
		limit, by, ok := req.limitsFor(req.config).Limit(req.route, req.urgency(), func(r *fleet.Route) time.Duration { return r.LatencyObjective - passed })
		if ok {
			a.Limit, limitedBy = limit, by.Name
		}
	}
	admitted, reason := a.Decide()
	if req.Policy().NoAdmission {
		admitted, reason = true, share.ReasonUnlimited
	}
	ev := req.Log.Event
	if !admitted {
		ev = req.Log.Failure
	}
	ev(logs.StagesEstimated).Str("request", req.headers.ID).Dur("now_ms", estimate).Dur("idle_ms", idle).Dur("slack_ms", left).
		Dur("limit_ms", a.Limit).Str("limited_by", limitedBy).Str("decided_by", string(reason)).Bool("admitted", admitted).Msg("")
	if admitted {
		return 0, true
	}
	return max(minRetryAfter, estimate-max(min(left, a.Limit), idle)), false
}
