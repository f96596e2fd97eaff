package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/orders"
	"github.com/tealvane/tealvane/pkg/peer"
	"github.com/tealvane/tealvane/pkg/record"
)

const (
	// longPoll is how long a read waits for records of topics that change
	// seldom. Each call has a price; connections may fall silent, and a read
	// without an answer is given up after this time; other hosts tell of a newer
	// configuration meanwhile.
	longPoll = 15 * time.Second
	// listPoll is the longest period of reads of the list of endpoints, which
	// changes all the time.
	listPoll = 700 * time.Millisecond
	// listReads is how often the list is read at least in the time in which a
	// leaving endpoint must have been noticed.
	listReads = 3
	// calmListPoll is the period while the controller reads the list and
	// says in its notices when it has changed. With longPoll it saved 397 of 1,064
	// calls of nine hosts in 46 s, counted at the store.
	calmListPoll = 2 * time.Second
	// freshNotice and freshList are how old the controller's last notice and its list
	// may be for that.
	freshNotice = 700 * time.Millisecond
	freshList   = 800 * time.Millisecond
	// controllerListPoll is the period while this host gives orders: what endpoints
	// say of themselves corrects what it believes.
	controllerListPoll = 350 * time.Millisecond
	// storeRetry is the pause after a call that failed; it doubles with each
	// further one up to storeRetryMax. Calls that the store refuses have a price
	// too, and other hosts tell meanwhile what changes.
	storeRetry    = 250 * time.Millisecond
	storeRetryMax = 1500 * time.Millisecond
)

// feed is what a host has read from the store, as it stands there, so that it
// can pass it on to hosts that cannot read the store. It is safe for concurrent use.
type feed struct {
	mu        sync.Mutex
	config    fleet.Entry
	endpoints map[string]fleet.Entry
	topics    map[fleet.Topic]*topicState
	// back is closed, and made anew, when the list of endpoints can be read again.
	back chan struct{}
}

type topicState struct {
	loaded bool
	away   bool
	answer time.Time
}

func newFeed() *feed {
	return &feed{endpoints: map[string]fleet.Entry{}, topics: map[fleet.Topic]*topicState{}, back: make(chan struct{})}
}

func (f *feed) topic(t fleet.Topic) *topicState {
	s := f.topics[t]
	if s == nil {
		s = &topicState{}
		f.topics[t] = s
	}
	return s
}

// answered notes a call's result and tells whether the store was lost or regained.
func (f *feed) answered(t fleet.Topic, now time.Time, err error) (changed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.topic(t)
	away := err != nil
	changed = s.away != away
	s.away = away
	if changed && !away && t == fleet.TopicEndpoints {
		close(f.back)
		f.back = make(chan struct{})
	}
	if !away {
		s.answer = now
		s.loaded = true
	}
	return changed
}

// listAway tells whether the list of endpoints cannot be read, and returns a
// channel that is closed when it can be read again.
func (f *feed) listAway() (bool, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.topic(fleet.TopicEndpoints).away, f.back
}

func (f *feed) loaded(t fleet.Topic) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.topic(t).loaded
}

// drop forgets the entries of endpoints that are gone for long.
func (f *feed) drop(ids []fleet.EndpointID) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range ids {
		delete(f.endpoints, string(id))
	}
}

func (f *feed) setLoaded(t fleet.Topic) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.topic(t).loaded = true
}

func (f *feed) lastAnswer(t fleet.Topic) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.topic(t).answer
}

// follower reads one topic to its end again and again.
type follower struct {
	topic fleet.Topic
	// wait returns how long a read waits, and pause how long to rest after one.
	wait  time.Duration
	pause func() time.Duration
	// wake ends the pause early.
	wake <-chan struct{}
	// reset takes in the newest entries of all keys, apply those that follow.
	reset func(fleet.Batch)
	apply func(fleet.Batch)
	// failed is called when the store does not answer.
	failed func(context.Context)
}

// retryMax is the longest pause after failed calls. Reads of the list of
// endpoints find out that the store is back; the other topics wait for them.
func (f follower) retryMax() time.Duration {
	if f.topic == fleet.TopicEndpoints {
		return listPoll
	}
	return storeRetryMax
}

// follow runs a follower until ctx ends.
func (g *Gateway) follow(ctx context.Context, f follower) {
	next := int64(-1)
	backoff := storeRetry
	for ctx.Err() == nil {
		var batch fleet.Batch
		var err error
		fresh := next < 0
		if fresh {
			batch, err = g.store.Newest(ctx, f.topic)
		} else {
			batch, err = g.readOn(ctx, f, next)
		}
		var compacted *fleet.CompactedError
		if errors.As(err, &compacted) {
			g.log.Info("records are gone from the store", "topic", f.topic, "from", next, "first", compacted.First)
			next = -1
			continue
		}
		if errors.Is(err, errReadAgain) {
			continue
		}
		g.noteStore(f.topic, err)
		if err != nil {
			if f.failed != nil {
				f.failed(ctx)
			}
			g.restOrBack(ctx, f.topic, jitter(backoff))
			backoff = min(2*backoff, f.retryMax())
			continue
		}
		backoff = storeRetry
		if fresh {
			f.reset(batch)
		} else {
			f.apply(batch)
		}
		next = batch.Next
		if f.pause != nil {
			rest(ctx, jitter(f.pause()), f.wake)
		}
	}
}

// readOn reads what follows. A read that began while the store was silent hangs
// for its whole wait, long after the store is back; a host would not hear of a
// new configuration meanwhile. So it does not wait while the store is away, and
// ends when another read shows that the store is back.
func (g *Gateway) readOn(ctx context.Context, f follower, next int64) (fleet.Batch, error) {
	if f.wait == 0 {
		return g.store.Read(ctx, f.topic, next, 0)
	}
	away, back := g.feed.listAway()
	if away {
		return g.store.Read(ctx, f.topic, next, 0)
	}
	wait, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-back:
			cancel()
		case <-wait.Done():
		}
	}()
	batch, err := g.store.Read(wait, f.topic, next, f.wait)
	if err != nil && wait.Err() != nil && ctx.Err() == nil {
		return fleet.Batch{}, errReadAgain
	}
	return batch, err
}

// errReadAgain means that a read was ended because the store is back.
var errReadAgain = errors.New("read ended by the return of the store")

// restOrBack waits after a failed call, until the store is back at the latest.
func (g *Gateway) restOrBack(ctx context.Context, t fleet.Topic, d time.Duration) {
	if t == fleet.TopicEndpoints {
		sleep(ctx, d)
		return
	}
	_, back := g.feed.listAway()
	rest(ctx, d, back)
}

// rest waits until the time is over or something wakes it.
func rest(ctx context.Context, d time.Duration, wake <-chan struct{}) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-wake:
	case <-ctx.Done():
	}
}

// noteStore logs a lost or regained store once.
func (g *Gateway) noteStore(t fleet.Topic, err error) {
	now := g.Now()
	changed := g.feed.answered(t, now, err)
	if t == fleet.TopicEndpoints {
		g.directory.StoreState(now, err == nil)
	}
	switch {
	case changed && err != nil:
		g.log.Warn("store lost", "topic", t, "error", err.Error())
		g.metrics.count("store_lost", nil)
	case changed:
		g.log.Info("store answers", "topic", t)
	}
}

func (g *Gateway) followConfig(ctx context.Context) {
	g.follow(ctx, follower{
		topic:  fleet.TopicConfig,
		wait:   longPoll,
		reset:  g.takeConfigs,
		apply:  g.takeConfigs,
		failed: g.askPeer,
	})
}

func (g *Gateway) takeConfigs(b fleet.Batch) {
	for _, e := range b.Entries {
		g.takeConfig(e)
	}
}

// takeConfig puts a configuration in force if it is newer: records may be read
// again, and another host's copy may be old.
func (g *Gateway) takeConfig(e fleet.Entry) {
	c, isConfig, err := g.codec.Config(e)
	if !isConfig {
		return
	}
	if err != nil {
		g.log.Error("configuration is not understood; the last one stays in force", "offset", e.Offset, "error", err)
		return
	}
	g.feed.mu.Lock()
	defer g.feed.mu.Unlock()
	if old := g.config.Load(); old != nil && old.Version >= c.Version {
		return
	}
	g.config.Store(c)
	g.feed.config = e
	g.log.Info("configuration in force", "version", c.Version, "offset", e.Offset, "routes", len(c.Routes))
	signal(g.noticeNow)
}

func (g *Gateway) followEndpoints(ctx context.Context) {
	g.follow(ctx, follower{
		topic:  fleet.TopicEndpoints,
		pause:  g.listPause,
		wake:   g.listNow,
		reset:  g.resetEndpoints,
		apply:  g.takeEndpoints,
		failed: g.askPeer,
	})
}

// listPause is the pause between two reads of the list of endpoints.
func (g *Gateway) listPause() time.Duration {
	if g.election.Held() != 0 {
		return controllerListPoll
	}
	at, age := g.mesh.listNotice()
	if g.Now().Sub(at) < freshNotice && age < freshList {
		return min(calmListPoll, g.settings.Timing.Drain)
	}
	return min(listPoll, g.settings.Timing.Drain/listReads)
}

func (g *Gateway) resetEndpoints(b fleet.Batch) {
	list := make(map[int64]fleet.Endpoint, len(b.Entries))
	raw := make(map[string]fleet.Entry, len(b.Entries))
	for _, entry := range b.Entries {
		raw[entry.Key] = entry
		if e, ok := g.endpoint(entry); ok {
			list[entry.Offset] = e
		}
	}
	g.feed.mu.Lock()
	g.feed.endpoints = raw
	g.feed.mu.Unlock()
	g.directory.Replace(g.Now(), b.Next, list)
	g.endpointsChanged()
}

func (g *Gateway) endpoint(entry fleet.Entry) (fleet.Endpoint, bool) {
	e, err := g.codec.Endpoint(entry)
	if err != nil {
		g.log.Error("endpoint's entry is not understood; its last one stays", "endpoint", entry.Key, "offset", entry.Offset, "error", err)
		return e, false
	}
	return e, true
}

func (g *Gateway) takeEndpoints(b fleet.Batch) {
	now := g.Now()
	for _, entry := range b.Entries {
		g.feed.mu.Lock()
		if old, ok := g.feed.endpoints[entry.Key]; !ok || old.Offset < entry.Offset {
			g.feed.endpoints[entry.Key] = entry
		}
		g.feed.mu.Unlock()
		if len(entry.Value) == 0 {
			g.log.Info("endpoint is gone from the list", "endpoint", entry.Key, "offset", entry.Offset)
			g.directory.Remove(now, entry.Offset, fleet.EndpointID(entry.Key))
			continue
		}
		if e, ok := g.endpoint(entry); ok {
			g.directory.Apply(now, entry.Offset, e)
		}
	}
	if len(b.Entries) > 0 {
		g.endpointsChanged()
	}
}

func (g *Gateway) endpointsChanged() {
	g.board.Changed()
	g.dispatcher.Kick()
	signal(g.noticeNow)
}

// hostEntry is what a host writes of itself once at its start.
type hostEntry struct {
	Addr        string           `cbor:"1,keyasint"`
	Incarnation string           `cbor:"2,keyasint"`
	Fingerprint peer.Fingerprint `cbor:"3,keyasint"`
}

// announce writes where other hosts reach this one and by which key.
func (g *Gateway) announce(ctx context.Context) {
	value, err := record.Marshal(hostEntry{Addr: g.self.Addr, Incarnation: g.self.Incarnation, Fingerprint: g.mesh.own})
	if err != nil {
		g.log.Error("own entry", "error", err)
		return
	}
	for ctx.Err() == nil {
		if _, err := g.store.Put(ctx, fleet.TopicHosts, g.self.Host, value, fleet.AnyOffset); err == nil {
			g.announced.Store(true)
			return
		}
		sleep(ctx, jitter(storeRetry))
	}
}

func (g *Gateway) followHosts(ctx context.Context) {
	take := func(b fleet.Batch) {
		for _, e := range b.Entries {
			g.takeHost(e)
		}
		g.budget.SetHosts(g.mesh.hosts())
	}
	g.follow(ctx, follower{topic: fleet.TopicHosts, wait: longPoll, reset: take, apply: take})
}

func (g *Gateway) takeHost(e fleet.Entry) {
	var h hostEntry
	if err := record.Unmarshal(e.Value, &h); err != nil {
		g.log.Error("host's entry is not understood", "peer", e.Key, "error", err)
		return
	}
	g.mesh.learn(e.Key, h)
	g.election.Restarted(e.Key, h.Incarnation)
}

func (g *Gateway) followClaims(ctx context.Context) {
	take := func(b fleet.Batch) {
		for _, e := range b.Entries {
			g.takeClaim(e)
		}
		g.mesh.setClaimsNext(b.Next)
		g.election.Caught()
	}
	g.follow(ctx, follower{topic: fleet.TopicClaims, wait: longPoll, reset: take, apply: take})
}

func (g *Gateway) takeClaim(e fleet.Entry) {
	var h orders.Holder
	if err := record.Unmarshal(e.Value, &h); err != nil {
		g.log.Error("claim is not understood", "offset", e.Offset, "error", err)
		return
	}
	before := g.election.Newest().Token
	claim := orders.Claim{Holder: h, Token: token(e.Offset)}
	g.election.Observe(g.Now(), claim)
	if claim.Token > before {
		g.log.Info("claim", "holder", h.Host, "token", claim.Token, "released", h.Released)
	}
}

// token turns the offset of a claim into a fencing token, which is positive.
func token(offset int64) int64 { return offset + 1 }
