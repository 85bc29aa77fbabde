package place

import (
	"slices"
	"time"
)

const (
	// rejectionWindow is the time over which placed and rejected requests are
	// counted.
	rejectionWindow = 10 * time.Second
	// minRetryAfter and maxRetryAfter bound the time after which a rejected
	// caller may retry. Some runs end within the lower bound, and the load
	// further ahead than the upper bound can't be predicted.
	minRetryAfter = 2 * time.Second
	maxRetryAfter = 15 * time.Second
	// retriesPerRejection is the number of further requests expected for each
	// rejected one: the caller retries, and so does another caller whose
	// capacity the retry takes.
	retriesPerRejection = 2
)

// rejectionRate estimates when a rejected caller may retry, from the placements
// and rejections in rejectionWindow. A rejection here is a Full choice of Pick, not
// a Result of Rejected, by which a server rejects a request that was placed there.
// The estimate is meant for sustained overload, in which callers that were
// rejected earlier retry too and take free capacity first.
type rejectionRate struct {
	// placed is by the failure domain of the server.
	placed   map[string][]time.Time
	rejected []time.Time
}

// count records a request that was placed in a failure domain, or rejected if full is set.
func (r *rejectionRate) count(now time.Time, domain string, full bool) {
	if full {
		r.rejected = append(recent(now, r.rejected), now)
		return
	}
	if r.placed == nil {
		r.placed = map[string][]time.Time{}
	}
	r.placed[domain] = append(recent(now, r.placed[domain]), now)
}

// retryAfter returns the time until there will probably be capacity, if requests
// go on being placed at the recent rate. If none was placed recently, the time
// grows by a second with each rejection.
func (r *rejectionRate) retryAfter(now time.Time) time.Duration {
	r.rejected = recent(now, r.rejected)
	placed := 0
	for domain, list := range r.placed {
		r.placed[domain] = recent(now, list)
		placed += len(r.placed[domain])
	}
	if placed == 0 {
		return min(minRetryAfter+time.Duration(len(r.rejected))*time.Second, maxRetryAfter)
	}
	return min(minRetryAfter+retriesPerRejection*rejectionWindow*time.Duration(len(r.rejected))/time.Duration(placed), maxRetryAfter)
}

// recent drops the times older than rejectionWindow from list, which is in
// ascending order.
func recent(now time.Time, list []time.Time) []time.Time {
	i := slices.IndexFunc(list, func(at time.Time) bool { return now.Sub(at) < rejectionWindow })
	if i < 0 {
		return list[:0]
	}
	return slices.Delete(list, 0, i)
}
