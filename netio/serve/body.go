package serve

import (
	"bytes"
	"context"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/semaphore"
)

// freeSize is the size in bytes up to which a request doesn't count: usual requests are
// read whatever the large ones take.
const freeSize = maxHeader

// bodyWait bounds the time that a request waits for memory.
const bodyWait = time.Second

// bodyRetryAfter is the Retry-After time of a request that has found no memory.
const bodyRetryAfter = time.Second

// errNoMemory ends the connection of a request that has found no memory.
var errNoMemory = eris.New("no memory for the request's body beside those of other requests")

// bodies is the memory for the requests in progress, in bytes. Requests take from it in the
// order in which they ask. The zero value has no limit.
type bodies struct{ free *semaphore.Weighted }

func newBodies(limit int) bodies {
	if limit <= 0 {
		return bodies{}
	}
	return bodies{free: semaphore.NewWeighted(int64(limit))}
}

// take takes memory, for which it waits at most bodyWait. It reports false if there is none.
func (b bodies) take(n int) bool {
	if b.free == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), bodyWait)
	defer cancel()
	return b.free.Acquire(ctx, int64(n)) == nil
}

// give returns memory that take has taken.
func (b bodies) give(n int) {
	if b.free != nil {
		b.free.Release(int64(n))
	}
}

// takeMemory takes the memory that the request needs of which received bytes have come. A
// request that states its length takes all at once, so that none waits for another one that
// holds only a part. It reports false if there is no memory.
func (c *limitedConn) takeMemory() bool {
	need := c.received - freeSize
	if need <= c.held {
		return true
	}
	all := min(c.stated, c.maxRequest-freeSize)
	if need > all {
		// It states no length, or a false one.
		all = c.maxRequest - freeSize
	}
	if !c.bodies.take(all - c.held) {
		return false
	}
	c.held = all
	return true
}

// keepMemory returns what a request has taken beyond size, which is the memory that it needs
// from now on.
func (c *limitedConn) keepMemory(size int) {
	if c.held > size {
		c.bodies.give(c.held - size)
		c.held = size
	}
}

// statedLength returns the value of the first Content-Length field in the head of a request,
// of which b is the beginning, or zero if there is none in b.
func statedLength(b []byte) int {
	const name = "content-length:"
	for line := range bytes.Lines(b) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			return 0
		}
		if len(line) < len(name) || !bytes.EqualFold(line[:len(name)], []byte(name)) {
			continue
		}
		n, err := strconv.ParseUint(string(bytes.TrimSpace(line[len(name):])), 10, 31)
		if err != nil {
			return 0 // The parser of the request rejects it.
		}
		return int(n)
	}
	return 0
}
