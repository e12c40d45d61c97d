package fleet

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// RelayMode says what a relay does with a link.
type RelayMode string

// Modes of a relay.
const (
	RelayPass    RelayMode = "pass"
	RelaySwallow RelayMode = "swallow" // connections that stand go silent; new ones work
	RelayCut     RelayMode = "cut"     // connections are closed, new ones refused
	RelayBlack   RelayMode = "black"   // all connections, new ones too, carry nothing
	RelayDelay   RelayMode = "delay"   // bytes towards the agent arrive half a second late
)

const relayDelay = 500 * time.Millisecond

type relayKey struct{ entry, instance string }

// Relays stands between entries and agents. The zero value has no relay.
type Relays struct {
	mu sync.Mutex
	m  map[relayKey]*relay
}

type relay struct {
	ln   net.Listener
	to   string
	mu   sync.Mutex
	mode RelayMode
	old  map[*pipe]bool
}

// pipe is one connection through a relay.
type pipe struct {
	a, b  net.Conn
	mu    sync.Mutex
	mute  bool
	delay time.Duration
}

// Addr returns the address at which an entry reaches an instance's agent.
func (r *Relays) Addr(entry, instance, agent string) (string, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := relayKey{entry, instance}
	if rl, ok := r.m[k]; ok {
		return rl.ln.Addr().String(), nil
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("open relay: %w", err)
	}
	rl := &relay{ln: ln, to: agent, mode: RelayPass, old: make(map[*pipe]bool)}
	if r.m == nil {
		r.m = make(map[relayKey]*relay)
	}
	r.m[k] = rl
	go rl.serve()
	return ln.Addr().String(), nil
}

// Set changes the mode of the relays between an entry and an instance. An empty
// name stands for all.
func (r *Relays) Set(entry, instance string, m RelayMode) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for k, rl := range r.m {
		if (entry == "" || k.entry == entry) && (instance == "" || k.instance == instance) {
			rl.set(m)
		}
	}
}

// Close ends all relays.
func (r *Relays) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, rl := range r.m {
		_ = rl.ln.Close()
		rl.set(RelayCut)
	}
}

func (rl *relay) set(m RelayMode) {
	rl.mu.Lock()
	defer rl.mu.Unlock()
	rl.mode = m
	for p := range rl.old {
		switch m {
		case RelaySwallow, RelayBlack:
			p.silence()
		case RelayCut:
			p.close()
		case RelayDelay:
			p.slow(relayDelay)
		case RelayPass:
			p.slow(0)
		}
	}
}

func (rl *relay) serve() {
	for {
		c, err := rl.ln.Accept()
		if err != nil {
			return
		}
		go rl.carry(c)
	}
}

func (rl *relay) carry(c net.Conn) {
	rl.mu.Lock()
	mode := rl.mode
	rl.mu.Unlock()
	if mode == RelayCut {
		_ = c.Close()
		return
	}
	b, err := net.DialTimeout("tcp", rl.to, time.Second)
	if err != nil {
		_ = c.Close()
		return
	}
	p := &pipe{a: c, b: b, mute: mode == RelayBlack}
	if mode == RelayDelay {
		p.delay = relayDelay
	}
	rl.mu.Lock()
	rl.old[p] = true
	rl.mu.Unlock()
	go p.copy(p.b, p.a, true)
	p.copy(p.a, p.b, false)
	rl.mu.Lock()
	delete(rl.old, p)
	rl.mu.Unlock()
}

// copy carries bytes one way. A mute pipe reads on and drops them, as a network
// does that has lost track of a connection.
func (p *pipe) copy(to, from net.Conn, late bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		mute, delay := p.state()
		if late && delay > 0 {
			time.Sleep(delay)
		}
		if mute {
			if err != nil {
				return // the other side isn't told
			}
			continue
		}
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				_ = from.Close()
			}
			_ = to.Close()
			return
		}
	}
}

func (p *pipe) state() (mute bool, delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mute, p.delay
}

func (p *pipe) silence() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mute = true
}

func (p *pipe) slow(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = d
}

func (p *pipe) close() {
	_ = p.a.Close()
	_ = p.b.Close()
}
