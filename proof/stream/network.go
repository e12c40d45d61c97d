package stream

import (
	"bytes"
	"fmt"
	"net"
	"regexp"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// Relays listen for one another on one loopback address, and the network on another one under
// the same ports. It replaces the first by the second in what relays tell one another, so
// that all links lead through it.
const (
	relayHost   = "127.0.0.3"
	networkHost = "127.0.0.4"
)

const (
	holdInterval = 10 * time.Millisecond // between two looks whether a cut has ended
	copyBytes    = 32 << 10
	minKept      = 4 // bytes that must match for the end of a read to count as part of an address
)

var relayName = regexp.MustCompile(`relay-\d+`)

// side is what a link of a relay leads to.
type side string

const (
	toStore   side = "store"
	toPeers   side = "relays"
	toKeepers side = "keepers"
)

// cutoff is a relay and what it is cut off from.
type cutoff struct {
	relay string
	side  side
}

// network carries the links of relays to the store, to keepers and to one another. A cut is
// silent: what is sent waits until it ends, as with packets that are sent again.
type network struct {
	mu        sync.Mutex
	listeners []net.Listener
	closed    bool
	cuts      map[cutoff]int // number of cuts that haven't ended
}

// link is a connection through the network.
type link struct {
	net  *network
	side side
	to   string // relay, of a link between two
	mu   sync.Mutex
	from string // relay; empty: not known yet
}

// cut cuts a relay off. The returned function ends that.
func (n *network) cut(relay string, sides ...side) (end func()) {
	n.addCuts(relay, sides, 1)
	return func() { n.addCuts(relay, sides, -1) }
}

func (n *network) addCuts(relay string, sides []side, count int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cuts == nil {
		n.cuts = make(map[cutoff]int)
	}
	for _, s := range sides {
		n.cuts[cutoff{relay, s}] += count
	}
}

// listen forwards connections to an address. They come from one relay, or from any and lead to
// one.
func (n *network) listen(addr, target string, l *link) (string, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return "", fmt.Errorf("listen for links: %w", err)
	}
	n.mu.Lock()
	n.listeners = append(n.listeners, ln)
	n.mu.Unlock()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return // closed
			}
			go (&link{net: n, side: l.side, from: l.from, to: l.to}).forward(c, target)
		}
	}()
	return ln.Addr().String(), nil
}

// close closes all listeners and ends all cuts. Links end with their relays.
func (n *network) close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.closed = true
	for _, ln := range n.listeners {
		_ = ln.Close()
	}
}

func (l *link) forward(client net.Conn, target string) {
	defer func() { _ = client.Close() }()
	for l.isCut() {
		if !isOpen(client) { // else relays that dial again and again use up all descriptors
			return
		}
		time.Sleep(holdInterval)
	}
	server, err := net.DialTimeout("tcp", target, dialTimeout)
	if err != nil {
		return
	}
	go func() {
		l.copy(server, client, true)
		_ = server.Close()
	}()
	l.copy(client, server, false)
	_ = server.Close()
}

// isOpen reports whether the other side hasn't closed a connection.
func isOpen(conn net.Conn) bool {
	const established = 1 // of the kernel's states of connections
	open := true
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	err = raw.Control(func(fd uintptr) {
		info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		open = err == nil && info.State == established
	})
	return err == nil && open
}

// hold waits while the link is cut.
func (l *link) hold() {
	for l.isCut() {
		time.Sleep(holdInterval)
	}
}

func (l *link) isCut() bool {
	l.mu.Lock()
	from := l.from
	l.mu.Unlock()
	l.net.mu.Lock()
	defer l.net.mu.Unlock()
	if l.net.closed {
		return false
	}
	return l.net.cuts[cutoff{from, l.side}] > 0 || l.net.cuts[cutoff{l.to, l.side}] > 0
}

// copy copies bytes one way. The first relay that the dialing one names is itself.
func (l *link) copy(dst, src net.Conn, dialer bool) {
	own, shown := []byte(relayHost+":"), []byte(networkHost+":")
	buf, kept := make([]byte, copyBytes), 0
	for {
		n, err := src.Read(buf[kept:])
		out := buf[:kept+n]
		if l.to != "" {
			out = bytes.ReplaceAll(out, own, shown)
			if l.mu.Lock(); dialer && l.from == "" {
				l.from = string(relayName.Find(out))
			}
			l.mu.Unlock()
			kept = partOf(out, own)
		}
		l.hold()
		if _, werr := dst.Write(out[:len(out)-kept]); werr != nil || err != nil {
			return
		}
		copy(buf, out[len(out)-kept:])
	}
}

// partOf returns how many of the last bytes may begin a pattern.
func partOf(b, pattern []byte) int {
	for n := min(len(b), len(pattern)-1); n >= minKept; n-- {
		if bytes.HasPrefix(pattern, b[len(b)-n:]) {
			return n
		}
	}
	return 0
}
