// Package front is the relay's HTTP/1.1 server for callers. It reads each request
// completely and parses it strictly, cancels the request's context when the
// caller disconnects, and writes plain and streamed responses. It uses fasthttp's
// types for headers and bodies, but its own connection loop: fasthttp's server
// doesn't tell a handler that the caller has disconnected.
package front

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
	"golang.org/x/sys/unix"

	"wigeonplank.example/base/stall"
	"wigeonplank.example/core/fleet"
	plat "wigeonplank.example/platform"
	"wigeonplank.example/relay/logs"
)

// Default limits, and timeouts of a connection.
const (
	defaultMaxHeaderBytes = 16 << 10
	defaultMaxBodyBytes   = 4 << 20
	defaultHeaderTimeout  = 3 * time.Second
	defaultIdleTimeout    = 15 * time.Second
	bodyTimeout           = 10 * time.Second       // to read a whole body
	writeTimeout          = 10 * time.Second       // for one write; a caller that reads nothing for this long counts as disconnected
	lateWriteTimeout      = 250 * time.Millisecond // for one write, once Exchange.StreamUntil has passed
	lingerTimeout         = 500 * time.Millisecond // to discard input after the last response
	drainPeriod           = 200 * time.Millisecond // at a stop, for connections and requests that callers have sent already
	handlerEndTimeout     = 200 * time.Millisecond // for handlers to return once a stop is out of time
	maxStackBytes         = 4 << 10                // of a logged stack trace
	answerPeriod          = 100 * time.Millisecond // part of handlerEndTimeout in which they may still respond
)

// ErrStopped is the cause for which requests are cancelled that outlast a stop.
var ErrStopped = errors.New("server has stopped")

// Server serves callers. Set the exported fields before Serve.
type Server struct {
	// Handle handles one request. It returns once the response is written.
	Handle func(x *Exchange)
	// Limits returns the current limits. Defaults replace zero values.
	Limits func() fleet.Limits
	// BodyBudget returns the number of bytes that the large bodies of requests in flight may
	// have together. nil: 64 MB.
	BodyBudget func() int64
	Log        *logs.Logger

	ln       net.Listener
	mu       sync.Mutex
	conns    map[net.Conn]connState // open connections
	drainEnd time.Time              // from then on no request is taken; zero: Stop has not got that far
	stopEnd  time.Time              // when Stop cancels requests in flight; zero: it wasn't called, or its context has no deadline
	// outOfTime tells that Stop has cancelled the requests in flight. Guarded by mu.
	outOfTime bool
	stopping  atomic.Bool
	active    atomic.Int64
	bodies    bodyBudget
	wg        sync.WaitGroup // Serve and connections
}

// connState is what the server knows of an open connection.
type connState struct {
	cancel    context.CancelCauseFunc // ends the request in flight; nil: none was received
	idleSince time.Time               // while none was received
	idleLimit time.Duration           // from idleSince on, until the next request begins
}

// Active returns the number of requests in flight.
func (s *Server) Active() int64 { return s.active.Load() }

// Stopping reports whether Stop was called.
func (s *Server) Stopping() bool { return s.stopping.Load() }

// Serve accepts connections from ln until Stop is called. It blocks, and returns
// nil after Stop.
func (s *Server) Serve(ln net.Listener) error {
	s.mu.Lock()
	s.ln = ln
	if s.conns == nil {
		s.conns = make(map[net.Conn]connState)
	}
	s.wg.Add(1)
	s.mu.Unlock()
	defer s.wg.Done()
	defer func() { _ = ln.Close() }() // an error changes nothing: no connection is accepted any more
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
			return fmt.Errorf("accept caller's connection: %w", err)
		}
		s.wg.Add(1)
		go func() {
			defer s.wg.Done()
			s.serveConn(c)
		}()
	}
}

// Stop shuts the server down. It continues to accept requests until accept is
// done, so that the load balancer can notice that the relay isn't ready. Requests
// that callers have sent by then are still served, also those on connections that
// were not accepted yet; those that have not arrived whole are rejected. Then it closes
// the listener and idle connections, and waits for requests in flight. When ctx is done,
// it cancels them, and closes their connections after answerPeriod, in which handlers
// respond to callers that have no response yet. It blocks until all connections are
// closed, and no longer than handlerEndTimeout after ctx is done.
func (s *Server) Stop(ctx, accept context.Context) {
	s.mu.Lock()
	s.stopEnd, _ = ctx.Deadline()
	s.mu.Unlock()
	s.stopping.Store(true)
	<-accept.Done()
	s.drain()
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
	s.outOfTime = true
	s.mu.Unlock()
	s.forEachConn(func(_ net.Conn, cancel context.CancelCauseFunc) {
		if cancel != nil {
			cancel(ErrStopped)
		}
	})
	select {
	case <-ended:
		return
	case <-time.After(answerPeriod):
	}
	s.forEachConn(func(c net.Conn, _ context.CancelCauseFunc) { _ = c.Close() }) // ends its goroutine
	select {
	case <-ended:
	case <-time.After(handlerEndTimeout - answerPeriod):
	}
}

func (s *Server) forEachConn(f func(c net.Conn, cancel context.CancelCauseFunc)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c, st := range s.conns {
		f(c, st.cancel)
	}
}

// drain ends the listener, idle connections and the reading of requests after drainPeriod.
// Closing them at once would reset those on which a request has arrived that was not read yet.
func (s *Server) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	end := time.Now().Add(drainPeriod)
	s.drainEnd = end
	if l, ok := s.ln.(interface{ SetDeadline(t time.Time) error }); !ok || l.SetDeadline(end) != nil {
		if s.ln != nil {
			_ = s.ln.Close() // ends Serve
		}
	}
	for c, st := range s.conns {
		if st.cancel == nil {
			_ = c.SetReadDeadline(end) // fails only on a closed connection
		}
	}
}

// isDrained reports whether requests are no longer taken, as the server stops.
func (s *Server) isDrained() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drainEndPassed()
}

// drainEndPassed is isDrained for callers that hold s.mu.
func (s *Server) drainEndPassed() bool { return !s.drainEnd.IsZero() && time.Now().After(s.drainEnd) }

// limits returns the current limits, with defaults for those that aren't set.
func (s *Server) limits() fleet.Limits {
	l := s.Limits()
	if l.HeaderBytes == 0 {
		l.HeaderBytes = defaultMaxHeaderBytes
	}
	if l.BodyBytes == 0 {
		l.BodyBytes = defaultMaxBodyBytes
	}
	if l.HeaderTimeout == 0 {
		l.HeaderTimeout = defaultHeaderTimeout
	}
	if l.IdleTimeout == 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	return l
}

// setIdle records that no request is in flight on a connection, and sets the time by which the
// next one must begin.
func (s *Server) setIdle(c net.Conn, timeout time.Duration) {
	s.mu.Lock()
	s.conns[c] = connState{idleSince: time.Now(), idleLimit: timeout}
	s.mu.Unlock()
	s.limitRead(c, timeout)
}

// extendIdle sets a later time by which the next request must begin on an idle connection whose
// time is over, if the limit has been raised meanwhile. Otherwise it returns false.
func (s *Server) extendIdle(c net.Conn) bool {
	limit := s.limits().IdleTimeout
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.conns[c]
	if !s.drainEnd.IsZero() || st.cancel != nil || limit <= st.idleLimit {
		return false
	}
	st.idleLimit = limit
	s.conns[c] = st
	return c.SetReadDeadline(st.idleSince.Add(limit)) == nil
}

// awaitRequest waits until the next request begins on a connection. It returns an error if the
// connection fails or stays idle for too long.
func (s *Server) awaitRequest(c net.Conn, br *bufio.Reader) error {
	for {
		_, err := br.Peek(1)
		if !errors.Is(err, os.ErrDeadlineExceeded) || !s.extendIdle(c) {
			return err
		}
	}
}

// limitRead sets the time by which what is read next from a connection must arrive. It is
// drainPeriod at most once requests are no longer taken.
func (s *Server) limitRead(c net.Conn, timeout time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.drainEnd.IsZero() {
		timeout = min(timeout, drainPeriod)
	}
	_ = c.SetReadDeadline(time.Now().Add(timeout)) // fails only on a closed connection
}

// beginRequest records that a request was received on a connection, which cancel ends. It
// returns false if the request is not taken: it has arrived so late in a stop that the rest of
// the time may not be enough for it.
func (s *Server) beginRequest(c net.Conn, cancel context.CancelCauseFunc) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.drainEndPassed() || s.outOfTime {
		return false
	}
	s.conns[c] = connState{cancel: cancel}
	_ = c.SetReadDeadline(time.Time{}) // fails only on a closed connection
	return true
}

// removeConn closes a connection and removes it from the open connections.
func (s *Server) removeConn(c net.Conn) {
	s.mu.Lock()
	delete(s.conns, c)
	s.mu.Unlock()
	// An error here adds nothing: the reason why the connection ends was handled.
	_ = c.Close()
}

// peekResult is the result of waiting for the first byte of the next request.
type peekResult struct{ err error }

// serveConn serves the requests of one connection until it ends.
func (s *Server) serveConn(accepted net.Conn) {
	c := stall.New(accepted)
	c.OnLate = func() { s.Log.Event(logs.ReadLate).Str("caller", c.RemoteAddr().String()).Msg("") }
	defer s.removeConn(c)
	limits := s.limits()
	br := bufio.NewReaderSize(c, limits.HeaderBytes)
	next := make(chan peekResult, 1)
	s.setIdle(c, limits.IdleTimeout)
	err := s.awaitRequest(c, br)
	for err == nil {
		limits = s.limits()
		br = bufio.NewReaderSize(br, limits.HeaderBytes) // br itself if it is large enough
		ctx, cancel := context.WithCancelCause(context.Background())
		s.active.Add(1)
		keepAlive := s.serveRequest(ctx, cancel, c, br, limits, next)
		s.active.Add(-1)
		cancel(nil)
		if !keepAlive {
			return
		}
		s.setIdle(c, limits.IdleTimeout)
		err = (<-next).err
	}
}

// serveRequest reads one request and calls Handle with the context ctx, which cancel
// ends. It reports whether the connection stays open; if so, next receives a result
// when the next request begins or the connection fails.
func (s *Server) serveRequest(
	ctx context.Context, cancel context.CancelCauseFunc, c net.Conn, br *bufio.Reader, limits fleet.Limits, next chan peekResult,
) bool {
	x := &Exchange{Context: ctx, StartedAt: time.Now(), conn: c, server: s}
	defer x.releaseBody()
	s.limitRead(c, limits.HeaderTimeout)
	reqErr := x.readRequest(c, br, limits)
	x.ReceivedAt = time.Now()
	switch {
	case reqErr == nil && !s.beginRequest(c, cancel):
		reqErr = errStopping
	case reqErr != nil && reqErr.Status == fasthttp.StatusRequestTimeout && s.isDrained():
		reqErr = errStopping // its time was cut short
	}
	if reqErr != nil {
		if reqErr.Status != 0 {
			s.Log.Failure(logs.RequestRejected).Str("caller", c.RemoteAddr().String()).
				Int("status", reqErr.Status).Str("reason", reqErr.Reason).Dur("read_ms", x.ReceivedAt.Sub(x.StartedAt)).Msg("")
			x.close = true
			x.Reject(reqErr.Status, reqErr.RetryAfter)
			lingeringClose(c)
		}
		return false
	}
	go func() {
		// The caller sends its next request or disconnects. In the second case, the
		// request is cancelled.
		err := s.awaitRequest(c, br)
		if err != nil {
			cancel(err)
		}
		next <- peekResult{err: err}
	}()
	s.handle(x)
	if !x.complete || x.close {
		_ = c.Close() // ends the goroutine that reads from it
		<-next
		return false
	}
	return true
}

// handle calls Handle. A panic ends the request, and its connection after the response, but not
// the process with all other requests.
func (s *Server) handle(x *Exchange) {
	defer func() {
		v := recover()
		if v == nil {
			return
		}
		stack := debug.Stack()
		s.Log.Failure(logs.HandlerPanicked).Str("request", plat.AttemptID(&x.Header)).Str("error", fmt.Sprint(v)).
			Str("stack", string(stack[:min(len(stack), maxStackBytes)])).Msg("")
		x.close = true
		if !x.started {
			x.Reject(fasthttp.StatusBadGateway, 0) // an endpoint may have run it
		}
	}()
	s.Handle(x)
}

// lingeringClose closes the write side of a TCP connection, then discards input
// until the caller closes its side or lingerTimeout has passed. Closing with
// unread input would reset the connection, and the caller might lose the response.
func lingeringClose(c net.Conn) {
	t, ok := c.(interface{ CloseWrite() error })
	if !ok || t.CloseWrite() != nil {
		return
	}
	_ = c.SetReadDeadline(time.Now().Add(lingerTimeout)) // fails only on a closed connection
	buf := make([]byte, 4<<10)
	for {
		if _, err := c.Read(buf); err != nil {
			return
		}
	}
}

// Exchange is one request and its response. It must only be used by the goroutine
// that runs Handle.
type Exchange struct {
	Context   context.Context // cancelled when the caller disconnects, when a stop is out of time, and after Handle
	StartedAt time.Time       // when the first byte of the request was available
	Header    fasthttp.RequestHeader
	Body      []byte
	// ReceivedAt is when the whole request had arrived.
	ReceivedAt time.Time
	// StreamUntil is when a stream ends at the latest. A write doesn't wait longer for a caller
	// that doesn't read. Zero: only the time for one write bounds it.
	StreamUntil time.Time

	conn     net.Conn
	server   *Server
	complete bool // the whole response was written
	started  bool // writing of the response has started
	close    bool // the connection is closed after this response
	status   int
	out      []byte // write buffer
	reserved int64  // for the body, in bytes
}

// Status returns the status code of the response, or 0 if none was started.
func (x *Exchange) Status() int { return x.status }

// CallerGone reports whether the caller has disconnected, or counts as such since a stop is
// out of time.
func (x *Exchange) CallerGone() bool { return x.Context != nil && x.Context.Err() != nil }

// Stopped reports whether the request was cancelled because the server's time for a stop
// is over.
func (x *Exchange) Stopped() bool {
	return x.Context != nil && errors.Is(context.Cause(x.Context), ErrStopped)
}

// MustEndBy returns the time at which a request is cancelled that is still in flight, and false
// unless the server is stopping.
func (x *Exchange) MustEndBy() (time.Time, bool) {
	s := x.server
	if s == nil || !s.Stopping() {
		return time.Time{}, false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stopEnd, !s.stopEnd.IsZero()
}

// CallerLeft reports whether the caller has disconnected, also if that was not
// noticed yet: the connection may have been closed before the request was read.
func (x *Exchange) CallerLeft() bool {
	if x.CallerGone() {
		return true
	}
	sc, ok := x.conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	closed := false
	// Control doesn't wait for the goroutine that reads the next request.
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, e := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		closed = (e == nil && n == 0) || errors.Is(e, unix.ECONNRESET)
	})
	return err != nil || closed
}

// Complete reports whether the whole response was written.
func (x *Exchange) Complete() bool { return x.complete }

// ResponseStarted reports whether writing of a response has started.
func (x *Exchange) ResponseStarted() bool { return x.started }

// shouldClose reports whether the connection has to be closed after the response.
func (x *Exchange) shouldClose() bool {
	return x.close || x.Header.ConnectionClose() || x.server.Stopping()
}
