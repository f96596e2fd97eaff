package serve_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/tealvane/tealvane/internal/streamjudge"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/serve"
	"pgregory.net/rapid"
)

// orderBackend responds with streams that it splits and ends in any way.
type orderBackend struct {
	*fakeBackend
	rand *lockedRand
	runs map[string]streamjudge.Run
}

const orderEvents = 6

// lockedRand draws for several goroutines.
type lockedRand struct {
	mu   sync.Mutex
	rand *rand.Rand
}

// n returns a number in [0, max).
func (r *lockedRand) n(max int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rand.IntN(max)
}

func (r *lockedRand) bool() bool { return r.n(2) == 0 }

// Send implements serve.Backend.
func (b *orderBackend) Send(_ context.Context, r *serve.Request, s serve.Send) (*serve.Response, error) {
	switch b.rand.n(8) {
	case 0:
		return nil, fmt.Errorf("%w: refused", serve.ErrNotSent)
	case 1:
		return nil, errReset
	case 2:
		return &serve.Response{Class: serve.Overloaded, Status: 503, Body: io.NopCloser(strings.NewReader(""))}, nil
	}
	tag := fmt.Sprint("run-", len(b.runs))
	stream, _, _ := strings.Cut(r.ID, ".")
	run := streamjudge.Run{Stream: stream, Origin: s.Endpoint.Version, Last: orderEvents}
	_, _ = fmt.Sscan(s.LastEvent, &run.After) // Without an ID, the stream starts at the first event.
	body := ""
	for n := run.After + 1; n <= orderEvents; n++ {
		body += streamjudge.Event(tag, n)
	}
	reader := &splitReader{rand: b.rand, rest: body, end: io.EOF}
	response := &serve.Response{Status: 200, Events: true, Framing: []serve.Framing{serve.FramingLength, serve.FramingChunks, serve.FramingConnection}[b.rand.n(3)]}
	if b.rand.bool() {
		reader.rest = body[:b.rand.n(len(body)+1)]
		reader.end = errReset
		if events := strings.Count(reader.rest, "\n\n"); response.Framing == serve.FramingConnection && events > 0 && b.rand.bool() {
			// Nobody can tell this from the end of the stream.
			reader.end = io.EOF
			run.Last = run.After + events
		}
	}
	b.runs[tag] = run
	response.Body = io.NopCloser(reader)
	return response, nil
}

// splitReader returns its data in parts of any size, with pauses.
type splitReader struct {
	rand *lockedRand
	rest string
	end  error
}

// Read implements io.Reader.
func (r *splitReader) Read(p []byte) (int, error) {
	if len(r.rest) == 0 {
		return 0, r.end
	}
	time.Sleep([]time.Duration{0, 0, 0, 0, time.Millisecond, 3 * time.Second}[r.rand.n(6)])
	n := copy(p, r.rest[:1+r.rand.n(min(len(r.rest), 40))])
	r.rest = r.rest[n:]
	if len(r.rest) == 0 && errors.Is(r.end, io.EOF) && r.rand.bool() {
		return n, r.end
	}
	return n, nil
}

// originVersions remembers where streams began, as hosts do together.
type originVersions map[string]fleet.StreamOrigin

// Find implements serve.StreamVersions.
func (v originVersions) Find(_ context.Context, r *serve.Request) (serve.StreamVersion, error) {
	o, ok := v[r.Resumes]
	if !ok {
		return serve.StreamVersion{}, serve.ErrVersionUnknown
	}
	return serve.StreamVersion{Service: o.Service, Required: fleet.RequireVersion(o.Version)}, nil
}

// RecordStart implements serve.StreamVersions.
func (v originVersions) RecordStart(r *serve.Request, o fleet.StreamOrigin) { v[r.ID] = o }

// Guards against streams that miss an event, get one twice, are joined from two runs or versions, or look complete before their
// end, when responses break off, end or pause anywhere and clients take up what breaks off.
func TestOrderOfStreams(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		var findings []streamjudge.Finding
		synctest.Test(t, func(*testing.T) {
			draw := &lockedRand{rand: rand.New(rand.NewPCG(seed, 0))}
			b := &orderBackend{fakeBackend: newFakeBackend("a", "b", "c"), rand: draw, runs: map[string]streamjudge.Run{}}
			b.setVersions("1", "1", fmt.Sprint(1+draw.n(2)))
			server := newServer(b.fakeBackend)
			server.Backend, server.Versions = b, originVersions{}
			stream := streamjudge.Stream{ID: "s", Resumable: draw.bool()}
			events, first := 0, ""
			for attempt := range 3 {
				r := request(fmt.Sprint("s.", attempt), fleet.Stream, stream.Resumable)
				r.Route.Attempts = 3
				if events > 0 {
					r.LastEvent, r.Resumes = fmt.Sprint(events), first
				}
				var out sink
				if left := draw.n(20); left < 8 {
					out.onWrite = func() { out.gone = out.body.Len() > left*30 }
				}
				server.Serve(context.Background(), r, &out)
				a := streamjudge.Attempt{Body: out.body.String(), Complete: out.begun > 0 && !out.aborted && !out.gone}
				stream.Attempts = append(stream.Attempts, a)
				got := strings.Count(a.Body, "\n\n")
				if events == 0 && got > 0 {
					first = r.ID
				}
				events += got
				if a.Complete || !stream.Resumable {
					break
				}
			}
			findings = streamjudge.Check(stream, b.runs)
		})
		for _, f := range findings {
			rt.Error(f)
		}
	})
}
