package site

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// serve handles a request of a client.
func (e *Endpoint) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id := r.Header.Get("X-Request-Attempt-Id")
	w.Header().Set("X-Request-Attempt-Id", id)
	w.Header().Set("X-Instance-Id", e.config.ID)
	life, leave := e.enter(r)
	if leave == nil {
		panic(http.ErrAbortHandler) // The client has left, or the endpoint has fallen over.
	}
	defer leave()
	b, status := e.admit(r, id, string(body), life)
	if status != 0 {
		if status != http.StatusMisdirectedRequest {
			w.Header().Set("X-Request-Not-Run", "1")
		}
		if b.RetryAfter != "" {
			w.Header().Set("Retry-After", b.RetryAfter)
		}
		w.WriteHeader(status)
		return
	}
	defer e.finishRequest(life, r.Header.Get("X-Model-Name"))
	select {
	case <-time.After(b.Delay):
	case <-r.Context().Done():
		return
	}
	if b.LoseResponse {
		panic(http.ErrAbortHandler)
	}
	if e.config.CrashOn != "" && string(body) == e.config.CrashOn {
		e.crash()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Server-Signature", "sig-"+id)
	if e.config.CrashOnPart != "" && hasPromptPart(r, e.config.CrashOnPart) {
		if e.config.Events > 0 {
			// The client may have disconnected.
			_ = http.NewResponseController(w).Flush()
		}
		e.crash()
		panic(http.ErrAbortHandler)
	}
	if b.Status != 0 {
		w.WriteHeader(b.Status)
		return
	}
	if b.Raw != nil {
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			panic(err)
		}
		defer conn.Close()
		b.Raw(conn, w.Header().Clone(), r)
		return
	}
	if b.Unframed != nil {
		e.sendUnframed(w, r, id, *b.Unframed)
		return
	}
	if e.config.Events == 0 {
		_, _ = io.WriteString(w, "answer to "+id)
		return
	}
	e.stream(w, r, b)
}

// hasPromptPart reports whether the prompt of the request has the part with the given ID.
func hasPromptPart(r *http.Request, id string) bool {
	for part := range strings.SplitSeq(r.Header.Get("X-Prompt-Prefix"), ",") {
		if name, _, _ := strings.Cut(part, ":"); name == id {
			return true
		}
	}
	return false
}

// admit records the run of a request and returns its behavior. If the request is rejected, the
// status is not zero.
func (e *Endpoint) admit(r *http.Request, id, body string, life int) (Behavior, int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	model, adapter, _ := strings.Cut(r.Header.Get("X-Model-Name"), "/")
	var b Behavior
	if e.config.Behave != nil {
		b = e.config.Behave(id, model, len(e.runs))
	}
	adapters := e.loaded[model]
	switch {
	case r.Header.Get("X-Expected-Instance") != e.config.ID:
		return b, http.StatusMisdirectedRequest
	case len(e.config.Models) > 0 && (adapters == nil || adapter != "" && !adapters[adapter]):
		return b, http.StatusMisdirectedRequest
	case e.unloading != "" && (e.unloading == model || e.unloading == modelKey(model, adapter)):
		return b, http.StatusServiceUnavailable
	case b.Reject || e.running >= e.config.Slots || life != e.brittle.life:
		e.recordRejection(time.Now())
		return b, http.StatusServiceUnavailable
	}
	e.running++
	for _, key := range usedKeys(model, adapter) {
		e.uses[key]++
	}
	e.runs = append(e.runs, Run{ID: id, Model: model, Path: r.RequestURI, Body: body, LastEventID: r.Header.Get("Last-Event-Id"), Header: r.Header.Clone()})
	return b, 0
}

func (e *Endpoint) finishRequest(life int, modelName string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if life != e.brittle.life {
		return
	}
	e.running--
	model, adapter, _ := strings.Cut(modelName, "/")
	for _, key := range usedKeys(model, adapter) {
		e.uses[key]--
	}
	if e.unloading != "" {
		e.finishUnload()
		e.publishEntry()
	}
}

// usedKeys returns the keys of what a request uses.
func usedKeys(model, adapter string) []string {
	if adapter == "" {
		return []string{model}
	}
	return []string{model, modelKey(model, adapter)}
}

// stream sends events with ascending IDs, starting after Last-Event-Id.
func (e *Endpoint) stream(w http.ResponseWriter, r *http.Request, b Behavior) {
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	// A missing ID starts the stream at its first event.
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for sent, n := 0, last+1; n <= e.config.Events; n++ {
		if b.BreakAfter > 0 && sent == b.BreakAfter {
			// Send part of an event before the connection is reset.
			_, _ = fmt.Fprintf(w, "id: %d\nda", n)
			_ = control.Flush()
			panic(http.ErrAbortHandler)
		}
		if _, err := io.WriteString(w, e.event(n)); err != nil {
			return
		}
		if control.Flush() != nil {
			return
		}
		sent++
		select {
		case <-time.After(e.config.EventInterval):
		case <-r.Context().Done():
			return
		}
	}
}

// sendUnframed sends a response that ends with its connection.
func (e *Endpoint) sendUnframed(w http.ResponseWriter, r *http.Request, id string, u Unframed) {
	header := w.Header().Clone()
	header.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	parts := []string{"answer ", "to ", id}
	if e.config.Events > 0 {
		header.Set("Content-Type", "text/event-stream")
		parts = e.eventsAfter(r.Header.Get("Last-Event-Id"))
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	defer conn.Close()
	head := &bytes.Buffer{}
	_ = header.Write(head) // A buffer does not fail.
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s\r\n", head)
	if u.Cut == CutBeforeBody {
		parts = nil
	}
	for i, p := range parts {
		if i == 1 && u.Cut == CutInsideEvent {
			_, _ = io.WriteString(conn, p[:len(p)/2])
		}
		if i == 1 && u.Cut != CutNowhere {
			break
		}
		// A write fails if the host has closed the connection.
		if _, err := io.WriteString(conn, p); err != nil {
			return
		}
		time.Sleep(e.config.EventInterval)
	}
	if u.Reset {
		_ = conn.(*net.TCPConn).SetLinger(0) // Otherwise the connection is closed.
	}
}

// eventsAfter returns the events of a stream after the one with the ID last.
func (e *Endpoint) eventsAfter(last string) []string {
	n, _ := strconv.Atoi(last) // A missing ID starts the stream at its first event.
	var out []string
	for n++; n <= e.config.Events; n++ {
		out = append(out, e.event(n))
	}
	return out
}

// event returns the event with an ID.
func (e *Endpoint) event(n int) string {
	if e.config.Version != "" {
		return fmt.Sprintf("id: %d\ndata: token %d of %s\n\n", n, n, e.config.Version)
	}
	return fmt.Sprintf("id: %d\ndata: token %d\n\n", n, n)
}
