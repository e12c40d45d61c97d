// Package front speaks HTTP/1.1 with callers. It reads each request whole and
// strictly, notices when a caller goes away, and writes answers and streams.
// The formats are fasthttp's; the loop over a connection is kept here because
// fasthttp's server doesn't tell a handler that its caller has gone.
package front

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/valyala/fasthttp"

	"wigeonplank.example/core/fleet"
	"wigeonplank.example/relay/logs"
)

// Defaults and bounds of a connection.
const (
	defaultHeaderBytes   = 16 << 10
	defaultBodyBytes     = 4 << 20
	defaultHeaderTimeout = 3 * time.Second
	defaultIdle          = 15 * time.Second
	bodyTimeout          = 10 * time.Second       // for a whole body
	writeTimeout         = 10 * time.Second       // a caller that takes nothing for so long is gone
	lingerTime           = 500 * time.Millisecond // unread bytes are taken so long after the last answer
)

// Server answers callers. Set the exported fields before Serve.
type Server struct {
	// Handle answers one request. It blocks until the answer is written.
	Handle func(x *Exchange)
	// Limits returns the limits in force.
	Limits func() fleet.Limits
	Log    *logs.Logger

	ln       net.Listener
	mu       sync.Mutex
	idle     map[net.Conn]bool // open connections; true: no request under way
	closed   bool              // no more requests are taken
	stopping atomic.Bool
	active   atomic.Int64
	wg       sync.WaitGroup
}

// Active returns the number of requests under way.
func (s *Server) Active() int64 { return s.active.Load() }

// Stopping reports whether Stop was called.
func (s *Server) Stopping() bool { return s.stopping.Load() }

// Serve accepts connections from ln until Stop. It blocks.
func (s *Server) Serve(ln net.Listener) error {
	s.mu.Lock()
	s.ln = ln
	if s.idle == nil {
		s.idle = make(map[net.Conn]bool)
	}
	s.mu.Unlock()
	for {
		c, err := ln.Accept()
		if err != nil {
			if s.stopping.Load() {
				return nil
			}
			var ne net.Error
			if errors.As(err, &ne) && ne.Timeout() {
				continue
			}
			return fmt.Errorf("accept callers: %w", err)
		}
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			s.serve(c)
		}()
	}
}

// Stop serves new requests for a while longer, until accept ends: the balancer
// has to notice first. Then it takes no more, and lets those under way end until
// ctx does. It blocks until all connections are closed.
func (s *Server) Stop(ctx, accept context.Context) {
	s.stopping.Store(true)
	<-accept.Done()
	s.mu.Lock()
	s.closed = true
	if s.ln != nil {
		_ = s.ln.Close() // nothing is left to accept
	}
	for c, idle := range s.idle {
		if idle {
			_ = c.Close() // its goroutine ends by this
		}
	}
	s.mu.Unlock()
	ended := make(chan struct{})
	go func() {
		s.wg.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return
	case <-ctx.Done():
	}
	s.mu.Lock()
	for c := range s.idle {
		_ = c.Close() // its goroutine ends by this
	}
	s.mu.Unlock()
	<-ended
}

func (s *Server) limits() fleet.Limits {
	l := s.Limits()
	if l.HeaderBytes == 0 {
		l.HeaderBytes = defaultHeaderBytes
	}
	if l.BodyBytes == 0 {
		l.BodyBytes = defaultBodyBytes
	}
	if l.HeaderTimeout == 0 {
		l.HeaderTimeout = defaultHeaderTimeout
	}
	if l.IdleTimeout == 0 {
		l.IdleTimeout = defaultIdle
	}
	return l
}

// mark records whether a request is under way on a connection. It reports false
// if the connection has to end instead.
func (s *Server) mark(c net.Conn, idle bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idle[c] = idle
	return !s.closed
}

func (s *Server) forget(c net.Conn) {
	s.mu.Lock()
	delete(s.idle, c)
	s.mu.Unlock()
	// Whatever ended the connection is already known.
	_ = c.Close()
}

// peeked is what a wait for the first byte of a request came to.
type peeked struct{ err error }

func (s *Server) serve(c net.Conn) {
	defer s.forget(c)
	limits := s.limits()
	br := bufio.NewReaderSize(c, limits.HeaderBytes)
	next := make(chan peeked, 1)
	if !s.mark(c, true) {
		return
	}
	_ = c.SetReadDeadline(time.Now().Add(limits.IdleTimeout)) // fails only on a closed connection
	_, err := br.Peek(1)
	for err == nil {
		limits = s.limits()
		if !s.mark(c, false) {
			return
		}
		s.active.Add(1)
		keep := s.exchange(c, br, limits, next)
		s.active.Add(-1)
		if !keep {
			return
		}
		if !s.mark(c, true) {
			return
		}
		_ = c.SetReadDeadline(time.Now().Add(limits.IdleTimeout)) // fails only on a closed connection
		err = (<-next).err
	}
}

// exchange reads one request and has it answered. It reports whether the
// connection goes on; next then receives when the next request begins.
func (s *Server) exchange(c net.Conn, br *bufio.Reader, limits fleet.Limits, next chan peeked) bool {
	x := &Exchange{Began: time.Now(), conn: c, server: s}
	_ = c.SetReadDeadline(x.Began.Add(limits.HeaderTimeout)) // fails only on a closed connection
	if bad := x.read(c, br, limits); bad != nil {
		if bad.Status != 0 {
			s.Log.Failure(logs.RequestRejected).Str("caller", c.RemoteAddr().String()).
				Int("status", bad.Status).Str("reason", bad.Reason).Msg("")
			x.close = true
			x.Refuse(bad.Status, 0)
			linger(c)
		}
		return false
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	x.Context = ctx
	_ = c.SetReadDeadline(time.Time{}) // fails only on a closed connection
	go func() {
		// The caller sends nothing until it has its answer: an error here means
		// that it has gone.
		_, err := br.Peek(1)
		if err != nil {
			cancel()
		}
		next <- peeked{err: err}
	}()
	s.Handle(x)
	if !x.answered || x.close {
		_ = c.Close() // its reader ends by this
		<-next
		return false
	}
	return true
}

// linger takes what the caller still sends, so that closing doesn't reset the
// connection before the answer has arrived.
func linger(c net.Conn) {
	t, ok := c.(*net.TCPConn)
	if !ok || t.CloseWrite() != nil {
		return
	}
	_ = c.SetReadDeadline(time.Now().Add(lingerTime)) // fails only on a closed connection
	buf := make([]byte, 4<<10)
	for {
		if _, err := c.Read(buf); err != nil {
			return
		}
	}
}

// Exchange is one request and its answer. It is used by one goroutine.
type Exchange struct {
	Context context.Context // ends when the caller has gone
	Began   time.Time       // when the first byte was there
	Head    fasthttp.RequestHeader
	Body    []byte

	conn     net.Conn
	server   *Server
	answered bool // the answer is whole
	begun    bool
	close    bool // the connection ends after this answer
	status   int
	out      []byte
}

// Status returns the status of the answer, 0 if none was begun.
func (x *Exchange) Status() int { return x.status }

// Gone reports whether the caller has closed its connection.
func (x *Exchange) Gone() bool { return x.Context != nil && x.Context.Err() != nil }

// Begun reports whether an answer was begun.
func (x *Exchange) Begun() bool { return x.begun }

func (x *Exchange) closing() bool {
	return x.close || x.Head.ConnectionClose() || x.server.Stopping()
}
