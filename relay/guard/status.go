package guard

import (
	"time"

	"wigeonplank.example/core/poison"
)

// Suspect describes a subject for people, as the admin address serves it.
type Suspect struct {
	Subject     string    `json:"subject"` // as in log lines
	With        []string  `json:"with"`    // IDs of further subjects; only requests with all of them are held back
	Quarantined bool      `json:"quarantined"`
	OnProbation bool      `json:"on_probation"` // one request with it at a time is sent
	Endpoints   []string  `json:"endpoints"`    // that crashed under it since its last good run
	Needed      int       `json:"needed"`       // crashes from which on it is quarantined
	FirstCrash  time.Time `json:"first_crash"`
	LastCrash   time.Time `json:"last_crash"`
	TrialAt     time.Time `json:"trial_at,omitzero"` // while it is quarantined or on probation: when one request is sent next
}

// Suspects returns what requests have in common that ran at crashed endpoints, the
// quarantined subjects first.
func (g *Guard) Suspects() []Suspect {
	g.mu.Lock()
	list := g.table.Suspicions()
	g.mu.Unlock()
	out := make([]Suspect, 0, len(list))
	for _, s := range list {
		out = append(out, newSuspect(s))
	}
	return out
}

func newSuspect(s poison.Suspicion) Suspect {
	return Suspect{
		Subject: subjectName(s.Subject), With: idNames(s.With), Quarantined: s.Quarantined, OnProbation: s.OnProbation, Endpoints: endpointsOf(s.Crashes), Needed: s.Needed,
		FirstCrash: s.Crashes[0].At.UTC(), LastCrash: s.Crashes[len(s.Crashes)-1].At.UTC(), TrialAt: s.TrialAt.UTC(),
	}
}

// NumSuspects returns the number of subjects with crashes.
func (g *Guard) NumSuspects() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return int64(g.table.Len())
}

// NumQuarantined returns the number of quarantined subjects.
func (g *Guard) NumQuarantined() int64 {
	return int64(len(g.current().Quarantines))
}
