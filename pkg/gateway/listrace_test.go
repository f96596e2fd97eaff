package gateway

import (
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/tealvane/tealvane/pkg/fleet"
)

// Guards against a race between reading the list and answering pulls: a notice that includes an
// entry must include all changes before it.
func TestNoticeIsCompleteUpToItsNewestEntry(t *testing.T) {
	is := is.New(t)
	const endpoints, beats = 6, 400
	relay, host := listHost(time.Minute), listHost(time.Minute)
	first := fleet.Batch{Entries: []fleet.Entry{{Key: "first", Value: []byte("ready")}}}
	relay.applyEndpoints(first)
	host.applyEndpoints(first) // A host without a list reads the store itself.
	pull := func() {
		n := relay.withListChanges(relay.Now(), fleet.Notice{}, host.directory.Offset()-1, relay.directory.RoutingOffset())
		host.applyListNotice(host.Now(), n)
	}
	var done sync.WaitGroup
	read := make(chan struct{})
	done.Go(func() {
		defer close(read)
		offset := fleet.Position(1)
		for beat := range beats {
			var b fleet.Batch
			for e := range endpoints {
				// Each endpoint writes a heartbeat. From time to time one drains and is
				// replaced by another.
				name := "e" + strconv.Itoa(e) + "-" + strconv.Itoa((beat+e*7)/40)
				state := "ready"
				if (beat+e*7)%40 > 30 {
					state = "leaving"
				}
				b.Entries = append(b.Entries, fleet.Entry{Key: name, Offset: offset, Value: []byte(state)})
				offset++
			}
			relay.applyEndpoints(b)
		}
	})
	for open := true; open; {
		select {
		case <-read:
			open = false
		default:
			pull()
		}
	}
	done.Wait()
	relay.storeReads.RecordResult(fleet.TopicEndpoints, relay.Now(), nil)
	pull()
	is.True(host.listConfirmed())
	is.Equal(usableEndpoints(host, host.Now()), usableEndpoints(relay, relay.Now()))
}
