package handle

import (
	"errors"
	"net/netip"
	"testing"
	"time"
)

var testKey = Key("0123456789abcdef")

func testHandle() Handle {
	return Handle{
		Backend: "e1", Addr: netip.MustParseAddrPort("127.0.0.1:9000"), Generation: "abc",
		Workspace: "w", Class: "summary", Expires: time.UnixMilli(2_000_000),
	}
}

func TestSealAndOpen(t *testing.T) {
	sealed := testKey.Sign(testHandle())
	if h, err := testKey.Verify(sealed, time.UnixMilli(1_000_000)); err != nil || h != testHandle() {
		t.Errorf("got %+v, %v", h, err)
	}
	if _, err := testKey.Verify(sealed, time.UnixMilli(2_000_001)); !errors.Is(err, ErrExpired) {
		t.Errorf("late: %v", err)
	}
	if _, err := Key("another key here").Verify(sealed, time.UnixMilli(0)); !errors.Is(err, ErrInvalidSignature) {
		t.Errorf("another key: %v", err)
	}
	for i := range sealed {
		b := []byte(sealed)
		b[i] ^= 1
		if h, err := testKey.Verify(string(b), time.UnixMilli(0)); err == nil && h != testHandle() {
			t.Fatalf("a change at %d was taken as %+v", i, h)
		}
	}
}

// FuzzOpen opens anything: nothing but what was sealed is accepted, and
// nothing panics.
func FuzzOpen(f *testing.F) {
	f.Add(testKey.Sign(testHandle()))
	f.Add("")
	f.Add("QUJD")
	f.Fuzz(func(t *testing.T, s string) {
		h, err := testKey.Verify(s, time.UnixMilli(0))
		if err == nil && h != testHandle() {
			t.Errorf("accepted %+v", h)
		}
	})
}

// FuzzEventID parses anything: what is accepted has one form only.
func FuzzEventID(f *testing.F) {
	f.Add("abc:3:ff")
	f.Add("::")
	f.Fuzz(func(t *testing.T, s string) {
		sealed, p, err := ParseEventID(s)
		if err != nil {
			return
		}
		again, q, err := ParseEventID(EventID(sealed, p))
		if err != nil || again != sealed || q != p {
			t.Errorf("%q: %q %+v, then %q %+v, %v", s, sealed, p, again, q, err)
		}
	})
}
