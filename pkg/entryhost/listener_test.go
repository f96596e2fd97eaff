package entryhost

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/internal/drain"
)

// Guards against connections in the accept queue being reset when the listener stops.
func TestStoppedListenerServesPendingConnections(t *testing.T) {
	is := is.New(t)
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := newDrainListener(tcp.(*net.TCPListener))
	const callers = 20
	var connected, ended sync.WaitGroup
	responseSizes := make(chan int, callers)
	for range callers {
		connected.Add(1)
		ended.Go(func() {
			c, err := net.Dial("tcp", l.Addr().String())
			connected.Done()
			if err != nil {
				responseSizes <- 0
				return
			}
			defer c.Close()
			_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n") // After a reset the response is empty.
			response, _ := io.ReadAll(c)
			responseSizes <- len(response)
		})
	}
	connected.Wait()
	l.Stop() // No connection has been accepted yet.
	s := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	ended.Wait()
	for range callers {
		is.True(<-responseSizes > 0)
	}
	_, err = net.Dial("tcp", l.Addr().String())
	is.True(err != nil)
	is.NoErr(s.Close())
	is.Equal(<-served, http.ErrServerClosed)
}

// Guards against a connection being closed as soon as it is idle during shutdown, although its
// client does not know about the shutdown and sends another request.
func TestShutdownServesNextRequestOnOpenConnection(t *testing.T) {
	is := is.New(t)
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	began, end := make(chan bool, 2), make(chan bool)
	var stopping atomic.Bool
	conns := drain.NewTracker()
	s := &callersServer{listener: newDrainListener(tcp.(*net.TCPListener)), conns: conns}
	s.Server = &http.Server{ConnState: conns.Track, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		w.WriteHeader(http.StatusOK)
		began <- true
		<-end
	})}
	go func() { _ = s.Serve(s.listener) }()
	get := func() {
		resp, err := http.Get("http://" + tcp.Addr().String())
		is.NoErr(err)
		_, err = io.ReadAll(resp.Body)
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
	}
	shutdownErr := make(chan error, 1)
	go func() {
		<-began
		stopping.Store(true)
		go func() { shutdownErr <- s.Shutdown(context.Background()) }()
		end <- true
		<-began
		end <- true
	}()
	get()
	get()
	is.NoErr(<-shutdownErr)
}
