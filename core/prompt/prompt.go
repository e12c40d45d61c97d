// Package prompt chooses the model engine of a request by the work that its prompt
// causes there. It tracks, for a group of engines, the prompt tokens that are yet to
// be read and the prompt parts that are likely to be cached. It does no I/O.
package prompt

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	defaultReadRate = 35.0 // prompt tokens per millisecond, until some were observed
	minReadRate     = 2.0
	maxReadRate     = 500.0
	minRateSample   = 800 // tokens; the time of smaller reads is mostly that of other work
	rateWeight      = 0.1 // of the newest sample in the moving average
	maxSampleAge    = 5 * time.Second

	baseLatency       = 15 * time.Millisecond // from sending a request to its first event, apart from reading
	runningCost       = 1500 * time.Microsecond
	minAffinityMargin = 30 * time.Millisecond // of two predictions that hardly differ
	rereadFactor      = 2.0                   // cost of reading a part again, in multiples of its time: it also delays later requests

	// cacheShare is the share of an engine's memory that cached parts are assumed to
	// have; running requests have the rest.
	cacheShare = 0.6
	// maxMemoryShare is the share of an engine's memory above which it gets requests
	// only if all engines are above it: it would preempt running requests.
	maxMemoryShare = 0.85

	// startTimeout is how long a request counts as not started without a report. It is
	// above the latency objectives of all routes.
	startTimeout = 4 * time.Second
	// requestTimeout is how long a request counts as running without a report.
	requestTimeout = 20 * time.Second
)

// Part is a part of a prompt that other requests may share.
type Part struct {
	ID     uint64 // hash of the part's name
	Tokens int
}

// Engine is a candidate for a request.
type Engine struct {
	ID          string
	Incarnation int64
	Slots       int
	CacheTokens int // memory for prompts and output, in tokens; 0: no limit
}

// Request is what a Board needs to know of a request.
type Request struct {
	ID           string // of the attempt
	Parts        []Part
	PromptTokens int // all tokens of the prompt
	OutputTokens int // the most that it generates

	// Slack is the time within which the first event should arrive, and MaxGap the time
	// between two events above which the answer is late. 0: no limit. Both count at timed
	// services only.
	Slack, MaxGap time.Duration
}

// Affinity returns the hash of the longest prefix that other requests may share.
// The last part mostly belongs to the request alone.
func (r *Request) Affinity() uint64 {
	if len(r.Parts) == 0 {
		return xxhash.Sum64String(r.ID)
	}
	return r.Parts[max(0, len(r.Parts)-2)].ID
}

// Report tells of the progress of a request at its engine: its first event has arrived,
// or it has ended.
type Report struct {
	Ended     bool
	Pace      float64       // of the response that brought the first event; 0: not reported
	Events    int           // of a stream that has ended
	Streaming time.Duration // between the first and the last of them
}

// Choice is the engine that was chosen for a request.
type Choice struct {
	Engine     Engine
	Cached     int           // tokens of the prompt that it has cached, as far as known
	FirstEvent time.Duration // predicted time to the first event
}

// placement is a request that was placed on an engine and has not ended.
type placement struct {
	engine    *engineState
	placedAt  time.Time
	unread    int // tokens that the engine had to read for it
	ahead     float64
	tokens    int // memory that it takes in addition to what was cached
	predicted time.Duration
	started   bool
	maxGap    time.Duration
	output    int // tokens
}

// engineState is what a Board tracks of one engine.
type engineState struct {
	incarnation int64
	backlog     float64 // tokens to read, as of updatedAt
	updatedAt   time.Time
	waiting     int       // placements that have not started
	running     int       // placements that have started
	memory      int       // tokens of all placements
	rate        float64   // tokens read per millisecond, moving average
	sampledAt   time.Time // last sample of rate; zero: none
	cache       cache

	// The following is used at timed services.

	pace    float64 // of the newest response; 0: none
	pacedAt time.Time
	streams []streamCount // of the placements
	speed   *speedRecord
}

// Board tracks a group of engines. The zero value is ready to use. It is not safe
// for concurrent use.
type Board struct {
	Service string  // to which the engines belong
	Timed   bool    // engines are chosen by their speeds
	Speeds  *Speeds // of engines, which several boards may share; nil: the board has its own

	paces        paces
	eventTokens  float64 // moving average of the tokens in an event; 0: no sample
	eventSamples int
	mean         *EngineSpeed // of the engines, as in Speeds

	engines    map[string]*engineState // by engine ID
	placements map[string]*placement   // by request ID
	rate       float64                 // moving average over all engines; 0: no sample
	candidates []candidate             // of the last choice, to be overwritten
}

// state returns the state of an engine, which is new after a restart.
func (b *Board) state(now time.Time, e Engine) *engineState {
	if b.engines == nil {
		b.engines = make(map[string]*engineState)
		b.placements = make(map[string]*placement)
	}
	st := b.engines[e.ID]
	if st == nil || st.incarnation != e.Incarnation {
		st = &engineState{incarnation: e.Incarnation, updatedAt: now, speed: b.speeds().get(b.Service, e)}
		b.engines[e.ID] = st
	}
	return st
}

// readRate returns the tokens that an engine reads in a millisecond. An old sample
// doesn't count, so that an engine that was slow is tried again.
func (b *Board) readRate(now time.Time, st *engineState) float64 {
	switch {
	case b.Timed:
		o := b.outlook(now, st)
		return st.speed.readRate(b.meanSpeed()) / o.mean()
	case !st.sampledAt.IsZero() && now.Sub(st.sampledAt) < maxSampleAge:
		return st.rate
	case b.rate > 0:
		return b.rate
	}
	return defaultReadRate
}

func (b *Board) speeds() *Speeds {
	if b.Speeds == nil {
		b.Speeds = &Speeds{}
	}
	return b.Speeds
}

func (b *Board) meanSpeed() *EngineSpeed {
	if b.mean == nil {
		b.mean = b.speeds().mean(b.Service)
	}
	return b.mean
}

// advance lowers the backlog by what the engine has read since the last call.
func (b *Board) advance(now time.Time, st *engineState) { st.advance(now, b.readRate(now, st)) }

func (st *engineState) advance(now time.Time, rate float64) {
	read := float64(now.Sub(st.updatedAt)) / float64(time.Millisecond) * rate
	st.updatedAt = now
	st.backlog = max(0, st.backlog-read)
	if st.waiting == 0 {
		st.backlog = 0
	}
}

// Place chooses an engine for a request and counts the request there until it
// ends. It reports false if there is no engine.
func (b *Board) Place(now time.Time, engines []Engine, r Request) (Choice, bool) {
	c, ok := b.choose(now, engines, r)
	if !ok {
		return c, false
	}
	b.End(now, r.ID) // a former attempt
	st := b.engines[c.Engine.ID]
	unread := max(0, r.PromptTokens-c.Cached)
	p := &placement{
		engine: st, placedAt: now, unread: unread, ahead: st.backlog, tokens: unread + r.OutputTokens,
		predicted: c.FirstEvent, maxGap: r.MaxGap, output: r.OutputTokens,
	}
	b.placements[r.ID] = p
	st.countStream(r.MaxGap, 1)
	st.backlog += float64(unread)
	st.waiting++
	st.memory += p.tokens
	st.cache.add(r.Parts, int(cacheShare*float64(c.Engine.CacheTokens)))
	return c, true
}

// candidate is an engine with the cost of a request there.
type candidate struct {
	Choice
	cost time.Duration
	full bool // it has no memory for the request
}

// choose returns the engine with the lowest cost for a request. Among those that are
// hardly worse it prefers the one that the request's shared parts hash to, so that a
// board that knows nothing of the past finds the engine that has them cached.
func (b *Board) choose(now time.Time, engines []Engine, r Request) (Choice, bool) {
	candidates := b.candidates[:0]
	anyFree := false
	for _, e := range engines {
		c := b.evaluate(now, e, &r)
		anyFree = anyFree || !c.full
		candidates = append(candidates, c)
	}
	b.candidates = candidates
	lowest := time.Duration(-1)
	for i := range candidates {
		c := &candidates[i]
		if (!c.full || !anyFree) && (lowest < 0 || c.cost < lowest) {
			lowest = c.cost
		}
	}
	var best *candidate
	var bestScore uint64
	affinity, margin := r.Affinity(), b.affinityMargin(&r)
	for i := range candidates {
		c := &candidates[i]
		if (c.full && anyFree) || c.cost > lowest+margin {
			continue
		}
		if s := score(affinity, c.Engine.ID); best == nil || s > bestScore {
			best, bestScore = c, s
		}
	}
	if best == nil {
		return Choice{}, false
	}
	return best.Choice, true
}

// affinityMargin returns how much later the first event of a request may be for an engine to
// be preferred by its affinity: by the time for reading its shared parts, which are then
// mostly cached where the next owner of the pool, who knows nothing, looks for them.
func (b *Board) affinityMargin(r *Request) time.Duration {
	rate := b.rate
	if rate == 0 {
		rate = defaultReadRate
	}
	shared := 0
	for _, p := range r.Parts[:max(0, len(r.Parts)-1)] {
		shared += p.Tokens
	}
	return max(minAffinityMargin, time.Duration(float64(shared)/rate*float64(time.Millisecond)))
}

// evaluate returns the cost of a request at an engine.
func (b *Board) evaluate(now time.Time, e Engine, r *Request) candidate {
	st := b.state(now, e)
	cached := min(st.cache.prefix(r.Parts), r.PromptTokens)
	var c candidate
	if b.Timed {
		c = b.evaluateTimed(now, st, e, r, cached)
	} else {
		b.advance(now, st)
		perToken := float64(time.Millisecond) / b.readRate(now, st)
		unread := float64(r.PromptTokens - cached)
		wait := time.Duration(st.backlog*perToken) + time.Duration(st.waiting+st.running)*runningCost
		c = candidate{
			Choice: Choice{Engine: e, Cached: cached, FirstEvent: baseLatency + wait + time.Duration(unread*perToken)},
			cost:   wait + time.Duration(rereadFactor*unread*perToken),
		}
	}
	memory := st.memory + r.PromptTokens - cached + r.OutputTokens
	c.full = (e.CacheTokens > 0 && float64(memory) > maxMemoryShare*float64(e.CacheTokens)) || st.waiting+st.running >= max(1, e.Slots)
	return c
}

// Start records that the first event of a request has arrived. It returns the
// predicted and the actual time to it, or false if the request is unknown or has
// started before.
func (b *Board) Start(now time.Time, request string) (predicted, actual time.Duration, ok bool) {
	p := b.placements[request]
	if p == nil || p.started {
		return 0, 0, false
	}
	p.started = true
	actual = now.Sub(p.placedAt)
	st := p.engine
	b.advance(now, st)
	st.waiting--
	st.running++
	b.observeRate(now, st, p, actual)
	return p.predicted, actual, true
}

// observeRate updates the rate at which an engine reads from the time that a request
// took to its first event.
func (b *Board) observeRate(now time.Time, st *engineState, p *placement, actual time.Duration) {
	tokens := float64(p.unread) + p.ahead
	if b.Timed {
		b.observeSpeed(now, st, tokens, actual)
	}
	ms := float64(actual-baseLatency) / float64(time.Millisecond)
	if tokens < minRateSample || ms <= 0 {
		return
	}
	sample := min(maxReadRate, max(minReadRate, tokens/ms))
	st.rate, st.sampledAt = smooth(b.readRate(now, st), sample), now
	if b.rate == 0 {
		b.rate = sample
	}
	b.rate = smooth(b.rate, sample)
}

func smooth(avg, sample float64) float64 { return avg + rateWeight*(sample-avg) }

// End records that a request has ended, or is no longer wanted. Unknown requests
// are ignored.
func (b *Board) End(now time.Time, request string) {
	p := b.placements[request]
	if p == nil {
		return
	}
	delete(b.placements, request)
	st := p.engine
	st.countStream(p.maxGap, -1)
	b.advance(now, st)
	st.memory -= p.tokens
	if p.started {
		st.running--
	} else {
		st.waiting--
	}
}

// Record records the progress of a request.
func (b *Board) Record(now time.Time, request string, r Report) {
	p := b.placements[request]
	if p != nil && r.Pace > 0 {
		b.paces.observe(r.Pace)
		p.engine.pace, p.engine.pacedAt = r.Pace, now
	}
	if !r.Ended {
		b.Start(now, request)
		return
	}
	if b.Timed && p != nil && p.started && r.Events >= minStreamEvents && r.Streaming > 0 {
		b.speeds().observeEvents(p.engine.speed, r.Streaming/time.Duration(r.Events-1))
		b.eventTokens = average(b.eventTokens, float64(p.output)/float64(r.Events), &b.eventSamples)
	}
	b.End(now, request)
}

// Expire ends the requests whose end was not reported in time.
func (b *Board) Expire(now time.Time) {
	for id, p := range b.placements {
		age := now.Sub(p.placedAt)
		if age > requestTimeout || (!p.started && age > startTimeout) {
			b.End(now, id)
		}
	}
}

// Prune drops the state of engines that are not in keep.
func (b *Board) Prune(keep func(id string) bool) {
	for id := range b.engines {
		if !keep(id) {
			delete(b.engines, id)
		}
	}
}

// Backlog returns the prompt tokens that are yet to be read.
func (b *Board) Backlog(now time.Time) int {
	sum := 0.0
	for _, st := range b.engines {
		b.advance(now, st)
		sum += st.backlog
	}
	return int(sum)
}

// WeightedScore returns the score of a group of engines for prompts with an affinity,
// by weighted rendezvous hashing.
func WeightedScore(affinity uint64, group string, weight float64) float64 {
	uniform := (float64(score(affinity, group)) + 1) / (math.MaxUint64 + 2.0)
	return -weight / math.Log(uniform)
}

// score returns the rendezvous hashing score of an engine for prompts with an
// affinity.
func score(affinity uint64, id string) uint64 {
	h := xxhash.NewWithSeed(affinity)
	_, _ = h.WriteString(id) // never fails
	return h.Sum64()
}
