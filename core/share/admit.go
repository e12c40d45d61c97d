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
const overShareFactor = 0.75

// Rivals tells which routes of a configuration compete for stage services. It is
// immutable.
type Rivals struct {
	byRoute map[*fleet.Route][]*fleet.Route // routes that share a stage service, the most urgent first
}

// NewRivals returns the rivals among the routes of a configuration. Routes without a latency
// objective don't limit others.
func NewRivals(routes []*fleet.Route) *Rivals {
	v := &Rivals{byRoute: make(map[*fleet.Route][]*fleet.Route)}
	staged := slices.DeleteFunc(slices.Clone(routes), func(r *fleet.Route) bool { return len(r.Stages) == 0 }) // few of the routes of a large configuration
	for _, r := range staged {
		for _, other := range staged {
			if other != r && other.LatencyObjective > 0 && shareStage(r, other) {
				v.byRoute[r] = append(v.byRoute[r], other)
			}
		}
		slices.SortStableFunc(v.byRoute[r], func(a, b *fleet.Route) int { return a.Priority - b.Priority })
	}
	return v
}

func shareStage(a, b *fleet.Route) bool {
	return slices.ContainsFunc(a.Stages, func(s fleet.Stage) bool {
		return slices.ContainsFunc(b.Stages, func(o fleet.Stage) bool { return s.Service == o.Service })
	})
}

// Of returns the routes that share a stage service with the route r of a request and
// are at least as urgent as the request, the most urgent first.
func (v *Rivals) Of(r *fleet.Route, urgency int) []*fleet.Route {
	rivals := v.byRoute[r]
	i := slices.IndexFunc(rivals, func(other *fleet.Route) bool { return other.Priority > urgency })
	if i < 0 {
		return rivals
	}
	return rivals[:i]
}

// Reason is what decided whether a request was admitted.
type Reason string

// Reasons.
const (
	ReasonInTime     Reason = "in_time"     // admitted: the stages end within the limit
	ReasonShortQueue Reason = "short_queue" // admitted: queued items delay the stages by little
	ReasonUnlimited  Reason = "unlimited"   // admitted: admission is off
	ReasonObjective  Reason = "objective"   // rejected: the stages can't end in time for the request itself
	ReasonDeadline   Reason = "deadline"    // rejected: the request has more items than can be run before its deadline
	ReasonTeam       Reason = "team"        // rejected: the team uses more than its share of a crowded pool
	ReasonUrgent     Reason = "urgent"      // rejected: routes that are at least as urgent would wait too long
)

// Admission is what is known of a request before its stages start.
type Admission struct {
	Estimate  time.Duration // time that its stages take now
	Idle      time.Duration // time that they would take with nothing queued
	Own       time.Duration // part of Idle in which its items wait for earlier calls of their own stage
	Slack     time.Duration // time until they must be done for the request to be in time
	Left      time.Duration // time until the deadline; used only if Own is positive
	OverShare bool          // the team uses more than its share of a crowded pool
	Limit     time.Duration // longest Estimate with which no rival is rejected; 0: no rival limits the request
}

// queueDelay returns the delay by queued items.
func (a *Admission) queueDelay() time.Duration { return a.Estimate - a.Idle }

// LimitBy lowers the limit if a typical request of a rival, of the same team, would be
// rejected now because of queues in which the request waits as well. It reports whether it did. A request whose own
// queues are less than half of those of the rival hardly adds to them.
func (a *Admission) LimitBy(rival Admission) bool {
	rival.OverShare = a.OverShare
	if ok, _ := rival.Decide(); ok || 2*a.queueDelay() < rival.queueDelay() {
		return false
	}
	limit := max(1, a.Estimate-rival.Excess())
	if a.Limit > 0 && a.Limit <= limit {
		return false
	}
	a.Limit = limit
	return true
}

// Bound returns the longest estimate with which the request is admitted, unless queued items
// delay it by little.
func (a *Admission) Bound() time.Duration {
	bound := a.Slack
	if a.Limit > 0 {
		bound = min(bound, a.Limit)
	}
	if a.OverShare {
		bound -= time.Duration((1 - overShareFactor) * float64(max(0, bound-a.Idle)))
	}
	return bound
}

// Excess returns by how much the time of the queued items must fall for the request to be
// admitted. Without further admissions, this is also how long that takes.
func (a *Admission) Excess() time.Duration {
	excess := max(0, a.Estimate-max(a.Bound(), a.Idle+minQueueDelay))
	if a.isTooLarge() {
		return max(excess, a.Estimate-a.Left)
	}
	return excess
}

// isTooLarge reports whether the request needs calls one after another that don't end
// before its deadline. The time of single calls is known too roughly for that.
func (a *Admission) isTooLarge() bool { return a.Own > 0 && a.Estimate > a.Left }

// Decide reports whether the request is admitted, and why.
func (a *Admission) Decide() (bool, Reason) {
	switch {
	case a.isTooLarge():
		return false, ReasonDeadline
	case a.Estimate <= a.Bound():
		return true, ReasonInTime
	case a.queueDelay() < minQueueDelay:
		return true, ReasonShortQueue
	case a.Estimate > a.Slack:
		return false, ReasonObjective
	case a.Limit > 0 && a.Estimate > a.Limit:
		return false, ReasonUrgent
	}
	return false, ReasonTeam
}
