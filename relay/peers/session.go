package peers

import (
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"wigeonplank.example/base/link"
	"wigeonplank.example/core/batch"
	"wigeonplank.example/core/notice"
	"wigeonplank.example/core/peer"
	"wigeonplank.example/core/prompt"
	"wigeonplank.example/core/wire"
	plat "wigeonplank.example/platform"
)

const (
	// heartbeatTimeout is how long an answer to a heartbeat may take. The latency
	// objective of a request is about one second, so a broken link has to be
	// detected in less.
	heartbeatTimeout = 800 * time.Millisecond
	// minStall is the delay of a check from which on this process stood still. It is more than a
	// process waits for its next turn on a small share of a core.
	minStall = 150 * time.Millisecond
	// defaultActiveInterval is the time between two heartbeats while items are
	// pending on a link.
	defaultActiveInterval = 500 * time.Millisecond
	// idleFactor is the time between two heartbeats of a link without pending items,
	// in multiples of the interval while there are some.
	idleFactor = 3

	maxQueuedMessages = 1024                     // waiting to be sent on one link
	maxSubmitBytes    = wire.MaxMessageBytes / 2 // of the items in one message, apart from their framing

	// maxPartDelay is how long a part of changes waits for other messages. A link that is
	// never idle carries at least one part in about this time.
	maxPartDelay = 100 * time.Millisecond
)

// errSilent reports that a heartbeat was not answered in time.
var errSilent = errors.New("no answer to a heartbeat")

// errQueueFull reports that too many messages wait to be sent.
var errQueueFull = errors.New("too many messages wait to be sent")

// Timing sets the intervals of heartbeats. The zero value selects the defaults.
type Timing struct {
	Active time.Duration // between two heartbeats while items are pending on a link; 0: 500 ms
}

func (t Timing) active() time.Duration {
	if t.Active > 0 {
		return t.Active
	}
	return defaultActiveInterval
}

// checkInterval is the time between two checks whether a heartbeat is due.
func (t Timing) checkInterval() time.Duration { return t.active() / 2 }

func (t Timing) idle() time.Duration { return idleFactor * t.active() }

// itemKey identifies a pending item on a link.
type itemKey struct {
	request      string
	stage, index int
}

// poolReport is a report of a pool as it was received.
type poolReport struct {
	batch.Report
	at time.Time
}

// session is an established link to another relay. The relay that dialed it
// submits items, the other one runs them.
type session struct {
	mesh    *Mesh
	dialer  bool // this relay dialed the link
	link    *link.Session
	control *link.Stream
	work    *link.Stream
	queue   chan *Work    // messages to send on the work stream
	parts   chan *Work    // parts of changes, which wait for the queue for up to maxPartDelay
	beat    chan struct{} // requests a heartbeat now
	done    chan struct{} // closed when the session has failed

	failOnce sync.Once
	cause    error       // why the session has failed; set before done is closed
	remote   peer.Member // guarded by Mesh.mu until the session is registered, then constant

	mu        sync.Mutex
	closed    bool
	waiting   time.Time                 // when the oldest unanswered heartbeat was sent, without standstills of this process; zero: none; for the dialer
	checkedAt time.Time                 // when heartbeatDue was called last, or waiting was set before
	pending   map[itemKey]*batch.Item   // submitted items without a result
	reports   map[batch.Pool]poolReport // last reports of the other relay's pools
	submitted map[batch.Pool]int        // items submitted since that report
	placing   map[string]chan Placement // requests that wait for an engine, by ID

	originRequests uint64                         // sent so far
	awaitingOrigin map[uint64]chan<- originAnswer // those without a reply, by number

	recordsSent    uint64                   // of streams, so far
	awaitingStored map[uint64]awaitedRecord // those without an acknowledgement, by number

	peerSent  time.Duration // when the last heartbeat received was sent, by the other relay's clock; 0: not known; guarded by mu
	peerHeard time.Duration // when it was received, by this relay's clock; guarded by mu
	fetchedAt time.Time     // when the oldest request for changes without a response was sent; zero: none; guarded by mu
	delays    peer.Delays   // of heartbeats; used only by the goroutine that receives them

	partSentAt time.Time // when the last part was taken; used only by the goroutine that writes work

	sending  atomic.Bool // changes are being sent; parts of two responses must not mix
	incoming incoming    // used only by the goroutine that reads work
}

// newSession returns a session over a link and its two streams.
func (m *Mesh) newSession(s *link.Session, control, work *link.Stream, dialer bool) *session {
	return &session{
		mesh: m, dialer: dialer, link: s, control: control, work: work,
		queue: make(chan *Work, maxQueuedMessages), parts: make(chan *Work), beat: make(chan struct{}, 1), done: make(chan struct{}),
		pending: make(map[itemKey]*batch.Item),
	}
}

// run serves the session until it fails, and returns the reason.
func (s *session) run() error {
	go func() { s.fail(s.sendHeartbeats()) }()
	s.fail(s.receiveHeartbeats())
	if s.remoteInstance() != "" {
		s.mesh.unregister(s)
	}
	return s.cause
}

// fail closes the session because of err. Both ends notice it. Later errors are
// consequences of the first and are dropped.
func (s *session) fail(err error) {
	s.failOnce.Do(func() {
		s.cause = err
		close(s.done)
		s.link.Close()
	})
}

// receiveHeartbeats handles heartbeats until none arrives in time or the stream
// fails. The first one registers the session with the mesh.
func (s *session) receiveHeartbeats() error {
	for first := true; ; first = false {
		var hb Heartbeat
		if err := s.control.ReceiveWithin(&hb, s.mesh.Timing.idle()+heartbeatTimeout); err != nil {
			return err
		}
		s.mesh.observeMembers(&hb)
		if first {
			s.mesh.register(s, fromWire(hb.GetSelf()))
			go s.writeWork()
			go s.readWork()
		}
		s.recordHeartbeat(&hb)
		if !s.dialer {
			s.requestHeartbeat()
		}
	}
}

// recordHeartbeat marks the other relay as reachable, stores the loads that it
// reports, requests the changes to the store that it has announced, and records what
// it has learned of endpoints.
func (s *session) recordHeartbeat(hb *Heartbeat) {
	now := s.mesh.Clock.Now()
	s.mesh.mu.Lock()
	s.mesh.Group.MarkUp(now, s.remote, hb.GetLeaving())
	s.mesh.mu.Unlock()
	s.mu.Lock()
	s.waiting = time.Time{}
	if s.dialer {
		s.reports = make(map[batch.Pool]poolReport, len(hb.GetLoads()))
		s.submitted = make(map[batch.Pool]int)
		for _, l := range hb.GetLoads() {
			p, r := reportFromWire(l)
			s.reports[p] = poolReport{r, now}
		}
	}
	s.mu.Unlock()
	s.mesh.pull(s, s.receivedPosition(hb, now))
	if len(hb.GetNotices()) > 0 {
		notices := make([]notice.Entry, 0, len(hb.GetNotices()))
		for _, w := range hb.GetNotices() {
			notices = append(notices, noticeFromWire(w, s.remote.Instance, now))
		}
		s.mesh.Notices.RecordNotices(notices)
	}
	s.mesh.mergeKnowledge(s.remote.Instance, hb.GetKnowledge())
}

// requestHeartbeat makes the session send a heartbeat now. It doesn't block.
func (s *session) requestHeartbeat() {
	select {
	case s.beat <- struct{}{}:
	default:
	}
}

// sendHeartbeats sends heartbeats until the session fails. The dialer sends them
// periodically, the other relay only when one is requested.
func (s *session) sendHeartbeats() error {
	var state heartbeatState
	var tick <-chan time.Time
	if s.dialer {
		t := time.NewTicker(s.mesh.Timing.checkInterval())
		defer t.Stop()
		tick = t.C
		s.requestHeartbeat()
	}
	var lastSent time.Time
	for {
		select {
		case <-s.done:
			return nil
		case <-tick:
			due, err := s.heartbeatDue(s.mesh.Clock.Now(), lastSent)
			if err != nil {
				return err
			}
			if !due {
				continue
			}
		case <-s.beat:
		}
		lastSent = s.mesh.Clock.Now()
		s.awaitAnswer(lastSent)
		hb := s.mesh.nextHeartbeat(&state, s.remoteInstance(), !s.dialer)
		hb.PeerUs = s.peerTime(hb.GetSentUs())
		if err := s.control.Send(hb); err != nil {
			return fmt.Errorf("send heartbeat: %w", err)
		}
	}
}

// awaitAnswer records that a heartbeat is sent at now.
func (s *session) awaitAnswer(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.waiting.IsZero() {
		s.waiting = now
	}
	if s.checkedAt.IsZero() {
		s.checkedAt = now
	}
}

// remoteInstance returns the instance ID of the other relay, or "" before its first
// heartbeat.
func (s *session) remoteInstance() string {
	s.mesh.mu.Lock()
	defer s.mesh.mu.Unlock()
	return s.remote.Instance
}

// heartbeatDue reports whether the dialer should send the next heartbeat, or
// errSilent if the other relay didn't answer one in time. It must be called at each
// checkInterval: an answer may have arrived while this process stood still, so that time
// beyond the interval doesn't count.
func (s *session) heartbeatDue(now, lastSent time.Time) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if stalled := now.Sub(s.checkedAt) - s.mesh.Timing.checkInterval(); stalled > minStall && !s.checkedAt.IsZero() && !s.waiting.IsZero() {
		s.waiting = s.waiting.Add(min(stalled, now.Sub(s.waiting)))
	}
	s.checkedAt = now
	if !s.waiting.IsZero() && now.Sub(s.waiting) > heartbeatTimeout {
		return false, errSilent
	}
	interval := s.mesh.Timing.idle()
	if len(s.pending)+len(s.placing) > 0 {
		interval = s.mesh.Timing.active()
	}
	return now.Sub(lastSent) >= interval, nil
}

// writeWork sends the queued messages until the session fails.
func (s *session) writeWork() {
	for {
		w := s.nextWork()
		if w == nil {
			return
		}
		if err := s.work.Send(w); err != nil {
			s.fail(fmt.Errorf("send work: %w", err))
			return
		}
	}
}

// nextWork waits for the next message to send. It returns nil once the session has
// failed.
func (s *session) nextWork() *Work {
	now := s.mesh.Clock.Now()
	if now.Sub(s.partSentAt) < maxPartDelay {
		select {
		case w := <-s.queue:
			return w
		default:
		}
	}
	select {
	case <-s.done:
		return nil
	case w := <-s.queue:
		return w
	case w := <-s.parts:
		s.partSentAt = now
		return w
	}
}

// readWork handles the messages of the other relay until the stream ends.
func (s *session) readWork() {
	for {
		var w Work
		if err := s.work.Receive(&w); err != nil {
			s.fail(fmt.Errorf("receive work: %w", err))
			return
		}
		switch k := w.GetKind().(type) {
		case *Work_Submit:
			s.accept(k.Submit)
		case *Work_Cancel:
			s.mesh.Handler.RemoveQueued(k.Cancel.GetRequest())
		case *Work_Release:
			s.mesh.Handler.ReleaseDirectly(k.Release.GetRefs())
		case *Work_Done:
			s.handleDone(k.Done)
		case *Work_Fetch:
			go s.sendChanges(k.Fetch)
		case *Work_Learnt:
			s.addPart(k.Learnt)
		case *Work_Place:
			s.handlePlace(k.Place)
		case *Work_Placed:
			s.handlePlaced(k.Placed)
		case *Work_Origin:
			s.recordOrigin(k.Origin)
		case *Work_Stored:
			s.handleStored(k.Stored)
		case *Work_FindOrigin:
			s.answerOrigin(k.FindOrigin)
		case *Work_FoundOrigin:
			s.handleOriginReply(k.FoundOrigin)
		case *Work_Progress:
			s.mesh.Engines.Progress(batch.Pool{Service: k.Progress.GetService(), Zone: k.Progress.GetZone()}, k.Progress.GetRequest(), prompt.Report{
				Ended: k.Progress.GetEnded(), Pace: k.Progress.GetPace(), Events: int(k.Progress.GetEvents()),
				Streaming: time.Duration(k.Progress.GetStreamUs()) * time.Microsecond,
			})
		}
	}
}

// send queues a message. It reports false if the queue is full or the session has
// failed. It doesn't block.
func (s *session) send(w *Work) bool {
	select {
	case <-s.done:
		return false
	default:
	}
	select {
	case s.queue <- w:
		return true
	default:
		return false
	}
}

// submit sends items to the other relay and tracks them as pending. It reports
// false, and tracks nothing, if the session has failed, its queue is full, or an item is
// too large for a message.
func (s *session) submit(p batch.Pool, items []*batch.Item) bool {
	msgs := submissions(p, items, s.mesh.Clock.Now())
	if msgs == nil {
		return false
	}
	complete := true
	s.mu.Lock()
	if s.closed || !s.send(msgs[0]) {
		s.mu.Unlock()
		return false
	}
	for _, w := range msgs[1:] {
		complete = complete && s.send(w)
	}
	for _, it := range items {
		s.pending[itemKey{request: it.Request, stage: it.Stage, index: it.Index}] = it
	}
	if s.submitted == nil {
		s.submitted = make(map[batch.Pool]int)
	}
	s.submitted[p] += len(items)
	s.mu.Unlock()
	if !complete {
		s.fail(errQueueFull) // all items are submitted again
	}
	return true
}

// submissions returns the messages that submit items, or nil if an item is too large for
// one.
func submissions(p batch.Pool, items []*batch.Item, now time.Time) []*Work {
	var out []*Work
	var msg *Submit
	size := 0
	for _, it := range items {
		w := itemToWire(it, now)
		n := proto.Size(w)
		if n > maxSubmitBytes {
			return nil
		}
		if size += n; msg == nil || size > maxSubmitBytes {
			msg, size = &Submit{Service: p.Service, Zone: p.Zone}, n
			out = append(out, &Work{Kind: &Work_Submit{Submit: msg}})
		}
		msg.Items = append(msg.Items, w)
	}
	return out
}

// accept hands submitted items to the handler.
func (s *session) accept(msg *Submit) {
	now := s.mesh.Clock.Now()
	items := make([]*batch.Item, 0, len(msg.GetItems()))
	for _, it := range msg.GetItems() {
		items = append(items, itemFromWire(it, now))
	}
	pool := batch.Pool{Service: msg.GetService(), Zone: msg.GetZone()}
	s.mesh.Handler.Accept(pool, items, func(it *batch.Item, res plat.StageResult, r batch.Report) { s.reply(pool, it, res, r) })
}

// reply sends the outcome of an item to the relay that submitted it, with a
// report of the pool. If that isn't possible, it releases the
// result and closes the link, so that the other relay submits the item again.
func (s *session) reply(p batch.Pool, it *batch.Item, res plat.StageResult, r batch.Report) {
	sent := s.send(&Work{Kind: &Work_Done{Done: &Done{
		Request: it.Request, Stage: uint32(it.Stage),
		Results: []*Result{{Index: uint32(it.Index), Ref: res.Ref, Reason: string(res.Reason)}},
		Load:    reportToWire(p, r),
	}}})
	if sent {
		return
	}
	s.fail(errQueueFull)
	if res.Ref != "" {
		s.mesh.Handler.ReleaseDirectly([]string{res.Ref})
	}
}

// handleDone records the results of submitted items. It releases a result whose
// item is no longer pending.
func (s *session) handleDone(d *Done) {
	s.recordLoad(d.GetLoad())
	for _, r := range d.GetResults() {
		k := itemKey{request: d.GetRequest(), stage: int(d.GetStage()), index: int(r.GetIndex())}
		s.mu.Lock()
		it := s.pending[k]
		delete(s.pending, k)
		s.mu.Unlock()
		if it != nil {
			s.mesh.Handler.HandleResult(it, plat.StageResult{Ref: r.GetRef(), Reason: plat.Reason(r.GetReason())})
		} else if r.GetRef() != "" {
			s.mesh.Handler.ReleaseDirectly([]string{r.GetRef()})
		}
	}
}

// recordLoad stores a load that the other relay reported for one of its pools.
func (s *session) recordLoad(l *PoolLoad) {
	if l == nil {
		return
	}
	p, r := reportFromWire(l)
	now := s.mesh.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reports == nil {
		s.reports = make(map[batch.Pool]poolReport)
	}
	s.reports[p] = poolReport{r, now}
	delete(s.submitted, p)
}

// cancelRequest stops tracking the pending items of a request and asks the other
// relay to remove them from its queue. Results that still arrive are released by
// handleDone.
func (s *session) cancelRequest(request string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := false
	for k := range s.pending {
		if k.request == request {
			delete(s.pending, k)
			found = true
		}
	}
	if found {
		s.send(&Work{Kind: &Work_Cancel{Cancel: &Cancel{Request: request}}})
	}
}

// report returns what still holds of the other relay's last report of a pool, with the
// items submitted since.
func (s *session) report(p batch.Pool) batch.Report {
	now := s.mesh.Clock.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	last := s.reports[p]
	r := last.After(now.Sub(last.at))
	r.Items += s.submitted[p]
	return r
}

// takePending closes the session for submissions and returns the pending items.
func (s *session) takePending() []*batch.Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	out := make([]*batch.Item, 0, len(s.pending))
	for _, it := range s.pending {
		out = append(out, it)
	}
	s.pending = nil
	for id, reply := range s.placing {
		delete(s.placing, id)
		close(reply)
	}
	return out
}
