package prompt_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"wigeonplank.example/core/prompt"
)

// TestColdPromptsAfterOwnerLost guards against prompts that are read again, because the
// owner of a pool is lost again and again, and each new one, which knows nothing of cached
// parts, finds another engine for them than the last.
func TestColdPromptsAfterOwnerLost(t *testing.T) {
	const (
		engineCount = 11
		subjects    = 60
		partTokens  = 13_000
		ownTokens   = 3_700
		readRate    = 60.0 // tokens per millisecond
		perSecond   = 10
		lostEvery   = 6 * time.Second
	)
	rng := rand.New(rand.NewPCG(3, 4))
	engines := make([]prompt.Engine, 0, engineCount)
	for i := range engineCount {
		engines = append(engines, prompt.Engine{ID: fmt.Sprint("e", i), Slots: 64, CacheTokens: 600_000})
	}
	type event struct {
		at time.Time
		id string
	}
	var (
		board      *prompt.Board
		pending    []event
		freeAt     = make(map[string]time.Time)       // when an engine has read what it has
		cached     = make(map[string]map[uint64]bool) // parts by engine
		seen       = make(map[uint64]bool)
		known      int // requests whose part some engine has cached
		readAgain  int // of them, those at another engine
		start      = time.UnixMilli(1_700_000_000_000)
		nextLossAt = start
	)
	for now := start; now.Before(start.Add(60 * time.Second)); now = now.Add(time.Millisecond) {
		if !now.Before(nextLossAt) {
			board, pending, nextLossAt = &prompt.Board{}, nil, now.Add(lostEvery)
		}
		for len(pending) > 0 && !pending[0].at.After(now) {
			board.Start(now, pending[0].id)
			board.End(now, pending[0].id)
			pending = pending[1:]
		}
		if rng.Float64() >= perSecond/1000.0 {
			continue
		}
		part := uint64(rng.IntN(subjects) + 1)
		id := fmt.Sprint(now.UnixNano())
		c, ok := board.Place(now, engines, prompt.Request{
			ID: id, Parts: []prompt.Part{{ID: part, Tokens: partTokens}, {ID: rng.Uint64(), Tokens: ownTokens}}, PromptTokens: partTokens + ownTokens, OutputTokens: 100,
		})
		if !ok {
			t.Fatal("no engine")
		}
		unread := ownTokens
		if !cached[c.Engine.ID][part] {
			unread += partTokens
		}
		if seen[part] {
			known++
			if !cached[c.Engine.ID][part] {
				readAgain++
			}
		}
		seen[part] = true
		if cached[c.Engine.ID] == nil {
			cached[c.Engine.ID] = make(map[uint64]bool)
		}
		cached[c.Engine.ID][part] = true
		begin := freeAt[c.Engine.ID]
		if begin.Before(now) {
			begin = now
		}
		end := begin.Add(time.Duration(float64(unread) / readRate * float64(time.Millisecond)))
		freeAt[c.Engine.ID] = end
		pending = append(pending, event{end, id})
		slices.SortFunc(pending, func(a, b event) int { return a.at.Compare(b.at) })
	}
	if share := float64(readAgain) / float64(known); share > 0.1 {
		t.Errorf("%.3f of %d parts were read again at another engine", share, known)
	}
}
