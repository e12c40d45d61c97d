// Package ticket makes requests that are not idempotent run at most once. The
// caller carries the state: a ticket names one incarnation of one agent and a
// serial that this incarnation handed out, and only that agent decides what
// becomes of the serial.
package ticket

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"

	"google.golang.org/protobuf/proto"

	"wigeonplank.example/core/wire"
)

// MaxTextBytes bounds a ticket's text.
const MaxTextBytes = 4 << 10

// ErrMalformed says that a text is not a ticket.
var ErrMalformed = errors.New("malformed ticket")

// Encode returns a ticket's text, safe in a header and in a URL path.
func Encode(b *wire.TicketBody) (string, error) {
	raw, err := proto.Marshal(b)
	if err != nil {
		return "", fmt.Errorf("encode ticket: %w", err)
	}
	return base64.RawURLEncoding.EncodeToString(raw), nil
}

// Decode reads a ticket's text. It returns an error that wraps ErrMalformed for
// any text that Encode can't have made. Only the agent can tell a forged serial.
func Decode(text string) (*wire.TicketBody, error) {
	if len(text) > MaxTextBytes {
		return nil, fmt.Errorf("%w: %d bytes", ErrMalformed, len(text))
	}
	raw, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil {
		return nil, fmt.Errorf("%w: not base64url", ErrMalformed)
	}
	b := &wire.TicketBody{}
	if err := proto.Unmarshal(raw, b); err != nil {
		return nil, fmt.Errorf("%w: not a ticket", ErrMalformed)
	}
	if b.GetPipeline() == "" || len(b.GetStages()) == 0 {
		return nil, fmt.Errorf("%w: no pipeline or no stage", ErrMalformed)
	}
	for _, s := range b.GetStages() {
		if s.GetStage() == "" || s.GetInstance() == "" || s.GetSerial() == nil {
			return nil, fmt.Errorf("%w: incomplete stage", ErrMalformed)
		}
	}
	return b, nil
}

// Digest identifies a caller's request: its pipeline, team and body.
func Digest(pipeline, team string, body []byte) []byte {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(pipeline), []byte(team), body} {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(part)))
		h.Write(n[:])
		h.Write(part)
	}
	return h.Sum(nil)
}
