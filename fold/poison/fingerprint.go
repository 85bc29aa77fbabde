package poison

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"
)

// fingerprintPrefix begins each fingerprint.
const fingerprintPrefix = "request:"

// fingerprintBytes is the length of the hash in a fingerprint.
const fingerprintBytes = 12

// Fingerprint returns a part that exactly the requests with the given fields have, such
// as the caller, the path and the body.
func Fingerprint(fields ...string) string {
	h := sha256.New()
	var length [8]byte
	for _, f := range fields {
		binary.LittleEndian.PutUint64(length[:], uint64(len(f)))
		h.Write(length[:])
		h.Write([]byte(f))
	}
	return fingerprintPrefix + hex.EncodeToString(h.Sum(nil)[:fingerprintBytes])
}

func isFingerprint(part string) bool { return strings.HasPrefix(part, fingerprintPrefix) }
