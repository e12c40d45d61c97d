package poison

import "time"

func encode(now time.Time, s Subject, r Record) *SubjectState {
	w := &SubjectState{Kind: string(s.Kind), Id: s.ID, Depth: uint32(r.depth)}
	for _, c := range r.crashes {
		w.Crashes = append(w.Crashes, &CrashState{
			Endpoint: c.Endpoint, Incarnation: c.Incarnation, Service: c.Service, BeganUs: now.Sub(c.BeganAt).Microseconds(), AgeUs: now.Sub(c.At).Microseconds(),
			Common: c.common.ids(), CommonTold: c.commonTold,
		})
	}
	if !r.soundAt.IsZero() {
		w.Sound, w.SoundUs = true, now.Sub(r.soundAt).Microseconds()
	}
	if !r.trialAt.IsZero() {
		w.Tried, w.TrialUs = true, now.Sub(r.trialAt).Microseconds()
	}
	return w
}

func decode(now time.Time, w *SubjectState) (Subject, Record) {
	ago := func(us int64) time.Time { return now.Add(-time.Duration(us) * time.Microsecond) }
	r := Record{}.WithDepth(int(w.GetDepth()))
	for _, c := range w.GetCrashes() {
		r = r.WithCrash(Crash{
			Endpoint: c.GetEndpoint(), Incarnation: c.GetIncarnation(), Service: c.GetService(), BeganAt: ago(c.GetBeganUs()), At: ago(c.GetAgeUs()),
			common: newIDSet(c.GetCommon()[:min(len(c.GetCommon()), maxCommon)]), commonTold: c.GetCommonTold(),
		})
	}
	if w.GetSound() {
		r = r.WithSound(ago(w.GetSoundUs()))
	}
	if w.GetTried() {
		r = r.WithTrial(ago(w.GetTrialUs()))
	}
	return Subject{Kind: Kind(w.GetKind()), ID: w.GetId()}, r
}
