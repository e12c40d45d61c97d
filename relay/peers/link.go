package peers

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"wigeonplank.example/base/link"
	"wigeonplank.example/base/wait"
	"wigeonplank.example/core/batch"
	"wigeonplank.example/core/peer"
	"wigeonplank.example/core/retry"
	plat "wigeonplank.example/platform"
	"wigeonplank.example/relay/logs"
)

const (
	minRedialDelay = 200 * time.Millisecond
	maxRedialDelay = 2 * time.Second
)

// itemKey identifies a pending item on a link.
type itemKey struct {
	request      string
	stage, index int
}

// outboundLink is a link that this relay dials. It carries this relay's items to
// the other one, and their results back. It redials after each failure.
type outboundLink struct {
	mesh   *Mesh
	addr   string
	cancel context.CancelFunc // ends run

	mu        sync.Mutex
	queue     chan *Work              // messages to send; nil while the link is down
	pending   map[itemKey]*batch.Item // submitted items without a result
	loads     map[batch.Pool]int      // loads of the other relay's pools in its last heartbeat
	submitted map[batch.Pool]int      // items submitted since that heartbeat

	snapshot []plat.Entry // entries of the snapshot parts received so far; used only by the reading goroutine
}

// run keeps the link open until ctx ends, with a delay after each failure that
// grows up to maxRedialDelay.
func (l *outboundLink) run(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		started := l.mesh.Clock.Now()
		err := l.dialAndServe(ctx)
		if ctx.Err() != nil {
			return
		}
		if l.mesh.Clock.Now().Sub(started) > maxRedialDelay {
			failures = 0
		}
		failures++
		if failures == 1 {
			l.mesh.Log.Event(logs.LinkDown).Str("addr", l.addr).Err(err).Msg("")
		}
		wait.For(ctx, retry.Backoff{Base: minRedialDelay, Max: maxRedialDelay}.Delay(failures, rand.Float64()))
	}
}

// dialAndServe opens the link and its two streams, and serves it until it fails
// or ctx ends.
func (l *outboundLink) dialAndServe(ctx context.Context) error {
	d := net.Dialer{Timeout: dialTimeout}
	conn, err := d.DialContext(ctx, "tcp", l.addr)
	if err != nil {
		return fmt.Errorf("dial relay: %w", err)
	}
	s, err := yamux.Client(conn, link.SessionConfig())
	if err != nil {
		_ = conn.Close() // nothing was sent on it
		return fmt.Errorf("open session: %w", err)
	}
	defer func() { _ = s.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	control, err := s.Open()
	if err != nil {
		return fmt.Errorf("open heartbeat stream: %w", err)
	}
	work, err := s.Open()
	if err != nil {
		return fmt.Errorf("open work stream: %w", err)
	}
	return l.exchangeHeartbeats(ctx, link.NewStream(control), link.NewStream(work))
}

// exchangeHeartbeats sends a heartbeat in each interval and waits for the answer.
// The first answer brings the link up. It returns when an answer doesn't arrive
// within heartbeatTimeout, a stream fails or ctx ends.
func (l *outboundLink) exchangeHeartbeats(ctx context.Context, control, work *link.Stream) error {
	var remote peer.Member
	var done chan struct{} // closed when the link fails; nil until it is up
	var state heartbeatState
	defer func() {
		if done != nil {
			close(done)
			l.down(remote)
		}
	}()
	for {
		if err := control.Send(l.mesh.nextHeartbeat(&state)); err != nil {
			return err
		}
		var hb Heartbeat
		if err := control.ReceiveWithin(&hb, heartbeatTimeout); err != nil {
			return err
		}
		l.mesh.observeMembers(&hb)
		if done == nil {
			remote = fromWire(hb.GetSelf())
			done = make(chan struct{})
			l.up(remote, work, done)
		}
		l.recordHeartbeat(remote, &hb)
		if ready, _ := l.mesh.Source.Ready(); !ready {
			l.send(&Work{Kind: &Work_Fetch{Fetch: &SnapshotRequest{}}})
		}
		if !wait.For(ctx, l.mesh.HeartbeatInterval) {
			return ctx.Err()
		}
	}
}

// up starts the goroutines that write and read the work stream, and makes the
// link available for items.
func (l *outboundLink) up(remote peer.Member, work *link.Stream, done chan struct{}) {
	queue := make(chan *Work, maxQueuedMessages)
	l.mu.Lock()
	l.queue, l.pending, l.loads, l.submitted = queue, make(map[itemKey]*batch.Item), nil, nil
	l.mu.Unlock()
	go write(work, queue, done)
	go l.read(remote, work)
	m := l.mesh
	m.mu.Lock()
	m.byID[remote.Instance] = l
	m.mu.Unlock()
	m.Log.Event(logs.LinkUp).Str("member", remote.Instance).Str("addr", l.addr).Msg("")
}

// write sends the queued messages until done is closed or sending fails.
func write(st *link.Stream, queue <-chan *Work, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case w := <-queue:
			if st.Send(w) != nil {
				st.Close() // the exchange of heartbeats detects that the link has failed
				return
			}
		}
	}
}

// down takes the link out of use and returns its pending items to the handler.
func (l *outboundLink) down(remote peer.Member) {
	m := l.mesh
	m.mu.Lock()
	// Another link to the same relay, at another address, may have replaced this one.
	if m.byID[remote.Instance] == l {
		delete(m.byID, remote.Instance)
		m.Group.MarkDown(remote.Instance)
	}
	m.mu.Unlock()
	l.mu.Lock()
	l.queue = nil
	pending := make([]*batch.Item, 0, len(l.pending))
	for _, it := range l.pending {
		pending = append(pending, it)
	}
	l.pending = nil
	l.mu.Unlock()
	m.Log.Event(logs.LinkLost).Str("member", remote.Instance).Int("items", len(pending)).Msg("")
	m.Handler.Resubmit(pending)
}

// recordHeartbeat marks the other relay as reachable and stores the loads that it
// reports.
func (l *outboundLink) recordHeartbeat(remote peer.Member, hb *Heartbeat) {
	m := l.mesh
	m.mu.Lock()
	m.Group.MarkUp(m.Clock.Now(), remote, hb.GetLeaving())
	m.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loads = make(map[batch.Pool]int, len(hb.GetLoads()))
	l.submitted = make(map[batch.Pool]int)
	for _, p := range hb.GetLoads() {
		l.loads[batch.Pool{Service: p.GetService(), Zone: p.GetZone()}] = int(p.GetItems())
	}
}

// read handles snapshot parts and results until the stream ends. It releases a
// result whose item is no longer pending.
func (l *outboundLink) read(remote peer.Member, st *link.Stream) {
	for {
		var w Work
		if st.Receive(&w) != nil {
			return
		}
		if part := w.GetLearnt(); part != nil {
			l.addSnapshotPart(remote, part)
		}
		d := w.GetDone()
		for _, r := range d.GetResults() {
			k := itemKey{request: d.GetRequest(), stage: int(d.GetStage()), index: int(r.GetIndex())}
			l.mu.Lock()
			it := l.pending[k]
			delete(l.pending, k)
			l.mu.Unlock()
			if it != nil {
				l.mesh.Handler.HandleResult(it, plat.StageResult{Ref: r.GetRef(), Reason: plat.Reason(r.GetReason())})
			} else if r.GetRef() != "" {
				l.mesh.Handler.ReleaseDirectly([]string{r.GetRef()})
			}
		}
	}
}

// addSnapshotPart collects the parts of the other relay's store snapshot, and
// applies the snapshot once the last part has arrived. Only the reading goroutine
// calls it.
func (l *outboundLink) addSnapshotPart(remote peer.Member, part *Snapshot) {
	for _, e := range part.GetEntries() {
		l.snapshot = append(l.snapshot, plat.Entry{Key: e.GetKey(), Value: e.GetValue(), Revision: e.GetRevision()})
	}
	if part.GetMore() {
		return
	}
	l.mesh.Source.ApplySnapshot(remote.Instance, l.snapshot, time.Duration(part.GetAgeMs())*time.Millisecond)
	l.snapshot = nil
}

// send queues a message. It reports false if the link is down or its queue is
// full. It doesn't block.
func (l *outboundLink) send(w *Work) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sendLocked(w)
}

// sendLocked is send for callers that hold l.mu.
func (l *outboundLink) sendLocked(w *Work) bool {
	if l.queue == nil {
		return false
	}
	select {
	case l.queue <- w:
		return true
	default:
		return false
	}
}

// submit sends items to the other relay and tracks them as pending. It reports
// false, and tracks nothing, if the link is down or its queue is full.
func (l *outboundLink) submit(p batch.Pool, items []*batch.Item) bool {
	now := l.mesh.Clock.Now()
	s := &Submit{Service: p.Service, Zone: p.Zone}
	for _, it := range items {
		s.Items = append(s.Items, &Item{
			Request: it.Request, Stage: uint32(it.Stage), Index: uint32(it.Index), Key: it.Key, Inputs: it.Inputs,
			Chain: it.Chain, Bytes: it.ResultBytes, Cross: it.CrossZoneBytes, Holds: it.FreesMemory, Zone: it.Zone, GiveUpUs: it.StartBy.Sub(now).Microseconds(),
			DueUs: it.Due.Sub(now).Microseconds(), DeadlineUs: it.Deadline.Sub(now).Microseconds(),
		})
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.sendLocked(&Work{Kind: &Work_Submit{Submit: s}}) {
		return false
	}
	for _, it := range items {
		l.pending[itemKey{request: it.Request, stage: it.Stage, index: it.Index}] = it
	}
	l.submitted[p] += len(items)
	return true
}

// cancelRequest stops tracking the pending items of a request and asks the other
// relay to remove them from its queue. Results that still arrive are released by
// read.
func (l *outboundLink) cancelRequest(request string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	found := false
	for k := range l.pending {
		if k.request == request {
			delete(l.pending, k)
			found = true
		}
	}
	if found {
		l.sendLocked(&Work{Kind: &Work_Cancel{Cancel: &Cancel{Request: request}}})
	}
}

// itemCount returns the load that the other relay last reported for a pool, plus
// the items submitted since.
func (l *outboundLink) itemCount(p batch.Pool) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.loads[p] + l.submitted[p]
}
