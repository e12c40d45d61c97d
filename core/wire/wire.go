// Package wire defines the messages that entries and agents exchange, and their
// framing on a byte stream.
package wire

import (
	"bufio"
	"bytes"
	"fmt"
	"io"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// MaxMessageBytes is the maximum size of one message. It allows for a
// configuration document of 1 MiB, or the body of a caller's request, and the
// other fields of the message.
const MaxMessageBytes = 2 << 20

// MaxChunkBytes is the maximum size of the data in one Chunk.
const MaxChunkBytes = 32 << 10

// Write writes messages to w, each preceded by its length, in one call of
// w.Write.
func Write(w io.Writer, msgs ...proto.Message) error {
	var buf bytes.Buffer
	for _, m := range msgs {
		if _, err := protodelim.MarshalTo(&buf, m); err != nil {
			return fmt.Errorf("encode %s: %w", m.ProtoReflect().Descriptor().Name(), err)
		}
	}
	if _, err := w.Write(buf.Bytes()); err != nil {
		return fmt.Errorf("write messages: %w", err)
	}
	return nil
}

// Read reads the next message from r into m. The error wraps io.EOF if the
// stream ended before the message.
func Read(r *bufio.Reader, m proto.Message) error {
	opts := protodelim.UnmarshalOptions{MaxSize: MaxMessageBytes}
	if err := opts.UnmarshalFrom(r, m); err != nil {
		return fmt.Errorf("read %s: %w", m.ProtoReflect().Descriptor().Name(), err)
	}
	return nil
}
