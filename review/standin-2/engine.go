package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// engine is a stand-in of a model server: a lifetime of it has an id and an address. crash
// ends it as the end of its process would.
type engine struct {
	w       *world
	service string
	zone    string
	addr    string
	version string
	// unversioned: its entry comes from another writer and has no version.
	unversioned bool
	tells       bool // each event names the version that made it
	// onRequest is called as a request arrives, before it runs; it may be nil.
	onRequest func(e *engine, r *http.Request)
	// onBegin is called as the server begins to write an answer; if it returns false, the
	// server has crashed.
	onBegin func(e *engine, r *http.Request) bool
	events  int           // of a stream
	first   time.Duration // to the first event
	gap     time.Duration // between two events

	mu      sync.Mutex
	id      string
	born    int64
	lives   int
	srv     *http.Server
	down    bool
	running atomic.Int64 // streams
}

var bornMu sync.Mutex
var lastBorn int64

// start begins a lifetime with a new id.
func (e *engine) start(addr, name string) {
	ln, err := net.Listen("tcp", addr)
	check(err)
	bornMu.Lock()
	lastBorn = max(lastBorn+1, time.Now().UnixMilli())
	born := lastBorn
	bornMu.Unlock()
	e.mu.Lock()
	e.lives++
	e.addr, e.id, e.born, e.down = ln.Addr().String(), fmt.Sprintf("%s-%d", name, e.lives), born, false
	srv := &http.Server{Handler: e}
	e.srv = srv
	id := e.id
	e.mu.Unlock()
	go func() { _ = srv.Serve(ln) }()
	go e.beat(id, born, time.Now())
}

// coldPeriod is how long a server that starts during traffic is cold (coldS).
const coldPeriod = 3 * time.Second

// beat writes the server's entry now and every 1.2 s, for as long as this lifetime lasts.
func (e *engine) beat(id string, born int64, started time.Time) {
	for seq := 1; ; seq++ {
		e.mu.Lock()
		over, lives := e.down || e.id != id, e.lives
		e.mu.Unlock()
		if over {
			return
		}
		cold := time.Duration(0)
		if lives > 1 { // the first one starts before the traffic
			cold = max(0, coldPeriod-time.Since(started))
		}
		entry := map[string]any{
			"service": e.service, "address": e.addr, "zone": e.zone, "version": e.version, "slots": 64, "state": "ready",
			"coldLeftMs": cold.Milliseconds(), "stage": "both",
			"models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "seq": seq, "born": born,
		}
		if e.unversioned {
			delete(entry, "version")
		}
		e.w.store.put("servers/"+id, entry)
		time.Sleep(1200 * time.Millisecond)
	}
}

// crash ends the current lifetime, without a word.
func (e *engine) crash() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return false
	}
	e.down = true
	_ = e.srv.Close() // the listener and all connections
	return true
}

// restart begins the next lifetime at the same address after a time. The entry of the former
// one is removed after three status report intervals of silence.
func (e *engine) restart(name string, after time.Duration) {
	e.mu.Lock()
	old := e.id
	e.mu.Unlock()
	time.AfterFunc(3600*time.Millisecond, func() { e.w.store.remove("servers/" + old) })
	time.AfterFunc(after, func() { e.start(e.addr, name) })
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	id, born := e.id, e.born
	e.mu.Unlock()
	attempt := r.Header.Get("X-Attempt-Id")
	if attempt != "" {
		w.Header().Set("X-Attempt-Id", attempt)
	}
	if expect := r.Header.Get("X-Expect-Instance"); expect != "" && expect != id {
		w.Header().Set("X-Not-Executed", "1")
		w.Header().Set("X-Instance-Id", id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/healthz":
		w.Header().Set("X-Instance-Id", id)
		return
	case "/report":
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"stage": "both", "models": []any{}, "busy": false, "seq": 1, "waiting": 0, "running": 1, "kvUsed": 1000, "kvTotal": 316547, "handles": 0, "born": born})
		return
	}
	if attempt == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	if e.onRequest != nil {
		e.onRequest(e, r)
	}
	e.stream(w, r, id, attempt)
}

// stream writes the events of a stream, after that named by Last-Event-Id.
func (e *engine) stream(w http.ResponseWriter, r *http.Request, id, attempt string) {
	from := 0
	if raw := r.Header.Get("Last-Event-Id"); raw != "" {
		n, _ := strconv.Atoi(raw)
		from = n + 1
	}
	if !sleepCtx(r.Context(), e.first) {
		return
	}
	e.w.note("server %s runs %s from event %d", id, attempt, from)
	if e.onBegin != nil && !e.onBegin(e, r) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Server-Stamp", id+"."+attempt)
	w.Header().Set("X-Server-Load", fmt.Sprintf("%d,0,64", e.running.Add(1)))
	defer e.running.Add(-1)
	for n := from; n < e.events; n++ {
		if n > from && !sleepCtx(r.Context(), e.gap) {
			return
		}
		if e.tells {
			fmt.Fprintf(w, "id: %d\ndata: made by %s\n\n", n, e.version)
		} else {
			fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n, n)
		}
		w.(http.Flusher).Flush()
	}
}

// streamResult is what a client has seen of a stream in one attempt.
type streamResult struct {
	status   int
	last     int // id of the last event; the one before the first if none came
	complete bool
	broken   bool     // a piece is missing or came twice
	versions []string // that made the events, if these tell it
	text     string
	retry    time.Duration // Retry-After
	err      error
}

// stream makes a client's attempt at a stream, after the event last; -1: from its beginning.
// The client breaks the connection off once stopAt events have come, if that is positive.
func stream(ctx context.Context, front, path, id, resumes string, last int, deadline time.Duration, prefix string, stopAt int) streamResult {
	res := streamResult{last: last}
	header := map[string]string{"X-Model": "m", "X-Token-Count": "1460,80", "X-Prefix-Hash": prefix}
	if last >= 0 {
		header["Last-Event-Id"] = strconv.Itoa(last)
		header["Resumes"] = resumes
	}
	conn, r, err := request(front, "POST", path, id, deadline, header, "a brief")
	if err != nil {
		res.err = err
		return res
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	defer func() { _ = conn.Close() }()
	resp, err := http.ReadResponse(r, &http.Request{Method: "POST"})
	if err != nil {
		res.err = err
		return res
	}
	res.status = resp.StatusCode
	if resp.StatusCode != http.StatusOK {
		raw, _ := io.ReadAll(resp.Body)
		res.text = strings.TrimSpace(string(raw))
		if s, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
			res.retry = time.Duration(s * float64(time.Second))
		}
		return res
	}
	got := 0
	lines := newLineReader(resp.Body)
	for {
		line, err := lines.next()
		if err != nil {
			res.complete, res.err = err == io.EOF, err
			return res
		}
		if v, ok := strings.CutPrefix(line, "data: made by "); ok && !slices.Contains(res.versions, v) {
			res.versions = append(res.versions, v)
		}
		if raw, ok := strings.CutPrefix(line, "id: "); ok {
			n, _ := strconv.Atoi(raw)
			if n != res.last+1 {
				res.broken = true
			}
			res.last = n
			if got++; stopAt > 0 && got == stopAt {
				if t, ok := conn.(*net.TCPConn); ok {
					_ = t.SetLinger(0) // the connection is reset
				}
				return res
			}
		}
	}
}
