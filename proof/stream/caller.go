package stream

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"wigeonplank.example/fakes/site"
	"wigeonplank.example/proof/deploy"
)

const (
	dialTimeout     = 500 * time.Millisecond
	redialDelay     = 100 * time.Millisecond // after a relay that can't be reached
	minDeadline     = 100 * time.Millisecond // with less left, a caller gives up
	maxReadDelay    = 300 * time.Millisecond // from the end of one try to the next
	responseGrace   = time.Second            // for which a caller waits beyond the deadline
	maxRefusalBytes = 200
	numPrefixes     = 8 // different prompt prefixes, each shared by many requests
)

var errUnreached = errors.New("relay can't be reached")

// call requests a stream until it is complete, its deadline has passed, or the retries are
// used up. Each try goes to another relay than the one before.
func (r *run) call(class site.StreamClass, n int) *Stream {
	rng := rand.New(rand.NewPCG(r.Seed, uint64(n)+1<<32))
	s := &Stream{ID: fmt.Sprintf("%x-%x", r.Seed, n), NumEvents: class.NumEvents}
	s.URI = class.Prefix() + s.ID
	parts := []string{fmt.Sprintf("%x:60", rng.IntN(numPrefixes)), fmt.Sprintf("%x:40", rng.Uint32())}
	deadline := time.Now().Add(class.Deadline)
	breakAt := 0 // number of events after which the caller breaks the stream off; 0: never
	if rng.Float64() < r.Breaks {
		breakAt = 1 + rng.IntN(class.NumEvents-1)
	}
	s.Retries = r.Retries
	if rng.Float64() < oneRetryShare {
		s.Retries = min(1, r.Retries)
	}
	relay, retries := -1, s.Retries
	for tries := 0; ; tries++ {
		left := time.Until(deadline)
		if left < minDeadline {
			return s
		}
		relay = otherThan(relay, len(r.dep.Relays), rng)
		held := s.numEvents()
		id := s.ID
		if tries > 0 {
			id = fmt.Sprintf("%x-%x-%d", r.Seed, n, tries)
		}
		if held == 0 {
			s.ID = id
		}
		t := Try{ID: id, Relay: r.dep.Relays[relay].Name, TakesUp: held > 0, SentAt: time.Now()}
		c := site.Call{AttemptID: id, APIKey: site.StandardKey, Deadline: left, PromptParts: parts}
		r.try(&t, r.dep.Relays[relay], c, s, held, breakAt, deadline)
		t.EndedAt = time.Now()
		s.Tries = append(s.Tries, t)
		switch {
		case t.Complete && t.Status == http.StatusOK:
			return s
		case errors.Is(t.Err, errUnreached):
			time.Sleep(redialDelay)
			continue
		case t.BrokenOff:
			breakAt = 0
		case retries == 0:
			return s
		default:
			retries--
		}
		time.Sleep(time.Duration(rng.Int64N(int64(maxReadDelay))))
	}
}

func otherThan(last, count int, rng *rand.Rand) int {
	if last < 0 || count == 1 {
		return rng.IntN(count)
	}
	return (last + 1 + rng.IntN(count-1)) % count
}

// try sends a request to a relay on a connection of its own and records the response.
func (r *run) try(t *Try, relay *deploy.Relay, c site.Call, s *Stream, held, breakAt int, deadline time.Time) {
	conn, err := net.DialTimeout("tcp", relay.Settings.HTTP.Listen, dialTimeout)
	if err != nil {
		t.Err = fmt.Errorf("%w: %w", errUnreached, err)
		return
	}
	defer func() { _ = conn.Close() }()                     // nothing more is written
	_ = conn.SetDeadline(deadline.Add(responseGrace))       // never fails on an open connection
	if _, err := conn.Write(head(c, s, held)); err != nil { // the relay was lost
		t.Err = fmt.Errorf("send request: %w", err)
		return
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Err = fmt.Errorf("read head: %w", err)
		return
	}
	defer func() {
		_ = conn.Close() // else the body would be read to its end
		_ = resp.Body.Close()
	}()
	t.Status = resp.StatusCode
	if t.Status != http.StatusOK {
		raw, err := io.ReadAll(io.LimitReader(resp.Body, maxRefusalBytes))
		t.Refusal, t.Complete, t.Err = strings.TrimSpace(string(raw)), err == nil, err
		return
	}
	body := bufio.NewReader(resp.Body)
	for {
		text, err := readEvent(body)
		if errors.Is(err, io.EOF) {
			if t.Complete = text == ""; !t.Complete {
				t.Events, t.Complete = append(t.Events, text), true // which Judge finds
			}
			return
		}
		if err != nil {
			t.Err = fmt.Errorf("read events: %w", err)
			return
		}
		t.FirstAt = cmp.Or(t.FirstAt, time.Now())
		t.Events = append(t.Events, text)
		if breakAt > 0 && held+len(t.Events) == breakAt {
			t.BrokenOff = true
			return
		}
	}
}

// head returns the head of the request for what is left of a stream.
func head(c site.Call, s *Stream, held int) []byte {
	var h fasthttp.RequestHeader
	h.SetRequestURI(s.URI)
	h.SetHost(site.StandardHost)
	c.SetHeaders(&h)
	if held > 0 {
		site.TakeUp(&h, c.AttemptID, s.ID, held-1)
	}
	return h.AppendBytes(nil)
}

// readEvent reads up to the end of the next event. It returns io.EOF at the end of a complete
// response, with the bytes that are no whole event.
func readEvent(r *bufio.Reader) (string, error) {
	var b strings.Builder
	for {
		line, err := r.ReadString('\n')
		b.WriteString(line)
		if err != nil || line == "\n" {
			return b.String(), err
		}
	}
}
