package slope

import (
	"fmt"
	"net"
	"sync"
	"sync/atomic"

	"wigeonplank.example/base/link"
	"wigeonplank.example/core/conf"
	"wigeonplank.example/core/roster"
	"wigeonplank.example/core/wire"
)

// numZones is the number of zones of a published document, over which simulated
// agents are spread.
const numZones = 36

// simulatedAgents are agents simulated in this process. They answer pings and
// exchange published documents, but execute no requests.
type simulatedAgents struct {
	instances []roster.Instance
	servers   []*link.Server
	traffic   byteCounter // on all their links
	peers     []*simulatedPeer
}

// simulatedPeer is the configuration state of one simulated agent or entry.
type simulatedPeer struct {
	mu      sync.Mutex
	tracker conf.Tracker
	pongs   atomic.Uint64 // number of the last pong sent
}

// startAgents starts the link servers of n simulated agents on loopback.
func startAgents(n int) (*simulatedAgents, error) {
	a := &simulatedAgents{}
	for i := range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("listen for simulated agent: %w", err)
		}
		p := &simulatedPeer{}
		s := &link.Server{
			Welcome:       &wire.Welcome{Incarnation: uint64(i) + 1},
			OnHello:       func(*wire.Hello) {},
			OnPing:        func(_ uint64, ping *wire.Ping) *wire.Pong { return p.pong(ping, uint64(i)+1) },
			NewerDocument: p.newerThan,
			OnPublished:   p.offer,
			OnCall:        func(*link.Stream, *wire.Request) {},
			OnDisconnect:  func(uint64) {},
			OnError:       func(error) {},
		}
		go func() { _ = s.Serve(countingListener{Listener: ln, count: &a.traffic}) }()
		a.servers = append(a.servers, s)
		a.peers = append(a.peers, p)
		a.instances = append(a.instances, roster.Instance{
			ID:     fmt.Sprintf("i%05d", i),
			Zone:   fmt.Sprintf("z%d", i%numZones),
			State:  roster.StateLive,
			Agent:  ln.Addr().String(),
			Labels: map[string]string{"role": "any", "service": "pool"},
		})
	}
	return a, nil
}

// pong returns the answer to a ping, with the current configuration and capacity
// for 8 requests.
func (p *simulatedPeer) pong(ping *wire.Ping, incarnation uint64) *wire.Pong {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := &wire.Pong{
		Seq:         ping.GetSeq(),
		Incarnation: incarnation,
		Room:        &wire.Room{Limit: 8, Model: "m@v1"},
		Fresh:       true,
		Number:      p.pongs.Add(1),
	}
	if cur := p.tracker.Current(); cur != nil {
		out.Revision = cur.Revision()
		out.Digest = cur.Digest
	}
	return out
}

// newerThan returns the current document if it supersedes the one with the given
// revision and digest, and nil otherwise.
func (p *simulatedPeer) newerThan(revision, digest uint64) []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tracker.NewerThan(revision, digest)
}

// offer applies a published document, unless the current one takes precedence.
func (p *simulatedPeer) offer(raw []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tracker.Offer(raw)
}

// allHaveRevision reports whether every agent has applied the given revision or a
// later one.
func (a *simulatedAgents) allHaveRevision(revision uint64) bool {
	for _, p := range a.peers {
		p.mu.Lock()
		got := p.tracker.Current().Revision()
		p.mu.Unlock()
		if got < revision {
			return false
		}
	}
	return true
}

func (a *simulatedAgents) stop() {
	for _, s := range a.servers {
		s.Close()
	}
}
