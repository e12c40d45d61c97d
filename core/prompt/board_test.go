package prompt

import (
	"fmt"
	"math"
	"math/rand/v2"
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
				b.Start(now, r.ID, pace)
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
}

type simResult struct {
	late, paused, total map[string]int
	busiest             float64 // requests of the busiest engine, in multiples of the mean
}

// run places the requests of a load and simulates the engines.
func (l simLoad) run(b *Board) simResult {
	rng := rand.New(rand.NewPCG(l.seed, 1))
	start := time.UnixMilli(1_700_000_000_000)
	engines, list := make([]*simEngine, 0, l.engines), make([]Engine, 0, l.engines)
	for i := range l.engines {
		e := &simEngine{Engine: Engine{ID: fmt.Sprintf("e%d", i), Incarnation: 1, Slots: 24, CacheTokens: 200_000}, speed: []float64{0.6, 1, 1.6}[i%3]}
		for range 200 {
			e.slowFor = append(e.slowFor, rng.IntN(6) == 0)
		}
		engines, list = append(engines, e), append(list, e.Engine)
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
		c, ok := b.Place(start.Add(at), list, r.Request)
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
	for l.seed = range uint64(4) {
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

// TestBoard/long_prompts_beside_streams guards against long prompts at engines where they
// delay the events of streams by more than their max gap.
func TestBoard(t *testing.T) {
	t.Run("long_prompts_beside_streams", func(t *testing.T) {
		l := simLoad{engines: 18, perSecond: 70, seconds: 30}
		before, after := l.sum(false), l.sum(true)
		t.Logf("by load: %v; by speeds: %v", before, after)
		if n, m := all(before.paused), all(after.paused); 3*m > n {
			t.Errorf("%d of %d answers are late by a pause, and %d without the choice by speeds", m, all(after.total), n)
		}
		if n, m := all(before.late), all(after.late); m > n {
			t.Errorf("%d of %d answers are late by their first event, and %d without the choice by speeds", m, all(after.total), n)
		}
	})
}

func BenchmarkPlace(b *testing.B) {
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
		board.Start(now, fmt.Sprint(i), 1)
		i++
	}
	for range 53 * 12 {
		place()
	}
	b.ReportAllocs()
	for b.Loop() {
		place()
		board.End(now, fmt.Sprint(i-53*12))
	}
}
