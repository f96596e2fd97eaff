package gateway_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/internal/standin/site"
	"github.com/tealvane/tealvane/pkg/upstream"
)

// received is what a client received.
type received struct {
	status int
	body   string
	// ended is how the response ended.
	ended ending
}

type ending string

const (
	// statedComplete responses end with their length or their last chunk.
	statedComplete ending = "stated complete"
	// closed responses end with their connection.
	closed ending = "closed"
	// broken responses have ended early.
	broken ending = "broken"
)

// exchange sends a request and reads the response up to its end.
func (d *deployment) exchange(h *host, path, model, id string) received {
	d.t.Helper()
	return d.exchangeAs("1.1", h, path, model, id)
}

// exchangeAs is exchange of a client of an HTTP version.
func (d *deployment) exchangeAs(version string, h *host, path, model, id string) received {
	d.t.Helper()
	conn, err := net.Dial("tcp", h.Addr())
	if err != nil {
		d.t.Fatal(err)
	}
	defer conn.Close()
	fmt.Fprintf(conn, "POST %s HTTP/%s\r\nHost: h.example\r\nX-Request-Attempt-Id: %s\r\nX-Remaining-Milliseconds: 6000\r\nX-Model-Name: %s\r\nContent-Length: %d\r\n\r\n%s", path, version, id, model, len(id), id)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		d.t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	got := received{resp.StatusCode, string(body), statedComplete}
	switch {
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, syscall.ECONNRESET):
		got.ended = broken
	case err != nil:
		d.t.Fatal(err)
	case upstream.EndsWithConnection(resp):
		got.ended = closed
	}
	return got
}

// unframedCase is a response of an endpoint that ends with its connection, and what the client must get.
type unframedCase struct {
	name, path, model string
	first             site.Unframed
	want              received
	runs              int
}

const oneEvent = "id: 1\ndata: token 1\n\n"

// unframedCases returns the cases of all routes. ID stands for the ID of the request. Requests that may run
// again do so if their first run is known to have broken off.
func unframedCases() []unframedCase {
	const whole, between, inside, empty = site.CutNowhere, site.CutBetweenEvents, site.CutInsideEvent, site.CutBeforeBody
	secondHalf := "id: 2\ndata"
	return []unframedCase{
		{"stream, whole", "/story/", "warm", site.Unframed{Cut: whole}, received{200, threeEvents, closed}, 1},
		{"stream, between events", "/story/", "warm", site.Unframed{Cut: between}, received{200, oneEvent, closed}, 1},
		{"stream, inside an event", "/story/", "warm", site.Unframed{Cut: inside}, received{200, oneEvent + secondHalf, broken}, 1},
		{"stream, whole, reset", "/story/", "warm", site.Unframed{Cut: whole, Reset: true}, received{200, threeEvents, broken}, 1},
		{"stream, between events, reset", "/story/", "warm", site.Unframed{Cut: between, Reset: true}, received{200, oneEvent, broken}, 1},
		{"stream, inside an event, reset", "/story/", "warm", site.Unframed{Cut: inside, Reset: true}, received{200, oneEvent + secondHalf, broken}, 1},
		{"resumable, whole", "/chat/", "warm", site.Unframed{Cut: whole}, received{200, threeEvents, closed}, 1},
		{"resumable, between events", "/chat/", "warm", site.Unframed{Cut: between}, received{200, oneEvent, closed}, 1},
		{"resumable, inside an event", "/chat/", "warm", site.Unframed{Cut: inside}, received{200, threeEvents, closed}, 2},
		{"resumable, between events, reset", "/chat/", "warm", site.Unframed{Cut: between, Reset: true}, received{200, threeEvents, closed}, 2},
		{"resumable, whole, reset", "/chat/", "warm", site.Unframed{Cut: whole, Reset: true}, received{200, threeEvents, closed}, 2},
		{"resumable, inside, reset", "/chat/", "warm", site.Unframed{Cut: inside, Reset: true}, received{200, threeEvents, closed}, 2},
		{"unsafe, whole, reset", "/screen/", "", site.Unframed{Cut: whole, Reset: true}, received{502, "endpoint_failed\n", statedComplete}, 1},
		{"safe, whole", "/lookup/", "", site.Unframed{Cut: whole}, received{200, "answer to ID", closed}, 1},
		{"safe, whole, reset", "/lookup/", "", site.Unframed{Cut: whole, Reset: true}, received{200, "answer to ID", closed}, 2},
		{"unsafe, whole", "/screen/", "", site.Unframed{Cut: whole}, received{200, "answer to ID", closed}, 1},
		{"unsafe, cut", "/screen/", "", site.Unframed{Cut: between}, received{200, "answer ", closed}, 1},
		{"unsafe, cut, reset", "/screen/", "", site.Unframed{Cut: between, Reset: true}, received{502, "endpoint_failed\n", statedComplete}, 1},
		{"safe, cut", "/lookup/", "", site.Unframed{Cut: between}, received{200, "answer ", closed}, 1},
		{"stream, empty", "/story/", "warm", site.Unframed{Cut: empty}, received{502, "endpoint_failed\n", statedComplete}, 1},
		{"resumable, empty", "/chat/", "warm", site.Unframed{Cut: empty}, received{200, threeEvents, closed}, 2},
		{"safe, empty", "/lookup/", "", site.Unframed{Cut: empty}, received{200, "", closed}, 1},
		{"safe, cut, reset", "/lookup/", "", site.Unframed{Cut: between, Reset: true}, received{200, "answer to ID", closed}, 2},
	}
}

// Guards against responses without a length or chunks that are cut short and reach their clients as
// complete, directly or by way of another host.
func TestShortResponseWithoutLengthIsNotComplete(t *testing.T) {
	t.Parallel()
	for name, proxied := range map[string]bool{"direct": false, "by way of another host": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t)
			first := &atomic.Pointer[site.Unframed]{}
			behave := func(id, _ string, _ int) site.Behavior {
				if !strings.HasPrefix(id, "unframed-") {
					return site.Behavior{}
				}
				if u := first.Swap(nil); u != nil {
					return site.Behavior{Unframed: u}
				}
				return site.Behavior{Unframed: &site.Unframed{}}
			}
			endpoints := d.startPlain(behave)
			for _, id := range []string{"e1", "e2"} {
				endpoints = append(endpoints, d.startEndpoint(site.EndpointConfig{
					ID: id, Service: "llm", Zone: "zone-a", Slots: 8, WeightsMB: 125, AdapterSlots: 4, Models: models,
					LoadedModels: []string{"warm"}, Events: 3, Behave: behave,
				}))
			}
			h := d.startForUnframed(proxied)
			for i, c := range unframedCases() {
				t.Run(c.name, func(t *testing.T) {
					is := is.New(t)
					id := fmt.Sprint("unframed-", i)
					first.Store(&c.first)
					c.want.body = strings.ReplaceAll(c.want.body, "ID", id)
					is.Equal(d.exchange(h, c.path, c.model, id), c.want)
					is.Equal(len(runsOf(endpoints, id)), c.runs)
				})
			}
		})
	}
}

// startForUnframed starts a host, without links to endpoints if proxied is set, and adds a route whose streams
// cannot be resumed and one whose requests may run more than once.
func (d *deployment) startForUnframed(proxied bool) *host {
	d.t.Helper()
	var h *host
	if proxied {
		_, h = d.startCutOffPair()
	} else {
		d.publish(config(1))
		h = d.startHost("a")
	}
	c := config(2)
	story, lookup := c.Routes[0], c.Routes[1]
	story.Name, story.PathPrefix, story.Resumable = "story", "/story/", false
	lookup.Name, lookup.PathPrefix, lookup.Kind = "lookup", "/lookup/", "safe"
	c.Routes = append(c.Routes, story, lookup)
	d.publish(c)
	d.waitFor("the routes are in force", func() bool {
		return d.request(h, "/story/", "warm").status == http.StatusOK && d.request(h, "/lookup/", "").status == http.StatusOK
	})
	return h
}
