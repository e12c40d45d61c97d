package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// runNoVersion has two servers of different software versions whose entries come from another
// writer, without `version`, and crashes one of them while it answers streams.
func runNoVersion(w *world, trouble bool) (bool, string) {
	streamConfig(w)
	zones := []string{"a", "b", "c", "d"}
	versions := []string{"v1", "v1", "v2", "v3"}
	var ips []string
	for i := range zones {
		ips = append(ips, fmt.Sprintf("127.0.4.%d", i+1))
	}
	keeperPort := freePort(ips...)
	var engines []*engine
	for i, z := range zones {
		e := &engine{w: w, service: "pool", zone: z, version: versions[i], events: 40, first: 50 * time.Millisecond, gap: 100 * time.Millisecond, tells: true}
		e.unversioned = trouble && i >= 2
		e.start(ips[i]+":0", fmt.Sprintf("i-%d", i+1))
		w.note("server %s has the software version %s; its entry names it: %v", e.id, e.version, !e.unversioned)
		w.closes = append(w.closes, func() { e.crash() })
		engines = append(engines, e)
		w.startKeeper("side-"+z, ips[i], keeperPort)
		awaitPort(fmt.Sprintf("%s:%d", ips[i], keeperPort))
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
	time.Sleep(3500 * time.Millisecond) // contactMs

	var mu sync.Mutex
	var wg sync.WaitGroup
	mixed, complete, cut, refused := 0, 0, 0, 0
	for n := range 40 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			id := fmt.Sprintf("aaaa%012x", n)
			res := stream(context.Background(), relays[n%4].front, "/coach/1", id, "", -1, streamDeadline, fmt.Sprintf("%08x:800,%08x:200", n%16, 1000+n), 0)
			w.note("stream %s: status %d, events to %d, complete %v, events of the versions %v", id, res.status, res.last, res.complete, res.versions)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case len(res.versions) > 1:
				mixed++
			case res.complete && res.status == 200:
				complete++
			case res.status == 200:
				cut++
			default:
				refused++
			}
		}()
	}
	time.Sleep(1500 * time.Millisecond)
	w.note("server %s crashes, and is back after 4 s", engines[2].id)
	engines[2].crash()
	engines[2].restart("i-3", 4*time.Second)
	wg.Wait()
	return mixed > 2, fmt.Sprintf("%d streams hold events of two software versions; %d are complete at one, %d were broken off, %d refused", mixed, complete, cut, refused)
}
