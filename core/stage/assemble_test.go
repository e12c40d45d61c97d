package stage_test

import (
	"bytes"
	"errors"
	"testing"

	"pgregory.net/rapid"

	"wigeonplank.example/core/stage"
)

// TestChunksInAnyOrder checks that duplicate, overlapping and reordered chunks
// yield the whole result with each byte once, and that a result with a gap is
// not accepted as complete.
func TestChunksInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		whole := rapid.SliceOfN(rapid.Byte(), 1, 60).Draw(t, "whole")
		var asm stage.Assembler
		var returned []byte
		add := func(from, to int) {
			fresh, err := asm.Add(from, whole[from:to])
			if err != nil {
				t.Fatalf("add bytes %d to %d: %v", from, to, err)
			}
			returned = append(returned, fresh...)
		}
		for range rapid.IntRange(0, 30).Draw(t, "chunks") {
			from := rapid.IntRange(0, len(whole)-1).Draw(t, "from")
			add(from, rapid.IntRange(from+1, len(whole)).Draw(t, "to"))
		}
		if asm.Offset() < len(whole) {
			if err := asm.CheckComplete(len(whole)); err == nil {
				t.Fatalf("a result with a gap was accepted as complete")
			}
		}
		add(0, len(whole))
		if err := asm.CheckComplete(len(whole)); err != nil {
			t.Fatalf("check of the whole result: %v", err)
		}
		if !bytes.Equal(returned, whole) {
			t.Fatalf("returned %q, want %q", returned, whole)
		}
	})
}

// TestRepeatedAnswerMustMatch checks that a repeated attempt with other bytes than
// those already returned is rejected.
func TestRepeatedAnswerMustMatch(t *testing.T) {
	var asm stage.Assembler
	mustAdd(t, &asm, "abcd")
	asm.Restart()
	mustAdd(t, &asm, "ab")
	if _, err := asm.Add(2, []byte("xy")); !errors.As(err, new(*stage.DivergedError)) {
		t.Fatalf("got %v, want DivergedError", err)
	}
}

// TestShorterRepeatFailsCheck checks that a repeated attempt that ends before the
// last byte already returned is not accepted as complete.
func TestShorterRepeatFailsCheck(t *testing.T) {
	var asm stage.Assembler
	mustAdd(t, &asm, "abcd")
	asm.Restart()
	mustAdd(t, &asm, "ab")
	if err := asm.CheckComplete(2); !errors.As(err, new(*stage.DivergedError)) {
		t.Fatalf("got %v, want DivergedError", err)
	}
}

// mustAdd adds a chunk at offset 0 and fails the test on an error.
func mustAdd(t *testing.T, asm *stage.Assembler, data string) {
	t.Helper()
	if _, err := asm.Add(0, []byte(data)); err != nil {
		t.Fatalf("add: %v", err)
	}
}
