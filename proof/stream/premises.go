package stream

import (
	"cmp"
	"fmt"
	"strings"
	"time"
)

// Premise is an assumption that streams go on at their version, which a fault makes false.
type Premise string

// Premises.
const (
	PremiseStoreForRelays  Premise = "the store is away for relays alone, in a release"
	PremiseStoreForAll     Premise = "the store is away for all, in a release"
	PremiseLateReturn      Premise = "an engine is back under its ID with another version, unregistered for over 1 s"
	PremiseLateStart       Premise = "a new engine is unregistered for over 1 s"
	PremiseMostCutOff      Premise = "more than half of the relays are cut off from store and relays, in a release"
	PremiseMostCutOffWhole Premise = "more than half of the relays are cut off from store, relays and keepers, in a release"
	PremiseTerminated      Premise = "relays get SIGTERM in series"
	PremiseReloaded        Premise = "relays get SIGHUP in series"
	PremiseSuspended       Premise = "relays are suspended"
	PremiseUnframedCut     Premise = "engines that send streams without a length or chunks are killed"
	PremiseEngineClocks    Premise = "the time of day of machines of engines is wrong"
	PremiseKeepersLost     Premise = "keepers are lost"
	PremiseZoneLost        Premise = "an availability zone is lost with its relays, engines and keepers"
	PremiseOneRetry        Premise = "callers have one retry"
	minLateRegistration            = time.Second
)

// premises returns all premises, in the order of reports.
func premises() []Premise {
	return []Premise{
		PremiseStoreForRelays, PremiseStoreForAll, PremiseLateReturn, PremiseLateStart, PremiseMostCutOff, PremiseMostCutOffWhole, PremiseTerminated,
		PremiseReloaded, PremiseSuspended, PremiseUnframedCut, PremiseEngineClocks, PremiseKeepersLost, PremiseZoneLost, PremiseOneRetry,
	}
}

// played is a span of time in which a premise is false.
type played struct {
	premise  Premise
	from, to time.Time
}

// refute records that a premise is false for a while from now on.
func (f *faults) refute(p Premise, d time.Duration) {
	now := time.Now()
	f.played = append(f.played, played{p, now, now.Add(d)})
}

// Share tells how much a run has tried a premise.
type Share struct {
	Premise Premise
	Played  int // times, or callers
	TakenUp int // streams that began while the premise was false
	WentOn  int // of these
}

// String says so if the premise was never tried.
func (s Share) String() string {
	verb := "tried"
	if s.TakenUp == 0 {
		verb = "NOT TRIED"
	}
	return fmt.Sprintf("%s: %s: %d times, %d streams that began then were taken up, %d went on", verb, s.Premise, s.Played, s.TakenUp, s.WentOn)
}

// shares are the shares of all premises in a run.
type shares struct {
	spans []played
	of    map[Premise]*Share
}

func newShares(spans []played) *shares {
	s := &shares{spans: spans, of: make(map[Premise]*Share)}
	for _, p := range premises() {
		s.of[p] = &Share{Premise: p}
	}
	for _, span := range spans {
		s.of[span.premise].Played++
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
	within[PremiseOneRetry] = stream.Retries == 1
	s.of[PremiseOneRetry].Played += count(within[PremiseOneRetry])
	for p, in := range within {
		s.of[p].TakenUp += count(in && takenUp)
		s.of[p].WentOn += count(in && wentOn)
	}
}

// between returns the premises that were false at any time of a span.
func (s *shares) between(from, to time.Time) map[Premise]bool {
	out := make(map[Premise]bool)
	for _, p := range s.spans {
		out[p.premise] = out[p.premise] || !to.Before(p.from) && from.Before(p.to)
	}
	return out
}

// during describes the premises that were false while a stream lasted.
func (s *shares) during(stream *Stream) string {
	var out []string
	in := s.between(stream.Tries[0].SentAt, stream.Tries[len(stream.Tries)-1].EndedAt)
	for _, p := range premises() {
		if in[p] {
			out = append(out, string(p))
		}
	}
	return "; while " + strings.Join(out, ", ")
}

func (s *shares) list() []Share {
	out := make([]Share, len(s.of))
	for i, p := range premises() {
		out[i] = *s.of[p]
	}
	return out
}
