package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

const (
	streamEvents   = 40
	streamGap      = 100 * time.Millisecond
	streamDeadline = 15 * time.Second // of study-coach and board-note
	clients        = 48               // at the cut relay
	brokenShare    = 2                // the connection of one in so many of them is reset
)

func streamConfig(w *world) {
	w.store.put("op/config", map[string]any{
		"version": 3,
		"routes": []any{
			map[string]any{"name": "coach", "host": "shop.example", "prefix": "/coach/", "type": "streaming", "timeoutMs": 15000, "sloMs": 1600, "priority": 2, "service": "pool", "maxAttempts": 2, "public": false, "sticky": true, "resumable": true, "maxGapMs": 400},
		},
		"services": []any{map[string]any{"name": "pool", "healthPath": "/healthz", "maxConns": 360, "protocol": "h1", "tls": false, "coldS": 3.0, "coldPerS": 9.1, "engine": map[string]any{"slots": 64, "kvCapacity": 316547}}},
		"limits":   limits, "tenants": tenants,
	})
}

// runIsolated has clients take up streams at the other relays that began at one which reaches the
// store, the servers and its clients, but no other machine of the system.
func runIsolated(w *world, trouble bool) (bool, string) {
	streamConfig(w)
	zones := []string{"a", "b", "c", "d"}
	var ips []string
	for i := range zones {
		ips = append(ips, fmt.Sprintf("127.0.4.%d", i+1))
	}
	keeperPort := freePort(ips...)
	for i, z := range zones {
		e := &engine{w: w, service: "pool", zone: z, version: "v1", events: streamEvents, first: 50 * time.Millisecond, gap: streamGap}
		e.start(ips[i]+":0", fmt.Sprintf("i-%d", i+1))
		w.closes = append(w.closes, func() { e.crash() })
		w.startKeeper("side-"+z, ips[i], keeperPort)
		awaitPort(fmt.Sprintf("%s:%d", ips[i], keeperPort))
	}
	relays := make([]*relay, 4)
	var seeds []string
	for i, z := range zones {
		relays[i] = newRelay(i+1, z)
		seeds = append(seeds, relays[i].peer)
	}
	cut, others := relays[0], relays[1:]
	if trouble {
		// What the cut relay sees of the other machines, and they of it, answers nothing:
		// never answers.
		silentPort := freePort(ips...)
		for _, ip := range ips {
			w.silentAddr(ip, silentPort)
		}
		silent := []string{w.silentAddr("127.0.5.1", 0), w.silentAddr("127.0.5.2", 0), w.silentAddr("127.0.5.3", 0)}
		for _, r := range others {
			w.startRelay(r, []string{silent[0], seeds[1], seeds[2]}, keeperPort)
		}
		w.startRelay(cut, silent, silentPort)
		w.note("%s is cut off from the other relays and the keepers; it reaches the store, the servers and its clients", cut.name)
	} else {
		for _, r := range relays {
			w.startRelay(r, seeds[:3], keeperPort)
		}
	}
	w.awaitReady(relays...)
	time.Sleep(3500 * time.Millisecond) // contactMs

	var mu sync.Mutex
	var wg sync.WaitGroup
	begun, takenUp, wentOn, fresh, freshBegan := 0, 0, 0, 0, 0
	for n := range clients {
		wg.Add(2)
		go func() { // a stream that begins at the cut relay
			defer wg.Done()
			first := fmt.Sprintf("aaaa%012x", n)
			start := time.Now()
			prefix := fmt.Sprintf("5c1e07a2:800,%08x:200", n)
			stopAt := 0
			if n%brokenShare == 0 {
				stopAt = 8 // events
			}
			res := stream(context.Background(), cut.front, "/coach/1", first, "", -1, streamDeadline, prefix, stopAt)
			w.note("client %d at %s: status %d, events to %d, complete %v %s; its connection is reset: %v", n, cut.name, res.status, res.last, res.complete, res.text, stopAt > 0)
			if res.status != 200 || res.last < 0 {
				return
			}
			mu.Lock()
			begun++
			mu.Unlock()
			if stopAt == 0 {
				return
			}
			time.Sleep(100 * time.Millisecond)
			goesOn, tried := false, 0
			last := res.last
			for tried = 1; tried <= 2; tried++ { // one more try, as clients do
				front := others[(n+tried)%len(others)]
				left := streamDeadline - time.Since(start)
				id := fmt.Sprintf("bbbb%04x%08x", tried, n)
				res = stream(context.Background(), front.front, "/coach/1", id, first, last, left, prefix, 0)
				w.note("client %d takes it up at %s after event %d: status %d, events to %d, complete %v %s (Retry-After %v)", n, front.name, last, res.status, res.last, res.complete, res.text, res.retry)
				if res.status == 200 {
					goesOn = res.last > last && !res.broken
					break
				}
				if res.retry > 0 {
					time.Sleep(res.retry)
				}
			}
			mu.Lock()
			takenUp++
			if goesOn {
				wentOn++
			}
			mu.Unlock()
		}()
		go func() { // a new stream at the other relays
			defer wg.Done()
			time.Sleep(time.Second)
			front := others[n%len(others)]
			res := stream(context.Background(), front.front, "/coach/1", fmt.Sprintf("cccc%012x", n), "", -1, streamDeadline, fmt.Sprintf("5c1e07a2:800,%08x:200", 1000+n), 0)
			w.note("new stream cccc%012x at %s: status %d, events to %d, complete %v", n, front.name, res.status, res.last, res.complete)
			mu.Lock()
			fresh++
			if res.status == 200 && res.last >= 0 {
				freshBegan++
			}
			mu.Unlock()
		}()
	}
	wg.Wait()
	seen := fmt.Sprintf("%d streams began at %s; %d were taken up at the others, %d went on; of %d new ones %d began", begun, cut.name, takenUp, wentOn, fresh, freshBegan)
	if takenUp < 12 {
		return false, seen + " (under 12 were taken up)"
	}
	return float64(wentOn)/float64(takenUp) < 0.5*float64(freshBegan)/float64(fresh), seen
}
