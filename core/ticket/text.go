// Package ticket lets requests that are not idempotent run at most once. The
// caller holds the state in a ticket. For each stage, a ticket names an
// incarnation of an agent and a serial that this incarnation issued. Only that
// agent decides whether the serial may run.
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

// MaxTextBytes is the maximum length of an encoded ticket.
const MaxTextBytes = 4 << 10

// ErrMalformed indicates that a text is not an encoded ticket.
var ErrMalformed = errors.New("malformed ticket")

// Encode returns a ticket as text that can be used in a header and in a URL path.
func Encode(b *wire.TicketBody) (string, error) {
	raw, err := proto.Marshal(b)
	if err != nil {
		return "", fmt.Errorf("encode ticket: %w", err)
	}
	return base64.RawURLEncoding.EncodeToString(raw), nil
}

// Decode parses an encoded ticket. For a text that isn't one, it returns an
// error that wraps ErrMalformed. It doesn't verify the serials: only the agent
// that issued a serial can.
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

// Digest returns a digest that identifies a request by its pipeline, team and
// body. Each part is prefixed with its length, so that different requests can't
// have the same input to the hash.
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
