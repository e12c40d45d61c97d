package peers

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"wigeonplank.example/base/link"
	"wigeonplank.example/base/stall"
	"wigeonplank.example/base/wait"
	"wigeonplank.example/core/peer"
	"wigeonplank.example/core/retry"
	"wigeonplank.example/relay/logs"
)

const (
	dialTimeout    = 500 * time.Millisecond
	minRedialDelay = 200 * time.Millisecond
	maxRedialDelay = 2 * time.Second
)

// outboundLink is a link that this relay dials. It redials after each failure.
type outboundLink struct {
	mesh     *Mesh
	addr     string
	cancel   context.CancelFunc // ends run
	neededAt time.Time          // when it was last needed; guarded by Mesh.mu
}

// run keeps the link open until ctx ends, with a delay after each failure that
// grows up to maxRedialDelay.
func (l *outboundLink) run(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		started := l.mesh.Clock.Now()
		err := l.dialAndServe(ctx)
		if ctx.Err() != nil {
			return
		}
		if l.mesh.Clock.Now().Sub(started) > maxRedialDelay {
			failures = 0
		}
		failures++
		l.mesh.markUnreachable(l.addr)
		if failures == 1 {
			l.mesh.Log.Event(logs.LinkDown).Str("addr", l.addr).Err(err).Msg("")
		}
		wait.For(ctx, retry.Backoff{Base: minRedialDelay, Max: maxRedialDelay}.Delay(failures, rand.Float64()))
	}
}

// dialAndServe opens the link and its two streams, and serves it until it fails
// or ctx ends.
func (l *outboundLink) dialAndServe(ctx context.Context) error {
	conn, err := l.mesh.dial(ctx, l.addr)
	if err != nil {
		return fmt.Errorf("dial relay: %w", err)
	}
	s, err := link.NewClient(conn)
	if err != nil {
		return err
	}
	defer s.Close()
	stop := context.AfterFunc(ctx, s.Close)
	defer stop()
	control, err := s.OpenStream()
	if err != nil {
		return fmt.Errorf("heartbeats: %w", err)
	}
	work, err := s.OpenStream()
	if err != nil {
		return fmt.Errorf("work: %w", err)
	}
	return l.mesh.newSession(s, control, work, true).run()
}

// dial opens a connection to the relay at addr.
func (m *Mesh) dial(ctx context.Context, addr string) (net.Conn, error) {
	if m.Dial != nil {
		return m.Dial(ctx, addr)
	}
	return stall.Dial(ctx, &net.Dialer{}, addr, dialTimeout)
}

// serveLink serves a link that another relay dialed, until it fails.
func (m *Mesh) serveLink(conn net.Conn) {
	s, err := link.NewServer(conn)
	if err != nil {
		return // the dialing relay retries
	}
	defer s.Close()
	control, err := s.AcceptStream()
	if err != nil {
		return
	}
	work, err := s.AcceptStream()
	if err != nil {
		return
	}
	// The dialing relay logs why the link failed.
	_ = m.newSession(s, control, work, false).run()
}

// register makes an established session with another relay available. A newer link
// to the same relay replaces an older one.
func (m *Mesh) register(s *session, remote peer.Member) {
	m.mu.Lock()
	s.remote = remote
	m.sessions[s] = true
	if s.dialer {
		m.byID[s.remote.Instance] = s
	}
	m.mu.Unlock()
	if s.dialer {
		m.Log.Event(logs.LinkUp).Str("member", s.remote.Instance).Str("addr", s.remote.Addr).Msg("")
	}
}

// unregister takes a session that has failed out of use and returns its pending items to the
// handler.
func (m *Mesh) unregister(s *session) {
	m.mu.Lock()
	delete(m.sessions, s)
	if m.byID[s.remote.Instance] == s {
		delete(m.byID, s.remote.Instance)
	}
	if !m.isLinked(s.remote.Instance) {
		// The relay that dials a link closes it once it isn't needed. The loss of such a
		// link says nothing of its other end.
		if s.dialer && m.links[s.remote.Addr] != nil {
			m.Group.MarkDown(m.Clock.Now(), s.remote.Instance)
		} else {
			m.Group.MarkClosed(s.remote.Instance)
		}
	}
	if m.pulling.from == s {
		m.pulling = pull{}
	}
	m.forgetOwners()
	m.mu.Unlock()
	m.requestRelink()
	pending := s.takePending()
	if s.dialer {
		m.Log.Event(logs.LinkLost).Str("member", s.remote.Instance).Int("items", len(pending)).Err(s.cause).Msg("")
	}
	m.Handler.Resubmit(pending)
}

// isLinked reports whether any session with a relay is up. The caller holds m.mu.
func (m *Mesh) isLinked(instance string) bool {
	for s := range m.sessions {
		if s.remote.Instance == instance {
			return true
		}
	}
	return false
}

// markUnreachable records that the relay at an address could not be linked.
func (m *Mesh) markUnreachable(addr string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p, ok := m.Group.MemberAt(addr); ok && !m.isLinked(p.Instance) {
		m.Group.MarkDown(m.Clock.Now(), p.Instance)
		m.forgetOwners()
		m.requestRelink()
	}
}

// forgetOwners makes the owners of all pools and the keepers of streams be chosen again.
// The caller holds m.mu.
func (m *Mesh) forgetOwners() {
	m.keepers.members = nil
	for p, o := range m.owners {
		o.chosenAt = time.Time{}
		m.owners[p] = o
	}
}
