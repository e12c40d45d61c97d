package prompt

// cache models the prompt parts that an engine has cached: the least recently used
// ones yield if they take up more than its memory. The zero value is empty.
type cache struct {
	parts map[uint64]*cachedPart
	used  int // tokens
	clock int // counts uses
}

type cachedPart struct {
	tokens int
	usedAt int // cache.clock at the last use
}

// prefix returns the tokens of a prompt's parts that are cached together with all
// parts before them.
func (c *cache) prefix(parts []Part) int {
	n := 0
	for _, p := range parts {
		if c.parts[p.ID] == nil {
			break
		}
		n += p.Tokens
	}
	return n
}

// add caches the parts of a prompt, and drops the least recently used parts while
// more than limit tokens are cached. A limit of 0 is none.
func (c *cache) add(parts []Part, limit int) {
	if c.parts == nil {
		c.parts = make(map[uint64]*cachedPart)
	}
	c.clock++
	for _, p := range parts {
		q := c.parts[p.ID]
		if q == nil {
			q = &cachedPart{tokens: p.Tokens}
			c.parts[p.ID] = q
			c.used += p.Tokens
		}
		q.usedAt = c.clock
	}
	for limit > 0 && c.used > limit && len(c.parts) > 0 {
		c.evict()
	}
}

// evict drops the least recently used part.
func (c *cache) evict() {
	var oldest uint64
	var q *cachedPart
	for id, p := range c.parts {
		if q == nil || p.usedAt < q.usedAt || (p.usedAt == q.usedAt && id < oldest) {
			oldest, q = id, p
		}
	}
	c.used -= q.tokens
	delete(c.parts, oldest)
}
