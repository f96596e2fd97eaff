package gateway

import (
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/fleet"
)

// Endpoints leave while others write heartbeats, and a relay answers its hosts as it reads
// the list. It looked up which endpoints had changed, and took their newest entries a moment
// later; one of these was newer than the leaving of another endpoint, which the answer
// did not name. The host took its list for complete up to there, was never told of that
// leaving, and sent requests to the endpoint for four seconds.
func TestAnswerIsCompleteUpToItsNewestEntry(t *testing.T) {
	is := is.New(t)
	const endpoints, beats = 6, 400
	relay, host := listHost(time.Minute), listHost(time.Minute)
	first := fleet.Batch{Entries: []fleet.Entry{{Key: "first", Value: []byte("ready")}}}
	relay.takeEndpoints(first)
	host.takeEndpoints(first) // A host that knows nothing reads the store itself.
	ask := func() {
		n := relay.withList(relay.Now(), fleet.Notice{}, host.directory.Offset()-1, relay.directory.Material())
		host.takeListNotice(host.Now(), n)
	}
	var done sync.WaitGroup
	read := make(chan struct{})
	done.Go(func() {
		defer close(read)
		offset := int64(1)
		for beat := range beats {
			var b fleet.Batch
			for e := range endpoints {
				// Each writes a heartbeat; now and then one leaves, and another takes its place.
				name := "e" + strconv.Itoa(e) + "-" + strconv.Itoa((beat+e*7)/40)
				state := "ready"
				if (beat+e*7)%40 > 30 {
					state = "leaving"
				}
				b.Entries = append(b.Entries, fleet.Entry{Key: name, Offset: offset, Value: []byte(state)})
				offset++
			}
			relay.takeEndpoints(b)
		}
	})
	for open := true; open; {
		select {
		case <-read:
			open = false
		default:
			ask()
		}
	}
	done.Wait()
	relay.reads.Answered(fleet.TopicEndpoints, relay.Now(), nil)
	ask()
	is.True(host.listConfirmed())
	is.Equal(usable(host, host.Now()), usable(relay, relay.Now()))
}
