package quarantine

import (
	"hash/fnv"
	"io"
	"strconv"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
)

// grantLife is how long a host has for the copy that it may run. One that has lost power with
// the turn, or was cut off, does not give it back.
const grantLife = 3 * time.Second

// trial is what this host knows of the trial of a suspect. One copy at a time runs over all
// hosts: a harmful request that comes in many copies at once would reach as many endpoints
// before the third end shows, and an innocent one is cleared within the time of one run.
type trial struct {
	fleet.Trial
	// since is when the suspect was found, in Unix seconds.
	since int64
	// ended is when the last endpoint ended under it, moved when this host learned of the stage.
	ended, moved time.Time
}

func (t trial) cleared() bool { return t.Stage == fleet.TrialCleared }

// next is the next round, in which nobody has asked yet.
func (t trial) next() fleet.Trial { return fleet.Trial{Round: t.Round + 1} }

// block is the trial as other hosts are told of it.
func (t trial) block(now time.Time, content uint64) fleet.Block {
	b := fleet.Block{Request: anyOf(content), Since: t.since, Suspect: true, Trial: t.Trial}
	b.Trial.EndedAgo = now.Sub(t.ended).Milliseconds()
	return b
}

func anyOf(content uint64) fleet.BlockedRequest {
	return fleet.BlockedRequest{Content: content, Caller: fleet.AnyCaller}
}

// mixTrial spreads a trial over all bits.
func mixTrial(t fleet.Trial) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, strconv.FormatInt(t.Round, 16)+t.Stage.String()+t.Host) // A hash takes all bytes.
	return h.Sum64()
}

// addTrial takes in a trial and tells whether it is later than what is known. The blocks are
// locked.
func (b *Blocks) addTrial(now time.Time, x fleet.Block) bool {
	content := x.Request.Content
	old, known := b.trials[content]
	if known && !x.Trial.After(old.Trial) || !known && len(b.trials) >= maxBlocks {
		return false
	}
	var before uint64
	if known {
		before = mix(old.block(now, content))
	}
	t := trial{Trial: x.Trial, since: max(x.Since, old.since), moved: now}
	t.EndedAgo = 0
	t.ended = now.Add(-time.Duration(x.Trial.EndedAgo) * time.Millisecond)
	b.trials[content] = t
	b.changed(before ^ mix(t.block(now, content)))
	return true
}

// move sets the stage of a trial if it is still as it was, and tells whether it was.
func (b *Blocks) move(now time.Time, content uint64, from, to fleet.Trial) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	t, ok := b.trials[content]
	if !ok || t.Trial != from {
		return false
	}
	x := t.block(now, content)
	to.EndedAgo = x.Trial.EndedAgo
	x.Trial = to
	return b.addTrial(now, x)
}

// trialOf returns the trial of a content.
func (b *Blocks) trialOf(content uint64) (t trial, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	t, ok = b.trials[content]
	return t, ok
}

// openTrials returns the trials that are not over, by content.
func (b *Blocks) openTrials() map[uint64]trial {
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

// Suspected tells whether a request is on trial.
func (b *Blocks) Suspected(f fleet.Fingerprint) bool {
	t, ok := b.trialOf(f.Content)
	return ok && !t.cleared()
}
