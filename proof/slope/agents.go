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

// agents is a number of simulated agents that answer pings and pass documents
// on, in this process.
type agents struct {
	list    []roster.Instance
	servers []*link.Server
	count   counter
	held    []*held
}

// held is what one simulated agent has in force.
type held struct {
	mu     sync.Mutex
	keeper conf.Tracker
	number atomic.Uint64
}

const zones = 36

func startAgents(n int) (*agents, error) {
	a := &agents{}
	for i := range n {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, fmt.Errorf("listen for simulated agent: %w", err)
		}
		h := &held{}
		s := &link.Server{
			Welcome:     &wire.Welcome{Incarnation: uint64(i) + 1},
			OnHello:     func(*wire.Hello) {},
			OnPing:      func(_ uint64, p *wire.Ping) *wire.Pong { return h.pong(p, uint64(i)+1) },
			Newer:       h.newer,
			OnPublished: h.offer,
			OnCall:      func(*link.Stream, *wire.Request) {},
			OnGone:      func(uint64) {},
			OnError:     func(error) {},
		}
		go func() { _ = s.Serve(countedListener{Listener: ln, count: &a.count}) }()
		a.servers = append(a.servers, s)
		a.held = append(a.held, h)
		a.list = append(a.list, roster.Instance{
			ID:     fmt.Sprintf("i%05d", i),
			Zone:   fmt.Sprintf("z%d", i%zones),
			State:  roster.StateLive,
			Agent:  ln.Addr().String(),
			Labels: map[string]string{"role": "any", "service": "pool"},
		})
	}
	return a, nil
}

func (h *held) pong(p *wire.Ping, incarnation uint64) *wire.Pong {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := &wire.Pong{
		Seq:         p.GetSeq(),
		Incarnation: incarnation,
		Room:        &wire.Room{Limit: 8, Model: "m@v1"},
		Fresh:       true,
		Number:      h.number.Add(1),
	}
	if cur := h.keeper.Current(); cur != nil {
		out.Revision = cur.Revision()
		out.Digest = cur.Digest
	}
	return out
}

func (h *held) newer(revision, digest uint64) []byte {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.keeper.NewerThan(revision, digest)
}

func (h *held) offer(raw []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.keeper.Offer(raw)
}

// haveAll reports whether all have a revision in force.
func (a *agents) haveAll(revision uint64) bool {
	for _, h := range a.held {
		h.mu.Lock()
		got := h.keeper.Current().Revision()
		h.mu.Unlock()
		if got < revision {
			return false
		}
	}
	return true
}

func (a *agents) stop() {
	for _, s := range a.servers {
		s.Close()
	}
}
