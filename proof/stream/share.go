package stream

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"wigeonplank.example/proof/deploy"
	"wigeonplank.example/proof/fleet"
)

const (
	sharePeriod = 100 * time.Millisecond
	shareTick   = 5 * time.Millisecond
)

// Sharing is how relays are held to their share of a core.
type Sharing string

// Ways of sharing.
const (
	ShareQuota Sharing = "quota" // a relay that has used its share of a period stands still for the rest of it
	ShareDuty  Sharing = "duty"  // a relay stands still for the rest of each period, whatever it has used
	ShareNone  Sharing = "none"
)

// clock holds a relay process to its share of a core and to standstills, by SIGSTOP and
// SIGCONT.
type clock struct {
	relay       *deploy.Relay
	share       float64
	offset      time.Duration // of its periods
	frozenUntil time.Time
	proc        *fleet.Proc
	stopped     bool
	period      int64
	used        time.Duration // at the begin of the period
}

// keepShares holds the relays to their shares until done is closed.
func (r *run) keepShares(done <-chan struct{}) {
	t := time.NewTicker(shareTick)
	defer t.Stop()
	for {
		select {
		case <-done:
			return
		case now := <-t.C:
			r.mu.Lock()
			for _, c := range r.clocks {
				c.keep(now, r.Sharing)
			}
			r.mu.Unlock()
		}
	}
}

func (c *clock) keep(now time.Time, sharing Sharing) {
	p := c.relay.Proc()
	if p == nil || !p.Running() {
		return
	}
	if p != c.proc {
		c.proc, c.stopped, c.period = p, false, 0
	}
	since := now.Add(c.offset).UnixNano()
	if period := since / int64(sharePeriod); period != c.period {
		c.period, c.used = period, processorTime(p.PID())
	}
	stop := now.Before(c.frozenUntil)
	if part := time.Duration(c.share * float64(sharePeriod)); !stop && c.share < 1 {
		switch sharing {
		case ShareQuota:
			stop = processorTime(p.PID())-c.used >= part
		case ShareDuty:
			stop = time.Duration(since%int64(sharePeriod)) >= part
		}
	}
	if stop == c.stopped {
		return
	}
	sig := syscall.SIGCONT
	if stop {
		sig = syscall.SIGSTOP
	}
	if p.Signal(sig) == nil { // fails only if the process has ended
		c.stopped = stop
	}
}

// processorTime returns the processor time that a process has used, or 0 if it has ended.
func processorTime(pid int) time.Duration {
	const processClock = 2 // of the kernel's clock IDs of processes: the time on a processor
	var ts unix.Timespec
	if unix.ClockGettime(int32(^pid<<3|processClock), &ts) != nil {
		return 0
	}
	return time.Duration(ts.Nano())
}
