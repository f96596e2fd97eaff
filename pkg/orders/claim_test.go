package orders_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/internal/proptest"
	"github.com/tealvane/tealvane/pkg/orders"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { proptest.Main(m, 300, 60) }

const lease = 3 * time.Second

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func holder(host string) orders.Holder { return orders.Holder{Host: host, Incarnation: host + "-1"} }

func election(host string) *orders.Election { return orders.NewElection(holder(host), lease, 0, start) }

// The holder is cut off but lives. Its successor must not order before the
// former one's lease has run out, or endpoints see two hosts in turn.
func TestSuccessorWaitsForTheLease(t *testing.T) {
	is := is.New(t)
	e := election("b")
	e.Observe(at(0), orders.Claim{Holder: holder("a"), Token: 1})
	e.Heard(at(time.Second), 1)
	is.True(!e.ShouldClaim(at(2 * time.Second))) // heard a second ago
	is.True(e.ShouldClaim(at(2500 * time.Millisecond)))
	e.Won(at(2500*time.Millisecond), 2)
	is.Equal(e.Token(at(3900*time.Millisecond)), int64(0))
	is.Equal(e.Token(at(4*time.Second)), int64(2))
}

// A holder that stops hands its claim on; nobody has to wait for its lease.
func TestReleasedClaimIsTakenAtOnce(t *testing.T) {
	is := is.New(t)
	e := election("b")
	released := holder("a")
	released.Released = true
	e.Observe(at(0), orders.Claim{Holder: released, Token: 5})
	is.True(e.ShouldClaim(at(0)))
	e.Won(at(0), 6)
	is.Equal(e.Token(at(0)), int64(6))
}

// All hosts lose power at once. The new incarnations read the claim of a dead one;
// each waited for its lease, and no model was loaded for three seconds.
func TestClaimOfADeadIncarnationIsVacant(t *testing.T) {
	is := is.New(t)
	e := election("b")
	e.Observe(at(0), orders.Claim{Holder: holder("a"), Token: 5})
	e.Restarted("c", "c-2")
	is.True(!e.ShouldClaim(at(500 * time.Millisecond)))
	e.Restarted("a", "a-2")
	is.True(e.ShouldClaim(at(time.Second)))
	e.Won(at(time.Second), 6)
	is.Equal(e.Token(at(time.Second)), int64(6))
	// The entry of the incarnation that holds the claim proves nothing.
	f := election("b")
	f.Observe(at(0), orders.Claim{Holder: holder("a"), Token: 5})
	f.Restarted("a", "a-1")
	is.True(!f.Vacant())
}

// A host does not know yet whether somebody holds the claim: the store was away
// when it started. Claiming then would depose a healthy holder.
func TestUnknownClaimsAreNotChallenged(t *testing.T) {
	is := is.New(t)
	e := election("b")
	is.True(!e.ShouldClaim(at(time.Minute)))
	e.Caught()
	is.True(e.ShouldClaim(at(time.Minute)))
}

// The holder freezes, another claims meanwhile, the holder wakes. Its steady
// clock shows no gap, so that it would go on with orders at once.
func TestFrozenHolderAsksTheStoreFirst(t *testing.T) {
	is := is.New(t)
	e := election("a")
	e.Caught()
	e.Won(at(0), 1)
	e.Running(time.Second)
	is.Equal(e.Token(at(time.Second)), int64(1))
	is.True(e.Running(6 * time.Second)) // suspended for five seconds
	is.Equal(e.Token(at(time.Second)), int64(0))
	e.Observe(at(time.Second), orders.Claim{Holder: holder("b"), Token: 2})
	e.Caught()
	is.Equal(e.Token(at(time.Minute)), int64(0))
	is.Equal(e.Held(), int64(0))
}

// An endpoint has seen a newer token. Every further order with the old one is
// refused and charged; the claim is lost for good, whatever is read afterwards.
func TestRefusedTokenIsNeverUsedAgain(t *testing.T) {
	is := is.New(t)
	e := election("a")
	e.Caught()
	e.Won(at(0), 7)
	e.Lost(7)
	e.Observe(at(time.Second), orders.Claim{Holder: holder("a"), Token: 7})
	e.Caught()
	is.Equal(e.Token(at(time.Minute)), int64(0))
}

// A host's claim is in the store, but the answer to its append is lost, or comes
// after it has read the claim. It took itself for a host without a claim and
// claimed again every 0.4 s; nobody gave orders for seconds.
func TestOwnClaimIsFoundInTheStore(t *testing.T) {
	is := is.New(t)
	e := election("a")
	e.Caught()
	is.True(e.ShouldClaim(at(0)))
	e.Observe(at(100*time.Millisecond), orders.Claim{Holder: holder("a"), Token: 3})
	e.Won(at(200*time.Millisecond), 3)
	is.Equal(e.Token(at(200*time.Millisecond)), int64(3))
	is.True(!e.ShouldClaim(at(time.Minute)))
}

// Hosts claim at any time, hear each other or not, and freeze. The store orders
// the claims. No token is ever held by two hosts, and a host that knows of a
// newer claim gives no orders.
func TestTokensAreExclusive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c"}
		var hosts []*orders.Election
		for _, n := range names {
			hosts = append(hosts, election(n))
		}
		var log []orders.Claim
		read := make([]int, len(hosts))
		now := start
		owner := map[int64]int{}
		for range rapid.IntRange(10, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "pause")) * time.Millisecond)
			i := rapid.IntRange(0, len(hosts)-1).Draw(t, "host")
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0: // read on
				for ; read[i] < len(log); read[i]++ {
					hosts[i].Observe(now, log[read[i]])
				}
				hosts[i].Caught()
			case 1: // claim at the end that was read
				if hosts[i].ShouldClaim(now) && read[i] == len(log) {
					c := orders.Claim{Holder: holder(names[i]), Token: int64(len(log) + 1)}
					log = append(log, c)
					hosts[i].Won(now, c.Token)
				}
			case 2:
				if len(log) > 0 {
					hosts[i].Heard(now, log[len(log)-1].Token)
				}
			case 3:
				hosts[i].Running(now.Sub(start))
			}
			for k, h := range hosts {
				token := h.Token(now)
				if token == 0 {
					continue
				}
				if o, ok := owner[token]; ok && o != k {
					t.Fatalf("token %d is used by %s and %s", token, names[o], names[k])
				}
				owner[token] = k
				if token != h.Newest().Token {
					t.Fatalf("%s orders with %d and knows %d", names[k], token, h.Newest().Token)
				}
			}
		}
	})
}

// The holder freezes while hosts are restarted one after the other. Each new one
// read the old claim and said that it had heard the holder just now, so that
// nobody claimed for four seconds, and no model was loaded.
func TestFreshHostIsNoWitness(t *testing.T) {
	is := is.New(t)
	fresh := election("c")
	fresh.Observe(at(2*time.Second), orders.Claim{Holder: holder("a"), Token: 5})
	is.True(fresh.HeardAgo(at(2*time.Second)) > lease)
	is.True(!fresh.ShouldClaim(at(2100 * time.Millisecond))) // it may still hear the holder
	fresh.Heard(at(2200*time.Millisecond), 5)
	is.Equal(fresh.HeardAgo(at(2300*time.Millisecond)), 100*time.Millisecond)
	fresh.Observe(at(2400*time.Millisecond), orders.Claim{Holder: holder("b"), Token: 6})
	is.True(fresh.HeardAgo(at(2400*time.Millisecond)) > lease) // not a sign of the new holder
}

// Two hosts ask each other about a dead holder in turn. What one has from the
// other must not get younger on the way, or neither ever claims.
func TestHearsayKeepsItsAge(t *testing.T) {
	is := is.New(t)
	a, b := election("a"), election("b")
	for _, e := range []*orders.Election{a, b} {
		e.Observe(at(0), orders.Claim{Holder: holder("dead"), Token: 5})
	}
	a.Heard(at(500*time.Millisecond), 5)
	for i := range 20 {
		now := at(500*time.Millisecond + time.Duration(i)*100*time.Millisecond)
		b.Heard(now.Add(-a.HeardAgo(now)), 5)
		a.Heard(now.Add(-b.HeardAgo(now)), 5)
	}
	is.True(a.ShouldClaim(at(1800 * time.Millisecond)))
	is.True(b.ShouldClaim(at(1800 * time.Millisecond)))
}
