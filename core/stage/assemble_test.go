package stage_test

import (
	"bytes"
	"errors"
	"testing"

	"pgregory.net/rapid"

	"wigeonplank.example/core/stage"
)

// TestChunksInAnyOrder checks that doubled, overlapping and reordered chunks
// give the whole result, each byte once.
func TestChunksInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole := rapid.SliceOfN(rapid.Byte(), 1, 60).Draw(t, "whole")
		var asm stage.Assembler
		var passed []byte
		add := func(from, to int) {
			fresh, err := asm.Add(from, whole[from:to])
			if err != nil {
				t.Fatalf("add %d to %d: %v", from, to, err)
			}
			passed = append(passed, fresh...)
		}
		for range rapid.IntRange(0, 30).Draw(t, "chunks") {
			from := rapid.IntRange(0, len(whole)-1).Draw(t, "from")
			add(from, rapid.IntRange(from+1, len(whole)).Draw(t, "to"))
		}
		if asm.Offset() < len(whole) {
			if err := asm.Close(len(whole)); err == nil {
				t.Fatalf("a result with a gap was closed")
			}
		}
		add(0, len(whole))
		if err := asm.Close(len(whole)); err != nil {
			t.Fatalf("close: %v", err)
		}
		if !bytes.Equal(passed, whole) {
			t.Fatalf("passed on %q, expected %q", passed, whole)
		}
	})
}

func TestRepeatedAnswerMustMatch(t *testing.T) {
	var asm stage.Assembler
	mustAdd(t, &asm, "abcd")
	asm.Restart()
	mustAdd(t, &asm, "ab")
	if _, err := asm.Add(2, []byte("xy")); !errors.As(err, new(*stage.DivergedError)) {
		t.Fatalf("got %v, expected DivergedError", err)
	}
}

func TestShorterRepeatIsNoWholeAnswer(t *testing.T) {
	var asm stage.Assembler
	mustAdd(t, &asm, "abcd")
	asm.Restart()
	mustAdd(t, &asm, "ab")
	if err := asm.Close(2); !errors.As(err, new(*stage.DivergedError)) {
		t.Fatalf("got %v, expected DivergedError", err)
	}
}

// mustAdd adds a chunk at the start.
func mustAdd(t *testing.T, asm *stage.Assembler, data string) {
	t.Helper()
	if _, err := asm.Add(0, []byte(data)); err != nil {
		t.Fatalf("add: %v", err)
	}
}
