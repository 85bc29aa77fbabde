package origin

import "strings"

// malformed are responses whose heads HTTP does not allow, to the request with the ID %s.
var malformed = []string{
	"HTTP/1.1 000 OK\r\nFold-Request-Id: %s\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\nFold-Request-Id: %s\r\nX-Bad Name: 1\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\nFold-Request-Id: %s\r\nX-\x01Bad: 1\r\nContent-Length: 4\r\n\r\nbody",
	"HTTP/1.1 200 OK\r\nFold-Request-Id: %s\r\nTransfer-Encoding : chunked\r\nContent-Length: 14\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"HTTP/1.1 503 Service Unavailable\r\nFold-Request-Id: %s\r\nFold-Not-Run: 1\r\nX-Bad Name: 1\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 200 O\x01K\r\nFold-Request-Id: %s\r\nContent-Length: 4\r\n\r\nbody",
}

// Malformed returns a response to the request with the given ID whose head HTTP does not allow.
// n says which one.
func Malformed(id string, n int) string {
	return strings.ReplaceAll(malformed[n%len(malformed)], "%s", id)
}
