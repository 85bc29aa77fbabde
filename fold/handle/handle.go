// Package handle signs and verifies the opaque handles with which any entry VM,
// that is, any VM that accepts requests from callers, can resume a generation. A
// handle carries all that the VM needs, so the VMs share no store.
package handle

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"
)

// ErrInvalidSignature is returned for a handle that was not signed with the key.
var ErrInvalidSignature = errors.New("handle is not genuine")

// ErrExpired is returned for a handle past its expiry.
var ErrExpired = errors.New("handle has expired")

// ErrMalformed is returned for an event ID or handle content that can't be
// parsed.
var ErrMalformed = errors.New("event ID is malformed")

// MaxEventID is the maximum length of an event ID in bytes. Longer ones are
// rejected without being parsed.
const MaxEventID = 1024

// macSize is the length in bytes of the truncated HMAC-SHA-256.
const macSize = 16

// Handle identifies one generation at one engine.
type Handle struct {
	Backend    string
	Addr       netip.AddrPort
	Generation string
	Workspace  string
	Class      string
	Expires    time.Time
}

// Position is the point in a generation's answer up to which the caller has
// received it.
type Position struct {
	// Offset is the number of tokens delivered.
	Offset int
	// Sum is the CRC-32C of their text.
	Sum uint32
}

// Key signs and verifies handles. All entry VMs of a deployment share it.
type Key []byte

// Sign returns the opaque signed form of h. Its contents are not encrypted.
func (k Key) Sign(h Handle) string {
	b := appendString(nil, h.Backend)
	b = appendString(b, h.Addr.String())
	b = appendString(b, h.Generation)
	b = appendString(b, h.Workspace)
	b = appendString(b, h.Class)
	b = binary.AppendVarint(b, h.Expires.UnixMilli())
	b = append(b, k.mac(b)...)
	return base64.RawURLEncoding.EncodeToString(b)
}

// Verify checks the signature and expiry of a signed handle and returns its
// contents. It returns an error that wraps ErrInvalidSignature, ErrMalformed or
// ErrExpired.
func (k Key) Verify(signed string, now time.Time) (Handle, error) {
	b, err := base64.RawURLEncoding.DecodeString(signed)
	if err != nil || len(b) < macSize {
		return Handle{}, fmt.Errorf("open handle: %w", ErrInvalidSignature)
	}
	body, mac := b[:len(b)-macSize], b[len(b)-macSize:]
	if !hmac.Equal(mac, k.mac(body)) {
		return Handle{}, fmt.Errorf("open handle: %w", ErrInvalidSignature)
	}
	h, err := decode(body)
	if err != nil {
		return Handle{}, fmt.Errorf("open handle: %w", err)
	}
	if now.After(h.Expires) {
		return Handle{}, fmt.Errorf("open handle: %w", ErrExpired)
	}
	return h, nil
}

func (k Key) mac(b []byte) []byte {
	m := hmac.New(sha256.New, k)
	m.Write(b)
	return m.Sum(nil)[:macSize]
}

func decode(b []byte) (Handle, error) {
	var h Handle
	var addr string
	for _, f := range []*string{&h.Backend, &addr, &h.Generation, &h.Workspace, &h.Class} {
		var ok bool
		if *f, b, ok = cutString(b); !ok {
			return Handle{}, ErrMalformed
		}
	}
	ms, n := binary.Varint(b)
	if n <= 0 {
		return Handle{}, ErrMalformed
	}
	a, err := netip.ParseAddrPort(addr)
	if err != nil {
		return Handle{}, ErrMalformed
	}
	h.Addr = a
	h.Expires = time.UnixMilli(ms)
	return h, nil
}

func appendString(b []byte, s string) []byte {
	b = binary.AppendUvarint(b, uint64(len(s)))
	return append(b, s...)
}

// cutString splits a length-prefixed string off the front of b. It returns the
// string and the remaining bytes, and false if b is malformed.
func cutString(b []byte) (string, []byte, bool) {
	size, n := binary.Uvarint(b)
	if n <= 0 || size > uint64(len(b)-n) {
		return "", nil, false
	}
	end := n + int(size)
	return string(b[n:end]), b[end:], true
}

// EventID returns the event ID for a signed handle and a position.
func EventID(signed string, p Position) string {
	return signed + ":" + strconv.Itoa(p.Offset) + ":" + strconv.FormatUint(uint64(p.Sum), 16)
}

// ParseEventID splits an event ID into its signed handle and its position. It does
// not verify the handle. Its errors wrap ErrMalformed.
func ParseEventID(id string) (string, Position, error) {
	if len(id) > MaxEventID {
		return "", Position{}, fmt.Errorf("event ID of %d bytes: %w", len(id), ErrMalformed)
	}
	parts := strings.Split(id, ":")
	if len(parts) != 3 {
		return "", Position{}, ErrMalformed
	}
	offset, err := strconv.Atoi(parts[1])
	if err != nil || offset < 0 {
		return "", Position{}, fmt.Errorf("offset: %w", ErrMalformed)
	}
	sum, err := strconv.ParseUint(parts[2], 16, 32)
	if err != nil {
		return "", Position{}, fmt.Errorf("checksum: %w", ErrMalformed)
	}
	return parts[0], Position{Offset: offset, Sum: uint32(sum)}, nil
}
