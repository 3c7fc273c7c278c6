package operator

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
)

// keyPrefix lets scanners of logs and repositories recognise a leaked key.
const keyPrefix = "hmx_"

// NewKey returns a random 256-bit key as bearer tokens carry it.
func NewKey() string {
	var random [32]byte
	// It never fails: the process stops when the system has no randomness.
	_, _ = rand.Read(random[:])
	return keyPrefix + base64.RawURLEncoding.EncodeToString(random[:])
}

// HashKey returns the SHA-256 of the whole key, prefix included, in
// hexadecimal digits.
func HashKey(key string) string {
	hash := sha256.Sum256([]byte(key))
	return hex.EncodeToString(hash[:])
}
