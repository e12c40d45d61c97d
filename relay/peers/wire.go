package peers

import (
	"time"

	"wigeonplank.example/core/batch"
	"wigeonplank.example/core/notice"
	"wigeonplank.example/core/origin"
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

func reportToWire(p batch.Pool, r batch.Report) *PoolLoad {
	return &PoolLoad{
		Service: p.Service, Zone: p.Zone, Items: int64(r.Items), DelayUs: r.Delay.Microseconds(), DelayAgeUs: r.DelayAge.Microseconds(),
		OverShare: r.OverShare,
	}
}

func reportFromWire(w *PoolLoad) (batch.Pool, batch.Report) {
	return batch.Pool{Service: w.GetService(), Zone: w.GetZone()}, batch.Report{
		Items: int(w.GetItems()), Delay: time.Duration(w.GetDelayUs()) * time.Microsecond,
		DelayAge: time.Duration(w.GetDelayAgeUs()) * time.Microsecond, OverShare: w.GetOverShare(),
	}
}

// itemToWire converts an item. Its times are sent as durations, since the clocks of
// two relays may differ.
func itemToWire(it *batch.Item, now time.Time) *Item {
	return &Item{
		Request: it.Request, Stage: uint32(it.Stage), Index: uint32(it.Index), Key: it.Key, Inputs: it.Inputs,
		Chain: it.Chain, Bytes: it.ResultBytes, Cross: it.CrossZoneBytes, Holds: it.FreesMemory, Zone: it.Zone, GiveUpUs: it.StartBy.Sub(now).Microseconds(),
		DueUs: it.Due.Sub(now).Microseconds(), DeadlineUs: it.Deadline.Sub(now).Microseconds(), Team: it.Team,
	}
}

func itemFromWire(w *Item, now time.Time) *batch.Item {
	return &batch.Item{
		Request: w.GetRequest(), Stage: int(w.GetStage()), Index: int(w.GetIndex()), Key: w.GetKey(),
		Inputs: w.GetInputs(), Chain: w.GetChain(), ResultBytes: w.GetBytes(), CrossZoneBytes: w.GetCross(), FreesMemory: w.GetHolds(),
		Zone: w.GetZone(), EnqueuedAt: now, Team: w.GetTeam(),
		StartBy:  now.Add(time.Duration(w.GetGiveUpUs()) * time.Microsecond),
		Due:      now.Add(time.Duration(w.GetDueUs()) * time.Microsecond),
		Deadline: now.Add(time.Duration(w.GetDeadlineUs()) * time.Microsecond),
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
	if !p.Contact.Since.IsZero() {
		w.SinceMs = now.Sub(p.Contact.Since).Milliseconds() + 1 // 0 has another meaning
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
	if w.GetSinceMs() > 0 {
		p.Contact.Since = now.Add(-time.Duration(w.GetSinceMs()) * time.Millisecond)
	}
	if w.GetOutage() {
		p.OutageEnd = now.Add(-time.Duration(w.GetOutageMs()) * time.Millisecond)
	}
	return p
}

// OriginToWire converts the origin of a stream.
func OriginToWire(stream string, o origin.Origin) *StreamOrigin {
	return &StreamOrigin{Stream: stream, Service: o.Service, Version: o.Version, Endpoint: o.Presumed.Endpoint, Incarnation: o.Presumed.StartUnixMs}
}

// wireOrigin is a message that names the origin of a stream.
type wireOrigin interface {
	GetService() string
	GetVersion() string
	GetEndpoint() string
	GetIncarnation() int64
}

// OriginFromWire is the inverse of OriginToWire.
func OriginFromWire(w wireOrigin) origin.Origin {
	o := origin.Origin{Service: w.GetService(), Version: w.GetVersion()}
	if w.GetEndpoint() != "" {
		o.Presumed = origin.Incarnation{Endpoint: w.GetEndpoint(), StartUnixMs: w.GetIncarnation()}
	}
	return o
}

// AnswerToWire converts the answer to a request.
func AnswerToWire(r *OriginRequest, a origin.Answer) *OriginReply {
	w := OriginToWire(r.GetStream(), a.Origin)
	return &OriginReply{
		Number: r.GetNumber(), Known: a.Known, Service: w.GetService(), Version: w.GetVersion(),
		Endpoint: w.GetEndpoint(), Incarnation: w.GetIncarnation(),
		SinceMs: a.Since.Milliseconds() + 1, // 0 has another meaning
	}
}

// AnswerFromWire is the inverse of AnswerToWire.
func AnswerFromWire(w *OriginReply) origin.Answer {
	return origin.Answer{Known: w.GetKnown(), Origin: OriginFromWire(w), Since: time.Duration(w.GetSinceMs()) * time.Millisecond}
}
