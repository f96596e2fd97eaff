package streamjudge

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/tealvane/tealvane/internal/wait"
)

const (
	// trafficEvents is the number of events of a stream.
	trafficEvents = 12
	// stallTime exceeds the time after which a host looks for another endpoint.
	stallTime = 1500 * time.Millisecond
	// remainingTime is how long a client says that it waits, somewhat less than clientTime.
	remainingTime = 4500 * time.Millisecond
	// clientTime is how long a client waits for a response, dialTime for a connection.
	clientTime = 5 * time.Second
	dialTime   = time.Second
)

// Headers are the names of the request headers that clients set.
type Headers struct {
	// Attempt holds the ID of an attempt, Resumes that of the attempt that began the stream, Remaining the
	// milliseconds for which the client waits, and Model the name of the model.
	Attempt, Resumes, Remaining, Model string
}

// Routes are the paths of the routes that clients use.
type Routes struct{ Resumable, Once string }

// Traffic plays endpoints and clients over connections and records what both saw. It is safe for concurrent use.
type Traffic struct {
	// Host, Model, Routes and Headers are those of the clients' requests. They must be set before first use.
	Host, Model string
	Routes      Routes
	Headers     Headers

	mu      sync.Mutex
	rand    *rand.Rand
	runs    map[string]Run
	streams []Stream

	begun, resumed, wentOn, complete atomic.Int64
}

// NewTraffic returns traffic without any requests.
func NewTraffic(seed uint64) *Traffic {
	return &Traffic{rand: rand.New(rand.NewPCG(seed, 1)), runs: map[string]Run{}}
}

// draw returns a source of random numbers for one goroutine.
func (t *Traffic) draw() *rand.Rand {
	t.mu.Lock()
	defer t.mu.Unlock()
	return rand.New(rand.NewPCG(t.rand.Uint64(), 2))
}

// Respond responds to a request as an endpoint of an origin, with a stream in one of several framings. It splits the
// stream anywhere, may break it off anywhere, stall, or write more bytes behind its end. tag identifies the run.
func (t *Traffic) Respond(ctx context.Context, conn net.Conn, header http.Header, r *http.Request, tag, origin string) {
	draw := t.draw()
	run := Run{Origin: origin, Last: trafficEvents}
	run.Stream, _, _ = strings.Cut(r.Header.Get(t.Headers.Attempt), ".")
	run.After, _ = strconv.Atoi(r.Header.Get("Last-Event-Id")) // A missing ID starts the stream at its first event.
	t.mu.Lock()
	t.runs[tag] = run
	t.mu.Unlock()
	var body bytes.Buffer
	for n := run.After + 1; n <= run.Last; n++ {
		body.WriteString(Event(tag, n))
	}
	whole := body.Bytes()
	cut, reset := len(whole), draw.IntN(2) == 0
	if draw.IntN(4) == 0 {
		cut = draw.IntN(len(whole) + 1)
	}
	header.Set("Content-Type", "text/event-stream")
	chunked := draw.IntN(4) > 0
	switch {
	case chunked:
		header.Set("Transfer-Encoding", "chunked")
	case draw.IntN(2) == 0:
		header.Set("Content-Length", strconv.Itoa(len(whole)))
	case cut < len(whole):
		reset = true // A plain close would be its end.
	}
	head := &bytes.Buffer{}
	_ = header.Write(head) // A buffer does not fail.
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s\r\n", head)
	out, chunks := io.Writer(conn), httputil.NewChunkedWriter(conn)
	if chunked {
		out = chunks
	}
	stallAt := -1
	if draw.IntN(8) == 0 {
		stallAt = draw.IntN(cut + 1)
	}
	for sent := 0; sent < cut; {
		n := min(cut-sent, 1+draw.IntN(60))
		if _, err := out.Write(whole[sent : sent+n]); err != nil {
			return
		}
		if sent <= stallAt && stallAt < sent+n {
			wait.For(ctx, stallTime)
		}
		sent += n
		wait.For(ctx, time.Duration(draw.IntN(12))*time.Millisecond)
	}
	switch {
	case cut < len(whole) && reset:
		_ = conn.(*net.TCPConn).SetLinger(0)
	case cut == len(whole) && chunked && draw.IntN(12) > 0:
		_ = chunks.Close()
		_, _ = io.WriteString(conn, "\r\n") // The host may have closed the connection.
		if draw.IntN(6) == 0 {
			_, _ = io.WriteString(conn, Event(tag, run.Last)) // Bytes of no response.
		}
	}
}

// Client reads streams until stop is set, and takes those that break off up again. address returns that of a host, and
// name must be unique.
func (t *Traffic) Client(ctx context.Context, name string, address func() string, stop *atomic.Bool) {
	draw := t.draw()
	for n := 0; !stop.Load(); n++ {
		stream := Stream{ID: fmt.Sprint(name, "-", n), Resumable: draw.IntN(3) > 0}
		events, first := 0, ""
		for attempt := range 4 {
			id := fmt.Sprint(stream.ID, ".", attempt)
			a := t.request(ctx, draw, address(), id, stream.Resumable, first, events)
			got := strings.Count(a.Body, "\n\n")
			switch {
			case events > 0:
				t.resumed.Add(1)
				if got > 0 {
					t.wentOn.Add(1)
				}
			case got > 0:
				t.begun.Add(1)
				first = id
			}
			stream.Attempts = append(stream.Attempts, a)
			if events += got; a.Complete || !stream.Resumable {
				break
			}
			wait.For(ctx, time.Duration(draw.IntN(300))*time.Millisecond)
		}
		if stream.Attempts[len(stream.Attempts)-1].Complete {
			t.complete.Add(1)
		}
		t.mu.Lock()
		t.streams = append(t.streams, stream)
		t.mu.Unlock()
		wait.For(ctx, time.Duration(draw.IntN(50))*time.Millisecond)
	}
}

// request sends a request over a connection of its own and reads the response until it ends or the client leaves. A
// response other than 200 counts as none.
func (t *Traffic) request(ctx context.Context, draw *rand.Rand, addr, id string, resumable bool, resumes string, last int) Attempt {
	conn, err := net.DialTimeout("tcp", addr, dialTime)
	if err != nil {
		return Attempt{}
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(clientTime))
	path, version, resume := t.Routes.Once, "1.1", ""
	if resumable {
		path = t.Routes.Resumable
	}
	if draw.IntN(5) == 0 {
		version = "1.0"
	}
	if last > 0 {
		resume = fmt.Sprintf("Last-Event-Id: %d\r\n%s: %s\r\n", last, t.Headers.Resumes, resumes)
	}
	_, err = fmt.Fprintf(conn, "POST %s HTTP/%s\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s: %s\r\n%sContent-Length: 1\r\n\r\nx",
		path, version, t.Host, t.Headers.Attempt, id, t.Headers.Remaining, remainingTime.Milliseconds(), t.Headers.Model, t.Model, resume)
	if err != nil {
		return Attempt{}
	}
	resp, err := http.ReadResponse(bufio.NewReaderSize(conn, 16+draw.IntN(200)), nil)
	if err != nil || resp.StatusCode != http.StatusOK {
		return Attempt{}
	}
	var out bytes.Buffer
	slow, leaveAfter := draw.IntN(6) == 0, 1<<20
	if draw.IntN(5) == 0 {
		leaveAfter = draw.IntN(400)
	}
	for part := make([]byte, 1+draw.IntN(100)); out.Len() < leaveAfter; {
		n, err := resp.Body.Read(part)
		out.Write(part[:n])
		if err != nil {
			return Attempt{Body: out.String(), Complete: err == io.EOF}
		}
		if slow {
			wait.For(ctx, 5*time.Millisecond)
		}
	}
	return Attempt{Body: out.String()}
}

// Report is what came of the traffic.
type Report struct {
	Begun, Resumed, WentOn, Complete int64
	Kinds                            map[Kind]int
	// Findings holds the first ones of each kind.
	Findings []Finding
}

// maxFindings is the number of findings of a kind in a report.
const maxFindings = 3

// Check checks all streams.
func (t *Traffic) Check() Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := Report{t.begun.Load(), t.resumed.Load(), t.wentOn.Load(), t.complete.Load(), map[Kind]int{}, nil}
	for _, stream := range t.streams {
		for _, f := range Check(stream, t.runs) {
			if r.Kinds[f.Kind]++; r.Kinds[f.Kind] <= maxFindings {
				r.Findings = append(r.Findings, f)
			}
		}
	}
	return r
}

// String implements fmt.Stringer.
func (r Report) String() string {
	return fmt.Sprintf("%d streams began, %d of %d that were taken up went on, %d ended as complete; findings: %v", r.Begun, r.WentOn, r.Resumed, r.Complete, r.Kinds)
}
