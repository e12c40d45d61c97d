package prompt

import (
	"slices"
	"time"
)

const (
	// maxPaceAge is the age from which on the pace of a response says nothing more. Slow
	// periods last about 0.6 s.
	maxPaceAge = 600 * time.Millisecond
	// slowPace is the pace from which on an engine counts as slow.
	slowPace = 1.5
	// paceWeight is the weight of the newest response in the share of slow ones.
	paceWeight = 0.02

	// chunkTokens is the part of a prompt that an engine reads between two tokens of its
	// streams.
	chunkTokens = 2048
	// minStreamEvents is the number of events from which on a stream tells the speed.
	minStreamEvents = 5
	// defaultEventTokens is the number of tokens in an event until some were observed.
	defaultEventTokens = 4.0

	// placementCost is the cost of each other request at an engine, as a time to the first
	// event. It spreads requests, as a slow period delays all of an engine's streams.
	placementCost = 10 * time.Millisecond
	// timedRereadFactor is rereadFactor at timed services, where the delay of later requests
	// counts by the answers that are made late.
	timedRereadFactor = 1.3

	// ownPauseWeight is the weight of the pauses that prompts placed earlier cause a request's
	// own stream. Engines that read prompts one after another read them before it starts,
	// others don't, and which kind an engine is isn't known.
	ownPauseWeight = 0.5

	// latePenalty is the cost of a request that is late, as a time to the first event.
	latePenalty = time.Second
	// A time counts as late with a probability that rises from 0 at lateFrom to 1 at
	// lateTo, in multiples of the limit, as predictions are uncertain.
	lateFrom = 0.75
	lateTo   = 1.1
)

// paces tells how fast engines are at times, in multiples of the usual time of work.
type paces struct {
	slowShare float64 // of responses
	slow      float64 // mean pace of slow responses
}

// observe adds the pace of a response.
func (p *paces) observe(pace float64) {
	if pace < slowPace {
		p.slowShare -= paceWeight * p.slowShare
		return
	}
	p.slowShare += paceWeight * (1 - p.slowShare)
	if p.slow == 0 {
		p.slow = pace
	}
	p.slow += paceWeight * (pace - p.slow)
}

// outlook is the distribution of an engine's pace during the next work: known is that
// of its newest response, with a weight that falls with its age.
type outlook struct {
	known, weight float64
	paces
}

func (b *Board) outlook(now time.Time, st *engineState) outlook {
	o := outlook{known: st.pace, paces: b.paces}
	if age := now.Sub(st.pacedAt); st.pace > 0 && age < maxPaceAge {
		fresh := 1 - max(0, float64(age)/float64(maxPaceAge))
		o.weight = fresh * fresh
	}
	return o
}

// mean returns the expected pace.
func (o *outlook) mean() float64 {
	return o.weight*o.known + (1-o.weight)*(1+o.slowShare*(max(1, o.slow)-1))
}

// late returns the probability that work is late that takes some part of its limit at
// the usual pace.
func (o *outlook) late(part float64) float64 {
	if part*max(1, o.known, o.slow) <= lateFrom {
		return 0
	}
	return o.weight*lateness(part*o.known) + (1-o.weight)*((1-o.slowShare)*lateness(part)+o.slowShare*lateness(part*max(1, o.slow)))
}

func lateness(part float64) float64 { return min(1, max(0, (part-lateFrom)/(lateTo-lateFrom))) }

// evaluateTimed returns the cost of a request at an engine of a timed service: the time
// to its first event, and a penalty for each request that is likely to be late.
func (b *Board) evaluateTimed(now time.Time, st *engineState, e Engine, r *Request, cached int) candidate {
	o := b.outlook(now, st)
	rate := st.speed.readRate(b.meanSpeed())
	st.advance(now, rate/o.mean())
	perToken := float64(time.Millisecond) / rate // at the usual pace
	eventTime := st.speed.eventTime(b.meanSpeed())
	unread := float64(r.PromptTokens - cached)
	others := time.Duration(st.waiting+st.running) * runningCost
	wait := time.Duration(st.backlog*perToken*o.mean()) + others
	first := float64(baseLatency+others) + (st.backlog+unread)*perToken
	c := candidate{
		Choice: Choice{Engine: e, Cached: cached, FirstEvent: baseLatency + wait + time.Duration(unread*perToken*o.mean())},
		cost:   wait - others + time.Duration(st.waiting+st.running)*placementCost + time.Duration(timedRereadFactor*unread*perToken*o.mean()),
	}
	late := 0.0
	if r.Slack > 0 {
		late = o.late(first / float64(r.Slack))
	}
	p := pause{outlook: &o, before: b.longestPause(st.backlog, perToken, eventTime), after: b.longestPause(st.backlog+unread, perToken, eventTime)}
	if r.MaxGap > 0 && float64(r.OutputTokens) > b.tokensPerEvent() {
		late += ownPauseWeight * o.late(p.before/float64(r.MaxGap))
	}
	for _, s := range st.streams {
		late += float64(s.n) * p.harm(s.maxGap)
	}
	c.cost += time.Duration(late * float64(latePenalty))
	return c
}

// observeSpeed updates the speed of an engine from the time that a request took to its
// first event. The time includes that of other work, so that an engine with many streams
// counts as slower.
func (b *Board) observeSpeed(now time.Time, st *engineState, tokens float64, actual time.Duration) {
	ms := float64(actual-baseLatency) / float64(time.Millisecond)
	if tokens < minRateSample || ms <= 0 {
		return
	}
	o := b.outlook(now, st)
	b.speeds().observeRead(st.speed, tokens/ms*o.mean())
}

// longestPause returns the longest time between two events of a stream while an engine
// reads prompts, at the usual pace: the engine reads a chunk between two tokens.
func (b *Board) longestPause(unread, perToken float64, eventTime time.Duration) float64 {
	return min(unread, b.tokensPerEvent()*chunkTokens)*perToken + float64(eventTime)
}

func (b *Board) tokensPerEvent() float64 {
	if b.eventTokens > 0 {
		return b.eventTokens
	}
	return defaultEventTokens
}

// pause is the longest pause of an engine's streams before and after a prompt is added.
type pause struct {
	*outlook
	before, after float64
}

// harm returns by how much the prompt raises the probability that a stream is late.
func (p *pause) harm(maxGap time.Duration) float64 {
	return p.late(p.after/float64(maxGap)) - p.late(p.before/float64(maxGap))
}

// streamCount is the number of placements of an engine that have the same max gap.
type streamCount struct {
	maxGap time.Duration
	n      int
}

// countStream adds n to the number of placements with a max gap.
func (st *engineState) countStream(maxGap time.Duration, n int) {
	if maxGap == 0 {
		return
	}
	for i := range st.streams {
		if st.streams[i].maxGap == maxGap {
			if st.streams[i].n += n; st.streams[i].n == 0 {
				st.streams = slices.Delete(st.streams, i, i+1)
			}
			return
		}
	}
	st.streams = append(st.streams, streamCount{maxGap, n})
}
