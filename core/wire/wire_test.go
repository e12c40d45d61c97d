package wire_test

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"testing"

	"google.golang.org/protobuf/proto"

	"wigeonplank.example/core/wire"
)

func TestReadSuccessiveFrames(t *testing.T) {
	var buf bytes.Buffer
	for i := range uint64(3) {
		if err := wire.Write(&buf, &wire.AttemptID{Entry: 1, Seq: i}); err != nil {
			t.Fatal(err)
		}
	}
	r := bufio.NewReader(&buf)
	for i := range uint64(3) {
		var id wire.AttemptID
		if err := wire.Read(r, &id); err != nil || id.GetSeq() != i {
			t.Fatalf("frame %d: %v, %v", i, &id, err)
		}
	}
	if err := wire.Read(r, &wire.AttemptID{}); !errors.Is(err, io.EOF) {
		t.Fatalf("after the last frame: %v, want io.EOF", err)
	}
}

// TestOversizedFrameIsRejected reads a frame whose length prefix is 4 GiB.
func TestOversizedFrameIsRejected(t *testing.T) {
	frame := []byte{0xff, 0xff, 0xff, 0xff, 0x0f}
	if err := wire.Read(bufio.NewReader(bytes.NewReader(frame)), &wire.Request{}); err == nil {
		t.Fatal("a frame of 4 GiB was accepted")
	}
}

// FuzzRead checks that Read doesn't panic, and that a message that was read is
// the same after it was written and read again.
func FuzzRead(f *testing.F) {
	var buf bytes.Buffer
	_ = wire.Write(&buf, &wire.Request{Kind: &wire.Request_Void{Void: &wire.Void{Incarnation: 7}}})
	f.Add(buf.Bytes())
	f.Fuzz(func(t *testing.T, raw []byte) {
		m := &wire.Request{}
		if wire.Read(bufio.NewReader(bytes.NewReader(raw)), m) != nil {
			return
		}
		var out bytes.Buffer
		if err := wire.Write(&out, m); err != nil {
			t.Fatal(err)
		}
		reread := &wire.Request{}
		if err := wire.Read(bufio.NewReader(&out), reread); err != nil || !proto.Equal(m, reread) {
			t.Fatalf("read the written message: %v, %v", reread, err)
		}
	})
}
