package entryhost

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/pkg/openai"
	"github.com/tealvane/tealvane/pkg/record"
	"github.com/tealvane/tealvane/pkg/state"
)

// callersAPI returns the API for callers.
func (h *Host) callersAPI() openai.Handler {
	return openai.Handler{Host: callersHost{h}, Runner: h.runner}
}

// callersHost implements openai.Host.
type callersHost struct{ host *Host }

// Authenticate implements openai.Host.
func (c callersHost) Authenticate(token string) (state.ContractEntry, bool) {
	return c.host.state.Contracts.Authenticate(token)
}

// Now implements openai.Host.
func (c callersHost) Now() time.Time { return c.host.now() }

// Stopping implements openai.Host.
func (c callersHost) Stopping() bool { return c.host.stopping.Load() }

// Defer implements openai.Host.
func (c callersHost) Defer(ctx context.Context, r record.DeferredRequest) error {
	return errors.Wrap(c.host.appendWithTimeout(ctx, record.Record{Defer: &r}), "append deferred request")
}

// Deferred implements openai.Host.
func (c callersHost) Deferred(id string) (state.DeferredRequest, bool) {
	return c.host.state.Deferred.Get(id)
}

// keys stores idempotency keys in the log. It implements completion.Keys.
type keys struct{ host *Host }

// Claim implements completion.Keys.
func (k keys) Claim(ctx context.Context, key record.Key, digest uint64) (*record.KeyOutcome, error) {
	return k.host.keyClaims.Claim(ctx, key, digest)
}

// Finish implements completion.Keys.
func (k keys) Finish(o record.KeyOutcome) { k.host.keyClaims.Finish(o) }

// Release implements completion.Keys.
func (k keys) Release(key record.Key) { k.host.keyClaims.Release(key) }

// Await implements completion.Keys. It returns false if the host that claimed the key is no longer
// live. Otherwise it blocks until the state changes or ctx ends.
func (k keys) Await(ctx context.Context, key record.Key) bool {
	h := k.host
	changed := h.journal.Changed()
	entry := h.state.Keys.Get(key)
	h.watchMu.Lock()
	live := h.watch.Live(h.now(), entry.Holder)
	h.watchMu.Unlock()
	if entry.State == state.KeyClaimed && !live {
		return false
	}
	select {
	case <-changed:
		return true
	case <-ctx.Done():
		return false
	}
}
