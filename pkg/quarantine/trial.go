package quarantine

import (
	"hash/fnv"
	"io"
	"strconv"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
)

// grantTTL is how long a grant is valid. A host that fails or is partitioned does not release its
// grant.
const grantTTL = 3 * time.Second

// trial is the state of the trial of a suspect at this host. Only one copy runs at a time over all
// hosts. Otherwise the copies of a harmful request would crash as many endpoints before the third
// crash is detected.
type trial struct {
	fleet.Trial
	// part is the position of the prompt part that is suspect, 0 for a content. begunAt is when a response to a
	// request with that part last began, zero if that is not known.
	part    int
	begunAt time.Time
	// suspectedAt is when the request became suspect, in Unix seconds.
	suspectedAt int64
	// lastCrashAt is when the last endpoint crashed while running the suspect, changedAt when this
	// host learned of the current stage.
	lastCrashAt, changedAt time.Time
}

func (t trial) cleared() bool { return t.Stage == fleet.TrialCleared }

// nextRound returns the next round of the trial, in its initial stage.
func (t trial) nextRound() fleet.Trial { return fleet.Trial{Round: t.Round + 1} }

// toBlock returns the trial in the form in which hosts exchange it.
func (t trial) toBlock(now time.Time, content uint64) fleet.Block {
	b := fleet.Block{Request: forAnyCaller(content), Since: t.suspectedAt, Suspect: true, Trial: t.Trial, PromptPart: t.part}
	b.Trial.LastCrashAgo = now.Sub(t.lastCrashAt).Milliseconds()
	if !t.begunAt.IsZero() {
		b.Trial.BegunAgo = max(1, now.Sub(t.begunAt).Milliseconds())
	}
	return b
}

func forAnyCaller(content uint64) fleet.BlockedRequest {
	return fleet.BlockedRequest{Content: content, Caller: fleet.AnyCaller}
}

// hashTrial returns a hash of the trial for the checksum.
func hashTrial(t fleet.Trial) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, strconv.FormatInt(t.Round, 16)+t.Stage.String()+t.Host) // A hash never returns an error.
	return h.Sum64()
}

// addTrial stores the trial and reports whether it is later than the known one. It must be called
// with b.mu held.
func (b *Blocklist) addTrial(now time.Time, x fleet.Block) bool {
	content := x.Request.Content
	old, known := b.trials[content]
	if known && !x.Trial.Supersedes(old.Trial) || !known && len(b.trials) >= maxBlocks {
		return false
	}
	var before uint64
	if known {
		before = hashBlock(old.toBlock(now, content))
	}
	t := trial{Trial: x.Trial, part: x.PromptPart, begunAt: old.begunAt, suspectedAt: max(x.Since, old.suspectedAt), changedAt: now}
	if begunAt := now.Add(-time.Duration(x.Trial.BegunAgo) * time.Millisecond); x.Trial.BegunAgo > 0 && begunAt.After(t.begunAt) {
		t.begunAt = begunAt
	}
	t.LastCrashAgo, t.BegunAgo = 0, 0
	t.lastCrashAt = now.Add(-time.Duration(x.Trial.LastCrashAgo) * time.Millisecond)
	b.trials[content] = t
	b.recordChange(before ^ hashBlock(t.toBlock(now, content)))
	return true
}

// advanceTrial sets the stage of the trial and reports whether it was still in the stage from.
func (b *Blocklist) advanceTrial(now time.Time, content uint64, from, to fleet.Trial) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t, ok := b.trials[content]
	if !ok || t.Trial != from {
		return false
	}
	x := t.toBlock(now, content)
	to.LastCrashAgo = x.Trial.LastCrashAgo
	x.Trial = to
	return b.addTrial(now, x)
}

// trialOf returns the trial of the content.
func (b *Blocklist) trialOf(content uint64) (t trial, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t, ok = b.trials[content]
	return t, ok
}

// openTrials returns the trials that have not ended, by content.
func (b *Blocklist) openTrials() map[uint64]trial {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[uint64]trial{}
	for content, t := range b.trials {
		if !t.cleared() {
			out[content] = t
		}
	}
	return out
}

// Suspected reports whether the request is on trial.
func (b *Blocklist) Suspected(f fleet.Fingerprint) bool {
	t, ok := b.trialOf(f.Content)
	return ok && !t.cleared()
}
