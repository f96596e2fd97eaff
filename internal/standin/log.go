// Package standin implements in-memory stand-ins for the external systems: the log, the model
// engine, the weight store, the host list and a plain service. Development mode and tests use
// them. Faults can be injected.
package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/tealvane/tealvane/internal/wait"
	"github.com/tealvane/tealvane/pkg/external"
	"github.com/tealvane/tealvane/pkg/record"
)

const maxBodyBytes = 4 << 20

// LogFaults configures the faults of a Log.
type LogFaults struct {
	// Down rejects every call.
	Down bool `json:"down"`
	// LoseResponses is the number of appends that are carried out without a response. The connection
	// is closed instead.
	LoseResponses int `json:"lose_answers"`
	// Delay is added to each append.
	Delay time.Duration `json:"delay"`
}

// Log is an in-memory append-only log with one stream. It is safe for concurrent use.
type Log struct {
	mu sync.Mutex
	// first is the offset of the first available record.
	first   record.Offset
	records [][]byte
	// appended is closed and replaced by each append.
	appended chan struct{}
	faults   LogFaults
	appends  int
}

// NewLog returns an empty log.
func NewLog() *Log { return &Log{first: 1, appended: make(chan struct{})} }

// SetFaults replaces the current faults.
func (l *Log) SetFaults(f LogFaults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = f
}

// Trim drops all records before the given offset.
func (l *Log) Trim(before record.Offset) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if before > l.first {
		l.records = l.records[min(int(before-l.first), len(l.records)):]
		l.first = before
	}
}

// Last returns the offset of the last record.
func (l *Log) Last() record.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.first + record.Offset(len(l.records)) - 1
}

// Appends returns the number of records appended.
func (l *Log) Appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends
}

// Append appends a record and returns its offset.
func (l *Log) Append(data []byte) record.Offset {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, data)
	l.appends++
	close(l.appended)
	l.appended = make(chan struct{})
	return l.first + record.Offset(len(l.records)) - 1
}

// read returns up to limit records, starting at from, and a channel that is closed by the next
// append. If from has been trimmed, first is the first available offset.
func (l *Log) read(from record.Offset, limit int) (entries []external.Entry, first record.Offset, appended <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if from < l.first {
		return nil, l.first, nil
	}
	for off := from; off < l.first+record.Offset(len(l.records)) && len(entries) < limit; off++ {
		entries = append(entries, external.Entry{Offset: off, Data: l.records[off-l.first]})
	}
	return entries, 0, l.appended
}

// Handler returns a handler for the log protocol and, under /control, for fault injection.
func (l *Log) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/streams/{stream}/records", l.serveAppend)
	mux.HandleFunc("GET /v1/streams/{stream}/records", l.serveRead)
	mux.HandleFunc("POST /control/log", controlHandler(l.SetFaults))
	mux.HandleFunc("POST /control/log/trim", controlHandler(func(in struct{ Before record.Offset }) { l.Trim(in.Before) }))
	return mux
}

func (l *Log) serveAppend(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Data []byte `json:"data"`
	}
	if !readJSON(w, r, &in) {
		return
	}
	faults := l.currentFaults()
	if faults.Down {
		http.Error(w, "log is down", http.StatusServiceUnavailable)
		return
	}
	if len(in.Data) > record.MaxBytes {
		http.Error(w, "record is too large", http.StatusRequestEntityTooLarge)
		return
	}
	wait.For(r.Context(), faults.Delay)
	off := l.Append(in.Data)
	if l.loseResponse() {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, map[string]record.Offset{"offset": off})
}

func (l *Log) currentFaults() LogFaults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

func (l *Log) loseResponse() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.LoseResponses == 0 {
		return false
	}
	l.faults.LoseResponses--
	return true
}

func (l *Log) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.ParseUint(query.Get("from"), 10, 64)
	limit, _ := strconv.Atoi(query.Get("limit"))
	waitMS, _ := strconv.Atoi(query.Get("wait_ms"))
	timeout := time.After(time.Duration(waitMS) * time.Millisecond)
	for {
		if l.currentFaults().Down {
			http.Error(w, "log is down", http.StatusServiceUnavailable)
			return
		}
		entries, first, appended := l.read(record.Offset(from), limit)
		if first != 0 {
			w.WriteHeader(http.StatusGone)
			writeJSON(w, map[string]record.Offset{"first": first})
			return
		}
		if len(entries) > 0 {
			writeJSON(w, map[string]any{"entries": entries})
			return
		}
		select {
		case <-appended:
		case <-timeout:
			writeJSON(w, map[string]any{"entries": entries})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// controlHandler returns a handler that decodes a JSON request body and passes it to set.
func controlHandler[T any](set func(T)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var in T
		if readJSON(w, r, &in) {
			set(in)
			writeJSON(w, in)
		}
	}
}

func readJSON(w http.ResponseWriter, r *http.Request, out any) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err == nil {
		err = json.Unmarshal(body, out)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeJSON(w http.ResponseWriter, v any) {
	if err := json.NewEncoder(w).Encode(v); err != nil {
		panic(http.ErrAbortHandler)
	}
}
