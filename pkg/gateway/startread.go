package gateway

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/internal/wait"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/follow"
	"github.com/tealvane/tealvane/pkg/readbudget"
)

const (
	// hostsRetryDelay is the delay after a failed read of the hosts, startRetryDelay that after one
	// of the list, by a starting host. They double up to maxStartRetryDelay with each further failure
	// that is a sign of overload. With the timeout of a call, the maximum is below two seconds, so
	// that a store that answers again is noticed soon. The hosts are tried more often, since a host
	// that knows the others learns the rest from them; after quickHostsRetries, slowHostsRetryDelay
	// is used.
	hostsRetryDelay     = 150 * time.Millisecond
	quickHostsRetries   = 9
	slowHostsRetryDelay = 500 * time.Millisecond
	startRetryDelay     = 250 * time.Millisecond
	maxStartRetryDelay  = 600 * time.Millisecond
	// startStateInterval is the interval at which a starting host requests state from other hosts
	// while the store fails.
	startStateInterval = 200 * time.Millisecond
	// maxOnePageHosts is the number of entries up to which the hosts are read as one page, which is
	// less than fits.
	maxOnePageHosts = 400
	// maxZonePageHosts is the number of hosts in a page that begins with this host's zone up to which
	// the page of all hosts is read as well. Two pages of each host are too many calls beyond.
	maxZonePageHosts = 100
	// assumedConfigBytes is the size of a configuration that is not known yet.
	assumedConfigBytes = 100e3
	// assumedListBytesPerHost times the number of hosts is the size of a list that is not known yet.
	assumedListBytesPerHost = 4e3
	// minLostAppend plus maxAppendTime times the number of hosts is the time after which an append
	// of a host's entry counts as lost if the store answers reads. A store that did not respond for
	// a moment never answers it, and its timeout allows for a long queue.
	minLostAppend = 700 * time.Millisecond
	maxAppendTime = 3 * time.Millisecond
	// assumedHostsPerEndpoint times the number of endpoints is the number of hosts among which limits
	// are divided while it is not known. It exceeds that of known deployments, so that all hosts
	// together stay within the limits. maxAssumedHosts bounds it, and applies without a list.
	assumedHostsPerEndpoint = 1.5
	maxAssumedHosts         = 1000
)

// maxOverloadPause returns the bound on the pause after rejected reads of the store.
func (g *Gateway) maxOverloadPause() time.Duration { return g.reads.MaxPause(g.readers()) }

// readers returns the number of hosts that may read the store at the same time as this one.
func (g *Gateway) readers() int {
	switch {
	case !g.storeReads.Loaded(fleet.TopicHosts):
		return max(g.mesh.hosts(), int(g.startup.starts.Load()))
	case g.membershipSettled() && g.mesh.isRelay():
		return g.mesh.relays()
	}
	return g.mesh.hosts()
}

// minFailurePause returns the minimum pause after a read of a topic that failed with err: that at which
// the store can answer all hosts whose reads fail at the same time. A lost connection is no sign of overload.
func (g *Gateway) minFailurePause(t fleet.Topic, err error) time.Duration {
	if errors.Is(err, fleet.ErrStoreConnectionLost) {
		return 0
	}
	return g.reads.Window(g.readers(), g.readBytes(t))
}

// readBytes returns the size of a read of a topic by a host that has failed to read it.
func (g *Gateway) readBytes(t fleet.Topic) float64 {
	switch t {
	case fleet.TopicEndpoints:
		if known := g.cache.ListBytes(); known > 0 {
			return float64(known)
		}
		return float64(g.readers()) * assumedListBytesPerHost
	case fleet.TopicHosts:
		return float64(g.readers()) * readbudget.HostEntryBytes
	case fleet.TopicConfig:
		return max(float64(g.cache.ConfigBytes()), assumedConfigBytes)
	}
	return 0
}

// sharingHosts returns the number of hosts among which limits are divided.
func (g *Gateway) sharingHosts() int {
	known := g.mesh.hosts()
	if g.storeReads.Loaded(fleet.TopicHosts) {
		return known
	}
	select {
	case <-g.startup.decided:
		if !g.startup.relayed {
			return max(known, directReaders)
		}
	default:
	}
	return max(known, assumedHosts(g.directory.Len()))
}

// assumedHosts returns the number of hosts that a host assumes which knows only the number of endpoints.
func assumedHosts(endpoints int) int {
	if endpoints == 0 {
		return maxAssumedHosts
	}
	return min(max(directReaders, int(assumedHostsPerEndpoint*float64(endpoints))), maxAssumedHosts)
}

// awaitReadStart blocks until it is decided how this host gets the shared state, or the hosts could not
// be read because the connection to the store was lost. It reports false if ctx ends first.
func (g *Gateway) awaitReadStart(ctx context.Context) bool {
	select {
	case <-g.startup.decided:
		return true
	case <-g.startup.connectionLost:
		return true
	case <-ctx.Done():
		return false
	}
}

// readsOwnState reports whether this host reads configuration and list itself when it starts: all hosts
// may do so, or it could not read yet how many there are. Since the latter needs a failed read, hosts
// that are many do not burden a healthy store.
func (g *Gateway) readsOwnState() bool {
	select {
	case <-g.startup.decided:
	default:
		return true
	}
	config := int(assumedConfigBytes)
	if g.config.Load() != nil {
		config = g.cache.ConfigBytes()
	}
	return !g.startup.relayed || g.startup.hostsKnown.Load() && g.reads.StartFits(g.mesh.hosts(), config)
}

// readOwnList reads the list of endpoints if this host reads for itself and the list fits a page. It
// returns the position to read on from, or false if the list must be awaited from others. A host that
// starts among few leaves the reading to its follower.
func (g *Gateway) readOwnList(ctx context.Context) (fleet.Position, bool) {
	if !g.awaitReadStart(ctx) {
		return fleet.NoPosition, true
	}
	if !g.startup.connectionFailed() && !g.startup.relayed {
		return fleet.NoPosition, false // It is decided, since no call has failed.
	}
	retry := readbudget.Retry{First: startRetryDelay, Slow: follow.SlowRetryDelay, Max: maxStartRetryDelay, Quick: follow.QuickRetries}
	for ctx.Err() == nil && g.readsOwnState() {
		if g.storeReads.Loaded(fleet.TopicEndpoints) {
			return g.directory.Offset(), true
		}
		b, more, err := g.store.Page(ctx, fleet.TopicEndpoints, "")
		if err == nil {
			return g.applyFirstPage(b, more)
		}
		if ctx.Err() != nil {
			break
		}
		g.recordStoreResult(fleet.TopicEndpoints, err)
		g.fetchStateAfterFailure(ctx)
		wait.For(ctx, retry.Next(err))
	}
	return fleet.NoPosition, false
}

// fetchStateAfterFailure requests state from another host after a failed read. While a host starts,
// fetchStartState does so.
func (g *Gateway) fetchStateAfterFailure(ctx context.Context) {
	if g.hasState() {
		g.fetchState(ctx)
		return
	}
	g.startup.recordFailure()
}

// hasState reports whether configuration and list are known.
func (g *Gateway) hasState() bool {
	return g.config.Load() != nil && g.storeReads.Loaded(fleet.TopicEndpoints)
}

// fetchStartState requests configuration and list from random other hosts once a call to the store has
// failed, until they are known. The relays may know nothing either, but any host that has read something
// serves it.
func (g *Gateway) fetchStartState(ctx context.Context) {
	select {
	case <-g.startup.failed:
	case <-ctx.Done():
	}
	for ctx.Err() == nil && !g.hasState() {
		go g.fetchState(ctx)
		wait.For(ctx, wait.Jitter(startStateInterval))
	}
}

// applyFirstPage applies the first page of the list of endpoints if that is the whole list.
func (g *Gateway) applyFirstPage(b fleet.Batch, more bool) (fleet.Position, bool) {
	if more {
		return fleet.NoPosition, false
	}
	g.recordStoreResult(fleet.TopicEndpoints, nil)
	g.withEra(fleet.TopicEndpoints, g.replaceEndpoints)(b)
	return b.Next, true
}

// appendEntry appends this host's entry to the store.
func (g *Gateway) appendEntry(ctx context.Context, value []byte) (fleet.Position, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g.startup.setAppend(g.Now(), cancel)
	defer g.startup.setAppend(time.Time{}, nil)
	return g.store.Put(ctx, fleet.TopicHosts, hostKey(g.settings.Zone, g.self.Host), value, fleet.AnyOffset)
}

// setAppend records an append of this host's entry that begins, or with nil that it has ended.
func (s *startup) setAppend(began time.Time, cancel context.CancelFunc) {
	s.appendMu.Lock()
	defer s.appendMu.Unlock()
	s.appendBegan, s.cancelAppend = began, cancel
}

// resendLostAppend cancels the append of this host's entry, so that it is sent again, whenever it has
// taken longer than those of all known hosts together. It must be called after a successful read.
func (g *Gateway) resendLostAppend(ctx context.Context) {
	for ctx.Err() == nil && !g.announced.Load() {
		limit := minLostAppend + time.Duration(g.mesh.hosts())*maxAppendTime
		if g.startup.cancelAppendBefore(g.Now().Add(-limit)) {
			g.log.Info("append of the host entry sent again", "after_ms", limit.Milliseconds())
		}
		wait.For(ctx, startupCheckInterval)
	}
}

// cancelAppendBefore cancels a pending append that began before a time and reports whether there was one.
func (s *startup) cancelAppendBefore(at time.Time) bool {
	s.appendMu.Lock()
	defer s.appendMu.Unlock()
	if s.cancelAppend == nil || !s.appendBegan.Before(at) {
		return false
	}
	s.cancelAppend()
	return true
}
