package deduplicator

import (
	"crypto/sha256"
	"encoding/binary"
	"strconv"
)

// JoinKey returns the registry key of a team's idempotency key. The length of
// the team name comes first, so that no two pairs give the same key, whatever
// characters they contain.
func JoinKey(team, key string) string {
	return strconv.Itoa(len(team)) + ":" + team + "/" + key
}

// Fingerprint returns the SHA-256 hash of a request, by which the reuse of a
// key for another request is found. Each part is preceded by its length in
// bytes. The target is the path with its query.
func Fingerprint(method, target string, body []byte) []byte {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(target), body} {
		// Writes to a hash never fail.
		_ = binary.Write(h, binary.BigEndian, uint64(len(part)))
		_, _ = h.Write(part)
	}
	return h.Sum(nil)
}
