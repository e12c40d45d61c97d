package link

import (
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

// Session is a yamux session whose streams stop reading before it shuts down. A
// reader of yamux's own streams runs in a busy loop from the shutdown of their session
// until its connection is closed and all its goroutines have ended, which takes
// seconds on an instance with a small share of a core. Messages that have arrived by
// then can still be received.
type Session struct {
	yamux *yamux.Session

	mu      sync.Mutex
	streams []*Stream
	aborted bool
}

// NewClient returns the session of the side that dialed conn.
func NewClient(conn net.Conn) (*Session, error) { return newSession(conn, yamux.Client) }

// NewServer returns the session of the side that accepted conn.
func NewServer(conn net.Conn) (*Session, error) { return newSession(conn, yamux.Server) }

// guardedConn calls abort before it returns an error to yamux, which then shuts
// down the session.
type guardedConn struct {
	net.Conn
	abort func()
}

// Read reads from the connection.
func (c *guardedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		c.abort()
	}
	return n, err
}

// Write writes to the connection.
func (c *guardedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.abort()
	}
	return n, err
}

// newSession returns a session over conn. It closes conn if that fails.
func newSession(conn net.Conn, open func(c io.ReadWriteCloser, cfg *yamux.Config) (*yamux.Session, error)) (*Session, error) {
	s := &Session{}
	y, err := open(&guardedConn{Conn: &limitedConn{Conn: conn}, abort: s.abort}, SessionConfig())
	if err != nil {
		_ = conn.Close() // nothing was sent on it
		return nil, fmt.Errorf("open session: %w", err)
	}
	s.yamux = y
	return s, nil
}

// OpenStream opens a stream.
func (s *Session) OpenStream() (*Stream, error) {
	c, err := s.yamux.Open()
	if err != nil {
		return nil, fmt.Errorf("open stream: %w", err)
	}
	return s.track(c), nil
}

// AcceptStream waits for a stream that the other side opens.
func (s *Session) AcceptStream() (*Stream, error) {
	c, err := s.yamux.Accept()
	if err != nil {
		return nil, fmt.Errorf("accept stream: %w", err)
	}
	return s.track(c), nil
}

// track returns a Stream over a stream of yamux that abort knows.
func (s *Session) track(c net.Conn) *Stream {
	st := NewStream(c)
	s.mu.Lock()
	s.streams = append(s.streams, st)
	aborted := s.aborted
	s.mu.Unlock()
	if aborted {
		st.abort()
	}
	return st
}

// abort ends all reads from streams of the session, now and later.
func (s *Session) abort() {
	s.mu.Lock()
	s.aborted = true
	streams := s.streams
	s.mu.Unlock()
	for _, st := range streams {
		st.abort()
	}
}

// Close ends the session and its streams.
func (s *Session) Close() {
	s.abort()
	_ = s.yamux.Close() // the session isn't used again
}

// longAgo is a read deadline that has passed.
var longAgo = time.Unix(1, 0)

// abort makes pending and later receives return what has arrived, and then fail.
func (s *Stream) abort() {
	s.aborted.Store(true)
	_ = s.conn.SetReadDeadline(longAgo) // fails only on a stream that is closed
}

// setReadDeadline sets the read deadline, unless the stream has ended.
func (s *Stream) setReadDeadline(t time.Time) error {
	err := s.conn.SetReadDeadline(t)
	if s.aborted.Load() {
		return s.conn.SetReadDeadline(longAgo)
	}
	return err
}
