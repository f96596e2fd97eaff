package fleet

import (
	"cmp"
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
	// Copy tells the copies of a request apart that ran there; 0 if that is not known.
	Copy CopyID `cbor:"4,keyasint,omitempty"`
}

// CopyID is a digest of an attempt's ID, never 0.
type CopyID uint32

// NewCopyID returns the digest of an attempt's ID.
func NewCopyID(attempt string) CopyID { return CopyID(max(1, uint32(digest(attempt)))) }

// At returns the time that Ago means.
func (c Crash) At(now time.Time) time.Time {
	return now.Add(-time.Duration(c.Ago) * time.Millisecond)
}

// Block keeps a request from all endpoints, since it crashes those that run it.
type Block struct {
	Request BlockedRequest `cbor:"1,keyasint"`
	// Since is when that was found, in Unix seconds.
	Since int64 `cbor:"2,keyasint"`
	// Suspect requests are not blocked: they are on trial, and run one copy at a time.
	Suspect bool  `cbor:"3,keyasint,omitempty"`
	Trial   Trial `cbor:"4,keyasint,omitempty"`
}

// Trial is how far the trial of a suspect has come. Of two that differ the later one holds,
// by round, stage and host, so that hosts which learn of them in any order agree.
type Trial struct {
	// Round counts the copies that were to run.
	Round int64      `cbor:"1,keyasint"`
	Stage TrialStage `cbor:"2,keyasint"`
	// Host is the incarnation that asks for the turn of this round, or has it.
	Host string `cbor:"3,keyasint,omitempty"`
	// EndedAgo is how many milliseconds ago the last endpoint ended under the suspect.
	EndedAgo int64 `cbor:"4,keyasint,omitempty"`
}

// TrialStage is a stage of one round of a trial.
type TrialStage int

// The stages, in their order.
const (
	// TrialHeld trials let no copy run.
	TrialHeld TrialStage = iota
	// TrialAsked trials have a host at which a copy waits.
	TrialAsked
	// TrialGranted trials let one copy run at one host.
	TrialGranted
	// TrialCleared trials are over: a copy was answered and its endpoint lives on.
	TrialCleared
)

// String names the stage as logs show it.
func (s TrialStage) String() string {
	return [...]string{"held", "asked", "granted", "cleared"}[min(max(s, TrialHeld), TrialCleared)]
}

// After tells whether a trial is the later one of two.
func (t Trial) After(o Trial) bool {
	return cmp.Or(cmp.Compare(t.Round, o.Round), cmp.Compare(t.Stage, o.Stage), cmp.Compare(t.Host, o.Host)) > 0
}

// BlockedRequest names the requests that a block is for.
type BlockedRequest struct {
	Content uint64 `cbor:"1,keyasint"`
	// Caller is whose requests they are, AnyCaller if they came from several.
	Caller uint64 `cbor:"2,keyasint,omitempty"`
}

// AnyCaller in a block stands for all callers.
const AnyCaller = 0
