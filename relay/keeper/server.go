// Package keeper has a process beside each endpoint, the keeper, remember where streams
// began, so that this outlives all relays. Relays link to the keepers of some hosts.
package keeper

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"wigeonplank.example/base/link"
	"wigeonplank.example/core/clock"
	"wigeonplank.example/core/origin"
	"wigeonplank.example/relay/peers"
)

// Server is a keeper. Set the exported fields before calling Serve.
type Server struct {
	Instance    string
	Incarnation uint64 // differs each time the process starts
	Started     time.Time
	Clock       clock.Clock

	mu    sync.Mutex
	table origin.Table
}

// Serve accepts links from relays until ln is closed, then returns nil. It blocks.
func (s *Server) Serve(ln net.Listener) error {
	for {
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("accept links: %w", err)
		}
		go s.serveLink(conn)
	}
}

// serveLink answers a relay until the link fails. The relay dials again.
func (s *Server) serveLink(conn net.Conn) {
	session, err := link.NewServer(conn)
	if err != nil {
		return
	}
	defer session.Close()
	stream, err := session.AcceptStream()
	if err != nil {
		return
	}
	if err := stream.Send(&peers.Heartbeat{Self: &peers.Member{Instance: s.Instance, Incarnation: s.Incarnation}}); err != nil {
		return
	}
	for {
		var w peers.Work
		if err := stream.Receive(&w); err != nil {
			return
		}
		if reply := s.handle(&w); reply != nil {
			if err := stream.Send(reply); err != nil {
				return
			}
		}
	}
}

// handle handles a message of a relay and returns the reply, or nil if it isn't one that
// keepers know.
func (s *Server) handle(w *peers.Work) *peers.Work {
	now := s.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	switch k := w.GetKind().(type) {
	case *peers.Work_Origin:
		s.table.Put(now, k.Origin.GetStream(), peers.OriginFromWire(k.Origin))
		return &peers.Work{Kind: &peers.Work_Stored{Stored: &peers.OriginStored{Number: k.Origin.GetNumber()}}}
	case *peers.Work_FindOrigin:
		o, known := s.table.Get(now, k.FindOrigin.GetStream())
		a := origin.Answer{Known: known, Origin: o, Since: now.Sub(s.Started)}
		return &peers.Work{Kind: &peers.Work_FoundOrigin{FoundOrigin: peers.AnswerToWire(k.FindOrigin, a)}}
	}
	return nil
}
