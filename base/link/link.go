// Package link transports the messages of core/wire between entries and agents.
// A link is one yamux session over one connection, with a stream for each call
// and a control stream. Pings on the control stream detect a silent connection
// long before TCP does.
package link

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"wigeonplank.example/base/stall"
	"wigeonplank.example/core/wire"
)

// Timeouts and sizes of links. Deadlines of requests are a few seconds, so a
// silent link has to be detected in well under one second.
const (
	PingInterval     = 200 * time.Millisecond
	SilenceTimeout   = 700 * time.Millisecond
	dialTimeout      = 500 * time.Millisecond
	handshakeTimeout = 500 * time.Millisecond
	writeTimeout     = 500 * time.Millisecond // of a part of a message
	sessionTimeout   = 10 * time.Second       // of yamux, whose timers don't notice a standstill; others end a link earlier
	maxPartBytes     = 32 << 10
	maxStreamWindow  = 256 << 10 // bytes; a ping may wait behind as many of every other stream
	acceptBacklog    = 1024      // streams

	maxStallExtension = 3 // extensions of a limit in a row, as this process stood still
)

// SessionConfig returns the yamux configuration of a link's session. It disables the
// keep-alive of yamux. Its limits for writes and for opening streams are above what pings and
// limitedConn allow.
func SessionConfig() *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = false // the control stream has its own pings
	cfg.AcceptBacklog = acceptBacklog
	cfg.ConnectionWriteTimeout = sessionTimeout
	cfg.StreamOpenTimeout = sessionTimeout
	cfg.StreamCloseTimeout = 5 * time.Second
	cfg.MaxStreamWindowSize = maxStreamWindow
	cfg.LogOutput = io.Discard
	return cfg
}

// Stream exchanges messages over a connection or a yamux stream. Send is safe for
// concurrent use; Receive and ReceiveWithin must be called by one goroutine at a
// time.
type Stream struct {
	// Silent is closed when the link of the stream becomes silent. It is nil unless
	// the stream was opened by a Peer.
	Silent <-chan struct{}

	conn     net.Conn
	r        *bufio.Reader
	limit    time.Duration // without progress, of the current ReceiveWithin; 0: none
	deadline time.Time     // end of limit
	extended int           // number of extensions since the last progress
	mu       sync.Mutex    // serializes writes
	aborted  atomic.Bool   // the stream was closed, or its Session has ended
}

// NewStream returns a Stream over a connection or a yamux stream.
func NewStream(c net.Conn) *Stream {
	s := &Stream{conn: c}
	s.r = bufio.NewReader((*progressReader)(s))
	return s
}

// Send writes the messages. It returns an error if the connection makes no progress for
// 500 ms.
func (s *Stream) Send(msgs ...proto.Message) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return wire.Write((*partWriter)(s), msgs...)
}

// partWriter writes to the connection of a Stream in parts, each with a time limit of its
// own. Other streams of the session are written between two parts.
type partWriter Stream

func (w *partWriter) Write(p []byte) (int, error) {
	written := 0
	for written < len(p) {
		n, err := writeWithin(w.conn, p[written:min(written+maxPartBytes, len(p))])
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// limitedConn ends a connection of a session that takes nothing for writeTimeout. It belongs
// below TLS, which allows no write after a timeout.
type limitedConn struct{ net.Conn }

// Write writes to the connection.
func (c *limitedConn) Write(p []byte) (int, error) { return writeWithin(c.Conn, p) }

// writeWithin writes p to c. It returns a timeout error if c takes nothing for writeTimeout. A
// timeout that is noticed so late that this process must have stood still is prolonged.
func writeWithin(c net.Conn, p []byte) (int, error) {
	written, extended, limit := 0, 0, writeTimeout
	for {
		deadline := time.Now().Add(limit)
		if err := c.SetWriteDeadline(deadline); err != nil {
			return written, fmt.Errorf("set write deadline: %w", err)
		}
		n, err := c.Write(p[written:])
		written += n
		switch {
		case !isTimeout(err):
			return written, err
		case n > 0:
			extended, limit = 0, writeTimeout
		case extended < maxStallExtension && stall.Late(deadline):
			extended++
			limit = stall.Grace
		default:
			return written, err
		}
	}
}

// progressReader reads from the connection of a Stream. What arrives extends the time
// limit of ReceiveWithin.
type progressReader Stream

func (r *progressReader) Read(p []byte) (int, error) {
	s := (*Stream)(r)
	n, err := r.conn.Read(p)
	for n == 0 && isTimeout(err) && s.extendLimit() {
		n, err = r.conn.Read(p)
	}
	if n > 0 && err == nil && r.limit > 0 {
		err = s.startLimit()
	}
	return n, err
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// startLimit begins the time within which something must arrive.
func (s *Stream) startLimit() error {
	s.deadline, s.extended = time.Now().Add(s.limit), 0
	return s.setReadDeadline(s.deadline)
}

// extendLimit prolongs the time within which something must arrive, if its end was noticed so
// late that this process must have stood still. Otherwise it returns false.
func (s *Stream) extendLimit() bool {
	if s.limit == 0 || s.aborted.Load() || s.extended == maxStallExtension || !stall.Late(s.deadline) {
		return false
	}
	s.extended++
	s.deadline = time.Now().Add(stall.Grace)
	return s.setReadDeadline(s.deadline) == nil
}

// Receive reads the next message into m. It blocks until one arrives or the
// stream ends.
func (s *Stream) Receive(m proto.Message) error { return wire.Read(s.r, m) }

// ReceiveWithin is like Receive, but returns a timeout error if nothing arrives for d. A
// message may take longer as long as parts of it arrive.
func (s *Stream) ReceiveWithin(m proto.Message, d time.Duration) error {
	s.limit = d
	defer func() { s.limit = 0 }()
	if err := s.startLimit(); err != nil {
		return fmt.Errorf("set read deadline: %w", err)
	}
	err := wire.Read(s.r, m)
	if clearErr := s.setReadDeadline(time.Time{}); err == nil && clearErr != nil {
		return fmt.Errorf("clear read deadline: %w", clearErr)
	}
	return err
}

// Close closes the stream. A pending Receive returns what has arrived, or an error:
// yamux alone would let it wait for the other side to close the stream too.
func (s *Stream) Close() {
	s.abort()
	// The peer sees the end of the stream even if this fails.
	_ = s.conn.Close()
}
