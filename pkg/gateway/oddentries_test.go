package gateway_test

import (
	"net/http"
	"strings"
	"testing"

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
