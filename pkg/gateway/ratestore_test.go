package gateway

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
)

// rateStore is a store of limited rates. Calls time out as those of the platform's client do.
type rateStore struct {
	mu     sync.Mutex
	topics map[fleet.Topic]*rateTopic
	// readsDone is when the reads that are queued are done.
	readsDone time.Time
	calls     map[string]int
	readBytes int
	// rejected is the number of reads that were rejected because of the queue.
	rejected int
	// listWeight is the number of endpoints that an entry of the list stands for, 0 for one. It is as large
	// as their entries.
	listWeight int
	// fault decides the fault of a call that begins now; nil means none.
	fault func() storeFault
}

type rateTopic struct {
	log         []fleet.Entry
	newest      map[string]fleet.Entry
	appendsDone time.Time
	appended    chan struct{}
}

const (
	storeLatency = 4 * time.Millisecond
	storeTimeout = time.Second
	// storeAppend is the time of an append, of which a topic does one at a time.
	storeAppend         = 2 * time.Millisecond
	storeMaxQueue       = 2 * time.Second
	storeBytesPerSecond = 80e6
	storePageItems      = 500
	storeMaxReadBytes   = 1 << 20
	// storeEncoding is by how much a listing is larger than its entries.
	storeEncoding = 1.4
)

func newRateStore() *rateStore {
	return &rateStore{topics: map[fleet.Topic]*rateTopic{}, calls: map[string]int{}}
}

// topic returns a topic. s.mu must be held.
func (s *rateStore) topic(t fleet.Topic) *rateTopic {
	x := s.topics[t]
	if x == nil {
		x = &rateTopic{newest: map[string]fleet.Entry{}, appended: make(chan struct{})}
		s.topics[t] = x
	}
	return x
}

func (x *rateTopic) append(key string, value []byte) fleet.Position {
	e := fleet.Entry{Key: key, Value: value, Offset: fleet.Position(len(x.log))}
	x.log = append(x.log, e)
	x.newest[key] = e
	close(x.appended)
	x.appended = make(chan struct{})
	return e.Offset
}

// registerEndpoint writes the entry of an endpoint. s.mu must be held.
func (s *rateStore) registerEndpoint(number int) {
	value := strings.Repeat(fmt.Sprint("field", number), max(1, s.listWeight)*simEndpointBytes/8)
	s.topic(fleet.TopicEndpoints).append(fmt.Sprint("e", number), []byte(value))
}

func (s *rateStore) count(call string, t fleet.Topic) {
	s.calls[call+" "+t.String()]++
}

func (s *rateStore) Put(ctx context.Context, t fleet.Topic, key string, value []byte, at fleet.Position) (fleet.Position, error) {
	timeout := storeTimeout
	if t == fleet.TopicHosts {
		timeout += storeMaxQueue
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	fault := s.faultNow()
	if fault == faultSilent || fault == faultReset {
		s.mu.Lock()
		s.count("put", t)
		s.mu.Unlock()
		return 0, fault.fail(ctx)
	}
	s.mu.Lock()
	s.count("put", t)
	x := s.topic(t)
	now := time.Now()
	if x.appendsDone.Before(now) {
		x.appendsDone = now
	}
	if x.appendsDone.Sub(now) > storeMaxQueue {
		s.mu.Unlock()
		_ = sleep(ctx, storeLatency)
		return 0, fleet.ErrStoreRejected
	}
	x.appendsDone = x.appendsDone.Add(storeAppend)
	done := x.appendsDone.Sub(now)
	s.mu.Unlock()
	time.Sleep(done) // The append is carried out even if the caller gives up.
	s.mu.Lock()
	if at != fleet.AnyOffset && int(at) != len(x.log) {
		s.mu.Unlock()
		return 0, fleet.ErrStoreConflict
	}
	offset := x.append(key, value)
	s.mu.Unlock()
	if fault == faultLostResponse {
		return 0, fault.fail(ctx)
	}
	if sleep(ctx, storeLatency) != nil {
		return 0, fleet.ErrStoreUnavailable
	}
	return offset, nil
}

// respond blocks until a response of some bytes has been sent. Its bytes are sent even if the caller
// gives up. A response that would wait for longer than storeMaxQueue is replaced by a rejection.
func (s *rateStore) respond(ctx context.Context, bytes int) error {
	s.mu.Lock()
	now := time.Now()
	if s.readsDone.Before(now) {
		s.readsDone = now
	}
	if s.readsDone.Sub(now) > storeMaxQueue {
		s.rejected++
		s.mu.Unlock()
		_ = sleep(ctx, storeLatency)
		return fleet.ErrStoreRejected
	}
	s.readsDone = s.readsDone.Add(time.Duration(float64(bytes) / storeBytesPerSecond * float64(time.Second)))
	s.readBytes += bytes
	done := s.readsDone.Sub(now)
	s.mu.Unlock()
	if sleep(ctx, done+storeLatency) != nil {
		return fleet.ErrStoreUnavailable
	}
	return nil
}

func entryBytes(entries []fleet.Entry) int {
	sum := 0
	for _, e := range entries {
		sum += len(e.Key) + len(e.Value)
	}
	return sum
}

func (s *rateStore) Page(ctx context.Context, t fleet.Topic, after string) (fleet.Batch, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	s.mu.Lock()
	s.count("page", t)
	if fault := s.faultLocked(); fault != faultNone {
		s.mu.Unlock()
		return fleet.Batch{}, false, fault.fail(ctx)
	}
	x := s.topic(t)
	b := fleet.Batch{Next: fleet.Position(len(x.log))}
	keys := slices.Sorted(maps.Keys(x.newest))
	first, found := slices.BinarySearch(keys, after)
	if found {
		first++
	}
	keys = keys[first:]
	limit := storePageItems
	if t == fleet.TopicEndpoints {
		limit = max(1, limit/max(1, s.listWeight))
	}
	more := len(keys) > limit
	for _, k := range keys[:min(len(keys), limit)] {
		b.Entries = append(b.Entries, x.newest[k])
	}
	s.mu.Unlock()
	return b, more, s.respond(ctx, int(storeEncoding*float64(entryBytes(b.Entries))))
}

func (s *rateStore) Newest(ctx context.Context, t fleet.Topic) (fleet.Batch, error) {
	out, more, err := s.Page(ctx, t, "")
	for more && err == nil {
		var page fleet.Batch
		page, more, err = s.Page(ctx, t, out.Entries[len(out.Entries)-1].Key)
		out.Entries = append(out.Entries, page.Entries...)
	}
	return out, err
}

func (s *rateStore) Read(ctx context.Context, t fleet.Topic, from fleet.Position, wait time.Duration) (fleet.Batch, error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout+wait)
	defer cancel()
	s.mu.Lock()
	s.count("read", t)
	if fault := s.faultLocked(); fault != faultNone {
		s.mu.Unlock()
		return fleet.Batch{}, fault.fail(ctx)
	}
	x := s.topic(t)
	if len(x.log) <= int(from) && wait > 0 {
		appended := x.appended
		s.mu.Unlock()
		timer := time.NewTimer(wait)
		select {
		case <-appended:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
		s.mu.Lock()
	}
	b := fleet.Batch{Next: from}
	bytes := 0
	for int(b.Next) < len(x.log) && bytes < storeMaxReadBytes {
		e := x.log[b.Next]
		b.Entries = append(b.Entries, e)
		bytes += len(e.Key) + len(e.Value)
		b.Next++
	}
	s.mu.Unlock()
	return b, s.respond(ctx, bytes)
}

func (s *rateStore) Extent(ctx context.Context, t fleet.Topic) (first, end fleet.Position, err error) {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	s.mu.Lock()
	s.count("extent", t)
	if fault := s.faultLocked(); fault != faultNone {
		s.mu.Unlock()
		return 0, 0, fault.fail(ctx)
	}
	end = fleet.Position(len(s.topic(t).log))
	s.mu.Unlock()
	return 0, end, s.respond(ctx, 1<<10)
}

// totalCalls returns the number of calls.
func (s *rateStore) totalCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := 0
	for _, n := range s.calls {
		sum += n
	}
	return sum
}
