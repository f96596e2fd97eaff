package readbudget_test

import (
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/readbudget"
)

// Guards against starts whose reads exceed what the store answers as the number of hosts grows.
func TestHostsWindowBoundsRate(t *testing.T) {
	const pageBytes = 500 * 230 * 1.4
	for _, bytesPerSecond := range []float64{0, 20e6, 400e6} {
		b := readbudget.Budget{BytesPerSecond: bytesPerSecond}
		if bytesPerSecond == 0 {
			bytesPerSecond = readbudget.DefaultBytesPerSecond
		}
		for _, hosts := range []int{6, 77, 300, 985, 2000, 10_000} {
			read := float64(hosts) * min(pageBytes, float64(hosts)*230*1.4)
			is.New(t).True(read/b.HostsWindow(hosts).Seconds() <= 0.67*bytesPerSecond)
		}
	}
	is.New(t).True(readbudget.Budget{}.HostsWindow(77) < 100*time.Millisecond) // few hosts start without a delay
}

// Guards against failed reads that are repeated faster than the store can answer all hosts.
func TestMaxPauseBoundsRate(t *testing.T) {
	for hosts, want := range map[int]time.Duration{1: 700 * time.Millisecond, 6: 700 * time.Millisecond, 1000: 19660800 * time.Microsecond} {
		is.New(t).Equal(readbudget.Budget{}.MaxPause(hosts), want)
	}
}

// Guards against retries of many hosts that keep an overloaded store overloaded, and against a slow start
// beside a store that resets connections.
func TestRetryGrowsOnlyWithOverload(t *testing.T) {
	lost := errors.Mark(fleet.ErrStoreUnavailable, fleet.ErrStoreConnectionLost)
	for _, c := range []struct {
		name     string
		err      error
		least    time.Duration
		most     time.Duration
		failures int
	}{
		{"connection lost", lost, 0, 200 * time.Millisecond, 8},
		{"rejected", fleet.ErrStoreRejected, 10 * time.Second, 20 * time.Minute, 8},
		{"no response", fleet.ErrStoreUnavailable, 10 * time.Second, 20 * time.Minute, 8},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var longest time.Duration
			for range 50 {
				r := readbudget.Retry{First: 150 * time.Millisecond, Slow: 500 * time.Millisecond, Max: 600 * time.Millisecond, Quick: 9, Window: 4 * time.Second}
				for range c.failures {
					longest = max(longest, r.Next(c.err))
				}
			}
			is.True(longest >= c.least)
			is.True(longest <= c.most)
		})
	}
}
