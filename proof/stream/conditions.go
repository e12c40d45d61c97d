package stream

import (
	"cmp"
	"fmt"
	"strings"
	"time"
)

// Condition is a state of a deployment in which streams must go on at their version.
type Condition string

// Conditions.
const (
	ConditionStoreForRelays  Condition = "the store is away for relays alone, in a release"
	ConditionStoreForAll     Condition = "the store is away for all, in a release"
	ConditionLateReturn      Condition = "an engine is back under its ID with another version, unregistered for over 1 s"
	ConditionLateStart       Condition = "a new engine is unregistered for over 1 s"
	ConditionMostCutOff      Condition = "more than half of the relays are cut off from store and relays, in a release"
	ConditionMostCutOffWhole Condition = "more than half of the relays are cut off from store, relays and keepers, in a release"
	ConditionTerminated      Condition = "relays get SIGTERM in series"
	ConditionReloaded        Condition = "relays and keepers get SIGHUP in series"
	ConditionSuspended       Condition = "relays are suspended"
	ConditionUnframedCut     Condition = "engines that send streams without a length or chunks are killed"
	ConditionEngineClocks    Condition = "the time of day of machines of engines is wrong"
	ConditionKeepersLost     Condition = "keepers are lost"
	ConditionZoneLost        Condition = "an availability zone is lost with its relays, engines and keepers"
	ConditionOneRetry        Condition = "callers have one retry"
)

// minLateRegistration is the time without an entry from which an engine counts as late.
const minLateRegistration = time.Second

// conditions returns all conditions, in the order of reports.
func conditions() []Condition {
	return []Condition{
		ConditionStoreForRelays, ConditionStoreForAll, ConditionLateReturn, ConditionLateStart, ConditionMostCutOff, ConditionMostCutOffWhole, ConditionTerminated,
		ConditionReloaded, ConditionSuspended, ConditionUnframedCut, ConditionEngineClocks, ConditionKeepersLost, ConditionZoneLost, ConditionOneRetry,
	}
}

// played is a span of time in which a condition holds.
type played struct {
	condition Condition
	from, to  time.Time
}

// impose records that a condition holds for a while from now on.
func (f *faults) impose(p Condition, d time.Duration) {
	now := time.Now()
	f.played = append(f.played, played{p, now, now.Add(d)})
}

// Share tells how much a run has tried a condition.
type Share struct {
	Condition Condition
	Played    int // times, or callers
	TakenUp   int // streams that began under the condition
	WentOn    int // of these
}

// String says so if the condition was never tried.
func (s Share) String() string {
	verb := "tried"
	if s.TakenUp == 0 {
		verb = "NOT TRIED"
	}
	return fmt.Sprintf("%s: %s: %d times, %d streams that began then were taken up, %d went on", verb, s.Condition, s.Played, s.TakenUp, s.WentOn)
}

// shares are the shares of all conditions in a run.
type shares struct {
	spans []played
	of    map[Condition]*Share
}

func newShares(spans []played) *shares {
	s := &shares{spans: spans, of: make(map[Condition]*Share)}
	for _, p := range conditions() {
		s.of[p] = &Share{Condition: p}
	}
	for _, span := range spans {
		s.of[span.condition].Played++
	}
	return s
}

// add counts a stream.
func (s *shares) add(stream *Stream, takenUp, wentOn bool) {
	var begun time.Time
	for _, t := range stream.Tries {
		begun = cmp.Or(begun, t.FirstAt)
	}
	within := s.between(begun, begun)
	within[ConditionOneRetry] = stream.Retries == 1
	s.of[ConditionOneRetry].Played += count(within[ConditionOneRetry])
	for p, in := range within {
		s.of[p].TakenUp += count(in && takenUp)
		s.of[p].WentOn += count(in && wentOn)
	}
}

// between returns the conditions that held at any time of a span.
func (s *shares) between(from, to time.Time) map[Condition]bool {
	out := make(map[Condition]bool)
	for _, p := range s.spans {
		out[p.condition] = out[p.condition] || !to.Before(p.from) && from.Before(p.to)
	}
	return out
}

// during describes the conditions that held while a stream lasted.
func (s *shares) during(stream *Stream) string {
	var out []string
	in := s.between(stream.Tries[0].SentAt, stream.Tries[len(stream.Tries)-1].EndedAt)
	for _, p := range conditions() {
		if in[p] {
			out = append(out, string(p))
		}
	}
	return "; while " + strings.Join(out, ", ")
}

func (s *shares) list() []Share {
	out := make([]Share, len(s.of))
	for i, p := range conditions() {
		out[i] = *s.of[p]
	}
	return out
}
