package follow

import (
	"log/slog"

	"github.com/tealvane/tealvane/pkg/fleet"
)

// shownBytes bounds the part of a malformed record that is logged.
const shownBytes = 64

// LogMalformed returns a function that logs records of the store that are no entries and counts them
// by topic.
func LogMalformed(log *slog.Logger, count func(name string, tags map[string]string)) func(fleet.Topic, fleet.MalformedRecord) {
	return func(t fleet.Topic, r fleet.MalformedRecord) {
		count("records_malformed", map[string]string{"topic": t.String()})
		log.Warn("record of the store has no valid key; record skipped", "topic", t.String(), "offset", r.Offset,
			"bytes", len(r.Content), "content", string(r.Content[:min(shownBytes, len(r.Content))]))
	}
}

func (c *RateLimitedStore) reportMalformed(t fleet.Topic, b fleet.Batch) {
	if c.OnMalformed == nil {
		return
	}
	for _, r := range b.Malformed {
		c.OnMalformed(t, r)
	}
}
