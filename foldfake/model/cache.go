package model

// prefixCache is an LRU cache of prompt prefixes in the memory that running
// generations don't use. The zero value is empty and ready to use.
type prefixCache struct {
	// entries is ordered from least to most recently used.
	entries []cacheEntry
	// size is the sum of tokens over entries.
	size int
}

type cacheEntry struct {
	prefix string
	tokens int
}

// touch reports whether the prefix is cached, and marks it as most recently
// used.
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

// store adds a prefix that is not cached. The caller must call shrink
// afterwards.
func (c *prefixCache) store(prefix string, tokens int) {
	c.entries = append(c.entries, cacheEntry{prefix, tokens})
	c.size += tokens
}

// shrink evicts the least recently used prefixes until the cache's size is at
// most the given number of tokens. It calls onEvict for each evicted prefix.
func (c *prefixCache) shrink(tokens int, onEvict func(prefix string)) {
	for len(c.entries) > 0 && c.size > tokens {
		e := c.entries[0]
		c.entries = c.entries[1:]
		c.size -= e.tokens
		onEvict(e.prefix)
	}
}
