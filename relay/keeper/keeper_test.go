package keeper

import (
	"context"
	"io"
	"net"
	"strconv"
	"sync"
	"testing"
	"time"

	"wigeonplank.example/core/clock"
	"wigeonplank.example/core/origin"
	"wigeonplank.example/relay/logs"
	"wigeonplank.example/relay/peers"
)

var testOrigin = origin.Origin{Service: "s", Version: "v1"}

// startKeeper starts a keeper at an address of 127.0.0.0/8 with a port, 0 for any, and
// returns its port.
func startKeeper(t *testing.T, ip string, port int, incarnation uint64) int {
	t.Helper()
	ln, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
	if err != nil {
		t.Fatal(err)
	}
	s := &Server{Instance: ip, Incarnation: incarnation, Started: time.Now().Add(-time.Minute), Clock: clock.System{}}
	t.Cleanup(func() { _ = ln.Close() })
	go func() { _ = s.Serve(ln) }()
	return ln.Addr().(*net.TCPAddr).Port
}

// testRelay is the keeper side of a relay, with hosts that the test sets.
type testRelay struct {
	Links
	mu    sync.Mutex
	hosts []origin.Host
	stop  context.CancelFunc
}

func startRelay(t *testing.T, port int, hosts ...string) *testRelay {
	t.Helper()
	r := &testRelay{}
	r.set(hosts...)
	r.Links = Links{
		Hosts: func() []origin.Host { r.mu.Lock(); defer r.mu.Unlock(); return r.hosts }, Port: func() int { return port },
		Clock: clock.System{}, Log: logs.New(io.Discard, clock.System{}, "relay"),
	}
	ctx, cancel := context.WithCancel(t.Context())
	r.stop = cancel
	go r.Run(ctx)
	return r
}

func (r *testRelay) set(hosts ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hosts = nil
	for _, ip := range hosts {
		r.hosts = append(r.hosts, origin.Host{IP: ip})
	}
}

// await waits until a number of keepers answer, and returns their answers.
func (r *testRelay) await(t *testing.T, stream string, n int, ok func(a origin.Answer) bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		good := 0
		for _, k := range r.Keepers() {
			answers := make(chan origin.Answer, 1)
			if !r.Ask(k, stream, func(a origin.Answer) { answers <- a }) {
				continue
			}
			select {
			case a := <-answers:
				if ok(a) {
					good++
				}
			case <-time.After(time.Second):
			}
		}
		if good >= n {
			return
		}
	}
	t.Fatalf("not %d keepers answered as wanted about %s", n, stream)
}

func known(a origin.Answer) bool {
	return a.Known && a.Origin == testOrigin && a.Since > 30*time.Second
}

// TestStreamsOutliveAllRelays guards against streams whose version nobody knows once all
// relays are lost.
func TestStreamsOutliveAllRelays(t *testing.T) {
	port := startKeeper(t, "127.0.7.1", 0, 1)
	startKeeper(t, "127.0.7.2", port, 2)
	a := startRelay(t, port, "127.0.7.1", "127.0.7.2")
	a.Record("stream", testOrigin) // before there is any link
	a.await(t, "stream", 2, known)
	a.stop()
	b := startRelay(t, port, "127.0.7.1", "127.0.7.2")
	b.await(t, "stream", 2, known)
	b.await(t, "other", 2, func(a origin.Answer) bool { return !a.Known })
}

// TestKeepersBeforeLinks guards against streams that count as unrecorded at a relay that has just
// started, as it hasn't begun to link to keepers.
func TestKeepersBeforeLinks(t *testing.T) {
	l := Links{Port: func() int { return 7 }, Hosts: func() []origin.Host { return []origin.Host{{IP: "127.0.7.9"}} }, Clock: clock.System{}}
	want := origin.Keeper{Instance: "127.0.7.9:7"}
	if got := l.Keepers(); len(got) != 1 || got[0] != want {
		t.Errorf("keepers %v, want %v", got, want)
	}
}

// TestRecordsFollowHosts guards against streams that are forgotten as the hosts of endpoints
// are replaced.
func TestRecordsFollowHosts(t *testing.T) {
	port := startKeeper(t, "127.0.7.3", 0, 1)
	startKeeper(t, "127.0.7.4", port, 2)
	a := startRelay(t, port, "127.0.7.3")
	a.Record("stream", testOrigin)
	a.await(t, "stream", 1, known)
	a.set("127.0.7.4")
	for end := time.Now().Add(10 * time.Second); a.Keepers()[0].Incarnation != 2; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("keepers in use: %v", a.Keepers())
		}
	}
	a.await(t, "stream", 1, known)
	a.Record("stream", origin.Origin{}) // its version can't be known after all
	a.await(t, "stream", 1, func(a origin.Answer) bool { return a.Known && a.Origin == origin.Origin{} })
}

// TestSilentKeeperIsDropped guards against records that wait for a keeper whose machine is
// gone without a word.
func TestSilentKeeperIsDropped(t *testing.T) {
	closed := make(chan struct{})
	s := &session{
		queue: make(chan *peers.Work, 8), records: make(map[uint64]record), close: func() { close(closed) },
	}
	for range 100 {
		s.tick() // nothing is awaited
	}
	s.record("stream", testOrigin)
	for range maxSilentTicks {
		s.tick()
	}
	if s.failed {
		t.Fatal("dropped early")
	}
	s.tick()
	<-closed
	if s.record("stream", testOrigin) {
		t.Error("a record was sent over a link that has failed")
	}
}
