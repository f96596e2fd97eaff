package peer

import (
	"github.com/cockroachdb/errors"
	"github.com/tealvane/tealvane/pkg/external"
)

// HandlerResponder returns a Responder that passes requests to a handler.
func HandlerResponder(h Handler) Responder {
	return func(r Request) []Response { return Handle(h, r) }
}

// Handle passes a request to a handler and returns its responses. A request of an unknown kind
// gets one empty response. If the handler fails, there is no response.
func Handle(h Handler, r Request) []Response {
	switch {
	case r.Usage != nil:
		h.HandleUsage(*r.Usage)
	case r.Drain != nil:
		h.HandleDrain(*r.Drain)
	case r.Tail != nil:
		r.Tail.Limit = min(r.Tail.Limit, maxTail)
		return handleTail(h, *r.Tail)
	case r.Snapshot:
		return handleSnapshot(h)
	}
	return []Response{{}}
}

func handleTail(h Handler, r TailRequest) []Response {
	entries, err := h.HandleTail(r)
	var trimmed *external.TrimmedError
	if errors.As(err, &trimmed) {
		return []Response{{TrimmedFirst: trimmed.First}}
	}
	if err != nil {
		return nil
	}
	size := 0
	for i, e := range entries {
		size += len(e.Data)
		if size > maxMessageBytes/2 {
			entries = entries[:i]
			break
		}
	}
	return []Response{{Entries: entries}}
}

func handleSnapshot(h Handler) []Response {
	chunks, err := h.HandleSnapshot()
	if err != nil {
		return nil
	}
	responses := make([]Response, len(chunks))
	for i := range chunks {
		responses[i].Chunk = &chunks[i]
	}
	return responses
}
