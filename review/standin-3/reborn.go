package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { scenarios["reborn"] = playReborn }

// wire is the network between the relays and one server. While it is cut, it holds what either side has sent,
// the end of a connection too, and passes it on once the cut has healed: TCP sends again what was lost. New
// connections hang meanwhile, as nothing answers.
type wire struct {
	ln *net.TCPListener
	to func() string

	mu     sync.Mutex
	healed chan struct{} // closed while the wire isn't cut
	filler net.Conn      // takes the only place in the listener's queue during a cut
}

const queueLength = 128 // of connections that wait to be accepted

func newWire(addr string, to func() string) (*wire, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	x := &wire{ln: ln.(*net.TCPListener), to: to, healed: make(chan struct{})}
	close(x.healed)
	go func() {
		for {
			c, err := x.ln.AcceptTCP()
			if isTimeout(err) { // a cut begins
				x.wait()
				continue
			}
			if err != nil {
				return
			}
			go x.carry(c)
		}
	}()
	return x, nil
}

// setQueue sets the length of the listener's queue. With 0, one connection has a place.
func (x *wire) setQueue(n int) {
	if raw, err := x.ln.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), n) })
	}
}

func (x *wire) cut() {
	x.mu.Lock()
	x.healed = make(chan struct{})
	x.mu.Unlock()
	_ = x.ln.SetDeadline(time.Now()) // ends the wait for a connection
	time.Sleep(5 * time.Millisecond)
	x.setQueue(0)
	x.filler, _ = net.DialTimeout("tcp", x.ln.Addr().String(), 100*time.Millisecond)
}

func (x *wire) heal() {
	if x.filler != nil {
		_ = x.filler.Close()
	}
	x.setQueue(queueLength)
	_ = x.ln.SetDeadline(time.Time{})
	x.mu.Lock()
	defer x.mu.Unlock()
	close(x.healed)
}

func (x *wire) wait() {
	x.mu.Lock()
	c := x.healed
	x.mu.Unlock()
	<-c
}

func (x *wire) carry(c *net.TCPConn) {
	defer c.Close()
	x.wait()
	raw, err := net.DialTimeout("tcp", x.to(), time.Second)
	if err != nil {
		_ = c.SetLinger(0) // nothing listens there
		return
	}
	s := raw.(*net.TCPConn)
	defer s.Close()
	done := make(chan bool, 2)
	pass := func(dst, src *net.TCPConn) {
		defer func() { done <- true }()
		buf := make([]byte, 32<<10)
		for {
			n, err := src.Read(buf)
			x.wait()
			if n > 0 {
				if _, err := dst.Write(buf[:n]); err != nil {
					return
				}
			}
			if err == io.EOF {
				_ = dst.CloseWrite()
				return
			}
			if err != nil {
				_ = dst.SetLinger(0)
				return
			}
		}
	}
	go pass(s, c)
	pass(c, s)
	_ = c.Close()
	<-done
	<-done
}

// ledgerServer is a server of a plain service whose answers have neither a length nor chunks, and end with their
// connection. It sends an answer in parts, as it makes it.
type ledgerServer struct {
	w    *world
	id   string
	runs *ledger

	mu    sync.Mutex
	addr  string
	ln    net.Listener
	conns map[net.Conn]bool
	born  int64
}

const (
	answerParts = 8
	partTime    = 45 * time.Millisecond
)

func (s *ledgerServer) start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	ln, err := net.Listen("tcp", s.addr)
	if err != nil {
		return err
	}
	s.ln, s.addr, s.born, s.conns = ln, ln.Addr().String(), time.Now().UnixMilli(), make(map[net.Conn]bool)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[c] = true
			s.mu.Unlock()
			go func() {
				s.serve(c)
				_ = c.Close()
				s.mu.Lock()
				delete(s.conns, c)
				s.mu.Unlock()
			}()
		}
	}()
	return nil
}

// kill ends the process: its listener and connections are closed by the system.
func (s *ledgerServer) kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.ln.Close()
	for c := range s.conns {
		_ = c.Close()
	}
}

func (s *ledgerServer) serve(c net.Conn) {
	r := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		id := req.Header.Get("X-Attempt-Id")
		if want := req.Header.Get("X-Expect-Instance"); want != "" && want != s.id {
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\nX-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
			continue
		}
		if id == "" {
			s.w.note("server %s gets %s %s without an id: 400, not run", s.id, req.Method, req.URL.Path)
			fmt.Fprint(c, "HTTP/1.1 400 Bad Request\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		s.w.note("server %s runs %s (run %d)", s.id, id, s.runs.add(id, s.id))
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Stamp: stamp-%s\r\n\r\n", id, s.id)
		whole := wholeAnswer(id)
		part := len(whole) / answerParts
		for n := range answerParts {
			time.Sleep(partTime)
			to := (n + 1) * part
			if n == answerParts-1 {
				to = len(whole)
			}
			if _, err := io.WriteString(c, whole[n*part:to]); err != nil {
				s.w.note("server %s has ended in its answer to %s, after %d of %d bytes", s.id, id, n*part, len(whole))
				return
			}
		}
		s.w.note("server %s has answered %s", s.id, id)
		return
	}
}

// wholeAnswer is the whole body of the answer to a request.
func wholeAnswer(id string) string {
	return "credential of " + id + ": " + strings.Repeat("0123456789", 76) + " end of credential"
}

// playReborn plays the registry of the sheet: 4 servers, 34.7 issues and 13.9 lookups a second. Every 8 s one of the
// servers is cut off for 1.5 s, crashes behind the cut and starts again under its id.
func playReborn(w *world) error {
	zones := []string{"austin-a", "austin-b", "waco", "san-marcos"}
	runs := &ledger{}
	var servers []*ledgerServer
	var wires []*wire
	entry := func(i, seq int) {
		s := servers[i]
		w.store.put("servers/"+s.id, map[string]any{
			"service": "registry", "address": wires[i].ln.Addr().String(), "zone": zones[i], "version": "v1", "slots": 6, "state": "ready", "coldLeftMs": 0,
			"seq": seq, "born": s.born,
		})
	}
	for i := range 4 {
		s := &ledgerServer{w: w, id: fmt.Sprintf("i-registry%d", i), runs: runs, addr: w.ip(20+i) + ":0"}
		if err := s.start(); err != nil {
			return err
		}
		x, err := newWire(w.ip(30+i)+":0", func() string {
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.addr
		})
		if err != nil {
			return err
		}
		servers, wires = append(servers, s), append(wires, x)
		entry(i, 1)
	}
	w.store.put("op/config", map[string]any{
		"version": 3,
		"routes": []any{
			map[string]any{"name": "issue", "host": "registry.example", "prefix": "/issue/", "service": "registry", "type": "non_idempotent", "timeoutMs": 2000, "sloMs": 300, "maxAttempts": 1, "priority": 2},
			map[string]any{"name": "lookup", "host": "registry.example", "prefix": "/lookup/", "service": "registry", "type": "idempotent", "timeoutMs": 2000, "sloMs": 300, "maxAttempts": 2, "priority": 2},
		},
		"services": []any{map[string]any{"name": "registry", "slots": 6, "maxConns": 250, "healthPath": "/healthz", "coldS": 0, "coldPerS": 0}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	relays, err := w.startRelays(zones, 4, w.freePort(1))
	if err != nil {
		return err
	}
	if err := w.awaitReady(relays); err != nil {
		return err
	}
	time.Sleep(time.Second)

	const play = 60 * time.Second
	begun := time.Now()
	var wg sync.WaitGroup
	if w.trouble {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; time.Since(begun) < play-8*time.Second; n++ {
				time.Sleep(6500 * time.Millisecond)
				i := n % 4
				w.note("server %s is cut off", servers[i].id)
				wires[i].cut()
				time.Sleep(50 * time.Millisecond)
				w.note("server %s crashes", servers[i].id)
				servers[i].kill()
				time.Sleep(700 * time.Millisecond)
				if err := servers[i].start(); err != nil {
					w.note("server %s: %v", servers[i].id, err)
				}
				w.note("server %s has started again", servers[i].id)
				time.Sleep(750 * time.Millisecond)
				wires[i].heal()
				w.note("the cut has healed")
				entry(i, 1)
			}
		}()
	}
	cl := &client{}
	var mu sync.Mutex
	whole, asked := 0, 0
	tick := time.NewTicker(time.Second * 10 / 486)
	defer tick.Stop()
	for n := 0; time.Since(begun) < play; n++ {
		<-tick.C
		wg.Add(1)
		go func() {
			defer wg.Done()
			r := request{id: w.newID(), method: http.MethodPost, host: "registry.example", path: "/issue/x", body: "credential", deadline: 4 * time.Second}
			if n%100 < 29 {
				r.method, r.path, r.body = http.MethodGet, "/lookup/x", ""
			}
			p := relays[n%len(relays)]
			w.note("client sends %s %s to %s", r.method, r.id, p.name)
			a := cl.do(p.front, r)
			w.note("client got %s %s: status %d, %d bytes, ends as complete %v, %v", r.method, r.id, a.status, len(a.body), a.whole, a.took.Round(time.Millisecond))
			mu.Lock()
			defer mu.Unlock()
			asked++
			switch {
			case a.status != http.StatusOK || !a.whole:
			case a.body == wholeAnswer(r.id):
				whole++
			default:
				w.breaks("MIXED: %s %s got 200 with %d of the %d bytes of its answer", r.method, r.id, len(a.body), len(wholeAnswer(r.id)))
			}
		}()
	}
	wg.Wait()
	w.note("%d of %d requests got their whole answer", whole, asked)
	fmt.Printf("%d of %d requests got their whole answer\n", whole, asked)
	if whole < asked*8/10 {
		return fmt.Errorf("only %d of %d requests were served", whole, asked)
	}
	return nil
}
