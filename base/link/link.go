// Package link carries the messages of core/wire between entries and agents:
// one yamux session for each link, one stream for each call, and pings that
// find a silent connection long before TCP does.
package link

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"wigeonplank.example/core/wire"
)

// Timing of links. A request's deadline is a few seconds, so a silent link has
// to be found in well under one.
const (
	PingInterval     = 200 * time.Millisecond
	SilenceLimit     = 700 * time.Millisecond
	dialTimeout      = 500 * time.Millisecond
	handshakeTimeout = 500 * time.Millisecond
	writeTimeout     = 500 * time.Millisecond
	streamWindow     = 1 << 20
	acceptBacklog    = 1024
)

// SessionConfig returns the settings of a link's session: no silence of its own,
// and no wait of more than half a second.
func SessionConfig() *yamux.Config {
	c := yamux.DefaultConfig()
	c.EnableKeepAlive = false // the control stream has its own pings
	c.AcceptBacklog = acceptBacklog
	c.ConnectionWriteTimeout = writeTimeout
	c.StreamOpenTimeout = writeTimeout
	c.StreamCloseTimeout = 5 * time.Second
	c.MaxStreamWindowSize = streamWindow
	c.LogOutput = io.Discard
	return c
}

// Stream carries one call. Send may be used by many goroutines, Receive by one.
type Stream struct {
	// Silent is closed when the link under the stream is found silent. It is set
	// on streams that a Peer opened.
	Silent <-chan struct{}

	conn net.Conn
	r    *bufio.Reader
	mu   sync.Mutex // guards writes
}

// NewStream returns a Stream over a connection or a yamux stream.
func NewStream(c net.Conn) *Stream { return &Stream{conn: c, r: bufio.NewReader(c)} }

// Send writes messages, all in one write.
func (s *Stream) Send(list ...proto.Message) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return fmt.Errorf("set write deadline: %w", err)
	}
	return wire.Write(s.conn, list...)
}

// Receive reads the next message into m. It blocks until one arrives or the
// stream ends.
func (s *Stream) Receive(m proto.Message) error { return wire.Read(s.r, m) }

// ReceiveWithin is Receive with a bound on the wait.
func (s *Stream) ReceiveWithin(m proto.Message, d time.Duration) error {
	if err := s.conn.SetReadDeadline(time.Now().Add(d)); err != nil {
		return fmt.Errorf("set read deadline: %w", err)
	}
	err := wire.Read(s.r, m)
	if e := s.conn.SetReadDeadline(time.Time{}); err == nil && e != nil {
		return fmt.Errorf("clear read deadline: %w", e)
	}
	return err
}

// Close ends the stream. A Receive that is under way returns an error.
func (s *Stream) Close() {
	// The peer learns of the end either way.
	_ = s.conn.Close()
}
