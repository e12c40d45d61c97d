// Package wire holds the messages that entries and agents exchange, and the
// framing that puts them on a byte stream.
package wire

import (
	"bufio"
	"bytes"
	"fmt"
	"io"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
)

// MaxMessageBytes bounds one message: a configuration document of 1 MiB, or a
// caller's body, with room for the fields around it.
const MaxMessageBytes = 2 << 20

// MaxChunkBytes bounds the data of one Chunk.
const MaxChunkBytes = 32 << 10

// Write puts messages on w, each preceded by its length, in one call of w.Write.
func Write(w io.Writer, list ...proto.Message) error {
	var buf bytes.Buffer
	for _, m := range list {
		if _, err := protodelim.MarshalTo(&buf, m); err != nil {
			return fmt.Errorf("encode %s: %w", m.ProtoReflect().Descriptor().Name(), err)
		}
	}
	if _, err := w.Write(buf.Bytes()); err != nil {
		return fmt.Errorf("write messages: %w", err)
	}
	return nil
}

// Read fills m with the next message of r. It returns an error that wraps
// io.EOF if the stream ended before a message.
func Read(r *bufio.Reader, m proto.Message) error {
	opts := protodelim.UnmarshalOptions{MaxSize: MaxMessageBytes}
	if err := opts.UnmarshalFrom(r, m); err != nil {
		return fmt.Errorf("read %s: %w", m.ProtoReflect().Descriptor().Name(), err)
	}
	return nil
}
