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

const long = 20 * time.Second // nothing is judged by it

// lines is a writer that a test reads.
type lines struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *lines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(b)
}

func (l *lines) count(text string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return strings.Count(l.buf.String(), text)
}

// TestKindOverItsRate leaves lines out, counts them, and keeps failures apart.
func TestKindOverItsRate(t *testing.T) {
	clk := clock.NewFake(time.Unix(0, 0))
	var out lines
	l := logs.New(&out, clk, "a")
	const sent = 5000
	for range sent {
		l.Event(logs.RequestDone).Str("request", "x").Msg("")
	}
	l.Failure(logs.RequestDone).Str("request", "bad").Msg("")
	l.Flush(long)
	written := out.count(`"request":"x"`)
	if want := 4 * logs.RequestDone.PerSecond; written != want {
		t.Errorf("%d lines written, want %d", written, want)
	}
	if out.count(`"request":"bad"`) != 1 {
		t.Error("the failure was left out")
	}
	clk.Advance(time.Minute)
	l.Event(logs.Started).Msg("")
	l.Flush(long)
	if want := `"kind":"request_done","lines":4200`; out.count(want) != 1 {
		t.Errorf("no summary %s in %s", want, out.buf.String()[max(0, out.buf.Len()-500):])
	}
}

// TestShutOutput goes on when nobody reads standard output.
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
	l.Flush(long)
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

func BenchmarkLineLeftOut(b *testing.B) {
	l := logs.New(io.Discard, clock.NewFake(time.Unix(0, 0)), "a")
	b.ReportAllocs()
	for range b.N {
		l.Event(logs.AttemptDone).Str("request", "9c41d07be2a35f68").Msg("")
	}
}
