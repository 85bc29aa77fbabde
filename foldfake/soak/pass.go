package soak

import (
	"bytes"
	"sync"
)

// passes holds, by request ID, the index of the VM that another VM has passed a request on to
// last, and that sends it to the backend servers. The zero value is empty. It is safe for
// concurrent use.
type passes struct {
	mu sync.Mutex
	to map[string]int
}

// note records that a request is passed on to a VM.
func (p *passes) note(id string, vm int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.to == nil {
		p.to = map[string]int{}
	}
	if p.to[id] != manySenders {
		p.to[id] = vm
	}
}

// manySenders stands for the sender of a request that its caller sends to several VMs.
const manySenders = -1

// resent records that a request is sent to another VM by its caller.
func (p *passes) resent(id string) { p.note(id, manySenders) }

// sender returns the index of the VM that sends a request to the backend servers.
func (p *passes) sender(id string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	if vm, passed := p.to[id]; passed {
		return vm
	}
	return vmOf(id)
}

// What the head of a request that a VM passes on has, with the fields in this order.
var (
	passLine    = []byte("\r\nFold-Peer-Vm: ")
	requestLine = []byte("\r\n" + headerRequest + ": ")
	headEnd     = []byte("\r\n\r\n")
)

// maxPassHead is above the size in bytes of any head that callers of the soak cause.
const maxPassHead = 64 << 10

// passReader finds the requests that another VM passes on, in what it sends on a connection.
type passReader struct {
	// rest is the part of what was read that may belong to a head not yet complete.
	rest []byte
}

// read returns the IDs of the requests whose heads are complete with a piece.
func (p *passReader) read(piece []byte) []string {
	var ids []string
	p.rest = append(p.rest, piece...)
	for {
		start := bytes.Index(p.rest, passLine)
		if start < 0 {
			p.keep(len(passLine) - 1)
			return ids
		}
		p.rest = p.rest[start:]
		head, after, whole := bytes.Cut(p.rest, headEnd)
		if !whole {
			p.keep(maxPassHead)
			return ids
		}
		if _, value, found := bytes.Cut(head, requestLine); found {
			id, _, _ := bytes.Cut(value, headEnd[:2])
			ids = append(ids, string(id))
		}
		p.rest = after
	}
}

// keep drops all but the last n bytes.
func (p *passReader) keep(n int) {
	p.rest = bytes.Clone(p.rest[max(len(p.rest)-n, 0):])
}
