package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { scenarios["power"] = playPower }

// path is a proxy on the way from clients to a relay. While its relay is without power, what crosses
// it is dropped, and connections of before stay silent for good: a machine without power resets nothing.
type path struct {
	ln    net.Listener
	to    string
	era   atomic.Int64 // incremented at each loss of power
	dark  atomic.Bool
	conns sync.WaitGroup
}

func newPath(addr, to string) (*path, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	p := &path{ln: ln, to: to}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go p.carry(c)
		}
	}()
	return p, nil
}

func (p *path) addr() string { return p.ln.Addr().String() }

func (p *path) carry(c net.Conn) {
	era := p.era.Load()
	if p.dark.Load() {
		p.hang(c)
		return
	}
	r, err := net.DialTimeout("tcp", p.to, time.Second)
	if err != nil {
		_ = c.Close()
		return
	}
	done := make(chan bool, 2)
	copyTo := func(dst, src net.Conn) {
		buf := make([]byte, 32<<10)
		for {
			n, err := src.Read(buf)
			if p.era.Load() != era {
				break
			}
			if n > 0 {
				if _, werr := dst.Write(buf[:n]); werr != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		done <- true
	}
	go copyTo(r, c)
	go copyTo(c, r)
	<-done
	_ = r.Close()
	if p.era.Load() != era {
		p.hang(c)
		return
	}
	_ = c.Close()
}

// hang keeps a client's connection open, and silent, until the client closes it.
func (p *path) hang(c net.Conn) {
	_, _ = io.Copy(io.Discard, c)
	_ = c.Close()
}

// streamed is what a client has got of a stream.
type streamed struct {
	status int
	last   int // ID of the last event
	done   bool
	silent bool // given up after a gap
}

// stream sends a request for a stream over a new connection and reads its events. The client gives up after a
// gap.
func stream(addr string, r request, last int, gap time.Duration) streamed {
	s := streamed{last: last}
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return s
	}
	defer c.Close()
	var b strings.Builder
	fmt.Fprintf(&b, "POST %s HTTP/1.1\r\nHost: %s\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\nContent-Length: %d\r\n", r.path, r.host, r.id, r.deadline.Milliseconds(), len(r.body))
	for _, h := range r.headers {
		b.WriteString(h + "\r\n")
	}
	end := time.Now().Add(r.deadline)
	if _, err := io.WriteString(c, b.String()+"\r\n"+r.body); err != nil {
		return s
	}
	wait := func() { _ = c.SetReadDeadline(earliest(time.Now().Add(gap), end)) }
	wait()
	br := bufio.NewReader(c)
	resp, err := http.ReadResponse(br, &http.Request{Method: http.MethodPost})
	if err != nil {
		s.silent = isTimeout(err)
		return s
	}
	s.status = resp.StatusCode
	if s.status != http.StatusOK {
		return s
	}
	lines := bufio.NewReader(resp.Body)
	for {
		wait()
		line, err := lines.ReadString('\n')
		if n := 0; err == nil {
			if _, scanErr := fmt.Sscanf(line, "id: %d", &n); scanErr == nil {
				s.last = n
			}
			continue
		}
		s.done, s.silent = err == io.EOF, isTimeout(err)
		return s
	}
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func isTimeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// playPower plays study-coach of the sheet: 9 engines of one software version, 4.69 streams a second of 70 events.
// After 14 s all machines lose power for a second. Clients notice after the gap that the pages name, and take
// their streams up.
func playPower(w *world) error {
	const (
		quiet     = 14 * time.Second
		down      = time.Second
		play      = 32 * time.Second
		objective = 1600 * time.Millisecond
		deadline  = 15 * time.Second
		events    = 70
	)
	gap := max(2*time.Second, 4*objective, 8*400*time.Millisecond) // PROTOCOL.md, Requests
	zones := []string{"austin-a", "austin-b", "waco", "san-marcos"}
	keeperPort := w.freePort(40)
	var engines []*engine
	var procs []*process
	for i := range 9 {
		host := 40 + i
		e := &engine{
			w: w, id: fmt.Sprintf("i-engine%d", i), zone: zones[i%4], addr: w.addr(host, w.freePort(host)), bad: func(string) bool { return false },
			read: 200 * time.Millisecond, pause: 55 * time.Millisecond, events: events, onCrash: func() {},
		}
		if err := e.start(); err != nil {
			return err
		}
		engines = append(engines, e)
		k, err := w.startKeeper(host, keeperPort)
		if err != nil {
			return err
		}
		procs = append(procs, k)
	}
	w.store.put("op/config", map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "study-coach", "host": "coach.example", "prefix": "/coach/", "service": "review-pool", "type": "streaming", "resumable": true, "sticky": true,
			"timeoutMs": 15000, "sloMs": objective.Milliseconds(), "maxGapMs": 400, "maxAttempts": 2, "priority": 2,
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
	procs = append(procs, relays...)
	if err := w.awaitReady(relays); err != nil {
		return err
	}
	var paths []*path
	for i, p := range relays {
		pt, err := newPath(w.addr(100+i, 0), p.front)
		if err != nil {
			return err
		}
		paths = append(paths, pt)
	}
	time.Sleep(2 * time.Second)

	begun := time.Now()
	var backAt time.Time // when the machines have power again
	var mu sync.Mutex
	inTouch := func(t time.Time) bool {
		mu.Lock()
		defer mu.Unlock()
		return !backAt.IsZero() && t.After(backAt.Add(time.Duration(sheet.contactMs)*time.Millisecond))
	}
	powerOff := func() {
		w.note("all machines lose power")
		for _, p := range paths {
			p.era.Add(1)
			p.dark.Store(true)
		}
		for _, p := range procs {
			_ = p.cmd.Process.Signal(syscall.SIGKILL)
		}
		for _, e := range engines {
			e.off()
		}
		for _, p := range procs {
			_ = p.cmd.Wait()
		}
		time.Sleep(down)
		for _, e := range engines {
			if err := e.start(); err != nil {
				w.note("engine %s: %v", e.id, err)
			}
		}
		for _, p := range procs {
			if err := w.again(p); err != nil {
				w.note("%s: %v", p.name, err)
			}
		}
		for _, p := range paths {
			p.dark.Store(false)
		}
		mu.Lock()
		backAt = time.Now()
		mu.Unlock()
		w.note("all machines are back")
	}

	var wg sync.WaitGroup
	var begins, newOnes, goesOn, takeUps, served int
	client := func(n int) {
		defer wg.Done()
		sent := time.Now()
		r := request{
			id: w.newID(), host: "coach.example", path: "/coach/x", body: fmt.Sprintf("question %d", n), deadline: deadline,
			headers: []string{"X-Model: m", "X-Token-Count: 715,280", fmt.Sprintf("X-Prefix-Hash: a%d:103,b%d:69,c%d:543", n%8, n%49, n)},
		}
		w.note("client %d begins stream %s at edge-%d", n, r.id, n%len(paths)+1)
		s := stream(paths[n%len(paths)].addr(), r, 0, gap)
		w.note("client %d got status %d, events up to %d, complete %v, silent %v", n, s.status, s.last, s.done, s.silent)
		mu.Lock()
		if !backAt.IsZero() && sent.After(backAt.Add(time.Duration(sheet.contactMs)*time.Millisecond)) {
			newOnes++
			if s.last > 0 {
				begins++
			}
		}
		if s.done && s.last == events {
			served++
		}
		mu.Unlock()
		if s.last == 0 || s.done {
			return
		}
		first, id := s.last, r.id
		now := time.Now()
		r.id, r.deadline = w.newID(), deadline-now.Sub(sent)
		r.headers = append(r.headers, fmt.Sprintf("Last-Event-Id: %d", s.last), "Resumes: "+id)
		touched := inTouch(now)
		w.note("client %d takes stream %s up as %s after event %d, %v left, machine in touch: %v", n, id, r.id, s.last, r.deadline.Round(time.Millisecond), touched)
		s = stream(paths[(n+1)%len(paths)].addr(), r, s.last, gap)
		w.note("client %d got status %d, events up to %d, complete %v, silent %v", n, s.status, s.last, s.done, s.silent)
		if !touched {
			return
		}
		mu.Lock()
		defer mu.Unlock()
		takeUps++
		if s.last > first {
			goesOn++
		}
	}
	tick := time.NewTicker(time.Second * 100 / 469)
	defer tick.Stop()
	off := false
	for n := 0; time.Since(begun) < play; n++ {
		<-tick.C
		if w.trouble && !off && time.Since(begun) >= quiet {
			off = true
			go powerOff()
		}
		wg.Add(1)
		go client(n)
	}
	wg.Wait()
	share := func(n, of int) float64 { return float64(n) / float64(max(1, of)) }
	sum := fmt.Sprintf("served at once %d; new streams at machines in touch: %d of %d begin; taken up at machines in touch: %d of %d go on", served, begins, newOnes, goesOn, takeUps)
	w.note("%s", sum)
	fmt.Println(sum)
	if !w.trouble {
		if served < 100 {
			return fmt.Errorf("only %d streams were served", served)
		}
		return nil
	}
	if newOnes < 12 || share(begins, newOnes) < 0.5 || takeUps < 12 {
		return fmt.Errorf("too few streams: %s", sum)
	}
	if share(goesOn, takeUps) < share(begins, newOnes)/2 {
		w.breaks("LOST: %s", sum)
	}
	return nil
}

// off ends this lifetime of the engine without a word.
func (e *engine) off() {
	e.mu.Lock()
	e.down = true
	srv := e.srv
	e.mu.Unlock()
	_ = srv.Close()
}
