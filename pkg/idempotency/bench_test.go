package idempotency_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/tealvane/tealvane/pkg/idempotency"
	"github.com/tealvane/tealvane/pkg/record"
	"github.com/tealvane/tealvane/pkg/state"
)

// appendTime is the simulated duration of an append to the log.
const appendTime = 4 * time.Millisecond

// stateAppender applies records to the state after appendTime.
type stateAppender struct {
	mu sync.Mutex
	st *state.State
}

func (a *stateAppender) Append(_ context.Context, r record.Record) (state.Outcome, error) {
	time.Sleep(appendTime)
	data, err := record.Encode(r)
	if err != nil {
		return state.Outcome{}, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	out, _, err := a.st.Apply(a.st.Applied()+1, data)
	return out, err
}

// BenchmarkAppends reports the appends per second of one host and the duration of a claim, by
// the rate of non-idempotent requests.
func BenchmarkAppends(b *testing.B) {
	for _, rate := range []int{1, 100, 1000} {
		b.Run(fmt.Sprintf("rate=%d", rate), func(b *testing.B) {
			st := state.New()
			c := idempotency.NewClaims(record.HostRef{Host: "h"}, &stateAppender{st: st}, st.Keys, 10*time.Millisecond, time.Now)
			ctx, stop := context.WithCancel(context.Background())
			defer stop()
			go c.Run(ctx)
			var requests sync.WaitGroup
			var mu sync.Mutex
			var claiming time.Duration
			n := max(rate*2, 3)
			start := time.Now()
			for i := range n {
				time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / time.Duration(rate))))
				requests.Go(func() {
					key := record.Key{Customer: "c", Value: uuid.Must(uuid.NewV7()).String()}
					claimed := time.Now()
					if _, err := c.Claim(ctx, key, 1); err != nil {
						b.Error(err)
						return
					}
					mu.Lock()
					claiming += time.Since(claimed)
					mu.Unlock()
					c.Finish(record.KeyOutcome{Key: key, Status: 200, Body: make([]byte, 200)})
				})
			}
			requests.Wait()
			b.ReportMetric(float64(c.Batches())/time.Since(start).Seconds(), "appends/s")
			b.ReportMetric(float64(claiming.Microseconds())/float64(n)/1000, "claim-ms")
		})
	}
}
