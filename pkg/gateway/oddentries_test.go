package gateway_test

import (
	"net/http"
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
			d.startEngine("e1")
			h := d.startHost("a")
			put(d.store, "keyed.servers")
			plain := d.startEndpoint(site.EndpointConfig{ID: "p1", Service: "plain", Zone: "zone-a", Slots: 4})
			d.waitFor("a later endpoint is served", func() bool { return d.request(h, "/screen/", "").status == http.StatusOK })
			is.True(len(plain.Runs()) > 0)
			is.Equal(d.request(h, "/chat/x", "warm").status, http.StatusOK)
		})
	}
}

var oddRecords = map[string]func(s *site.Store, topic string){
	"empty record":                func(s *site.Store, topic string) { s.PutMalformed(topic, nil) },
	"key longer than the record":  func(s *site.Store, topic string) { s.PutMalformed(topic, []byte{200, 'k'}) },
	"empty key":                   func(s *site.Store, topic string) { s.Put(topic, "", []byte("{}")) },
	"removal of an unknown entry": func(s *site.Store, topic string) { s.Put(topic, "x", nil) },
}
