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
