package gateway_test

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/tealvane/tealvane/internal/standin/site"
)

// headCut is where an endpoint ends the connection within the head of a response.
type headCut struct {
	at    int
	reset bool
}

// cutHead returns a behavior that sends the first bytes of a head, and sets size to its length.
func cutHead(c headCut, size *atomic.Int64) site.Behavior {
	return site.Behavior{Raw: func(conn net.Conn, header http.Header, _ *http.Request) {
		header.Set("Content-Length", "12")
		head := &bytes.Buffer{}
		_ = header.Write(head) // A buffer does not fail.
		whole := "HTTP/1.1 200 OK\r\n" + head.String() + "\r\n"
		size.Store(int64(len(whole)))
		_, _ = io.WriteString(conn, whole[:c.at])
		if c.reset {
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
	}}
}

// Guards against a head that its endpoint did not finish and that reaches a client as a response, and against
// a request that runs again after it where that is not allowed.
func TestCutHeadIsNoResponse(t *testing.T) {
	t.Parallel()
	for name, proxied := range map[string]bool{"direct": false, "by way of another host": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			first, size := &atomic.Pointer[headCut]{}, &atomic.Int64{}
			behave := func(id, _ string, _ int) site.Behavior {
				if c := first.Load(); strings.HasPrefix(id, "cut-") && c != nil && first.CompareAndSwap(c, nil) {
					return cutHead(*c, size)
				}
				return site.Behavior{}
			}
			endpoints := d.startPlain(behave)
			for _, id := range []string{"e1", "e2"} {
				endpoints = append(endpoints, d.startEndpoint(site.EndpointConfig{
					ID: id, Service: "llm", Zone: "zone-a", Slots: 8, WeightsMB: 125, AdapterSlots: 4, Models: models,
					LoadedModels: []string{"warm"}, Events: 3, Behave: behave,
				}))
			}
			h := d.startForUnframed(proxied)
			for i, c := range []struct {
				path, model, version, body string
				ended                      ending
				// again reports whether the request may run again.
				again bool
			}{
				{"/lookup/", "", "1.1", "answer to ID", statedComplete, true},
				{"/lookup/", "", "1.0", "answer to ID", statedComplete, true},
				{"/chat/", "warm", "1.1", threeEvents, statedComplete, true},
				{"/chat/", "warm", "1.0", threeEvents, closed, true},
				{"/screen/", "", "1.1", "", "", false},
				{"/story/", "warm", "1.0", "", "", false},
			} {
				size.Store(1)
				served := 0
				for at := 0; at < int(size.Load()); at++ {
					id := fmt.Sprintf("cut-%d-%d", i, at)
					first.Store(&headCut{at, (at+i)%2 == 0})
					got, runs := d.exchangeAs(c.version, h, c.path, c.model, id), len(runsOf(endpoints, id))
					whole := received{http.StatusOK, strings.ReplaceAll(c.body, "ID", id), c.ended}
					switch {
					case c.again && got == whole && runs == 2:
						served++
					case got.status != http.StatusBadGateway || got.ended != statedComplete || runs != 1:
						t.Fatalf("%s HTTP/%s, cut after %d bytes: %+v after %d runs", c.path, c.version, at, got, runs)
					}
				}
				if c.again && served == 0 {
					t.Errorf("%s: no request ran again", c.path)
				}
			}
		})
	}
}
