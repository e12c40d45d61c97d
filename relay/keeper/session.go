package keeper

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"

	"wigeonplank.example/base/link"
	"wigeonplank.example/base/wait"
	"wigeonplank.example/core/origin"
	"wigeonplank.example/core/retry"
	"wigeonplank.example/relay/logs"
	"wigeonplank.example/relay/peers"
)

// maxQueuedMessages bounds the messages that wait to be sent on one link.
const maxQueuedMessages = 1024

// errSilent reports that a keeper answers nothing.
var errSilent = errors.New("no answer of the keeper")

// outbound is a link to the keeper of one host. It dials again after each failure.
type outbound struct {
	links   *Links
	addr    string
	cancel  context.CancelFunc // ends run
	session *session           // nil: it isn't up; guarded by Links.mu
}

// run keeps the link open until ctx ends.
func (o *outbound) run(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		started := o.links.Clock.Now()
		err := o.dialAndServe(ctx)
		if o.links.Clock.Now().Sub(started) > maxRedialDelay {
			failures = 0
		}
		if failures++; failures == 1 && ctx.Err() == nil {
			o.links.Log.Event(logs.LinkDown).Str("addr", o.addr).Err(err).Msg("")
		}
		wait.For(ctx, retry.Backoff{Base: minRedialDelay, Max: maxRedialDelay}.Delay(failures, rand.Float64()))
	}
}

// dialAndServe opens the link and serves it until it fails or ctx ends.
func (o *outbound) dialAndServe(ctx context.Context) error {
	conn, err := o.links.dial(ctx, o.addr)
	if err != nil {
		return fmt.Errorf("dial keeper: %w", err)
	}
	y, err := link.NewClient(conn)
	if err != nil {
		return err
	}
	defer y.Close()
	stop := context.AfterFunc(ctx, y.Close)
	defer stop()
	stream, err := y.OpenStream()
	if err != nil {
		return fmt.Errorf("open link to keeper: %w", err)
	}
	var hello peers.Heartbeat
	if err := stream.ReceiveWithin(&hello, maxSilentTicks*tickInterval); err != nil {
		return fmt.Errorf("receive incarnation of keeper: %w", err)
	}
	s := &session{
		keeper: origin.Keeper{Instance: o.addr, Incarnation: hello.GetSelf().GetIncarnation()},
		queue:  make(chan *peers.Work, maxQueuedMessages), done: make(chan struct{}), close: y.Close,
		records: make(map[uint64]record), questions: make(map[uint64]func(origin.Answer)),
	}
	o.links.setSession(o, s)
	o.links.Log.Event(logs.LinkUp).Str("member", hello.GetSelf().GetInstance()).Str("addr", o.addr).Msg("")
	defer o.links.setSession(o, nil)
	defer close(s.done)
	go s.write(stream)
	return s.read(stream, func(w *peers.Work) { o.links.received(s, w) })
}

// session is an established link to a keeper.
type session struct {
	keeper origin.Keeper
	queue  chan *peers.Work
	done   chan struct{} // closed when the session has ended
	close  func()        // ends the session

	mu        sync.Mutex
	number    uint64                         // of the last message
	records   map[uint64]record              // without an acknowledgement
	questions map[uint64]func(origin.Answer) // without an answer
	silent    int                            // ticks since the last message of the keeper, while some are awaited
	failed    bool                           // the keeper was silent for too long
}

// record is what a keeper is to remember of a stream.
type record struct {
	stream string
	origin origin.Origin
}

// write sends the queued messages until the session ends.
func (s *session) write(stream *link.Stream) {
	for {
		select {
		case <-s.done:
			return
		case w := <-s.queue:
			if stream.Send(w) != nil {
				s.close()
				return
			}
		}
	}
}

// read handles the messages of the keeper until the session ends.
func (s *session) read(stream *link.Stream, handle func(w *peers.Work)) error {
	for {
		var w peers.Work
		if err := stream.Receive(&w); err != nil {
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.failed {
				return errSilent
			}
			return fmt.Errorf("receive from keeper: %w", err)
		}
		s.mu.Lock()
		s.silent = 0
		s.mu.Unlock()
		handle(&w)
	}
}

// tick ends the session if the keeper has answered nothing for maxSilentTicks. A tick
// that comes late counts once, so that a standstill of this process isn't taken for silence.
func (s *session) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.records)+len(s.questions) == 0 {
		s.silent = 0
		return
	}
	if s.silent++; s.silent > maxSilentTicks && !s.failed {
		s.failed = true
		go s.close()
	}
}

// record sends the record of a stream. It reports false if that isn't possible.
func (s *session) record(stream string, o origin.Origin) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	w := peers.OriginToWire(stream, o)
	w.Number = s.number + 1
	if s.failed || !s.send(&peers.Work{Kind: &peers.Work_Origin{Origin: w}}) {
		return false
	}
	s.number++
	s.records[s.number] = record{stream: stream, origin: o}
	return true
}

// ask asks where a stream began. It reports false if that isn't possible.
func (s *session) ask(stream string, reply func(a origin.Answer)) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.failed || !s.send(&peers.Work{Kind: &peers.Work_FindOrigin{FindOrigin: &peers.OriginRequest{Number: s.number + 1, Stream: stream}}}) {
		return false
	}
	s.number++
	s.questions[s.number] = reply
	return true
}

// send queues a message. It reports false if too many wait.
func (s *session) send(w *peers.Work) bool {
	select {
	case s.queue <- w:
		return true
	default:
		return false
	}
}

// takeRecord returns the record that an acknowledgement is about, and false if there is none.
func (s *session) takeRecord(number uint64) (record, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.records[number]
	delete(s.records, number)
	return r, ok
}

// takeQuestion returns who waits for an answer, or nil.
func (s *session) takeQuestion(number uint64) func(origin.Answer) {
	s.mu.Lock()
	defer s.mu.Unlock()
	reply := s.questions[number]
	delete(s.questions, number)
	return reply
}
