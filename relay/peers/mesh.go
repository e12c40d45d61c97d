// Package peers links the relays of a deployment: who is there, and stage items
// that one relay has another run. A pool's owner puts the items of all relays
// together, which fills calls better than each relay alone.
package peers

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"

	"wigeonplank.example/base/link"
	"wigeonplank.example/core/batch"
	"wigeonplank.example/core/clock"
	"wigeonplank.example/core/peer"
	plat "wigeonplank.example/platform"
	"wigeonplank.example/relay/logs"
	"wigeonplank.example/relay/sets"
)

// Timing of links. A request's objective is about a second, so a silent link
// has to be found in less.
const (
	silenceLimit = 800 * time.Millisecond
	dialTimeout  = 500 * time.Millisecond
	workBuffer   = 1024     // messages that wait for one link; more are not taken
	fullBeats    = 16       // beats of a link from one that names all members to the next
	partBytes    = 64 << 10 // of what was learnt from the store go in one message
)

// Handler runs the items of others, and hears what became of one's own.
type Handler interface {
	// Accept queues items of another relay. reply tells what became of each.
	Accept(p batch.Pool, items []*batch.Item, reply func(it *batch.Item, res plat.StageResult))
	// Drop forgets what waits of a request of another relay.
	Drop(request string)
	// Release gives up results.
	Release(refs []string)
	// Result books what became of an own item that another relay ran.
	Result(it *batch.Item, res plat.StageResult)
	// Lost takes back own items whose link broke.
	Lost(items []*batch.Item)
	// Loads returns what waits for the pools that this relay serves.
	Loads() map[batch.Pool]int
}

// Source is what a relay has learnt from the platform's store.
type Source interface {
	// Ready reports whether it is enough to serve, and what is missing if not.
	Ready() (bool, string)
	// Learnt returns all of it, and how long ago the store was heard.
	Learnt() ([]plat.Item, time.Duration)
	// Learn takes what another relay has learnt, if nothing is known yet.
	Learn(from string, items []plat.Item, age time.Duration)
}

// Mesh holds the links of one relay. Set the exported fields before Serve and
// Run. It is safe for concurrent use.
type Mesh struct {
	Group   *peer.Group     // used by the mesh alone
	Seeds   func() []string // IP:port; they may change
	Beat    time.Duration
	Handler Handler
	Clock   clock.Clock
	Log     *logs.Logger
	// Source holds what is learnt from the platform's store.
	Source Source
	// Policy returns the policy in force.
	Policy func() sets.Policy

	mu      sync.Mutex
	links   map[string]*outLink // by address
	byID    map[string]*outLink // by instance, those that are up
	version int                 // of the members: rises with each change
	leaving bool
	ln      net.Listener
}

// Run keeps links to all members until ctx ends. It blocks.
func (m *Mesh) Run(ctx context.Context) {
	m.mu.Lock()
	m.links = make(map[string]*outLink)
	m.byID = make(map[string]*outLink)
	m.mu.Unlock()
	m.maintain(ctx)
	t := time.NewTicker(m.Beat)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			m.maintain(ctx)
		}
	}
}

// maintain links to all known members and drops links to those that are
// forgotten.
func (m *Mesh) maintain(ctx context.Context) {
	m.mu.Lock()
	gone := m.Group.Expire(m.Clock.Now())
	m.version += len(gone)
	members := m.Group.Members()
	for _, g := range gone {
		if l := m.links[g.Addr]; l != nil && !m.isSeed(g.Addr) {
			l.cancel()
			delete(m.links, g.Addr)
		}
	}
	m.mu.Unlock()
	for _, g := range gone {
		m.Log.Event(logs.MemberForgotten).Str("member", g.Instance).Msg("")
	}
	for _, a := range m.Seeds() {
		m.connect(ctx, a)
	}
	for _, k := range members {
		m.connect(ctx, k.Addr)
	}
}

func (m *Mesh) isSeed(addr string) bool {
	for _, s := range m.Seeds() {
		if s == addr {
			return true
		}
	}
	return false
}

func (m *Mesh) connect(ctx context.Context, addr string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if addr == m.Group.Self.Addr || m.links[addr] != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	l := &outLink{mesh: m, addr: addr, cancel: cancel}
	m.links[addr] = l
	go l.run(ctx)
}

// Leave tells the other relays that this one is stopping.
func (m *Mesh) Leave() {
	m.mu.Lock()
	m.leaving = true
	m.Group.Leave()
	m.mu.Unlock()
}

// Size returns how many relays to reckon with in shares of common limits.
func (m *Mesh) Size() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Group.Size(m.Clock.Now())
}

// Rank returns the place of this relay among all in an order that depends on
// key alone, from 0.
func (m *Mesh) Rank(key string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Group.Rank(key)
}

// owner returns the link to the relay that looks after a pool, or nil if that
// is this one.
func (m *Mesh) owner(p batch.Pool) *outLink {
	if m.Policy().BatchAlone {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	o := m.Group.Owner(p.Service, p.Zone)
	return m.byID[o.Instance]
}

// Submit hands items to the relay that looks after a pool. It reports false if
// this relay has to run them itself. It doesn't block.
func (m *Mesh) Submit(p batch.Pool, items []*batch.Item) bool {
	l := m.owner(p)
	return l != nil && l.submit(p, items)
}

// Items returns how many items wait for a pool at the relay that looks after it,
// or -1 if that is this one.
func (m *Mesh) Items(p batch.Pool) int {
	l := m.owner(p)
	if l == nil {
		return -1
	}
	return l.items(p)
}

// Cancel drops what waits of a request at other relays.
func (m *Mesh) Cancel(request string) {
	m.mu.Lock()
	links := make([]*outLink, 0, len(m.byID))
	for _, l := range m.byID {
		links = append(links, l)
	}
	m.mu.Unlock()
	for _, l := range links {
		l.cancelRequest(request)
	}
}

// Release has results given up by the relay that looks after their pool. It
// reports false if this relay has to do it itself.
func (m *Mesh) Release(p batch.Pool, refs []string) bool {
	l := m.owner(p)
	return l != nil && l.send(&Work{Kind: &Work_Release{Release: &Release{Refs: refs}}})
}

// told is what one side of a link has told the other of the members.
type told struct {
	beats   int
	version int
}

// beat returns the next beat of a link. It names the members if they changed
// since the link's last, and every now and then: with n relays, all links
// together would otherwise carry n members n times n times.
func (m *Mesh) beat(t *told) *Beat {
	loads := m.Handler.Loads()
	m.mu.Lock()
	defer m.mu.Unlock()
	b := &Beat{Self: toWire(m.Group.Self), Leaving: m.leaving}
	if t.version != m.version || t.beats%fullBeats == 0 {
		for _, k := range m.Group.Members() {
			b.Members = append(b.Members, toWire(k))
		}
	}
	t.version = m.version
	t.beats++
	for p, n := range loads {
		b.Loads = append(b.Loads, &PoolLoad{Service: p.Service, Zone: p.Zone, Items: int64(n)})
	}
	return b
}

// learn records the members of which a beat tells.
func (m *Mesh) learn(b *Beat) {
	now := m.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, w := range append(b.GetMembers(), b.GetSelf()) {
		if m.Group.Observe(now, fromWire(w)) {
			m.version++
			m.Log.Event(logs.MemberHeard).Str("member", w.GetInstance()).Str("addr", w.GetAddr()).
				Str("zone", w.GetZone()).Str("from", b.GetSelf().GetInstance()).Msg("")
		}
	}
}

func toWire(p peer.Member) *Member {
	return &Member{Instance: p.Instance, Incarnation: p.Incarnation, Addr: p.Addr, Zone: p.Zone}
}

func fromWire(w *Member) peer.Member {
	return peer.Member{Instance: w.GetInstance(), Incarnation: w.GetIncarnation(), Addr: w.GetAddr(), Zone: w.GetZone()}
}

// Serve accepts links from other relays until Close. It blocks.
func (m *Mesh) Serve(ln net.Listener) error {
	m.mu.Lock()
	m.ln = ln
	m.mu.Unlock()
	for {
		c, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("accept links: %w", err)
		}
		go m.serve(c)
	}
}

// Close ends the listener.
func (m *Mesh) Close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ln != nil {
		_ = m.ln.Close() // nothing is left to accept
	}
}

// serve is the side of a link that was dialled.
func (m *Mesh) serve(c net.Conn) {
	s, err := yamux.Server(c, link.SessionConfig())
	if err != nil {
		_ = c.Close() // the dialling side tries again
		return
	}
	defer func() { _ = s.Close() }()
	control, err := s.Accept()
	if err != nil {
		return
	}
	work, err := s.Accept()
	if err != nil {
		return
	}
	in := &inLink{mesh: m, out: make(chan *Work, workBuffer), done: make(chan struct{})}
	defer close(in.done)
	st := link.NewStream(work)
	go in.write(st)
	go in.read(st)
	m.answerBeats(link.NewStream(control))
}

// answerBeats answers each beat with one of its own until the link is silent.
func (m *Mesh) answerBeats(st *link.Stream) {
	var t told
	for {
		var b Beat
		if err := st.ReceiveWithin(&b, m.silence()); err != nil {
			return
		}
		m.learn(&b)
		if err := st.Send(m.beat(&t)); err != nil {
			return
		}
	}
}

func (m *Mesh) silence() time.Duration { return m.Beat + silenceLimit }

// inLink carries the items of another relay.
type inLink struct {
	mesh *Mesh
	out  chan *Work
	done chan struct{} // closed when the link ends
}

func (l *inLink) write(st *link.Stream) {
	for {
		select {
		case <-l.done:
			return
		case w := <-l.out:
			if st.Send(w) != nil {
				st.Close()
				return
			}
		}
	}
}

func (l *inLink) read(st *link.Stream) {
	for {
		var w Work
		if st.Receive(&w) != nil {
			return
		}
		switch k := w.GetKind().(type) {
		case *Work_Submit:
			l.accept(k.Submit)
		case *Work_Cancel:
			l.mesh.Handler.Drop(k.Cancel.GetRequest())
		case *Work_Release:
			l.mesh.Handler.Release(k.Release.GetRefs())
		case *Work_Fetch:
			l.tell()
		}
	}
}

// tell sends what this relay has learnt from the store, in parts.
func (l *inLink) tell() {
	items, age := l.mesh.Source.Learnt()
	part, size := &Learnt{AgeMs: age.Milliseconds()}, 0
	for i, it := range items {
		part.Entries = append(part.Entries, &Entry{Key: it.Key, Value: it.Value, Revision: it.Revision})
		size += len(it.Key) + len(it.Value)
		if size < partBytes && i < len(items)-1 {
			continue
		}
		part.More = i < len(items)-1
		select {
		case <-l.done:
			return
		case l.out <- &Work{Kind: &Work_Learnt{Learnt: part}}:
		}
		part, size = &Learnt{AgeMs: age.Milliseconds()}, 0
	}
}

func (l *inLink) accept(s *Submit) {
	now := l.mesh.Clock.Now()
	items := make([]*batch.Item, 0, len(s.GetItems()))
	for _, w := range s.GetItems() {
		items = append(items, &batch.Item{
			Request: w.GetRequest(), Stage: int(w.GetStage()), Index: int(w.GetIndex()), Key: w.GetKey(),
			Inputs: w.GetInputs(), Chain: w.GetChain(), ResultBytes: w.GetBytes(), CrossZoneBytes: w.GetCross(), FreesMemory: w.GetHolds(),
			Zone: w.GetZone(), EnqueuedAt: now,
			StartBy:  now.Add(time.Duration(w.GetGiveUpUs()) * time.Microsecond),
			Due:      now.Add(time.Duration(w.GetDueUs()) * time.Microsecond),
			Deadline: now.Add(time.Duration(w.GetDeadlineUs()) * time.Microsecond),
		})
	}
	l.mesh.Handler.Accept(batch.Pool{Service: s.GetService(), Zone: s.GetZone()}, items, l.reply)
}

// reply sends the result of an item back. If the link is gone, the result is
// given up: the other relay has the item run elsewhere.
func (l *inLink) reply(it *batch.Item, res plat.StageResult) {
	w := &Work{Kind: &Work_Done{Done: &Done{Request: it.Request, Stage: uint32(it.Stage), Results: []*Result{
		{Index: uint32(it.Index), Ref: res.Ref, Reason: string(res.Reason)},
	}}}}
	select {
	case <-l.done:
	case l.out <- w:
		return
	default:
	}
	if res.Ref != "" {
		l.mesh.Handler.Release([]string{res.Ref})
	}
}
