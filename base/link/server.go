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

// StaleEpochError reports that an entry opened a link with an epoch that is not
// above that of its current link.
type StaleEpochError struct{ Newest, Got uint64 }

// Error returns a message with both epochs.
func (e *StaleEpochError) Error() string {
	return fmt.Sprintf("epoch %d of the link is not above %d, the entry's newest", e.Got, e.Newest)
}

// Server accepts the links of entries to an agent. Set the exported fields before
// Serve. The function fields are called from several goroutines at once.
type Server struct {
	Welcome *wire.Welcome // response to each Hello
	TLS     *tls.Config   // nil: plain TCP

	OnHello func(*wire.Hello)                           // an entry opened a link
	OnPing  func(entry uint64, p *wire.Ping) *wire.Pong // returns the pong to send
	// NewerDocument returns the document of this process if it is newer than the one with
	// the given revision and digest, else nil.
	NewerDocument func(revision, digest uint64) []byte
	OnPublished   func(document []byte)               // an entry sent a document
	OnCall        func(st *Stream, req *wire.Request) // serves a call; st is closed when it returns
	OnDisconnect  func(entry uint64)                  // the newest link of an entry ended
	OnError       func(err error)                     // a link failed

	mu    sync.Mutex
	links map[uint64]*serverLink // by entry incarnation
	ln    net.Listener
}

// serverLink is the link of one entry.
type serverLink struct {
	entry   uint64 // incarnation
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
		go s.serveConn(conn)
	}
}

// Close closes the listener and all links.
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

func (s *Server) serveConn(conn net.Conn) {
	conn = &limitedConn{Conn: conn}
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
	defer s.unregister(l)
	go s.serveControl(l, ctl)
	for {
		c, err := session.Accept()
		if err != nil {
			return
		}
		go s.serveCall(c)
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
		return nil, nil, errors.New("first message is not a Hello")
	}
	l := &serverLink{entry: hello.GetEntry(), epoch: hello.GetEpoch(), session: session}
	if err := s.register(l); err != nil {
		return nil, nil, err
	}
	s.OnHello(hello)
	if err := ctl.Send(s.Welcome); err != nil {
		s.unregister(l)
		return nil, nil, err
	}
	return l, ctl, nil
}

// register makes l the only link of its entry. It closes an older link, whose
// unread requests are thereby discarded: they can't start work after the entry
// has queried the agent over the new link.
func (s *Server) register(l *serverLink) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.links == nil {
		s.links = make(map[uint64]*serverLink)
	}
	if old, ok := s.links[l.entry]; ok {
		if old.epoch >= l.epoch {
			return &StaleEpochError{Newest: old.epoch, Got: l.epoch}
		}
		_ = old.session.Close()
	}
	s.links[l.entry] = l
	return nil
}

// unregister removes l. It calls OnDisconnect unless a newer link replaced l.
func (s *Server) unregister(l *serverLink) {
	s.mu.Lock()
	newest := s.links[l.entry] == l
	if newest {
		delete(s.links, l.entry)
	}
	s.mu.Unlock()
	if newest {
		s.OnDisconnect(l.entry)
	}
}

// serveControl handles the control messages of a link. It closes the session if
// none arrives within SilenceTimeout.
func (s *Server) serveControl(l *serverLink, ctl *Stream) {
	defer func() { _ = l.session.Close() }()
	for {
		m := &wire.Control{}
		if err := ctl.ReceiveWithin(m, SilenceTimeout); err != nil {
			return
		}
		if err := s.handleControl(l, ctl, m); err != nil {
			s.OnError(fmt.Errorf("control stream: %w", err))
			return
		}
	}
}

func (s *Server) handleControl(l *serverLink, ctl *Stream, m *wire.Control) error {
	switch k := m.GetKind().(type) {
	case *wire.Control_Ping:
		pong := s.OnPing(l.entry, k.Ping)
		if err := ctl.Send(&wire.Control{Kind: &wire.Control_Pong{Pong: pong}}); err != nil {
			return err
		}
		if doc := s.NewerDocument(k.Ping.GetRevision(), k.Ping.GetDigest()); doc != nil {
			return ctl.Send(&wire.Control{Kind: &wire.Control_Published{Published: &wire.Published{Document: doc}}})
		}
	case *wire.Control_Published:
		s.OnPublished(k.Published.GetDocument())
	}
	return nil
}

func (s *Server) serveCall(conn net.Conn) {
	st := NewStream(conn)
	defer st.Close()
	req := &wire.Request{}
	if err := st.ReceiveWithin(req, handshakeTimeout); err != nil {
		return
	}
	s.OnCall(st, req)
}
