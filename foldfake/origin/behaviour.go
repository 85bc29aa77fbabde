package origin

import "time"

// Behaviour says how the server handles one request. The zero value answers with
// status 200 and an empty body.
type Behaviour struct {
	Status int
	Body   string
	// Delay is the time before the response.
	Delay time.Duration
	// NotRun answers with status 503 and the header that says the request did not
	// run.
	NotRun bool
	// CloseDelimited sends the body without a Content-Length or chunks and closes
	// the connection after it.
	CloseDelimited bool
	// TruncateAt, if positive, closes the connection after that many bytes of the
	// body, or in the middle of the event with that number. Reset makes the close a
	// TCP reset, except after a stream of events. CleanEnd ends a chunked stream with
	// its final chunk there.
	TruncateAt int
	Reset      bool
	CleanEnd   bool
	// ExtraResponse sends a response with a wrong request ID before the correct one.
	ExtraResponse bool
	// Raw, if not empty, holds the bytes of the response. The connection stays open, unless
	// Drop is set.
	Raw string
	// Before holds bytes that are sent ahead of the response.
	Before string
	// RespondEarly sends the response before the request body has been read.
	// LastRequest doesn't return such a request.
	RespondEarly bool
	// HalfClose, with RespondEarly, closes the server's side of the connection after the
	// response.
	HalfClose bool
	// ResetEarly sends the response, or its first TruncateAt bytes, before the request body has
	// been read, and resets the connection ResetAfter later.
	ResetEarly bool
	ResetAfter time.Duration
	// StopReading, with either of them, leaves the rest of the request body unread.
	StopReading bool
	// Hang keeps the connection open without a response. Drop closes it without a
	// response.
	Hang bool
	Drop bool
	// rateLimit is the rate limit that the response names, empty for none.
	rateLimit string
	// Leaving names the part of the response that says that the server is leaving, empty
	// for none. RetryAfter is the value of the Retry-After header, empty for none.
	Leaving    Part
	RetryAfter string
	// Endless, if set, answers with bytes without end in a part of the response, until the
	// connection is closed.
	Endless Endless
	// CrashTruncated closes the server and all its connections at TruncateAt. Listening goes
	// on for CrashLinger after the connection of the request has been closed.
	CrashTruncated bool
	CrashLinger    time.Duration
	// LateEvents is the number of events that a run still sends after StopRun has returned,
	// LateBy later.
	LateEvents int
	LateBy     time.Duration
	// CrashAfter, if positive, closes the server and all its connections after that
	// many events of a stream.
	CrashAfter int
	// Crash sends the header and half of the first event of a stream, and then
	// closes the server and all its connections.
	Crash bool
	// CrashUnanswered closes the server and all its connections without a response.
	CrashUnanswered bool
	// Events, if positive, answers with a stream of that many events, with a pause
	// of Gap before each.
	Events int
	Gap    time.Duration
	// IgnorePosition starts a stream with event 1 also if the request has Last-Event-Id.
	IgnorePosition bool
	// Unreachable, with Hang or Hold, stops listening, and keeps the connections open: so a
	// server that was cut off looks.
	Unreachable bool
	// Hold, if set, pauses a stream after event HoldAt until the channel is closed
	// or the run is stopped.
	Hold   <-chan struct{}
	HoldAt int
}
