// Package streamjudge checks what clients got of event streams against what endpoints wrote, for tests.
package streamjudge

import (
	"fmt"
	"strconv"
	"strings"
)

// Run is one run of a request at an endpoint. Its events have the IDs After+1 to Last.
type Run struct {
	// Stream is the request that the endpoint was sent.
	Stream string
	// Origin is the service and the software version of the endpoint.
	Origin string
	// After is the ID of the last event that the client had when the run began.
	After int
	Last  int
}

// Event returns the bytes of an event of the run with a tag. They tell which run wrote them.
func Event(tag string, id int) string {
	return fmt.Sprintf("id: %d\ndata: token %d of run %s\n\n", id, id, tag)
}

// Attempt is what a client got of one request of a stream, in its order.
type Attempt struct {
	Body string
	// Complete reports that the response looks as if it had ended: its length or its last chunk has arrived, or the
	// connection that delimits it was closed and not reset.
	Complete bool
}

// Stream is a stream as its client got it.
type Stream struct {
	ID string
	// Resumable reports whether another run may go on with the stream.
	Resumable bool
	Attempts  []Attempt
}

// Kind is a way in which a stream breaks its order.
type Kind string

// The kinds of findings.
const (
	Missing        Kind = "an event is missing"
	Repeated       Kind = "an event comes twice"
	Altered        Kind = "an event is not the one that the endpoint wrote"
	OtherStream    Kind = "an event is of another stream"
	JoinedRuns     Kind = "a stream that cannot be resumed has events of two runs"
	JoinedOrigins  Kind = "the events are of two services or software versions"
	JoinedInside   Kind = "a second run is joined elsewhere than at its beginning"
	EndsEarly      Kind = "the stream ends as complete before its last event"
	EndsInside     Kind = "the stream ends as complete inside an event"
	EventsAfterEnd Kind = "events follow a complete end"
)

// Finding is a breach of the order of a stream.
type Finding struct {
	Kind   Kind
	Stream string
	Detail string
}

// String implements fmt.Stringer.
func (f Finding) String() string { return fmt.Sprintf("stream %s: %s: %s", f.Stream, f.Kind, f.Detail) }

// Check returns the findings of a stream, given all runs by their tags.
func Check(s Stream, runs map[string]Run) []Finding {
	c := check{stream: s, runs: runs}
	for i, a := range s.Attempts {
		c.attempt(a, i > 0 && s.Attempts[i-1].Complete)
	}
	return c.findings
}

type check struct {
	stream   Stream
	runs     map[string]Run
	findings []Finding
	// last is the ID of the last event, and tag the run that wrote it.
	last int
	tag  string
}

func (c *check) find(k Kind, format string, args ...any) {
	c.findings = append(c.findings, Finding{k, c.stream.ID, fmt.Sprintf(format, args...)})
}

func (c *check) attempt(a Attempt, afterEnd bool) {
	body := a.Body
	for {
		event, rest, ok := strings.Cut(body, "\n\n")
		if !ok {
			break
		}
		body = rest
		if afterEnd {
			c.find(EventsAfterEnd, "%q", event)
		}
		c.event(event + "\n\n")
	}
	if !a.Complete || afterEnd {
		return
	}
	if body != "" {
		c.find(EndsInside, "%q", body)
		return
	}
	if run, ok := c.runs[c.tag]; ok && c.last < run.Last {
		c.find(EndsEarly, "after event %d of %d of run %s", c.last, run.Last, c.tag)
	}
}

// event checks the next event.
func (c *check) event(event string) {
	id, tag, ok := parse(event)
	run, known := c.runs[tag]
	if !ok || !known || event != Event(tag, id) || id <= run.After || id > run.Last {
		c.find(Altered, "%q", event)
		return
	}
	if run.Stream != c.stream.ID {
		c.find(OtherStream, "%q is of %s", event, run.Stream)
		return
	}
	switch {
	case id <= c.last:
		c.find(Repeated, "event %d after %d", id, c.last)
	case id > c.last+1:
		c.find(Missing, "event %d after %d", id, c.last)
	}
	if c.tag != "" && tag != c.tag {
		before := c.runs[c.tag]
		switch {
		case !c.stream.Resumable:
			c.find(JoinedRuns, "%s after %s at event %d", tag, c.tag, id)
		case run.Origin != before.Origin:
			c.find(JoinedOrigins, "%s after %s at event %d", run.Origin, before.Origin, id)
		case run.After != id-1:
			c.find(JoinedInside, "run %s began after event %d and is joined at %d", tag, run.After, id)
		}
	}
	c.last, c.tag = id, tag
}

// parse returns the ID of an event and the run that wrote it.
func parse(event string) (id int, tag string, ok bool) {
	head, data, ok := strings.Cut(event, "\n")
	if !ok {
		return 0, "", false
	}
	id, err := strconv.Atoi(strings.TrimPrefix(head, "id: "))
	if err != nil {
		return 0, "", false
	}
	_, tag, ok = strings.Cut(strings.TrimSuffix(data, "\n\n"), " of run ")
	return id, tag, ok
}
