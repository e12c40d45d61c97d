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
	redialBase = 200 * time.Millisecond
	redialMost = 2 * time.Second
)

type itemKey struct {
	request      string
	stage, index int
}

// outLink is a link that this relay dialled: it hands items to the other.
type outLink struct {
	mesh   *Mesh
	addr   string
	cancel context.CancelFunc

	mu      sync.Mutex
	out     chan *Work // nil: the link is down
	pending map[itemKey]*batch.Item
	loads   map[batch.Pool]int // as the other relay last told
	since   map[batch.Pool]int // items handed over since then
	learnt  []plat.Item        // parts that have arrived
}

func (l *outLink) run(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		began := l.mesh.Clock.Now()
		err := l.once(ctx)
		if ctx.Err() != nil {
			return
		}
		if l.mesh.Clock.Now().Sub(began) > redialMost {
			failures = 0
		}
		failures++
		if failures == 1 {
			l.mesh.Log.Event(logs.LinkDown).Str("addr", l.addr).Err(err).Msg("")
		}
		wait.For(ctx, retry.Backoff{Base: redialBase, Max: redialMost}.Delay(failures, rand.Float64()))
	}
}

// once opens the link and serves it until it fails.
func (l *outLink) once(ctx context.Context) error {
	d := net.Dialer{Timeout: dialTimeout}
	c, err := d.DialContext(ctx, "tcp", l.addr)
	if err != nil {
		return fmt.Errorf("dial relay: %w", err)
	}
	s, err := yamux.Client(c, link.SessionConfig())
	if err != nil {
		_ = c.Close() // it never carried anything
		return fmt.Errorf("open session: %w", err)
	}
	defer func() { _ = s.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	control, err := s.Open()
	if err != nil {
		return fmt.Errorf("open stream of beats: %w", err)
	}
	work, err := s.Open()
	if err != nil {
		return fmt.Errorf("open stream of work: %w", err)
	}
	return l.beats(ctx, link.NewStream(control), link.NewStream(work))
}

// beats exchanges beats until the link is silent. The first answer brings it up.
func (l *outLink) beats(ctx context.Context, control, work *link.Stream) error {
	var who peer.Member
	var done chan struct{}
	var t told
	defer func() {
		if done != nil {
			close(done)
			l.down(who)
		}
	}()
	for {
		if err := control.Send(l.mesh.beat(&t)); err != nil {
			return err
		}
		var b Beat
		if err := control.ReceiveWithin(&b, silenceLimit); err != nil {
			return err
		}
		l.mesh.learn(&b)
		if done == nil {
			who = fromWire(b.GetSelf())
			done = make(chan struct{})
			l.up(who, work, done)
		}
		l.heard(who, &b)
		if ready, _ := l.mesh.Source.Ready(); !ready {
			l.send(&Work{Kind: &Work_Fetch{Fetch: &Fetch{}}})
		}
		if !wait.For(ctx, l.mesh.Beat) {
			return ctx.Err()
		}
	}
}

func (l *outLink) up(who peer.Member, work *link.Stream, done chan struct{}) {
	out := make(chan *Work, workBuffer)
	l.mu.Lock()
	l.out, l.pending, l.loads, l.since = out, make(map[itemKey]*batch.Item), nil, nil
	l.mu.Unlock()
	go write(work, out, done)
	go l.read(who, work)
	m := l.mesh
	m.mu.Lock()
	m.byID[who.Instance] = l
	m.mu.Unlock()
	m.Log.Event(logs.LinkUp).Str("member", who.Instance).Str("addr", l.addr).Msg("")
}

func write(st *link.Stream, out <-chan *Work, done <-chan struct{}) {
	for {
		select {
		case <-done:
			return
		case w := <-out:
			if st.Send(w) != nil {
				st.Close() // beats find the end of the link
				return
			}
		}
	}
}

func (l *outLink) down(who peer.Member) {
	m := l.mesh
	m.mu.Lock()
	if m.byID[who.Instance] == l {
		delete(m.byID, who.Instance)
		m.Group.MarkDown(who.Instance)
	}
	m.mu.Unlock()
	l.mu.Lock()
	l.out = nil
	lost := make([]*batch.Item, 0, len(l.pending))
	for _, it := range l.pending {
		lost = append(lost, it)
	}
	l.pending = nil
	l.mu.Unlock()
	m.Log.Event(logs.LinkLost).Str("member", who.Instance).Int("items", len(lost)).Msg("")
	m.Handler.Lost(lost)
}

func (l *outLink) heard(who peer.Member, b *Beat) {
	m := l.mesh
	m.mu.Lock()
	m.Group.MarkUp(m.Clock.Now(), who, b.GetLeaving())
	m.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loads = make(map[batch.Pool]int, len(b.GetLoads()))
	l.since = make(map[batch.Pool]int)
	for _, p := range b.GetLoads() {
		l.loads[batch.Pool{Service: p.GetService(), Zone: p.GetZone()}] = int(p.GetItems())
	}
}

// read books the results that come back.
func (l *outLink) read(who peer.Member, st *link.Stream) {
	for {
		var w Work
		if st.Receive(&w) != nil {
			return
		}
		if part := w.GetLearnt(); part != nil {
			l.learn(who, part)
		}
		d := w.GetDone()
		for _, r := range d.GetResults() {
			k := itemKey{request: d.GetRequest(), stage: int(d.GetStage()), index: int(r.GetIndex())}
			l.mu.Lock()
			it := l.pending[k]
			delete(l.pending, k)
			l.mu.Unlock()
			if it != nil {
				l.mesh.Handler.Result(it, plat.StageResult{Ref: r.GetRef(), Reason: plat.Reason(r.GetReason())})
			} else if r.GetRef() != "" {
				l.mesh.Handler.Release([]string{r.GetRef()})
			}
		}
	}
}

// learn gathers the parts of what the other relay has learnt. It is called from
// the reading goroutine alone.
func (l *outLink) learn(who peer.Member, part *Learnt) {
	for _, e := range part.GetEntries() {
		l.learnt = append(l.learnt, plat.Item{Key: e.GetKey(), Value: e.GetValue(), Revision: e.GetRevision()})
	}
	if part.GetMore() {
		return
	}
	l.mesh.Source.Learn(who.Instance, l.learnt, time.Duration(part.GetAgeMs())*time.Millisecond)
	l.learnt = nil
}

func (l *outLink) send(w *Work) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sendLocked(w)
}

func (l *outLink) sendLocked(w *Work) bool {
	if l.out == nil {
		return false
	}
	select {
	case l.out <- w:
		return true
	default:
		return false
	}
}

func (l *outLink) submit(p batch.Pool, items []*batch.Item) bool {
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
	l.since[p] += len(items)
	return true
}

// cancelRequest drops what is pending of a request. A result that still comes is
// given up.
func (l *outLink) cancelRequest(request string) {
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

func (l *outLink) items(p batch.Pool) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.loads[p] + l.since[p]
}
