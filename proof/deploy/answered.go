package deploy

import (
	"bufio"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"time"

	"wigeonplank.example/fakes/site"
)

const (
	maxHalfCloseDelay = 300 * time.Millisecond // from the request until its caller closes the sending side
	signalMargin      = 200 * time.Millisecond // for a request to reach its relay
)

// interruption is a time in which a relay may leave requests without a response.
type interruption struct {
	from, to time.Time // to is zero until it has ended
	stop     bool      // a planned stop: requests that were sent before it get a response
}

// overlaps reports whether the interruption overlaps the time between two others.
func (i *interruption) overlaps(from, to time.Time) bool {
	return to.After(i.from) && (i.to.IsZero() || from.Before(i.to))
}

// interruptions records those of all relays, by name. It is safe for concurrent use.
type interruptions struct {
	mu      sync.Mutex
	byRelay map[string][]*interruption
}

// begin records the beginning of an interruption, and returns a function that records its
// end.
func (in *interruptions) begin(relay string, stop bool) (end func()) {
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.byRelay == nil {
		in.byRelay = make(map[string][]*interruption)
	}
	i := &interruption{from: time.Now(), stop: stop}
	in.byRelay[relay] = append(in.byRelay[relay], i)
	return func() {
		in.mu.Lock()
		defer in.mu.Unlock()
		i.to = time.Now()
	}
}

// excuses reports whether a request that a relay got at a time may have no response at
// another.
func (in *interruptions) excuses(relay string, startedAt, endedAt time.Time) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	for _, i := range in.byRelay[relay] {
		sentBefore := i.stop && startedAt.Before(i.from.Add(-signalMargin))
		if i.overlaps(startedAt, endedAt) && !sentBefore {
			return true
		}
	}
	return false
}

// unplanned reports whether a relay had an interruption between two times that was no planned
// stop.
func (in *interruptions) unplanned(relay string, from, to time.Time) bool {
	in.mu.Lock()
	defer in.mu.Unlock()
	return slices.ContainsFunc(in.byRelay[relay], func(i *interruption) bool { return !i.stop && i.overlaps(from, to) })
}

// unanswered returns the replies for which nothing arrived, although their relay was not
// interrupted.
func (in *interruptions) unanswered(replies []*Reply) []string {
	var out []string
	for _, r := range replies {
		if r.FirstError != nil && !in.excuses(r.Relay, r.StartedAt, r.FirstEndedAt) {
			out = append(out, fmt.Sprintf("%s %s at %s after %s: %v", r.ID, r.URI, r.Relay, r.FirstEndedAt.Sub(r.StartedAt).Round(time.Millisecond), r.FirstError))
		}
	}
	return out
}

// callHalfClosed sends a request to a relay, closes the sending side of the connection after
// a delay, and returns an error if there is no response.
func callHalfClosed(r *Relay, id, uri string, delay time.Duration) error {
	conn, err := net.Dial("tcp", r.Settings.HTTP.Listen)
	if err != nil {
		return fmt.Errorf("dial %s: %w", r.Name, err)
	}
	defer func() { _ = conn.Close() }() // the response was read
	head := site.Call{AttemptID: id, APIKey: site.StandardKey, Deadline: requestDeadline}.AppendHead(nil, uri)
	if _, err := conn.Write(head); err != nil {
		return fmt.Errorf("send to %s: %w", r.Name, err)
	}
	time.Sleep(delay)
	_ = conn.(*net.TCPConn).CloseWrite()                                      // fails if the relay has closed it, which the read tells
	_ = conn.SetReadDeadline(time.Now().Add(requestDeadline + responseGrace)) // fails only on a closed connection
	line, err := bufio.NewReader(conn).ReadString('\n')
	if !strings.HasPrefix(line, "HTTP/1.1 ") {
		return fmt.Errorf("read response of %s: %q: %w", r.Name, line, err)
	}
	return nil
}
