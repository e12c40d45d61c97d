package deploy

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"strings"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"wigeonplank.example/fakes/site"
	"wigeonplank.example/proof/fleet"
)

const (
	meanStallInterval = 700 * time.Millisecond // mean time between standstills
	minStall          = 200 * time.Millisecond
	maxStall          = 1200 * time.Millisecond
	minStarvedTime    = time.Second
	maxStarvedTime    = 2 * time.Second
	starvedRunTime    = 30 * time.Millisecond // of each starvedPeriod
	starvedPeriod     = 100 * time.Millisecond
	minIdleLimit      = 500 * time.Millisecond
	maxIdleLimit      = 2 * time.Second
	defaultIdleLimit  = 30 * time.Second // of the standard configuration
	idleMargin        = 50 * time.Millisecond
	callersPerStall   = 16
	requestsPerCaller = 6
	maxHold           = 0.8 // part of the idle limit for which callers hold a connection
	maxExtraSlack     = 10
)

// processEnd is the end of a relay process by a signal.
type processEnd struct {
	signalledAt, goneAt time.Time // goneAt is zero until the process has ended
	sig                 syscall.Signal
}

// idleCall is a request on a connection that its caller may have kept idle.
type idleCall struct {
	Reply
	dialledAt, idleSince, sentAt time.Time
}

// stallRelays makes a relay stand still or run for a part of the time only, in some cases all of
// them. It does so beside callers that hold connections idle, and in some cases beside a
// new configuration, a reload at all relays or a planned stop. It continues until the end of the faults.
func (sr *soakRun) stallRelays() error {
	if time.Now().After(sr.end) {
		return nil
	}
	rng := sr.stallRNG
	sr.schedule(time.Duration(rng.ExpFloat64()*float64(meanStallInterval)), sr.stallRelays)
	r, all, starved := sr.dep.Relays[rng.IntN(soakRelayCount)], rng.IntN(4) == 0, rng.IntN(4) == 0
	publish, reload, stop := rng.IntN(2) == 0, rng.IntN(3) == 0, rng.IntN(6) == 0
	after, d := randomBetween(rng, 0, minIdleLimit), randomBetween(rng, minStall, maxStall)
	if starved {
		d = randomBetween(rng, minStarvedTime, maxStarvedTime)
	}
	publishAfter, stopAfter, slack := randomBetween(rng, 0, maxStall), after+randomBetween(rng, 0, d), rng.IntN(maxExtraSlack)
	for i := range callersPerStall {
		sr.holdConn(r, fmt.Sprintf("idle-%x-%d-%d", sr.Seed, sr.stalls, i))
	}
	sr.stalls++
	if sr.isCalm() || !sr.mayEnd(r) {
		return nil
	}
	sr.Logf("after %s %s stands still for %s; all: %v, starved: %v, configuration: %v, reload: %v, stop: %v", after, r.Name, d, all, starved, publish, reload, stop)
	if publish {
		sr.schedule(publishAfter, sr.publishNext)
	}
	if reload {
		if err := sr.reload(slack); err != nil {
			return err
		}
	}
	stalled := []*Relay{r}
	if all {
		stalled = sr.dep.Relays
	}
	for _, r := range stalled {
		sr.callers.Go(func() {
			time.Sleep(after)
			stall(r.Proc(), d, starved)
		})
	}
	if stop {
		p := r.Proc()
		sr.schedule(stopAfter, func() error {
			if sr.losing || sr.ending[r.Name] || r.Proc() != p || !p.Running() {
				return nil
			}
			return sr.signalEnd(r, syscall.SIGTERM)
		})
	}
	return nil
}

func randomBetween(rng *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rng.Int64N(int64(high-low)))
}

// stall makes a process stand still for a duration, or run for a part of it only.
func stall(p *fleet.Proc, d time.Duration, starved bool) {
	pause := d
	if starved {
		pause = starvedPeriod - starvedRunTime
	}
	for end := time.Now().Add(d); ; time.Sleep(starvedRunTime) {
		_ = p.Signal(syscall.SIGSTOP) // fails only if the process has ended
		time.Sleep(pause)
		_ = p.Signal(syscall.SIGCONT) // fails only if the process has ended
		if time.Now().After(end) {
			return
		}
	}
}

// reload changes the settings of all relays that are ready and sends them SIGHUP.
func (sr *soakRun) reload(slack int) error {
	var errs []error
	for _, r := range sr.dep.Relays {
		if !sr.mayEnd(r) {
			continue
		}
		r.Settings.Retry.Slack = float64(retryBudgetSlack + slack)
		errs = append(errs, r.WriteSettings(), r.Proc().Signal(syscall.SIGHUP))
	}
	return errors.Join(errs...)
}

// config returns the configuration of a version, with an idle limit that it draws.
func (sr *soakRun) config(version int) map[string]any {
	limit := randomBetween(sr.stallRNG, minIdleLimit, maxIdleLimit).Truncate(time.Millisecond)
	sr.mu.Lock()
	sr.idleLimits[version], sr.idleLimit = limit, limit
	sr.mu.Unlock()
	cfg := site.StandardConfig(version)
	site.SetIdleLimit(cfg, limit)
	return cfg
}

// holdConn sends requests on one connection to a relay until the relay closes it. Between them
// the connection is idle for a part of the published limit.
func (sr *soakRun) holdConn(r *Relay, id string) {
	holds, routes := make([]float64, requestsPerCaller), make([]Route, requestsPerCaller)
	for i := range holds {
		holds[i], routes[i] = sr.stallRNG.Float64()*maxHold, Routes()[sr.stallRNG.IntN(2)] // those without streams
	}
	sr.callers.Go(func() {
		dialledAt := time.Now()
		conn, err := net.Dial("tcp", r.Settings.HTTP.Listen)
		if err != nil {
			return // the relay has ended
		}
		defer func() { _ = conn.Close() }() // the responses were read
		br, idleSince := bufio.NewReader(conn), dialledAt
		for i, hold := range holds {
			arrived, ended := make(chan error, 1), make(chan struct{})
			go func() {
				_, err := br.Peek(1)
				arrived <- err
				close(ended)
			}()
			sr.mu.Lock()
			limit := sr.idleLimit
			sr.mu.Unlock()
			select {
			case <-ended: // the relay has closed the connection, and the caller knows
				return
			case <-time.After(time.Duration(hold * float64(min(limit, maxIdleLimit)))):
			}
			c := &idleCall{Reply: Reply{ID: fmt.Sprintf("%s-%d", id, i), Route: routes[i], Relay: r.Name}, dialledAt: dialledAt, idleSince: idleSince}
			c.URI = c.Route.Prefix + c.ID
			c.send(conn, br, arrived)
			idleSince = c.FirstEndedAt
			sr.mu.Lock()
			sr.idleCalls = append(sr.idleCalls, c)
			sr.mu.Unlock()
			if c.FirstError != nil {
				return
			}
			_ = conn.SetDeadline(time.Time{}) // fails only on a closed connection
		}
	})
}

// send sends the request and records the response, whose first byte arrived tells.
func (c *idleCall) send(conn net.Conn, br *bufio.Reader, arrived <-chan error) {
	_ = conn.SetDeadline(time.Now().Add(requestDeadline + responseGrace)) // fails only on a closed connection
	_, err := conn.Write(site.Call{AttemptID: c.ID, APIKey: site.StandardKey, Deadline: requestDeadline}.AppendHead(nil, c.URI))
	c.sentAt = time.Now()
	c.StartedAt = c.sentAt
	c.FirstError = errors.Join(err, <-arrived)
	var resp fasthttp.Response
	if c.FirstError == nil {
		if c.FirstError = resp.Read(br); c.FirstError == nil {
			c.Status, c.Signed, c.ResponseBody = resp.StatusCode(), site.Signed(&resp.Header), string(resp.Body())
		}
	}
	c.FirstEndedAt = time.Now()
}

// idleReplies returns the responses to all calls of callers that hold connections idle.
func (sr *soakRun) idleReplies() []*Reply {
	out := make([]*Reply, 0, len(sr.idleCalls))
	for _, c := range sr.idleCalls {
		out = append(out, &c.Reply)
	}
	return out
}

// lostIdleCalls returns the calls that got neither an answer nor a refusal, although nothing
// allows it.
func (sr *soakRun) lostIdleCalls() ([]string, error) {
	var out []string
	failed, ended := 0, 0
	for _, c := range sr.idleCalls {
		if c.FirstError == nil {
			continue
		}
		failed++
		if sr.endExcuses(c) {
			ended++
			continue
		}
		until, err := sr.idleUntil(c.Relay, c.idleSince)
		if err != nil {
			return nil, err
		}
		if c.sentAt.Before(until.Add(-idleMargin)) {
			out = append(out, fmt.Sprintf("%s at %s, sent %s after %s idle, %s before the limit, ended after %s: %v", c.URI, c.Relay, c.sentAt.Format(time.RFC3339Nano),
				c.sentAt.Sub(c.idleSince), until.Sub(c.sentAt), c.FirstEndedAt.Sub(c.sentAt), c.FirstError))
		}
	}
	sr.Logf("requests on kept connections: %d, without a response %d, of them by the end of the relay %d, after the idle limit %d",
		len(sr.idleCalls), failed, ended, failed-ended-len(out))
	return out, nil
}

// endExcuses reports whether the relay of the call got SIGKILL, or no longer accepted requests in
// a planned stop.
func (sr *soakRun) endExcuses(c *idleCall) bool {
	for _, e := range sr.ends[c.Relay] {
		if !e.goneAt.IsZero() && e.goneAt.Before(c.dialledAt) || e.signalledAt.After(c.FirstEndedAt) {
			continue
		}
		if e.sig == syscall.SIGKILL || c.sentAt.After(e.signalledAt.Add(relayStopTimeout/3)) {
			return true
		}
	}
	return false
}

// idleUntil returns the time until which a relay had to wait for a request on a connection that is
// idle, by the configurations that its log says were in force.
func (sr *soakRun) idleUntil(relay string, idleSince time.Time) (time.Time, error) {
	raw, err := os.ReadFile(sr.dep.Relay(relay).LogFile)
	if err != nil {
		return time.Time{}, fmt.Errorf("read log of %s: %w", relay, err)
	}
	before, until := defaultIdleLimit, time.Time{}
	for line := range strings.Lines(string(raw)) {
		var e struct {
			Time    time.Time `json:"time"`
			Event   string    `json:"event"`
			Version int       `json:"version"`
		}
		if !strings.Contains(line, `"config_applied"`) || json.Unmarshal([]byte(line), &e) != nil {
			continue
		}
		limit := defaultIdleLimit
		if l, ok := sr.idleLimits[e.Version]; ok {
			limit = l
		}
		switch {
		case e.Time.Before(idleSince.Add(-idleMargin)):
			before = limit
		case e.Time.Before(idleSince.Add(idleMargin)):
			before = min(before, limit)
		case until.IsZero():
			until = idleSince.Add(before)
			fallthrough
		default:
			if raised := idleSince.Add(limit); raised.After(until) && e.Time.Before(until.Add(-idleMargin)) {
				until = raised
			}
		}
	}
	if until.IsZero() {
		until = idleSince.Add(before)
	}
	return until, nil
}
