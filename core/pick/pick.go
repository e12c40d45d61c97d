// Package pick chooses the endpoint of a request: by load, by the prompts that
// it holds, and by how it answered lately.
package pick

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"wigeonplank.example/core/fleet"
)

// Weights and times of the choice.
const (
	loadTrust      = 2 * time.Second        // a reported load counts less with age, and nothing after this
	crossZoneCost  = 0.05                   // load, in shares of an endpoint's slots, that a near endpoint may have more
	affinitySlack  = 0.25                   // share of an engine's slots that prompts may keep it above the mean load
	suspectAfter   = 3                      // failures in a row
	suspectBase    = 500 * time.Millisecond // first time without work
	suspectMost    = 8 * time.Second        // longest time without work
	failureWeight  = 0.1                    // of the newest answer in the share of failures
	failureEject   = 0.35                   // share of failures above which an endpoint is suspect
	failureSamples = 8                      // answers before the share says anything
)

// Result is how a use of an endpoint ended.
type Result string

// Results.
const (
	ResultGood   Result = "good"
	ResultFull   Result = "full"   // it did not take the request
	ResultFailed Result = "failed" // broken, false or missing answer
	ResultNone   Result = "none"   // ended by the caller or by its deadline; says nothing of the endpoint
)

// Load is what an endpoint said of its load.
type Load struct {
	Running, Waiting, Slots int
}

// Want says what a request needs.
type Want struct {
	Zone     string          // of the process that asks
	Affinity uint64          // hash of the prompt that should meet its cache; 0: none
	Exclude  map[string]bool // IDs that were tried
}

type node struct {
	own      int // requests of this process under way
	reported Load
	ownThen  int // own at the report
	at       time.Time
	failures int // in a row
	share    float64
	samples  int
	until    time.Time // suspect until
	ejected  int       // times in a row
	born     int64
	cold     window
}

// Picker holds what this process knows of each endpoint's load and health. The
// zero value is ready to use. It is not safe for concurrent use.
type Picker struct {
	// ColdShare returns how many requests this process may send to a cold
	// endpoint of a service in any one second.
	ColdShare func(svc *fleet.Service, e *fleet.Endpoint) int
	// OnSuspect hears that an endpoint gets no work for a while, and why. It may
	// be nil.
	OnSuspect func(e *fleet.Endpoint, why string, failures int, pause time.Duration)
	// OnClear hears that an endpoint answered well after it was suspected. It may
	// be nil.
	OnClear func(e *fleet.Endpoint)

	nodes map[string]*node
}

func (p *Picker) node(e *fleet.Endpoint) *node {
	if p.nodes == nil {
		p.nodes = make(map[string]*node)
	}
	n := p.nodes[e.ID]
	if n == nil || n.born != e.Born {
		n = &node{born: e.Born}
		p.nodes[e.ID] = n
	}
	return n
}

// load estimates the share of an endpoint's slots in use: this process's own
// requests, and those of others as last reported, the less the older.
func (n *node) load(e *fleet.Endpoint, now time.Time) float64 {
	others := 0.0
	if age := now.Sub(n.at); age < loadTrust {
		trust := 1 - float64(age)/float64(loadTrust)
		others = trust * float64(max(0, n.reported.Running+n.reported.Waiting-n.ownThen))
	}
	return (float64(n.own) + others) / float64(max(1, e.Slots))
}

// Suspect reports whether an endpoint should get no work for now.
func (p *Picker) Suspect(e *fleet.Endpoint, now time.Time) bool {
	return now.Before(p.node(e).until)
}

// Load returns the estimated share of an endpoint's slots that are in use.
func (p *Picker) Load(e *fleet.Endpoint, now time.Time) float64 {
	return p.node(e).load(e, now)
}

// Why says what decided a choice.
type Why string

// Reasons of choices.
const (
	WhyLoad     Why = "load"     // the least loaded
	WhyAffinity Why = "affinity" // it holds, or will hold, the prompt
	WhyCold     Why = "cold"     // cold, and within this process's share
	WhySuspect  Why = "suspect"  // no better one was left
)

// Choice is an endpoint and why it was chosen.
type Choice struct {
	Endpoint   *fleet.Endpoint // nil: none can take the request
	Why        Why
	Candidates int     // endpoints that were usable
	Load       float64 // share of the endpoint's slots in use, as believed
}

// Pick chooses the endpoint for a request. list are the endpoints that may be
// given work.
func (p *Picker) Pick(now time.Time, svc *fleet.Service, list []*fleet.Endpoint, w Want) Choice {
	usable := p.usable(now, svc, list, w)
	if len(usable) == 0 {
		return Choice{}
	}
	c := Choice{Why: WhyLoad, Candidates: len(usable)}
	if w.Affinity != 0 {
		c.Why = WhyAffinity
		c.Endpoint = p.near(now, usable, w)
	} else {
		c.Endpoint = p.least(now, usable, w)
	}
	c.Load = p.Load(c.Endpoint, now)
	switch {
	case p.cold(now, svc, c.Endpoint):
		c.Why = WhyCold
	case p.Suspect(c.Endpoint, now):
		c.Why = WhySuspect
	}
	return c
}

// usable drops endpoints that were tried, are suspect, or are cold beyond this
// process's share. Suspects come back if nothing else is left, cold ones only
// within their share.
func (p *Picker) usable(now time.Time, svc *fleet.Service, list []*fleet.Endpoint, w Want) []*fleet.Endpoint {
	warm := make([]*fleet.Endpoint, 0, len(list))
	var cold, suspect []*fleet.Endpoint
	for _, e := range list {
		switch {
		case w.Exclude[e.ID]:
		case p.cold(now, svc, e):
			if p.node(e).cold.count(now) < p.ColdShare(svc, e) {
				cold = append(cold, e)
			}
		case p.Suspect(e, now):
			suspect = append(suspect, e)
		default:
			warm = append(warm, e)
		}
	}
	switch {
	case len(warm) > 0 && 2*(len(warm)+len(suspect)) >= len(cold):
		return warm
	case len(warm)+len(cold) > 0:
		return append(warm, cold...)
	}
	return suspect
}

func (p *Picker) cold(now time.Time, svc *fleet.Service, e *fleet.Endpoint) bool {
	return svc.ColdRate > 0 && e.ColdAt(now)
}

func (p *Picker) least(now time.Time, list []*fleet.Endpoint, w Want) *fleet.Endpoint {
	var best *fleet.Endpoint
	var bestLoad float64
	for _, e := range list {
		l := p.node(e).load(e, now)
		if e.Zone != w.Zone {
			l += crossZoneCost
		}
		if best == nil || l < bestLoad || (l == bestLoad && score(w.Affinity, e) > score(w.Affinity, best)) {
			best, bestLoad = e, l
		}
	}
	return best
}

// near returns the first endpoint, in an order that depends on the prompt alone,
// that is not much more loaded than the rest. All processes agree on the order
// without asking one another.
func (p *Picker) near(now time.Time, list []*fleet.Endpoint, w Want) *fleet.Endpoint {
	mean := 0.0
	for _, e := range list {
		mean += p.node(e).load(e, now)
	}
	bound := mean/float64(len(list)) + affinitySlack
	var best *fleet.Endpoint
	for _, e := range list {
		if p.node(e).load(e, now) <= bound && (best == nil || score(w.Affinity, e) > score(w.Affinity, best)) {
			best = e
		}
	}
	return best
}

// score ranks an endpoint for a prompt (rendezvous hashing).
func score(affinity uint64, e *fleet.Endpoint) uint64 {
	h := xxhash.NewWithSeed(affinity)
	// Writing to a hash never fails.
	_, _ = h.WriteString(e.ID)
	return h.Sum64()
}

// Begin records that a request is sent to an endpoint.
func (p *Picker) Begin(now time.Time, svc *fleet.Service, e *fleet.Endpoint) {
	n := p.node(e)
	n.own++
	if p.cold(now, svc, e) {
		n.cold.add(now)
	}
}

// End records how a use that Begin announced came out.
func (p *Picker) End(now time.Time, e *fleet.Endpoint, r Result) {
	n := p.node(e)
	n.own = max(0, n.own-1)
	switch r {
	case ResultGood:
		if n.ejected > 0 && p.OnClear != nil {
			p.OnClear(e)
		}
		n.failures, n.ejected = 0, 0
		n.answered(0)
	case ResultFailed:
		n.failures++
		n.answered(1)
		switch {
		case n.failures >= suspectAfter:
			p.eject(now, e, "failures in a row")
		case n.samples >= failureSamples && n.share > failureEject:
			p.eject(now, e, "share of failures")
		}
	}
}

func (n *node) answered(failure float64) {
	n.samples++
	n.share += failureWeight * (failure - n.share)
}

func (p *Picker) eject(now time.Time, e *fleet.Endpoint, why string) {
	n := p.node(e)
	pause := min(suspectMost, suspectBase<<min(n.ejected, 8))
	if p.OnSuspect != nil {
		p.OnSuspect(e, why, n.failures, pause)
	}
	n.until = now.Add(pause)
	n.ejected++
	n.failures = suspectAfter - 1 // one more failure after the return ejects again
	n.samples, n.share = 0, 0
}

// Unreachable records that no connection to an endpoint could be made.
func (p *Picker) Unreachable(now time.Time, e *fleet.Endpoint) { p.eject(now, e, "unreachable") }

// Report records what an endpoint said of its load.
func (p *Picker) Report(now time.Time, e *fleet.Endpoint, l Load) {
	n := p.node(e)
	n.reported, n.ownThen, n.at = l, n.own, now
}

// Forget drops what is known of endpoints that are not in keep.
func (p *Picker) Forget(keep map[string]*fleet.Endpoint) {
	for id, n := range p.nodes {
		if keep[id] == nil && n.own == 0 {
			delete(p.nodes, id)
		}
	}
}

// window counts what happened in the last second.
type window struct {
	times []time.Time
}

func (w *window) count(now time.Time) int {
	i := 0
	for i < len(w.times) && now.Sub(w.times[i]) > time.Second {
		i++
	}
	w.times = w.times[i:]
	return len(w.times)
}

func (w *window) add(now time.Time) { w.times = append(w.times, now) }
