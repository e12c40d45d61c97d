package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { scenarios["extra"] = playExtra }

// registry is a server of a plain service. Its answers to GET have neither a length nor chunks and end
// with their connection; the others have a length.
type registry struct {
	w        *world
	id, addr string
	slots    chan struct{}
	faulty   bool // its answers are sent twice at times
	garbling func() bool

	runs *ledger
}

// ledger holds which servers ran which requests.
type ledger struct {
	mu   sync.Mutex
	runs map[string][]string // IDs of servers, by the ID of the client's attempt
}

// add records a run and returns the number of runs of the request.
func (l *ledger) add(request, server string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs == nil {
		l.runs = make(map[string][]string)
	}
	l.runs[request] = append(l.runs[request], server)
	return len(l.runs[request])
}

func (l *ledger) get(request string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.runs[request]...)
}

const extraShare = 0.03 // of the answers of a faulty server that come twice

func (s *registry) serve(ln net.Listener) {
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		go s.serveConn(c)
	}
}

func (s *registry) serveConn(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	extra := "" // second copy of the answer before, which comes where the next one is expected
	for {
		_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		if extra != "" {
			s.w.note("server %s sends its answer before once more, as %s %s waits on this connection", s.id, req.Method, req.URL.Path)
			if _, err := io.WriteString(c, extra); err != nil {
				return
			}
			extra = ""
		}
		raw, ends := s.answer(req)
		if _, err := io.WriteString(c, raw); err != nil {
			return
		}
		if ends {
			return
		}
		if s.faulty && s.garbling() && s.w.draw() < extraShare {
			extra = raw
		}
	}
}

// answer returns the answer to a request, and whether it ends with the connection.
func (s *registry) answer(req *http.Request) (string, bool) {
	if want := req.Header.Get("X-Expect-Instance"); want != "" && want != s.id {
		return fmt.Sprintf("HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\nX-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", req.Header.Get("X-Attempt-Id")), false
	}
	id := req.Header.Get("X-Attempt-Id")
	if id == "" {
		s.w.note("server %s gets %s %s without an id: 400, not run", s.id, req.Method, req.URL.Path)
		return "HTTP/1.1 400 Bad Request\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", false
	}
	s.slots <- struct{}{}
	n := s.runs.add(id, s.id)
	s.w.note("server %s runs %s %s (run %d)", s.id, req.Method, id, n)
	time.Sleep(60 * time.Millisecond)
	<-s.slots
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Stamp: stamp-%s\r\nX-Server-Load: %d,0,%d\r\nKeep-Alive: timeout=10\r\n", id, s.id, len(s.slots), cap(s.slots))
	body := "answer to " + id + " of " + s.id
	if req.Method == http.MethodGet {
		return head + "\r\n" + body, true
	}
	return head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body), false
}

// playExtra plays the registry of the sheet (4 servers, 34.7 issues and 13.9 lookups a second). In spells of 5 s,
// 0.6 of the servers send 0.03 of their answers a second time, late.
func playExtra(w *world) error {
	zones := []string{"austin-a", "austin-b", "waco", "san-marcos"}
	var garble struct {
		sync.Mutex
		on bool
	}
	garbling := func() bool {
		garble.Lock()
		defer garble.Unlock()
		return garble.on
	}
	runs := &ledger{}
	for i := range 4 {
		host := 20 + i
		ln, err := net.Listen("tcp", w.ip(host)+":0")
		if err != nil {
			return err
		}
		s := &registry{w: w, id: fmt.Sprintf("i-registry%d", i), addr: ln.Addr().String(), slots: make(chan struct{}, 6), faulty: w.trouble && float64(i) < 0.6*4-0.4, garbling: garbling, runs: runs}
		go s.serve(ln)
		w.store.put("servers/"+s.id, map[string]any{
			"service": "registry", "address": s.addr, "zone": zones[i], "version": "v1", "slots": 6, "state": "ready", "coldLeftMs": 0, "seq": 1,
			"born": time.Now().UnixMilli(),
		})
	}
	w.store.put("op/config", map[string]any{
		"version": 3,
		"routes": []any{
			map[string]any{"name": "issue", "host": "registry.example", "prefix": "/issue/", "service": "registry", "type": "non_idempotent", "timeoutMs": 4000, "sloMs": 300, "maxAttempts": 1, "priority": 2},
			map[string]any{"name": "lookup", "host": "registry.example", "prefix": "/lookup/", "service": "registry", "type": "idempotent", "timeoutMs": 4000, "sloMs": 300, "maxAttempts": 2, "priority": 2},
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

	const play = 100 * time.Second
	cl := &client{}
	var wg sync.WaitGroup
	var mu sync.Mutex
	served, asked := 0, 0
	send := func(n int, method, path string) {
		wg.Add(1)
		go func() {
			defer wg.Done()
			p := relays[n%len(relays)]
			r := request{id: w.newID(), method: method, host: "registry.example", path: path, deadline: 4 * time.Second}
			if method == http.MethodPost {
				r.body = "credential"
			}
			w.note("client sends %s %s to %s", method, r.id, p.name)
			a := cl.do(p.front, r)
			w.note("client got %s %s: status %d, %d bytes, whole %v, %v", method, r.id, a.status, len(a.body), a.whole, a.took.Round(time.Millisecond))
			mu.Lock()
			defer mu.Unlock()
			asked++
			if a.status == 200 {
				served++
			}
			if method == http.MethodPost {
				ran := runs.get(r.id)
				switch {
				case len(ran) > 1:
					w.breaks("TWICE: %s %s ran at %v", method, r.id, ran)
				case len(ran) == 1 && (a.status == 503 || a.status == 429 || a.status == 408 || a.status == 421):
					w.breaks("REFUSED: %s %s got %d and ran at %v", method, r.id, a.status, ran)
				}
			}
		}()
	}
	begun := time.Now()
	issue, lookup := time.NewTicker(time.Second*10/347), time.NewTicker(time.Second*10/139)
	defer issue.Stop()
	defer lookup.Stop()
	for n := 0; time.Since(begun) < play; n++ {
		select {
		case <-issue.C:
			send(n, http.MethodPost, "/issue/x")
		case <-lookup.C:
			send(n, http.MethodGet, "/lookup/x")
		}
		// 5 s of every 7 s, the first after 2 s
		now := w.trouble && int(time.Since(begun).Seconds())%7 >= 2
		garble.Lock()
		if now != garble.on {
			garble.on = now
			garble.Unlock()
			w.note("garble (extra late) %v", now)
			continue
		}
		garble.Unlock()
	}
	wg.Wait()
	w.note("%d of %d requests got 200", served, asked)
	if served < asked*9/10 {
		return fmt.Errorf("only %d of %d requests were served", served, asked)
	}
	return nil
}
