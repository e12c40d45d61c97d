// Package peers implements the links between the relays of a deployment. Relays
// exchange their member lists over these links, and submit stage items to the
// owner of the items' pool. An owner batches the items of all relays, which
// fills calls to endpoints better than each relay can alone.
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

const (
	// heartbeatTimeout is how long a link may be silent beyond the expected time
	// of a heartbeat. The latency objective of a request is about one second, so
	// a broken link has to be detected in less.
	heartbeatTimeout = 800 * time.Millisecond
	dialTimeout      = 500 * time.Millisecond

	maxQueuedMessages       = 1024     // waiting to be sent on one link
	heartbeatsPerMemberList = 16       // an unchanged member list is sent again after this number of heartbeats
	snapshotPartBytes       = 64 << 10 // a part of a store snapshot is sent once it has this size
)

// Handler runs the stage items that other relays submit, and receives the
// outcome of this relay's own items. Its methods are called concurrently.
type Handler interface {
	// Accept queues items that another relay submitted to pool p. It calls reply
	// with the outcome of each item.
	Accept(p batch.Pool, items []*batch.Item, reply func(it *batch.Item, res plat.StageResult))
	// RemoveQueued removes the queued items of a request that another relay
	// cancelled.
	RemoveQueued(request string)
	// ReleaseDirectly releases stage results at their endpoints, without asking
	// the owner of their pool.
	ReleaseDirectly(refs []string)
	// HandleResult records the outcome of an own item that another relay ran.
	HandleResult(it *batch.Item, res plat.StageResult)
	// Resubmit submits own items again that were pending on a link that failed.
	Resubmit(items []*batch.Item)
	// Loads returns the number of queued and in-flight items of each pool that
	// this relay schedules.
	Loads() map[batch.Pool]int
}

// Source holds what this relay has read from the platform's store. Relays send
// each other snapshots of it, so that one that starts while the store is
// unavailable can serve.
type Source interface {
	// Ready reports whether enough has been read to serve requests, and what is
	// missing if not.
	Ready() (bool, string)
	// Snapshot returns all entries read so far, and the time since the last contact
	// with the store.
	Snapshot() ([]plat.Entry, time.Duration)
	// ApplySnapshot applies a snapshot sent by the relay whose instance ID is from, unless
	// this relay is ready already. age is the time since the sender's last contact
	// with the store.
	ApplySnapshot(from string, entries []plat.Entry, age time.Duration)
}

// Mesh manages the links of one relay to all others. Set the exported fields
// before calling Serve and Run. It is safe for concurrent use.
type Mesh struct {
	Group             *peer.Group     // guarded by mu once Run or Serve is called
	Seeds             func() []string // addresses (IP:port) to link to from the start; may change between calls
	HeartbeatInterval time.Duration   // time between two heartbeats on a link
	Handler           Handler
	Clock             clock.Clock
	Log               *logs.Logger
	Source            Source
	Policy            func() sets.Policy // returns the current policy

	mu      sync.Mutex
	links   map[string]*outboundLink // by address
	byID    map[string]*outboundLink // links that are up, by instance ID
	version int                      // version of the member list, incremented on each change
	leaving bool                     // this relay is shutting down
	ln      net.Listener
}

// Run maintains links to all members until ctx ends. It blocks.
func (m *Mesh) Run(ctx context.Context) {
	m.mu.Lock()
	m.links = make(map[string]*outboundLink)
	m.byID = make(map[string]*outboundLink)
	m.mu.Unlock()
	m.updateLinks(ctx)
	t := time.NewTicker(m.HeartbeatInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			m.updateLinks(ctx)
		}
	}
}

// updateLinks removes members that have expired, closes their links unless they
// are seeds, and opens links to all seeds and members that have none.
func (m *Mesh) updateLinks(ctx context.Context) {
	m.mu.Lock()
	expired := m.Group.Expire(m.Clock.Now())
	m.version += len(expired)
	members := m.Group.Members()
	for _, p := range expired {
		if l := m.links[p.Addr]; l != nil && !m.isSeed(p.Addr) {
			l.cancel()
			delete(m.links, p.Addr)
		}
	}
	m.mu.Unlock()
	for _, p := range expired {
		m.Log.Event(logs.MemberExpired).Str("member", p.Instance).Msg("")
	}
	for _, addr := range m.Seeds() {
		m.connect(ctx, addr)
	}
	for _, p := range members {
		m.connect(ctx, p.Addr)
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

// connect starts a link to addr, unless there is one or addr is this relay's own.
func (m *Mesh) connect(ctx context.Context, addr string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if addr == m.Group.Self.Addr || m.links[addr] != nil {
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	l := &outboundLink{mesh: m, addr: addr, cancel: cancel}
	m.links[addr] = l
	go l.run(ctx)
}

// Leave marks this relay as shutting down. The next heartbeat on each link
// reports it, and other relays stop choosing it as the owner of pools.
func (m *Mesh) Leave() {
	m.mu.Lock()
	m.leaving = true
	m.Group.Leave()
	m.mu.Unlock()
}

// Size returns the number of relays to assume when a limit is shared among all
// relays, this one included.
func (m *Mesh) Size() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Group.Size(m.Clock.Now())
}

// Rank returns the position of this relay, counted from 0, in an order of all
// relays that depends only on key.
func (m *Mesh) Rank(key string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Group.Rank(key)
}

// owner returns the link to the owner of a pool, or nil if this relay schedules
// the pool's items itself.
func (m *Mesh) owner(p batch.Pool) *outboundLink {
	if m.Policy().LocalBatching {
		return nil
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	o := m.Group.Owner(p.Service, p.Zone)
	return m.byID[o.Instance]
}

// Submit sends items to the owner of a pool. It reports false if this relay has
// to schedule them itself: it is the owner, the link to the owner is down or its
// queue is full, or the policy is LocalBatching. It doesn't block.
func (m *Mesh) Submit(p batch.Pool, items []*batch.Item) bool {
	l := m.owner(p)
	return l != nil && l.submit(p, items)
}

// ItemCount returns the number of items that are queued or in flight at the owner
// of a pool, or -1 if this relay schedules the pool's items itself.
func (m *Mesh) ItemCount(p batch.Pool) int {
	l := m.owner(p)
	if l == nil {
		return -1
	}
	return l.itemCount(p)
}

// Cancel cancels the items of a request that are pending at other relays.
func (m *Mesh) Cancel(request string) {
	m.mu.Lock()
	links := make([]*outboundLink, 0, len(m.byID))
	for _, l := range m.byID {
		links = append(links, l)
	}
	m.mu.Unlock()
	for _, l := range links {
		l.cancelRequest(request)
	}
}

// Release asks the owner of a pool to release results. It reports false if this
// relay has to release them itself.
func (m *Mesh) Release(p batch.Pool, refs []string) bool {
	l := m.owner(p)
	return l != nil && l.send(&Work{Kind: &Work_Release{Release: &Release{Refs: refs}}})
}

// heartbeatState tracks the heartbeats that one side of a link has sent.
type heartbeatState struct {
	sent    int // number of heartbeats
	version int // version of the member list that was sent last
}

// nextHeartbeat returns the next heartbeat of a link. The member list is sent
// if it has changed since the link's previous heartbeat, and otherwise only in
// every heartbeatsPerMemberList-th: n relays have on the order of n² links, so
// all n members in each heartbeat would add up to n³ entries per interval.
func (m *Mesh) nextHeartbeat(s *heartbeatState) *Heartbeat {
	loads := m.Handler.Loads()
	m.mu.Lock()
	defer m.mu.Unlock()
	hb := &Heartbeat{Self: toWire(m.Group.Self), Leaving: m.leaving}
	if s.version != m.version || s.sent%heartbeatsPerMemberList == 0 {
		for _, p := range m.Group.Members() {
			hb.Members = append(hb.Members, toWire(p))
		}
	}
	s.version = m.version
	s.sent++
	for p, n := range loads {
		hb.Loads = append(hb.Loads, &PoolLoad{Service: p.Service, Zone: p.Zone, Items: int64(n)})
	}
	return hb
}

// observeMembers adds the sender of a heartbeat and the members that it lists to
// the group.
func (m *Mesh) observeMembers(hb *Heartbeat) {
	now := m.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, p := range append(hb.GetMembers(), hb.GetSelf()) {
		if m.Group.Observe(now, fromWire(p)) {
			m.version++
			m.Log.Event(logs.MemberDiscovered).Str("member", p.GetInstance()).Str("addr", p.GetAddr()).
				Str("zone", p.GetZone()).Str("from", hb.GetSelf().GetInstance()).Msg("")
		}
	}
}

func toWire(p peer.Member) *Member {
	return &Member{Instance: p.Instance, Incarnation: p.Incarnation, Addr: p.Addr, Zone: p.Zone}
}

func fromWire(p *Member) peer.Member {
	return peer.Member{Instance: p.GetInstance(), Incarnation: p.GetIncarnation(), Addr: p.GetAddr(), Zone: p.GetZone()}
}

// Serve accepts links from other relays until Close is called, then returns nil.
// It blocks.
func (m *Mesh) Serve(ln net.Listener) error {
	m.mu.Lock()
	m.ln = ln
	m.mu.Unlock()
	for {
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("accept links: %w", err)
		}
		go m.serveLink(conn)
	}
}

// Close closes the listener. Links that are open stay open.
func (m *Mesh) Close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.ln != nil {
		_ = m.ln.Close() // an error doesn't matter: the listener isn't used again
	}
}

// serveLink serves a link that another relay dialed, until it fails.
func (m *Mesh) serveLink(conn net.Conn) {
	s, err := yamux.Server(conn, link.SessionConfig())
	if err != nil {
		_ = conn.Close() // the dialing relay retries
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
	l := &inboundLink{mesh: m, queue: make(chan *Work, maxQueuedMessages), done: make(chan struct{})}
	defer close(l.done)
	st := link.NewStream(work)
	go l.write(st)
	go l.read(st)
	m.answerHeartbeats(link.NewStream(control))
}

// answerHeartbeats answers each heartbeat on st with one of its own. It returns
// when the next heartbeat doesn't arrive in time or the stream fails.
func (m *Mesh) answerHeartbeats(st *link.Stream) {
	var state heartbeatState
	for {
		var hb Heartbeat
		if err := st.ReceiveWithin(&hb, m.inboundTimeout()); err != nil {
			return
		}
		m.observeMembers(&hb)
		if err := st.Send(m.nextHeartbeat(&state)); err != nil {
			return
		}
	}
}

// inboundTimeout returns how long an inbound link may be silent. The dialing
// relay waits for one interval between its heartbeats.
func (m *Mesh) inboundTimeout() time.Duration { return m.HeartbeatInterval + heartbeatTimeout }

// inboundLink is a link that another relay dialed. It carries that relay's items
// to this one, and their results back.
type inboundLink struct {
	mesh  *Mesh
	queue chan *Work    // messages to send
	done  chan struct{} // closed when the link ends
}

// write sends the queued messages until the link ends or sending fails.
func (l *inboundLink) write(st *link.Stream) {
	for {
		select {
		case <-l.done:
			return
		case w := <-l.queue:
			if st.Send(w) != nil {
				st.Close()
				return
			}
		}
	}
}

// read handles the messages of the dialing relay until the stream ends.
func (l *inboundLink) read(st *link.Stream) {
	for {
		var w Work
		if st.Receive(&w) != nil {
			return
		}
		switch k := w.GetKind().(type) {
		case *Work_Submit:
			l.accept(k.Submit)
		case *Work_Cancel:
			l.mesh.Handler.RemoveQueued(k.Cancel.GetRequest())
		case *Work_Release:
			l.mesh.Handler.ReleaseDirectly(k.Release.GetRefs())
		case *Work_Fetch:
			l.sendSnapshot()
		}
	}
}

// sendSnapshot sends this relay's snapshot of the platform's store, in parts of
// about snapshotPartBytes. It sends nothing if the snapshot is empty, and blocks
// while the link's queue is full.
func (l *inboundLink) sendSnapshot() {
	entries, age := l.mesh.Source.Snapshot()
	part, size := &Snapshot{AgeMs: age.Milliseconds()}, 0
	for i, entry := range entries {
		part.Entries = append(part.Entries, &StoreEntry{Key: entry.Key, Value: entry.Value, Revision: entry.Revision})
		size += len(entry.Key) + len(entry.Value)
		if size < snapshotPartBytes && i < len(entries)-1 {
			continue
		}
		part.More = i < len(entries)-1
		select {
		case <-l.done:
			return
		case l.queue <- &Work{Kind: &Work_Learnt{Learnt: part}}:
		}
		part, size = &Snapshot{AgeMs: age.Milliseconds()}, 0
	}
}

// accept hands submitted items to the handler. Their times arrive as durations
// from now, since the clocks of two relays may differ.
func (l *inboundLink) accept(s *Submit) {
	now := l.mesh.Clock.Now()
	items := make([]*batch.Item, 0, len(s.GetItems()))
	for _, it := range s.GetItems() {
		items = append(items, &batch.Item{
			Request: it.GetRequest(), Stage: int(it.GetStage()), Index: int(it.GetIndex()), Key: it.GetKey(),
			Inputs: it.GetInputs(), Chain: it.GetChain(), ResultBytes: it.GetBytes(), CrossZoneBytes: it.GetCross(), FreesMemory: it.GetHolds(),
			Zone: it.GetZone(), EnqueuedAt: now,
			StartBy:  now.Add(time.Duration(it.GetGiveUpUs()) * time.Microsecond),
			Due:      now.Add(time.Duration(it.GetDueUs()) * time.Microsecond),
			Deadline: now.Add(time.Duration(it.GetDeadlineUs()) * time.Microsecond),
		})
	}
	l.mesh.Handler.Accept(batch.Pool{Service: s.GetService(), Zone: s.GetZone()}, items, l.reply)
}

// reply sends the outcome of an item to the relay that submitted it. If the link
// has ended or its queue is full, reply releases the result instead. When a link
// ends, the submitting relay runs its pending items elsewhere.
func (l *inboundLink) reply(it *batch.Item, res plat.StageResult) {
	w := &Work{Kind: &Work_Done{Done: &Done{Request: it.Request, Stage: uint32(it.Stage), Results: []*Result{
		{Index: uint32(it.Index), Ref: res.Ref, Reason: string(res.Reason)},
	}}}}
	select {
	case <-l.done:
	case l.queue <- w:
		return
	default:
	}
	if res.Ref != "" {
		l.mesh.Handler.ReleaseDirectly([]string{res.Ref})
	}
}
