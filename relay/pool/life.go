package pool

import (
	"slices"
	"sync/atomic"
	"time"
)

// lifeMemory is how long the life of a connection is kept after its last byte.
const lifeMemory = 15 * time.Second

// started is the reference of the times in life, which are read without a lock.
var started = time.Now()

// life is a period in which the process at an address has lived, as a connection shows.
type life struct {
	since   time.Time    // guarded by Pool.mu
	aliveAt atomic.Int64 // last time after which bytes arrived, since started
}

func (l *life) extend(now time.Time) { l.aliveAt.Store(int64(now.Sub(started))) }

func (l *life) until() time.Time { return started.Add(time.Duration(l.aliveAt.Load())) }

// recordRead records that bytes were read by a call that began at a time. all tells that none
// were left. Bytes that are read may have waited since none were left before; their sender may
// have ended meanwhile.
func (c *Conn) recordRead(begunAt time.Time, all bool) {
	c.lastRead = time.Now()
	if !c.emptyAt.IsZero() {
		c.life.extend(c.emptyAt)
	}
	c.emptyAt = time.Time{}
	if all {
		c.emptyAt = begunAt
	}
}

// addLife returns the life of a new connection that was dialed at a time.
func (p *Pool) addLife(k key, dialedAt time.Time) *life {
	l := &life{since: dialedAt}
	l.extend(dialedAt)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lives == nil {
		p.lives = make(map[key][]*life)
	}
	p.lives[k] = append(p.lives[k], l)
	return l
}

// Since returns a time since which what responds on a connection has lived: that of its
// dial, or an earlier one if another connection to the endpoint, which was open before,
// has brought bytes since then.
func (p *Pool) Since(c *Conn) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.sinceLocked(c)
}

func (p *Pool) sinceLocked(c *Conn) time.Time {
	p.joinLocked(c.key, c.life)
	return c.life.since
}

// joinLocked extends a life by those that it overlaps: two processes can't listen at one
// address at the same time. The caller holds p.mu.
func (p *Pool) joinLocked(k key, l *life) {
	for grown := true; grown; {
		grown = false
		for _, o := range p.lives[k] {
			if o.since.Before(l.since) && !o.until().Before(l.since) {
				l.since, grown = o.since, true
			}
		}
	}
}

// sweepLivesLocked drops the lives that ended some time ago. The caller holds p.mu.
func (p *Pool) sweepLivesLocked(now time.Time) {
	for k, list := range p.lives {
		for _, l := range list {
			p.joinLocked(k, l)
		}
		list = slices.DeleteFunc(list, func(l *life) bool { return now.Sub(l.until()) > lifeMemory })
		if p.lives[k] = list; len(list) == 0 {
			delete(p.lives, k)
		}
	}
}
