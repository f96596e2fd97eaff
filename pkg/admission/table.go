package admission

import (
	"hash/fnv"
	"math"
	"sync"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
)

const (
	// levelTTL is how long a host uses levels after it received them from the controller.
	levelTTL = 2 * time.Second
	// minShareChange is the relative change of a share from which on other hosts are told at once.
	minShareChange = 0.25
)

// Table holds the levels that a host has received. It is safe for concurrent use.
type Table struct {
	mu     sync.RWMutex
	levels fleet.Levels
	models map[fleet.ModelRef]fleet.ModelLevel
	// at is when the controller sent the levels, or zero if none were received.
	at time.Time
	// version is incremented when a model becomes short, is no longer, or its share changes much.
	version int64
}

// NewTable returns a table without levels.
func NewTable() *Table { return &Table{} }

// Apply stores levels that the controller sent at the given time, and reports whether hosts that
// pull from this one must be told at once.
func (t *Table) Apply(sentAt time.Time, levels *fleet.Levels) bool {
	if levels == nil {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.at.IsZero() && !levels.NewerThan(t.levels) {
		return false
	}
	models := make(map[fleet.ModelRef]fleet.ModelLevel, len(levels.Models))
	changed := len(levels.Models) != len(t.models)
	for _, m := range levels.Models {
		ref := fleet.ModelRef{Service: m.Service, Model: m.Model}
		old, known := t.models[ref]
		changed = changed || !known || shareChanged(old, m)
		models[ref] = m
	}
	t.levels, t.models, t.at = *levels, models, sentAt
	if changed {
		t.version++
	}
	return changed
}

// shareChanged reports whether the share of the most urgent priority changed much.
func shareChanged(old, level fleet.ModelLevel) bool {
	if len(old.Shares) == 0 || len(level.Shares) == 0 {
		return len(old.Shares) != len(level.Shares)
	}
	before, after := float64(old.Shares[0].Share), float64(level.Shares[0].Share)
	return math.Abs(after-before) > minShareChange*before
}

// Version returns the number of changes that hosts that pull from this one must learn of at once.
func (t *Table) Version() int64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.version
}

// Current returns the levels in force, or nil if none were received recently.
func (t *Table) Current(now time.Time) *fleet.Levels {
	t.mu.RLock()
	defer t.mu.RUnlock()
	if !t.fresh(now) {
		return nil
	}
	levels := t.levels
	return &levels
}

// Find returns the level of a model, if it has one.
func (t *Table) Find(now time.Time, service, model string) (fleet.ModelLevel, bool) {
	if t == nil {
		return fleet.ModelLevel{}, false
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	if !t.fresh(now) {
		return fleet.ModelLevel{}, false
	}
	level, ok := t.models[fleet.ModelRef{Service: service, Model: model}]
	return level, ok
}

func (t *Table) fresh(now time.Time) bool { return !t.at.IsZero() && now.Sub(t.at) <= levelTTL }

// Admits reports whether a request is among the admitted share, in units of 1/fleet.FullShare. The
// same requests are admitted at each host and for each larger share.
func Admits(id string, share int) bool { return Fraction(id)*fleet.FullShare < float64(share) }

// Fraction returns a number from 0 to below 1 that depends on an ID only and is evenly distributed.
func Fraction(id string) float64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // Write of a hash never fails.
	x := h.Sum64()
	// FNV alone hardly changes the upper bits for IDs that differ only in their last bytes.
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	const bits = 53
	return float64(x>>(64-bits)) / (1 << bits)
}
