package gateway_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/internal/standin/site"
)

// Guards against one odd record of another writer that ends the host, or stops it from following the list.
func TestHostFollowsListPastOddRecords(t *testing.T) {
	t.Parallel()
	for name, put := range oddRecords {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			d := newDeployment(t)
			d.publish(config(1))
			e := d.startEngine("e1")
			h := d.startHost("a")
			put(d.store, "keyed.servers")
			e.Heartbeat()
			plain := d.startEndpoint(site.EndpointConfig{ID: "p1", Service: "plain", Zone: "zone-a", Slots: 4})
			d.waitFor("a later endpoint is served", func() bool { return d.request(h, "/screen/", "").status == http.StatusOK })
			is.True(len(plain.Runs()) > 0)
			is.Equal(d.request(h, "/chat/x", "warm").status, http.StatusOK)
		})
	}
}

// oddEntry returns an entry with an address and slots.
func oddEntry(address, slots string) string {
	return `{"service":"plain","address":"` + address + `","zone":"zone-a","version":"v1","slots":` + slots +
		`,"state":"ready","sequence":1,"cold-remaining-ms":0}`
}

var oddRecords = map[string]func(s *site.Store, topic string){
	"empty record":               func(s *site.Store, topic string) { s.PutMalformed(topic, nil) },
	"key longer than the record": func(s *site.Store, topic string) { s.PutMalformed(topic, []byte{200, 'k'}) },
	"empty key":                  func(s *site.Store, topic string) { s.Put(topic, "", []byte("{}")) },
	"unreadable entry":           func(s *site.Store, topic string) { s.Put(topic, "x", []byte("[[[[")) },
	"port out of range":          func(s *site.Store, topic string) { s.Put(topic, "x", []byte(oddEntry("127.0.0.1:65536", "8"))) },
	"port zero":                  func(s *site.Store, topic string) { s.Put(topic, "x", []byte(oddEntry("127.0.0.1:0", "8"))) },
	"number too large":           func(s *site.Store, topic string) { s.Put(topic, "x", []byte(oddEntry("127.0.0.1:9", "1099511627776"))) },
	"number that is no integer":  func(s *site.Store, topic string) { s.Put(topic, "x", []byte(oddEntry("127.0.0.1:9", "1e300"))) },
	"very deeply nested": func(s *site.Store, topic string) {
		s.Put(topic, "x", []byte(strings.Repeat("[", 100_000)))
		s.Put(topic, "y", []byte(`{"other":`+strings.Repeat("[", 9000)+strings.Repeat("]", 9000)+`}`))
	},
	"odd entry of a sound endpoint": func(s *site.Store, topic string) { s.Put(topic, "e1", []byte(oddEntry("127.0.0.1:65536", "8"))) },
	"removal of an unknown entry":   func(s *site.Store, topic string) { s.Put(topic, "x", nil) },
}

// Guards against an odd entry that names a sound endpoint, with a start time in the future: no host may keep the endpoint
// out of use while it goes on writing its entry.
func TestHostsUseEndpointAgainAfterOddStartTime(t *testing.T) {
	t.Parallel()
	d := newDeployment(t)
	d.publish(config(1))
	e := d.startEngine("e1")
	a, b := d.startHost("a"), d.startHost("b")
	d.waitFor("the hosts know each other", func() bool { return a.Peers() == 1 && b.Peers() == 1 })
	odd := oddEntry("127.0.0.1:9", "8")
	d.store.Put("keyed.servers", "e1", []byte(odd[:len(odd)-1]+`,"born":253402300799999}`))
	for name, h := range map[string]*host{"a": a, "b": b} {
		d.waitFor("host "+name+" knows the odd entry", func() bool { return h.DrainingOrGone("e1") })
	}
	next := time.Now()
	for name, h := range map[string]*host{"a": a, "b": b} {
		d.waitFor("host "+name+" uses the endpoint", func() bool {
			if now := time.Now(); !now.Before(next) {
				e.Heartbeat()
				next = now.Add(time.Second)
			}
			return !h.DrainingOrGone("e1")
		})
	}
	for _, h := range []*host{a, b} {
		is.New(t).Equal(d.request(h, "/chat/x", "warm").status, http.StatusOK)
	}
}

// Guards against one odd record in a topic other than the list that stops a host from following it.
func TestHostsFollowAllTopicsPastOddRecords(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	d := newDeployment(t)
	d.publish(config(1))
	d.startEngine("e1")
	a := d.startHost("a")
	d.waitFor("the host is the controller", a.IsController)
	for _, topic := range []string{"keyed.op", "keyed.hosts", "keyed.claims", "keyed.crashes", "keyed.versions", "keyed.streams"} {
		for _, name := range []string{"empty record", "key longer than the record", "empty key", "unreadable entry", "very deeply nested"} {
			oddRecords[name](d.store, topic)
		}
	}
	d.publish(config(2))
	d.waitFor("the host has the next configuration", func() bool { return a.ConfigVersion() == 2 })
	b := d.startHost("b")
	d.waitFor("the hosts know each other", func() bool { return a.Peers() == 1 && b.Peers() == 1 })
	is.Equal(d.request(a, "/chat/x", "warm").status, http.StatusOK)
	is.Equal(d.request(b, "/chat/x", "warm").status, http.StatusOK)
}
