package retry_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/internal/proptest"
	"github.com/tealvane/tealvane/pkg/retry"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { proptest.Main(m, 300, 60) }

var limits = retry.Limits{Ratio: 0.2, Extra: 20, Window: 10 * time.Second}

// In no window may the retries of all hosts together exceed the limits.
func TestHostsTogetherStayWithinLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts := rapid.IntRange(1, 6).Draw(t, "hosts")
		budgets := make([]*retry.Budget, hosts)
		for i := range budgets {
			budgets[i] = retry.NewBudget(limits, 1)
			budgets[i].SetHosts(hosts)
		}
		now := time.Unix(1000, 0)
		var requests, retries []time.Time
		for range rapid.IntRange(50, 400).Draw(t, "calls") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond)
			b := budgets[rapid.IntRange(0, hosts-1).Draw(t, "host")]
			if rapid.Bool().Draw(t, "request") {
				b.RecordRequest(now, "s")
				requests = append(requests, now)
			} else if b.Take(now, "s") {
				retries = append(retries, now)
			}
		}
		for _, start := range retries {
			// A window starts at a slice boundary, so requests of one more slice may count.
			end := start.Add(limits.Window * 19 / 20)
			n := count(retries, start, end)
			allowed := limits.Extra + limits.Ratio*float64(count(requests, start.Add(-limits.Window), end))
			if float64(n) > allowed {
				t.Fatalf("%d retries in the window from %v, want at most %.1f", n, start, allowed)
			}
		}
	})
}

func count(times []time.Time, from, to time.Time) int {
	n := 0
	for _, x := range times {
		if !x.Before(from) && x.Before(to) {
			n++
		}
	}
	return n
}

func TestServicesHaveSeparateBudgets(t *testing.T) {
	is := is.New(t)
	b := retry.NewBudget(retry.Limits{Ratio: 0, Extra: 1, Window: time.Second}, 1)
	now := time.Unix(5, 0)
	is.True(b.Take(now, "a"))
	is.True(!b.Take(now, "a"))
	is.True(b.Take(now, "b"))
	is.True(b.Take(now.Add(2*time.Second), "a")) // in a later window
}

// Retries of requests that may still be served must leave half of the budget to rejected
// requests.
func TestTakeSpareLeavesHalfOfBudget(t *testing.T) {
	is := is.New(t)
	b := retry.NewBudget(retry.Limits{Extra: 6, Window: time.Second}, 1)
	now := time.Unix(5, 0)
	for range 3 {
		is.True(b.TakeSpare(now, "s"))
	}
	is.True(!b.TakeSpare(now, "s"))
	for range 3 {
		is.True(b.Take(now, "s"))
	}
	is.True(!b.Take(now, "s"))
}
