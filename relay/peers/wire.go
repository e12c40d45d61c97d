package peers

import (
	"time"

	"wigeonplank.example/core/notice"
	"wigeonplank.example/core/peer"
	"wigeonplank.example/core/repl"
)

func toWire(p peer.Member) *Member {
	return &Member{Instance: p.Instance, Incarnation: p.Incarnation, Addr: p.Addr, Zone: p.Zone, Beat: p.Beat, Weight: p.Weight}
}

func fromWire(p *Member) peer.Member {
	return peer.Member{
		Instance: p.GetInstance(), Incarnation: p.GetIncarnation(), Addr: p.GetAddr(), Zone: p.GetZone(), Beat: p.GetBeat(), Weight: p.GetWeight(),
	}
}

// noticeToWire converts a notice. Its time is sent as a duration, since the clocks of
// two relays may differ.
func noticeToWire(e notice.Entry, now time.Time) *EndpointNotice {
	rate, limited := e.Notice.RateLimit()
	return &EndpointNotice{
		Endpoint: e.Endpoint, Incarnation: e.Incarnation, Limited: limited, RateLimit: rate, AgeUs: now.Sub(e.Notice.Time()).Microseconds(),
		Leaving: e.Notice.Leaving() != notice.LeavingNo,
	}
}

func noticeFromWire(w *EndpointNotice, from string, now time.Time) notice.Entry {
	n := notice.Notice{}.WithSource(from).WithTime(now.Add(-time.Duration(w.GetAgeUs()) * time.Microsecond))
	if w.GetLimited() {
		n = n.WithRateLimit(w.GetRateLimit())
	}
	if w.GetLeaving() {
		n = n.WithLeaving(notice.LeavingHeard)
	}
	return notice.Entry{Endpoint: w.GetEndpoint(), Incarnation: w.GetIncarnation(), Notice: n}
}

// positionToWire converts a position. Its times are sent as durations, since the
// clocks of two relays may differ.
func positionToWire(p repl.Position, now time.Time) *StorePosition {
	w := &StorePosition{Revision: p.Revision, Era: p.Era, Origin: p.Contact.Origin}
	if !p.Contact.At.IsZero() {
		w.ContactMs = now.Sub(p.Contact.At).Milliseconds()
	}
	if !p.OutageEnd.IsZero() {
		w.Outage, w.OutageMs = true, now.Sub(p.OutageEnd).Milliseconds()
	}
	return w
}

func positionFromWire(w *StorePosition, now time.Time) repl.Position {
	p := repl.Position{Point: repl.Point{Era: w.GetEra(), Revision: w.GetRevision()}}
	if w == nil {
		p.Revision = -1
	}
	if w.GetOrigin() != "" {
		p.Contact = repl.Contact{At: now.Add(-time.Duration(w.GetContactMs()) * time.Millisecond), Origin: w.GetOrigin()}
	}
	if w.GetOutage() {
		p.OutageEnd = now.Add(-time.Duration(w.GetOutageMs()) * time.Millisecond)
	}
	return p
}
