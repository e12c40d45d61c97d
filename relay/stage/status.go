package stage

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"wigeonplank.example/core/batch"
)

// PoolStatus describes a pool of a shared stage service for people, as the admin address
// serves it.
type PoolStatus struct {
	Service    string   `json:"service"`
	Zone       string   `json:"zone"`         // empty: all zones
	Owned      bool     `json:"owned"`        // whether this relay alone schedules the pool's items
	Items      int      `json:"items"`        // queued and in flight
	DelayMs    float64  `json:"delay_ms"`     // recent mean time from queue to result; 0: not measured
	DelayAgeMs float64  `json:"delay_age_ms"` // time since the last of these results
	OverShare  []string `json:"over_share"`   // the largest teams that use more than an equal share while the pool is crowded
}

// Shares describes the pools of the shared stage services in the view, by service and
// zone. What it tells of a pool that another relay owns is what that relay reported last.
func (r *Runner) Shares() []PoolStatus {
	out := []PoolStatus{}
	v := r.View()
	if v.Config == nil {
		return out
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	seen := make(map[string]bool)
	for _, e := range v.All() {
		svc := v.Config.Service(e.Service)
		if seen[e.Service] || svc == nil || svc.Batch == nil || !r.Health.SharesStage(v.Config, e.Service) {
			continue
		}
		seen[e.Service] = true
		for _, c := range r.poolChoices(v, e.Service) {
			p := batch.Pool{Service: e.Service, Zone: c.Zone}
			report := r.report(p)
			out = append(out, PoolStatus{
				Service: p.Service, Zone: p.Zone, Owned: r.Peers.Owns(p), Items: report.Items,
				DelayMs:    float64(report.Delay) / float64(time.Millisecond),
				DelayAgeMs: float64(report.DelayAge) / float64(time.Millisecond),
				OverShare:  append([]string{}, report.OverShare...),
			})
		}
	}
	slices.SortFunc(out, func(x, y PoolStatus) int {
		return cmp.Or(strings.Compare(x.Service, y.Service), strings.Compare(x.Zone, y.Zone))
	})
	return out
}
