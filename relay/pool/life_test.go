package pool

import (
	"testing"
	"time"
)

// Guards against a connection that counts as leading to the process that was there before
// its dial, without another connection that shows it, and against one for which this is
// shown and doesn't count.
func TestSince(t *testing.T) {
	at := func(s float64) time.Time { return started.Add(time.Duration(s * float64(time.Second))) }
	for _, test := range []struct {
		name  string
		lives [][2]float64 // first and last times, of which the last one's connection is asked
		want  float64
	}{
		{"alone", [][2]float64{{10, 11}}, 10},
		{"bytes after the dial", [][2]float64{{1, 10.5}, {10, 11}}, 1},
		{"no bytes since the dial", [][2]float64{{1, 9.5}, {10, 11}}, 10},
		{"over two others", [][2]float64{{1, 6}, {5, 10}, {9, 11}}, 1},
		{"a gap between the others", [][2]float64{{1, 4}, {5, 10}, {9, 11}}, 5},
	} {
		p := &Pool{lives: make(map[key][]*life)}
		var c *Conn
		for _, l := range test.lives {
			c = &Conn{life: &life{since: at(l[0])}}
			c.life.extend(at(l[1]))
			p.lives[key{}] = append(p.lives[key{}], c.life)
		}
		p.sweepLivesLocked(at(11 + lifeMemory.Seconds()))
		if got := p.Since(c); !got.Equal(at(test.want)) {
			t.Errorf("%s: since %s, want %s", test.name, got.Sub(started), at(test.want).Sub(started))
		}
	}
}
