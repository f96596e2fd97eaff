package httpadapter_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/tealvane/tealvane/internal/standin"
	"github.com/tealvane/tealvane/pkg/external"
	"github.com/tealvane/tealvane/pkg/external/httpadapter"
	"github.com/tealvane/tealvane/pkg/pool"
)

func newEngine(fencing bool) *standin.Engine {
	return standin.NewEngine(standin.EngineConfig{
		MemoryMB:      100,
		ChecksFencing: fencing,
		Fetch:         func(context.Context, int64) error { return nil },
	})
}

func loadOrder(e *standin.Engine, addr string) pool.Order {
	return pool.Order{
		Kind:        pool.OrderLoad,
		Endpoint:    "e",
		Addr:        addr,
		Incarnation: e.Incarnation(),
		Replica:     "r1",
		Model:       "m",
		MemoryMB:    10,
		Fence:       7,
	}
}

// Guards against an order that takes effect on an engine that restarted at the
// same address after the order was issued.
func TestOrderRejectedAfterEndpointRestart(t *testing.T) {
	is := is.New(t)
	old, restarted := newEngine(false), newEngine(false)
	server := httptest.NewServer(restarted.Handler())
	defer server.Close()
	result, err := httpadapter.NewEngine().Order(context.Background(), loadOrder(old, server.URL))
	is.True(err != nil)
	is.Equal(result, pool.OrderRejected)
	is.Equal(restarted.Activity().Loads, 0)

	result, err = httpadapter.NewEngine().Order(context.Background(), loadOrder(restarted, server.URL))
	is.NoErr(err)
	is.Equal(result, pool.OrderOK)
}

// Guards against an order sent on a new connection after the engine restarted
// between the incarnation check and the order.
func TestOrderNotSentOnSecondConnection(t *testing.T) {
	is := is.New(t)
	engine := newEngine(false)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/status", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Connection", "close")
		engine.Handler().ServeHTTP(w, r)
	})
	mux.Handle("/", engine.Handler())
	server := httptest.NewServer(mux)
	defer server.Close()
	result, err := httpadapter.NewEngine().Order(context.Background(), loadOrder(engine, server.URL))
	is.True(err != nil)
	is.Equal(result, pool.OrderRejected)
	is.Equal(engine.Activity().Loads, 0)
}

// Guards against a late order of a former pool owner: an engine that checks
// fencing tokens must refuse a stale one and load nothing.
func TestStaleFencingTokenRefused(t *testing.T) {
	is := is.New(t)
	engine := newEngine(true)
	server := httptest.NewServer(engine.Handler())
	defer server.Close()
	client := httpadapter.NewEngine()
	unload := loadOrder(engine, server.URL)
	unload.Kind = pool.OrderUnload
	unload.Fence = 9
	result, err := client.Order(context.Background(), unload)
	is.NoErr(err)
	is.Equal(result, pool.OrderOK)
	result, _ = client.Order(context.Background(), loadOrder(engine, server.URL))
	is.Equal(result, pool.OrderRejected)
	is.Equal(engine.Activity().Loads, 0)
}

func newLoadedEngine(t *testing.T) (*standin.Engine, string, *httpadapter.Engine) {
	engine := newEngine(false)
	server := httptest.NewServer(engine.Handler())
	t.Cleanup(server.Close)
	client := httpadapter.NewEngine()
	if result, err := client.Order(context.Background(), loadOrder(engine, server.URL)); result != pool.OrderOK {
		t.Fatal(err)
	}
	return engine, server.URL, client
}

func readAll(s external.TokenStream) (text string, err error) {
	defer s.Close()
	for {
		token, err := s.Next()
		if err != nil || token.Done {
			return text, err
		}
		text += token.Text
	}
}

// Guards against accepting tokens of another request or a truncated stream as a
// complete response.
func TestBrokenStreamsReturnErrBroken(t *testing.T) {
	for name, fault := range map[string]standin.EngineFaults{
		"mislabeled tokens": {MislabelTokens: true},
		"truncated stream":  {TruncateAfter: 2},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			engine, url, client := newLoadedEngine(t)
			request := external.GenerateRequest{RequestID: "q", Replica: "r1", Model: "m", Prompt: "a b c"}
			stream, err := client.Generate(context.Background(), url, request)
			is.NoErr(err)
			text, err := readAll(stream)
			is.NoErr(err)
			is.Equal(text, "m answers: a b c")

			engine.SetFaults(fault)
			stream, err = client.Generate(context.Background(), url, request)
			is.NoErr(err)
			_, err = readAll(stream)
			is.True(errors.Is(err, external.ErrBroken))
		})
	}
}

// Guards against a wrong error class: a call that certainly did not run must return
// ErrRejected, and a call whose response was lost must not.
func TestCallErrorsTellWhetherCallRan(t *testing.T) {
	is := is.New(t)
	engine, url, client := newLoadedEngine(t)
	_, err := client.Generate(context.Background(), url, external.GenerateRequest{RequestID: "q", Model: "other"})
	is.True(errors.Is(err, external.ErrNotLoaded))
	is.True(errors.Is(err, external.ErrRejected))

	_, err = client.Call(context.Background(), "http://"+closedPort(t), external.ServiceCall{RequestID: "c"})
	is.True(errors.Is(err, external.ErrRejected))

	engine.SetFaults(standin.EngineFaults{LoseResponses: 1})
	_, err = client.Call(context.Background(), url, external.ServiceCall{RequestID: "c", Service: "s"})
	is.True(errors.Is(err, external.ErrUnavailable))
	is.True(!errors.Is(err, external.ErrRejected))
	is.Equal(len(engine.Activity().Ran), 1)
}

func closedPort(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// Guards against treating an append whose response was lost as rejected, and checks
// that a read of trimmed records returns the first readable offset.
func TestLogClientErrors(t *testing.T) {
	is := is.New(t)
	log := standin.NewLog()
	server := httptest.NewServer(log.Handler())
	defer server.Close()
	client := httpadapter.NewLog(server.URL, "s")
	off, err := client.Append(context.Background(), []byte("one"))
	is.NoErr(err)
	is.Equal(int(off), 1)

	log.SetFaults(standin.LogFaults{LoseResponses: 1})
	_, err = client.Append(context.Background(), []byte("two"))
	is.True(errors.Is(err, external.ErrUnavailable))
	is.Equal(int(log.Last()), 2)

	entries, err := client.Read(context.Background(), 1, 10, time.Second)
	is.NoErr(err)
	is.Equal(len(entries), 2)
	log.Trim(2)
	_, err = client.Read(context.Background(), 1, 10, time.Second)
	var trimmed *external.TrimmedError
	is.True(errors.As(err, &trimmed))
	is.Equal(int(trimmed.First), 2)

	_, err = client.Append(context.Background(), make([]byte, 300<<10))
	is.True(errors.Is(err, external.ErrInvalid))
}

// Checks that Retry-After of a 429 response is returned, and that values other
// than a positive number of seconds are ignored.
func TestRetryAfterOfRejectedCall(t *testing.T) {
	is := is.New(t)
	for text, want := range map[string]time.Duration{"3": 3 * time.Second, "": 0, "-1": 0, "soon": 0, "99999999999": 24 * time.Hour} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Retry-After", text)
			w.WriteHeader(http.StatusTooManyRequests)
		}))
		_, err := httpadapter.NewEngine().Call(context.Background(), server.URL, external.ServiceCall{RequestID: "c"})
		server.Close()
		is.True(errors.Is(err, external.ErrRejected))
		var retryAfterErr *external.RetryAfterError
		if errors.As(err, &retryAfterErr) {
			is.Equal(retryAfterErr.RetryAfter, want)
		} else {
			is.Equal(want, time.Duration(0))
		}
	}
}
