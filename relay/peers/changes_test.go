package peers

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"wigeonplank.example/core/batch"
	"wigeonplank.example/core/clock"
	"wigeonplank.example/core/notice"
	"wigeonplank.example/core/peer"
	"wigeonplank.example/core/repl"
	"wigeonplank.example/relay/logs"
)

const (
	slowLink      = 10_000_000 / 8  // bytes per second, each way
	applyLimit    = 3 * time.Second // within which a configuration is in force everywhere
	largestConfig = 1 << 20         // bytes; the most that the store keeps under a key
	messageParts  = 16              // of a configuration that may pass a message; 0.4 s, half of heartbeatTimeout
)

// slowConn is a connection over a link of limited bandwidth.
type slowConn struct {
	net.Conn
	free time.Time // when the link has sent what was written
}

func (c *slowConn) Write(p []byte) (int, error) {
	const frame = 8 << 10
	for sent := 0; sent < len(p); {
		n := min(frame, len(p)-sent)
		if now := time.Now(); c.free.Before(now) {
			c.free = now
		}
		c.free = c.free.Add(time.Duration(n) * time.Second / slowLink)
		time.Sleep(time.Until(c.free))
		n, err := c.Conn.Write(p[sent : sent+n])
		if sent += n; err != nil {
			return sent, err
		}
	}
	return len(p), nil
}

// idleHandler is a relay without requests. It counts the links that end, and tells when a
// message arrives.
type idleHandler struct {
	Handler
	Engines
	ended    atomic.Int32
	released chan struct{}
}

func (*idleHandler) Reports() map[batch.Pool]batch.Report { return nil }
func (*idleHandler) Backlogs() map[batch.Pool]int         { return nil }
func (*idleHandler) Notices(int) ([]notice.Entry, int)    { return nil, 0 }
func (*idleHandler) RecordNotices([]notice.Entry)         {}

func (h *idleHandler) ReleaseDirectly([]string) { h.released <- struct{}{} }

func (h *idleHandler) Resubmit([]*batch.Item) { h.ended.Add(1) }

// replica is a Source without a store.
type replica struct {
	parts atomic.Int32 // that have arrived
	mu    sync.Mutex
	table repl.Table
}

func (r *replica) Ready() (bool, string)   { return true, "" }
func (r *replica) Receiving()              { r.parts.Add(1) }
func (r *replica) Behind() time.Duration   { return 0 }
func (r *replica) Position() repl.Position { return repl.Position{Point: r.point()} }

func (r *replica) Announced(p repl.Position) bool { return r.point().Before(p.Point) }

func (r *replica) point() repl.Point {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Point()
}

func (r *replica) Changes(after repl.Point) (repl.Update, repl.Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Since(after), repl.Position{Point: r.table.Point()}
}

func (r *replica) Apply(_ repl.Transfer, u repl.Update, _ repl.Position) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.table.Apply(u) // an update that doesn't fit is requested again
}

// put changes the value of a key.
func (r *replica) put(key string, value []byte) repl.Point {
	at := r.point()
	r.Apply(repl.Transfer{}, repl.Update{
		After: at.Revision, To: at.Revision + 1, Entries: []repl.Entry{{Key: key, Value: value, Revision: at.Revision + 1}},
	}, repl.Position{})
	return r.point()
}

// testRelay is a relay on one end of a slow link.
type testRelay struct {
	*Mesh
	idleHandler
	replica
}

// startPair returns two relays that are linked by a slow connection.
func startPair(t *testing.T) (a, b *testRelay) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	log := logs.New(io.Discard, clock.System{}, "test")
	newRelay := func(name string) *testRelay {
		r := &testRelay{idleHandler: idleHandler{released: make(chan struct{}, 1)}}
		r.Mesh = &Mesh{
			Group: &peer.Group{Self: peer.Member{Instance: name, Addr: name, Zone: "z", Incarnation: 1}, Started: time.Now()},
			Seeds: func() []string { return []string{"a"} }, Handler: &r.idleHandler, Engines: &r.idleHandler, Notices: &r.idleHandler,
			Clock: clock.System{}, Log: log, Source: &r.replica,
		}
		r.init()
		r.Apply(repl.Transfer{}, repl.Update{Full: true, To: 1}, repl.Position{})
		return r
	}
	a, b = newRelay("a"), newRelay("b")
	b.Dial = func(context.Context, string) (net.Conn, error) {
		near, far := net.Pipe()
		go a.serveLink(&slowConn{Conn: far})
		return &slowConn{Conn: near}, nil
	}
	a.Dial = func(context.Context, string) (net.Conn, error) { return nil, net.ErrClosed }
	go b.Run(ctx)
	awaitPoint(t, a, b, a.put("ready", nil), applyLimit)
	return a, b
}

// awaitPoint announces the changes of one relay, and waits until another one has them.
func awaitPoint(t *testing.T, from, to *testRelay, p repl.Point, limit time.Duration) {
	t.Helper()
	start := time.Now()
	from.Announce()
	for to.point().Before(p) {
		if time.Since(start) > limit {
			t.Fatalf("revision %d is missing after %v, %d links have ended", p.Revision, limit, from.ended.Load())
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// sessionTo returns a relay's link to another one.
func sessionTo(r *testRelay, instance string) *session {
	r.Mesh.mu.Lock()
	defer r.Mesh.mu.Unlock()
	return r.byID[instance]
}

// randomBytes returns bytes that can't be compressed.
func randomBytes(n int) []byte {
	out := make([]byte, n)
	random := rand.NewChaCha8([32]byte{1})
	_, _ = random.Read(out) // never fails
	return out
}

// TestLargeConfigurationOverSlowLink guards against configurations that never reach relays
// with slow links: sent in one message, they exceeded the time limits of the link, which
// was closed, opened again, and closed by the next attempt.
func TestLargeConfigurationOverSlowLink(t *testing.T) {
	tests := map[string]struct {
		size       int
		fromDialer bool
		limit      time.Duration
	}{
		"largest today":             {largestConfig, false, applyLimit},
		"from the relay that dials": {largestConfig, true, applyLimit},
		"larger":                    {4 * largestConfig, false, 4 * applyLimit}, // no bound on the size of what is sent
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			from, to := startPair(t)
			if tt.fromDialer {
				from, to = to, from
			}
			config := randomBytes(tt.size)
			awaitPoint(t, from, to, from.put("config", config), tt.limit)
			got, _ := to.Changes(repl.Point{Revision: -1})
			if n := len(got.Entries); n != 2 || !bytes.Equal(got.Entries[1].Value, config) {
				t.Errorf("%d entries, or not the configuration", n)
			}
			if n := from.ended.Load(); n > 0 {
				t.Errorf("%d links have ended", n)
			}
		})
	}
}

// TestMessagesPassConfiguration guards against stage items that wait behind a configuration
// on a slow link until they are late.
func TestMessagesPassConfiguration(t *testing.T) {
	a, b := startPair(t)
	p := b.put("config", randomBytes(largestConfig))
	b.Announce()
	s := sessionTo(b, "a")
	for sent := 0; a.point().Before(p); sent++ {
		before := a.parts.Load()
		s.send(&Work{Kind: &Work_Release{Release: &Release{}}})
		select {
		case <-a.released:
		case <-time.After(applyLimit):
			t.Fatalf("message %d doesn't arrive, %d links have ended", sent, a.ended.Load())
		}
		if n := a.parts.Load() - before; n > messageParts {
			t.Fatalf("message %d was passed by %d parts, want at most %d", sent, n, messageParts)
		}
	}
}

// TestBusyLinkCarriesConfiguration guards against configurations that wait for as long as
// there are other messages.
func TestBusyLinkCarriesConfiguration(t *testing.T) {
	clk := clock.NewFake(time.UnixMilli(1_700_000_000_000))
	message, part := &Work{}, &Work{}
	s := &session{mesh: &Mesh{Clock: clk}, queue: make(chan *Work, maxQueuedMessages), parts: make(chan *Work, 1), partSentAt: clk.Now()}
	for range maxQueuedMessages {
		s.queue <- message
	}
	s.parts <- part
	for range maxQueuedMessages / 2 {
		if s.nextWork() == part {
			t.Fatal("a part is sent before other messages")
		}
	}
	clk.Advance(maxPartDelay)
	for range maxQueuedMessages / 2 {
		if s.nextWork() == part {
			return
		}
	}
	t.Errorf("no part is sent %v after the last one", maxPartDelay)
}

// TestRequestedChanges guards against relays of an earlier release that get no changes from
// those of this one, as they expect them in one message, and against responses to two
// requests whose parts mix.
func TestRequestedChanges(t *testing.T) {
	tests := map[string]struct {
		packed   bool
		requests int
	}{
		"earlier release": {false, 1},
		"requested twice": {true, 2},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a, b := startPair(t)
			config := randomBytes(largestConfig)
			before := b.point()
			p := a.put("config", config)
			s := sessionTo(b, "a")
			for range tt.requests {
				s.send(&Work{Kind: &Work_Fetch{Fetch: &SnapshotRequest{After: before.Revision, Changes: true, Packed: tt.packed}}})
			}
			for start := time.Now(); b.point().Before(p); time.Sleep(10 * time.Millisecond) {
				if time.Since(start) > applyLimit {
					t.Fatalf("the changes are missing, %d links have ended", a.ended.Load())
				}
			}
			if got, _ := b.Changes(before); len(got.Entries) != 1 || !bytes.Equal(got.Entries[0].Value, config) {
				t.Errorf("%d entries, or not the configuration", len(got.Entries))
			}
			if n := a.ended.Load(); n > 0 {
				t.Errorf("%d links have ended", n)
			}
		})
	}
}
