package engine

import (
	"strings"
	"testing"
)

func read(stream string, next int) (text string, n int, out Outcome, whole bool) {
	var b strings.Builder
	n, out, whole = readTokens(strings.NewReader(stream), next, func(p []byte) { b.Write(p) })
	return b.String(), n, out, whole
}

const doneLine = "data: [DONE]\n\n"

func event(index, text string) string {
	return `data: {"index":` + index + `,"text":"` + text + "\"}\n\n"
}

func TestDoubledTokensAreDropped(t *testing.T) {
	text, n, _, whole := read(event("0", "a")+event("0", "a")+event("1", "b")+event("0", "a")+doneLine, 0)
	if text != "ab" || n != 2 || !whole {
		t.Fatalf("got %q, %d tokens, whole %v", text, n, whole)
	}
}

func TestSkippedTokenIsAFailure(t *testing.T) {
	text, _, out, whole := read(event("0", "a")+event("2", "c")+doneLine, 0)
	if text != "a" || whole || out.Failure == "" {
		t.Fatalf("got %q, whole %v, failure %q", text, whole, out.Failure)
	}
}

func TestStreamWithoutItsEndIsBroken(t *testing.T) {
	if _, _, out, whole := read(event("0", "a"), 0); whole || out.Failure == "" {
		t.Fatalf("whole %v, failure %q", whole, out.Failure)
	}
}

func TestResumedStreamStartsAtItsToken(t *testing.T) {
	if text, _, _, whole := read(event("1", "b")+event("2", "c")+doneLine, 2); text != "c" || !whole {
		t.Fatalf("got %q, whole %v", text, whole)
	}
}

// FuzzTokens reads foreign bytes as an engine's answer: no panic, and only a
// stream with its end mark is whole.
func FuzzTokens(f *testing.F) {
	f.Add(event("0", "a") + doneLine)
	f.Add("data: {}\n")
	f.Fuzz(func(t *testing.T, stream string) {
		if _, _, _, whole := read(stream, 0); whole && !strings.Contains(stream, "[DONE]") {
			t.Fatal("a stream without its end mark is whole")
		}
	})
}
