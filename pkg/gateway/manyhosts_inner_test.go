package gateway

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/entrycache"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/orders"
	"github.com/tealvane/tealvane/pkg/peer"
	"github.com/tealvane/tealvane/pkg/relay"
	"github.com/tealvane/tealvane/pkg/serve"
)

// amongMany returns the weakest host of a zone in which it is no relay.
func amongMany() *Gateway {
	g := relayHost()
	g.self.Host = "leaf"
	g.mesh.member = relay.Member{Name: "leaf", Cores: 0.1}
	for i := range 100 {
		name := fmt.Sprint("h", i)
		g.mesh.updatePeer(name, hostEntry{Addr: name, Cores: 1, Fingerprint: peer.Fingerprint{byte(i + 1)}})
	}
	return g
}

// Guards against reads of the whole list as a safeguard whose sum grows with hosts times endpoints.
func TestSafeguardReadsAreBounded(t *testing.T) {
	is := is.New(t)
	g := amongMany()
	const endpoints, entryBytes = 10000, 300
	for i := range endpoints {
		g.cache.AddEndpoint(fleet.Entry{Key: fmt.Sprint("e", i), Value: make([]byte, entryBytes), Offset: fleet.Position(i)})
	}
	is.Equal(g.cache.ListBytes(), endpoints*entryBytes)
	for _, readers := range []int{20, 100, 1000, 2000} {
		perSecond := float64(readers*endpoints*entryBytes) / g.safeguardInterval(readers).Seconds()
		is.True(perSecond <= safeguardBytesPerSecond*1.01)
	}
	small := relayHost()
	for i := range 60 {
		small.cache.AddEndpoint(fleet.Entry{Key: fmt.Sprint("e", i), Value: make([]byte, entryBytes), Offset: fleet.Position(i)})
	}
	is.True(small.safeguardInterval(60) < confirmedListPollInterval)
}

// Guards against a host that may lack newer configurations answering that a route does not exist.
func TestIsolatedHostDoesNotDenyUnknownRoutes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := relayHost()
		g.config.Store(&fleet.Config{Version: 1})
		g.mesh.confirmList(g.Now())
		_, err := g.Admit("h.example", "/added/", nil)
		is.True(errors.Is(err, serve.ErrNoRoute))
		time.Sleep(maxListAge + time.Millisecond)
		_, err = g.Admit("h.example", "/added/", nil)
		is.True(errors.Is(err, serve.ErrNoConfig))
	})
}

// Guards against a restart of many hosts whose entries come in a message too large for the time of a
// pull, and against losing some of them.
func TestHostEntriesComeInParts(t *testing.T) {
	is := is.New(t)
	const hosts = 1000
	c := entrycache.New()
	var b fleet.Batch
	for i := range hosts {
		b.Entries = append(b.Entries, fleet.Entry{Key: hostKey("zone", fmt.Sprint("h", i)), Offset: fleet.Position(i)})
	}
	b.Next = hosts
	c.AddHosts(b)
	seen := map[string]bool{}
	next := fleet.Position(0)
	for {
		part, more := c.HostsFrom(next)
		is.True(len(part.Entries) <= entrycache.MaxHosts)
		for _, e := range part.Entries {
			seen[hostName(e.Key)] = true
		}
		next = part.Next
		if !more {
			break
		}
	}
	is.Equal(len(seen), hosts)
	is.Equal(next, fleet.Position(hosts))
}

// Guards against a first claim whose holder the other hosts do not know yet, which they replace.
func TestNoFirstClaimWhileHostsArrive(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := amongMany()
		time.Sleep(2 * firstClaimDelay)
		is.True(g.hostsArrive()) // this host has not read which hosts there are
		g.storeReads.SetLoaded(fleet.TopicHosts)
		is.True(!g.hostsArrive())
		g.mesh.updatePeer("late", hostEntry{Addr: "late", Fingerprint: peer.Fingerprint{200}})
		is.True(g.hostsArrive())
		g.election.Observe(g.Now(), orders.Claim{Holder: orders.Holder{Host: "h1"}, Token: 1})
		is.True(!g.hostsArrive()) // a claim exists, so that hosts have known each other
	})
}
