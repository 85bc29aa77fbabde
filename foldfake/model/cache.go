package model

// prefixCache remembers the most recently used prompt prefixes in the memory
// that running generations leave free. The zero value is empty.
type prefixCache struct {
	// entries is ordered from least to most recently used.
	entries []cacheEntry
	// size is the sum of the entries' tokens.
	size int
}

type cacheEntry struct {
	prefix string
	tokens int
}

// touch reports whether the prefix is cached and marks it as just used.
func (c *prefixCache) touch(prefix string) bool {
	for i, e := range c.entries {
		if e.prefix != prefix {
			continue
		}
		copy(c.entries[i:], c.entries[i+1:])
		c.entries[len(c.entries)-1] = e
		return true
	}
	return false
}

func (c *prefixCache) store(prefix string, tokens int) {
	c.entries = append(c.entries, cacheEntry{prefix, tokens})
	c.size += tokens
}

// shrink evicts the least recently used prefixes until the rest fits into
// the given number of tokens.
func (c *prefixCache) shrink(tokens int, evicted func(prefix string)) {
	for len(c.entries) > 0 && c.size > tokens {
		e := c.entries[0]
		c.entries = c.entries[1:]
		c.size -= e.tokens
		evicted(e.prefix)
	}
}
