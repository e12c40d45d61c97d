// Package share decides which requests may use stage pools for which requests of
// different urgency and of several teams compete. It does no I/O.
package share

import (
	"slices"
	"time"

	"wigeonplank.example/core/fleet"
)

// minQueueDelay is the delay by queued items below which requests are always admitted, so
// that a limit that is shorter than the idle time of a route's stages doesn't starve it.
const minQueueDelay = 100 * time.Millisecond

// overShareFactor is the part of its limit up to which a team that uses more than its share
// of a crowded pool is admitted.
const overShareFactor = 0.5

// Limits tells which routes of a configuration compete for stage services. It is
// immutable.
type Limits struct {
	rivals map[*fleet.Route][]*fleet.Route // routes that share a stage service, the most urgent first
}

// NewLimits returns the limits for the routes of a configuration. Routes without a latency
// objective don't limit others.
func NewLimits(routes []*fleet.Route) *Limits {
	l := &Limits{rivals: make(map[*fleet.Route][]*fleet.Route)}
	for _, r := range routes {
		for _, other := range routes {
			if other != r && other.LatencyObjective > 0 && shareStage(r, other) {
				l.rivals[r] = append(l.rivals[r], other)
			}
		}
		slices.SortStableFunc(l.rivals[r], func(a, b *fleet.Route) int { return a.Priority - b.Priority })
	}
	return l
}

func shareStage(a, b *fleet.Route) bool {
	return slices.ContainsFunc(a.Stages, func(s fleet.Stage) bool {
		return slices.ContainsFunc(b.Stages, func(o fleet.Stage) bool { return s.Service == o.Service })
	})
}

// Limit returns the least slack among the route r of a request and the routes that share a
// stage service with it and are at least as urgent as the request, and the route that has
// it. slack returns the time that a route leaves for the stages of a request that starts
// now. Limit returns false if none of these routes has a latency objective.
func (l *Limits) Limit(r *fleet.Route, urgency int, slack func(*fleet.Route) time.Duration) (time.Duration, *fleet.Route, bool) {
	var least time.Duration
	var by *fleet.Route
	if r.LatencyObjective > 0 {
		least, by = slack(r), r
	}
	for _, other := range l.rivals[r] {
		if other.Priority > urgency {
			break
		}
		if s := slack(other); by == nil || s < least {
			least, by = s, other
		}
	}
	return least, by, by != nil
}

// Reason is what decided whether a request was admitted.
type Reason string

// Reasons.
const (
	ReasonInTime     Reason = "in_time"     // admitted: the stages end within the limit
	ReasonShortQueue Reason = "short_queue" // admitted: queued items delay the stages by little
	ReasonUnlimited  Reason = "unlimited"   // admitted: admission is off
	ReasonObjective  Reason = "objective"   // rejected: the stages can't end in time for the request itself
	ReasonMargin     Reason = "margin"      // rejected: estimates of the route were exceeded lately, and the stages would end late by as much
	ReasonTeam       Reason = "team"        // rejected: the team uses more than its share of a crowded pool
	ReasonUrgent     Reason = "urgent"      // rejected: routes that are at least as urgent would wait too long
)

// Admission is what is known of a request before its stages start.
type Admission struct {
	Estimate  time.Duration // time that its stages take now
	Idle      time.Duration // time that they would take with nothing queued
	Slack     time.Duration // time until they must be done for the request itself
	Margin    time.Duration // part of Slack that is kept free, see History.Margin
	Limit     time.Duration // see Limits.Limit, with the margin of each route subtracted from its slack
	OverShare bool          // the team uses more than its share of a crowded pool
}

// Bound returns the longest estimate with which the request is admitted, unless queued items
// delay it by little.
func (a *Admission) Bound() time.Duration {
	bound := min(a.Slack-a.Margin, a.Limit)
	if a.OverShare {
		bound = time.Duration(overShareFactor * float64(bound))
	}
	return bound
}

// Excess returns by how much the time of the queued items must fall for the request to be
// admitted. Without further admissions, this is also how long that takes.
func (a *Admission) Excess() time.Duration {
	return max(0, a.Estimate-max(a.Bound(), a.Idle+minQueueDelay))
}

// Decide reports whether the request is admitted, and why.
func (a *Admission) Decide() (bool, Reason) {
	switch {
	case a.Estimate <= a.Bound():
		return true, ReasonInTime
	case a.Estimate-a.Idle < minQueueDelay:
		return true, ReasonShortQueue
	case a.Estimate > a.Slack:
		return false, ReasonObjective
	case a.Estimate > a.Slack-a.Margin:
		return false, ReasonMargin
	case a.Estimate > a.Limit:
		return false, ReasonUrgent
	}
	return false, ReasonTeam
}
