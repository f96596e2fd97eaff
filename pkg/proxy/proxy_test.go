package proxy

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/links"
	"github.com/tealvane/tealvane/pkg/peer"
	"github.com/tealvane/tealvane/pkg/upstream"
)

// tcpStream is a stream over a TCP connection.
type tcpStream struct{ *net.TCPConn }

// bytesSent counts the bytes of all streams.
var bytesSent atomic.Int64

func (s tcpStream) Write(p []byte) (int, error) {
	bytesSent.Add(int64(len(p)))
	return s.TCPConn.Write(p)
}

func (s tcpStream) Close() error { return s.CloseWrite() }

func (s tcpStream) Abort() {
	_ = s.SetLinger(0)
	_ = s.TCPConn.Close()
}

// hostPair is a host that has lost its links and one that serves its streams.
type hostPair struct {
	t         testing.TB
	transport *Transport
	server    *Server
	endpoint  fleet.Endpoint
	known     bool
	// intercept replaces the server if it is set.
	intercept func(Stream)

	mu      sync.Mutex
	results []string
}

// newHostPair returns hosts for an endpoint with a handler.
func newHostPair(t testing.TB, handler http.HandlerFunc) *hostPair {
	t.Helper()
	engine := httptest.NewServer(handler)
	t.Cleanup(engine.Close)
	p := &hostPair{t: t, known: true, endpoint: fleet.Endpoint{ID: "e", Addr: engine.Listener.Addr().String()}}
	limit := func(fleet.Endpoint) int { return 8 }
	p.server = &Server{
		Direct:      upstream.NewTransport(time.Now, limit, upstream.Dial),
		Endpoint:    func(fleet.EndpointID) (fleet.Endpoint, bool) { return p.endpoint, true },
		Unreachable: func(fleet.EndpointID) bool { return false },
		LinksLost:   func(context.Context) bool { return false },
		Stopping:    func() bool { return false },
		Limits:      Limits{Requests: 4, Bytes: 1 << 20},
		Count: func(result string) {
			p.mu.Lock()
			defer p.mu.Unlock()
			p.results = append(p.results, result)
		},
	}
	refuse := func(context.Context, string) (net.Conn, error) { return nil, errors.New("no link") }
	p.transport = &Transport{
		Direct:  upstream.NewTransport(time.Now, limit, refuse),
		Links:   links.NewTable(),
		Helpers: NewHelpers(Host{Name: "a"}, func() []Host { return []Host{{Name: "b", Addr: "b"}} }),
		Open:    p.open,
		Now:     time.Now,
		OnSlow:  func(fleet.EndpointID) {},
	}
	return p
}

func (p *hostPair) open(ctx context.Context, _ string, r peer.Request) (Stream, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer l.Close()
	ours, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		return nil, err
	}
	theirs, err := l.Accept()
	if err != nil {
		return nil, err
	}
	server := tcpStream{theirs.(*net.TCPConn)}
	go func() {
		if p.intercept != nil {
			p.intercept(server)
			return
		}
		p.server.Serve(context.WithoutCancel(ctx), server, *r.Proxy, p.known)
	}()
	return tcpStream{ours.(*net.TCPConn)}, nil
}

// send sends a request by way of the second host.
func (p *hostPair) send(ctx context.Context, body string) (*http.Response, error) {
	resp, _, err := p.transport.Send(ctx, p.endpoint, upstream.Request{
		Method: http.MethodPost, Target: "/x%2Fy?q=1", Host: "h.example",
		Header: http.Header{"X-Some": {"one", "two"}}, Body: []byte(body),
	})
	return resp, err
}

// Guards against requests that reach the endpoint changed, and against cut or joined responses.
func TestRequestAndResponseAreUnchanged(t *testing.T) {
	is := is.New(t)
	large := strings.Repeat("0123456789", 30_000)
	p := newHostPair(t, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		w.Header().Set("X-Back", fmt.Sprint(r.Method, " ", r.RequestURI, " ", r.Host, " ", r.Header.Values("X-Some"), " ", len(body)))
		_, _ = w.Write(body)
	})
	for _, body := range []string{"", "short", large} {
		resp, err := p.send(t.Context(), body)
		is.NoErr(err)
		got, err := io.ReadAll(resp.Body)
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
		is.Equal(string(got), body)
		is.Equal(resp.Header.Get("X-Back"), fmt.Sprint("POST /x%2Fy?q=1 h.example [one two] ", len(body)))
	}
}

// Guards against a truncated response that looks complete over the second hop.
func TestTruncatedResponseIsNotComplete(t *testing.T) {
	is := is.New(t)
	p := newHostPair(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "part")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	})
	resp, err := p.send(t.Context(), "")
	is.NoErr(err)
	_, err = io.ReadAll(resp.Body)
	is.True(err != nil)
}

// Guards against a run that goes on after the client has left the first host.
func TestCancellationEndsRun(t *testing.T) {
	is := is.New(t)
	started, ended := make(chan struct{}), make(chan struct{})
	p := newHostPair(t, func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		close(ended)
	})
	ctx, leave := context.WithCancel(t.Context())
	go func() {
		<-started
		leave()
	}()
	_, err := p.send(ctx, "")
	is.True(err != nil)
	is.True(!errors.Is(err, upstream.ErrNotSent))
	select {
	case <-ended:
	case <-time.After(500 * time.Millisecond):
		t.Fatal("the run goes on 0.5 s after the client has left")
	}
}

// Guards against the loss of the other host being taken for a request that has not run, and the other way
// round.
func TestLostHostAfterAndBeforeTheRequest(t *testing.T) {
	t.Parallel()
	after := func(frames int) func(Stream) {
		return func(s Stream) {
			out := &frameWriter{out: s}
			if frames > 0 {
				_ = out.writeValue(frameReady, acceptance{})
			}
			for range frames {
				if _, _, err := readFrame(s); err != nil {
					return
				}
			}
			s.Abort()
		}
	}
	for name, c := range map[string]struct {
		frames  int
		notSent bool
	}{"before it is ready": {0, true}, "after the whole request": {3, false}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			p := newHostPair(t, func(http.ResponseWriter, *http.Request) { t.Error("the request has run") })
			p.intercept = after(c.frames)
			_, err := p.send(t.Context(), "body")
			is.True(err != nil)
			is.Equal(errors.Is(err, upstream.ErrNotSent), c.notSent)
		})
	}
}

// Guards against a request that waits for its deadline at a host that has stopped answering.
func TestSilentHostIsGivenUp(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p := newHostPair(t, func(http.ResponseWriter, *http.Request) {})
	p.intercept = func(s Stream) {
		_ = (&frameWriter{out: s}).writeValue(frameReady, acceptance{})
		<-t.Context().Done()
	}
	start := time.Now()
	_, err := p.send(t.Context(), "")
	is.True(err != nil)
	is.True(!errors.Is(err, upstream.ErrNotSent))
	is.True(time.Since(start) < silenceTimeout+time.Second)
}

// Guards against requests that are sent for strangers, to endpoints that this host no longer uses, beyond
// its room or while it stops.
func TestRefusedRequestsAreNotSent(t *testing.T) {
	for _, c := range []struct {
		name   string
		change func(*hostPair)
		want   Reason
	}{
		{"stranger", func(p *hostPair) { p.known = false }, ReasonUnknownHost},
		{"removed endpoint", func(p *hostPair) {
			p.server.Endpoint = func(fleet.EndpointID) (fleet.Endpoint, bool) { return fleet.Endpoint{}, false }
		}, ReasonNotInUse},
		{"full", func(p *hostPair) { p.server.Limits.Requests = 0 }, ReasonBusy},
		{"large body", func(p *hostPair) { p.server.Limits.Bytes = 3 }, ReasonBusy},
		{"stopping", func(p *hostPair) { p.server.Stopping = func() bool { return true } }, ReasonStopping},
		{"no link", func(p *hostPair) { p.server.Unreachable = func(fleet.EndpointID) bool { return true } }, ReasonUnreachable},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := newHostPair(t, func(http.ResponseWriter, *http.Request) { t.Error("the request has run") })
			c.change(p)
			_, err := p.send(t.Context(), "body")
			is.True(errors.Is(err, upstream.ErrNotSent))
			p.mu.Lock()
			defer p.mu.Unlock()
			is.Equal(p.results, []string{"refused_" + string(c.want)})
		})
	}
}

// Guards against a request that reaches an endpoint that was removed after the connection was reserved.
func TestEndpointRemovedBeforeRequestIsSent(t *testing.T) {
	is := is.New(t)
	p := newHostPair(t, func(http.ResponseWriter, *http.Request) { t.Error("the request has run") })
	asked := 0
	p.server.Endpoint = func(fleet.EndpointID) (fleet.Endpoint, bool) {
		asked++
		return p.endpoint, asked == 1
	}
	_, err := p.send(t.Context(), "body")
	is.True(errors.Is(err, upstream.ErrNotSent))
	is.Equal(asked, 2)
}

// Guards against an endpoint that has terminated being taken for lost links: another host that is refused a
// connection confirms it, one that has lost its links does not.
func TestUnreachableIsConfirmedByHostWithLinks(t *testing.T) {
	for _, lost := range []bool{false, true} {
		t.Run(fmt.Sprint("links lost ", lost), func(t *testing.T) {
			is := is.New(t)
			p := newHostPair(t, func(http.ResponseWriter, *http.Request) {})
			p.server.LinksLost = func(context.Context) bool { return lost }
			p.transport.Links.RecordSample(time.Now(), 0, 3)
			p.transport.Links.RecordFailed(time.Now(), p.endpoint.ID)
			gone := httptest.NewServer(nil)
			p.endpoint.Addr = gone.Listener.Addr().String()
			gone.Close()
			_, err := p.send(t.Context(), "")
			is.True(errors.Is(err, upstream.ErrNotSent))
			is.Equal(errors.Is(err, upstream.ErrUnreachable), !lost)
			is.Equal(errors.Is(err, ErrNoPath), lost)
		})
	}
}

// Guards against a shutdown that cuts off requests of other hosts.
func TestWaitCoversRequestsInProgress(t *testing.T) {
	is := is.New(t)
	finish := make(chan struct{})
	p := newHostPair(t, func(w http.ResponseWriter, _ *http.Request) {
		<-finish
		_, _ = io.WriteString(w, "done")
	})
	answered := make(chan error, 1)
	go func() {
		resp, err := p.send(t.Context(), "")
		if err == nil {
			_, err = io.ReadAll(resp.Body)
			err = errors.CombineErrors(err, resp.Body.Close())
		}
		answered <- err
	}()
	for p.server.Load() == 0 {
		select {
		case err := <-answered:
			t.Fatal("the request ended early: ", err)
		case <-time.After(time.Millisecond):
		}
	}
	short, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	p.server.Wait(short)
	is.True(short.Err() != nil)
	close(finish)
	p.server.Wait(t.Context())
	is.NoErr(<-answered)
}

// BenchmarkProxiedRequest measures a request of 2,000 bytes that is answered with 14 events, sent directly and by way
// of another host.
func BenchmarkProxiedRequest(b *testing.B) {
	for name, direct := range map[string]bool{"direct": true, "proxied": false} {
		b.Run(name, func(b *testing.B) {
			p := newHostPair(b, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Type", "text/event-stream")
				for n := range 14 {
					_, _ = fmt.Fprintf(w, "id: %d\ndata: token %d\n\n", n, n)
					_ = http.NewResponseController(w).Flush()
				}
			})
			p.server.Limits.Requests = 100 // A request counts until its sender has read the response.
			body := strings.Repeat("x", 2000)
			before := bytesSent.Load()
			for b.Loop() {
				var resp *http.Response
				var err error
				if direct {
					resp, err = p.server.Direct.Do(b.Context(), p.endpoint, upstream.Request{Method: http.MethodPost, Target: "/", Host: "h", Body: []byte(body)})
				} else {
					resp, err = p.send(b.Context(), body)
				}
				if err != nil {
					b.Fatal(err)
				}
				if _, err := io.Copy(io.Discard, resp.Body); err != nil {
					b.Fatal(err)
				}
				_ = resp.Body.Close()
			}
			b.ReportMetric(float64(bytesSent.Load()-before)/float64(b.N), "peer-bytes/op")
		})
	}
}
