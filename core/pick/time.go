package pick

import (
	"math/bits"
	"math/rand/v2"
	"time"

	"wigeonplank.example/core/fleet"
	"wigeonplank.example/core/speed"
)

const (
	// Endpoints that a choice compares. More of them send relays with the same load
	// information to the same endpoints; 2 miss the fast ones too often.
	maxDrawn = 3
	maxDraws = 16 // draws for them, as some may be unusable

	// One of this many choices takes any endpoint if all are compared. An endpoint that
	// was once slow would get no request otherwise, and nobody would see that it is fast.
	exploration = 32

	usualLoadWeight = 0.2             // of the newest report in the usual load
	maxUsualLoadAge = 5 * time.Second // the weight of the usual load falls to 0 at this age, so that an endpoint is tried again
)

// drawn collects the endpoints that a choice compares, and the best of them.
type drawn struct {
	list [maxDrawn]*fleet.Endpoint
	n    int
	best Choice
	cost time.Duration
}

func (d *drawn) has(e *fleet.Endpoint) bool {
	for _, other := range d.list[:d.n] {
		if other == e {
			return true
		}
	}
	return false
}

// pickDrawn chooses between a few endpoints drawn from all of a service, without a look
// at the others. It reports false if all must be looked at: a drawn one is cold, or too
// few of them are usable.
func (p *Picker) pickDrawn(now time.Time, svc *fleet.Service, endpoints []*fleet.Endpoint, c Criteria) (Choice, bool) {
	if len(endpoints) <= 2*maxDrawn {
		return Choice{}, false
	}
	var d drawn
	for draws := 0; d.n < maxDrawn; draws++ {
		if draws == maxDraws {
			return Choice{}, false
		}
		e := endpoints[p.intN(len(endpoints))]
		if d.has(e) || !c.Allows(e) {
			continue
		}
		if p.isCold(now, svc, e) {
			return Choice{}, false
		}
		if !p.IsSuspect(e, now) && p.Admits(now, e, false) {
			p.compare(&d, now, e, c)
		}
	}
	return p.choice(&d, now), true
}

// pickByTime chooses between a few endpoints drawn from usable ones.
func (p *Picker) pickByTime(now time.Time, usable []*fleet.Endpoint, c Criteria) Choice {
	var d drawn
	count := min(maxDrawn, len(usable))
	if count == len(usable) && p.intN(exploration) == 0 {
		count = 1
	}
	for i := range count {
		j := i + p.intN(len(usable)-i)
		usable[i], usable[j] = usable[j], usable[i]
		p.compare(&d, now, usable[i], c)
	}
	return p.choice(&d, now)
}

// compare adds an endpoint to those that are compared.
func (p *Picker) compare(d *drawn, now time.Time, e *fleet.Endpoint, c Criteria) {
	st := p.state(e)
	ahead := st.ahead(now)
	predicted := p.Speeds.Predict(now, e, ahead)
	share := ahead / float64(max(1, e.Slots))
	cost := predicted
	if e.Zone != c.Zone {
		cost += time.Duration(crossZonePenalty * float64(p.Speeds.Median(e.Service)))
	}
	d.list[d.n] = e
	d.n++
	if d.best.Endpoint == nil || cost < d.cost || (cost == d.cost && share < d.best.Load) {
		d.cost = cost
		d.best = Choice{Endpoint: e, Reason: ReasonTime, Load: share, Ahead: ahead, Predicted: predicted}
	}
}

// choice returns the best of the endpoints that were compared.
func (p *Picker) choice(d *drawn, now time.Time) Choice {
	d.best.Candidates = d.n
	d.best.Estimate = p.Speeds.Get(now, d.best.Endpoint)
	return d.best
}

// ahead estimates the requests ahead of a new one at an endpoint. Those of this process
// are exact. For those of others, the weight of the newest report falls linearly with its
// age, and what the endpoint usually reports takes its place: without it, relays that hear
// of a fast endpoint once a second think that it is free and send it too much.
func (st *endpointState) ahead(now time.Time) float64 {
	age := float64(now.Sub(st.reportedAt))
	weight := max(0, 1-age/float64(speed.MaxReportAge))
	usual := st.usualOthers * max(0, 1-age/float64(maxUsualLoadAge))
	return float64(st.inFlight) + weight*st.reportedOthers() + (1-weight)*usual
}

// reportedOthers returns the requests of other processes at the last report.
func (st *endpointState) reportedOthers() float64 {
	return float64(max(0, st.reported.Running+st.reported.Waiting-st.inFlightAtReport))
}

// RecordTime learns from the time that a request took at an endpoint, from being sent to
// the end of its answer. ahead is that of its Choice, pace the one that the answer
// reported, 0 if none.
func (p *Picker) RecordTime(e *fleet.Endpoint, took time.Duration, ahead, pace float64) {
	p.Speeds.Record(e, speed.Sample{Took: took, Ahead: ahead, Pace: pace})
}

// intN returns a random number from 0 to n-1.
func (p *Picker) intN(n int) int {
	if p.Rand == nil {
		return rand.IntN(n)
	}
	hi, _ := bits.Mul64(p.Rand.Uint64(), uint64(n))
	return int(hi)
}
