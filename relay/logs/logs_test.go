package logs_test

import (
	"bytes"
	"io"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"wigeonplank.example/core/clock"
	"wigeonplank.example/relay/logs"
)

const flushTimeout = 20 * time.Second // generous, as no test measures the time of a flush

// syncBuffer is an io.Writer whose contents a test can read concurrently.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *syncBuffer) count(text string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return strings.Count(b.buf.String(), text)
}

// TestKindOverItsRate checks that lines of an event that exceed its rate are
// omitted and counted, and that failures have a rate of their own.
func TestKindOverItsRate(t *testing.T) {
	clk := clock.NewFake(time.Unix(0, 0))
	var out syncBuffer
	l := logs.New(&out, clk, "a")
	const sent = 5000
	for range sent {
		l.Event(logs.RequestDone).Str("request", "x").Msg("")
	}
	l.Failure(logs.RequestDone).Str("request", "bad").Msg("")
	l.Flush(flushTimeout)
	written := out.count(`"request":"x"`)
	if want := 4 * logs.RequestDone.MaxPerSecond; written != want {
		t.Errorf("%d lines written, want %d", written, want)
	}
	if out.count(`"request":"bad"`) != 1 {
		t.Error("the failure was omitted")
	}
	clk.Advance(time.Minute)
	l.Event(logs.Started).Msg("")
	l.Flush(flushTimeout)
	if want := `"kind":"request_done","lines":4200`; out.count(want) != 1 {
		t.Errorf("no report %s of omitted lines at the end of %s", want, out.buf.String()[max(0, out.buf.Len()-500):])
	}
}

// TestShutOutput checks that writing doesn't block while nothing reads standard
// output.
func TestShutOutput(t *testing.T) {
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	clk := clock.NewFake(time.Unix(0, 0))
	l := logs.New(w, clk, "a")
	for range 20_000 {
		clk.Advance(time.Second / 100)
		l.Event(logs.StageCall).Str("endpoint", strings.Repeat("e", 100)).Msg("")
	}
	go func() { _, _ = io.Copy(io.Discard, r) }()
	l.Flush(flushTimeout)
	_ = w.Close()
	_ = r.Close()
}

func BenchmarkLine(b *testing.B) {
	clk := clock.NewFake(time.Unix(0, 0))
	l := logs.New(io.Discard, clk, "a")
	b.ReportAllocs()
	for range b.N {
		clk.Advance(time.Second)
		l.Event(logs.AttemptDone).Str("request", "9c41d07be2a35f68").Str("endpoint", "i-7f3a91c2").Int("attempt", 1).
			Str("result", "good").Str("end", "done").Str("reason", "").Dur("since_ms", time.Second).Msg("")
	}
}

func BenchmarkOmittedLine(b *testing.B) {
	l := logs.New(io.Discard, clock.NewFake(time.Unix(0, 0)), "a")
	b.ReportAllocs()
	for range b.N {
		l.Event(logs.AttemptDone).Str("request", "9c41d07be2a35f68").Msg("")
	}
}
