package fleet

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"strconv"
	"time"
)

// Fingerprint identifies repeated requests: a client may send the same request again with
// another attempt ID, and to another host.
type Fingerprint struct {
	// Content is a digest of the request content that the endpoint processes; 0 if unknown.
	Content uint64 `cbor:"1,keyasint"`
	// Caller is a digest of the caller's identity.
	Caller uint64 `cbor:"2,keyasint"`
}

// NewFingerprint returns the fingerprint of a request with the given parts. The digest is
// cryptographic, so that a caller cannot construct a request with the fingerprint of another.
func NewFingerprint(caller string, content ...string) Fingerprint {
	return Fingerprint{Content: digest(content...), Caller: digest(caller)}
}

// Prompt identifies the parts of a request's prompt that other requests may share.
type Prompt struct {
	// Caller is a digest of the caller's identity.
	Caller uint64
	// Parts holds a digest of each part, in the order of the prompt.
	Parts []uint64
}

// NewPromptPart returns the digest of a part of prompts for a service. It differs from the digests of all
// contents.
func NewPromptPart(service, id string) uint64 { return digest("prompt part", service, id) }

func digest(parts ...string) uint64 {
	h := sha256.New()
	for _, p := range parts {
		var size [8]byte
		binary.BigEndian.PutUint64(size[:], uint64(len(p)))
		h.Write(size[:]) // Writes to a hash never fail.
		h.Write([]byte(p))
	}
	return max(1, binary.BigEndian.Uint64(h.Sum(nil)))
}

// Hex formats a digest for logs and store keys.
func Hex(digest uint64) string { return strconv.FormatUint(digest, 16) }

// HexAll formats digests for logs.
func HexAll(digests []uint64) []string {
	out := make([]string, len(digests))
	for i, d := range digests {
		out[i] = Hex(d)
	}
	return out
}

// CrashReport records that an endpoint crashed while it ran a request.
type CrashReport struct {
	Request  Fingerprint `cbor:"1,keyasint"`
	Endpoint EndpointID  `cbor:"2,keyasint"`
	// Ago is the age of the crash in milliseconds.
	Ago int64 `cbor:"3,keyasint,omitempty"`
	// CopyID identifies the copy of the request that ran on the endpoint; 0 if unknown.
	CopyID CopyID `cbor:"4,keyasint,omitempty"`
	// PromptPart is 0 if Request stands for the requests with a content. Otherwise it stands for the requests
	// with a prompt part, whose digest is in the place of the content, and PromptPart is the position of that
	// part: 1 for the last one that other requests may share, 2 for the one before it.
	PromptPart int `cbor:"5,keyasint,omitempty"`
}

// SplitCrashes separates the reports that name a content from those that name a prompt part.
func SplitCrashes(crashes []CrashReport) (contents, parts []CrashReport) {
	for _, c := range crashes {
		if c.PromptPart > 0 {
			parts = append(parts, c)
		} else {
			contents = append(contents, c)
		}
	}
	return contents, parts
}

// CopyID is a digest of an attempt ID. It is never 0.
type CopyID uint32

// NewCopyID returns the digest of an attempt ID.
func NewCopyID(attempt string) CopyID { return CopyID(max(1, uint32(digest(attempt)))) }

// At returns the time of the crash, given when the record was received.
func (c CrashReport) At(now time.Time) time.Time {
	return now.Add(-time.Duration(c.Ago) * time.Millisecond)
}

// Block excludes a request from all endpoints because it crashes them, or restricts it to a
// trial if Suspect is set.
type Block struct {
	Request BlockedRequest `cbor:"1,keyasint"`
	// Since is the time of detection in Unix seconds.
	Since int64 `cbor:"2,keyasint"`
	// Suspect requests are not blocked but on trial: one copy runs at a time.
	Suspect bool  `cbor:"3,keyasint,omitempty"`
	Trial   Trial `cbor:"4,keyasint,omitempty"`
	// PromptPart is the position of the prompt part whose digest is in the place of the content, as in
	// CrashReport, or 0 for a content.
	PromptPart int `cbor:"5,keyasint,omitempty"`
}

// Trial is the progress of a suspect request's trial. Hosts resolve conflicting states by
// round, stage and host, so that they converge in any order of delivery.
type Trial struct {
	// Round numbers the copies, which run one after the other.
	Round int64      `cbor:"1,keyasint"`
	Stage TrialStage `cbor:"2,keyasint"`
	// Host is the incarnation of the host that requests or has permission to run the copy of
	// this round.
	Host string `cbor:"3,keyasint,omitempty"`
	// LastCrashAgo is the time in milliseconds since an endpoint last crashed while it ran the
	// request.
	LastCrashAgo int64 `cbor:"4,keyasint,omitempty"`
	// BegunAgo is, for a prompt part, the time in milliseconds since the last known response to a request with
	// the part began; 0 if none is known.
	BegunAgo int64 `cbor:"5,keyasint,omitempty"`
}

// TrialStage is the stage of a trial's current round.
type TrialStage int

// The stages of a round, in order.
const (
	// TrialWaiting means that no copy may run.
	TrialWaiting TrialStage = iota
	// TrialRequested means that a host has a waiting copy and requests permission to run it.
	TrialRequested
	// TrialGranted means that one copy may run, at one host.
	TrialGranted
	// TrialCleared means that the trial is over: a copy was answered and its endpoint did not
	// crash.
	TrialCleared
)

// String returns the name of the stage for logs.
func (s TrialStage) String() string {
	return [...]string{"held", "asked", "granted", "cleared"}[min(max(s, TrialWaiting), TrialCleared)]
}

// Supersedes reports whether t supersedes o.
func (t Trial) Supersedes(o Trial) bool {
	return cmp.Or(cmp.Compare(t.Round, o.Round), cmp.Compare(t.Stage, o.Stage), cmp.Compare(t.Host, o.Host)) > 0
}

// BlockedRequest identifies the requests that a block applies to.
type BlockedRequest struct {
	Content uint64 `cbor:"1,keyasint"`
	// Caller is the digest of the caller, or AnyCaller if several callers sent the request.
	Caller uint64 `cbor:"2,keyasint,omitempty"`
}

// AnyCaller in a BlockedRequest matches all callers.
const AnyCaller = 0
