package deploy

import (
	"bufio"
	"fmt"
	"net"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"wigeonplank.example/fakes/site"
)

const (
	slowCallers     = 24                      // of one stop
	firstPartTime   = 100 * time.Millisecond  // from the first part of some requests to the signal
	maxFirstPart    = 1100 * time.Millisecond // from the first caller's first part to the last one's
	maxRestDelay    = 2 * time.Second         // from the first part of a request to its rest
	slowBodyBytes   = 4000
	stopsPerRow     = 2
	stopInterval    = 2 * time.Second
	killRetryDelay  = 100 * time.Millisecond
	relayAcceptTime = relayStopTimeout/3 + 200*time.Millisecond // from SIGTERM until the relay accepts no more requests
)

// slowStop is a planned stop of a relay to which callers send requests slowly.
type slowStop struct {
	signalledAt time.Time
	calls       []*slowCall
}

// slowCall is a request that is sent in two parts.
type slowCall struct {
	Reply
	dialledAt time.Time
	sentAt    time.Time // when the rest was sent; zero if the response came before
}

// stopBesideSlowCallers sends SIGTERM to a relay while callers send requests slowly, in
// most cases beside a new configuration.
func (sr *soakRun) stopBesideSlowCallers() error {
	first, publish, after := sr.rng.IntN(soakRelayCount), sr.rng.IntN(3) > 0, time.Duration(sr.rng.Int64N(int64(maxFirstPart)))
	s := &slowStop{}
	sr.slowStops = append(sr.slowStops, s)
	calls := make([]func(*Relay), slowCallers)
	for i := range calls {
		calls[i] = sr.slowCall(s, fmt.Sprintf("slow-%x-%d-%d", sr.Seed, len(sr.slowStops), i))
	}
	r := sr.relayThatMayEnd(first)
	if r == nil {
		s.calls = nil
		return nil
	}
	sr.Logf("callers send requests to %s slowly", r.Name)
	for _, call := range calls {
		sr.callers.Go(func() { call(r) })
	}
	time.Sleep(firstPartTime)
	s.signalledAt = time.Now()
	if publish {
		sr.schedule(after, sr.publishNext)
	}
	return sr.signalEnd(r, syscall.SIGTERM)
}

// slowCall adds a request that is sent slowly to a stop, and returns a function that sends
// it to a relay.
func (sr *soakRun) slowCall(s *slowStop, id string) func(*Relay) {
	routes := Routes()
	c := &slowCall{Reply: Reply{ID: id, Route: routes[sr.rng.IntN(len(routes))], RequestBody: strings.Repeat("x", slowBodyBytes)}}
	c.URI = c.Route.Prefix + id
	req := c.newRequest(sr.rng)
	req.SetRequestURI(c.URI)
	req.Header.SetHost(site.StandardHost)
	raw := []byte(req.String())
	fasthttp.ReleaseRequest(req)
	split := 1 + sr.rng.IntN(len(raw)-1)
	if sr.rng.IntN(2) == 0 {
		split = 1 + sr.rng.IntN(len(raw)-slowBodyBytes) // in the head
	}
	wait, rest := time.Duration(sr.rng.Int64N(int64(maxFirstPart))), time.Duration(sr.rng.Int64N(int64(maxRestDelay)))
	s.calls = append(s.calls, c)
	return func(r *Relay) {
		c.Relay, c.dialledAt = r.Name, time.Now()
		conn, err := net.Dial("tcp", r.Settings.HTTP.Listen)
		if err != nil {
			c.FirstError = fmt.Errorf("dial: %w", err)
			return
		}
		defer func() { _ = conn.Close() }() // the response was read
		time.Sleep(wait)
		c.send(conn, raw[:split], raw[split:], rest)
	}
}

// send sends both parts of the request, unless a response comes before the second, and
// records the response.
func (c *slowCall) send(conn net.Conn, first, rest []byte, after time.Duration) {
	c.StartedAt = time.Now()
	_ = conn.SetDeadline(c.StartedAt.Add(requestDeadline + responseGrace)) // fails only on a closed connection
	if _, c.FirstError = conn.Write(first); c.FirstError != nil {
		return
	}
	responded, sent := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(sent)
		select {
		case <-responded:
		case <-time.After(after):
			c.sentAt = time.Now()
			_, _ = conn.Write(rest) // fails if the relay has closed the connection, which the read tells
		}
	}()
	br := bufio.NewReader(conn)
	_, c.FirstError = br.Peek(1)
	close(responded)
	<-sent
	c.FirstEndedAt = time.Now()
	var resp fasthttp.Response
	if c.FirstError == nil && resp.Read(br) == nil {
		c.Status, c.Signed, c.ResponseBody = resp.StatusCode(), site.Signed(&resp.Header), string(resp.Body())
	}
}

// unserved returns the calls that got nothing, and those that were sent whole after the relay
// had ceased to accept requests and got neither a whole response nor a refusal. Those that begin
// after the idle limit in force got nothing rightly.
func (sr *soakRun) unserved(s *slowStop) ([]string, error) {
	var out []string
	for _, c := range s.calls {
		if c.FirstError != nil && !c.StartedAt.IsZero() {
			until, err := sr.idleUntil(c.Relay, c.dialledAt)
			if err != nil {
				return nil, err
			}
			if c.StartedAt.After(until.Add(-idleMargin)) {
				continue
			}
		}
		late := c.sentAt.After(s.signalledAt.Add(relayAcceptTime + signalMargin))
		cut := slices.Contains([]int{0, fasthttp.StatusBadGateway, fasthttp.StatusGatewayTimeout}, c.Status)
		if c.FirstError != nil || late && cut {
			out = append(out, fmt.Sprintf("%s at %s: begun %s and whole %s after SIGTERM, status %d: %v", c.URI, c.Relay,
				c.StartedAt.Sub(s.signalledAt).Round(time.Millisecond), c.sentAt.Sub(s.signalledAt).Round(time.Millisecond), c.Status, c.FirstError))
		}
	}
	return out, nil
}

// slowReplies returns the responses to all calls that were sent slowly.
func (sr *soakRun) slowReplies() []*Reply {
	var out []*Reply
	for _, s := range sr.slowStops {
		for _, c := range s.calls {
			out = append(out, &c.Reply)
		}
	}
	return out
}

// stopsInARow stops one relay after another, with a new configuration in each stop.
func (sr *soakRun) stopsInARow() error {
	first := sr.rng.IntN(soakRelayCount)
	for i := range stopsPerRow {
		after := time.Duration(sr.rng.Int64N(int64(relayAcceptTime)))
		sr.schedule(time.Duration(i)*stopInterval, func() error {
			r := sr.relayThatMayEnd(first + i)
			if r == nil {
				return nil
			}
			sr.Logf("stop %d in a row, with a new configuration after %s", i+1, after)
			sr.schedule(after, sr.publishNext)
			return sr.signalEnd(r, syscall.SIGTERM)
		})
	}
	return nil
}

// loseRelays starts engines of another version and ends all relays at once with SIGKILL a
// while later.
func (sr *soakRun) loseRelays() error {
	d := sr.randomDuration()
	if sr.losing || sr.isCalm() {
		return nil
	}
	sr.losing = true
	sr.schedule(d, sr.killRelays)
	return sr.releaseVersion()
}

// killRelays sends SIGKILL to all relays, once none is ending.
func (sr *soakRun) killRelays() error {
	if len(sr.ending) > 0 {
		sr.schedule(killRetryDelay, sr.killRelays)
		return nil
	}
	sr.losing = false
	for _, r := range sr.dep.Relays {
		if err := sr.signalEnd(r, syscall.SIGKILL); err != nil {
			return err
		}
	}
	return nil
}
