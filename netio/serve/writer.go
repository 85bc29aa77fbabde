package serve

import "net/http"

// flushAt is the number of bytes after which a response is flushed. nbhttp
// frees a response's buffer twice when it holds 64 KiB or more, after which
// two responses write into the same memory.
const flushAt = 32 << 10

// writer keeps less than flushAt bytes in nbhttp's buffer of a response.
type writer struct {
	http.ResponseWriter
	// pending counts the bytes written since the last flush, at most flushAt.
	pending int
}

// Write implements http.ResponseWriter.
func (w *writer) Write(b []byte) (int, error) {
	total := 0
	for len(b) > 0 {
		n, err := w.ResponseWriter.Write(b[:min(len(b), flushAt-w.pending)])
		total += n
		w.pending += n
		if err != nil {
			return total, err
		}
		b = b[n:]
		if w.pending >= flushAt {
			w.Flush()
		}
	}
	return total, nil
}

// Flush implements http.Flusher.
func (w *writer) Flush() {
	w.pending = 0
	if f, ok := w.ResponseWriter.(http.Flusher); ok {
		f.Flush()
	}
}
