package deduplicator

import (
	"crypto/sha256"
	"encoding/binary"
	"strconv"
)

// JoinKey returns the registry key for a team's idempotency key. It starts with the
// length of the team name, so that different pairs never give the same key,
// whatever characters they contain.
func JoinKey(team, key string) string {
	return strconv.Itoa(len(team)) + ":" + team + "/" + key
}

// Fingerprint returns the SHA-256 hash of a request, which reveals the reuse of a
// key for a different request. Each part is preceded by its length in bytes. The
// target is the path with its query.
func Fingerprint(method, target string, body []byte) []byte {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(target), body} {
		// Writes to a hash never fail.
		_ = binary.Write(h, binary.BigEndian, uint64(len(part)))
		_, _ = h.Write(part)
	}
	return h.Sum(nil)
}
