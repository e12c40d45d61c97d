package peer_test

import (
	"fmt"
	"testing"
	"time"

	"wigeonplank.example/core/notice"
	"wigeonplank.example/core/quota"
)

const (
	limitWindow   = 4 * time.Second
	restartGrace  = 3 * time.Second // after its start, requests of a relay don't count
	sendsPerRound = 5               // times in a round at which relays may send
)

// sentRequest is a request that a relay sent to the limited endpoint.
type sentRequest struct {
	at    time.Time
	relay string
}

// limitedFleet is a fleet whose relays all send as many requests to one endpoint as
// their parts of its limit allow.
type limitedFleet struct {
	*fleet
	allowance notice.Allowance
	sends     map[string]*notice.Sends // by instance
	sent      []sentRequest            // those that count, in order
}

// run plays rounds for d.
func (f *limitedFleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.round()
		for i := range sendsPerRound {
			f.sendAll(f.now.Add(time.Duration(i) * roundInterval / sendsPerRound))
		}
	}
}

// sendAll lets each live relay send what it may send at now.
func (f *limitedFleet) sendAll(now time.Time) {
	for _, r := range f.relays {
		if r.dead {
			continue
		}
		s := f.sends[r.Self.Instance]
		if s == nil {
			s = &notice.Sends{}
			f.sends[r.Self.Instance] = s
		}
		own := f.allowance
		own.Requests = quota.Share(float64(own.Requests), r.Size(now), r.Rank("endpoint"))
		for {
			if opens, ok := s.OpensAt(own); !ok || now.Before(opens) {
				break
			}
			s.Add(now)
			if now.Sub(r.Started) > restartGrace {
				f.sent = append(f.sent, sentRequest{now, r.Self.Instance})
			}
		}
	}
}

// kill ends the relays for which dies is true, and forgets what they have sent.
func (f *limitedFleet) kill(dies func(i int) bool) {
	for _, id := range f.fleet.kill(dies) {
		delete(f.sends, id)
	}
}

// most returns the highest number of requests in any limitWindow.
func (f *limitedFleet) most() int {
	most, first := 0, 0
	for i, s := range f.sent {
		for s.at.Sub(f.sent[first].at) > limitWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestLimitHoldsWhileMembershipChanges guards against relays that together exceed the
// limit of an endpoint because their views of the membership differ. The bound is the
// users': one and a half times what the limit allows, and 5 requests.
func TestLimitHoldsWhileMembershipChanges(t *testing.T) {
	changes := map[string]func(f *limitedFleet){
		"none": func(*limitedFleet) {},
		"zone lost and back": func(f *limitedFleet) {
			f.kill(func(i int) bool { return i%zoneCount == 1 })
			f.run(20 * time.Second)
			f.restart(2)
		},
		"restarts in turn": func(f *limitedFleet) {
			for n := range min(len(f.relays), 12) {
				f.kill(func(i int) bool { return i == n })
				f.run(time.Second)
				f.restart(uint64(2 + n))
				f.run(time.Second)
			}
		},
		"most killed at once": func(f *limitedFleet) {
			f.kill(func(i int) bool { return i%5 < 3 })
			f.run(time.Second)
			f.restart(2)
		},
		"relays added": func(f *limitedFleet) {
			for range max(1, len(f.relays)/4) {
				f.add(len(f.relays), 1)
			}
		},
		"relays removed": func(f *limitedFleet) {
			f.kill(func(i int) bool { return i%4 == 2 })
			f.run(30 * time.Second)
		},
	}
	for name, change := range changes {
		for _, c := range []struct {
			relays int
			rate   float64 // requests per second
		}{{4, 0.5}, {4, 1}, {4, 5}, {4, 40}, {24, 0.5}, {24, 1}, {24, 5}, {24, 40}, {40, 5}} {
			t.Run(fmt.Sprint(name, "/", c.relays, " relays/", c.rate), func(t *testing.T) {
				t.Parallel()
				allowance, _ := notice.Notice{}.WithRateLimit(c.rate).Allowance()
				f := &limitedFleet{fleet: newFleet(c.relays), allowance: allowance, sends: make(map[string]*notice.Sends)}
				f.run(8 * time.Second)
				change(f)
				f.run(8 * time.Second)
				bound := 1.5*c.rate*limitWindow.Seconds() + 5
				if got := f.most(); float64(got) > bound {
					t.Errorf("%d requests in %s, want at most %g", got, limitWindow, bound)
				}
				if len(f.sent) == 0 {
					t.Error("no requests: the limit is not used")
				}
			})
		}
	}
}
