package serve

import "net/http"

// flushThreshold is the number of bytes after which a response is flushed. nbhttp
// frees a response buffer of 64 KiB or more twice, after which two responses
// share the same memory.
const flushThreshold = 32 << 10

// writer keeps nbhttp's buffer of a response below flushThreshold bytes by
// flushing it.
type writer struct {
	http.ResponseWriter
	// pending is the number of bytes written since the last flush, at most
	// flushThreshold.
	pending int
	caller  *Caller
}

// Write implements http.ResponseWriter.
func (w *writer) Write(b []byte) (int, error) {
	total := 0
	for len(b) > 0 {
		n, err := w.ResponseWriter.Write(b[:min(len(b), flushThreshold-w.pending)])
		total += n
		w.pending += n
		w.caller.written += int64(n)
		if err != nil {
			return total, err
		}
		b = b[n:]
		if w.pending >= flushThreshold {
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
