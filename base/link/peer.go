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

	"wigeonplank.example/base/wait"
	"wigeonplank.example/core/retry"
	"wigeonplank.example/core/wire"
)

// ErrNoLink says that there is no working link to an agent.
var ErrNoLink = errors.New("no link")

// Peer is an entry's link to one agent. Set the exported fields before Run. The
// function fields are called from the link's goroutines and must not block.
type Peer struct {
	Addr     string // IP:port
	Entry    uint64 // incarnation of this entry
	Instance string
	TLS      *tls.Config // nil: plain TCP
	LastSeq  func() uint64
	Ping     func() *wire.Ping
	// Newer returns a document to send if the agent has an older one than this
	// process, or nil.
	Newer       func(revision, digest uint64) []byte
	OnUp        func(*wire.Welcome)
	OnDown      func(err error)
	OnPong      func(*wire.Pong)
	OnPublished func(document []byte)

	mu      sync.Mutex
	session *yamux.Session
	changed chan struct{} // closed when session changes
	silent  chan struct{} // closed when the session of now is found silent
	epoch   uint64
}

// Run keeps a link open until ctx ends. It blocks.
func (p *Peer) Run(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		began := time.Now()
		err := p.once(ctx)
		if time.Since(began) > 5*time.Second {
			failures = 0
		}
		if errors.Is(err, errSilent) {
			p.markSilent()
		} else {
			failures++
			p.set(nil)
		}
		p.OnDown(err)
		if failures > 0 {
			wait.For(ctx, retry.Backoff{Max: time.Second}.Delay(failures, rand.Float64()))
		}
	}
	p.set(nil)
}

var errSilent = errors.New("link is silent")

// once opens a link and serves it until it fails. A link before it, if silent,
// is dropped only after the new one is up or can't be had, so that the peer can
// be asked about what was under way.
func (p *Peer) once(ctx context.Context) error {
	s, err := p.dial(ctx)
	if err != nil {
		return err
	}
	ctl, welcome, err := p.handshake(s)
	if err != nil {
		_ = s.Close()
		return err
	}
	p.set(s)
	p.OnUp(welcome)
	err = p.control(ctx, ctl)
	if !errors.Is(err, errSilent) {
		_ = s.Close()
	}
	return err
}

func (p *Peer) dial(ctx context.Context) (*yamux.Session, error) {
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, "tcp", p.Addr)
	if err != nil {
		return nil, fmt.Errorf("dial agent: %w", err)
	}
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

// control pings the agent and passes on what it says, until the link fails.
func (p *Peer) control(ctx context.Context, ctl *Stream) error {
	done := make(chan error, 1)
	stop := make(chan struct{})
	defer close(stop)
	go func() { done <- p.ping(ctl, stop) }()
	for {
		m := &wire.Control{}
		if err := ctl.ReceiveWithin(m, SilenceLimit); err != nil {
			return silence(err)
		}
		select {
		case err := <-done:
			return err
		case <-ctx.Done():
			return ctx.Err()
		default:
		}
		if err := p.take(ctl, m); err != nil {
			return err
		}
	}
}

func silence(err error) error {
	var t net.Error
	if errors.As(err, &t) && t.Timeout() {
		return errSilent
	}
	return fmt.Errorf("control stream: %w", err)
}

func (p *Peer) ping(ctl *Stream, stop <-chan struct{}) error {
	t := time.NewTicker(PingInterval)
	defer t.Stop()
	for {
		if err := ctl.Send(&wire.Control{Kind: &wire.Control_Ping{Ping: p.Ping()}}); err != nil {
			return fmt.Errorf("ping: %w", err)
		}
		select {
		case <-stop:
			return nil
		case <-t.C:
		}
	}
}

func (p *Peer) take(ctl *Stream, m *wire.Control) error {
	switch k := m.GetKind().(type) {
	case *wire.Control_Pong:
		p.OnPong(k.Pong)
		if doc := p.Newer(k.Pong.GetRevision(), k.Pong.GetDigest()); doc != nil {
			return p.Publish(ctl, doc)
		}
	case *wire.Control_Published:
		p.OnPublished(k.Published.GetDocument())
	}
	return nil
}

// Publish sends a document on a control stream.
func (p *Peer) Publish(ctl *Stream, document []byte) error {
	m := &wire.Control{Kind: &wire.Control_Published{Published: &wire.Published{Document: document}}}
	if err := ctl.Send(m); err != nil {
		return fmt.Errorf("pass on document: %w", err)
	}
	return nil
}

func (p *Peer) set(s *yamux.Session) {
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

func (p *Peer) markSilent() {
	p.mu.Lock()
	defer p.mu.Unlock()
	select {
	case <-p.silent:
	default:
		close(p.silent)
	}
}

// Call opens a stream and sends the request that it is for. An error means that
// the request may have left, unless it wraps ErrNoLink.
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

// Ask is Call with an answer that read takes off the stream. It tries the link
// that stands now, and a newer one if that breaks, until ctx ends. Only calls
// that may be repeated go through it.
func (p *Peer) Ask(ctx context.Context, req *wire.Request, read func(*Stream) error) error {
	for {
		changed := p.watch()
		err := p.askOnce(ctx, req, read)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("ask agent: %w", err)
		case <-changed:
		}
	}
}

func (p *Peer) watch() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.changed == nil {
		p.changed = make(chan struct{})
	}
	return p.changed
}

func (p *Peer) askOnce(ctx context.Context, req *wire.Request, read func(*Stream) error) error {
	st, err := p.Call(req)
	if err != nil {
		return err
	}
	defer st.Close()
	stop := context.AfterFunc(ctx, st.Close)
	defer stop()
	return read(st)
}
