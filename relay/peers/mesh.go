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
	"slices"
	"sync"
	"time"

	"wigeonplank.example/core/batch"
	"wigeonplank.example/core/clock"
	"wigeonplank.example/core/notice"
	"wigeonplank.example/core/origin"
	"wigeonplank.example/core/peer"
	"wigeonplank.example/core/repl"
	plat "wigeonplank.example/platform"
	"wigeonplank.example/relay/logs"
	"wigeonplank.example/relay/sets"
)

const (
	linkLinger = 5 * time.Second         // a link that is no longer needed is kept for this long
	seedPeriod = 5 * time.Second         // links to all seeds are kept for this long after the start
	informWait = time.Second             // after the start, at most, until requests are served without what other relays know
	aloneAfter = 1500 * time.Millisecond // without a link, in which one that broke would be up again
)

// Handler runs the stage items that other relays submit, and receives the
// outcome of this relay's own items. Its methods are called concurrently.
type Handler interface {
	// Accept queues items that another relay submitted to pool p. It calls reply
	// with the outcome of each item, and a report of the pool.
	Accept(p batch.Pool, items []*batch.Item, reply func(it *batch.Item, res plat.StageResult, r batch.Report))
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
	// Reports returns reports of the pools with items that this relay schedules.
	Reports() map[batch.Pool]batch.Report
}

// Source is this relay's replica of the platform's store.
type Source interface {
	// Ready reports whether enough has been read to serve requests, and what is
	// missing if not.
	Ready() (bool, string)
	// Position returns how much this relay has read. It doesn't block.
	Position() repl.Position
	// Announced records the position of another relay, and reports whether it has
	// changes that this relay lacks.
	Announced(p repl.Position) bool
	// Changes returns the changes after a point, or all entries if its revision is
	// negative, and the position that they lead to.
	Changes(after repl.Point) (repl.Update, repl.Position)
	// Receiving records that another relay is sending changes.
	Receiving()
	// Apply applies changes that another relay sent, and its position.
	Apply(t repl.Transfer, u repl.Update, p repl.Position)
	// Behind returns for how long this relay has known of changes that it lacks.
	Behind() time.Duration
}

// Notices keeps what endpoints announce in their responses. Its methods are called
// concurrently, and without locks of this package.
type Notices interface {
	// Notices returns what has changed since a version, and the current version.
	Notices(after int) ([]notice.Entry, int)
	// RecordNotices records what another relay has learned.
	RecordNotices(list []notice.Entry)
}

// Topic is knowledge that all relays share over their heartbeats. What one of them learns
// reaches the others in any order and more than once. Its methods are called
// concurrently, and without locks of this package.
type Topic interface {
	// Name identifies the topic. It is the same at all relays.
	Name() string
	// Changes returns the records that have changed since a version, and the current
	// version. The first version is 0.
	Changes(after int) ([][]byte, int)
	// Merge adds records of the relay with the instance ID from.
	Merge(from string, records [][]byte)
}

// Keepers are processes beside endpoints that remember where streams began. Its methods are
// called concurrently.
type Keepers interface {
	// Enabled reports whether there are any in this deployment.
	Enabled() bool
	// Record has them remember where a stream of this relay began. It doesn't block.
	Record(stream string, o origin.Origin)
	// Keepers returns those in use, also ones that can't be reached.
	Keepers() []origin.Keeper
	// Ask asks one of them where a stream began, and reports whether that is possible. The
	// answer is passed to reply, which must not block, unless the link fails.
	Ask(k origin.Keeper, stream string, reply func(a origin.Answer)) bool
}

// Mesh manages the links of one relay to others. Set the exported fields before
// calling Serve and Run. It is safe for concurrent use.
type Mesh struct {
	Group   *peer.Group     // guarded by mu once Run or Serve is called
	Seeds   func() []string // addresses (IP:port) to link to from the start; may change between calls
	Timing  Timing
	Dial    func(ctx context.Context, addr string) (net.Conn, error) // nil: TCP
	Handler Handler
	Engines Engines
	Clock   clock.Clock
	Log     *logs.Logger
	Source  Source
	Notices Notices
	Topics  []Topic
	Beside  Keepers            // nil: none
	Policy  func() sets.Policy // returns the current policy
	// OnStored, if set, is called with the time that the first acknowledgement of a record
	// has taken. It must not block.
	OnStored func(took time.Duration)

	mu        sync.Mutex
	links     map[string]*outboundLink // by address
	byID      map[string]*session      // sessions of links of this relay that are up, by instance ID
	sessions  map[*session]bool        // all sessions that are up, in both directions
	owners    map[batch.Pool]ownership
	keepers   keepers
	reads     bool      // this relay reads the store for others
	alone     bool      // all known relays read the store
	informed  bool      // a relay has told what it knows
	leaving   bool      // this relay is shutting down
	pulling   pull      // request for changes that is in flight
	unlinked  time.Time // since when this relay has had no link to a relay or a keeper; zero: it has one
	relink    chan struct{}
	transfers chan struct{} // holds one value for each response with changes that is sent
	ln        net.Listener

	originMu sync.Mutex    // locked after mu, and before the locks of sessions
	origins  origin.Table  // of the streams that this relay remembers; guarded by originMu
	copies   origin.Copies // of the records of this relay's own streams; guarded by originMu
}

// Run maintains the links of this relay until ctx ends. It blocks.
func (m *Mesh) Run(ctx context.Context) {
	m.init()
	go m.keepCopies(ctx)
	t := time.NewTicker(m.Timing.active())
	defer t.Stop()
	for {
		m.updateLinks(ctx)
		m.updateUnlinked()
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-m.relink:
		}
	}
}

// init makes the maps, unless that was done before.
func (m *Mesh) init() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.links != nil {
		return
	}
	m.links = make(map[string]*outboundLink)
	m.byID = make(map[string]*session)
	m.sessions = make(map[*session]bool)
	m.owners = make(map[batch.Pool]ownership)
	m.relink = make(chan struct{}, 1)
	m.transfers = make(chan struct{}, maxTransfers)
}

// requestRelink makes Run update the links now.
func (m *Mesh) requestRelink() {
	select {
	case m.relink <- struct{}{}:
	default:
	}
}

// updateLinks removes members that have expired, opens the links that are needed
// and closes those that have not been needed for linkLinger.
func (m *Mesh) updateLinks(ctx context.Context) {
	now := m.Clock.Now()
	seeds := m.Seeds()
	m.mu.Lock()
	m.Group.Tick(now)
	expired := m.Group.Expire(now)
	m.updateReaders(now)
	for _, addr := range m.needed(now, seeds) {
		m.connect(ctx, addr, now)
	}
	for addr, l := range m.links {
		if now.Sub(l.neededAt) > linkLinger {
			l.cancel()
			delete(m.links, addr)
		}
	}
	m.mu.Unlock()
	for _, p := range expired {
		m.Log.Event(logs.MemberExpired).Str("member", p.Instance).Msg("")
	}
}

// updateUnlinked records since when this relay has been linked to nobody that remembers streams.
func (m *Mesh) updateUnlinked() {
	linked := m.Beside != nil && slices.ContainsFunc(m.Beside.Keepers(), func(k origin.Keeper) bool { return k.Incarnation != 0 })
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case linked || len(m.byID) > 0:
		m.unlinked = time.Time{}
	case m.unlinked.IsZero():
		m.unlinked = m.Clock.Now()
	}
}

// IsAlone reports whether nobody else remembers the streams that begin at this relay: it has been
// linked to no keeper and to no other relay for a while. Where there are no keepers, the other
// relays may have ended, so that it isn't known.
func (m *Mesh) IsAlone() bool {
	if m.Beside == nil || !m.Beside.Enabled() || len(m.Beside.Keepers()) == 0 {
		return false
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.unlinked.IsZero() && m.Clock.Now().Sub(m.unlinked) > aloneAfter
}

// updateReaders records whether this relay reads the store. The caller holds m.mu.
func (m *Mesh) updateReaders(now time.Time) {
	m.reads = m.Group.Reads(now)
	m.alone = len(m.Group.Readers(now)) >= m.Group.Size(now)
}

// needed returns the addresses of the relays to link to: those that spread the
// membership, those that read the store, those that remember streams, the owners of
// pools in use, and seeds. All
// seeds are needed after the start and while there is no other link, and one at any
// time, so that two parts of a partitioned fleet find each other again. The caller
// holds m.mu.
func (m *Mesh) needed(now time.Time, seeds []string) []string {
	var out []string
	for _, p := range m.Group.Neighbors(now) {
		out = append(out, p.Addr)
	}
	for _, p := range m.Group.Followed(now) {
		out = append(out, p.Addr)
	}
	for _, p := range append(m.Group.FirstFormerKeepers(now), m.keepersAt(now)...) {
		out = append(out, p.Addr)
	}
	for pool, o := range m.owners {
		if now.Sub(o.usedAt) > poolLinger {
			delete(m.owners, pool)
			continue
		}
		for _, p := range m.candidates(now, pool) {
			out = append(out, p.Addr)
		}
	}
	if len(m.byID) == 0 || now.Sub(m.Group.Started) < seedPeriod {
		return append(out, seeds...)
	}
	if len(seeds) > 0 {
		out = append(out, seeds[m.Group.Rank("seed")%len(seeds)])
	}
	return out
}

// connect starts a link to addr, unless there is one or addr is this relay's own,
// and marks it as needed. The caller holds m.mu.
func (m *Mesh) connect(ctx context.Context, addr string, now time.Time) {
	if addr == m.Group.Self.Addr {
		return
	}
	l := m.links[addr]
	if l == nil {
		ctx, cancel := context.WithCancel(ctx)
		l = &outboundLink{mesh: m, addr: addr, cancel: cancel}
		m.links[addr] = l
		go l.run(ctx)
	}
	l.neededAt = now
}

// Leave marks this relay as shutting down and tells the linked relays, which stop
// choosing it as the owner of pools.
func (m *Mesh) Leave() {
	m.mu.Lock()
	m.leaving = true
	m.Group.Leave()
	m.reads = false
	m.mu.Unlock()
	m.Announce()
}

// Announce sends a heartbeat on all links now, with the revision of the store that
// this relay has.
func (m *Mesh) Announce() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for s := range m.sessions {
		s.requestHeartbeat()
	}
}

// Reads reports whether this relay reads the platform's store for others, and
// whether no relay depends on others for that.
func (m *Mesh) Reads() (reads, alone bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reads, m.alone
}

// Informed reports whether this relay has what another one knows of the topics, or can't
// expect to get it soon.
func (m *Mesh) Informed() bool {
	others := slices.ContainsFunc(m.Seeds(), func(addr string) bool { return addr != m.Group.Self.Addr })
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.informed || !others || m.Clock.Now().Sub(m.Group.Started) > informWait
}

// Size returns the number of relays to assume when a limit is shared among all
// relays, this one included.
func (m *Mesh) Size() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Group.Size(m.Clock.Now())
}

// ReachesHalf reports whether this relay reaches at least half of the others.
func (m *Mesh) ReachesHalf() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Group.ReachesHalf()
}

// Rank returns the position of this relay, counted from 0, in an order of all
// relays that depends only on key.
func (m *Mesh) Rank(key string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.Group.Rank(key)
}

// heartbeatState tracks the heartbeats that one side of a link has sent.
type heartbeatState struct {
	version int   // version of the membership that was sent last
	notices int   // version of the endpoints' notices that was sent last
	topics  []int // versions of Mesh.Topics that were sent last
}

// nextHeartbeat returns the next heartbeat of a link to the relay named to. It
// reports what has changed since the previous one.
func (m *Mesh) nextHeartbeat(st *heartbeatState, to string, withLoads bool) *Heartbeat {
	sent := m.Clock.Now()
	hb := &Heartbeat{SentUs: m.ownTime(sent).Microseconds(), Position: positionToWire(m.Source.Position(), sent)}
	if withLoads {
		for p, r := range m.Handler.Reports() {
			hb.Loads = append(hb.Loads, reportToWire(p, r))
		}
		for p, n := range m.Engines.Backlogs() {
			hb.Loads = append(hb.Loads, &PoolLoad{Service: p.Service, Zone: p.Zone, Items: int64(n)})
		}
	}
	var notices []notice.Entry
	notices, st.notices = m.Notices.Notices(st.notices)
	for _, e := range notices {
		hb.Notices = append(hb.Notices, noticeToWire(e, m.Clock.Now()))
	}
	hb.Knowledge = m.nextKnowledge(st)
	m.mu.Lock()
	defer m.mu.Unlock()
	hb.Self, hb.Leaving = toWire(m.Group.Self), m.leaving
	changed, advanced := m.Group.News(st.version, to)
	st.version = m.Group.Version()
	for _, p := range changed {
		hb.Members = append(hb.Members, toWire(p))
	}
	for _, p := range advanced {
		hb.Beats = append(hb.Beats, &Beat{Instance: p.Instance, Incarnation: p.Incarnation, Beat: p.Beat})
	}
	return hb
}

// nextKnowledge returns what has changed of each topic since the previous heartbeat.
func (m *Mesh) nextKnowledge(st *heartbeatState) []*Knowledge {
	if st.topics == nil {
		st.topics = make([]int, len(m.Topics))
	}
	var out []*Knowledge
	for i, t := range m.Topics {
		var records [][]byte
		records, st.topics[i] = t.Changes(st.topics[i])
		if len(records) > 0 {
			out = append(out, &Knowledge{Topic: t.Name(), Records: records})
		}
	}
	return out
}

// mergeKnowledge adds what another relay has sent of the topics.
func (m *Mesh) mergeKnowledge(from string, list []*Knowledge) {
	for _, k := range list {
		for _, t := range m.Topics {
			if t.Name() == k.GetTopic() {
				t.Merge(from, k.GetRecords())
			}
		}
	}
	m.mu.Lock()
	m.informed = true
	m.mu.Unlock()
}

// observeMembers adds the sender of a heartbeat and what it reports of others to
// the group.
func (m *Mesh) observeMembers(hb *Heartbeat) {
	now, from := m.Clock.Now(), hb.GetSelf().GetInstance()
	m.mu.Lock()
	discovered := false
	for _, p := range append(hb.GetMembers(), hb.GetSelf()) {
		if m.Group.Observe(now, fromWire(p), from) {
			discovered = true
			m.Log.Event(logs.MemberDiscovered).Str("member", p.GetInstance()).Str("addr", p.GetAddr()).
				Str("zone", p.GetZone()).Str("from", from).Msg("")
		}
	}
	for _, b := range hb.GetBeats() {
		m.Group.Advance(now, b.GetInstance(), b.GetIncarnation(), b.GetBeat(), from)
	}
	if discovered {
		m.keepers.members = nil
	}
	m.mu.Unlock()
	if discovered {
		m.requestRelink()
	}
}

// Serve accepts links from other relays until Close is called, then returns nil.
// It blocks.
func (m *Mesh) Serve(ln net.Listener) error {
	m.init()
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
