package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	badPart     = "badbad01"
	poisonTimes = 6
	poisonBurst = 6 // requests with the part that come at once, no two alike
	poisonPause = 5 * time.Second
	backAfter   = 2 * time.Second
	contact     = 3 * time.Second // contactMs
)

// runPoison sends requests with a part that crashes servers, several at a time.
func runPoison(w *world, trouble bool) (bool, string) {
	streamConfig(w)
	zones := []string{"a", "b", "c", "d"}
	var mu sync.Mutex
	var crashes []time.Time
	var arrivals []time.Time
	names := make(map[*engine]string)
	onRequest := func(e *engine, r *http.Request) {
		if !strings.Contains(r.Header.Get("X-Prefix-Hash"), badPart) {
			return
		}
		mu.Lock()
		arrivals = append(arrivals, time.Now())
		mu.Unlock()
		w.note("request %s with the part reaches %s", r.Header.Get("X-Attempt-Id"), e.id)
	}
	onBegin := func(e *engine, r *http.Request) bool {
		if !trouble || !strings.Contains(r.Header.Get("X-Prefix-Hash"), badPart) {
			return true
		}
		if e.crash() {
			mu.Lock()
			crashes = append(crashes, time.Now())
			mu.Unlock()
			w.note("%s crashes as it begins to answer %s", e.id, r.Header.Get("X-Attempt-Id"))
			e.restart(names[e], backAfter)
		}
		return false
	}
	var engines []*engine
	var ips []string
	for i := range 12 {
		ips = append(ips, fmt.Sprintf("127.0.4.%d", i+1))
	}
	keeperPort := freePort(ips...)
	for i, ip := range ips {
		e := &engine{w: w, service: "pool", zone: zones[i%4], version: "v1", events: 20, first: 60 * time.Millisecond, gap: 100 * time.Millisecond, onRequest: onRequest, onBegin: onBegin}
		names[e] = fmt.Sprintf("i-%02d", i+1)
		e.start(ip+":0", names[e])
		w.closes = append(w.closes, func() { e.crash() })
		engines = append(engines, e)
		w.startKeeper(fmt.Sprintf("side-%d", i+1), ip, keeperPort)
	}
	relays := make([]*relay, 4)
	var seeds []string
	for i, z := range zones {
		relays[i] = newRelay(i+1, z)
		seeds = append(seeds, relays[i].peer)
	}
	for _, r := range relays {
		w.startRelay(r, seeds[:3], keeperPort)
	}
	w.awaitReady(relays...)
	time.Sleep(3500 * time.Millisecond)

	var wg sync.WaitGroup
	sound, lost := 0, 0
	end := time.Now().Add(poisonTimes*poisonPause + time.Second)
	for n := 0; time.Now().Before(end); n++ {
		if n%100 == 20 { // every 5 s
			for k := range poisonBurst {
				wg.Add(1)
				go func() {
					defer wg.Done()
					id := fmt.Sprintf("bad0%04x%08x", n, k)
					prefix := fmt.Sprintf("%s:300,%04x%04x:400,%04x%04x:200", badPart, n, k, k, n)
					res := stream(context.Background(), relays[0].front, "/coach/1", id, "", -1, 6*time.Second, prefix, 0)
					w.note("request %s with the part at %s: status %d %s %v", id, relays[0].name, res.status, res.text, res.err)
				}()
			}
		}
		wg.Add(1)
		go func() { // sound streams, 20 a second
			defer wg.Done()
			res := stream(context.Background(), relays[n%4].front, "/coach/1", fmt.Sprintf("50dd%012x", n), "", -1, streamDeadline, fmt.Sprintf("%08x:300,%08x:200", n%8, 1000+n), 0)
			mu.Lock()
			defer mu.Unlock()
			sound++
			if !res.complete || res.status != 200 {
				lost++
			}
			w.note("sound stream 50dd%012x at %s: status %d, events to %d, complete %v", n, relays[n%4].name, res.status, res.last, res.complete)
		}()
		time.Sleep(50 * time.Millisecond)
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	late := 0
	if len(crashes) >= 5 {
		for _, at := range arrivals {
			if at.Sub(crashes[4]) > contact {
				late++
			}
		}
	}
	return late > 3, fmt.Sprintf("%d crashes; %d requests with the part reached servers, %d of them later than contactMs after the fifth crash; %d of %d sound streams were refused or broken off", len(crashes), len(arrivals), late, lost, sound)
}
