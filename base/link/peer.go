package link

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"wigeonplank.example/base/stall"
	"wigeonplank.example/base/wait"
	"wigeonplank.example/core/retry"
	"wigeonplank.example/core/wire"
)

// ErrNoLink reports that there is no working link to an agent.
var ErrNoLink = errors.New("no link")

// Peer maintains an entry's link to one agent. Set the exported fields before
// Run. The function fields are called from the link's goroutines and must not
// block.
type Peer struct {
	Addr     string            // IP:port of the agent
	Entry    uint64            // incarnation of this entry
	Instance string            // ID of this entry's instance
	TLS      *tls.Config       // nil: plain TCP
	LastSeq  func() uint64     // returns the highest attempt number used so far
	NewPing  func() *wire.Ping // returns the next ping to send
	// NewerDocument returns the document of this process if it is newer than the one with
	// the given revision and digest, else nil.
	NewerDocument func(revision, digest uint64) []byte
	OnUp          func(*wire.Welcome)   // a link was opened, and is about to be used
	OnDown        func(err error)       // a link failed or could not be opened
	OnPong        func(*wire.Pong)      // a pong arrived
	OnPublished   func(document []byte) // the agent sent a document

	mu      sync.Mutex
	session *yamux.Session
	changed chan struct{} // closed when session changes
	silent  chan struct{} // closed when the current session becomes silent
	epoch   uint64        // number of the newest handshake
}

// Run keeps a link to the agent open until ctx ends: it opens a new one when the
// current one fails, with a backoff between attempts. It blocks.
func (p *Peer) Run(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		startedAt := time.Now()
		err := p.runOnce(ctx)
		if time.Since(startedAt) > 5*time.Second { // the link worked, so the backoff starts anew
			failures = 0
		}
		if errors.Is(err, errSilent) {
			p.markSilent() // its session stays open for now; see runOnce
		} else {
			failures++
			p.setSession(nil)
		}
		p.OnDown(err)
		if failures > 0 {
			wait.For(ctx, retry.Backoff{Max: time.Second}.Delay(failures, rand.Float64()))
		}
	}
	p.setSession(nil)
}

var errSilent = errors.New("link is silent")

// runOnce opens a link and serves it until it fails. The previous session, if it
// is silent, is closed only once the new one is up or can't be opened. Calls in
// flight on it therefore don't fail before their outcome can be queried over the
// new link.
func (p *Peer) runOnce(ctx context.Context) error {
	s, err := p.dial(ctx)
	if err != nil {
		return err
	}
	ctl, welcome, err := p.handshake(s)
	if err != nil {
		_ = s.Close()
		return err
	}
	p.OnUp(welcome) // calls may name the incarnation that it records
	p.setSession(s)
	err = p.serveControl(ctx, ctl)
	if !errors.Is(err, errSilent) {
		_ = s.Close()
	}
	return err
}

func (p *Peer) dial(ctx context.Context) (*yamux.Session, error) {
	conn, err := stall.Dial(ctx, &net.Dialer{}, p.Addr, dialTimeout)
	if err != nil {
		return nil, fmt.Errorf("dial agent: %w", err)
	}
	conn = &limitedConn{Conn: conn}
	if p.TLS != nil {
		cfg := p.TLS.Clone()
		cfg.ServerName, _, _ = net.SplitHostPort(p.Addr)
		conn = tls.Client(conn, cfg)
	}
	s, err := yamux.Client(conn, SessionConfig())
	if err != nil {
		_ = conn.Close()
		return nil, fmt.Errorf("open session: %w", err)
	}
	return s, nil
}

func (p *Peer) handshake(s *yamux.Session) (*Stream, *wire.Welcome, error) {
	conn, err := s.Open()
	if err != nil {
		return nil, nil, fmt.Errorf("open control stream: %w", err)
	}
	ctl := NewStream(conn)
	p.epoch++
	hello := &wire.Hello{Entry: p.Entry, Epoch: p.epoch, Instance: p.Instance, LastSeq: p.LastSeq()}
	if err := ctl.Send(&wire.Request{Kind: &wire.Request_Hello{Hello: hello}}); err != nil {
		return nil, nil, fmt.Errorf("send hello: %w", err)
	}
	welcome := &wire.Welcome{}
	if err := ctl.ReceiveWithin(welcome, handshakeTimeout); err != nil {
		return nil, nil, fmt.Errorf("await welcome: %w", err)
	}
	return ctl, welcome, nil
}

// serveControl pings the agent and handles its control messages until the link
// fails. It returns errSilent if none arrives within SilenceTimeout.
func (p *Peer) serveControl(ctx context.Context, ctl *Stream) error {
	pingErr := make(chan error, 1)
	stop := make(chan struct{})
	defer close(stop)
	go func() { pingErr <- p.sendPings(ctl, stop) }()
	for {
		m := &wire.Control{}
		if err := ctl.ReceiveWithin(m, SilenceTimeout); err != nil {
			return controlError(err)
		}
		select {
		case err := <-pingErr:
			return err
		case <-ctx.Done():
			return ctx.Err()
		default:
		}
		if err := p.handleControl(ctl, m); err != nil {
			return err
		}
	}
}

// controlError returns errSilent for a timeout, else err with context.
func controlError(err error) error {
	if isTimeout(err) {
		return errSilent
	}
	return fmt.Errorf("control stream: %w", err)
}

// sendPings sends a ping every PingInterval until stop is closed.
func (p *Peer) sendPings(ctl *Stream, stop <-chan struct{}) error {
	ticker := time.NewTicker(PingInterval)
	defer ticker.Stop()
	for {
		if err := ctl.Send(&wire.Control{Kind: &wire.Control_Ping{Ping: p.NewPing()}}); err != nil {
			return fmt.Errorf("send ping: %w", err)
		}
		select {
		case <-stop:
			return nil
		case <-ticker.C:
		}
	}
}

func (p *Peer) handleControl(ctl *Stream, m *wire.Control) error {
	switch k := m.GetKind().(type) {
	case *wire.Control_Pong:
		p.OnPong(k.Pong)
		if doc := p.NewerDocument(k.Pong.GetRevision(), k.Pong.GetDigest()); doc != nil {
			return p.sendDocument(ctl, doc)
		}
	case *wire.Control_Published:
		p.OnPublished(k.Published.GetDocument())
	}
	return nil
}

// sendDocument sends a configuration document on the control stream.
func (p *Peer) sendDocument(ctl *Stream, document []byte) error {
	m := &wire.Control{Kind: &wire.Control_Published{Published: &wire.Published{Document: document}}}
	if err := ctl.Send(m); err != nil {
		return fmt.Errorf("send document: %w", err)
	}
	return nil
}

// setSession makes s the current session, or none if s is nil, and closes the
// previous one.
func (p *Peer) setSession(s *yamux.Session) {
	p.mu.Lock()
	old := p.session
	p.session = s
	if p.changed != nil {
		close(p.changed)
	}
	p.changed = make(chan struct{})
	p.silent = make(chan struct{})
	p.mu.Unlock()
	if old != nil && old != s {
		_ = old.Close()
	}
}

// markSilent notifies the streams of the current session that it is silent.
func (p *Peer) markSilent() {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.silent:
	default:
		close(p.silent)
	}
}

// Call opens a stream on the current link and sends req. The request has not been
// sent if the error wraps ErrNoLink; after any other error it may have been.
func (p *Peer) Call(req *wire.Request) (*Stream, error) {
	p.mu.Lock()
	s, silent := p.session, p.silent
	p.mu.Unlock()
	if s == nil {
		return nil, ErrNoLink
	}
	conn, err := s.Open()
	if err != nil {
		return nil, fmt.Errorf("%w: open stream: %w", ErrNoLink, err)
	}
	st := NewStream(conn)
	st.Silent = silent
	if err := st.Send(req); err != nil {
		st.Close()
		return nil, err
	}
	return st, nil
}

// Query calls the agent and passes the stream to read, which receives the response.
// If the call or read fails, it waits for the session to change and repeats the
// call, until ctx ends. Use it for idempotent calls only.
func (p *Peer) Query(ctx context.Context, req *wire.Request, read func(*Stream) error) error {
	for {
		changed := p.sessionChanged()
		err := p.queryOnce(ctx, req, read)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("query agent: %w", err)
		case <-changed:
		}
	}
}

// AwaitLink waits until there is a link to the agent that isn't silent, or until ctx ends.
func (p *Peer) AwaitLink(ctx context.Context) error {
	for {
		changed := p.sessionChanged()
		if p.hasOpenSession() {
			return nil
		}
		select {
		case <-ctx.Done():
			if p.hasOpenSession() {
				return nil
			}
			return fmt.Errorf("await link: %w", ctx.Err())
		case <-changed:
		}
	}
}

// hasOpenSession reports whether there is a session that has not been closed and isn't
// silent.
func (p *Peer) hasOpenSession() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.session == nil || p.session.IsClosed() {
		return false
	}
	select {
	case <-p.silent:
		return false
	default:
		return true
	}
}

// sessionChanged returns a channel that is closed at the next change of the
// session.
func (p *Peer) sessionChanged() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.changed == nil {
		p.changed = make(chan struct{})
	}
	return p.changed
}

func (p *Peer) queryOnce(ctx context.Context, req *wire.Request, read func(*Stream) error) error {
	st, err := p.Call(req)
	if err != nil {
		return err
	}
	defer st.Close()
	stop := context.AfterFunc(ctx, func() {
		if due, ok := ctx.Deadline(); ok && stall.Late(due) {
			time.Sleep(stall.Grace) // this process stood still; the response may have arrived
		}
		st.Close()
	})
	defer stop()
	return read(st)
}
