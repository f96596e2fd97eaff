// Package site implements an in-process stand-in for the platform: its store, model endpoints and
// plain services, all of which use the platform's published protocol. Faults can be injected, and
// endpoints record what they ran.
package site

import (
	"bytes"
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Fault determines how a listener of the store handles calls.
type Fault int

// Faults of a listener.
const (
	// NoFault handles all calls.
	NoFault Fault = iota
	// FaultReject rejects all calls without executing them.
	FaultReject
	// FaultNoResponse neither executes nor answers calls.
	FaultNoResponse
	// FaultLoseResponse executes writes without answering.
	FaultLoseResponse
	// FaultReadOnly rejects writes without executing them.
	FaultReadOnly
)

// record is a record of a keyed topic.
type record struct {
	key    string
	value  []byte
	offset int64
	// malformed is set if value is the whole content, without a key.
	malformed bool
}

// topic is a keyed topic with one partition.
type topic struct {
	records  []record
	first    int64
	end      int64
	newest   map[string]record
	appended chan struct{}
}

// Store is the platform's store. It is safe for concurrent use.
type Store struct {
	mu     sync.Mutex
	topics map[string]*topic
	// era is the number of restores.
	era int64
}

// NewStore returns an empty store.
func NewStore() *Store { return &Store{topics: map[string]*topic{}} }

// Listener is a listener of the store with its own fault.
type Listener struct {
	Addr   string
	server *http.Server

	mu    sync.Mutex
	fault Fault
	// noResponseCount counts the changes to FaultNoResponse.
	noResponseCount int
	// calls counts calls by topic.
	calls map[string]int
}

// Listen opens a listener on a free loopback port.
func (s *Store) Listen() (*Listener, error) {
	netListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &Listener{Addr: netListener.Addr().String(), calls: map[string]int{}}
	l.server = &http.Server{Handler: l.injectFaults(s.handler()), ReadHeaderTimeout: time.Second}
	go func() { _ = l.server.Serve(netListener) }()
	return l, nil
}

// SetFault changes the fault for subsequent calls.
func (l *Listener) SetFault(f Fault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = f
	if f == FaultNoResponse {
		l.noResponseCount++
	}
}

// faultState returns the current fault and the number of changes to FaultNoResponse.
func (l *Listener) faultState() (Fault, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fault, l.noResponseCount
}

// Calls returns the number of calls by topic.
func (l *Listener) Calls() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return maps.Clone(l.calls)
}

func (l *Listener) count(topic string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls[topic]++
}

// Close closes the listener and its connections.
func (l *Listener) Close() { _ = l.server.Close() }

// injectFaults wraps a handler to apply the current fault.
func (l *Listener) injectFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		l.count(r.URL.Query().Get("topic"))
		fault, before := l.faultState()
		if fault == FaultReadOnly && r.Method == http.MethodPost {
			fault = FaultReject
		}
		switch fault {
		case FaultReject:
			http.Error(w, `{"error":"try later"}`, http.StatusTooManyRequests)
			return
		case FaultNoResponse:
			<-r.Context().Done()
			return
		case FaultLoseResponse:
			if r.Method == http.MethodPost {
				next.ServeHTTP(discardResponse{}, r)
				<-r.Context().Done()
				return
			}
		}
		// Calls in progress when the listener changes to FaultNoResponse are never answered.
		response := httptest.NewRecorder()
		next.ServeHTTP(response, r)
		if _, after := l.faultState(); after != before {
			<-r.Context().Done()
			return
		}
		maps.Copy(w.Header(), response.Header())
		w.WriteHeader(response.Code)
		_, _ = w.Write(response.Body.Bytes())
	})
}

// discardResponse is an http.ResponseWriter that discards the response.
type discardResponse struct{}

// Header implements http.ResponseWriter.
func (discardResponse) Header() http.Header { return http.Header{} }

// Write implements http.ResponseWriter.
func (discardResponse) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader implements http.ResponseWriter.
func (discardResponse) WriteHeader(int) {}

func (s *Store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.append)
	mux.HandleFunc("GET /log-read", s.read)
	mux.HandleFunc("GET /log-newest", s.newest)
	return mux
}

// Copy returns a copy of the store's contents, for Restore.
func (s *Store) Copy() *Store {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := NewStore()
	for name, t := range s.topics {
		out.topics[name] = &topic{records: slices.Clone(t.records), first: t.first, end: t.end, newest: maps.Clone(t.newest), appended: make(chan struct{})}
	}
	return out
}

// Restore replaces the contents by those of an older copy and increases the era. All that was
// written since the copy is lost, and its offsets are given out again.
func (s *Store) Restore(old *Store) {
	restored := old.Copy()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.topics {
		close(t.appended) // Reads in progress end.
	}
	s.topics = restored.topics
	s.era++
}

// writeEra adds the era to a response. s.mu must be held.
func (s *Store) writeEra(w http.ResponseWriter) {
	w.Header().Set("Store-Era", strconv.FormatInt(s.era, 10))
}

// topic returns a topic and creates it if necessary. s.mu must be held.
func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]record{}, appended: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// Put appends a record to a keyed topic and returns its offset. An empty value deletes the key.
func (s *Store) Put(name, key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.topic(name).put(key, value)
}

func (t *topic) put(key string, value []byte) int64 {
	r := record{key: key, value: slices.Clone(value), offset: t.end}
	if len(value) == 0 {
		delete(t.newest, key)
	} else {
		t.newest[key] = r
	}
	t.append(r)
	return r.offset
}

func (t *topic) append(r record) {
	t.records = append(t.records, r)
	t.end++
	close(t.appended)
	t.appended = make(chan struct{})
}

// PutMalformed appends a record with this content, which begins with no valid key.
func (s *Store) PutMalformed(name string, content []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.append(record{value: slices.Clone(content), offset: t.end, malformed: true})
}

// KeyCount returns the number of keys in a topic.
func (s *Store) KeyCount(name string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.topic(name).newest)
}

// Contains reports whether a value in the history of a topic contains a text.
func (s *Store) Contains(name, text string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.topic(name).records, func(r record) bool { return bytes.Contains(r.value, []byte(text)) })
}

// Compact drops the history of a topic. The newest record of each key remains.
func (s *Store) Compact(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(name)
	t.records = nil
	t.first = t.end
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *Store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	const header = 5
	if err != nil || len(body) < header || len(body) < header+int(body[4]) {
		writeJSON(w, http.StatusBadRequest, map[string]string{"error": "one keyed record is expected"})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeEra(w)
	t := s.topic(r.URL.Query().Get("topic"))
	if at := r.URL.Query().Get("at"); at != "" && at != strconv.FormatInt(t.end, 10) {
		writeJSON(w, http.StatusPreconditionFailed, map[string]int64{"end": t.end})
		return
	}
	n := int(body[4])
	offset := t.put(string(body[header:header+n]), body[header+n:])
	writeJSON(w, http.StatusOK, map[string]int64{"offset": offset, "end": t.end})
}

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	from, err := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	// A missing or invalid wait-ms means no wait.
	ms, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	s.mu.Lock()
	t := s.topic(r.URL.Query().Get("topic"))
	if t.end <= from && ms > 0 {
		appended := t.appended
		s.mu.Unlock()
		timer := time.NewTimer(time.Duration(ms) * time.Millisecond)
		defer timer.Stop()
		select {
		case <-appended:
		case <-timer.C:
		case <-r.Context().Done():
			return
		}
		s.mu.Lock()
		t = s.topic(r.URL.Query().Get("topic"))
	}
	defer s.mu.Unlock()
	s.writeEra(w)
	if from < t.first || from > t.end {
		writeJSON(w, http.StatusGone, map[string]int64{"first": t.first})
		return
	}
	_, _ = w.Write(t.encode(from))
}

func (t *topic) encode(from int64) []byte {
	out := binary.BigEndian.AppendUint64(nil, uint64(t.end))
	out = binary.BigEndian.AppendUint64(out, uint64(t.first))
	for _, r := range t.records {
		if r.offset < from {
			continue
		}
		if r.malformed {
			out = binary.BigEndian.AppendUint32(out, uint32(len(r.value)))
			out = append(out, r.value...)
			continue
		}
		out = binary.BigEndian.AppendUint32(out, uint32(1+len(r.key)+len(r.value)))
		out = append(out, byte(len(r.key)))
		out = append(out, r.key...)
		out = append(out, r.value...)
	}
	return out
}

func (s *Store) newest(w http.ResponseWriter, r *http.Request) {
	type item struct {
		Key    string `json:"key"`
		Value  string `json:"value"`
		Offset int64  `json:"offset"`
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeEra(w)
	t := s.topic(r.URL.Query().Get("topic"))
	items := []item{}
	after := r.URL.Query().Get("after")
	more := false
	for _, key := range slices.Sorted(maps.Keys(t.newest)) {
		if key <= after {
			continue
		}
		if len(items) == maxPageItems {
			more = true
			break
		}
		rec := t.newest[key]
		items = append(items, item{key, base64.StdEncoding.EncodeToString(rec.value), rec.offset})
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "more": more, "end": t.end})
}

// maxPageItems is the maximum number of keys in one response.
const maxPageItems = 500
