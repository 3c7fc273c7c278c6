package operator

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
)

// keyPrefix marks keys, so that secret scanners recognise leaked ones in logs and
// repositories.
const keyPrefix = "hmx_"

// NewKey returns a random 256-bit key in the form of a bearer token.
func NewKey() string {
	var random [32]byte
	// Read never returns an error: it ends the process if the system provides no
	// random data.
	_, _ = rand.Read(random[:])
	return keyPrefix + base64.RawURLEncoding.EncodeToString(random[:])
}

// HashKey returns the SHA-256 hash of the key, including its prefix, in
// hexadecimal digits.
func HashKey(key string) string {
	hash := sha256.Sum256([]byte(key))
	return hex.EncodeToString(hash[:])
}
