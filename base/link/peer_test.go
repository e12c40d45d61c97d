package link_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"wigeonplank.example/base/link"
	"wigeonplank.example/core/wire"
)

// startAgent accepts links until the test ends. It answers calls after 20 ms, and pings unless
// deaf is set.
func startAgent(t *testing.T, deaf *atomic.Bool) (addr string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &link.Server{
		Welcome: &wire.Welcome{Incarnation: 5},
		OnHello: func(*wire.Hello) {},
		OnPing: func(uint64, *wire.Ping) *wire.Pong {
			for deaf.Load() {
				time.Sleep(10 * time.Millisecond)
			}
			return &wire.Pong{}
		},
		NewerDocument: func(uint64, uint64) []byte { return nil },
		OnCall: func(st *link.Stream, _ *wire.Request) {
			time.Sleep(20 * time.Millisecond)
			_ = st.Send(&wire.Ping{Revision: 7}) // judged by what is received
		},
		OnDisconnect: func(uint64) {},
		OnError:      func(error) {},
	}
	go func() { _ = s.Serve(ln) }() // ends with Close
	t.Cleanup(s.Close)
	return ln.Addr().String()
}

// newPeer returns a link to an agent that isn't run yet.
func newPeer(addr string) *link.Peer {
	return &link.Peer{
		Addr: addr, LastSeq: func() uint64 { return 0 }, NewPing: func() *wire.Ping { return &wire.Ping{} },
		NewerDocument: func(uint64, uint64) []byte { return nil },
		OnUp:          func(*wire.Welcome) {}, OnDown: func(error) {}, OnPong: func(*wire.Pong) {},
	}
}

// TestLinkIsUsableOnceItIsUp guards against charges that an agent refuses because they were
// sent over a new link before the incarnation of the agent was recorded.
func TestLinkIsUsableOnceItIsUp(t *testing.T) {
	p := newPeer(startAgent(t, &atomic.Bool{}))
	var recorded atomic.Bool
	p.OnUp = func(*wire.Welcome) {
		time.Sleep(50 * time.Millisecond)
		recorded.Store(true)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	go p.Run(ctx)
	if err := p.AwaitLink(ctx); err != nil {
		t.Fatal(err)
	}
	if !recorded.Load() {
		t.Error("the link can be used before its agent is recorded")
	}
}

// TestSilentLinkIsAwaited guards against charges that are sent again and again while the
// link to their agent is silent, as if it were up.
func TestSilentLinkIsAwaited(t *testing.T) {
	deaf := &atomic.Bool{}
	p := newPeer(startAgent(t, deaf))
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	awaited := make(chan error, 1)
	p.OnDown = func(error) { // no link is opened before it returns
		short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
		defer cancel()
		select {
		case awaited <- p.AwaitLink(short):
		default:
		}
	}
	go p.Run(ctx)
	if err := p.AwaitLink(ctx); err != nil {
		t.Fatal(err)
	}
	deaf.Store(true)
	if err := <-awaited; err == nil {
		t.Error("a silent link counts as up")
	}
	deaf.Store(false)
	if err := p.AwaitLink(ctx); err != nil {
		t.Errorf("no link after the silent one: %v", err)
	}
}

// TestQueryDuringStall guards against an agent that counts as unreachable because the time for its
// answer passed while this process stood still.
func TestQueryDuringStall(t *testing.T) {
	p := newPeer(startAgent(t, &atomic.Bool{}))
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	go p.Run(ctx)
	if err := p.AwaitLink(ctx); err != nil {
		t.Fatal(err)
	}
	past, cancelPast := context.WithDeadline(ctx, time.Now().Add(-time.Second))
	defer cancelPast()
	if err := p.AwaitLink(past); err != nil {
		t.Error(err)
	}
	var got wire.Ping
	err := p.Query(past, &wire.Request{}, func(st *link.Stream) error { return st.Receive(&got) })
	if err != nil || got.GetRevision() != 7 {
		t.Errorf("got %v, %v, want the answer", &got, err)
	}
	ended, end := context.WithCancel(ctx)
	end()
	if err := p.Query(ended, &wire.Request{}, func(st *link.Stream) error { return st.Receive(&got) }); err == nil {
		t.Error("a query that was ended got an answer")
	}
}
