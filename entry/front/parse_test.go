package front

import (
	"strings"
	"testing"
	"unicode/utf8"
)

func TestInvalidBodiesAreRejected(t *testing.T) {
	for _, raw := range []string{
		``, `[]`, `{"team": 1}`, `{"input": "a", "unknown": 1}`, `{"input": "a"} {"input": "b"}`,
		`{"deadline_ms": "1s"}`, `{"input": "a"`, `null garbage`,
	} {
		var b callBody
		p := decodeStrict([]byte(raw), &b)
		if p == nil || p.Status != 400 || p.Outcome != "not_run" {
			t.Errorf("%q: got %+v, expected status 400 and outcome not_run", raw, p)
		}
	}
}

func TestTypeErrorNamesField(t *testing.T) {
	var b callBody
	if p := decodeStrict([]byte(`{"deadline_ms": "1s"}`), &b); p == nil || p.Field != "deadline_ms" {
		t.Fatalf("got %+v, expected field deadline_ms", p)
	}
}

// TestEventsSplitNoCharacter guards against events that hold a part of a character,
// also if that is all that has arrived.
func TestEventsSplitNoCharacter(t *testing.T) {
	text := "አዲስ አበባ ✓ plain 😀"
	for cut := range len(text) + 1 {
		want := cut
		for !utf8.ValidString(text[:want]) {
			want--
		}
		if got := completeRunes([]byte(text[:cut])); got != want {
			t.Errorf("cut at %d: %d bytes, want %d", cut, got, want)
		}
	}
	if n := completeRunes([]byte(strings.Repeat("\xff", 5))); n != 5 {
		t.Errorf("invalid UTF-8: got %d bytes, expected 5", n)
	}
}

func FuzzBody(f *testing.F) {
	f.Add([]byte(`{"team":"t","input":"a","deadline_ms":5,"stream":true}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		var b callBody
		if p := decodeStrict(raw, &b); p != nil && p.Status != 400 {
			t.Fatalf("got status %d, expected 400", p.Status)
		}
	})
}
