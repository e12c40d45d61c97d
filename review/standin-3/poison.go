package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["part"] = playPart }

// engine is a model server. A prompt part may crash it as it begins to write an answer.
type engine struct {
	w        *world
	id, zone string
	addr     string
	bad      func(part string) bool
	onCrash  func()
	read     time.Duration // until the first event
	pause    time.Duration // between events
	events   int

	mu   sync.Mutex
	srv  *http.Server
	born int64
	down bool
}

// start begins a lifetime of the engine.
func (e *engine) start() error {
	ln, err := net.Listen("tcp", e.addr)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.addr, e.born, e.down = ln.Addr().String(), time.Now().UnixMilli(), false
	e.srv = &http.Server{Handler: http.HandlerFunc(e.handle)}
	go func(s *http.Server) { _ = s.Serve(ln) }(e.srv)
	e.w.store.put("servers/"+e.id, map[string]any{
		"service": "review-pool", "address": e.addr, "zone": e.zone, "version": "v1", "slots": 64, "state": "ready", "coldLeftMs": 0, "seq": 1, "born": e.born,
	})
	return nil
}

// crash ends this lifetime. The engine is back after 3 s.
func (e *engine) crash(id string) {
	e.mu.Lock()
	if e.down {
		e.mu.Unlock()
		return
	}
	e.down = true
	srv := e.srv
	e.mu.Unlock()
	e.w.note("engine %s crashes under %s", e.id, id)
	_ = srv.Close()
	e.onCrash()
	time.AfterFunc(3*time.Second, func() {
		if err := e.start(); err != nil {
			e.w.note("engine %s doesn't come back: %v", e.id, err)
			return
		}
		e.w.note("engine %s is back", e.id)
	})
}

func (e *engine) handle(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	born := e.born
	e.mu.Unlock()
	id := r.Header.Get("X-Attempt-Id")
	if id != "" {
		w.Header().Set("X-Attempt-Id", id)
	}
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != e.id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/report" {
		w.Header().Set("Content-Type", "application/json")
		fmt.Fprintf(w, `{"stage":"both","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"seq":1,"waiting":0,"running":1,"kvUsed":1000,"kvTotal":317304,"handles":0,"born":%d}`, born)
		return
	}
	if id == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.w.note("engine %s begins %s, parts %s", e.id, id, r.Header.Get("X-Prefix-Hash"))
	select {
	case <-r.Context().Done():
		return
	case <-time.After(e.read):
	}
	for _, p := range strings.Split(r.Header.Get("X-Prefix-Hash"), ",") {
		if name, _, _ := strings.Cut(p, ":"); e.bad(name) {
			e.crash(id)
			return
		}
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Server-Stamp", "stamp-"+e.id)
	w.Header().Set("X-Weight-Versions", "1")
	from := 0
	if _, err := fmt.Sscan(r.Header.Get("Last-Event-Id"), &from); err == nil {
		e.w.note("engine %s goes on with %s after event %d", e.id, id, from)
	}
	for n := from + 1; n <= e.events; n++ {
		fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n, n)
		w.(http.Flusher).Flush()
		select {
		case <-r.Context().Done():
			return
		case <-time.After(e.pause):
		}
	}
	e.w.note("engine %s ends %s", e.id, id)
}

// outcome is how a sound request of the route fared.
type outcome struct {
	sentAt time.Time
	began  bool
	status int
}

// playPart plays exam reviews of the sheet: 9 engines, 8.5 sound requests a second, their prompts of a first
// part, a document, and a last part of their own. After 15 s callers go on to the next document. For 11 s,
// requests with it come besides (3 a second) whose first part crashes each engine that begins to answer on it.
func playPart(w *world) error {
	zones := []string{"austin-a", "austin-b", "waco", "san-marcos"}
	const bad, sound, document, next = "bad00001", "a0000001", "d0000001", "d0000002"
	var mu sync.Mutex
	var crashes []time.Time
	keeperPort := w.freePort(40)
	for i := range 9 {
		host := 40 + i
		e := &engine{
			w: w, id: fmt.Sprintf("i-engine%d", i), zone: zones[i%4], addr: w.addr(host, w.freePort(host)), bad: func(p string) bool { return p == bad },
			read: 350 * time.Millisecond, pause: 120 * time.Millisecond, events: 13,
			onCrash: func() {
				mu.Lock()
				crashes = append(crashes, time.Now())
				mu.Unlock()
			},
		}
		if err := e.start(); err != nil {
			return err
		}
		if _, err := w.startKeeper(host, keeperPort); err != nil {
			return err
		}
	}
	w.store.put("op/config", map[string]any{
		"version": 3,
		"routes": []any{map[string]any{
			"name": "exam-review", "host": "review.example", "prefix": "/review/", "service": "review-pool", "type": "streaming", "resumable": true, "sticky": true,
			"timeoutMs": 6000, "sloMs": 1300, "maxGapMs": 400, "maxAttempts": 2, "priority": 1,
		}},
		"services": []any{map[string]any{
			"name": "review-pool", "slots": 64, "maxConns": 360, "healthPath": "/healthz", "coldS": 3.0, "coldPerS": 9.1,
			"engine": map[string]any{"slots": 64, "kvCapacity": 317304},
		}},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "house-1", "apiKeys": []string{"key-1"}}, map[string]any{"name": "house-2", "apiKeys": []string{"key-2"}}},
	})
	relays, err := w.startRelays(zones, 4, keeperPort)
	if err != nil {
		return err
	}
	if err := w.awaitReady(relays); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)

	cl := &client{}
	var wg sync.WaitGroup
	var before, during []*outcome
	send := func(n int, kind, first, doc string, list *[]*outcome) {
		o := &outcome{sentAt: time.Now()}
		if list != nil {
			*list = append(*list, o)
		}
		p := relays[n%len(relays)]
		r := request{
			id: w.newID(), method: http.MethodPost, host: "review.example", path: "/review/x", deadline: 6 * time.Second,
			body: fmt.Sprintf("prompt %d", n),
			headers: []string{
				"Authorization: Bearer key-1", "X-Model: m", "X-Token-Count: 9190,52",
				fmt.Sprintf("X-Prefix-Hash: %s:2520,%s:3780,e%07x:2890", first, doc, n),
			},
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			w.note("client sends %s request %s to %s", kind, r.id, p.name)
			a := cl.do(p.front, r)
			mu.Lock()
			o.began, o.status = a.status == 200 && a.firstAt > 0, a.status
			mu.Unlock()
			w.note("client got %s request %s: status %d, %d bytes, whole %v, %v", kind, r.id, a.status, len(a.body), a.whole, a.took.Round(time.Millisecond))
		}()
	}
	begun := time.Now()
	const quiet, spell = 15 * time.Second, 11 * time.Second
	soundTick, badTick := time.NewTicker(time.Second*100/849), time.NewTicker(time.Second/3)
	defer soundTick.Stop()
	defer badTick.Stop()
	for n := 0; time.Since(begun) < quiet+spell; n++ {
		inSpell := time.Since(begun) >= quiet
		select {
		case <-soundTick.C:
			if inSpell {
				send(n, "sound", sound, next, &during)
			} else {
				send(n, "sound", sound, document, &before)
			}
		case <-badTick.C:
			if inSpell && w.trouble {
				send(n, "bad", bad, next, nil)
			}
		}
	}
	end := time.Now()
	wg.Wait()

	mu.Lock()
	defer mu.Unlock()
	from := begun.Add(quiet)
	if n := len(crashes); n > 0 {
		from = crashes[min(n, 5)-1].Add(2 * time.Duration(sheet.contactMs) * time.Millisecond)
	}
	share := func(list []*outcome, from, to time.Time) (float64, int) {
		n, began := 0, 0
		for _, o := range list {
			if !o.sentAt.Before(from) && o.sentAt.Before(to) {
				n++
				if o.began {
					began++
				}
			}
		}
		return float64(began) / float64(max(1, n)), n
	}
	calm, calmN := share(before, begun, end)
	hard, hardN := share(during, from, end)
	w.note("crashes: %d; sound requests that began at the first attempt: before %.2f of %d, from %.1f s on %.2f of %d", len(crashes), calm, calmN, from.Sub(w.begun).Seconds(), hard, hardN)
	fmt.Printf("crashes %d; began: before %.2f of %d, later %.2f of %d\n", len(crashes), calm, calmN, hard, hardN)
	if calmN < 20 || hardN < 20 {
		return fmt.Errorf("only %d and %d sound requests", calmN, hardN)
	}
	if calm < 0.9 {
		return fmt.Errorf("only %.2f of the sound requests began before the disruption", calm)
	}
	if hard < calm/2 {
		w.mu.Lock()
		w.broken++
		w.mu.Unlock()
		w.note("BROKEN LOST: %.2f is under half of %.2f", hard, calm)
	}
	return nil
}
