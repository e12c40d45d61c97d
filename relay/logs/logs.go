// Package logs writes a relay's decisions and changes of its state as JSON
// lines. Writing never blocks: lines that exceed the rate of their event are
// omitted and counted, and so are lines that standard output can't take in time.
package logs

import (
	"io"
	"sync"
	"time"

	"github.com/phuslu/log"

	"wigeonplank.example/core/clock"
)

const (
	burstPeriod     = 4 * time.Second // an event may write at once the lines that its rate allows in this period
	summaryInterval = 5 * time.Second // minimum time between reports of omitted lines
)

// Logger writes lines for the events of this package. Create it with New. It is
// safe for concurrent use.
type Logger struct {
	clock  clock.Clock
	sink   *sink
	normal log.Logger // lines of successful events
	urgent log.Logger // warnings and failures, which are written before other lines

	mu          sync.Mutex
	buckets     map[bucketKey]*bucket
	lastSummary time.Time // time of the last report of omitted lines
}

// bucketKey identifies a bucket. Failures of an event have a bucket of their own.
type bucketKey struct {
	eventType *EventType
	failure   bool
}

// bucket is the token bucket that limits the rate of an event.
type bucket struct {
	tokens     float64 // lines that may be written now
	refilledAt time.Time
	omitted    int64 // lines omitted since the last report
}

// New returns a Logger that writes to w. Each line contains the ID of the
// instance.
func New(w io.Writer, clk clock.Clock, instance string) *Logger {
	l := &Logger{clock: clk, sink: newSink(w), buckets: make(map[bucketKey]*bucket), lastSummary: clk.Now()}
	context := log.NewContext(nil).Str("program", "relay").Str("instance", instance).Value()
	l.normal = log.Logger{Level: log.InfoLevel, Writer: log.IOWriter{Writer: l.sink.normal}, Context: context}
	l.urgent = log.Logger{Level: log.InfoLevel, Writer: log.IOWriter{Writer: l.sink.urgent}, Context: context}
	return l
}

// Event begins a line, which the caller completes with Msg. It returns nil, whose
// methods do nothing, if the event has exceeded its rate.
func (l *Logger) Event(t *EventType) *log.Entry {
	if !l.allow(bucketKey{eventType: t}) {
		return nil
	}
	if t.Level == log.WarnLevel || t.Level == log.ErrorLevel {
		return l.urgent.WithLevel(t.Level).Str("event", t.Name)
	}
	return l.normal.WithLevel(t.Level).Str("event", t.Name)
}

// Failure is like Event, but begins a warning about a failure. Failures have a
// rate of their own, so that successful events can't displace them, and are
// written before lines of successful events.
func (l *Logger) Failure(t *EventType) *log.Entry {
	if !l.allow(bucketKey{eventType: t, failure: true}) {
		return nil
	}
	return l.urgent.Warn().Str("event", t.Name)
}

// allow takes a token from a bucket. It reports false, and counts a line as
// omitted, if the bucket is empty. It also reports omitted lines if a report is
// due.
func (l *Logger) allow(key bucketKey) bool {
	now := l.clock.Now()
	rate := float64(key.eventType.MaxPerSecond)
	l.mu.Lock()
	b := l.buckets[key]
	if b == nil {
		b = &bucket{tokens: rate * burstPeriod.Seconds(), refilledAt: now}
		l.buckets[key] = b
	}
	b.tokens = min(rate*burstPeriod.Seconds(), b.tokens+rate*now.Sub(b.refilledAt).Seconds())
	b.refilledAt = now
	ok := b.tokens >= 1
	if ok {
		b.tokens--
	} else {
		b.omitted++
	}
	omitted := l.takeOmitted(now)
	l.mu.Unlock()
	for event, n := range omitted {
		l.urgent.Warn().Str("event", LinesOmitted.Name).Str("kind", event).Int64("lines", n).Msg("")
	}
	return ok
}

// takeOmitted returns and resets the number of omitted lines of each event, if a
// report is due; otherwise it returns nil. The key "output" counts the lines that
// standard output didn't take. The caller holds l.mu.
func (l *Logger) takeOmitted(now time.Time) map[string]int64 {
	if now.Sub(l.lastSummary) < summaryInterval {
		return nil
	}
	l.lastSummary = now
	out := make(map[string]int64)
	for key, b := range l.buckets {
		if b.omitted > 0 {
			out[key.eventType.Name] += b.omitted
			b.omitted = 0
		}
	}
	if n := l.sink.takeDropped(); n > 0 {
		out["output"] = n
	}
	return out
}

// Flush waits up to timeout until all queued lines are written. The Logger can
// still be used afterwards.
func (l *Logger) Flush(timeout time.Duration) { l.sink.flush(timeout) }
