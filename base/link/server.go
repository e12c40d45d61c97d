package link

import (
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"wigeonplank.example/core/wire"
)

// OldEpochError says that an entry opened a link while it has a newer one.
type OldEpochError struct{ Have, Got uint64 }

// Error names both epochs.
func (e *OldEpochError) Error() string {
	return fmt.Sprintf("link has epoch %d, the entry's newest is %d", e.Got, e.Have)
}

// Server is an agent's side of its links. Set the exported fields before Serve.
// The functions are called from many goroutines.
type Server struct {
	Welcome *wire.Welcome
	TLS     *tls.Config // nil: plain TCP

	OnHello     func(*wire.Hello)
	OnPing      func(entry uint64, p *wire.Ping) *wire.Pong
	Newer       func(revision, digest uint64) []byte
	OnPublished func(document []byte)
	OnCall      func(st *Stream, req *wire.Request)
	OnGone      func(entry uint64) // the newest link of an entry ended
	OnError     func(err error)

	mu    sync.Mutex
	links map[uint64]*serverLink
	ln    net.Listener
}

type serverLink struct {
	entry   uint64
	epoch   uint64
	session *yamux.Session
}

// Serve accepts links until Close. It blocks.
func (s *Server) Serve(ln net.Listener) error {
	s.mu.Lock()
	s.ln = ln
	s.mu.Unlock()
	for {
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("accept link: %w", err)
		}
		go s.serve(conn)
	}
}

// Close ends the listener and all links.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ln != nil {
		_ = s.ln.Close()
	}
	for _, l := range s.links {
		_ = l.session.Close()
	}
}

func (s *Server) serve(conn net.Conn) {
	if s.TLS != nil {
		conn = tls.Server(conn, s.TLS)
	}
	session, err := yamux.Server(conn, SessionConfig())
	if err != nil {
		s.OnError(fmt.Errorf("open session: %w", err))
		_ = conn.Close()
		return
	}
	defer func() { _ = session.Close() }()
	l, ctl, err := s.handshake(session)
	if err != nil {
		s.OnError(fmt.Errorf("handshake: %w", err))
		return
	}
	defer s.drop(l)
	go s.control(l, ctl)
	for {
		c, err := session.Accept()
		if err != nil {
			return
		}
		go s.call(c)
	}
}

func (s *Server) handshake(session *yamux.Session) (*serverLink, *Stream, error) {
	timer := time.AfterFunc(handshakeTimeout, func() { _ = session.Close() })
	defer timer.Stop()
	conn, err := session.Accept()
	if err != nil {
		return nil, nil, fmt.Errorf("accept control stream: %w", err)
	}
	ctl := NewStream(conn)
	req := &wire.Request{}
	if err := ctl.ReceiveWithin(req, handshakeTimeout); err != nil {
		return nil, nil, err
	}
	hello := req.GetHello()
	if hello == nil {
		return nil, nil, errors.New("first message is no hello")
	}
	l := &serverLink{entry: hello.GetEntry(), epoch: hello.GetEpoch(), session: session}
	if err := s.adopt(l); err != nil {
		return nil, nil, err
	}
	s.OnHello(hello)
	if err := ctl.Send(s.Welcome); err != nil {
		s.drop(l)
		return nil, nil, err
	}
	return l, ctl, nil
}

// adopt makes l its entry's only link. What an older link still carries is
// never read, so it can't start work after the entry has asked on the new one.
func (s *Server) adopt(l *serverLink) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.links == nil {
		s.links = make(map[uint64]*serverLink)
	}
	if old, ok := s.links[l.entry]; ok {
		if old.epoch >= l.epoch {
			return &OldEpochError{Have: old.epoch, Got: l.epoch}
		}
		_ = old.session.Close()
	}
	s.links[l.entry] = l
	return nil
}

func (s *Server) drop(l *serverLink) {
	s.mu.Lock()
	newest := s.links[l.entry] == l
	if newest {
		delete(s.links, l.entry)
	}
	s.mu.Unlock()
	if newest {
		s.OnGone(l.entry)
	}
}

func (s *Server) control(l *serverLink, ctl *Stream) {
	defer func() { _ = l.session.Close() }()
	for {
		m := &wire.Control{}
		if err := ctl.ReceiveWithin(m, SilenceLimit); err != nil {
			return
		}
		if err := s.take(l, ctl, m); err != nil {
			s.OnError(fmt.Errorf("control stream: %w", err))
			return
		}
	}
}

func (s *Server) take(l *serverLink, ctl *Stream, m *wire.Control) error {
	switch k := m.GetKind().(type) {
	case *wire.Control_Ping:
		pong := s.OnPing(l.entry, k.Ping)
		if err := ctl.Send(&wire.Control{Kind: &wire.Control_Pong{Pong: pong}}); err != nil {
			return err
		}
		if doc := s.Newer(k.Ping.GetRevision(), k.Ping.GetDigest()); doc != nil {
			return ctl.Send(&wire.Control{Kind: &wire.Control_Published{Published: &wire.Published{Document: doc}}})
		}
	case *wire.Control_Published:
		s.OnPublished(k.Published.GetDocument())
	}
	return nil
}

func (s *Server) call(conn net.Conn) {
	st := NewStream(conn)
	defer st.Close()
	req := &wire.Request{}
	if err := st.ReceiveWithin(req, handshakeTimeout); err != nil {
		return
	}
	s.OnCall(st, req)
}
