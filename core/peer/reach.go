package peer

// ReachesHalf reports whether this relay reaches at least half of the others, as far as
// its links show: members to which it has no link count in the proportion in which its
// links to their zone are up, and as not reached if it has none to the zone. Members that have fallen silent count for as long
// as they are remembered, those that have left don't.
func (g *Group) ReachesHalf() bool {
	type zone struct{ size, up, down int }
	zones := make(map[string]zone)
	linked := make(map[string]bool) // addresses
	for _, s := range g.members {
		if s.up {
			linked[s.Addr] = true
		}
	}
	add := func(name, addr string, up, down bool) {
		z := zones[name]
		switch {
		case up:
			z.up++
		case down && linked[addr]:
			return // another one has its place
		case down:
			z.down++
		}
		z.size++
		zones[name] = z
	}
	for _, s := range g.members {
		if !s.leaving {
			add(s.Zone, s.Addr, s.up, s.silent)
		}
	}
	for _, t := range g.tombstones {
		if !t.left {
			add(t.zone, t.addr, false, true)
		}
	}
	reached, total := 0.0, 0
	for _, z := range zones {
		if n := z.up + z.down; n > 0 {
			reached += float64(z.size) * float64(z.up) / float64(n)
		}
		total += z.size
	}
	return 2*reached >= float64(total)
}
