package poison

import (
	"slices"
	"time"
)

// Verdicts is what a table concludes for requests. It is immutable. The zero value holds
// nothing back.
type Verdicts struct {
	Quarantines map[Subject]Quarantine
	Probations  map[Subject]Quarantine
	// Confined holds the subjects by which requests are kept together. Those with false only tell
	// requests apart that have one with true; see Confinement.
	Confined map[Subject]bool
}

// Holds reports whether a subject is quarantined or on probation.
func (v *Verdicts) Holds(s Subject) bool {
	_, quarantined := v.Quarantines[s]
	_, onProbation := v.Probations[s]
	return quarantined || onProbation
}

// Check returns the quarantines and probations that hold a request back, and the time from which it
// may be sent nevertheless, as the trial of all of them. rank is the position of this relay in an
// order of all relays that depends only on the subject.
func (v *Verdicts) Check(suspects []Suspect, rank func(Subject) int) (held []Quarantine, sendAt time.Time) {
	if len(v.Quarantines) == 0 && len(v.Probations) == 0 {
		return nil, time.Time{}
	}
	for _, s := range suspects {
		q, ok := v.Quarantines[s.Subject]
		if !ok {
			q, ok = v.Probations[s.Subject]
		}
		if !ok || !q.covers(suspects) {
			continue
		}
		held = append(held, q)
		turn := q.Turn(rank(s.Subject))
		if v.hasOtherSuspect(suspects, q) {
			turn = turn.Add(sharedTrialDelay)
		}
		sendAt = later(sendAt, turn)
	}
	return held, sendAt
}

// hasOtherSuspect reports whether a request has another subject that may crash its endpoint, so
// that a crash wouldn't tell much of those of a quarantine.
func (v *Verdicts) hasOtherSuspect(suspects []Suspect, q Quarantine) bool {
	return slices.ContainsFunc(suspects, func(s Suspect) bool {
		_, quarantined := v.Quarantines[s.Subject]
		return s.Subject != q.Subject && !slices.Contains(q.With, s.ID) && (quarantined || v.Confined[s.Subject])
	})
}

// Confinement returns the same number for all requests that should run at the same endpoint, as
// they have the same suspected subjects, and 0 if the request may run anywhere. Requests that have
// only some of these run elsewhere, which shows whether those are to blame.
func (v *Verdicts) Confinement(suspects []Suspect) uint64 {
	var group, request uint64
	confined := false
	for _, s := range suspects {
		decides, ok := v.Confined[s.Subject]
		switch {
		case !ok:
		case s.Kind == KindRequest:
			request = s.ID
		default:
			group ^= s.ID
			confined = confined || decides
		}
	}
	if confined {
		return group
	}
	return request
}
