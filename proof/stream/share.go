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

// clock stops a relay process by SIGSTOP when it has used its share of a period, until the
// next one, and in standstills.
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
				c.keep(now)
			}
			r.mu.Unlock()
		}
	}
}

func (c *clock) keep(now time.Time) {
	p := c.relay.Proc()
	if p == nil || !p.Running() {
		return
	}
	if p != c.proc {
		c.proc, c.stopped, c.period, c.frozenUntil = p, false, 0, time.Time{}
	}
	since := now.Add(c.offset).UnixNano()
	if period := since / int64(sharePeriod); period != c.period {
		c.period, c.used = period, processorTime(p.PID())
	}
	spent := processorTime(p.PID())-c.used >= time.Duration(c.share*float64(sharePeriod))
	stop := spent || now.Before(c.frozenUntil)
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
