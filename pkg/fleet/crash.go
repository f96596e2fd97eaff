package fleet

import (
	"crypto/sha256"
	"encoding/binary"
	"strconv"
	"time"
)

// Fingerprint tells that a request is one that came before: a client sends it again under
// another attempt ID, at any host.
type Fingerprint struct {
	// Content is a digest of what endpoints are asked to do, 0 if it is not known.
	Content uint64 `cbor:"1,keyasint"`
	// Caller is a digest of who asks.
	Caller uint64 `cbor:"2,keyasint"`
}

// NewFingerprint returns the fingerprint of a caller's request, given in parts. The digest is
// cryptographic: nobody can make a request that passes for another's.
func NewFingerprint(caller string, content ...string) Fingerprint {
	return Fingerprint{Content: digest(content...), Caller: digest(caller)}
}

func digest(parts ...string) uint64 {
	h := sha256.New()
	for _, p := range parts {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(p)))
		h.Write(size[:]) // A hash takes all bytes.
		h.Write([]byte(p))
	}
	return max(1, binary.BigEndian.Uint64(h.Sum(nil)))
}

// Hex is a digest as logs and keys show it.
func Hex(digest uint64) string { return strconv.FormatUint(digest, 16) }

// Crash says that an endpoint has ended while a request ran there.
type Crash struct {
	Request  Fingerprint `cbor:"1,keyasint"`
	Endpoint EndpointID  `cbor:"2,keyasint"`
	// Ago is how many milliseconds ago that was.
	Ago int64 `cbor:"3,keyasint,omitempty"`
}

// At returns the time that Ago means.
func (c Crash) At(now time.Time) time.Time {
	return now.Add(-time.Duration(c.Ago) * time.Millisecond)
}

// Block keeps a request from all endpoints, since it crashes those that run it.
type Block struct {
	Request BlockedRequest `cbor:"1,keyasint"`
	// Since is when that was found, in Unix seconds.
	Since int64 `cbor:"2,keyasint"`
	// Suspect requests may still run, once for each attempt of a client.
	Suspect bool `cbor:"3,keyasint,omitempty"`
}

// BlockedRequest names the requests that a block is for.
type BlockedRequest struct {
	Content uint64 `cbor:"1,keyasint"`
	// Caller is whose requests they are, AnyCaller if they came from several.
	Caller uint64 `cbor:"2,keyasint,omitempty"`
}

// AnyCaller in a block stands for all callers.
const AnyCaller = 0
