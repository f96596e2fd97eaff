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
)

// A caller connects and sends its request to a host that is short of processor and stops just
// then. The connection stood in the queue of the listener, which reset it as it closed
// ("connection reset by peer"), and the request was cut.
func TestStoppingListenerServesWhatIsWaiting(t *testing.T) {
	is := is.New(t)
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := newDrainListener(tcp.(*net.TCPListener))
	const callers = 20
	var connected, ended sync.WaitGroup
	statuses := make(chan int, callers)
	for range callers {
		connected.Add(1)
		ended.Go(func() {
			c, err := net.Dial("tcp", l.Addr().String())
			connected.Done()
			if err != nil {
				statuses <- 0
				return
			}
			defer c.Close()
			_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n") // A reset shows in the answer.
			answer, _ := io.ReadAll(c)
			statuses <- len(answer)
		})
	}
	connected.Wait()
	l.Stop() // nothing was taken from the listener yet
	s := &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})}
	served := make(chan error, 1)
	go func() { served <- s.Serve(l) }()
	ended.Wait()
	for range callers {
		is.True(<-statuses > 0)
	}
	_, err = net.Dial("tcp", l.Addr().String())
	is.True(err != nil)
	is.NoErr(s.Close())
	is.Equal(<-served, http.ErrServerClosed)
}

// An answer that had begun before the stop says nothing of it, so that its caller sends the next
// request on the same connection. That was closed as soon as it was idle ("EOF").
func TestNextRequestOnAnOpenConnectionIsServed(t *testing.T) {
	is := is.New(t)
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	began, end := make(chan bool, 2), make(chan bool)
	var stopping atomic.Bool
	conns := newOpenConns()
	s := &callersServer{listener: newDrainListener(tcp.(*net.TCPListener)), conns: conns}
	s.Server = &http.Server{ConnState: conns.note, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if stopping.Load() {
			w.Header().Set("Connection", "close")
		}
		w.WriteHeader(http.StatusOK)
		began <- true
		<-end
	})}
	go func() { _ = s.Serve(s.listener) }() // It ends with Shutdown.
	ask := func() {
		resp, err := http.Get("http://" + tcp.Addr().String())
		is.NoErr(err)
		_, err = io.ReadAll(resp.Body)
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
	}
	over := make(chan error, 1)
	go func() {
		<-began
		stopping.Store(true)
		go func() { over <- s.Shutdown(context.Background()) }()
		end <- true
		<-began
		end <- true
	}()
	ask()
	ask()
	is.NoErr(<-over)
}
