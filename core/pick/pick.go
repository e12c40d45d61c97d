// Package pick chooses the endpoint of a request by load, by the prompt that an
// endpoint is likely to have cached, and by the outcome of recent requests.
package pick

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"wigeonplank.example/core/fleet"
	"wigeonplank.example/core/notice"
	"wigeonplank.example/core/speed"
)

const (
	maxReportAge           = 2 * time.Second        // the weight of a reported load falls to 0 at this age
	crossZonePenalty       = 0.05                   // added to the load of endpoints in other zones, in shares of their slots
	maxAffinityExcess      = 0.25                   // load above the mean up to which affinity applies, in shares of an endpoint's slots
	maxConsecutiveFailures = 3                      // an endpoint becomes suspect at this number
	minSuspectPeriod       = 500 * time.Millisecond // doubles each time the endpoint becomes suspect again without a good result in between
	maxSuspectPeriod       = 8 * time.Second
	failureRateWeight      = 0.1  // of the newest result in the moving average
	maxFailureRate         = 0.35 // an endpoint becomes suspect above this rate
	minFailureSamples      = 8    // results before the failure rate is used
	soleSenderShare        = 0.75 // of the requests that an endpoint takes; the rest is for a former sender that doesn't know its successor yet
)

// Result describes how a request to an endpoint ended.
type Result string

// Results.
const (
	ResultGood   Result = "good"   // the answer was complete and valid
	ResultFull   Result = "full"   // the endpoint rejected the request
	ResultFailed Result = "failed" // the answer was incomplete, invalid or missing
	ResultNone   Result = "none"   // says nothing about the endpoint's health; for example, the caller or its deadline ended the request
)

// Load is the load that an endpoint reported, in requests.
type Load struct {
	Running, Waiting, Slots int
	Pace                    float64 // how long work takes there now, in multiples of the usual time; 0 if not reported
}

// Criteria describes the endpoint that a request needs.
type Criteria struct {
	Zone     string          // zone of this process, which is preferred
	Affinity uint64          // hash of the prompt; requests with the same hash go to the same endpoint; 0: none
	Exclude  map[string]bool // IDs of endpoints that were tried before
	Version  *string         // of the endpoint's software; nil: any
	ByTime   bool            // without Affinity, the endpoint is chosen by expected completion time
}

// Allows reports whether an endpoint is none of the excluded ones and has the
// version.
func (c Criteria) Allows(e *fleet.Endpoint) bool {
	return !c.Exclude[e.ID] && (c.Version == nil || *c.Version == e.Version)
}

// endpointState is what a Picker tracks of one endpoint.
type endpointState struct {
	inFlight         int // requests of this process
	reported         Load
	inFlightAtReport int       // value of inFlight at reportedAt
	reportedAt       time.Time // when reported was received
	usualOthers      float64   // moving average of the requests of other processes at reports
	failures         int       // consecutive
	failureRate      float64   // exponentially weighted moving average
	samples          int       // results in failureRate
	suspectUntil     time.Time
	suspicions       int          // times it became suspect since the last good result
	incarnation      int64        // start of the endpoint's incarnation, ms since 1970
	coldSends        window       // requests sent while the endpoint was cold
	limitedSends     notice.Sends // requests sent while the endpoint named a limit
}

// Picker tracks the load and the health of endpoints as seen by this process.
// The zero value is ready to use. It is not safe for concurrent use.
type Picker struct {
	// ColdShare returns the maximum number of requests that this process may send
	// to a cold endpoint of a service in any one second.
	ColdShare func(svc *fleet.Service, e *fleet.Endpoint) int
	// LimitShare returns the part of the requests that an endpoint takes from all
	// relays together which this process may send. If it is nil, this process may send
	// all of them.
	LimitShare func(e *fleet.Endpoint, requests int) int
	// OnSuspect is called when an endpoint becomes suspect, with the reason and the
	// time for which it gets no requests. It may be nil.
	OnSuspect func(e *fleet.Endpoint, reason string, failures int, period time.Duration)
	// OnNotice is called when an endpoint announces something else than before. It
	// may be nil.
	OnNotice func(endpoint string, before, after notice.Notice)
	// OnClear is called at the first good result of an endpoint after it was
	// suspect. It may be nil.
	OnClear func(e *fleet.Endpoint)
	// Rand is the source of the draws for choices by expected completion time. If it is
	// nil, the process's own source is used.
	Rand rand.Source
	// Speeds holds the estimates for choices by expected completion time.
	Speeds speed.Table

	endpoints map[string]*endpointState // by ID
	notices   notice.Table
	timed     map[string]bool // services of which an endpoint has reported its pace
}

// state returns the state of an endpoint. A new incarnation of an endpoint
// starts with a new state.
func (p *Picker) state(e *fleet.Endpoint) *endpointState {
	if p.endpoints == nil {
		p.endpoints = make(map[string]*endpointState)
	}
	st := p.endpoints[e.ID]
	if st == nil || st.incarnation != e.StartUnixMs {
		st = &endpointState{incarnation: e.StartUnixMs}
		p.endpoints[e.ID] = st
	}
	return st
}

// current returns the state of the incarnation of an endpoint that a request was
// sent to, or nil if another incarnation is tracked by now.
func (p *Picker) current(e *fleet.Endpoint) *endpointState {
	if st := p.endpoints[e.ID]; st != nil && st.incarnation != e.StartUnixMs {
		return nil
	}
	return p.state(e)
}

// load estimates the share of an endpoint's slots in use. It counts the requests
// of this process exactly. Those of other processes are the reported requests less
// those that this process had in flight at the report; their weight falls linearly
// with the report's age. The estimate may exceed 1.
func (st *endpointState) load(e *fleet.Endpoint, now time.Time) float64 {
	others := 0.0
	if age := now.Sub(st.reportedAt); age < maxReportAge {
		weight := 1 - float64(age)/float64(maxReportAge)
		others = weight * float64(max(0, st.reported.Running+st.reported.Waiting-st.inFlightAtReport))
	}
	return (float64(st.inFlight) + others) / float64(max(1, e.Slots))
}

// IsSuspect reports whether an endpoint is suspect, or has told another relay that it
// leaves, and should get no requests while others can take them.
func (p *Picker) IsSuspect(e *fleet.Endpoint, now time.Time) bool {
	return now.Before(p.state(e).suspectUntil) || p.Leaving(e) == notice.LeavingHeard
}

// Load returns the estimated share of an endpoint's slots that are in use.
func (p *Picker) Load(e *fleet.Endpoint, now time.Time) float64 {
	return p.state(e).load(e, now)
}

// Reason says why an endpoint was chosen.
type Reason string

// Reasons for choosing an endpoint.
const (
	ReasonLoad     Reason = "load"     // lowest load
	ReasonAffinity Reason = "affinity" // first for the prompt, so it has the prompt cached or will have
	ReasonCold     Reason = "cold"     // cold, and below ColdShare
	ReasonSuspect  Reason = "suspect"  // suspect, and no other endpoint was usable
	ReasonPrompt   Reason = "prompt"   // earliest first event, by the prompts that all relays have sent
	ReasonTime     Reason = "time"     // least expected completion time among a few drawn at random
)

// Choice is the endpoint that was chosen for a request.
type Choice struct {
	Endpoint   *fleet.Endpoint // nil: no endpoint can take the request
	Reason     Reason
	Candidates int            // number of usable endpoints, or of those drawn if the endpoint was chosen by time
	Load       float64        // estimated share of the endpoint's slots in use
	OpensAt    time.Time      // without an Endpoint: when the first that could have taken the request wants the next; zero: unknown
	Ahead      float64        // requests ahead of this one at the endpoint; only with ByTime
	Predicted  time.Duration  // time to the end of the answer, or to the first event at an engine chosen by prompts; 0: not predicted
	Cached     int            // tokens of the prompt that the engine has cached, as far as known; engines chosen by prompts only
	Estimate   speed.Estimate // that Predicted is based on
}

// Pick chooses the endpoint for a request among the endpoints of a service that
// may get new requests.
func (p *Picker) Pick(now time.Time, svc *fleet.Service, endpoints []*fleet.Endpoint, c Criteria) Choice {
	byTime := c.ByTime && c.Affinity == 0
	if byTime {
		if choice, ok := p.pickDrawn(now, svc, endpoints, c); ok {
			return choice
		}
	}
	admitting, opensAt := p.admitting(now, endpoints, c)
	usable := p.usable(now, svc, admitting, c)
	if len(usable) == 0 {
		return Choice{OpensAt: opensAt}
	}
	choice := Choice{Reason: ReasonLoad, Candidates: len(usable)}
	switch {
	case byTime:
		choice = p.pickByTime(now, usable, c)
	case c.Affinity != 0:
		choice.Reason = ReasonAffinity
		choice.Endpoint = p.pickByAffinity(now, usable, c)
	default:
		choice.Endpoint = p.pickByLoad(now, usable, c)
	}
	choice.Load = p.Load(choice.Endpoint, now)
	switch {
	case p.isCold(now, svc, choice.Endpoint):
		choice.Reason = ReasonCold
	case p.IsSuspect(choice.Endpoint, now):
		choice.Reason = ReasonSuspect
	}
	return choice
}

// admitting returns the endpoints whose announcements allow the request, and the first
// time at which another one's do.
func (p *Picker) admitting(now time.Time, endpoints []*fleet.Endpoint, c Criteria) ([]*fleet.Endpoint, time.Time) {
	var first time.Time
	out := make([]*fleet.Endpoint, 0, len(endpoints))
	for _, e := range endpoints {
		opens, ok := p.OpensAt(e, false)
		switch {
		case ok && !now.Before(opens):
			out = append(out, e)
		case ok && c.Allows(e) && (first.IsZero() || opens.Before(first)):
			first = opens
		}
	}
	return out, first
}

// OpensAt returns the time from which what an endpoint has announced allows this
// process the next request. It reports false if the process may send none. sole tells
// that no other process sends requests to the endpoint.
func (p *Picker) OpensAt(e *fleet.Endpoint, sole bool) (time.Time, bool) {
	n := p.notices.Get(e.ID, e.StartUnixMs)
	a, limited := n.Allowance()
	switch {
	case n.Leaving() == notice.LeavingTold:
		return time.Time{}, false
	case !limited:
		return n.ClosedUntil(), true
	case sole:
		a.Requests = max(1, int(soleSenderShare*float64(a.Requests)))
	case p.LimitShare != nil:
		a.Requests = p.LimitShare(e, a.Requests)
	}
	opens, ok := p.state(e).limitedSends.OpensAt(a)
	if opens.Before(n.ClosedUntil()) {
		opens = n.ClosedUntil()
	}
	return opens, ok
}

// Held returns how many endpoints get no request now because of what they have
// announced, by the announcement.
func (p *Picker) Held(now time.Time, endpoints []*fleet.Endpoint) map[notice.Hold]int {
	if p.notices.Len() == 0 {
		return nil
	}
	held := make(map[notice.Hold]int)
	for _, e := range endpoints {
		if h := p.hold(now, e); h != "" {
			held[h]++
		}
	}
	return held
}

// hold returns the announcement that keeps requests of this process from an endpoint,
// or "".
func (p *Picker) hold(now time.Time, e *fleet.Endpoint) notice.Hold {
	n := p.notices.Get(e.ID, e.StartUnixMs)
	switch {
	case n.Leaving() != notice.LeavingNo:
		return notice.HoldLeaving
	case now.Before(n.ClosedUntil()):
		return notice.HoldClosed
	case !p.Admits(now, e, false):
		return notice.HoldLimit
	default:
		return ""
	}
}

// Admits reports whether what an endpoint has announced allows this process a request
// now. sole tells that no other process sends requests to the endpoint.
func (p *Picker) Admits(now time.Time, e *fleet.Endpoint, sole bool) bool {
	opens, ok := p.OpensAt(e, sole)
	return ok && !now.Before(opens)
}

// RateLimit returns the requests per second that all relays together may send to an
// endpoint, which is positive, and false if it names no limit.
func (p *Picker) RateLimit(e *fleet.Endpoint) (float64, bool) {
	a, limited := p.notices.Get(e.ID, e.StartUnixMs).Allowance()
	if !limited {
		return 0, false
	}
	return a.Rate(), true
}

// usable returns the endpoints that may get the request. It leaves out those
// that c doesn't allow, and cold ones that have reached ColdShare. Cold ones are used
// only if no warm one is usable, or if they outnumber warm and suspect ones
// together by more than two to one; suspect ones only if nothing else is left.
func (p *Picker) usable(now time.Time, svc *fleet.Service, endpoints []*fleet.Endpoint, c Criteria) []*fleet.Endpoint {
	warm := make([]*fleet.Endpoint, 0, len(endpoints))
	var cold, suspect []*fleet.Endpoint
	for _, e := range endpoints {
		switch {
		case !c.Allows(e):
		case p.isCold(now, svc, e):
			if p.state(e).coldSends.count(now) < p.ColdShare(svc, e) {
				cold = append(cold, e)
			}
		case p.IsSuspect(e, now):
			suspect = append(suspect, e)
		default:
			warm = append(warm, e)
		}
	}
	switch {
	case enoughWarm(len(warm), len(suspect), len(cold)):
		return warm
	case len(warm)+len(cold) > 0:
		return append(warm, cold...)
	}
	return suspect
}

// Warm returns the endpoints that c allows and that are neither cold nor suspect. It
// reports false if they are so few that cold ones are used as well.
func (p *Picker) Warm(now time.Time, svc *fleet.Service, endpoints []*fleet.Endpoint, c Criteria) ([]*fleet.Endpoint, bool) {
	warm := make([]*fleet.Endpoint, 0, len(endpoints))
	cold, suspect := 0, 0
	for _, e := range endpoints {
		switch {
		case !c.Allows(e):
		case p.isCold(now, svc, e):
			cold++
		case p.IsSuspect(e, now):
			suspect++
		default:
			warm = append(warm, e)
		}
	}
	return warm, enoughWarm(len(warm), suspect, cold)
}

// enoughWarm reports whether no cold endpoints are needed: there are warm ones, and
// cold ones don't outnumber warm and suspect ones together by more than two to one.
func enoughWarm(warm, suspect, cold int) bool { return warm > 0 && 2*(warm+suspect) >= cold }

// isCold reports whether the limit for cold endpoints applies to an endpoint.
func (p *Picker) isCold(now time.Time, svc *fleet.Service, e *fleet.Endpoint) bool {
	return svc.ColdRate > 0 && e.ColdAt(now)
}

// pickByLoad returns the endpoint with the lowest load, which includes a penalty
// for other zones. The affinity score breaks ties.
func (p *Picker) pickByLoad(now time.Time, endpoints []*fleet.Endpoint, c Criteria) *fleet.Endpoint {
	var best *fleet.Endpoint
	var bestLoad float64
	for _, e := range endpoints {
		load := p.state(e).load(e, now)
		if e.Zone != c.Zone {
			load += crossZonePenalty
		}
		if best == nil || load < bestLoad || (load == bestLoad && affinityScore(c.Affinity, e) > affinityScore(c.Affinity, best)) {
			best, bestLoad = e, load
		}
	}
	return best
}

// pickByAffinity returns the endpoint with the highest affinity score among those
// whose load is not much above the mean. As the score depends only on the prompt
// and the endpoint, all processes choose the same one without coordination.
func (p *Picker) pickByAffinity(now time.Time, endpoints []*fleet.Endpoint, c Criteria) *fleet.Endpoint {
	mean := 0.0
	for _, e := range endpoints {
		mean += p.state(e).load(e, now)
	}
	maxLoad := mean/float64(len(endpoints)) + maxAffinityExcess
	var best *fleet.Endpoint
	for _, e := range endpoints {
		if p.state(e).load(e, now) <= maxLoad && (best == nil || affinityScore(c.Affinity, e) > affinityScore(c.Affinity, best)) {
			best = e
		}
	}
	return best
}

// affinityScore returns the score of an endpoint for a prompt (rendezvous
// hashing).
func affinityScore(affinity uint64, e *fleet.Endpoint) uint64 {
	h := xxhash.NewWithSeed(affinity)
	// Writing to a hash never fails.
	_, _ = h.WriteString(e.ID)
	return h.Sum64()
}

// Begin records that a request is sent to an endpoint, unless what the endpoint has
// announced doesn't allow it, in which case it returns false. Each call that returns
// true is paired with one of End. sole tells that no other process sends requests to
// the endpoint.
func (p *Picker) Begin(now time.Time, svc *fleet.Service, e *fleet.Endpoint, sole bool) bool {
	if !p.Admits(now, e, sole) {
		return false
	}
	st := p.state(e)
	st.inFlight++
	if p.isCold(now, svc, e) {
		st.coldSends.add(now)
	}
	if _, limited := p.RateLimit(e); limited {
		st.limitedSends.Add(now)
	}
	return true
}

// End records the result of a request that was recorded by Begin. It has no effect
// if the endpoint was restarted since.
func (p *Picker) End(now time.Time, e *fleet.Endpoint, r Result) {
	st := p.current(e)
	if st == nil {
		return
	}
	st.inFlight = max(0, st.inFlight-1)
	switch r {
	case ResultGood:
		if st.suspicions > 0 && p.OnClear != nil {
			p.OnClear(e)
		}
		st.failures, st.suspicions = 0, 0
		st.updateFailureRate(0)
	case ResultFailed:
		st.failures++
		st.updateFailureRate(1)
		switch {
		case st.failures >= maxConsecutiveFailures:
			p.markSuspect(now, e, "failures in a row")
		case st.samples >= minFailureSamples && st.failureRate > maxFailureRate:
			p.markSuspect(now, e, "share of failures")
		}
	}
}

// updateFailureRate adds a result to the moving average: 1 for a failure, 0
// otherwise.
func (st *endpointState) updateFailureRate(sample float64) {
	st.samples++
	st.failureRate += failureRateWeight * (sample - st.failureRate)
}

// markSuspect makes an endpoint suspect for a period that starts at
// minSuspectPeriod and doubles with each time since the last good result, up to
// maxSuspectPeriod.
func (p *Picker) markSuspect(now time.Time, e *fleet.Endpoint, reason string) {
	st := p.state(e)
	// The shift is limited so that it can't overflow.
	period := min(maxSuspectPeriod, minSuspectPeriod<<min(st.suspicions, 8))
	if p.OnSuspect != nil {
		p.OnSuspect(e, reason, st.failures, period)
	}
	st.suspectUntil = now.Add(period)
	st.suspicions++
	st.failures = maxConsecutiveFailures - 1 // one more failure after the period makes it suspect again
	st.samples, st.failureRate = 0, 0
}

// MarkUnreachable records that no connection to an endpoint could be established. The
// endpoint becomes suspect at once, unless it was restarted since. It is suspect for
// longer than one that fails, as each further try costs a request the timeout of a
// dial.
func (p *Picker) MarkUnreachable(now time.Time, e *fleet.Endpoint) {
	if st := p.current(e); st != nil {
		st.suspicions++
		p.markSuspect(now, e, "unreachable")
	}
}

// RecordLoad records the load that an endpoint reported, unless it was restarted
// since.
func (p *Picker) RecordLoad(now time.Time, e *fleet.Endpoint, l Load) {
	st := p.current(e)
	if st == nil {
		return
	}
	st.reported, st.inFlightAtReport, st.reportedAt = l, st.inFlight, now
	st.usualOthers += usualLoadWeight * (st.reportedOthers() - st.usualOthers)
	p.Speeds.RecordPace(now, e, l.Pace)
	if l.Pace > 0 {
		p.SetTimed(e.Service)
	}
}

// SetTimed records that an endpoint of a service has reported its pace.
func (p *Picker) SetTimed(service string) {
	if p.timed[service] {
		return
	}
	if p.timed == nil {
		p.timed = make(map[string]bool)
	}
	p.timed[service] = true
}

// Timed returns the services of which an endpoint has reported its pace.
func (p *Picker) Timed() []string { return slices.Collect(maps.Keys(p.timed)) }

// IsTimed reports whether an endpoint of a service has reported its pace.
func (p *Picker) IsTimed(service string) bool { return p.timed[service] }

// HasTimed reports whether an endpoint of any service has reported its pace.
func (p *Picker) HasTimed() bool { return len(p.timed) > 0 }

// Notices returns what endpoints have announced since a version, and the current
// version.
func (p *Picker) Notices(after int) ([]notice.Entry, int) { return p.notices.News(after) }

// Leaving tells whether an endpoint is said to leave.
func (p *Picker) Leaving(e *fleet.Endpoint) notice.Leaving {
	return p.notices.Get(e.ID, e.StartUnixMs).Leaving()
}

// RecordNotice records what an endpoint announced.
func (p *Picker) RecordNotice(e notice.Entry) {
	before, after := p.notices.Put(e)
	changed := !after.Says(before) || !after.ClosedUntil().Equal(before.ClosedUntil())
	if changed && p.OnNotice != nil {
		p.OnNotice(e.Endpoint, before, after)
	}
}

// Prune drops the state of endpoints that are not in keep and have no request of
// this process in flight. What they have announced is kept for longer.
func (p *Picker) Prune(now time.Time, keep map[string]*fleet.Endpoint) {
	for id, st := range p.endpoints {
		if keep[id] == nil && st.inFlight == 0 {
			delete(p.endpoints, id)
		}
	}
	p.Speeds.Prune(keep)
	p.notices.Prune(now, func(id string) bool { return keep[id] != nil })
}

// window counts the events of the last second.
type window struct {
	times []time.Time
}

// count returns the number of events in the last second and drops older ones.
func (w *window) count(now time.Time) int {
	i := 0
	for i < len(w.times) && now.Sub(w.times[i]) > time.Second {
		i++
	}
	w.times = w.times[i:]
	return len(w.times)
}

func (w *window) add(now time.Time) { w.times = append(w.times, now) }
