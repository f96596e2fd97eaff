package entryhost

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/pkg/openai"
	"github.com/tealvane/tealvane/pkg/record"
	"github.com/tealvane/tealvane/pkg/state"
)

const (
	// maxRequestBytes bounds a document that an operator publishes.
	maxRequestBytes = 4 << 20
	// readHeaderTimeout ends connections that send no request.
	readHeaderTimeout = 10 * time.Second
)

// door returns the callers' interface of the host.
func (h *Host) door() openai.Door { return openai.Door{Host: doorHost{h}, Runner: h.runner} }

// doorHost is the host as the door needs it. It implements openai.Host.
type doorHost struct{ host *Host }

// Authenticate implements openai.Host.
func (d doorHost) Authenticate(token string) (state.ContractEntry, bool) {
	return d.host.state.Contracts.Authenticate(token)
}

// Now implements openai.Host.
func (d doorHost) Now() time.Time { return d.host.now() }

// Stopping implements openai.Host.
func (d doorHost) Stopping() bool { return d.host.stopping.Load() }

// Defer implements openai.Host.
func (d doorHost) Defer(ctx context.Context, r record.Deferred) error {
	return errors.Wrap(d.host.appendSoon(ctx, record.Record{Defer: &r}), "deferred request")
}

// Deferred implements openai.Host.
func (d doorHost) Deferred(id string) (state.DeferredRequest, bool) {
	return d.host.state.Deferred.Get(id)
}

// keys keeps idempotency keys in the log. It implements completion.Keys.
type keys struct{ host *Host }

// Claim implements completion.Keys.
func (k keys) Claim(ctx context.Context, key record.Key, digest uint64) (*record.KeyOutcome, error) {
	return k.host.ledger.Claim(ctx, key, digest)
}

// Finish implements completion.Keys.
func (k keys) Finish(o record.KeyOutcome) { k.host.ledger.Finish(o) }

// Release implements completion.Keys.
func (k keys) Release(key record.Key) { k.host.ledger.Release(key) }

// Await implements completion.Keys. It waits for the next change of the state
// while the attempt that holds the key can still record its outcome.
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
