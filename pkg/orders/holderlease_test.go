package orders_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/orders"
	"pgregory.net/rapid"
)

// The store answers no host, or not the holder. All others hear the holder, and none
// can give orders; a holder that waited for the store left users of models that were
// not loaded without an answer for as long as the store was away.
func TestHolderLeaseWithoutTheStore(t *testing.T) {
	const away = time.Hour
	answer := func(host string, sent time.Duration, token int64, storeAge time.Duration) orders.NoticeAnswer {
		return orders.NoticeAnswer{Host: host, Sent: at(sent), Token: token, StoreAge: storeAge}
	}
	for _, c := range []struct {
		name     string
		answers  []orders.NoticeAnswer
		unknown  bool
		now      time.Duration
		storeAge time.Duration
		may      bool
	}{
		{name: "the store has just answered", now: time.Second, storeAge: time.Second, may: true},
		{name: "nobody has answered", now: time.Second, storeAge: away},
		{name: "all have heard it", answers: []orders.NoticeAnswer{answer("b", 0, 1, away), answer("c", 100*time.Millisecond, 1, away)}, now: 2 * time.Second, storeAge: away, may: true},
		{name: "one has not", answers: []orders.NoticeAnswer{answer("b", 0, 1, away)}, now: time.Second, storeAge: away},
		{name: "one has long ago", answers: []orders.NoticeAnswer{answer("b", 0, 1, away), answer("c", 2*time.Second, 1, away)}, now: 3 * time.Second, storeAge: away},
		{name: "one knows a newer claim", answers: []orders.NoticeAnswer{answer("b", 0, 1, away), answer("c", 0, 2, away)}, now: time.Second, storeAge: away},
		{name: "a host that is not known has spoken", answers: []orders.NoticeAnswer{answer("b", 0, 1, away), answer("c", 0, 1, away)}, unknown: true, now: time.Second, storeAge: away},
		{name: "one that reads the store knows no newer claim", answers: []orders.NoticeAnswer{answer("b", 0, 1, time.Second)}, now: 400 * time.Millisecond, storeAge: away, may: true},
		{name: "but its own read is too long ago", answers: []orders.NoticeAnswer{answer("b", 0, 1, time.Second)}, now: 600 * time.Millisecond, storeAge: away},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l := orders.NewHolderLease(lease)
			if c.unknown {
				l.UnknownHost(at(0))
			}
			for _, a := range c.answers {
				l.Heard(1, a)
			}
			is.Equal(l.May(at(c.now), 1, c.storeAge, []string{"b", "c"}), c.may)
			is.Equal(l.May(at(c.now), 2, away, []string{"b", "c"}), false) // nothing was granted to another claim
		})
	}
}

// Endpoints do not check tokens. Hosts lose one another and the store in any order
// and at any moments; two of them gave orders in turn, and an endpoint was told to
// load by one what the other had evicted.
func TestNoTwoHostsOrderInTurn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newLeaseWorld()
		for range 40 {
			w.change(t)
			for range rapid.IntRange(1, 20).Draw(t, "ticks") {
				w.tick(t)
			}
		}
	})
}

const (
	tick        = 50 * time.Millisecond
	noticeEvery = 6 // ticks between two notices: 0.3 s
	listenFor   = 400 * time.Millisecond
	// inFlight is how long an order may be on its way.
	inFlight = 250 * time.Millisecond
)

// leaseHost is one host of a world in which endpoints do not check tokens.
type leaseHost struct {
	name     string
	election *orders.Election
	lease    *orders.HolderLease
	storeAt  time.Time
	store    bool
	won      time.Time
	held     int64
}

type leaseWorld struct {
	now   time.Time
	ticks int
	hosts []*leaseHost
	cut   map[[2]string]bool
	claim orders.Claim
	// ordered is when orders were last given with a token.
	ordered map[int64]time.Time
}

func newLeaseWorld() *leaseWorld {
	w := &leaseWorld{now: start, cut: map[[2]string]bool{}, ordered: map[int64]time.Time{}}
	for _, name := range []string{"a", "b", "c"} {
		w.hosts = append(w.hosts, &leaseHost{
			name:     name,
			election: orders.NewElection(holder(name), lease, orders.Settle(lease), start),
			lease:    orders.NewHolderLease(lease),
			storeAt:  start,
			store:    true,
		})
	}
	return w
}

// change cuts or heals one link, or a host's path to the store.
func (w *leaseWorld) change(t *rapid.T) {
	a := rapid.SampledFrom(w.hosts).Draw(t, "host")
	b := rapid.SampledFrom(w.hosts).Draw(t, "peer")
	if a == b {
		a.store = !a.store
		return
	}
	key := linkOf(a, b)
	w.cut[key] = !w.cut[key]
}

func linkOf(a, b *leaseHost) [2]string {
	return [2]string{min(a.name, b.name), max(a.name, b.name)}
}

func (w *leaseWorld) tick(t *rapid.T) {
	w.now = w.now.Add(tick)
	w.ticks++
	for _, h := range w.hosts {
		if h.store {
			h.storeAt = w.now
			h.election.Observe(w.now, w.claim)
			h.election.Caught()
		}
		if h.election.ShouldClaim(w.now) && (h.election.Vacant() || !w.witnessed(h)) {
			w.take(h)
		}
		if held := h.election.Held(); held != h.held {
			h.held, h.won = held, w.now
		}
		if h.held != 0 && w.ticks%noticeEvery == 0 {
			w.notice(h)
		}
		w.order(t, h)
	}
}

func (w *leaseWorld) witnessed(h *leaseHost) bool {
	for _, p := range w.hosts {
		if p != h && !w.cut[linkOf(h, p)] && p.election.HeardAgo(w.now) < 700*time.Millisecond {
			return true
		}
	}
	return false
}

// take appends a claim if the host has read all claims before.
func (w *leaseWorld) take(h *leaseHost) {
	if !h.store || h.election.Newest().Token != w.claim.Token {
		return
	}
	w.claim = orders.Claim{Holder: holder(h.name), Token: w.claim.Token + 1}
	h.election.Won(w.now, w.claim.Token)
}

func (w *leaseWorld) notice(h *leaseHost) {
	for _, p := range w.hosts {
		if p == h || w.cut[linkOf(h, p)] {
			continue
		}
		p.election.Observe(w.now, orders.Claim{Holder: holder(h.name), Token: h.held})
		p.election.Heard(w.now, h.held)
		newest := p.election.Newest()
		h.election.Observe(w.now, newest)
		h.lease.Heard(h.held, orders.NoticeAnswer{Host: p.name, Sent: w.now, Token: newest.Token, StoreAge: w.now.Sub(p.storeAt)})
	}
}

// order checks that no order meets one with another token on its way.
func (w *leaseWorld) order(t *rapid.T, h *leaseHost) {
	var others []string
	for _, p := range w.hosts {
		if p != h {
			others = append(others, p.name)
		}
	}
	token := h.election.Token(w.now)
	if token == 0 || w.now.Sub(h.won) < listenFor || !h.lease.May(w.now, token, w.now.Sub(h.storeAt), others) {
		return
	}
	for other, last := range w.ordered {
		if other > token || other < token && w.now.Sub(last) < inFlight {
			t.Fatalf("%s orders with token %d %v after an order with token %d", h.name, token, w.now.Sub(last), other)
		}
	}
	w.ordered[token] = w.now
}
