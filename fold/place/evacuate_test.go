package place

import (
	"testing"
	"time"
)

// TestRetryAfterWithoutEvacuatedCapacity guards against a time to retry that counts on
// servers which get no more requests.
func TestRetryAfterWithoutEvacuatedCapacity(t *testing.T) {
	var p Placer
	for i := range 100 {
		domain := "a"
		if i%4 > 0 {
			domain = "b"
		}
		p.rejections.count(now, domain, i%10 == 9)
	}
	before := p.rejections.retryAfter(now)
	p.ForgetPlacements(func(domain string) bool { return domain == "b" })
	after := p.rejections.retryAfter(now)
	if before >= 5*time.Second || after <= 2*before {
		t.Errorf("retry after %v before the evacuation and %v after it, want much more", before, after)
	}
}
