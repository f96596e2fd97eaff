package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/tealvane/tealvane/pkg/fleet"
	"github.com/tealvane/tealvane/pkg/quarantine"
)

// BenchmarkDecide measures Decide on a crash log that holds the maximum number of crashes,
// each with a batch of requests of which a few ran at several endpoints.
func BenchmarkDecide(b *testing.B) {
	const endpoints, batch, repeated = 512, 24, 16
	l := quarantine.NewCrashLog()
	for i := range endpoints {
		var crashes []fleet.CrashReport
		for j := range batch {
			content := uint64(1000 + i*batch + j)
			if j < 2 {
				content = uint64(1 + (i+j)%repeated)
			}
			crashes = append(crashes, fleet.CrashReport{
				Request:  fleet.Fingerprint{Content: content, Caller: client},
				Endpoint: fleet.EndpointID(fmt.Sprint("e", i)),
			})
		}
		l.Add(start().Add(ms(i)), crashes)
	}
	now := start().Add(ms(endpoints))
	for b.Loop() {
		now = now.Add(100 * time.Millisecond)
		l.Add(now, []fleet.CrashReport{{Request: fleet.Fingerprint{Content: uint64(b.N), Caller: client}, Endpoint: fleet.EndpointID(now.String())}})
		l.Expire(now)
		l.Decide(now)
	}
}

// BenchmarkDecideWithParts measures DecideWithParts on the maximum number of crashes, at each of which ten requests
// with two prompt parts had not begun.
func BenchmarkDecideWithParts(b *testing.B) {
	const endpoints, unbegun, firstParts, secondParts = 512, 10, 3, 375
	l := quarantine.NewCrashLog()
	crash := func(now time.Time, i int) {
		id := fleet.EndpointID(fmt.Sprint("e", i))
		for j := range unbegun {
			n := uint64(i*unbegun + j)
			l.Add(now, []fleet.CrashReport{
				{Request: fleet.Fingerprint{Content: 1_000_000 + n, Caller: client}, Endpoint: id},
				{Request: fleet.Fingerprint{Content: 1 + n%firstParts, Caller: client}, Endpoint: id, PromptPart: 2},
				{Request: fleet.Fingerprint{Content: 1000 + n*7919%secondParts, Caller: client}, Endpoint: id, PromptPart: 1},
			})
		}
	}
	for i := range endpoints {
		crash(start().Add(ms(i*100)), i)
	}
	now := start().Add(ms(endpoints * 100))
	for i := 0; b.Loop(); i++ {
		now = now.Add(100 * time.Millisecond)
		crash(now, endpoints+i)
		l.Expire(now)
		l.DecideWithParts(now)
	}
}
