package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	ledgerWork      = 60 * time.Millisecond // "work ms 60" of the sheets
	ledgerBodyBytes = 800
)

// ledgerBody is the whole body of the answer to an attempt.
func ledgerBody(id string) string {
	return strings.Repeat(id+";", ledgerBodyBytes/(len(id)+1)) + "end of " + id + "\n"
}

// serveLedger is a server of a plain service, in a process of its own. Its answers have neither
// a length nor chunks and end with their connection. It sends the first half of an answer
// when it begins to work, and the rest when it is done.
func serveLedger(addr, id string) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		fmt.Println(err)
		os.Exit(2)
	}
	for {
		c, err := ln.Accept()
		if err != nil {
			os.Exit(2)
		}
		go serveLedgerConn(c, id)
	}
}

var running atomic.Int64 // requests at this server

func serveLedgerConn(c net.Conn, id string) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		buf := make([]byte, 4096)
		for { // the body is read whole before the answer begins
			if _, err := req.Body.Read(buf); err != nil {
				break
			}
		}
		attempt := req.Header.Get("X-Attempt-Id")
		expect := req.Header.Get("X-Expect-Instance")
		switch {
		case expect != "" && expect != id:
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nX-Not-Executed: 1\r\nX-Attempt-Id: %s\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", attempt, id)
			continue
		case req.URL.Path == "/healthz":
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n", id)
			continue
		case req.URL.Path == "/report":
			fmt.Fprintf(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
			continue
		case attempt == "":
			fmt.Fprintf(c, "HTTP/1.1 400 Bad Request\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		body := ledgerBody(attempt)
		fmt.Printf("ran %s\n", attempt)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Stamp: %s.%s\r\nX-Server-Load: %d,0,6\r\nConnection: close\r\n\r\n%s", attempt, id, attempt, running.Add(1), body[:len(body)/2])
		defer running.Add(-1)
		time.Sleep(ledgerWork)
		_, _ = c.Write([]byte(body[len(body)/2:]))
		return
	}
}

// ledgerServer is a server process and its entry in the store.
type ledgerServer struct {
	*process
	id, addr, zone string
}

func (w *world) startLedger(self, id, addr, zone string) *ledgerServer {
	s := &ledgerServer{process: w.start(id, self, "ledger-server", addr, id), id: id, addr: addr, zone: zone}
	born := time.Now().UnixMilli()
	awaitPort(addr)
	put := func(seq int) {
		w.store.put("servers/"+id, map[string]any{
			"service": "ledger", "address": addr, "zone": zone, "version": "v1", "slots": 6, "state": "ready", "coldLeftMs": 0,
			"seq": seq, "born": born,
		})
	}
	put(1)
	go func() { // its status reports
		for seq := 2; ; seq++ {
			time.Sleep(1200 * time.Millisecond)
			if !s.alive() {
				return
			}
			put(seq)
		}
	}()
	return s
}

// runUnframed kills one of four servers while it writes answers without a length.
func runUnframed(w *world, trouble bool) (bool, string) {
	self, err := os.Executable()
	check(err)
	zones := []string{"a", "b", "c", "d"}
	w.store.put("op/config", map[string]any{
		"version": 3,
		"routes": []any{
			map[string]any{"name": "lookup", "host": "shop.example", "prefix": "/lookup/", "type": "idempotent", "timeoutMs": 1200, "sloMs": 150, "priority": 2, "service": "ledger", "maxAttempts": 2},
			map[string]any{"name": "submit", "host": "shop.example", "prefix": "/submit/", "type": "non_idempotent", "timeoutMs": 1200, "sloMs": 150, "priority": 2, "service": "ledger", "maxAttempts": 1},
		},
		"services": []any{map[string]any{"name": "ledger", "healthPath": "/healthz", "maxConns": 100, "protocol": "h1", "tls": false, "coldS": 0, "coldPerS": 0}},
		"limits":   limits, "tenants": tenants,
	})
	var servers []*ledgerServer
	for i, z := range zones {
		ip := fmt.Sprintf("127.0.4.%d", i+1)
		servers = append(servers, w.startLedger(self, fmt.Sprintf("i-%d", i+1), fmt.Sprintf("%s:%d", ip, freePort(ip)), z))
	}
	relays := []*relay{newRelay(1, "a"), newRelay(2, "b")}
	seeds := []string{relays[0].peer, relays[1].peer}
	for _, r := range relays {
		w.startRelay(r, seeds, freePort("127.0.4.1"))
	}
	w.awaitReady(relays...)
	time.Sleep(3500 * time.Millisecond) // contactMs

	var mu sync.Mutex
	seen := make(map[string]int) // answers by kind
	var number atomic.Int64
	end := time.Now().Add(8 * time.Second)
	var wg sync.WaitGroup
	for c := range 16 { // at most the 6 slots of each server
		wg.Add(1)
		go func() {
			defer wg.Done()
			for time.Now().Before(end) {
				n := number.Add(1)
				id := fmt.Sprintf("%08x%08x", 0xa0000000+c, n)
				method, path, body := "GET", "/lookup/1", ""
				if n%2 == 0 {
					method, path, body = "POST", "/submit/1", "print 2 copies"
				}
				front := relays[c%2].front
				conn, r, err := request(front, method, path, id, 2500*time.Millisecond, nil, body)
				if err != nil {
					continue
				}
				a := readAnswer(method, r)
				_ = conn.Close()
				kind := w.judgeLedger(id, method, a)
				mu.Lock()
				seen[kind]++
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
			}
		}()
	}
	time.Sleep(3 * time.Second)
	if trouble {
		w.note("server %s is killed (SIGKILL); 3 of 4 go on", servers[1].id)
		servers[1].kill()
		time.Sleep(3600 * time.Millisecond) // three status report intervals
		w.store.remove("servers/" + servers[1].id)
	}
	wg.Wait()
	w.copyRuns(servers)
	return seen["truncated"] > 0, fmt.Sprintf("%d answers: %v", number.Load(), seen)
}

// judgeLedger compares an answer with the whole one of the server.
func (w *world) judgeLedger(id, method string, a answer) string {
	switch {
	case a.err != nil && a.status == 0:
		w.note("%s %s: no answer, %v", method, id, a.err)
		return "no answer"
	case !a.complete:
		w.note("%s %s: status %d, seen to be incomplete", method, id, a.status)
		return "seen to be incomplete"
	case a.status >= 300:
		w.note("%s %s: status %d, stamp %q", method, id, a.status, a.header.Get("X-Server-Stamp"))
		return fmt.Sprintf("status %d", a.status)
	case string(a.body) != ledgerBody(id):
		w.note("%s %s: status %d, stamp %q, Content-Length %s, and only %d of %d bytes: it looks complete", method, id, a.status,
			a.header.Get("X-Server-Stamp"), a.header.Get("Content-Length"), len(a.body), len(ledgerBody(id)))
		return "truncated"
	}
	w.note("%s %s: status %d, whole", method, id, a.status)
	return "whole"
}

// copyRuns adds to the record what the servers ran.
func (w *world) copyRuns(servers []*ledgerServer) {
	for _, s := range servers {
		files, _ := filepath.Glob(filepath.Join(w.dir, s.id+".*.out"))
		for _, f := range files {
			raw, _ := os.ReadFile(f)
			w.note("server %s ran %d requests", s.id, strings.Count(string(raw), "ran "))
			for line := range strings.Lines(string(raw)) {
				w.note("server %s %s", s.id, strings.TrimSpace(line))
			}
		}
	}
}

var (
	limits  = map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 1048576, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
	tenants = []any{map[string]any{"name": "bozi300", "apiKeys": []string{apiKey}}}
)
