package fleet

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// ProxyMode selects the fault that a proxy injects into a link.
type ProxyMode string

// Modes of a proxy.
const (
	ProxyPass         ProxyMode = "pass"    // bytes are forwarded at once
	ProxyDropExisting ProxyMode = "swallow" // drops all bytes of existing connections; new connections work
	ProxyCut          ProxyMode = "cut"     // closes existing connections, and new ones when it has accepted them
	ProxyDropAll      ProxyMode = "black"   // drops all bytes of existing and new connections
	ProxyDelay        ProxyMode = "delay"   // delays bytes towards the agent
	ProxySlow         ProxyMode = "slow"    // forwards slowBandwidth bytes per second each way
)

const (
	proxyDelay    = 500 * time.Millisecond // before the bytes of each read are forwarded, in mode ProxyDelay
	slowBandwidth = 10_000_000 / 8         // bytes per second, in mode ProxySlow
)

// linkKey identifies a link by the names of its entry and instance.
type linkKey struct{ entry, instance string }

// LinkProxies is a set of fault-injecting TCP proxies, one for each link between
// an entry and an agent. The zero value is an empty set.
type LinkProxies struct {
	mu      sync.Mutex
	proxies map[linkKey]*linkProxy
}

// linkProxy is the proxy of one link.
type linkProxy struct {
	ln     net.Listener
	target string // address of the agent
	mu     sync.Mutex
	mode   ProxyMode
	conns  map[*proxiedConn]bool // open connections
}

// proxiedConn is a connection through a proxy.
type proxiedConn struct {
	client, server net.Conn
	mu             sync.Mutex
	dropping       bool // stays set until the connection closes
	slow           bool
	delay          time.Duration
}

// Addr returns the address of the proxy between an entry and an instance. It
// starts the proxy if there is none. agent is the address of the instance's agent.
func (p *LinkProxies) Addr(entry, instance, agent string) (string, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	k := linkKey{entry, instance}
	if lp, ok := p.proxies[k]; ok {
		return lp.ln.Addr().String(), nil
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listen for link proxy: %w", err)
	}
	lp := &linkProxy{ln: ln, target: agent, mode: ProxyPass, conns: make(map[*proxiedConn]bool)}
	if p.proxies == nil {
		p.proxies = make(map[linkKey]*linkProxy)
	}
	p.proxies[k] = lp
	go lp.serve()
	return ln.Addr().String(), nil
}

// SetMode changes the mode of the proxies between an entry and an instance. An empty
// name stands for all entries or all instances.
func (p *LinkProxies) SetMode(entry, instance string, m ProxyMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for k, lp := range p.proxies {
		if (entry == "" || k.entry == entry) && (instance == "" || k.instance == instance) {
			lp.setMode(m)
		}
	}
}

// Close closes all proxies and their connections.
func (p *LinkProxies) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, lp := range p.proxies {
		_ = lp.ln.Close()
		lp.setMode(ProxyCut)
	}
}

func (lp *linkProxy) setMode(m ProxyMode) {
	lp.mu.Lock()
	defer lp.mu.Unlock()
	lp.mode = m
	for c := range lp.conns {
		switch m {
		case ProxyDropExisting, ProxyDropAll:
			c.startDropping()
		case ProxyCut:
			c.close()
		case ProxyDelay:
			c.setDelay(proxyDelay)
		case ProxySlow:
			c.setSlow(true)
		case ProxyPass:
			c.setDelay(0)
			c.setSlow(false)
		}
	}
}

// serve accepts connections until the listener is closed.
func (lp *linkProxy) serve() {
	for {
		c, err := lp.ln.Accept()
		if err != nil {
			return
		}
		go lp.forward(c)
	}
}

// forward connects to the agent and copies bytes both ways until the connection
// from the agent ends.
func (lp *linkProxy) forward(client net.Conn) {
	lp.mu.Lock()
	mode := lp.mode
	lp.mu.Unlock()
	if mode == ProxyCut {
		_ = client.Close()
		return
	}
	server, err := net.DialTimeout("tcp", lp.target, time.Second)
	if err != nil {
		_ = client.Close()
		return
	}
	c := &proxiedConn{client: client, server: server, dropping: mode == ProxyDropAll}
	if mode == ProxyDelay {
		c.delay = proxyDelay
	}
	c.slow = mode == ProxySlow
	lp.mu.Lock()
	lp.conns[c] = true
	lp.mu.Unlock()
	go c.copy(c.server, c.client, true)
	c.copy(c.client, c.server, false)
	lp.mu.Lock()
	delete(lp.conns, c)
	lp.mu.Unlock()
}

// copy copies bytes one way. A dropping connection reads on, discards the bytes
// and doesn't forward the end of the stream, like a network that has lost the
// state of a connection.
func (c *proxiedConn) copy(dst, src net.Conn, delayed bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := src.Read(buf)
		dropping, slow, delay := c.fault()
		if delayed && delay > 0 {
			time.Sleep(delay)
		}
		if slow {
			time.Sleep(time.Duration(n) * time.Second / slowBandwidth)
		}
		if dropping {
			if err != nil {
				return // dst stays open
			}
			continue
		}
		if n > 0 {
			if _, werr := dst.Write(buf[:n]); werr != nil {
				err = werr
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				_ = src.Close()
			}
			_ = dst.Close()
			return
		}
	}
}

func (c *proxiedConn) fault() (dropping, slow bool, delay time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dropping, c.slow, c.delay
}

func (c *proxiedConn) startDropping() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dropping = true
}

func (c *proxiedConn) setDelay(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.delay = d
}

func (c *proxiedConn) setSlow(slow bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.slow = slow
}

func (c *proxiedConn) close() {
	_ = c.client.Close()
	_ = c.server.Close()
}
