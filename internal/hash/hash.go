// Package hash provides the keyed and unkeyed hash functions for identifiers and for placement.
package hash

import (
	"crypto/sha256"
	"encoding/binary"
	"io"

	"github.com/cespare/xxhash/v2"
	"github.com/zeebo/blake3"
)

// Size is the length of a keyed hash in bytes.
const Size = 32

// Key is the secret key of a keyed hash.
type Key [Size]byte

// Derive derives the key for one purpose from a secret of any length.
func Derive(purpose string, secret []byte) Key {
	var key Key
	blake3.DeriveKey("rillreach 2026 "+purpose, secret, key[:])
	return key
}

// Keyed returns the keyed hash of a list of parts. Part boundaries are included, so that different lists with the same
// concatenation have different hashes.
func Keyed(key Key, parts ...[]byte) [Size]byte {
	h, err := blake3.NewKeyed(key[:])
	if err != nil {
		panic(err) // the key's length is fixed by its type
	}
	writeParts(h, parts)
	var sum [Size]byte
	h.Sum(sum[:0])
	return sum
}

// Digest returns a collision-resistant hash of a list of parts without a key. Part boundaries are included as in Keyed.
// For 2 KB of input it takes a seventh of the time of Keyed, which also allocates 11 KB.
func Digest(parts ...[]byte) [sha256.Size]byte {
	h := sha256.New()
	writeParts(h, parts)
	var sum [sha256.Size]byte
	h.Sum(sum[:0])
	return sum
}

// writeParts writes each part, preceded by its length.
func writeParts(h io.Writer, parts [][]byte) {
	var length [8]byte
	for _, part := range parts {
		binary.LittleEndian.PutUint64(length[:], uint64(len(part)))
		_, _ = h.Write(length[:])
		_, _ = h.Write(part)
	}
}

// String hashes a string for placement. It is not collision-resistant, which placement doesn't need.
func String(s string) uint64 {
	return xxhash.Sum64String(s)
}

// Mix combines two placement hashes into one that is evenly distributed.
func Mix(a, b uint64) uint64 {
	x := a ^ (b + 0x9e3779b97f4a7c15 + (a << 6) + (a >> 2))
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ (x >> 31)
}
