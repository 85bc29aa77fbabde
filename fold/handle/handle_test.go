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

func TestSignAndVerify(t *testing.T) {
	signed := testKey.Sign(testHandle())
	if h, err := testKey.Verify(signed, time.UnixMilli(1_000_000)); err != nil || h != testHandle() {
		t.Errorf("Verify before the expiry: got %+v, %v, want the handle that was signed", h, err)
	}
	if _, err := testKey.Verify(signed, time.UnixMilli(2_000_001)); !errors.Is(err, ErrExpired) {
		t.Errorf("after the expiry: got error %v, want ErrExpired", err)
	}
	if _, err := Key("another key here").Verify(signed, time.UnixMilli(0)); !errors.Is(err, ErrInvalidSignature) {
		t.Errorf("with another key: got error %v, want ErrInvalidSignature", err)
	}
	for i := range signed {
		b := []byte(signed)
		b[i] ^= 1
		if h, err := testKey.Verify(string(b), time.UnixMilli(0)); err == nil && h != testHandle() {
			t.Fatalf("with a bit flipped in byte %d: accepted as %+v", i, h)
		}
	}
}

// FuzzVerify checks that Verify doesn't panic on arbitrary input and accepts only
// the signed handle.
func FuzzVerify(f *testing.F) {
	f.Add(testKey.Sign(testHandle()))
	f.Add("")
	f.Add("QUJD")
	f.Fuzz(func(t *testing.T, s string) {
		h, err := testKey.Verify(s, time.UnixMilli(0))
		if err == nil && h != testHandle() {
			t.Errorf("accepted %+v, which was not signed", h)
		}
	})
}

// FuzzEventID checks that an accepted event ID yields the same handle and position
// after it is formatted and parsed again.
func FuzzEventID(f *testing.F) {
	f.Add("abc:3:ff")
	f.Add("::")
	f.Fuzz(func(t *testing.T, s string) {
		signed, p, err := ParseEventID(s)
		if err != nil {
			return
		}
		again, q, err := ParseEventID(EventID(signed, p))
		if err != nil || again != signed || q != p {
			t.Errorf("%q: parsed as %q %+v, after formatting as %q %+v, %v", s, signed, p, again, q, err)
		}
	})
}
