package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

func init() { scenarios["closing"] = playClosing }

// coach is a model server whose streams have neither a length nor chunks, and end with their connection. Now
// and then an answer says Connection: close.
type coach struct {
	w      *world
	id     string
	events int

	mu    sync.Mutex
	addr  string
	ln    net.Listener
	conns map[net.Conn]bool
	born  int64
}

const closeShare = 0.1 // of the reports that say Connection: close

func (s *coach) start() error {
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
func (s *coach) kill() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.ln.Close()
	for c := range s.conns {
		_ = c.Close()
	}
}

func (s *coach) serve(c net.Conn) {
	r := bufio.NewReader(c)
	s.mu.Lock()
	born := s.born
	s.mu.Unlock()
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
		if req.URL.Path == "/report" {
			body := fmt.Sprintf(`{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"seq":1,"waiting":0,"running":1,"kvUsed":1000,"kvTotal":317304,"handles":0,"born":%d}`, born)
			ends := s.w.draw() < closeShare
			head := "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
			if ends {
				head += "Connection: close\r\n"
			}
			s.w.note("server %s reports born %d, connection closes: %v", s.id, born, ends)
			fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
			if ends {
				return
			}
			continue
		}
		from := 0
		if raw := req.Header.Get("Last-Event-Id"); raw != "" {
			from, _ = strconv.Atoi(raw)
		}
		s.w.note("server %s runs %s from event %d on", s.id, id, from+1)
		time.Sleep(100 * time.Millisecond)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Stamp: stamp-%s\r\nContent-Type: text/event-stream\r\nX-Weight-Versions: 1\r\n\r\n", id, s.id)
		for n := from + 1; n <= s.events; n++ {
			if _, err := fmt.Fprintf(c, "id: %d\ndata: piece %d\n\n", n, n); err != nil {
				s.w.note("server %s has ended in %s, after event %d of %d", s.id, id, n-1, s.events)
				return
			}
			time.Sleep(45 * time.Millisecond)
		}
		return
	}
}

// playClosing plays study-coach of the sheet: 9 servers, 4.69 streams a second of 70 events. Every 5 s three of
// the servers are cut off for 1.2 s, crash behind the cut and start again under their ids.
func playClosing(w *world) error {
	const (
		events   = 70
		deadline = 15 * time.Second
		play     = 90 * time.Second
	)
	zones := []string{"austin-a", "austin-b", "waco", "san-marcos"}
	var servers []*coach
	var wires []*wire
	entry := func(i int) {
		s := servers[i]
		s.mu.Lock()
		born := s.born
		s.mu.Unlock()
		w.store.put("servers/"+s.id, map[string]any{
			"service": "review-pool", "address": wires[i].ln.Addr().String(), "zone": zones[i%4], "version": "v1", "slots": 64, "state": "ready", "coldLeftMs": 0,
			"seq": 1, "born": born,
		})
	}
	keeperPort := w.freePort(40)
	for i := range 9 {
		s := &coach{w: w, id: fmt.Sprintf("i-engine%d", i), events: events, addr: w.ip(60+i) + ":0"}
		if err := s.start(); err != nil {
			return err
		}
		x, err := newWire(w.ip(40+i)+":0", func() string {
			s.mu.Lock()
			defer s.mu.Unlock()
			return s.addr
		})
		if err != nil {
			return err
		}
		servers, wires = append(servers, s), append(wires, x)
		entry(i)
		if _, err := w.startKeeper(40+i, keeperPort); err != nil {
			return err
		}
	}
	w.store.put("op/config", map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "study-coach", "host": "coach.example", "prefix": "/coach/", "service": "review-pool", "type": "streaming", "resumable": true, "sticky": true,
			"timeoutMs": 15000, "sloMs": 1600, "maxGapMs": 400, "maxAttempts": 2, "priority": 2,
		}},
		"services": []any{map[string]any{
			"name": "review-pool", "slots": 64, "maxConns": 360, "healthPath": "/healthz", "coldS": 3.0, "coldPerS": 9.1,
			"engine": map[string]any{"slots": 64, "kvCapacity": 317304},
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	relays, err := w.startRelays(zones, 4, keeperPort)
	if err != nil {
		return err
	}
	if err := w.awaitReady(relays); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)

	begun := time.Now()
	var wg sync.WaitGroup
	if w.trouble {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := 0; time.Since(begun) < play-10*time.Second; n += 3 {
				time.Sleep(3800 * time.Millisecond)
				struck := []int{n % 9, (n + 1) % 9, (n + 2) % 9}
				for _, i := range struck {
					w.note("server %s is cut off", servers[i].id)
					wires[i].cut()
				}
				time.Sleep(50 * time.Millisecond)
				for _, i := range struck {
					w.note("server %s crashes", servers[i].id)
					servers[i].kill()
				}
				time.Sleep(500 * time.Millisecond)
				for _, i := range struck {
					if err := servers[i].start(); err != nil {
						w.note("server %s: %v", servers[i].id, err)
					}
					w.note("server %s has started again", servers[i].id)
				}
				time.Sleep(650 * time.Millisecond)
				for _, i := range struck {
					wires[i].heal()
					entry(i)
				}
				w.note("the cuts have healed")
			}
		}()
	}
	var mu sync.Mutex
	whole, asked := 0, 0
	client := func(n int) {
		defer wg.Done()
		r := request{
			id: w.newID(), host: "coach.example", path: "/coach/x", body: fmt.Sprintf("question %d", n), deadline: deadline,
			headers: []string{"X-Model: m", "X-Token-Count: 715,280", fmt.Sprintf("X-Prefix-Hash: a%d:103,b%d:69,c%d:543", n%8, n%49, n)},
		}
		w.note("client sends %s to edge-%d", r.id, n%len(relays)+1)
		s := stream(relays[n%len(relays)].front, r, 0, 6400*time.Millisecond)
		w.note("client got %s: status %d, events up to %d, ends as complete %v", r.id, s.status, s.last, s.done)
		mu.Lock()
		defer mu.Unlock()
		asked++
		switch {
		case s.done && s.last == events:
			whole++
		case s.status == http.StatusOK && s.done:
			w.breaks("ORDER: stream %s ends as complete after event %d of %d", r.id, s.last, events)
		}
	}
	tick := time.NewTicker(time.Second * 100 / 469)
	defer tick.Stop()
	for n := 0; time.Since(begun) < play; n++ {
		<-tick.C
		wg.Add(1)
		go client(n)
	}
	wg.Wait()
	w.note("%d of %d streams were whole", whole, asked)
	fmt.Printf("%d of %d streams were whole\n", whole, asked)
	if whole < asked*8/10 {
		return fmt.Errorf("only %d of %d streams were whole", whole, asked)
	}
	return nil
}
