package keeper

import (
	"context"
	"net"
	"slices"
	"sync"
	"time"

	"wigeonplank.example/base/stall"
	"wigeonplank.example/core/clock"
	"wigeonplank.example/core/origin"
	"wigeonplank.example/relay/logs"
	"wigeonplank.example/relay/peers"
)

const (
	tickInterval = 100 * time.Millisecond // between two looks for records that are to be sent again
	// maxCopiesPerTick bounds the messages that a look sends.
	maxCopiesPerTick = 40
	// maxSilentTicks is the number of ticks without an answer to what was sent after which a
	// link has failed.
	maxSilentTicks = 8
	dialTimeout    = 500 * time.Millisecond
	minRedialDelay = 100 * time.Millisecond
	maxRedialDelay = time.Second
)

// Links are the links of a relay to keepers. Set the exported fields before use. It is safe
// for concurrent use.
type Links struct {
	Hosts func() []origin.Host // whose keepers remember this relay's streams; called by one goroutine at a time
	Port  func() int           // of all keepers; 0: there are none
	Dial  func(ctx context.Context, addr string) (net.Conn, error)
	Clock clock.Clock
	Log   *logs.Logger
	// OnStored, if set, is called with the time that the first acknowledgement of a record
	// has taken. It must not block.
	OnStored func(took time.Duration)

	mu     sync.Mutex
	links  map[string]*outbound // by address
	order  []string             // addresses of the keepers that are in use
	copies origin.Copies        // of the records of this relay's own streams
}

// Enabled reports whether keepers run beside endpoints.
func (l *Links) Enabled() bool { return l.Port() != 0 }

// Run maintains the links until ctx ends. It blocks.
func (l *Links) Run(ctx context.Context) {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	for {
		l.updateLinks(ctx)
		l.sendDue()
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
	}
}

// updateLinks opens links to the keepers that are in use now, and closes those to others and
// those that have failed.
func (l *Links) updateLinks(ctx context.Context) {
	l.mu.Lock()
	defer l.mu.Unlock()
	order := l.addrs()
	if l.links == nil {
		l.links = make(map[string]*outbound)
	}
	if !slices.Equal(order, l.order) {
		l.order = order
		l.copies.Reconsider(l.Clock.Now())
	}
	for _, addr := range order {
		if l.links[addr] == nil {
			linkCtx, cancel := context.WithCancel(ctx)
			o := &outbound{links: l, addr: addr, cancel: cancel}
			l.links[addr] = o
			go o.run(linkCtx)
		}
	}
	for addr, o := range l.links {
		if !slices.Contains(order, addr) {
			o.cancel()
			delete(l.links, addr)
		} else if o.session != nil {
			o.session.tick()
		}
	}
}

// addrs returns the addresses of the keepers that are to be used by the current view. The
// caller holds l.mu.
func (l *Links) addrs() []string {
	var out []string
	if port := l.Port(); port != 0 {
		for _, h := range l.Hosts() {
			out = append(out, (&net.TCPAddr{IP: net.ParseIP(h.IP), Port: port}).String())
		}
	}
	return out
}

// Record has the keepers remember where a stream of this relay began, which may be a
// correction. It doesn't block.
func (l *Links) Record(stream string, o origin.Origin) {
	if !l.Enabled() {
		return
	}
	now := l.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.copies.Put(now, stream, o)
	l.sendCopies(now, stream)
}

// sendDue sends records again that aren't acknowledged, and to keepers that are new.
func (l *Links) sendDue() {
	now := l.Clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	sent := 0
	for _, stream := range l.copies.Due(now) {
		if sent >= maxCopiesPerTick {
			return
		}
		sent += l.sendCopies(now, stream)
	}
}

// sendCopies sends the record of a stream to the keepers that are to have it, and returns
// their number. The caller holds l.mu.
func (l *Links) sendCopies(now time.Time, stream string) int {
	var reachable []origin.Keeper
	sessions := make(map[origin.Keeper]*session)
	for _, addr := range l.order {
		if s := l.links[addr].session; s != nil {
			reachable = append(reachable, s.keeper)
			sessions[s.keeper] = s
		}
	}
	o, to := l.copies.Next(now, stream, reachable, origin.MaxHosts)
	for _, k := range to {
		if sessions[k].record(stream, o) {
			l.copies.Sent(now, stream, k)
		}
	}
	return len(to)
}

// Keepers returns the keepers in use, and before the first is, those that will be. Those
// without a link have no incarnation.
func (l *Links) Keepers() []origin.Keeper {
	l.mu.Lock()
	defer l.mu.Unlock()
	order := l.order
	if len(order) == 0 {
		order = l.addrs()
	}
	out := make([]origin.Keeper, 0, len(order))
	for _, addr := range order {
		if o := l.links[addr]; o != nil && o.session != nil {
			out = append(out, o.session.keeper)
		} else {
			out = append(out, origin.Keeper{Instance: addr})
		}
	}
	return out
}

// Ask asks a keeper where a stream began. It reports false if that isn't possible. The
// answer is passed to reply, which must not block, unless the link fails.
func (l *Links) Ask(k origin.Keeper, stream string, reply func(a origin.Answer)) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	o := l.links[k.Instance]
	return o != nil && o.session != nil && o.session.keeper == k && o.session.ask(stream, reply)
}

// stored records that a keeper has a record. The caller holds no lock.
func (l *Links) stored(k origin.Keeper, stream string, o origin.Origin) {
	l.mu.Lock()
	took, first := l.copies.Stored(l.Clock.Now(), stream, k, o)
	l.mu.Unlock()
	if first {
		l.Log.Event(logs.OriginStored).Str("stream", stream).Str("member", k.Instance).Dur("acked_ms", took).Msg("")
		if l.OnStored != nil {
			l.OnStored(took)
		}
	}
}

// setSession sets the session of a link, unless the link is no longer in use.
func (l *Links) setSession(o *outbound, s *session) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o.session = s; s != nil {
		l.copies.Relinked(l.Clock.Now(), s.keeper)
	}
}

// dial opens a connection to the keeper at an address.
func (l *Links) dial(ctx context.Context, addr string) (net.Conn, error) {
	if l.Dial != nil {
		return l.Dial(ctx, addr)
	}
	return stall.Dial(ctx, &net.Dialer{}, addr, dialTimeout)
}

// received handles a message of a keeper.
func (l *Links) received(s *session, w *peers.Work) {
	switch k := w.GetKind().(type) {
	case *peers.Work_Stored:
		if r, ok := s.takeRecord(k.Stored.GetNumber()); ok {
			l.stored(s.keeper, r.stream, r.origin)
		}
	case *peers.Work_FoundOrigin:
		if reply := s.takeQuestion(k.FoundOrigin.GetNumber()); reply != nil {
			reply(peers.AnswerFromWire(k.FoundOrigin))
		}
	}
}
