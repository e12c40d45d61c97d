package engine

import (
	"strings"
	"testing"
)

const testMaxTokens = 8

func read(stream string, next int) (text string, n int, out Outcome, complete bool) {
	var b strings.Builder
	n, out, complete = readTokens(strings.NewReader(stream), next, testMaxTokens, func(p []byte) { b.Write(p) })
	return b.String(), n, out, complete
}

const doneLine = "data: [DONE]\n\n"

func event(index, text string) string {
	return `data: {"index":` + index + `,"text":"` + text + "\"}\n\n"
}

func TestDoubledTokensAreDropped(t *testing.T) {
	text, n, _, complete := read(event("0", "a")+event("0", "a")+event("1", "b")+event("0", "a")+doneLine, 0)
	if text != "ab" || n != 2 || !complete {
		t.Fatalf("got %q, %d tokens, complete %v; want \"ab\", 2 tokens, complete true", text, n, complete)
	}
}

func TestSkippedTokenIsAFailure(t *testing.T) {
	text, _, out, complete := read(event("0", "a")+event("2", "c")+doneLine, 0)
	if text != "a" || complete || out.Failure == "" {
		t.Fatalf("got %q, complete %v, failure %q; want \"a\", complete false and a failure", text, complete, out.Failure)
	}
}

func TestStreamWithoutDoneMarkerIsIncomplete(t *testing.T) {
	if _, _, out, complete := read(event("0", "a"), 0); complete || out.Failure == "" {
		t.Fatalf("got complete %v, failure %q; want complete false and a failure", complete, out.Failure)
	}
}

func TestResumeSkipsReceivedTokens(t *testing.T) {
	if text, _, _, complete := read(event("1", "b")+event("2", "c")+doneLine, 2); text != "c" || !complete {
		t.Fatalf("got %q, complete %v; want \"c\", complete true", text, complete)
	}
}

// FuzzTokens reads arbitrary bytes as an engine's stream: readTokens must not
// panic, and only a stream with the done marker is complete.
func FuzzTokens(f *testing.F) {
	f.Add(event("0", "a") + doneLine)
	f.Add("data: {}\n")
	f.Fuzz(func(t *testing.T, stream string) {
		if _, _, _, complete := read(stream, 0); complete && !strings.Contains(stream, "[DONE]") {
			t.Fatal("a stream without the done marker is complete")
		}
	})
}
