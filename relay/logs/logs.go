// Package logs writes what a relay decides and comes to believe as JSON lines.
// Writing never blocks: lines over a kind's rate are left out and counted, and
// so are lines that standard output doesn't take.
package logs

import (
	"io"
	"sync"
	"time"

	"github.com/phuslu/log"

	"wigeonplank.example/core/clock"
)

const (
	burstTime    = 4 * time.Second // a kind may write so much of its rate at once
	summaryPause = 5 * time.Second // between two lines that count what was left out
)

// Logger writes lines of the kinds in this package. Make it with New.
type Logger struct {
	clock clock.Clock
	sink  *sink
	lines log.Logger // of what went well
	first log.Logger // of what went wrong: written first

	mu      sync.Mutex
	budgets map[budgetKey]*budget
	summed  time.Time
}

type budgetKey struct {
	kind   *Kind
	failed bool
}

// budget is a bucket of lines.
type budget struct {
	lines   float64
	at      time.Time
	omitted int64
}

// New returns a Logger that writes to w. Each line names the instance.
func New(w io.Writer, clk clock.Clock, instance string) *Logger {
	l := &Logger{clock: clk, sink: newSink(w), budgets: make(map[budgetKey]*budget), summed: clk.Now()}
	context := log.NewContext(nil).Str("program", "relay").Str("instance", instance).Value()
	l.lines = log.Logger{Level: log.InfoLevel, Writer: log.IOWriter{Writer: l.sink.plain}, Context: context}
	l.first = log.Logger{Level: log.InfoLevel, Writer: log.IOWriter{Writer: l.sink.urgent}, Context: context}
	return l
}

// Event begins a line, to be ended by Msg. It returns nil, on which all methods
// do nothing, if the kind has written enough.
func (l *Logger) Event(k *Kind) *log.Entry {
	if !l.allow(budgetKey{kind: k}) {
		return nil
	}
	if k.Level == log.WarnLevel || k.Level == log.ErrorLevel {
		return l.first.WithLevel(k.Level).Str("event", k.Name)
	}
	return l.lines.WithLevel(k.Level).Str("event", k.Name)
}

// Failure is Event for what went wrong. It has a rate of its own, and is written
// before lines of what went well.
func (l *Logger) Failure(k *Kind) *log.Entry {
	if !l.allow(budgetKey{kind: k, failed: true}) {
		return nil
	}
	return l.first.Warn().Str("event", k.Name)
}

func (l *Logger) allow(key budgetKey) bool {
	now := l.clock.Now()
	rate := float64(key.kind.PerSecond)
	l.mu.Lock()
	b := l.budgets[key]
	if b == nil {
		b = &budget{lines: rate * burstTime.Seconds(), at: now}
		l.budgets[key] = b
	}
	b.lines = min(rate*burstTime.Seconds(), b.lines+rate*now.Sub(b.at).Seconds())
	b.at = now
	ok := b.lines >= 1
	if ok {
		b.lines--
	} else {
		b.omitted++
	}
	omitted := l.summary(now)
	l.mu.Unlock()
	for kind, n := range omitted {
		l.first.Warn().Str("event", LinesOmitted.Name).Str("kind", kind).Int64("lines", n).Msg("")
	}
	return ok
}

// summary returns how many lines of each kind were left out since the last
// summary, if it is time for another.
func (l *Logger) summary(now time.Time) map[string]int64 {
	if now.Sub(l.summed) < summaryPause {
		return nil
	}
	l.summed = now
	out := make(map[string]int64)
	for key, b := range l.budgets {
		if b.omitted > 0 {
			out[key.kind.Name] += b.omitted
			b.omitted = 0
		}
	}
	if n := l.sink.takeDropped(); n > 0 {
		out["output"] = n
	}
	return out
}

// Flush waits until all lines are written, at the most for limit. Lines may
// still be written afterwards.
func (l *Logger) Flush(limit time.Duration) { l.sink.flush(limit) }
