package prompt

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"
)

// simEngine is an engine that reads a chunk of a prompt between two tokens of its streams.
type simEngine struct {
	Engine
	speed   float64
	slowFor []bool // by period of 0.6 s
	freeAt  time.Duration
	reading []*simRequest
	streams []*simRequest
	placed  int
}

type simRequest struct {
	Request
	kind              string
	placedAt, lastAt  time.Duration
	firstAt           time.Duration
	unread, generated int
	events            int
	longest           time.Duration
}

func (e *simEngine) pace(at time.Duration) float64 {
	if e.slowFor[int(at/(600*time.Millisecond))%len(e.slowFor)] {
		return 2.5
	}
	return 1
}

// step runs until the next token and returns the requests that have ended.
func (e *simEngine) step(b *Board, start time.Time) (ended []*simRequest) {
	ms := 6 + 0.2*float64(len(e.streams))
	var read *simRequest
	if len(e.reading) > 0 {
		read = e.reading[0]
		n := min(chunkTokens, read.unread)
		read.unread -= n
		ms += float64(n) / 40
	}
	pace := e.pace(e.freeAt)
	e.freeAt += time.Duration(ms * pace / e.speed * float64(time.Millisecond))
	now := start.Add(e.freeAt)
	if read != nil && read.unread == 0 {
		e.reading, e.streams = e.reading[1:], append(e.streams, read)
	}
	var left []*simRequest
	for _, r := range e.streams {
		r.generated++
		done := r.generated >= r.OutputTokens
		if r.generated%5 == 0 || done {
			r.events++
			if r.events == 1 {
				r.firstAt = e.freeAt
				b.Record(now, r.ID, Report{Pace: pace})
			} else {
				r.longest = max(r.longest, e.freeAt-r.lastAt)
			}
			r.lastAt = e.freeAt
		}
		if done {
			b.Record(now, r.ID, Report{Ended: true, Events: r.events, Streaming: r.lastAt - r.firstAt})
			ended = append(ended, r)
			continue
		}
		left = append(left, r)
	}
	e.streams = left
	return ended
}

type simLoad struct {
	engines   int
	perSecond float64
	seconds   int
	seed      uint64
	noGaps    bool // the board isn't told the max gap of requests
}

type simResult struct {
	late, paused, total map[string]int
	busiest             float64 // requests of the busiest engine, in multiples of the mean
}

var simSpeeds = []float64{0.6, 1, 1.6} // of engines 0, 1 and 2, and so on

func simEngines(n int) []Engine {
	list := make([]Engine, n)
	for i := range list {
		list[i] = Engine{ID: fmt.Sprintf("e%d", i), Incarnation: 1, Slots: 24, CacheTokens: 200_000}
	}
	return list
}

// run places the requests of a load and simulates the engines.
func (l simLoad) run(b *Board) simResult {
	rng := rand.New(rand.NewPCG(l.seed, 1))
	start := simStart
	list := simEngines(l.engines)
	engines := make([]*simEngine, 0, l.engines)
	for i, e := range list {
		e := &simEngine{Engine: e, speed: simSpeeds[i%3]}
		for range 200 {
			e.slowFor = append(e.slowFor, rng.IntN(6) == 0)
		}
		engines = append(engines, e)
	}
	res := simResult{late: map[string]int{}, paused: map[string]int{}, total: map[string]int{}}
	advance := func(to time.Duration) {
		for {
			var next *simEngine
			for _, e := range engines {
				if len(e.reading)+len(e.streams) > 0 && (next == nil || e.freeAt < next.freeAt) {
					next = e
				}
			}
			if next == nil || next.freeAt > to {
				return
			}
			for _, r := range next.step(b, start) {
				res.total[r.kind]++
				switch {
				case r.firstAt-r.placedAt > r.Slack:
					res.late[r.kind]++
				case r.longest > r.MaxGap:
					res.paused[r.kind]++
				}
			}
		}
	}
	n := int(l.perSecond * float64(l.seconds))
	caches := make([]cache, len(engines))
	at := time.Duration(0)
	for i := range n {
		at += time.Duration(rng.ExpFloat64() / l.perSecond * float64(time.Second))
		advance(at)
		r := &simRequest{Request: Request{ID: fmt.Sprint(i), MaxGap: 400 * time.Millisecond}, placedAt: at}
		doc := rng.IntN(60)
		doc = doc * doc / 60 // few are in most prompts
		var own int
		switch k := rng.IntN(59); {
		case k < 24:
			r.kind, r.OutputTokens, r.Slack, own = "summary", 60, 500*time.Millisecond, 500
		case k < 42:
			r.kind, r.OutputTokens, r.Slack = "draft", 120, 900*time.Millisecond
			own = min(39_000, int(1100*math.Exp(1.25*rng.NormFloat64())))
		default:
			r.kind, r.OutputTokens, r.Slack, own = "question", 280, 500*time.Millisecond, 400
		}
		r.Parts = []Part{{ID: uint64(doc), Tokens: 600 + 20*doc}, {ID: uint64(1000 + i), Tokens: own}}
		r.PromptTokens = own + 600 + 20*doc
		told := r.Request
		if l.noGaps {
			told.MaxGap = 0
		}
		c, ok := b.Place(start.Add(at), list, told)
		if !ok {
			panic("no engine")
		}
		for j, e := range engines {
			if e.ID == c.Engine.ID {
				if len(e.reading)+len(e.streams) == 0 {
					e.freeAt = max(e.freeAt, at)
				}
				r.unread = max(1, r.PromptTokens-caches[j].prefix(r.Parts))
				caches[j].add(r.Parts, 120_000)
				e.reading = append(e.reading, r)
				e.placed++
			}
		}
	}
	advance(math.MaxInt64)
	for _, e := range engines {
		res.busiest = max(res.busiest, float64(e.placed)*float64(len(engines))/float64(n))
	}
	return res
}

// sum runs a load with several seeds on new boards.
func (l simLoad) sum(timed bool) simResult {
	out := simResult{late: map[string]int{}, paused: map[string]int{}, total: map[string]int{}}
	for l.seed = range uint64(10) {
		r := l.run(&Board{Service: "s", Timed: timed})
		for k, n := range r.total {
			out.total[k] += n
			out.late[k] += r.late[k]
			out.paused[k] += r.paused[k]
		}
		out.busiest = max(out.busiest, r.busiest)
	}
	return out
}

func all(counts map[string]int) int {
	n := 0
	for _, v := range counts {
		n += v
	}
	return n
}

// simStart is the time at which all loads start.
var simStart = time.UnixMilli(1_700_000_000_000)

func TestBoard(t *testing.T) {
	// Guards against long prompts at engines where they delay the events of streams by more
	// than their max gap.
	t.Run("long_prompts_beside_streams", func(t *testing.T) {
		l := simLoad{engines: 18, perSecond: 70, seconds: 30}
		before, after := l.sum(false), l.sum(true)
		l.noGaps = true
		blind := l.sum(true)
		t.Logf("by load: %v; by speeds alone: %v; with the pauses of streams: %v", before, blind, after)
		if n, m := all(blind.paused), all(after.paused); 3*m > 2*n {
			t.Errorf("%d answers are late by a pause, and %d if the pauses of streams don't count", m, n)
		}
		if n, m := all(before.paused), all(after.paused); 2*m > n {
			t.Errorf("%d of %d answers are late by a pause, and %d without the choice by speeds", m, all(after.total), n)
		}
		if n, m := all(before.late), all(after.late); m > n {
			t.Errorf("%d of %d answers are late by their first event, and %d without the choice by speeds", m, all(after.total), n)
		}
	})
	// Guards against engines that are chosen as if they were equally fast, or without regard
	// to the pace of their newest response.
	t.Run("fast_and_slow_engines", func(t *testing.T) {
		b := &Board{Service: "s", Timed: true}
		simLoad{engines: 18, perSecond: 70, seconds: 30}.run(b)
		now := simStart.Add(time.Hour)
		place := func(id string) *simEngine {
			c, _ := b.Place(now, simEngines(18), Request{ID: id, PromptTokens: 12_000, OutputTokens: 10})
			b.End(now, id)
			i, _ := strconv.Atoi(c.Engine.ID[1:])
			return &simEngine{Engine: c.Engine, speed: simSpeeds[i%3]}
		}
		first := place("first")
		if first.speed != 1.6 {
			t.Errorf("a long prompt is read at %s with speed %v", first.ID, first.speed)
		}
		for i := range 6 { // all fast engines turn slow
			st := b.engines[fmt.Sprintf("e%d", 3*i+2)]
			st.pace, st.pacedAt = 2.5, now
		}
		if e := place("slow"); e.speed == 1.6 {
			t.Errorf("a long prompt is read at %s, which is slow", e.ID)
		}
		now = now.Add(maxPaceAge)
		if e := place("later"); e.speed != 1.6 {
			t.Errorf("a long prompt is read at %s with speed %v after the end of a slow period", e.ID, e.speed)
		}
	})
	// Guards against owners that begin without the speeds that the former owner has learned,
	// and against relays that end up with different speeds.
	t.Run("owner_restarts", func(t *testing.T) {
		east, west, next := &Speeds{}, &Speeds{}, &Speeds{}
		simLoad{engines: 18, perSecond: 70, seconds: 20}.run(&Board{Service: "s", Timed: true, Speeds: east})
		simLoad{engines: 18, perSecond: 70, seconds: 10, seed: 1}.run(&Board{Service: "s", Timed: true, Speeds: west})
		samples := 0
		for _, s := range east.engines {
			samples += s.Reads + s.Streams
		}
		if 4*east.version > samples {
			t.Errorf("%d changes for other relays in %d samples", east.version, samples)
		}
		fromEast, _, _ := east.Changes(0)
		fromWest, _, _ := west.Changes(0)
		for _, m := range []struct {
			to      *Speeds
			records [][]byte
		}{{next, fromWest}, {next, fromEast}, {next, fromWest}, {east, fromWest}, {west, fromEast}} {
			if err := m.to.Merge(m.records); err != nil {
				t.Fatal(err)
			}
		}
		former, b := &Board{Service: "s", Timed: true, Speeds: east}, &Board{Service: "s", Timed: true, Speeds: next}
		off := 0.0
		for _, e := range simEngines(18) {
			r := Request{ID: e.ID, PromptTokens: 20_000, OutputTokens: 1}
			was, _ := former.Place(simStart, []Engine{e}, r)
			is, _ := b.Place(simStart, []Engine{e}, r)
			off += math.Abs(is.FirstEvent.Seconds()/was.FirstEvent.Seconds()-1) / 18
		}
		if off > 0.1 {
			t.Errorf("the predictions of the next owner differ by %.0f%% from those of the former one", 100*off)
		}
		for id, s := range next.engines {
			if s.Reads+s.Streams < east.engines[id].told.Reads+east.engines[id].told.Streams || s.compare(&west.engines[id].EngineSpeed) > 0 {
				t.Errorf("%s: %+v at the next owner, %+v and %+v at the former ones", id, s.EngineSpeed, east.engines[id].EngineSpeed, west.engines[id].EngineSpeed)
			}
		}
		if more, _, _ := next.Changes(next.version); len(more) > 0 {
			t.Errorf("%d records are sent twice", len(more))
		}
	})
}

// BenchmarkChoose measures the choice among 53 engines with 12 streams each.
func BenchmarkChoose(b *testing.B) {
	board := &Board{Service: "s", Timed: true}
	now := time.UnixMilli(1_700_000_000_000)
	engines := make([]Engine, 0, 53)
	for i := range 53 {
		engines = append(engines, Engine{ID: fmt.Sprintf("engine-%d", i), Incarnation: 1, Slots: 64, CacheTokens: 1 << 20})
	}
	i := 0
	place := func() {
		now = now.Add(5 * time.Millisecond)
		board.Place(now, engines, Request{
			ID: fmt.Sprint(i), Parts: []Part{{1, 1000}, {uint64(i) + 9, 2000}}, PromptTokens: 3000, OutputTokens: 280,
			MaxGap: 400 * time.Millisecond, Slack: time.Second,
		})
		board.Record(now, fmt.Sprint(i), Report{Pace: 1})
		i++
	}
	for range 53 * 12 {
		place()
	}
	b.ReportAllocs()
	r := Request{
		ID: "next", Parts: []Part{{1, 1000}, {2, 2000}}, PromptTokens: 3000, OutputTokens: 280, MaxGap: 400 * time.Millisecond, Slack: time.Second,
	}
	for b.Loop() {
		now = now.Add(time.Microsecond)
		board.choose(now, engines, r)
	}
}
