package main

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// lossyStore passes calls on to the store. While it loses answers, it executes some of the writes late and does
// not answer them.
type lossyStore struct {
	target string
	record *recorder

	mu     sync.Mutex
	random *rand.Rand
	losing bool
	writes int
	// claims counts the accepted writes to keyed.claims by phase.
	claims map[string]int
	phase  string
}

// The figures of platform_lost with late: the share of the writes, and when they are executed.
const (
	lostOneIn = 3 // 0.33 of the writes; the site file has up to 0.35
	lostTime  = 4500 * time.Millisecond
	minLate   = time.Second
	maxLate   = 6 * time.Second
)

func startLossyStore(target string, seed uint64, r *recorder) (*lossyStore, string, error) {
	s := &lossyStore{target: target, record: r, random: rand.New(rand.NewPCG(seed, 86)), claims: map[string]int{}}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, "", err
	}
	server := &http.Server{Handler: s, ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(l) }()
	return s, l.Addr().String(), nil
}

// setPhase names the phase for counts.
func (s *lossyStore) setPhase(phase string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.phase = phase
}

func (s *lossyStore) setLosing(losing bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.losing = losing
}

// late returns after what time to execute a write without answering it, or 0.
func (s *lossyStore) late(r *http.Request) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.losing || r.Method != http.MethodPost {
		return 0
	}
	s.writes++
	if s.writes%lostOneIn != 1 {
		return 0
	}
	return minLate + time.Duration(s.random.Int64N(int64(maxLate-minLate)))
}

func (s *lossyStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	url := "http://" + s.target + r.URL.RequestURI()
	if after := s.late(r); after > 0 {
		s.record.line("the store executes a write to %s in %.1f s and does not answer it", r.URL.Query().Get("topic"), after.Seconds())
		go func() {
			time.Sleep(after)
			resp, err := http.Post(url, "application/octet-stream", bytes.NewReader(body))
			if err == nil {
				s.record.line("late write to %s executed: %d", r.URL.Query().Get("topic"), resp.StatusCode)
				_ = resp.Body.Close()
			}
		}()
		<-r.Context().Done()
		return
	}
	req, err := http.NewRequestWithContext(r.Context(), r.Method, url, bytes.NewReader(body))
	if err != nil {
		return
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if r.Method == http.MethodPost && r.URL.Query().Get("topic") == "keyed.claims" && resp.StatusCode == http.StatusOK {
		s.mu.Lock()
		s.claims[s.phase]++
		s.mu.Unlock()
		s.record.line("the store accepts a claim")
	}
	for name, values := range resp.Header {
		if name != "Store-Era" { // The pages do not name it.
			w.Header()[name] = values
		}
	}
	w.WriteHeader(resp.StatusCode)
	_, _ = w.Write(answer)
}
